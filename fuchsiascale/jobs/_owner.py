"""Runs the ownership of a service: loading, rounds, and the feed of jobs."""

import asyncio
import contextlib

import logbook
from returns.result import Failure, Success

from fuchsiascale.jobs._links import WorkerLinks
from fuchsiascale.jobs._order import objective_s
from fuchsiascale.jobs._recorder import Recorder
from fuchsiascale.jobs._records import (
    ACCEPTED,
    CANCEL_SUFFIX,
    OWNER_KEY,
    POOLS,
    PROGRESS,
    AcceptedRow,
    LearntRow,
    ProgressRow,
    RosterRow,
    decode_row,
    learnt_place,
    ledger_place,
    roster_place,
)
from fuchsiascale.jobs._rounds import plan_round
from fuchsiascale.jobs._shard import Shard
from fuchsiascale.jobs._table_watch import TableWatch

__all__ = ["Owner"]

LEASE_S = 6.0
"""Length of a worker's lease; cut to the platform's longest where that is less."""
ROUND_DELAY_S = 0.01
"""Time in which events are gathered before a round of placement."""
PAUSE_FACTOR = 3.0
"""Least pause before a round, as a multiple of the time that the last one took: rounds
leave most of the processor to exchanges and orders."""
TICK_S = 0.1
"""Period of rounds that nothing else brings about."""
FEED_PAUSE_S = 0.4
"""Least time between two polls of the feed of jobs."""
FEED_WAIT_MS = 800
"""How long the store holds a poll open."""
STORE_PAUSE_S = 0.15
"""Pause after a store call that failed."""
LISTING_PAUSE_S = 0.3
"""Least time between two polls of the list of workers."""
ISOLATION_S = 10.0
"""Time without a word of the store after which an owner grants no more leases."""
LEASE_DRIFT = 1.03
"""Longest time that a lease lasts here, as a multiple of its length: workers' clocks
are up to 2% slow."""
LEASE_MARGIN_S = 0.3
"""Added to that time for the way of the last grant."""
KEEP_FINISHED_S = 150.0
"""How long final states are kept; the platform asks for 120 s."""


