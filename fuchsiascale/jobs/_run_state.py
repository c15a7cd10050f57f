"""The state of jobs in memory: steps, tasks and their attempts."""

from enum import Enum

from fuchsiascale.jobs._model import JobState, Resources, name_task
from fuchsiascale.jobs._records import ProgressRow

__all__ = [
    "Attempt",
    "AttemptPhase",
    "JobRun",
    "StepRun",
    "Task",
    "WorkerRun",
]

ATTEMPT_NUMBERS_PER_OWNER = 1_000
"""Attempt numbers set aside for each owner, so that no two owners use one twice."""
FULL_SPEED_PERCENT = 100
NO_RESOURCES = Resources()


class AttemptPhase(Enum):
    """What is known of an attempt."""

    STARTING = "starting"
    IN_DOUBT = "in doubt"
    RUNNING = "running"
    STOPPING = "stopping"


class Attempt:
    """One run of a task on a worker."""

    __slots__ = (
        "checkpoint",
        "figure",
        "has_full_run_time",
        "number",
        "pace",
        "percent",
        "phase",
        "phase_since_s",
        "progressed_at_s",
        "stop_answered_s",
        "stop_sent_s",
        "target_pace",
        "task",
        "worker",
    )

    def __init__(self, task, worker, number, phase, now_s):
        self.task = task
        self.worker = worker
        self.number = number
        self.phase = phase
        self.phase_since_s = now_s
        self.checkpoint = task.checkpoint
        self.percent = 0
        self.progressed_at_s = now_s
        self.figure = 0
        self.pace = FULL_SPEED_PERCENT
        self.target_pace = FULL_SPEED_PERCENT
        self.stop_sent_s = None
        self.stop_answered_s = None
        self.has_full_run_time = not task.checkpoint

    def enter_phase(self, phase, now_s):
        """Change the phase."""
        self.phase = phase
        self.phase_since_s = now_s


class Task:
    """One task of a step."""

    __slots__ = (
        "attempt",
        "avoided_worker",
        "checkpoint",
        "done",
        "failed",
        "index",
        "latest_number",
        "name",
        "next_number",
        "preferred_worker",
        "step",
        "waiting_since_s",
    )

    def __init__(self, step, index, first_number, now_s):
        self.step = step
        self.index = index
        self.name = name_task(step.job.job, step.occurrence, step.number, index)
        self.next_number = first_number
        self.latest_number = 0
        self.failed = set()
        self.checkpoint = ""
        self.done = False
        self.attempt = None
        self.avoided_worker = None
        self.waiting_since_s = None
        self.preferred_worker = None

    @property
    def waiting(self):
        """Whether the task may be started."""
        return not self.done and self.attempt is None


class StepRun:
    """One step of one occurrence of a job."""

    __slots__ = (
        "attempts_per_worker",
        "job",
        "number",
        "occurrence",
        "spec",
        "tasks",
    )

    def __init__(self, job, occurrence, number, spec, now_s):
        self.job = job
        self.occurrence = occurrence
        self.number = number
        self.spec = spec
        self.attempts_per_worker = {}
        self.tasks = [
            Task(self, index, job.first_number, now_s) for index in range(spec.count)
        ]

    @property
    def done(self):
        """Whether all tasks have ended as done."""
        return all(task.done for task in self.tasks)


