"""In-memory state of jobs, steps, tasks and attempts."""

import math
from enum import Enum

from fuchsiascale.decisions import StepRunTimes
from fuchsiascale.jobs._model import JobState, name_task
from fuchsiascale.jobs._number_ranges import NumberRanges
from fuchsiascale.jobs._records import ProgressRow

__all__ = [
    "Attempt",
    "AttemptPhase",
    "JobRun",
    "SlowedBy",
    "StepRun",
    "Task",
]

ATTEMPT_NUMBERS_PER_OWNER = 1_000
"""Number of attempt numbers reserved for each owner, so that owners never share one."""
FULL_SPEED_PERCENT = 100
MAX_OPEN_TASKS = 4_096
"""Tasks of a job in occurrences that have not finished, above which none is opened. It
bounds the memory and the progress of a job of which many occurrences are overdue."""


class AttemptPhase(Enum):
    """Phase of an attempt as its owner knows it.

    ``IN_DOUBT`` is a start without an answer, which may take effect later.
    """

    STARTING = "starting"
    IN_DOUBT = "in doubt"
    RUNNING = "running"
    STOPPING = "stopping"


class SlowedBy(Enum):
    """Why a filler is throttled.

    ``PREDICTION`` is the interference that is expected of it, ``TARGET_MISSED`` that
    all tasks of a serving job on its worker miss their target while it is a possible
    cause, ``WORKER_OVER_TARGET`` that they have done so for longer, and
    ``TASK_OVER_TARGET`` that a single serving task has.
    """

    PREDICTION = "prediction"
    TARGET_MISSED = "target missed"
    WORKER_OVER_TARGET = "worker over target"
    TASK_OVER_TARGET = "task over target"