class Owner:
    """The running owner of one service.

    Parameters
    ----------
    service : str
        The service.
    row : OwnerRow
        The owner row that this instance has written.
    version : int
        Version of that row.
    store : StorePort
        The store.
    workers : WorkerPort
        Calls to workers.
    listing : WorkerListing
        Where the platform lists the workers.
    lease_s : float
        Longest lease that workers grant.
    clock : Clock
        Source of time.
    on_lost : callable
        Called once, when another owner is found in office.
    """

    def __init__(
        self, service, row, version, store, workers, listing, lease_s, clock, on_lost
    ):
        self.service = service
        self.row = row
        self.version = version
        self.store = store
        self.clock = clock
        self._decode_worker = listing.decode
        self._table = TableWatch(
            store, listing.table, self._take_list, clock, LISTING_PAUSE_S
        )
        self.lease_s = min(LEASE_S, lease_s)
        self.on_lost = on_lost
        self.log = logbook.Logger("owner")
        self.shard = Shard(service, row.token, self.lease_s)
        self.lost = False
        self.handing_over = False
        self._predecessor_gone_s = None
        self._grants_until_s = None
        self.feed_version = version
        self.confirmed_s = self.clock.monotonic()
        self.recorder = Recorder(
            self.shard, version, store, clock, self.give_up, self._confirm
        )
        self.links = WorkerLinks(
            self.shard,
            self.recorder,
            workers,
            clock,
            self.may_grant,
            self.give_up,
            self.kick,
        )
        self._wake_round = asyncio.Event()
        self._tasks = set()
        self._ready = asyncio.Event()

    # Life cycle --------------------------------------------------------------

    async def start(self, predecessor_gone_s=None):
        """Load what is stored, then claim the workers and begin to place tasks."""
        self._predecessor_gone_s = predecessor_gone_s
        if not await self._load():
            return
        self.shard.loaded = True
        self._keep(self._table.run())
        self._keep(self._run_rounds())
        self._keep(self.recorder.run())
        self._keep(self._run_feed())
        self.links.sync()
        self._ready.set()

    async def stop(self):
        """End all background work."""
        await asyncio.gather(*self._cancel(), return_exceptions=True)

    def _cancel(self):
        tasks = list(self._tasks)
        for task in tasks:
            task.cancel()
        return tasks + self.links.cancel()

    def _keep(self, coroutine):
        task = asyncio.create_task(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._note_end)
        return task

    def _note_end(self, task):
        self._tasks.discard(task)
        if task.cancelled() or task.exception() is None:
            return
        self.log.critical(
            "background task failed: {!r}", task.exception(), exc_info=task.exception()
        )
        self.give_up("background task failed")

    def give_up(self, why):
        """Stop commanding the workers: another owner is in office."""
        if self.lost:
            return
        self.lost = True
        self.log.warning(
            "ownership lost",
            extra={"service": self.service, "token": self.row.token, "why": why},
        )
        self._cancel()
        self.on_lost(self)

    def may_grant(self):
        """Return whether the store was heard of lately enough to grant leases."""
        now_s = self.clock.monotonic()
        if self._grants_until_s is not None and now_s >= self._grants_until_s:
            return False
        return now_s - self.confirmed_s < ISOLATION_S

    def grant_until(self, end_s):
        """Grant no leases from a time on: a successor counts on it."""
        self._grants_until_s = end_s

    def _confirm(self):
        self.confirmed_s = self.clock.monotonic()

    async def _load(self):
        places = (ACCEPTED, PROGRESS, POOLS)
        while not self.lost:
            found = await asyncio.gather(
                *(self.store.read(table, self.service) for table in places)
            )
            if all(isinstance(each, Success) for each in found):
                self._restore(*(each.unwrap() for each in found))
                return not self.lost
            await asyncio.sleep(STORE_PAUSE_S)
        return False

    def _restore(self, accepted, progress, pools):
        now_s, wall_ms = self.clock.monotonic(), self.clock.wall_ms()
        self.feed_version = accepted.version
        recorded = {
            row.place.key: decode_row(row.value, ProgressRow) for row in progress.rows
        }
        for row in accepted.rows:
            self._take_row(row, now_s, wall_ms, recorded.get(row.place.key))
        for row in pools.rows:
            if row.place == ledger_place(self.service):
                self.recorder.ledger_version = row.version
            if row.place == roster_place(self.service):
                self._restore_roster(row, now_s)
            if row.place == learnt_place(self.service):
                self._restore_learnt(row)
        self.log.info(
            "loaded",
            extra={
                "service": self.service,
                "jobs": len(self.shard.jobs),
                "uncovered": len(self.shard.uncovered),
                "token": self.row.token,
            },
        )

    def _restore_roster(self, row, now_s):
        roster = decode_row(row.value, RosterRow)
        if roster is None:
            return
        gone_s = self._predecessor_gone_s or now_s + ISOLATION_S
        for entry in roster.workers:
            worker = self.shard.list_worker(entry.worker, now_s)
            self.shard.uncovered[worker.worker] = self._last_lease_s(gone_s)

    def _restore_learnt(self, row):
        learnt = decode_row(row.value, LearntRow)
        if learnt is not None:
            self.shard.harm.adopt(learnt.slopes)
            self.shard.run_times.adopt(learnt.run_times)

    def _last_lease_s(self, gone_s):
        """Return when all leases of a predecessor are over that was gone by a time."""
        return gone_s + self.lease_s * LEASE_DRIFT + LEASE_MARGIN_S

    def note_predecessor_gone(self, now_s):
        """Take in that the owner before grants no leases any more."""
        self._predecessor_gone_s = self._predecessor_gone_s or now_s
        until_s = self._last_lease_s(now_s)
        for worker, before_s in self.shard.uncovered.items():
            self.shard.uncovered[worker] = min(before_s, until_s)

    @property
    def covered(self):
        """Whether all is loaded, and no earlier owner's attempt can be unknown."""
        return self._ready.is_set() and self.shard.covered()

    def _take_row(self, row, now_s, wall_ms, progress=None):
        """Take in a row of the table of accepted jobs."""
        key = row.place.key
        if key == OWNER_KEY:
            if row.version > self.version:
                self.give_up("the owner row has changed")
        elif row.deleted:
            return
        elif key.endswith(CANCEL_SUFFIX):
            self.shard.cancel_job(key.removesuffix(CANCEL_SUFFIX), now_s)
        else:
            accepted = decode_row(row.value, AcceptedRow)
            if accepted is not None and accepted.record is not None:
                self.shard.add_job(
                    accepted.record, accepted.token, now_s, wall_ms, progress
                )

    # What other parts tell ---------------------------------------------------

    def _take_list(self, rows):
        """Take in the list of workers; entries that name none are left out."""
        now_s = self.clock.monotonic()
        found = [self._decode_worker(row) for row in rows.values()]
        listed = [
            worker
            for worker in found
            if worker is not None and worker.service == self.service
        ]
        for worker in listed:
            self.shard.list_worker(worker, now_s)
        names = {worker.worker for worker in listed}
        for worker_id in self.shard.workers:
            if worker_id not in names:
                self.shard.miss_worker(worker_id)
        self.links.sync()
        self.kick()

    def add_job(self, accepted):
        """Take on a job that an entry has just stored."""
        if accepted.record is None or accepted.token > self.row.token:
            return
        now_s, wall_ms = self.clock.monotonic(), self.clock.wall_ms()
        if self._ready.is_set():
            job = accepted.record.job
            taken = self.shard.add_job(accepted.record, accepted.token, now_s, wall_ms)
            if taken is not None:
                policy = accepted.record.policy
                self.log.info(
                    "job taken on",
                    extra={
                        "job": job,
                        "queue": policy.queue,
                        "priority": policy.priority,
                        "objective_s": objective_s(taken, self.shard.run_times),
                    },
                )
            self.kick()

    def cancel_job(self, job):
        """Take in a cancellation that is stored."""
        self.shard.cancel_job(job, self.clock.monotonic())
        self.kick()
        self.recorder.wake.set()

    def count_waiting(self):
        """Return for each queue its jobs of which nothing has started; None early."""
        return self.shard.count_waiting() if self._ready.is_set() else None

    async def prepare_handover(self):
        """Start nothing more, and record what has ended."""
        self.handing_over = True
        await self.recorder.flush()

    def kick(self):
        """Ask for a round of placement."""
        self._wake_round.set()

    # Rounds ------------------------------------------------------------------

    async def _run_rounds(self):
        took_s = 0.0
        while True:
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(TICK_S):
                    await self._wake_round.wait()
            await asyncio.sleep(max(ROUND_DELAY_S, PAUSE_FACTOR * took_s))
            self._wake_round.clear()
            began_s = self.clock.monotonic()
            self._play_round()
            took_s = self.clock.monotonic() - began_s

    def _play_round(self):
        if self.handing_over:
            return
        now_s, wall_ms = self.clock.monotonic(), self.clock.wall_ms()
        self.shard.lapse_silent(now_s)
        for job in self.shard.jobs.values():
            if job.timed and not job.state.final:
                job.open_due(now_s, wall_ms)
        if self.may_grant():
            plan_round(self.shard, now_s)
        self.links.send_orders()
        if self.shard.dirty:
            self.recorder.wake.set()
        self.links.sync()

    # The feed of jobs ----------------------------------------------------------

    async def _run_feed(self):
        while True:
            began_s = self.clock.monotonic()
            reply = await self.store.follow(ACCEPTED, self.feed_version, FEED_WAIT_MS)
            if isinstance(reply, Success):
                self._take_feed(reply.unwrap())
            elif not await self._read_again(reply.failure()):
                await asyncio.sleep(STORE_PAUSE_S)
            passed_s = self.clock.monotonic() - began_s
            await asyncio.sleep(max(0.0, FEED_PAUSE_S - passed_s))
            await self._forget_finished()

    def _take_feed(self, changes):
        now_s, wall_ms = self.clock.monotonic(), self.clock.wall_ms()
        for row in changes.rows:
            if row.place.partition == self.service:
                self._take_row(row, now_s, wall_ms)
        self.feed_version = max(self.feed_version, changes.version)
        if not self.lost:
            self._confirm()
        self.kick()

    async def _read_again(self, error):
        """Read all jobs where the store has dropped the history of changes."""
        found = await self.store.read(ACCEPTED, self.service)
        if isinstance(found, Failure):
            return False
        self.log.info("jobs read again", extra={"why": repr(error)})
        self._take_feed(found.unwrap())
        return True

    async def _forget_finished(self):
        old = self.shard.forget_finished(self.clock.monotonic() - KEEP_FINISHED_S)
        if old:
            await self.recorder.forget(old)
