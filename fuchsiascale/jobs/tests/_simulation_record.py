"""What workers and callers of a simulation saw, and the rules that were broken."""

import enum
import math

import msgspec

from fuchsiascale.jobs import EndKind, JobState, split_task
from fuchsiascale.jobs.tests._simulation_operator import EVACUATION_BOUND_S

__all__ = ["Break", "Record", "Rule", "Run"]

VISIBLE_S = 1.0
"""Time after which an undisturbed instance has to know that a job was completed."""


class Rule(enum.StrEnum):
    """Rules, by the names that the platform gives them."""

    TWICE_AT_ONCE = "TWICE: two runs at once"
    TWICE_AFTER_DONE = "TWICE: a start after an acknowledged end"
    TWICE_AFTER_SHOWN = "TWICE: a start after the job was shown as completed"
    LIMIT = "LIMIT: more runs than the worker has room for"
    ORDER = "ORDER: a start before the steps that it follows"
    BUDGET = "BUDGET: a start after the last allowed attempt"
    UNASKED = "UNASKED: a start with another checkpoint"
    RUNS_ON = "UNASKED: a run goes on whose job's cancel was acknowledged"
    REFUSED = "REFUSED: a start of a job that was refused"
    MIXED = "MIXED: a job shown as completed before all its tasks were done"
    LOST = "LOST: an accepted job that is unknown or has not ended"
    EVACUATED = "EVACUATED: a start in an evacuated domain after the bound"
    ERROR = "ERROR: a component of the product failed"


class Break(msgspec.Struct, frozen=True):
    """A rule that was broken."""

    rule: Rule
    at_s: float
    text: str


class Run(msgspec.Struct, eq=False):
    """A run of a task at a worker; ``end_s`` is None while it lasts.

    ``sender`` is the instance and token whose order started it, and the peer that
    relayed the order.
    """

    task: str
    number: int
    worker: str
    sender: str
    began_s: float
    end_s: float | None = None
    end_kind: EndKind | None = None
    is_acknowledged: bool = False


