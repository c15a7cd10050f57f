"""Records the state of an owner's jobs and workers in the store."""

import asyncio
import uuid
from enum import Enum

import logbook
from returns.result import Failure, Success

from fuchsiascale.jobs._leased_workers import LeasedWorkersRows
from fuchsiascale.jobs._ports import Change, Conflict, Expect, NoAnswer, Rejected
from fuchsiascale.jobs._record_batches import (
    RecordItem,
    batch_items,
    limit_estimates,
)
from fuchsiascale.jobs._recorded_ends import note_recorded, snapshot_ends
from fuchsiascale.jobs._records import (
    ACCEPTED,
    FINISHED,
    POOLS,
    EstimatesRow,
    FinishedRow,
    LedgerRow,
    cancel_row_key,
    decode_row,
    divide_progress,
    encode_row,
    estimates_row_key,
    job_row_key,
    leased_workers_row_key,
    ledger_row_key,
    owner_row_key,
    progress_row_key,
)

__all__ = ["Recorder"]

FLUSH_DELAY_S = 0.03
"""Time for which ends are batched before they are recorded."""
STORE_PAUSE_S = 0.15
"""Pause after a store call that failed."""
ESTIMATES_PERIOD_S = 3.0
"""Least time between two writes of the estimates."""
MAX_ROWS = 90
"""Largest number of changes in one transaction; the platform accepts 100 entries."""
MAX_REJECTIONS = 5
"""Rejections after which a row within the known limits is left out of the record."""
UNSTORABLE_RETRY_S = 5.0
"""Period in which jobs that the store rejected are recorded again."""
MAX_BATCH_BYTES = 500_000
"""Bytes of the values in a transaction; the store allows 1 MB, encoded in base64."""


class _Outcome(Enum):
    """Outcome of a record; one that was rejected can't succeed by repeating it."""

    WRITTEN = "written"
    NOT_WRITTEN = "not written"
    REJECTED = "rejected"


