"""A chunk in the hands of its owner: the durable row and the live attempts."""

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
        Order of the last read against claims; starts need one after the claims.
    stale : bool
        Whether the row must be read again.
    stale_after_write : bool
        Whether that is only because an own write failed or may have failed: what
        waits still waits, and an owner goes on starting it in an outage.
    pending : Message or None
        The read or write in flight.
    attempts : dict
        By task index, attempts whose end is not recorded yet.
    reasons : dict
        By task index, why the task was not started.
    due_s : float
        Monotonic time before which the row is not tried again, in seconds.
    written_s : float
        Monotonic time of the last write, in seconds.
    idle_since_s : float
        Monotonic time since which none of its tasks runs, in seconds.
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
    """Return the row that records all ends known, and a cancellation.

    Parameters
    ----------
    chunk : LiveChunk
    max_failures : int
        Failures after which a task is given up.

    Returns
    -------
    ChunkRecord
        Equal to the durable one where there is nothing to record.
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
    """Forget the ended attempts that the durable row has passed; return them."""
    tasks = {task.index: task for task in chunk.record.tasks}
    recorded = [
        (index, attempt)
        for index, attempt in chunk.attempts.items()
        if attempt.phase is AttemptPhase.ENDED
        and tasks[index].has_passed(attempt.report.attempt)
    ]
    for index, _ in recorded:
        del chunk.attempts[index]
    return [attempt for _, attempt in recorded]


def list_startable(chunk):
    """Return the tasks that wait and have no attempt in the air."""
    if chunk.record is None or chunk.record.cancelled:
        return []
    if chunk.stale and not chunk.stale_after_write:
        return []
    return [
        task
        for task in chunk.record.tasks
        if not task.state.final and task.index not in chunk.attempts
    ]
