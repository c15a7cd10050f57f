"""Jobs as graphs of steps, and the policy of the queue that they came by."""

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
"""Most tasks of one occurrence; bounds the size of a progress row (64 KB)."""


class JobState(Enum):
    """What callers are told of a job."""

    QUEUED = "queued"
    RUNNING = "running"
    COMPLETED = "completed"
    FAILED = "failed"
    CANCELLED = "cancelled"

    @property
    def final(self):
        """Whether the job never changes again."""
        return self not in (JobState.QUEUED, JobState.RUNNING)


class Resources(msgspec.Struct, frozen=True, kw_only=True, omit_defaults=True):
    """What a task asks for, or a worker has."""

    cpu_millis: int = 0
    memory_mb: int = 0
    accelerators: int = 0


class StepSpec(msgspec.Struct, frozen=True, kw_only=True, omit_defaults=True):
    """One step of a job: tasks that are alike.

    Parameters
    ----------
    count : int
        Number of tasks.
    need : Resources
        What each task asks for.
    estimate_ms : int
        Rough run time of a task in milliseconds, as its caller declares it.
    after : tuple of int
        Numbers of earlier steps whose tasks must all have ended as done.
    checkpoints : bool
        Whether a stopped task resumes where it was.
    gang : bool
        Whether the tasks work only while all of them are present.
    same_rack : bool
        Whether the tasks are slow when spread over several racks.
    required_label : str
        Label that the worker must have; empty for any.
    data_rack : str
        Rack where the data lies; tasks are slow elsewhere.
    max_per_worker : int
        Most tasks of the step on one worker; 0 for no limit.
    speculative : bool
        Whether copies of a task may run in parallel.
    lasting : bool
        Whether the tasks run until the job is cancelled.
    image : str
        What the tasks run; tasks of an image behave alike.
    tail_target_ms : int
        Bound of a serving task's tail response time; 0 where it serves nobody.
    fills : bool
        Whether the tasks use only processor time that others leave.
    may_miss : int
        How many lasting tasks may be away at once by our own doing.
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
    """What a caller hands in.

    Parameters
    ----------
    payload : str
        Text passed on to each task unchanged.
    steps : tuple of StepSpec
        The graph; a step may follow only earlier ones.
    occurrences : int
        How often the steps run at set times; 0 for once, at once.
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
    """How the tasks of a queue are to be treated.

    Parameters
    ----------
    queue : str
        Name of the queue.
    service : ServiceId
        The pool of workers that runs its tasks.
    priority : int
        0 comes first.
    max_attempts : int
        Failed attempts after which a task, and its job, has failed.
    stretch : float
        The objective of a job, as a multiple of its longest chain of work.
    target_ms : int
        Constant part of that objective, in milliseconds.
    advice : bool
        Whether a start needs a ticket of the placement adviser.
    """

    queue: str
    service: ServiceId
    priority: int = 0
    max_attempts: int = 1
    stretch: float = 1.0
    target_ms: int = 0
    advice: bool = False


class JobRecord(msgspec.Struct, frozen=True, kw_only=True, omit_defaults=True):
    """An accepted job as it is stored."""

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
    """Return what is wrong with a job, one text a problem, each naming its field.

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
    place = f"steps[{number}]"
    problems = []
    if step.count < 1:
        problems.append(f"{place}.count: must be at least 1")
    need = step.need
    if min(need.cpu_millis, need.memory_mb, need.accelerators) < 0:
        problems.append(f"{place}: sizes must not be negative")
    for before in step.after:
        if not 0 <= before < number:
            problems.append(f"{place}.after: {before} is not an earlier step")
    return problems
