"""Cancellations as instances store them.

The cancellation of a stored job is a row beside the job's, and is removed with it. A
job that is not found may still be on its way to the store: in the queue of an instance,
or in a write without an answer. Its *early cancellation* is stored in a partition that
the owners of all services follow, so that whichever owner gets the job cancels it. The
partition is not one in which submissions wait for their commits.
"""

import asyncio
import uuid

import logbook
from returns.result import Failure, Success

from fuchsiascale.jobs._ports import Busy, Change, Conflict, Expect, NoAnswer
from fuchsiascale.jobs._records import (
    FINISHED,
    EarlyCancelsRow,
    cancel_row_key,
    early_cancels_row_key,
    encode_row,
    job_row_key,
)

__all__ = ["EarlyCancelWriter", "plan_batches", "write_cancellation"]

MIN_BATCH_PERIOD_S = 0.1
"""Least time between two batches of an instance."""
MAX_BATCHES_PER_S = 100
"""Batches of all instances; the smallest store takes 600 writes a second."""
MAX_JOBS_PER_S = 2_000
"""Jobs in the batches of all instances, each of which an owner keeps in mind for the
retention of the rows."""


async def write_cancellation(store, service, job):
    """Store the cancellation of a stored job.

    Returns
    -------
    Result of None
        Success if it is stored or the job has ended, else `Busy` or `NoAnswer`.
    """
    row_key = cancel_row_key(service, job)
    expected = (Expect(row_key, 0), Expect(job_row_key(FINISHED, service, job), 0))
    return await _write_once(store, expected, Change(row_key, b"{}"))


async def _write_once(store, expected, change):
    """Write a row, and again if no answer arrives; a conflict counts as success."""
    reply = await store.commit(expected, (change,))
    is_uncertain = _is_unanswered(reply)
    if is_uncertain:
        reply = await store.commit(expected, (change,))
    if isinstance(reply, Success) or isinstance(reply.failure(), Conflict):
        return Success(None)
    if is_uncertain and not _is_unanswered(reply):
        return Failure(NoAnswer("refused after a write without an answer"))
    return reply


def _is_unanswered(reply):
    return isinstance(reply, Failure) and isinstance(reply.failure(), NoAnswer)


def plan_batches(instances):
    """Return the period of an instance's batches, and the jobs that each may hold.

    Examples
    --------
    >>> plan_batches(3)
    (0.1, 66)
    >>> plan_batches(50)
    (0.5, 20)
    """
    period_s = max(MIN_BATCH_PERIOD_S, instances / MAX_BATCHES_PER_S)
    return period_s, int(MAX_JOBS_PER_S * period_s / instances)


class _Batch:
    """Jobs whose early cancellations share a row, and the result of writing it."""

    def __init__(self, period_s, max_jobs):
        self.period_s = period_s
        self.max_jobs = max_jobs
        self.jobs = {}
        self.result = asyncio.get_running_loop().create_future()


class EarlyCancelWriter:
    """Stores early cancellations of one instance, several in a row.

    Callers set the rate of early cancellations. Batches at a period keep the number of
    writes within a bound; what exceeds a batch is refused.

    Parameters
    ----------
    store : StorePort
        The store.
    ownership : OwnershipManager
        Members, and notices to owners.
    clock : Clock
        Source of time.
    """

    def __init__(self, store, ownership, clock):
        self._store = store
        self._ownership = ownership
        self._clock = clock
        self._batch = None
        self._next_batch_s = 0.0
        self._tasks = set()
        self.log = logbook.Logger("cancels")

    async def write(self, job):
        """Store the early cancellation of a job.

        Returns
        -------
        Result of None
            A failure is `Busy` if it was not stored, `NoAnswer` if that is unknown.
        """
        if self._batch is None:
            instances = 1 + len(self._ownership.members())
            self._batch = _Batch(*plan_batches(instances))
            task = asyncio.create_task(self._send(self._batch))
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)
        batch = self._batch
        if job not in batch.jobs and len(batch.jobs) >= batch.max_jobs:
            return Failure(Busy("too many cancels of unknown jobs"))
        batch.jobs[job] = None
        # A request that is given up must not end the wait of the others.
        return await asyncio.shield(batch.result)

    async def _send(self, batch):
        """Store a batch once its period has come."""
        result = Failure(NoAnswer("the writer stopped"))
        try:
            await asyncio.sleep(max(0.0, self._next_batch_s - self._clock.monotonic()))
            self._batch = None
            self._next_batch_s = self._clock.monotonic() + batch.period_s
            result = await self._write(tuple(batch.jobs))
        finally:
            batch.result.set_result(result)

    async def _write(self, jobs):
        row_key = early_cancels_row_key(uuid.uuid4().hex[:12])
        change = Change(row_key, encode_row(EarlyCancelsRow(jobs=jobs)))
        result = await _write_once(self._store, (Expect(row_key, 0),), change)
        if isinstance(result, Success):
            self._ownership.notify_early_cancels(jobs)
            self.log.info(
                "early cancellations stored",
                extra={"row": row_key.key, "jobs": len(jobs)},
            )
        else:
            self.log.info(
                "early cancellations not stored",
                extra={"jobs": len(jobs), "why": repr(result.failure())},
            )
        return result