class Attempt:
    """One run of a task on a worker.

    Attributes
    ----------
    phase_since_s : float
        Monotonic time at which the attempt entered its phase.
    progressed_at_s : float
        Monotonic time of the last increase of ``percent``.
    figure : int
        See `RunningAttempt`.
    pace, target_pace : int
        Speed in percent that the worker has confirmed, and that was last commanded.
    slowed_by : SlowedBy or None
        Why its target speed is below full speed, if it is; None for other tasks.
    has_full_run_time : bool
        Whether the run time is that of the whole task at full speed.
    is_start_in_doubt : bool
        Whether its start was not answered by the known incarnation of the worker, and
        it was not seen running since.
    start_until_s : float or None
        Monotonic time until which such a start, or an earlier call that extends its
        lease, may be carried out.
    relayed_by : str or None
        Address of the peer that relayed its start; None for a direct call, or if this
        owner has not sent it.
    start_age_s : float or None
        Age of its start when the answer, or its absence, was noted; None before, or if
        this owner has not sent it.
    """

    __slots__ = (
        "checkpoint",
        "figure",
        "has_full_run_time",
        "is_start_in_doubt",
        "number",
        "pace",
        "percent",
        "phase",
        "phase_since_s",
        "progressed_at_s",
        "relayed_by",
        "slowed_by",
        "start_age_s",
        "start_until_s",
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
        self.slowed_by = None
        self.stop_sent_s = None
        self.stop_answered_s = None
        self.has_full_run_time = not task.checkpoint
        self.is_start_in_doubt = False
        self.start_until_s = None
        self.relayed_by = None
        self.start_age_s = None

    def note_start_path(self, relayed_by, age_s):
        """Note by which path the start was sent, and its age when that was over."""
        self.relayed_by = relayed_by
        self.start_age_s = round(age_s, 3)

    def describe_start(self):
        """Return the fields of log lines about the start."""
        return {
            "task": self.task.name,
            "attempt": self.number,
            "worker": self.worker.worker,
            "relayed_by": self.relayed_by,
            "start_age_s": self.start_age_s,
        }

    def doubt_start(self, until_s):
        """Note that the start may be carried out unseen until a time."""
        self.is_start_in_doubt = True
        self.start_until_s = until_s

    def enter_phase(self, phase, now_s):
        """Enter a phase."""
        self.phase = phase
        self.phase_since_s = now_s


class Task:
    """One task of a step.

    Attributes
    ----------
    latest_number : int
        Highest attempt number that was started or seen; 0 for none.
    failed : set of int
        Numbers of the attempts that have failed.
    avoided_worker : str or None
        Worker to avoid: an attempt failed or stalled there, or it was unhealthy.
    preferred_worker : str or None
        Worker to which the task is being moved.
    preferred_until_s : float
        Monotonic time until which it waits for room there.
    stalls : int
        Number of attempts that were stopped because they made no progress.
    located : bool
        Whether this owner has seen an attempt run. An earlier owner can't have started
        another one then.
    lost_s : float
        Monotonic time at which the last attempt without a reported end was lost.
    """

    __slots__ = (
        "attempt",
        "avoided_worker",
        "checkpoint",
        "done",
        "failed",
        "index",
        "latest_number",
        "located",
        "lost_s",
        "name",
        "next_number",
        "preferred_until_s",
        "preferred_worker",
        "stalls",
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
        self.preferred_until_s = 0.0
        self.located = False
        self.lost_s = -math.inf
        self.stalls = 0

    @property
    def waiting(self):
        """Whether the task may be started."""
        return not self.done and self.attempt is None

    def prefer(self, worker, until_s):
        """Note that the task is to run next on a worker, if that has room in time."""
        self.preferred_worker = worker.worker
        self.preferred_until_s = until_s

    def mark_located(self):
        """Note that this owner has seen an attempt of the task run."""
        self.located = True
        self.step.note_located()

    def mark_done(self):
        """Mark the task as done."""
        if not self.done:
            self.done = True
            self.step.note_done()


class StepRun:
    """One step of one occurrence of a job.

    Attributes
    ----------
    remaining : int
        Number of tasks that are not done.
    done_s : float or None
        Monotonic time at which this owner learnt that all tasks are done; None for a
        step that was done before.
    is_spread : bool
        Whether it is a gang that is slow because it runs on several racks.
    waits_by_choice, most_waits_by_choice : int
        Number of tasks that wait for a place near their data now, though there may be
        room elsewhere, and the largest number so far.
    reservations : Reservations or None
        What was reserved for them.
    logged_decisions : frozenset of str
        Decisions about its place that were logged.
    run_times : StepRunTimes
        Run times of the tasks that are done.
    next_starvation_check_s : float
        Monotonic time of the next check whether the job makes no progress.
    is_located : bool
        Whether one of the tasks is located, see `Task`, or all those of a gang. No
        earlier owner can learn then that the step is done.
    """

    __slots__ = (
        "attempts_per_worker",
        "done_s",
        "is_located",
        "is_spread",
        "job",
        "logged_decisions",
        "most_waits_by_choice",
        "next_starvation_check_s",
        "number",
        "occurrence",
        "remaining",
        "reservations",
        "run_times",
        "spec",
        "tasks",
        "waits_by_choice",
    )

    def __init__(self, job, occurrence, number, spec, now_s):
        self.job = job
        self.occurrence = occurrence
        self.number = number
        self.spec = spec
        self.attempts_per_worker = {}
        self.remaining = spec.count
        self.next_starvation_check_s = 0.0
        self.is_located = False
        self.done_s = None
        self.is_spread = False
        self.waits_by_choice = 0
        self.most_waits_by_choice = 0
        self.reservations = None
        self.logged_decisions = frozenset()
        self.run_times = StepRunTimes()
        self.tasks = [
            Task(self, index, job.first_number, now_s) for index in range(spec.count)
        ]

    @property
    def done(self):
        """Whether all tasks are done."""
        return not self.remaining

    def count_without_room(self):
        """Return the number of tasks that wait, though not by choice."""
        waiting = sum(task.waiting for task in self.tasks)
        return max(0, waiting - self.waits_by_choice)

    def find_ready_s(self):
        """Return the monotonic time since which the step may run, as far as is known.

        After a takeover the end of the steps before it may be unknown. Its wait then
        counts from the job's acceptance, so that no takeover starts it anew.
        """
        steps = self.job.occurrences[self.occurrence]
        ends = [steps[before].done_s for before in self.spec.after]
        known = [end_s for end_s in ends if end_s is not None]
        return max([self.job.compute_due_s(self.occurrence), *known])

    def follows_located_step(self):
        """Return whether a step that this one had to wait for is located."""
        steps = self.job.occurrences[self.occurrence]
        return any(steps[before].is_located for before in self.spec.after)

    def note_located(self):
        """Note that a task is located; a gang's end is listed by any of its members."""
        if not self.is_located:
            self.is_located = not self.spec.gang or all(
                task.located for task in self.tasks
            )

    def note_done(self):
        """Count a task that has just been done."""
        self.remaining -= 1
        if not self.remaining:
            self.job.forget_derived()


class JobRun:
    """A job that an owner runs.

    Parameters
    ----------
    record : JobRecord
        The job as accepted.
    token : int
        The owner's fencing token.
    inherited : bool
        Whether an earlier owner may have started some of it.
    now_s : float
        Monotonic time.
    wall_ms : int
        Time of day in milliseconds since the epoch.

    Attributes
    ----------
    occurrences : dict
        Steps of the occurrences that have been opened and have not finished.
    progress_rows : int
        Number of rows in which its progress may be stored.
    ended_s : float or None
        Monotonic time at which it got its final state.
    unrecorded_ends : dict
        The lowest number of an end that no record covers, by worker and incarnation.
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
        self.ended_s = None
        self.occurrences = {}
        self.finished_occurrences = NumberRanges()
        self.progress_rows = 0
        self.unrecorded_ends = {}
        self.estimate = None
        self._next_occurrence = 0
        self._ready_steps = None

    @property
    def timed(self):
        """Whether the job runs at scheduled times."""
        return self.spec.occurrences > 0

    @property
    def lasting(self):
        """Whether the job runs until it is cancelled."""
        return any(step.lasting for step in self.spec.steps)

    def open_due_occurrences(self, now_s, wall_ms):
        """Add the occurrences that are due; returns whether any was due."""
        added = False
        while self._next_occurrence < max(1, self.spec.occurrences):
            occurrence = self._next_occurrence
            if self._is_unopened(occurrence):
                if self.timed and not self._may_open(occurrence, wall_ms):
                    break
                self.open_occurrence(occurrence, now_s)
                added = True
            self._next_occurrence += 1
        return added

    def _is_unopened(self, occurrence):
        return (
            occurrence not in self.occurrences
            and occurrence not in self.finished_occurrences
        )

    def _may_open(self, occurrence, wall_ms):
        """Return whether an occurrence is due and there are not too many open ones."""
        tasks = sum(step.count for step in self.spec.steps)
        return wall_ms >= self.compute_due_ms(occurrence) and (
            len(self.occurrences) * tasks < MAX_OPEN_TASKS
        )

    def compute_due_ms(self, occurrence):
        """Return when an occurrence is due, in milliseconds since the epoch."""
        return self.spec.first_run_ms + occurrence * self.spec.interval_ms

    def compute_due_s(self, occurrence):
        """Return the monotonic time at which an occurrence is due."""
        if not self.timed:
            return self.accepted_s
        after_ms = self.compute_due_ms(occurrence) - self.record.accepted_ms
        return self.accepted_s + max(0, after_ms) / 1000

    def open_occurrence(self, occurrence, now_s):
        """Create the steps of one occurrence."""
        self.forget_derived()
        self.occurrences[occurrence] = [
            StepRun(self, occurrence, number, spec, now_s)
            for number, spec in enumerate(self.spec.steps)
        ]

    def find_task(self, occurrence, step, index):
        """Return a task; None where the job has no such task, or it is long done."""
        steps = self.occurrences.get(occurrence)
        is_valid = 0 <= occurrence < max(1, self.spec.occurrences)
        if is_valid and self._is_unopened(occurrence):
            self.open_occurrence(occurrence, self.accepted_s)
            steps = self.occurrences[occurrence]
        if steps is None or not 0 <= step < len(steps):
            return None
        tasks = steps[step].tasks
        return tasks[index] if 0 <= index < len(tasks) else None

    def forget_derived(self):
        """Drop what was derived from the steps, after one of them has changed."""
        self.estimate = None
        self._ready_steps = None

    def find_ready_steps(self):
        """Return the unfinished steps whose predecessors are done."""
        if self._ready_steps is None:
            self._ready_steps = self._collect_ready_steps()
        return self._ready_steps

    def _collect_ready_steps(self):
        ready = []
        for occurrence, steps in list(self.occurrences.items()):
            done = [step.done for step in steps]
            if all(done):
                self.finished_occurrences.add(occurrence)
                if not any(task.attempt for step in steps for task in step.tasks):
                    del self.occurrences[occurrence]
                continue
            ready += [
                step
                for step, finished in zip(steps, done, strict=True)
                if not finished and all(done[before] for before in step.spec.after)
            ]
        return ready

    def is_complete(self):
        """Return whether all occurrences have finished."""
        self.find_ready_steps()
        return len(self.finished_occurrences) == max(1, self.spec.occurrences)

    def list_attempts(self):
        """Return the attempts of all tasks."""
        return [
            task.attempt
            for steps in self.occurrences.values()
            for step in steps
            for task in step.tasks
            if task.attempt is not None
        ]

    def measure_idle_s(self, now_s):
        """Return how long no task has had an attempt, counted from the first call."""
        if self.list_attempts():
            self.idle_since_s = None
            return 0.0
        if self.idle_since_s is None:
            self.idle_since_s = now_s
        return now_s - self.idle_since_s

    def restore(self, progress):
        """Restore the progress that an earlier owner recorded."""
        self.finished_occurrences = NumberRanges(progress.finished)
        for name, bits in progress.done.items():
            occurrence, step = (int(part) for part in name.split("."))
            done = int(bits, 16)
            for index in range(done.bit_length()):
                task = self.find_task(occurrence, step, index)
                if task is not None and done >> index & 1:
                    task.mark_done()
        for name, failures in progress.failed.items():
            task = self.find_task(*(int(part) for part in name.split(".")))
            if task is not None:
                task.failed = set(failures)
        for name, checkpoint in progress.checkpoints.items():
            task = self.find_task(*(int(part) for part in name.split(".")))
            if task is not None:
                task.checkpoint = checkpoint

    def export_progress(self):
        """Return the progress to record."""
        self.find_ready_steps()
        done, failed, checkpoints = {}, {}, {}
        for occurrence, steps in self.occurrences.items():
            if occurrence in self.finished_occurrences:
                continue
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
        return ProgressRow(
            done=done,
            failed=failed,
            checkpoints=checkpoints,
            finished=self.finished_occurrences.export(),
        )
