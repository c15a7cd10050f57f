"""Commands of a shard to its workers."""

import msgspec

from fuchsiascale.ids import TaskId
from fuchsiascale.jobs._run_state import Attempt
from fuchsiascale.jobs._worker_state import WorkerRun

__all__ = ["PaceCommand", "StartCommand", "StopCommand"]


class StartCommand(msgspec.Struct, frozen=True):
    """Command to start an attempt."""

    attempt: Attempt


class StopCommand(msgspec.Struct, frozen=True):
    """Command to stop an attempt, which the shard may not know or may not run yet."""

    worker: WorkerRun
    task: TaskId
    number: int


class PaceCommand(msgspec.Struct, frozen=True):
    """Command to set the speed of an attempt."""

    attempt: Attempt
    percent: int
