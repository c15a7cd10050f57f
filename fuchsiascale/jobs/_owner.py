"""Owner of a service: loads its state, plans rounds and follows the job feed."""

import asyncio
import contextlib

import logbook
import msgspec
from returns.result import Failure, Success

from fuchsiascale.jobs._conclusions import confirm_owner, needs_confirmation
from fuchsiascale.jobs._evacuation_watch import EvacuationWatch
from fuchsiascale.jobs._evacuations import Evacuations
from fuchsiascale.jobs._inherited_leases import InheritedLeases
from fuchsiascale.jobs._job_order import compute_objective_s
from fuchsiascale.jobs._load_report import report_load
from fuchsiascale.jobs._model import find_problems
from fuchsiascale.jobs._ownership_evidence import OwnershipEvidence
from fuchsiascale.jobs._placement_explanation import explain_placement
from fuchsiascale.jobs._pool_rows import restore_pool_rows
from fuchsiascale.jobs._ports import VersionedRows
from fuchsiascale.jobs._recorder import Recorder
from fuchsiascale.jobs._records import (
    ACCEPTED,
    CANCEL_SUFFIX,
    EARLY_CANCELS,
    OWNER_KEY,
    POOLS,
    PROGRESS,
    AcceptedRow,
    EarlyCancelsRow,
    decode_row,
    join_progress,
)
from fuchsiascale.jobs._rounds import plan_round
from fuchsiascale.jobs._shard import Shard
from fuchsiascale.jobs._table_watch import TableWatch
from fuchsiascale.jobs._worker_links import WorkerLinks

__all__ = ["Owner"]

LEASE_S = 6.0
"""Length of a worker's lease; the platform's longest lease where that is shorter."""
BATCH_DELAY_S = 0.01
"""Time in which events are batched before a placement round."""
ROUND_PAUSE_FACTOR = 1.0
"""Minimum pause before a round, as a multiple of the duration of the previous one. It
leaves half of the processor to exchanges with workers and commands."""
MAX_ROUND_INTERVAL_S = 0.1
"""Longest time between rounds when no event requests one."""
RELAY_ASSIGNMENT_PERIOD_S = 0.5
"""Period in which workers are assigned to the peers that relay calls to them."""
LOAD_REPORT_PERIOD_S = 1.0
"""Period in which the load of the workers is logged."""
FEED_POLL_INTERVAL_S = 0.4
"""Minimum time between two polls of the job feed."""
FEED_WAIT_MS = 800
"""How long the store holds a poll open."""
STORE_RETRY_DELAY_S = 0.15
"""Delay after a failed store call."""
LISTING_POLL_INTERVAL_S = 0.3
"""Minimum time between two polls of the worker list."""
EXPLANATION_PERIOD_S = 0.5
"""Minimum time between two explanations; each may take as long as a round."""
FINISHED_RETENTION_S = 150.0
"""How long final states are kept; the platform requires 120 s."""


