"""Attempts at tasks: their phases at an owner and their record in a chunk row."""

from enum import Enum

import msgspec

from fuchsiascale.ids import AttemptNumber, ChunkId, TaskId, WorkerId
from fuchsiascale.platform import AttemptKey, AttemptReport
from fuchsiascale.states import AttemptState, TaskState

__all__ = [
    "Attempt",
    "AttemptPhase",
    "advance_task",
    "cancel_task",
    "parse_task_id",
]


class AttemptPhase(Enum):
    """Phase of an attempt whose end is not recorded yet, as the owner knows it."""

    STARTING = "starting"
    RUNNING = "running"
    IN_DOUBT = "in-doubt"
    ENDED = "ended"


class Attempt(msgspec.Struct):
    """One attempt, from the choice of its worker to the record of its end.

    Parameters
    ----------
    report : AttemptReport
        The last known report; while starting, the attempt as requested.
    figures : tuple of str
        Measurements on which the choice of the worker was based.
    """

    worker: WorkerId
    phase: AttemptPhase
    report: AttemptReport
    figures: tuple[str, ...] = ()

    @property
    def key(self) -> AttemptKey:
        """The key that identifies the attempt."""
        return self.report.key

    @property
    def has_ended(self):
        """Whether the attempt is known to have ended."""
        return self.phase is AttemptPhase.ENDED

    def end(self, state, detail):
        """Set an end that the worker did not report."""
        self.phase = AttemptPhase.ENDED
        self.report = msgspec.structs.replace(self.report, state=state, detail=detail)


def parse_task_id(task):
    """Return the chunk id and the task index that a task id contains.

    Raises
    ------
    ValueError
        If the id has no index.

    Examples
    --------
    >>> parse_task_id("tune.0.17")
    ('tune.0', 17)
    """
    chunk, _, index = TaskId(task).rpartition(".")
    return ChunkId(chunk), int(index)


def advance_task(task, report, worker, max_failures, cancelled):
    """Return a task's record after the end of an attempt.

    Parameters
    ----------
    task : TaskRecord
    report : AttemptReport
        An ended attempt; one that is already recorded changes nothing.
    worker : WorkerId
    max_failures : int
        Failures after which the task is final.
    cancelled : bool
        Whether the chunk is cancelled, so that the task must not run again.

    Returns
    -------
    TaskRecord
    """
    if task.state.final or report.attempt <= task.attempt:
        return task
    changes = {"attempt": AttemptNumber(report.attempt), "worker": worker}
    changes["detail"] = report.detail
    if report.checkpoint is not None:
        changes["checkpoint"] = report.checkpoint
    if report.state is AttemptState.FINISHED:
        changes["state"] = TaskState.FINISHED
    elif report.state is AttemptState.FAILED:
        changes["failures"] = task.failures + 1
        if task.failures + 1 >= max_failures:
            changes["state"] = TaskState.FAILED
    elif report.state is AttemptState.CHECKPOINTED:
        changes["evictions"] = task.evictions + 1
    advanced = msgspec.structs.replace(task, **changes)
    return cancel_task(advanced) if cancelled else advanced


def cancel_task(task):
    """Return the record of a task that must not run again."""
    if task.state.final:
        return task
    return msgspec.structs.replace(task, state=TaskState.CANCELLED)