class Recorder:
    """Writes progress, final states and leased workers, conditional on the owner row.

    Each record advances the ledger row under a condition, so that a commit that takes
    effect late can't overwrite a later one.

    Parameters
    ----------
    shard : Shard
        Workers and jobs to record.
    owner_version : int
        Version of the owner row; any other version means that ownership was lost.
    store : StorePort
        The store.
    max_row_bytes : int
        Largest value that the store accepts for a row, in bytes.
    clock : Clock
        Source of time.
    on_lost, on_confirmed : callable
        Called when the store shows that ownership was lost, and when it confirms it;
        the latter with the monotonic time at which the store was asked.
    """

    def __init__(
        self, shard, owner_version, store, max_row_bytes, clock, on_lost, on_confirmed
    ):
        self.service = shard.service
        self.token = shard.token
        self.shard = shard
        self.owner_version = owner_version
        self.store = store
        self.clock = clock
        self.ledger_version = 0
        self.leased_workers = LeasedWorkersRows(shard.service, max_row_bytes)
        self.rejected_rows = 0
        self._rejections = {}
        self._retry_s = 0.0
        self._max_row_bytes = max_row_bytes
        self.flush_requested = asyncio.Event()
        self.ends_recorded = asyncio.Event()
        self._on_lost = on_lost
        self._on_confirmed = on_confirmed
        self._flushing = asyncio.Lock()
        self._saved_estimates = b""
        self._estimates_due_s = 0.0
        self.log = logbook.Logger("recorder")

    async def delete_finished(self, jobs):
        """Delete the stored final states of jobs."""
        for first in range(0, len(jobs), MAX_ROWS):
            changes = tuple(
                Change(job_row_key(FINISHED, self.service, job), None)
                for job in jobs[first : first + MAX_ROWS]
            )
            owner = Expect(owner_row_key(self.service), self.owner_version)
            reply = await self.store.commit((owner,), changes)
            if isinstance(reply, Failure):
                self.log.info(
                    "final states not deleted",
                    extra={"rows": len(changes), "why": repr(reply.failure())},
                )

    async def delete_rows(self, conditions):
        """Delete rows; return the keys of those that lack the versions given now.

        Parameters
        ----------
        conditions : list of Expect
            The rows, and the versions that they must have.
        """
        gone = []
        # A transaction holds a condition and a removal for each row.
        size = MAX_ROWS // 2
        for first in range(0, len(conditions), size):
            batch = tuple(conditions[first : first + size])
            changes = tuple(Change(each.place, None) for each in batch)
            reply = await self.store.commit(batch, changes)
            if isinstance(reply, Success):
                gone += [each.place for each in batch]
            elif isinstance(reply.failure(), Conflict):
                # Others delete early cancellations too, or store a withdrawn job anew.
                rows = reply.failure().rows
                unchanged = {Expect(row.place, row.version) for row in rows}
                gone += [each.place for each in batch if each not in unchanged]
            else:
                self.log.info(
                    "rows not deleted",
                    extra={"rows": len(batch), "why": repr(reply.failure())},
                )
        return gone

    async def run(self):
        """Record changes until cancelled."""
        while True:
            try:
                async with asyncio.timeout(1.0):
                    await self.flush_requested.wait()
            except TimeoutError:
                pass
            self.flush_requested.clear()
            await asyncio.sleep(FLUSH_DELAY_S)
            while not await self.flush():  # noqa: ASYNC110
                await asyncio.sleep(STORE_PAUSE_S)
            await self.save_estimates()

    async def save_estimates(self):
        """Write the estimates, if due, so that the next owner starts from them."""
        now_s = self.clock.monotonic()
        if now_s < self._estimates_due_s:
            return
        row = EstimatesRow(
            slopes=self.shard.interference.export(),
            run_times=self.shard.run_times.export(),
        )
        estimates = encode_row(limit_estimates(row, self._max_row_bytes))
        if estimates == self._saved_estimates:
            return
        self._estimates_due_s = now_s + ESTIMATES_PERIOD_S
        owner = Expect(owner_row_key(self.service), self.owner_version)
        change = Change(estimates_row_key(self.service), estimates)
        reply = await self.store.commit((owner,), (change,))
        if isinstance(reply, Success):
            self._saved_estimates = estimates
        else:
            self.log.info("estimates not saved", extra={"why": repr(reply)})

    async def flush(self):
        """Record all changes; returns whether all are recorded."""
        # A concurrent record would acknowledge ends that the first has yet to write.
        async with self._flushing:
            return await self._record_all()

    async def _record_all(self):
        shard = self.shard
        snapshot = snapshot_ends(shard)
        self._retry_unstorable()
        dirty, shard.dirty = shard.dirty, {}
        items = [self._make_job_item(job) for job in dirty.values()]
        items += self._make_leased_worker_items()
        batches = batch_items(items, MAX_ROWS, MAX_BATCH_BYTES)
        while batches:
            outcome = await self._record(batches[0])
            if outcome is _Outcome.REJECTED and len(batches[0]) > 1:
                # One row that the store rejects must not hold up the others.
                batches[:1] = [[item] for item in batches[0]]
                continue
            if outcome is _Outcome.REJECTED and self._gives_up(batches[0][0]):
                self._leave_out(batches[0][0])
            elif outcome is not _Outcome.WRITTEN:
                self._restore_dirty(batches)
                return False
            del batches[0]
        note_recorded(shard, snapshot)
        self.ends_recorded.set()
        return True

    def _gives_up(self, item):
        """Return whether an item that the store rejects by itself is left out.

        One within the limits may be rejected for another reason than its own.
        """
        place = item.changes[0].place
        self._rejections[place] = self._rejections.get(place, 0) + 1
        sizes = [len(change.value or b"") for change in item.changes]
        is_too_large = max(sizes) > self._max_row_bytes or len(sizes) > MAX_ROWS
        if is_too_large or self._rejections[place] >= MAX_REJECTIONS:
            del self._rejections[place]
            return True
        return False

    def _restore_dirty(self, batches):
        """Keep the jobs of batches that were not written for the next record."""
        for item in (item for batch in batches for item in batch):
            if item.job is not None:
                self.shard.dirty.setdefault(item.job.job, item.job)
                item.job.unrecorded_ends |= item.ends

    def _retry_unstorable(self):
        """Include the jobs that the store rejected, now and then."""
        now_s = self.clock.monotonic()
        if now_s >= self._retry_s:
            self._retry_s = now_s + UNSTORABLE_RETRY_S
            self.shard.dirty = self.shard.unstorable | self.shard.dirty

    def _leave_out(self, item):
        """Leave an item out of the record; nothing builds on what it holds.

        Nothing more of its job is started, and its ends are not acknowledged.
        """
        if item.job is not None:
            item.job.unrecorded_ends |= item.ends
            self.shard.unstorable[item.job.job] = item.job
        self.rejected_rows += len(item.changes)
        for change in item.changes:
            self.log.error(
                "row rejected by the store",
                extra={
                    "table": change.place.table,
                    "key": change.place.key,
                    "bytes": len(change.value or b""),
                    "limit": self._max_row_bytes,
                },
            )

    def is_leased_workers_row_stale(self):
        """Return whether the rows lack a worker, or list one that has retired.

        A worker that has left and is listed again may not change the rows, but may be
        used only after another record.
        """
        workers = [each for each in self.shard.list_leased_workers() if each.storable]
        known = all(worker.in_leased_workers for worker in workers)
        ids = frozenset(worker.worker for worker in workers)
        return not known or ids != self.leased_workers.worker_ids

    def _make_leased_worker_items(self):
        if not self.is_leased_workers_row_stale():
            return []
        workers = [each for each in self.shard.list_leased_workers() if each.storable]
        for worker in self.shard.workers.values():
            # A worker that is left out may be used again only after another record.
            worker.in_leased_workers = worker.in_leased_workers and not worker.retired
        updates, too_large = self.leased_workers.plan_updates(workers)
        for worker in too_large:
            worker.storable = False
            self.log.error(
                "worker not used: its entry exceeds the size of a row",
                extra={"worker": worker.worker, "limit": self._max_row_bytes},
            )
        return [
            RecordItem(
                changes=(self._make_leased_workers_change(update),), leased=update
            )
            for update in updates
        ]

    def _make_leased_workers_change(self, update):
        row_key = leased_workers_row_key(self.service, update.number)
        return Change(row_key, update.encode())

    def _make_job_item(self, job):
        """Return the changes that record the present state of a job."""
        service = self.service
        ends, job.unrecorded_ends = job.unrecorded_ends, {}
        if not job.state.final:
            changes = self._make_progress_changes(job)
            return RecordItem(changes=changes, job=job, ends=ends)
        final = FinishedRow(state=job.state, at_ms=self.clock.wall_ms())
        changes = [
            Change(job_row_key(FINISHED, service, job.job), encode_row(final)),
            Change(job_row_key(ACCEPTED, service, job.job), None),
            *(
                Change(progress_row_key(service, job.job, number), None)
                for number in range(max(1, job.progress_rows))
            ),
        ]
        if job.cancelled:
            changes.append(Change(cancel_row_key(service, job.job), None))
        return RecordItem(
            changes=tuple(changes), job=job, ends=ends, final_state=job.state
        )

    def _make_progress_changes(self, job):
        """Return the rows of a job's progress; rows that are left over are removed."""
        values = divide_progress(job.export_progress(), self._max_row_bytes)
        job.progress_rows = max(job.progress_rows, len(values))
        values += [None] * (job.progress_rows - len(values))
        return tuple(
            Change(progress_row_key(self.service, job.job, number), value)
            for number, value in enumerate(values)
        )

    async def _record(self, items):
        """Write items in one commit; returns the outcome."""
        service = self.service
        ledger_row = LedgerRow(
            token=self.token,
            write=uuid.uuid4().hex[:12],
            settled=self.shard.all_workers_confirmed(),
        )
        changes = [Change(ledger_row_key(service), encode_row(ledger_row))]
        changes += [change for item in items for change in item.changes]
        expected = (
            Expect(owner_row_key(service), self.owner_version),
            Expect(ledger_row_key(service), self.ledger_version),
        )
        outcome = await self._commit(ledger_row, expected, tuple(changes))
        if outcome is _Outcome.WRITTEN:
            now_s = self.clock.monotonic()
            for item in items:
                self._note_written(item, now_s)
        return outcome

    def _note_written(self, item, now_s):
        if item.job is not None:
            self.shard.unstorable.pop(item.job.job, None)
        if item.final_state is not None:
            self.shard.note_finished(item.job.job, item.final_state, now_s)
        if item.leased is not None:
            self.leased_workers.note_written(item.leased)
            for worker_id in item.leased.entries:
                worker = self.shard.workers.get(worker_id)
                if worker is not None:
                    worker.in_leased_workers = True

    async def _commit(self, ledger_row, expected, changes):
        """Commit as the owner; returns the outcome."""
        sent_s = self.clock.monotonic()
        reply = await self.store.commit(expected, changes)
        if isinstance(reply, Success):
            self._on_confirmed(sent_s)
            self.ledger_version = reply.unwrap()
            return _Outcome.WRITTEN
        error = reply.failure()
        if isinstance(error, Rejected):
            self.log.error(
                "record rejected by the store",
                extra={"why": error.detail, "rows": len(changes)},
            )
            return _Outcome.REJECTED
        rows = ()
        if isinstance(error, Conflict):
            rows = error.rows
        elif isinstance(error, NoAnswer):
            found = await self.store.read(POOLS, self.service, "ledger", "ledger~")
            rows = found.unwrap().rows if isinstance(found, Success) else ()
        if self._was_written(ledger_row, rows, sent_s):
            return _Outcome.WRITTEN
        self.log.info(
            "record not written",
            extra={"why": type(error).__name__, "rows": len(changes)},
        )
        return _Outcome.NOT_WRITTEN

    def _was_written(self, ledger_row, rows, sent_s):
        """Return whether a commit was written, judged by the rows of its conditions."""
        for row in rows:
            if (
                row.place == owner_row_key(self.service)
                and row.version != self.owner_version
            ):
                self._on_lost("the owner row has changed")
                return False
            if row.place == ledger_row_key(self.service):
                self.ledger_version = row.version
                ledger = decode_row(row.value, LedgerRow)
                if ledger is not None and ledger.write == ledger_row.write:
                    self._on_confirmed(sent_s)
                    return True
        return False