class Record:
    """All runs and breaks of a simulation.

    Parameters
    ----------
    clock : Clock
        Source of time.
    is_undisturbed : callable
        Returns whether an instance has been without disturbances, by its address.
    """

    def __init__(self, clock, is_undisturbed):
        self._clock = clock
        self._is_undisturbed = is_undisturbed
        self.specs = {}
        self.breaks = []
        self.events = []
        self.refused = set()
        self.shown_completed = {}
        self.changed_s = clock.monotonic()
        self.evacuated_s = {}
        self._runs = {}

    def note(self, text):
        """Keep a line of the trace."""
        self.events.append((self._clock.monotonic(), text))

    def report(self, rule, text):
        """Keep a break of a rule."""
        self.breaks.append(Break(rule, self._clock.monotonic(), text))
        self.note(f"*** {rule}: {text}")

    def list_runs(self, task):
        """Return the runs of a task, in the order of their starts."""
        return self._runs.get(task, [])

    def count_runs(self):
        """Return the number of all runs."""
        return sum(map(len, self._runs.values()))

    def count_relayed_runs(self):
        """Return the number of runs that peers of their owners started."""
        runs = (run for runs in self._runs.values() for run in runs)
        return sum(" via " in run.sender for run in runs)

    def is_done(self, task):
        """Return whether a run of a task, or of its gang, has ended as done."""
        return any(run.end_kind is EndKind.DONE for run in self.list_runs(task))

    def begin(self, run, checkpoint):
        """Keep a start, and check the rules on starts."""
        self.changed_s = run.began_s
        self.note(f"{run.worker} starts {run.task} #{run.number} for {run.sender}")
        earlier = self._runs.setdefault(run.task, [])
        where = f"{run.task} #{run.number} on {run.worker} for {run.sender}"
        for other in earlier:
            of = f"{where}; #{other.number} on {other.worker} for {other.sender}"
            if other.end_s is None:
                self.report(Rule.TWICE_AT_ONCE, of)
            if other.end_kind is EndKind.DONE and other.is_acknowledged:
                self.report(Rule.TWICE_AFTER_DONE, f"{of} ended {other.end_s:.3f}")
        earlier.append(run)
        self._check_job(run, where)
        self._check_domain(run, where)
        of_task = checkpoint.partition("/")[2]
        if checkpoint and self.name_work(of_task) != self.name_work(run.task):
            self.report(Rule.UNASKED, f"{where}: {checkpoint}")

    def name_work(self, task):
        """Return what shares its checkpoints: a task, or the step of a gang."""
        job, _, step, _ = split_task(task)
        is_gang = self.specs[job][0].steps[step].gang
        return task.rpartition(".")[0] if is_gang else task

    def _check_job(self, run, where):
        job, _, step, _ = split_task(run.task)
        spec, policy = self.specs[job]
        if job in self.refused:
            self.report(Rule.REFUSED, where)
        is_late = run.began_s - self.shown_completed.get(job, math.inf) > VISIBLE_S
        if is_late and self._is_undisturbed(run.sender.partition("/")[0]):
            self.report(Rule.TWICE_AFTER_SHOWN, where)
        for before in spec.steps[step].after:
            tasks = [f"{job}.0.{before}.{n}" for n in range(spec.steps[before].count)]
            if not all(map(self.is_done, tasks)):
                self.report(Rule.ORDER, where)
        failures = [
            each
            for each in self.list_runs(run.task)
            if each.end_kind is EndKind.FAILED and each.is_acknowledged
        ]
        if len(failures) >= policy.max_attempts and not spec.steps[step].lasting:
            self.report(Rule.BUDGET, where)

    def _check_domain(self, run, where):
        """Check a start against evacuations; a worker's id ends with its domain."""
        domain = run.worker.rpartition("-")[2]
        since_s = run.began_s - self.evacuated_s.get(domain, math.inf)
        if since_s > EVACUATION_BOUND_S:
            self.report(Rule.EVACUATED, f"{where}, {since_s:.3f} s after the request")

    def note_evacuated(self, domain):
        """Keep that the store has taken the evacuation of a domain."""
        self.evacuated_s[domain] = self._clock.monotonic()
        self.note(f"--- {domain} evacuated")

    def note_taken_back(self, domain):
        """Keep that the evacuation of a domain is being withdrawn."""
        self.evacuated_s.pop(domain, None)
        self.note(f"--- {domain} taken back")

    def end(self, run, end_kind):
        """Keep the end of a run."""
        run.end_s = self.changed_s = self._clock.monotonic()
        run.end_kind = end_kind
        self.note(f"{run.worker} ends {run.task} #{run.number}: {end_kind.value}")

    def acknowledge(self, run):
        """Keep that an end was acknowledged before the worker's lease lapsed."""
        if run.is_acknowledged:
            return
        run.is_acknowledged = True
        self.note(f"{run.worker} forgets the end of {run.task} #{run.number}")
        if run.end_kind is not EndKind.DONE:
            return
        runs = self._runs[run.task]
        for other in runs[runs.index(run) + 1 :]:
            if other.began_s >= run.end_s:
                text = f"{other.task} #{other.number} on {other.worker} for "
                text += f"{other.sender}, began {other.began_s:.3f}; #{run.number} on "
                text += f"{run.worker} ended {run.end_s:.3f}"
                self.report(Rule.TWICE_AFTER_DONE, text)

    def note_refused(self, job):
        """Keep that all attempts to hand in a job were refused."""
        self.refused.add(job)
        if any(split_task(task)[0] == job for task in self._runs):
            self.report(Rule.REFUSED, job)

    def note_state(self, job, state):
        """Keep the state of a job that a caller was shown."""
        if state is not JobState.COMPLETED or job in self.shown_completed:
            return
        self.shown_completed[job] = self._clock.monotonic()
        spec, _ = self.specs[job]
        for number, step in enumerate(spec.steps):
            names = [f"{job}.0.{number}.{index}" for index in range(step.count)]
            done = list(map(self.is_done, names))
            if not (any(done) if step.gang else all(done)):
                self.report(Rule.MIXED, job)
