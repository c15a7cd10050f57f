"""A chunk at its owner: the durable row and the live attempts."""

import msgspec

from fuchsiascale.coordination._attempts import (
    Attempt,
    AttemptPhase,
    advance_task,
    cancel_task,
)
from fuchsiascale.coordination._records import ChunkRecord
from fuchsiascale.ids import ChunkId
from fuchsiascale.platform import Message

__all__ = ["LiveChunk", "compute_record", "drop_recorded", "list_startable"]


class LiveChunk(msgspec.Struct):
    """One assigned chunk.

    Parameters
    ----------
    record : ChunkRecord or None
        The durable row as last read or written; None before the first read.
    version : int
        Version of the durable row.
    assignment_version : int
        Version of the assignment row.
    sequence : int
        Sequence number of the last read; tasks start only if the row was read
        after the claims.
    stale : bool
        Whether the row must be read again.
    stale_after_write : bool
        Whether the row is stale only because a write by this owner failed or may
        have failed. Its waiting tasks still wait, so the owner keeps starting them
        during an outage of the store.
    pending : Message or None
        The read or write in flight.
    attempts : dict
        Attempts whose end is not recorded yet, by task index.
    reasons : dict
        Why a task was not started, by task index.
    due_s : float
        Monotonic time before which the row is not read or written again, in seconds.
    written_s : float
        Monotonic time of the last write, in seconds.
    idle_since_s : float
        Monotonic time since which none of its tasks has been running, in seconds.
    """

    chunk: ChunkId
    record: ChunkRecord | None = None
    version: int = 0
    assignment_version: int = 0
    sequence: int = 0
    stale: bool = True
    stale_after_write: bool = False
    pending: Message | None = None
    attempts: dict[int, Attempt] = {}
    reasons: dict[int, str] = {}
    due_s: float = 0.0
    written_s: float = float("-inf")
    idle_since_s: float = 0.0


def compute_record(chunk, max_failures):
    """Return the row that records all known ends and a cancellation.

    Parameters
    ----------
    chunk : LiveChunk
    max_failures : int
        Failures after which a task is final.

    Returns
    -------
    ChunkRecord
        Equal to the durable row if there is nothing to record.
    """
    record = chunk.record
    tasks = list(record.tasks)
    for position, task in enumerate(tasks):
        attempt = chunk.attempts.get(task.index)
        if attempt is None:
            tasks[position] = cancel_task(task) if record.cancelled else task
        elif attempt.has_ended:
            tasks[position] = advance_task(
                task, attempt.report, attempt.worker, max_failures, record.cancelled
            )
    return msgspec.structs.replace(record, tasks=tuple(tasks))


def drop_recorded(chunk):
    """Drop the ended attempts that the durable row records, and return them."""
    tasks = {task.index: task for task in chunk.record.tasks}
    recorded = [
        (index, attempt)
        for index, attempt in chunk.attempts.items()
        if attempt.phase is AttemptPhase.ENDED
        and tasks[index].has_ended(attempt.report.attempt)
    ]
    for index, _ in recorded:
        del chunk.attempts[index]
    return [attempt for _, attempt in recorded]


def list_startable(chunk):
    """Return the tasks that wait and have no attempt in progress."""
    if chunk.record is None or chunk.record.cancelled:
        return []
    if chunk.stale and not chunk.stale_after_write:
        return []
    return [
        task
        for task in chunk.record.tasks
        if not task.state.final and task.index not in chunk.attempts
    ]
