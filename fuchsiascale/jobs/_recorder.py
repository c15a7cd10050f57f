"""Records the state of an owner's jobs and workers in the store."""

import asyncio
import uuid

import logbook
from returns.result import Success

from fuchsiascale.jobs._ports import Change, Conflict, Expect, NoAnswer
from fuchsiascale.jobs._records import (
    ACCEPTED,
    FINISHED,
    POOLS,
    PROGRESS,
    EstimatesRow,
    FinishedRow,
    LeasedWorkersEntry,
    LeasedWorkersRow,
    LedgerRow,
    cancel_row_key,
    decode_row,
    encode_row,
    estimates_row_key,
    job_row_key,
    leased_workers_row_key,
    ledger_row_key,
    owner_row_key,
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
    clock : Clock
        Source of time.
    on_lost, on_confirmed : callable
        Called when the store shows that ownership was lost, and when it confirms it.
    """

    def __init__(self, shard, owner_version, store, clock, on_lost, on_confirmed):
        self.service = shard.service
        self.token = shard.token
        self.shard = shard
        self.owner_version = owner_version
        self.store = store
        self.clock = clock
        self.ledger_version = 0
        self.leased_worker_ids = frozenset()
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
            await self.store.commit((owner,), changes)

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
        estimates = encode_row(
            EstimatesRow(
                slopes=self.shard.interference.export(),
                run_times=self.shard.run_times.export(),
            )
        )
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
        snapshot = shard.snapshot_ends()
        dirty, shard.dirty = shard.dirty, {}
        leased_workers = self._build_leased_workers_row()
        if not dirty and leased_workers is None:
            shard.note_recorded(snapshot)
            self.ends_recorded.set()
            return True
        jobs = list(dirty.values())
        while jobs or leased_workers is not None:
            chunk, jobs = jobs[: MAX_ROWS // 4], jobs[MAX_ROWS // 4 :]
            if not await self._record(chunk, leased_workers):
                for job in chunk + jobs:
                    shard.dirty.setdefault(job.job, job)
                return False
            leased_workers = None
        shard.note_recorded(snapshot)
        self.ends_recorded.set()
        return True

    def is_leased_workers_row_stale(self):
        """Return whether the row lacks a worker, or lists one that has retired.

        A worker that has left and is listed again may not change the row, but may be
        used only after another record.
        """
        workers = self.shard.list_leased_workers()
        known = all(worker.in_leased_workers for worker in workers)
        ids = frozenset(worker.worker for worker in workers)
        return not known or ids != self.leased_worker_ids

    def _build_leased_workers_row(self):
        if not self.is_leased_workers_row_stale():
            return None
        workers = self.shard.list_leased_workers()
        for worker in self.shard.workers.values():
            # A worker that is left out may be used again only after another record.
            worker.in_leased_workers = worker.in_leased_workers and not worker.retired
        return LeasedWorkersRow(
            workers=tuple(
                LeasedWorkersEntry(worker=worker.listed) for worker in workers
            )
        )

    async def _record(self, jobs, leased_workers):
        """Write the state of jobs, and the leased workers unless None, in one commit.

        Returns whether the commit is known to be written.
        """
        service = self.service
        now_s, now_ms = self.clock.monotonic(), self.clock.wall_ms()
        ledger_row = LedgerRow(token=self.token, write=uuid.uuid4().hex[:12])
        changes = [Change(ledger_row_key(service), encode_row(ledger_row))]
        expected = [
            Expect(owner_row_key(service), self.owner_version),
            Expect(ledger_row_key(service), self.ledger_version),
        ]
        finished = []
        for job in jobs:
            if job.state.final:
                finished.append((job, job.state))
                final = FinishedRow(state=job.state, at_ms=now_ms)
                changes += [
                    Change(job_row_key(FINISHED, service, job.job), encode_row(final)),
                    Change(job_row_key(ACCEPTED, service, job.job), None),
                    Change(job_row_key(PROGRESS, service, job.job), None),
                ]
                if job.cancelled:
                    changes.append(Change(cancel_row_key(service, job.job), None))
            else:
                row_key = job_row_key(PROGRESS, service, job.job)
                changes.append(Change(row_key, encode_row(job.export_progress())))
        if leased_workers is not None:
            changes.append(
                Change(leased_workers_row_key(service), encode_row(leased_workers))
            )
        done = await self._commit(ledger_row, tuple(expected), tuple(changes))
        if not done:
            return False
        for job, state in finished:
            self.shard.note_finished(job.job, state, now_s)
        if leased_workers is not None:
            self.leased_worker_ids = leased_workers.ids()
            for worker_id in self.leased_worker_ids:
                worker = self.shard.workers.get(worker_id)
                if worker is not None:
                    worker.in_leased_workers = True
        return True

    async def _commit(self, ledger_row, expected, changes):
        """Commit as the owner; returns whether the commit is known to be written."""
        reply = await self.store.commit(expected, changes)
        if isinstance(reply, Success):
            self._on_confirmed()
            self.ledger_version = reply.unwrap()
            return True
        error = reply.failure()
        if isinstance(error, Conflict):
            return self._resolve_commit(ledger_row, error.rows)
        if isinstance(error, NoAnswer):
            found = await self.store.read(POOLS, self.service, "ledger", "ledger~")
            if isinstance(found, Success) and found.unwrap().rows:
                return self._resolve_commit(ledger_row, found.unwrap().rows)
        return False

    def _resolve_commit(self, ledger_row, rows):
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
                    self._on_confirmed()
                    return True
        return False