class JobRun:
    """A job that an owner works on.

    Parameters
    ----------
    record : JobRecord
        The job as accepted.
    token : int
        The owner's token.
    inherited : bool
        Whether an earlier owner may have started some of it.
    now_s : float
        Monotonic time.
    wall_ms : int
        Time of day, for occurrences that are due already.
    """

    def __init__(self, record, token, inherited, now_s, wall_ms):
        self.record = record
        self.job = record.job
        self.spec = record.spec
        self.policy = record.policy
        self.inherited = inherited
        base = (token - 1) * ATTEMPT_NUMBERS_PER_OWNER if inherited else 0
        self.first_number = base + 1
        self.accepted_s = now_s - max(0, wall_ms - record.accepted_ms) / 1000
        self.state = JobState.QUEUED
        self.cancelled = False
        self.idle_since_s = None
        self.occurrences = {}
        self.finished_occurrences = set()

    @property
    def timed(self):
        """Whether the job runs at set times."""
        return self.spec.occurrences > 0

    @property
    def lasting(self):
        """Whether the job runs until it is cancelled."""
        return any(step.lasting for step in self.spec.steps)

    def open_due(self, now_s, wall_ms):
        """Add the occurrences that are due; returns whether any was added."""
        added = False
        for occurrence in range(max(1, self.spec.occurrences)):
            if occurrence in self.occurrences:
                continue
            if self.timed and wall_ms < self.due_ms(occurrence):
                break
            self.open_occurrence(occurrence, now_s)
            added = True
        return added

    def due_ms(self, occurrence):
        """Return when an occurrence is due, in milliseconds since the epoch."""
        return self.spec.first_run_ms + occurrence * self.spec.interval_ms

    def open_occurrence(self, occurrence, now_s):
        """Make the steps of one occurrence."""
        self.occurrences[occurrence] = [
            StepRun(self, occurrence, number, spec, now_s)
            for number, spec in enumerate(self.spec.steps)
        ]

    def find_task(self, occurrence, step, index):
        """Return a task; None where the job has no such task."""
        steps = self.occurrences.get(occurrence)
        if steps is None and 0 <= occurrence < max(1, self.spec.occurrences):
            self.open_occurrence(occurrence, self.accepted_s)
            steps = self.occurrences[occurrence]
        if steps is None or not 0 <= step < len(steps):
            return None
        tasks = steps[step].tasks
        return tasks[index] if 0 <= index < len(tasks) else None

    def find_ready_steps(self):
        """Return the unfinished steps whose predecessors are done."""
        ready = []
        for occurrence, steps in self.occurrences.items():
            if occurrence in self.finished_occurrences:
                continue
            done = [step.done for step in steps]
            if all(done):
                self.finished_occurrences.add(occurrence)
                continue
            ready += [
                step
                for step, finished in zip(steps, done, strict=True)
                if not finished and all(done[before] for before in step.spec.after)
            ]
        return ready

    def is_complete(self):
        """Return whether all occurrences have run to their end."""
        self.find_ready_steps()
        return len(self.finished_occurrences) == max(1, self.spec.occurrences)

    def attempts(self):
        """Return the attempts of all tasks."""
        return [
            task.attempt
            for steps in self.occurrences.values()
            for step in steps
            for task in step.tasks
            if task.attempt is not None
        ]

    def measure_idle_s(self, now_s):
        """Return for how long no task has had an attempt, since it was asked first."""
        if self.attempts():
            self.idle_since_s = None
            return 0.0
        if self.idle_since_s is None:
            self.idle_since_s = now_s
        return now_s - self.idle_since_s

    def restore(self, progress):
        """Take over what an earlier owner has recorded."""
        for name, bits in progress.done.items():
            occurrence, step = (int(part) for part in name.split("."))
            done = int(bits, 16)
            for index in range(done.bit_length()):
                task = self.find_task(occurrence, step, index)
                if task is not None and done >> index & 1:
                    task.done = True
        for name, failures in progress.failed.items():
            task = self.find_task(*(int(part) for part in name.split(".")))
            if task is not None:
                task.failed = set(failures)
        for name, checkpoint in progress.checkpoints.items():
            task = self.find_task(*(int(part) for part in name.split(".")))
            if task is not None:
                task.checkpoint = checkpoint

    def progress(self):
        """Return what has to be recorded of the job."""
        done, failed, checkpoints = {}, {}, {}
        for occurrence, steps in self.occurrences.items():
            for step in steps:
                bits = 0
                for task in step.tasks:
                    name = f"{occurrence}.{step.number}.{task.index}"
                    if task.done:
                        bits |= 1 << task.index
                        continue
                    if task.failed:
                        failed[name] = sorted(task.failed)
                    if task.checkpoint:
                        checkpoints[name] = task.checkpoint
                if bits:
                    done[f"{occurrence}.{step.number}"] = f"{bits:x}"
        return ProgressRow(done=done, failed=failed, checkpoints=checkpoints)