class Owner:
    """Owner of one service, as run by this instance.

    Parameters
    ----------
    service : str
        The service.
    row : OwnerRow
        The owner row that this instance wrote.
    version : int
        Store version of that row.
    store : StorePort
        The store.
    workers : RelayedWorkers
        Client for calls to workers.
    listing : WorkerListing
        Table of the platform's worker list and its decoder.
    limits : OwnerLimits
        Limits of the platform.
    clock : Clock
        Source of time.
    on_lost : callable
        Called once with this owner when it relinquishes the service.
    evacuations : EvacuationListing or None, optional
        Where evacuations of failure domains are; None if the operator evacuates none.
    """

    def __init__(
        self,
        service,
        row,
        version,
        store,
        workers,
        listing,
        limits,
        clock,
        on_lost,
        evacuations=None,
    ):
        self.service = service
        self.row = row
        self.version = version
        self.store = store
        self.clock = clock
        self._decode_worker = listing.decode
        self._table = TableWatch(
            store,
            listing.table,
            self._apply_worker_list,
            clock,
            LISTING_POLL_INTERVAL_S,
        )
        self.on_lost = on_lost
        self.log = logbook.Logger("owner")
        lease_s = min(LEASE_S, limits.longest_lease_s)
        self.shard = Shard(
            service,
            row.token,
            lease_s,
            longest_lease_s=limits.longest_lease_s,
            evacuations=evacuations
            and Evacuations(evacuations.decode, evacuations.bound_s),
            remote_factor=limits.remote_factor,
        )
        self._evacuation_watch = evacuations and EvacuationWatch(
            store, evacuations, self.shard.evacuations, clock, self._identify()
        )
        self.inherited_leases = InheritedLeases(
            self.shard, lease_s, limits.longest_lease_s, limits.entry_lapse_s
        )
        self.lost = False
        self.handing_over = False
        self.evidence = OwnershipEvidence(clock)
        confirm_owner(self.shard, self.evidence.confirmed_s)
        self.feed_version = version
        self.recorder = Recorder(
            self.shard,
            version,
            store,
            limits.max_row_bytes,
            clock,
            self.relinquish,
            self.evidence.confirm,
        )
        self.links = WorkerLinks(
            self.shard,
            self.recorder,
            workers,
            clock,
            self.can_grant_leases,
            self.relinquish,
            self.request_round,
        )
        self.workers = workers
        self.round_count = 0
        self.round_seconds = 0.0
        self.load = None
        self._relays_due_s = 0.0
        self._load_due_s = 0.0
        self._next_explanation_s = 0.0
        self._confirmation = None
        self._round_requested = asyncio.Event()
        self._tasks = set()
        self._loaded = asyncio.Event()

    # Lifecycle ---------------------------------------------------------------

    async def start(self, predecessor_stopped_s=None):
        """Load the stored state, then claim the workers and start placing tasks.

        Parameters
        ----------
        predecessor_stopped_s : float or None, optional
            Monotonic time from which the previous owner grants no leases; None if
            it is unknown.
        """
        if predecessor_stopped_s is not None:
            self.inherited_leases.mark_stopped(predecessor_stopped_s)
        if self._evacuation_watch is not None and not self.lost:
            self._spawn(self._evacuation_watch.run())
        if not await self._load():
            return
        self.shard.loaded = True
        self._assign_relays()
        self._spawn(self._table.run())
        self._spawn(self._run_rounds())
        self._spawn(self.recorder.run())
        self._spawn(self._run_feed())
        self.links.sync()
        self._loaded.set()

    async def stop(self):
        """Cancel all background tasks and wait until they have ended."""
        await asyncio.gather(*self._cancel(), return_exceptions=True)

    def _cancel(self):
        tasks = list(self._tasks)
        for task in tasks:
            task.cancel()
        self.workers.close()
        return tasks + self.links.cancel()

    def _spawn(self, coroutine):
        task = asyncio.create_task(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._handle_task_end)
        return task

    def _handle_task_end(self, task):
        self._tasks.discard(task)
        if task.cancelled() or task.exception() is None:
            return
        self.log.critical(
            "background task failed: {!r}", task.exception(), exc_info=task.exception()
        )
        self.relinquish("background task failed")

    def relinquish(self, why):
        """Stop commanding the workers: this instance no longer owns the service."""
        if self.lost:
            return
        self.lost = True
        self.log.warning(
            "ownership lost",
            extra={
                **self._identify(),
                "why": why,
                "confirmed_ago_s": round(self.evidence.measure_age_s(), 3),
                "supported": self.evidence.is_supported(),
            },
        )
        self._cancel()
        self.on_lost(self)

    def _identify(self):
        """Return the fields of a log line that name this owner."""
        return {"service": self.service, "token": self.row.token}

    def can_grant_leases(self):
        """Return whether leases may be granted, which needs recent evidence."""
        return self.evidence.is_valid()

    def stop_granting_at(self, end_s):
        """Grant no leases from ``end_s`` on; the successor relies on this."""
        self.evidence.end_at(end_s)

    async def _load(self):
        while not self.lost:
            found = await asyncio.gather(
                self._read_jobs(),
                self.store.read(PROGRESS, self.service),
                self.store.read(POOLS, self.service),
            )
            if all(isinstance(each, Success) for each in found):
                self._restore(*(each.unwrap() for each in found))
                return not self.lost
            self.log.info("loading failed; reading again", extra=self._identify())
            await asyncio.sleep(STORE_RETRY_DELAY_S)
        return False

    async def _read_jobs(self):
        """Read the accepted jobs, their cancellations, and the early ones.

        The version returned is the lower one of both reads: the feed repeats what was
        written between them.
        """
        found = await asyncio.gather(
            self.store.read(ACCEPTED, self.service),
            self.store.read(ACCEPTED, EARLY_CANCELS),
        )
        for each in found:
            if isinstance(each, Failure):
                return each
        jobs, early_cancels = (each.unwrap() for each in found)
        return Success(
            VersionedRows(
                jobs.rows + early_cancels.rows,
                min(jobs.version, early_cancels.version),
            )
        )

    def _restore(self, accepted, progress, pools):
        now_s, wall_ms = self.clock.monotonic(), self.clock.wall_ms()
        self.feed_version = accepted.version
        recorded = join_progress(progress.rows)
        for row in accepted.rows:
            self._apply_row(row, now_s, wall_ms, recorded.get(row.place.key))
        restore_pool_rows(self, pools.rows, now_s)
        self.inherited_leases.limit()
        self.log.info(
            "loaded",
            extra={
                "service": self.service,
                "jobs": len(self.shard.jobs),
                "uncovered": len(self.shard.unconfirmed_workers),
                "token": self.row.token,
            },
        )

    @property
    def is_takeover_complete(self):
        """Whether all is loaded and no attempt of an earlier owner can be unknown."""
        return self._loaded.is_set() and self.shard.all_workers_confirmed()

    def _apply_row(self, row, now_s, wall_ms, progress=None):
        """Apply a row of the table of accepted jobs; others' rows are skipped."""
        key = row.place.key
        if row.place.partition == EARLY_CANCELS:
            self._apply_early_cancels(row, now_s)
        elif row.place.partition != self.service:
            return
        elif key == OWNER_KEY:
            if row.version > self.version:
                self.relinquish("the owner row has changed")
        elif row.deleted:
            self.shard.withdrawn_rows.forget(row.place)
        elif key.endswith(CANCEL_SUFFIX):
            self.shard.cancel_job(key.removesuffix(CANCEL_SUFFIX), now_s)
        else:
            accepted = decode_row(row.value, AcceptedRow)
            if accepted is not None:
                self._apply_accepted(row, accepted, now_s, wall_ms, progress)

    def _apply_accepted(self, row, accepted, now_s, wall_ms, progress):
        """Apply the row of an accepted job, or of a withdrawn submission."""
        if accepted.record is None:
            self.shard.withdrawn_rows.note(row, now_s)
        else:
            self.shard.withdrawn_rows.forget(row.place)
            self._add_stored_job(accepted, now_s, wall_ms, progress)

    def _apply_early_cancels(self, row, now_s):
        if row.deleted:
            self.shard.early_cancel_rows.forget(row.place)
            return
        cancels = decode_row(row.value, EarlyCancelsRow)
        if cancels is None:
            self.log.error("malformed row", extra={"row": row.place.key})
            return
        self.shard.early_cancel_rows.note(row, now_s, cancels.jobs)
        for job in cancels.jobs:
            self.shard.cancel_job(job, now_s)

    def _add_stored_job(self, accepted, now_s, wall_ms, stored):
        """Add a job that was read from the store, with its progress or None."""
        record = accepted.record
        if stored is None:
            self.shard.add_job(record, accepted.token, now_s, wall_ms)
        elif stored.progress is None:
            self.log.error("malformed progress: job not run", extra={"job": record.job})
        else:
            job = self.shard.add_job(
                record, accepted.token, now_s, wall_ms, stored.progress
            )
            if job is not None:
                job.progress_rows = stored.rows

    # Inputs from other components --------------------------------------------

    def _apply_worker_list(self, rows):
        """Apply the worker list; entries that name no usable worker are ignored."""
        now_s = self.clock.monotonic()
        found = [self._decode_worker(row) for row in rows.values()]
        listed = [
            worker
            for worker in found
            if worker is not None and worker.service == self.service
        ]
        for worker in listed:
            self.shard.update_worker(worker, now_s)
        names = {worker.worker for worker in listed}
        for worker_id in self.shard.workers:
            if worker_id not in names:
                self.shard.note_worker_unlisted(worker_id)
        if self.shard.unconfirmed_workers:
            self.inherited_leases.note_list(now_s)
        self.links.sync()
        self.request_round()

    def add_job(self, accepted):
        """Add a job that an instance has just stored.

        A job accepted under an earlier owner was loaded, or has ended since.
        """
        if accepted.record is None or accepted.token != self.row.token:
            return
        now_s, wall_ms = self.clock.monotonic(), self.clock.wall_ms()
        if self._loaded.is_set():
            job = accepted.record.job
            added = self.shard.add_job(accepted.record, accepted.token, now_s, wall_ms)
            if added is not None:
                policy = accepted.record.policy
                self.log.info(
                    "job added",
                    extra={
                        "job": job,
                        "queue": policy.queue,
                        "priority": policy.priority,
                        "objective_s": compute_objective_s(added, self.shard.run_times),
                    },
                )
            self.request_round()

    def cancel_jobs(self, jobs):
        """Apply stored cancellations; jobs that are not known may still arrive."""
        now_s = self.clock.monotonic()
        is_any_known = any(job in self.shard.jobs for job in jobs)
        for job in jobs:
            self.shard.cancel_job(job, now_s)
        if is_any_known:
            self.request_round()
            self.recorder.flush_requested.set()

    def count_waiting(self):
        """Return the number of unstarted jobs by queue; None until loaded."""
        return self.shard.count_waiting() if self._loaded.is_set() else None

    def explain_placement(self, record):
        """Return where a job would start; None until loaded, or if asked too often.

        Peers send the job, so that its size has to be checked here too.
        """
        now_s = self.clock.monotonic()
        if not self._loaded.is_set() or now_s < self._next_explanation_s:
            return None
        if find_problems(record.spec):
            return None
        self._next_explanation_s = now_s + EXPLANATION_PERIOD_S
        age_s = self.evidence.measure_age_s()
        return explain_placement(self.shard, record, now_s, self.clock.wall_ms(), age_s)

    async def prepare_handover(self):
        """Stop starting tasks, and record the attempts that have ended."""
        self.handing_over = True
        await self.recorder.flush()

    def request_round(self):
        """Request a placement round."""
        self._round_requested.set()

    # Rounds ------------------------------------------------------------------

    async def _run_rounds(self):
        duration_s = 0.0
        while True:
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(MAX_ROUND_INTERVAL_S):
                    await self._round_requested.wait()
            await asyncio.sleep(max(BATCH_DELAY_S, ROUND_PAUSE_FACTOR * duration_s))
            self._round_requested.clear()
            started_s = self.clock.monotonic()
            self._run_round()
            duration_s = self.clock.monotonic() - started_s
            self.round_count += 1
            self.round_seconds += duration_s

    def _assign_relays(self):
        self._relays_due_s = self.clock.monotonic() + RELAY_ASSIGNMENT_PERIOD_S
        self.workers.assign(
            {
                worker.worker: worker.listed.domain
                for worker in self.shard.workers.values()
            }
        )

    def _run_round(self):
        if self.handing_over:
            return
        now_s, wall_ms = self.clock.monotonic(), self.clock.wall_ms()
        if now_s >= self._relays_due_s:
            self._assign_relays()
        self._apply_confirmation(now_s)
        for job in self.shard.jobs.values():
            if job.timed and not job.state.final:
                job.open_due_occurrences(now_s, wall_ms)
        if self.can_grant_leases():
            plan_round(self.shard, now_s)
        self.links.send_commands()
        if self.shard.dirty:
            self.recorder.flush_requested.set()
        self.links.sync()
        if now_s >= self._load_due_s:
            self._report_load(now_s)

    def _report_load(self, now_s):
        self._load_due_s = now_s + LOAD_REPORT_PERIOD_S
        self.load = report_load(self.shard, now_s)
        # Information may be left out under load, when the line is needed most.
        self.log.notice(
            "load",
            extra={
                **self._identify(),
                "rounds": self.round_count,
                "round_seconds": round(self.round_seconds, 3),
                **msgspec.to_builtins(self.load),
            },
        )

    def _apply_confirmation(self, now_s):
        """Conclude what the last confirmation allows; ask for another if one is due."""
        confirm_owner(self.shard, self.evidence.confirmed_s)
        if needs_confirmation(self.shard, now_s) and self._confirmation is None:
            self._confirmation = self._spawn(self._confirm_ownership())

    async def _confirm_ownership(self):
        """Ask the store for the owner row, and relinquish if another one owns it."""
        asked_s = self.clock.monotonic()
        found = await self.store.read(
            ACCEPTED, self.service, OWNER_KEY, OWNER_KEY + "\0"
        )
        if isinstance(found, Failure):
            self.log.info(
                "ownership not confirmed", extra={"why": repr(found.failure())}
            )
            await asyncio.sleep(STORE_RETRY_DELAY_S)
        elif [row.version for row in found.unwrap().rows] == [self.version]:
            self.evidence.confirm(asked_s)
            self.request_round()
        else:
            self.relinquish("the owner row has changed")
        self._confirmation = None

    # Job feed ------------------------------------------------------------------

    async def _run_feed(self):
        while True:
            started_s = self.clock.monotonic()
            reply = await self.store.follow(ACCEPTED, self.feed_version, FEED_WAIT_MS)
            if isinstance(reply, Success):
                self._apply_changes(reply.unwrap(), started_s)
            elif not await self._reload_jobs(reply.failure()):
                await asyncio.sleep(STORE_RETRY_DELAY_S)
            elapsed_s = self.clock.monotonic() - started_s
            await asyncio.sleep(max(0.0, FEED_POLL_INTERVAL_S - elapsed_s))
            await self._forget_finished()
            await self._delete_expired_rows()

    def _apply_changes(self, changes, asked_s):
        now_s, wall_ms = self.clock.monotonic(), self.clock.wall_ms()
        for row in changes.rows:
            self._apply_row(row, now_s, wall_ms)
        self.feed_version = max(self.feed_version, changes.version)
        if changes.is_complete and not self.lost:
            self.evidence.confirm(asked_s)
        self.request_round()

    async def _reload_jobs(self, error):
        """Read all jobs anew after a poll failed, as when the history was dropped."""
        asked_s = self.clock.monotonic()
        found = await self._read_jobs()
        if isinstance(found, Failure):
            self.log.info(
                "reloading the jobs failed", extra={"why": repr(found.failure())}
            )
            return False
        self.log.info("jobs reloaded", extra={"why": repr(error)})
        self._apply_changes(found.unwrap(), asked_s)
        return True

    async def _forget_finished(self):
        old = self.shard.forget_finished(self.clock.monotonic() - FINISHED_RETENTION_S)
        if old:
            await self.recorder.delete_finished(old)

    async def _delete_expired_rows(self):
        """Drop what concerns submissions that can't arrive any more."""
        now_s = self.clock.monotonic()
        self.shard.pending_cancels.expire(now_s)
        expired = self.shard.early_cancel_rows.list_expired(now_s, self.shard.jobs)
        for row_key in await self.recorder.delete_rows(expired):
            self.shard.early_cancel_rows.forget(row_key)
        expired = self.shard.withdrawn_rows.list_expired(now_s)
        for row_key in await self.recorder.delete_rows(expired):
            self.shard.withdrawn_rows.forget(row_key)
