"""Records what an owner knows of its jobs, so that it lasts."""

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
    FinishedRow,
    LearntRow,
    LedgerRow,
    RosterEntry,
    RosterRow,
    cancel_place,
    decode_row,
    encode_row,
    job_place,
    learnt_place,
    ledger_place,
    owner_place,
    roster_place,
)

__all__ = ["Recorder"]

FLUSH_DELAY_S = 0.03
"""Time in which ends are gathered before they are recorded."""
STORE_PAUSE_S = 0.15
"""Pause after a store call that failed."""
LEARNT_PERIOD_S = 3.0
"""Least time between two writes of what was learnt."""
MAX_ROWS = 90
"""Changes in one transaction; the platform takes 100 entries."""


class Recorder:
    """Writes progress, final states and the roster under the owner's row.

    Each record advances the ledger row under a condition, so that a commit that is
    carried out late can't undo a later one.

    Parameters
    ----------
    shard : Shard
        What is recorded.
    owner_version : int
        Version of the owner row; another one means another owner.
    store : StorePort
        The store.
    clock : Clock
        Source of time.
    on_lost, on_confirmed : callable
        Called when another owner is found in office, and when none is.
    """

    def __init__(self, shard, owner_version, store, clock, on_lost, on_confirmed):
        self.service = shard.service
        self.token = shard.token
        self.shard = shard
        self.owner_version = owner_version
        self.store = store
        self.clock = clock
        self.ledger_version = 0
        self.roster_ids = frozenset()
        self.wake = asyncio.Event()
        self.recorded = asyncio.Event()
        self._on_lost = on_lost
        self._on_confirmed = on_confirmed
        self._flushing = asyncio.Lock()
        self._learnt = b""
        self._learnt_due_s = 0.0
        self.log = logbook.Logger("recorder")

    async def forget(self, jobs):
        """Remove final states that need not be told any more."""
        for first in range(0, len(jobs), MAX_ROWS):
            changes = tuple(
                Change(job_place(FINISHED, self.service, job), None)
                for job in jobs[first : first + MAX_ROWS]
            )
            owner = Expect(owner_place(self.service), self.owner_version)
            await self.store.commit((owner,), changes)

    async def run(self):
        """Record what changes, until cancelled."""
        while True:
            try:
                async with asyncio.timeout(1.0):
                    await self.wake.wait()
            except TimeoutError:
                pass
            self.wake.clear()
            await asyncio.sleep(FLUSH_DELAY_S)
            while not await self.flush():  # noqa: ASYNC110
                await asyncio.sleep(STORE_PAUSE_S)
            await self.keep_learnt()

    async def keep_learnt(self):
        """Write what was learnt now and then, so that the next owner starts from it."""
        now_s = self.clock.monotonic()
        if now_s < self._learnt_due_s:
            return
        learnt = encode_row(
            LearntRow(
                slopes=self.shard.harm.export(),
                run_times=self.shard.run_times.export(),
            )
        )
        if learnt == self._learnt:
            return
        self._learnt_due_s = now_s + LEARNT_PERIOD_S
        owner = Expect(owner_place(self.service), self.owner_version)
        change = Change(learnt_place(self.service), learnt)
        reply = await self.store.commit((owner,), (change,))
        if isinstance(reply, Success):
            self._learnt = learnt
        else:
            self.log.info("what was learnt is not kept", extra={"why": repr(reply)})

    async def flush(self):
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
            self.recorded.set()
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
        self.recorded.set()
        return True

    def roster_is_stale(self):
        """Return whether the roster lacks a worker, or names one that has retired.

        A worker that has left and is listed again is the same to the row, but may
        be used only once a record has said so.
        """
        workers = self.shard.list_roster()
        known = all(worker.in_roster for worker in workers)
        ids = frozenset(worker.worker for worker in workers)
        return not known or ids != self.roster_ids

    def _changed_roster(self):
        if not self.roster_is_stale():
            return None
        workers = self.shard.list_roster()
        for worker in self.shard.workers.values():
            # One that is left out may be used again only after another record.
            worker.in_roster = worker.in_roster and not worker.retired
        return RosterRow(
            workers=tuple(RosterEntry(worker=worker.listed) for worker in workers)
        )

    async def _record(self, jobs, roster):
        """Write the state of jobs, and the roster; returns whether it is written."""
        service = self.service
        now_s, now_ms = self.clock.monotonic(), self.clock.wall_ms()
        mark = LedgerRow(token=self.token, write=uuid.uuid4().hex[:12])
        changes = [Change(ledger_place(service), encode_row(mark))]
        expected = [
            Expect(owner_place(service), self.owner_version),
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
            self._on_confirmed()
            self.ledger_version = reply.unwrap()
            return True
        error = reply.failure()
        if isinstance(error, Conflict):
            return self._settle(mark, error.rows)
        if isinstance(error, NoAnswer):
            found = await self.store.read(POOLS, self.service, "ledger", "ledger~")
            if isinstance(found, Success) and found.unwrap().rows:
                return self._settle(mark, found.unwrap().rows)
        return False

    def _settle(self, mark, rows):
        """Find out from the rows of its conditions what became of a commit."""
        for row in rows:
            if (
                row.place == owner_place(self.service)
                and row.version != self.owner_version
            ):
                self._on_lost("the owner row has changed")
                return False
            if row.place == ledger_place(self.service):
                self.ledger_version = row.version
                ledger = decode_row(row.value, LedgerRow)
                if ledger is not None and ledger.write == mark.write:
                    self._on_confirmed()
                    return True
        return False