class WorkerRun:
    """A worker as its owner sees it.

    Parameters
    ----------
    listed : ListedWorker
        The worker's entry in the platform's list.
    now_s : float
        Monotonic time.
    """

    def __init__(self, listed, now_s):
        self.listed = listed
        self.worker = listed.worker
        self.incarnation = 0
        self.claimed = False
        self.silent = False
        self.in_leased_workers = False
        self.is_listed = True
        self.attempts = {}
        self.orphans = {}
        self.last_seen_end = 0
        self.last_recorded_end = 0
        self.clock_ms = None
        self.clock_read_s = now_s
        self.granted_until_ms = 0
        self.lease_expiry_s = None
        self.blocked_until_s = 0.0
        self.next_pace_s = 0.0
        self.next_observation_s = 0.0
        self.over_target_since_s = None
        self.task_over_target_since_s = None
        self.failed_jobs = set()
        self.suspensions = 0
        self.suspended_until_s = 0.0
        self.cpu_used = 0
        self.memory_used = 0
        self.accelerators_used = 0

    @property
    def draining(self):
        """Whether the worker is about to leave."""
        return self.listed.draining

    @property
    def retired(self):
        """Whether nothing runs on the worker, and nothing will be started there."""
        return (
            self.claimed
            and (self.draining or not self.is_listed)
            and not self.attempts
            and not self.orphans
        )

    def is_usable(self, now_s):
        """Return whether new attempts may be started here."""
        return (
            self.claimed
            and not self.silent
            and self.in_leased_workers
            and self.is_listed
            and not self.listed.draining
            and now_s >= self.blocked_until_s
            and self.clock_ms is not None
        )

    def occupy(self, attempt):
        """Count an attempt against the worker's capacity."""
        self.attempts[attempt.task.name] = attempt
        self._add(attempt, 1)

    def release(self, attempt):
        """Stop counting an attempt."""
        if self.attempts.get(attempt.task.name) is attempt:
            del self.attempts[attempt.task.name]
            self._add(attempt, -1)

    def _add(self, attempt, sign):
        step = attempt.task.step
        need = step.spec.need
        if not step.spec.fills:
            self.cpu_used += sign * need.cpu_millis
        self.memory_used += sign * need.memory_mb
        self.accelerators_used += sign * need.accelerators
        count = step.attempts_per_worker.get(self.worker, 0) + sign
        if count:
            step.attempts_per_worker[self.worker] = count
        else:
            step.attempts_per_worker.pop(self.worker, None)

    def fits(self, spec, instead_of=None):
        """Return whether a task of a step fits beside what is there.

        Parameters
        ----------
        spec : StepSpec
            The step.
        instead_of : Attempt, optional
            An attempt on this worker that would make room.
        """
        need, capacity = spec.need, self.listed.capacity
        freed = instead_of.task.step.spec if instead_of else None
        freed_need = freed.need if freed else NO_RESOURCES
        freed_cpu = 0 if freed is None or freed.fills else freed.need.cpu_millis
        cpu = (0 if spec.fills else need.cpu_millis) - freed_cpu
        memory_mb = need.memory_mb - freed_need.memory_mb
        accelerators = need.accelerators - freed_need.accelerators
        return (
            self.cpu_used + cpu <= capacity.cpu_millis
            and self.memory_used + memory_mb <= capacity.memory_mb
            and self.accelerators_used + accelerators <= capacity.accelerators
        )
