"""Drives a shard: exchanges with its workers, records of ends, the feed of jobs."""

import asyncio
import uuid

import logbook
from returns.result import Failure, Success

from fuchsiascale.jobs._order import objective_s
from fuchsiascale.jobs._pacing import observe_tails
from fuchsiascale.jobs._ports import (
    Absent,
    Change,
    Changed,
    Expect,
    NoAnswer,
    Refused,
    RefusedReason,
    StartOrder,
)
from fuchsiascale.jobs._records import (
    ACCEPTED,
    CANCEL_SUFFIX,
    FINISHED,
    OWNER_KEY,
    POOLS,
    PROGRESS,
    AcceptedRow,
    FinishedRow,
    LedgerRow,
    ProgressRow,
    RosterEntry,
    RosterRow,
    cancel_place,
    decode_row,
    encode_row,
    job_place,
    ledger_place,
    owner_place,
    roster_place,
)
from fuchsiascale.jobs._rounds import plan_round
from fuchsiascale.jobs._shard import PaceNow, Shard, StartNow, StopNow
from fuchsiascale.jobs._watches import TableWatch

__all__ = ["Owner"]

LEASE_S = 6.0
"""Length of a worker's lease; cut to the platform's longest where that is less."""
EXCHANGE_WAIT_MS = 500
"""How long a worker holds an exchange open; the period of its load figures."""
RETRY_S = 0.2
"""Pause after an exchange without an answer."""
ROUND_DELAY_S = 0.01
"""Time in which events are gathered before a round of placement."""
TICK_S = 0.1
"""Period of rounds that nothing else brings about."""
FLUSH_DELAY_S = 0.03
"""Time in which ends are gathered before they are recorded."""
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
MAX_ROWS = 90
"""Changes in one transaction; the platform takes 100 entries."""
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
        self.calls = workers
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
        self.feed_version = version
        self.ledger_version = 0
        self.roster_version = 0
        self.roster_ids = frozenset()
        self.listed = {}
        self.confirmed_s = self.clock.monotonic()
        self._wake_round = asyncio.Event()
        self._wake_flush = asyncio.Event()
        self._recorded = asyncio.Event()
        self._flushing = asyncio.Lock()
        self._tasks = set()
        self._links = {}
        self._ready = asyncio.Event()
        self.background_errors = []

    # Life cycle --------------------------------------------------------------

    async def start(self, predecessor_gone_s=None):
        """Load what is stored, then claim the workers and begin to place tasks."""
        if not await self._load(predecessor_gone_s):
            return
        self.shard.loaded = True
        self._keep(self._table.run())
        self._keep(self._run_rounds())
        self._keep(self._run_flushes())
        self._keep(self._run_feed())
        self._sync_links()
        self._ready.set()

    async def stop(self):
        """End all background work."""
        for task in list(self._tasks) + list(self._links.values()):
            task.cancel()
        await asyncio.gather(
            *self._tasks, *self._links.values(), return_exceptions=True
        )

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
        for task in list(self._tasks) + list(self._links.values()):
            task.cancel()
        self.on_lost(self)

    async def _load(self, predecessor_gone_s):
        places = (ACCEPTED, PROGRESS, POOLS)
        while not self.lost:
            found = await asyncio.gather(
                *(self.store.read(table, self.service) for table in places)
            )
            if all(isinstance(each, Success) for each in found):
                self._restore(*(each.unwrap() for each in found), predecessor_gone_s)
                return not self.lost
            await asyncio.sleep(STORE_PAUSE_S)
        return False

    def _restore(self, accepted, progress, pools, predecessor_gone_s):
        now_s, wall_ms = self.clock.monotonic(), self.clock.wall_ms()
        self.feed_version = accepted.version
        recorded = {
            row.place.key: decode_row(row.value, ProgressRow) for row in progress.rows
        }
        for row in accepted.rows:
            self._take_row(row, now_s, wall_ms, recorded.get(row.place.key))
        for row in pools.rows:
            if row.place == ledger_place(self.service):
                self.ledger_version = row.version
            if row.place == roster_place(self.service):
                self._restore_roster(row, predecessor_gone_s, now_s)
        self.log.info(
            "loaded",
            extra={
                "service": self.service,
                "jobs": len(self.shard.jobs),
                "uncovered": len(self.shard.uncovered),
                "token": self.row.token,
            },
        )

    def _restore_roster(self, row, predecessor_gone_s, now_s):
        self.roster_version = row.version
        roster = decode_row(row.value, RosterRow)
        if roster is None:
            return
        gone_s = predecessor_gone_s or now_s + ISOLATION_S
        until_s = gone_s + self.lease_s * 1.03 + 0.3
        for entry in roster.workers:
            worker = self.shard.list_worker(entry.worker, now_s)
            self.shard.uncovered[worker.worker] = until_s

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
        found = (self._decode_worker(row) for row in rows.values())
        self.listed = {
            worker.worker: worker
            for worker in found
            if worker is not None and worker.service == self.service
        }
        for worker in self.listed.values():
            self.shard.list_worker(worker, now_s)
        for worker_id in self.shard.workers:
            if worker_id not in self.listed:
                self.shard.miss_worker(worker_id, now_s)
        self._sync_links()
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
                        "prio": policy.priority,
                        "objective_s": objective_s(taken, self.shard.run_times),
                    },
                )
            self.kick()

    def cancel_job(self, job):
        """Take in a cancellation that is stored."""
        self.shard.cancel_job(job, self.clock.monotonic())
        self.kick()
        self._wake_flush.set()

    def count_waiting(self):
        """Return for each queue its jobs of which nothing has started; None early."""
        return self.shard.count_waiting() if self._ready.is_set() else None

    async def prepare_handover(self):
        """Start nothing more, and record what has ended."""
        self.handing_over = True
        await self._flush()

    def kick(self):
        """Ask for a round of placement."""
        self._wake_round.set()

    # Rounds ------------------------------------------------------------------

    async def _run_rounds(self):
        while True:
            try:
                async with asyncio.timeout(TICK_S):
                    await self._wake_round.wait()
            except TimeoutError:
                pass
            await asyncio.sleep(ROUND_DELAY_S)
            self._wake_round.clear()
            self._play_round()

    def _play_round(self):
        if self.handing_over:
            return
        now_s, wall_ms = self.clock.monotonic(), self.clock.wall_ms()
        self.shard.lapse_silent(now_s)
        for job in self.shard.jobs.values():
            if job.timed and not job.state.final:
                job.open_due(now_s, wall_ms)
        if self._may_grant():
            plan_round(self.shard, now_s)
        self._send_orders()
        if self.shard.dirty:
            self._wake_flush.set()
        self._sync_links()

    def _send_orders(self):
        for order in self.shard.take_orders():
            match order:
                case StartNow():
                    self._keep(self._start(order.attempt))
                case StopNow():
                    self._keep(self._stop(order))
                case PaceNow():
                    self._keep(self._pace(order))

    async def _start(self, attempt):
        worker = attempt.worker
        shard = self.shard
        job = attempt.task.step.job
        sent_s = self.clock.monotonic()
        until_ms = shard.grant_lease(worker, sent_s)
        if until_ms is None:
            # The worker fell silent after the round: nothing has been sent.
            shard.note_start_refused(attempt, RefusedReason.UNHEALTHY, sent_s)
            return
        order = StartOrder(
            task=attempt.task.name,
            attempt=attempt.number,
            payload=job.spec.payload,
            lease_until_ms=until_ms,
            token=self.row.token,
            checkpoint=attempt.checkpoint,
        )
        reply = await self.calls.start(worker.listed, order)
        now_s = self.clock.monotonic()
        if isinstance(reply, Success):
            shard.note_started(attempt, now_s)
            return
        error = reply.failure()
        if isinstance(error, NoAnswer):
            self.log.warning(
                "start unanswered",
                extra={"task": attempt.task.name, "worker": worker.worker},
            )
            shard.note_start_unanswered(attempt, now_s)
        elif isinstance(error, Absent):
            shard.note_start_refused(attempt, RefusedReason.UNHEALTHY, now_s)
        else:
            self._check_fence(error)
            shard.note_start_refused(attempt, error.reason, now_s)
        self.kick()

    def _check_fence(self, error):
        if isinstance(error, Refused) and error.reason is RefusedReason.FENCED:
            self.give_up("a worker has seen a higher token")

    async def _stop(self, order):
        reply = await self.calls.stop(
            order.worker.listed, order.task, order.number, self.row.token
        )
        if isinstance(reply, Success):
            self.shard.note_stop_answered(
                order.worker, order.task, order.number, self.clock.monotonic()
            )
            return
        error = reply.failure()
        self._check_fence(error)
        if isinstance(error, Refused) and error.reason is RefusedReason.SUPERSEDED:
            self.shard.note_stop_answered(
                order.worker, order.task, order.number, self.clock.monotonic()
            )

    async def _pace(self, order):
        attempt = order.attempt
        reply = await self.calls.pace(
            attempt.worker.listed,
            attempt.task.name,
            attempt.number,
            order.percent,
            self.row.token,
        )
        if isinstance(reply, Success):
            self.shard.note_paced(attempt, order.percent)
            return
        self._check_fence(reply.failure())
        attempt.pace_wanted = attempt.pace

    # Workers -----------------------------------------------------------------

    def _sync_links(self):
        if self.lost:
            return
        for worker_id, worker in list(self.shard.workers.items()):
            if worker_id not in self._links:
                task = asyncio.create_task(self._run_link(worker))
                task.add_done_callback(self._note_link_end)
                self._links[worker_id] = task
        if not self.roster_ids.issuperset(
            worker_id for worker_id in self.shard.workers
        ):
            self._wake_flush.set()

    def _note_link_end(self, task):
        if not task.cancelled() and task.exception() is not None:
            self.log.critical(
                "link failed: {!r}", task.exception(), exc_info=task.exception()
            )
            self.give_up("link failed")

    def _may_grant(self):
        return self.clock.monotonic() - self.confirmed_s < ISOLATION_S

    async def _run_link(self, worker):
        try:
            while True:
                if not await self._exchange(worker):
                    return
        finally:
            self._links.pop(worker.worker, None)

    async def _exchange(self, worker):
        """Exchange once with a worker; returns whether to go on."""
        shard = self.shard
        sent_s = self.clock.monotonic()
        until_ms = shard.grant_lease(worker, sent_s) if self._may_grant() else None
        quick = until_ms is None or worker.seen > worker.recorded
        wait_ms = 0 if quick else EXCHANGE_WAIT_MS
        reply = await self.calls.exchange(
            worker.listed, self.row.token, worker.recorded, until_ms, wait_ms
        )
        now_s = self.clock.monotonic()
        if isinstance(reply, Success):
            seen = worker.seen
            shard.observe(worker, reply.unwrap(), sent_s, now_s)
            observe_tails(shard, worker, now_s)
            if worker.seen > seen:
                self._wake_flush.set()
            self.kick()
            await self._await_record(worker)
            return True
        error = reply.failure()
        self._check_fence(error)
        shard.note_silence(worker)
        gone = (
            isinstance(error, Refused)
            and error.reason is RefusedReason.OTHER_INCARNATION
        )
        if gone:
            shard.lose_all(worker, now_s, "another worker has its address")
            shard.uncovered.pop(worker.worker, None)
        if self._has_left(worker, gone, now_s):
            shard.drop_worker(worker.worker)
            return False
        await asyncio.sleep(RETRY_S)
        return True

    def _has_left(self, worker, gone, now_s):
        """Return whether a worker that doesn't answer may be forgotten."""
        if worker.present or worker.attempts:
            return False
        if gone:
            return True
        lapsed = worker.lapse_s is None or now_s > worker.lapse_s
        return lapsed and worker.worker not in self.shard.uncovered

    async def _await_record(self, worker):
        """Wait until ends that were just seen are recorded, within limits."""
        if worker.seen <= worker.recorded:
            return
        self._recorded.clear()
        try:
            async with asyncio.timeout(EXCHANGE_WAIT_MS / 1000):
                while worker.seen > worker.recorded:
                    await self._recorded.wait()
                    self._recorded.clear()
        except TimeoutError:
            pass

    # Records -----------------------------------------------------------------

    async def _run_flushes(self):
        while True:
            try:
                async with asyncio.timeout(1.0):
                    await self._wake_flush.wait()
            except TimeoutError:
                pass
            self._wake_flush.clear()
            await asyncio.sleep(FLUSH_DELAY_S)
            while not await self._flush():  # noqa: ASYNC110
                await asyncio.sleep(STORE_PAUSE_S)

    async def _flush(self):
        """Record all that has changed; returns whether nothing is left to do."""
        # A second record at the same time would acknowledge ends of the first.
        async with self._flushing:
            return await self._record_all()

    async def _record_all(self):
        shard = self.shard
        snapshot = shard.snapshot_ends()
        dirty, shard.dirty = shard.dirty, {}
        roster = self._changed_roster()
        if not dirty and roster is None:
            shard.note_recorded(snapshot)
            self._recorded.set()
            return True
        jobs = list(dirty.values())
        while jobs or roster is not None:
            chunk, jobs = jobs[: MAX_ROWS // 4], jobs[MAX_ROWS // 4 :]
            if not await self._record(chunk, roster):
                for job in chunk + jobs:
                    shard.dirty.setdefault(job.job, job)
                return False
            roster = None
        shard.note_recorded(snapshot)
        self._recorded.set()
        self.kick()
        return True

    def _changed_roster(self):
        ids = frozenset(self.shard.workers)
        if ids <= self.roster_ids and len(self.roster_ids) < 2 * len(ids) + 8:
            return None
        return RosterRow(
            workers=tuple(
                RosterEntry(worker=worker.listed)
                for worker in self.shard.workers.values()
            )
        )

    async def _record(self, jobs, roster):
        """Write the state of jobs, and the roster; returns whether it is written."""
        service = self.service
        now_s, now_ms = self.clock.monotonic(), self.clock.wall_ms()
        mark = LedgerRow(token=self.row.token, write=uuid.uuid4().hex[:12])
        changes = [Change(ledger_place(service), encode_row(mark))]
        expected = [
            Expect(owner_place(service), self.version),
            Expect(ledger_place(service), self.ledger_version),
        ]
        ended = []
        for job in jobs:
            if job.state.final:
                ended.append((job, job.state))
                final = FinishedRow(state=job.state, at_ms=now_ms)
                changes += [
                    Change(job_place(FINISHED, service, job.job), encode_row(final)),
                    Change(job_place(ACCEPTED, service, job.job), None),
                    Change(job_place(PROGRESS, service, job.job), None),
                ]
                if job.cancelled:
                    changes.append(Change(cancel_place(service, job.job), None))
            else:
                place = job_place(PROGRESS, service, job.job)
                changes.append(Change(place, encode_row(job.progress())))
        if roster is not None:
            changes.append(Change(roster_place(service), encode_row(roster)))
        done = await self._commit(mark, tuple(expected), tuple(changes))
        if not done:
            return False
        for job, state in ended:
            self.shard.note_finished(job.job, state, now_s)
        if roster is not None:
            self.roster_ids = roster.ids()
            for worker_id in self.roster_ids:
                worker = self.shard.workers.get(worker_id)
                if worker is not None:
                    worker.in_roster = True
        return True

    async def _commit(self, mark, expected, changes):
        """Commit as the owner in office; returns whether it is written."""
        reply = await self.store.commit(expected, changes)
        if isinstance(reply, Success):
            self._confirm()
            self.ledger_version = reply.unwrap()
            return True
        error = reply.failure()
        if isinstance(error, Changed):
            return self._settle(mark, error.rows)
        if isinstance(error, NoAnswer):
            found = await self.store.read(POOLS, self.service, "ledger", "ledger~")
            if isinstance(found, Success) and found.unwrap().rows:
                return self._settle(mark, found.unwrap().rows)
        return False

    def _settle(self, mark, rows):
        """Find out from the rows of its conditions what became of a commit."""
        for row in rows:
            if row.place == owner_place(self.service) and row.version != self.version:
                self.give_up("the owner row has changed")
                return False
            if row.place == ledger_place(self.service):
                self.ledger_version = row.version
                ledger = decode_row(row.value, LedgerRow)
                if ledger is not None and ledger.write == mark.write:
                    self._confirm()
                    return True
        return False

    def _confirm(self):
        self.confirmed_s = self.clock.monotonic()

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
            self._forget_finished()

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

    def _forget_finished(self):
        self.shard.forget_finished(self.clock.monotonic() - KEEP_FINISHED_S)
