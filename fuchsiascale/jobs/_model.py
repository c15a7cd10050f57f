"""Jobs as graphs of steps, and the policies of their queues."""

from enum import Enum

import msgspec

from fuchsiascale.ids import JobId, ServiceId, TaskId

__all__ = [
    "JobRecord",
    "JobSpec",
    "JobState",
    "QueuePolicy",
    "Resources",
    "StepSpec",
    "find_problems",
    "name_task",
    "split_task",
]

MAX_TASKS_PER_JOB = 4_096
"""Largest number of tasks of one occurrence; bounds a progress row to 64 KB."""


class JobState(Enum):
    """State of a job as callers see it."""

    QUEUED = "queued"
    RUNNING = "running"
    COMPLETED = "completed"
    FAILED = "failed"
    CANCELLED = "cancelled"

    @property
    def final(self):
        """Whether the state never changes again."""
        return self not in (JobState.QUEUED, JobState.RUNNING)


class Resources(msgspec.Struct, frozen=True, kw_only=True, omit_defaults=True):
    """Resources that a task requests or a worker has."""

    cpu_millis: int = 0
    memory_mb: int = 0
    accelerators: int = 0


class StepSpec(msgspec.Struct, frozen=True, kw_only=True, omit_defaults=True):
    """One step of a job: a number of identical tasks.

    Parameters
    ----------
    count : int
        Number of tasks.
    need : Resources
        Resources that each task requests.
    estimate_ms : int
        Rough run time of a task in milliseconds, as declared by the caller.
    after : tuple of int
        Numbers of earlier steps whose tasks must all be done first.
    checkpoints : bool
        Whether a stopped task resumes from its last checkpoint.
    gang : bool
        Whether the tasks make progress only while all of them run.
    same_rack : bool
        Whether the tasks are slow when spread over several racks.
    required_label : str
        Label that the worker must have; empty for any.
    data_rack : str
        Rack that holds the data; tasks are slow elsewhere.
    max_per_worker : int
        Largest number of tasks of the step on one worker; 0 for no limit.
    speculative : bool
        Whether copies of a task may run in parallel.
    lasting : bool
        Whether the tasks run until the job is cancelled.
    image : str
        Image that the tasks run; tasks of one image behave alike.
    tail_target_ms : int
        Bound on a serving task's tail response time; 0 for tasks that serve nobody.
    fills : bool
        Whether the tasks are fillers, which use only processor time that others leave.
    may_miss : int
        Number of long-running tasks that the scheduler may keep stopped at once.
    """

    count: int
    need: Resources = Resources()
    estimate_ms: int = 0
    after: tuple[int, ...] = ()
    checkpoints: bool = False
    gang: bool = False
    same_rack: bool = False
    required_label: str = ""
    data_rack: str = ""
    max_per_worker: int = 0
    speculative: bool = False
    lasting: bool = False
    image: str = ""
    tail_target_ms: int = 0
    fills: bool = False
    may_miss: int = 0


class JobSpec(msgspec.Struct, frozen=True, kw_only=True, omit_defaults=True):
    """Job as submitted by a caller.

    Parameters
    ----------
    payload : str
        Text passed unchanged to each task.
    steps : tuple of StepSpec
        The graph; a step may follow only earlier ones.
    occurrences : int
        Number of scheduled runs of the steps; 0 for one immediate run.
    first_run_ms, interval_ms : int
        Occurrence ``k`` is due at ``first_run_ms + k * interval_ms``, in
        milliseconds since the epoch.
    """

    payload: str
    steps: tuple[StepSpec, ...]
    occurrences: int = 0
    first_run_ms: int = 0
    interval_ms: int = 0


class QueuePolicy(msgspec.Struct, frozen=True, kw_only=True, omit_defaults=True):
    """How the jobs of a queue are scheduled.

    Parameters
    ----------
    queue : str
        Name of the queue.
    service : ServiceId
        The service whose workers run its tasks.
    priority : int
        Priority; 0 is the highest.
    max_attempts : int
        Failed attempts of a task after which its job fails.
    stretch : float
        Objective of a job's duration, as a multiple of its critical path.
    target_ms : int
        Constant part of that objective, in milliseconds.
    advice : bool
        Whether a start needs a ticket from the placement adviser.
    """

    queue: str
    service: ServiceId
    priority: int = 0
    max_attempts: int = 1
    stretch: float = 1.0
    target_ms: int = 0
    advice: bool = False


class JobRecord(msgspec.Struct, frozen=True, kw_only=True, omit_defaults=True):
    """An accepted job as stored."""

    job: JobId
    spec: JobSpec
    policy: QueuePolicy
    accepted_ms: int


def name_task(job, occurrence, step, index):
    """Return the id of a task.

    Examples
    --------
    >>> name_task("5c0e7a21d94b36f8", 0, 1, 17)
    '5c0e7a21d94b36f8.0.1.17'
    """
    return TaskId(f"{job}.{occurrence}.{step}.{index}")


def split_task(task):
    """Return job, occurrence, step and index of a task id; None if malformed.

    Examples
    --------
    >>> split_task("5c0e7a21d94b36f8.0.1.17")
    ('5c0e7a21d94b36f8', 0, 1, 17)
    >>> split_task("something else") is None
    True
    """
    parts = task.rsplit(".", 3)
    if len(parts) != 4 or not all(part.isdecimal() for part in parts[1:]):
        return None
    return JobId(parts[0]), int(parts[1]), int(parts[2]), int(parts[3])


def find_problems(spec):
    """Return the problems of a job, one text each, which names the field.

    Examples
    --------
    >>> find_problems(JobSpec(payload="", steps=()))
    ['steps: at least one is needed']
    >>> find_problems(JobSpec(payload="", steps=(StepSpec(count=1, after=(0,)),)))
    ['steps[0].after: 0 is not an earlier step']
    """
    if not spec.steps:
        return ["steps: at least one is needed"]
    problems = []
    if sum(max(step.count, 0) for step in spec.steps) > MAX_TASKS_PER_JOB:
        problems.append(f"steps: more than {MAX_TASKS_PER_JOB} tasks")
    if spec.occurrences < 0:
        problems.append("repeat_count: must not be negative")
    if spec.occurrences > 1 and spec.interval_ms <= 0:
        problems.append("interval_ms: must be positive where the job repeats")
    for number, step in enumerate(spec.steps):
        problems += _find_step_problems(number, step)
    return problems


def _find_step_problems(number, step):
    field = f"steps[{number}]"
    problems = []
    if step.count < 1:
        problems.append(f"{field}.count: must be at least 1")
    need = step.need
    if min(need.cpu_millis, need.memory_mb, need.accelerators) < 0:
        problems.append(f"{field}: sizes must not be negative")
    for before in step.after:
        if not 0 <= before < number:
            problems.append(f"{field}.after: {before} is not an earlier step")
    return problems
