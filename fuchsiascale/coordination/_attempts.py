"""Attempts at tasks: their life at an owner, and what they leave in a row."""

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
    """What the owner knows of an attempt that is not yet recorded as over."""

    STARTING = "starting"
    RUNNING = "running"
    IN_DOUBT = "in-doubt"
    ENDED = "ended"


class Attempt(msgspec.Struct):
    """One attempt from the choice of its worker to the record of its end.

    Parameters
    ----------
    report : AttemptReport
        The last that is known; while starting, what was asked for.
    figures : tuple of str
        What spoke for the worker when it was chosen.
    """

    worker: WorkerId
    phase: AttemptPhase
    report: AttemptReport
    figures: tuple[str, ...] = ()

    @property
    def key(self) -> AttemptKey:
        """The attempt's name."""
        return self.report.key

    @property
    def has_ended(self):
        """Whether the attempt is known to be over."""
        return self.phase is AttemptPhase.ENDED

    def end(self, state, detail):
        """Note an end that the worker did not report itself."""
        self.phase = AttemptPhase.ENDED
        self.report = msgspec.structs.replace(self.report, state=state, detail=detail)


def parse_task_id(task):
    """Return the chunk and the index that a task id names.

    Raises
    ------
    ValueError
        Where the id has no index.

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
        An ended attempt; one that the record has passed changes nothing.
    worker : WorkerId
    max_failures : int
        Failures after which the task is given up.
    cancelled : bool
        Whether the chunk is cancelled, so that the task is not run again.

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
    """Return the record of a task that is not to run again."""
    if task.state.final:
        return task
    return msgspec.structs.replace(task, state=TaskState.CANCELLED)
