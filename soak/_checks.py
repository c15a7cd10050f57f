"""Checks of what callers and runners have seen, against the promises of the system."""

import math
from dataclasses import dataclass, field

from review.harness import find_repeated_runs

__all__ = [
    "CANCEL_ACKNOWLEDGEMENTS",
    "Evacuation",
    "Job",
    "check_all",
    "check_evacuations",
]

REJECTIONS = (404, 429, 503)
"""Statuses that say that a job was not accepted and never runs."""
CANCEL_ACKNOWLEDGEMENTS = (200, 202, 204, 410)
"""Statuses after which nobody cancels a job again; 410 says that there is none."""
HELD_S = 9.0
"""Longest time for which the relay holds a request, and a margin."""


@dataclass
class Job:
    """A job as its caller sees it.

    Attributes
    ----------
    answers : list of (int or None)
        Status of each attempt to hand it in; None without an answer.
    cancels : list of (int or None)
        Status of each attempt to cancel it.
    shown : list of (float, int or None, str or None)
        Time, status and state of each answer about its state.
    final : (int or None, str or None)
        Status and state after the play; None for the status without an answer.
    """

    name: str
    path: str
    spec: str
    steps: list
    answers: list = field(default_factory=list)
    cancels: list = field(default_factory=list)
    shown: list = field(default_factory=list)
    final: tuple = (None, None)

    @property
    def accepted(self):
        """Whether an attempt to hand it in was answered with success."""
        return any(status and 200 <= status < 300 for status in self.answers)

    @property
    def rejected(self):
        """Whether each attempt to hand it in was answered with a rejection."""
        return all(status in REJECTIONS for status in self.answers)

    @property
    def cancelled(self):
        """Whether an attempt to cancel it was acknowledged."""
        return any(status in CANCEL_ACKNOWLEDGEMENTS for status in self.cancels)


@dataclass
class Evacuation:
    """A domain that the operator evacuates.

    Attributes
    ----------
    began_s : float
        When the store had acknowledged the request.
    ended_s : float or None
        When it was withdrawn; None before that.
    """

    domain: str
    began_s: float
    ended_s: float | None = None

    @property
    def is_open(self):
        """Whether the request is in force."""
        return self.ended_s is None


def check_evacuations(runners, evacuations, bound_s):
    """Yield a break for each run that starts in an evacuated domain after the bound."""
    for each in evacuations:
        end_s = math.inf if each.is_open else each.ended_s
        for runner in runners:
            for run in runner.runs if runner.domain == each.domain else ():
                if each.began_s + bound_s < run["started_s"] < end_s:
                    since_s = run["started_s"] - each.began_s
                    yield (
                        f"EVACUATED {_tell(run)}, in {each.domain}, evacuated"
                        f" {since_s:.3f} s before"
                    )


def check_all(runners, jobs):
    """Return the breaks of the promises, one text each.

    Parameters
    ----------
    runners : iterable
        Objects whose ``runs`` hold what they ran, as the runner stand-in notes it.
    jobs : dict of str to Job
        All jobs that were handed in, after the end of the play.
    """
    breaks = [f"TWICE {each}" for each in find_repeated_runs(runners)]
    runs_by_job = {}
    for runner in runners:
        for run in runner.runs:
            runs_by_job.setdefault(run["task"].partition(".")[0], []).append(run)
    for name in sorted(runs_by_job.keys() - jobs.keys()):
        breaks.append(f"UNASKED {name}: runs, and was never handed in")
    for name, job in sorted(jobs.items()):
        runs = runs_by_job.get(name, [])
        for check in (
            check_refused,
            check_lost,
            check_unasked,
            check_order,
            check_shown,
        ):
            breaks += check(job, runs)
    return breaks


def check_refused(job, runs):
    """Yield a break if a job ran whose attempts were all rejected."""
    if job.rejected and runs:
        yield f"REFUSED {job.name}: {_tell(runs[0])}; answers {job.answers}"


def check_lost(job, runs):
    """Yield a break if an accepted job is not known, or failed without a cause."""
    status, state = job.final
    if not job.accepted or (job.cancels and status is not None):
        return
    if status is None or status == 410:
        yield f"LOST {job.name}: state asked for after the play: {status}"
    elif state in ("failed", "cancelled"):
        yield f"LOST {job.name}: shown as {state}; nothing failed, nobody cancelled it"


def check_unasked(job, runs):
    """Yield a break for a wrong payload, and for each run that outlives its job."""
    for run in runs:
        if run["spec"] != job.spec:
            yield f"UNASKED {job.name}: {_tell(run)} with another payload"
        if run["ended_s"] is None and job.cancelled:
            yield f"UNASKED {job.name}: cancelled; {_tell(run)} runs on"


def check_order(job, runs):
    """Yield a break for each run that starts before an earlier step is done."""
    done = _find_done(runs)
    for run in runs:
        step = job.steps[int(run["task"].split(".")[2])]
        for number in step.get("after", ()):
            for index in range(job.steps[number]["count"]):
                ended_s = done.get(f"{job.name}.0.{number}.{index}")
                if ended_s is None or ended_s > run["started_s"]:
                    yield f"ORDER {job.name}: {_tell(run)} before {number}.{index}"


def check_shown(job, runs):
    """Yield breaks of jobs that are shown as completed but aren't, or start again."""
    shown_s = [at_s for at_s, _, state in job.shown if state == "completed"]
    if not shown_s:
        return
    done = _find_done(runs)
    for number, step in enumerate(job.steps):
        for index in range(step["count"]):
            if done.get(f"{job.name}.0.{number}.{index}", shown_s[0] + 1) > shown_s[0]:
                yield f"MIXED {job.name}: completed, and {number}.{index} isn't done"
    for run in runs:
        if run["started_s"] > shown_s[0] + HELD_S:
            yield f"TWICE {job.name}: {_tell(run)}, completed at {shown_s[0]:.3f} s"


def _find_done(runs):
    """Return the time of the first end as done of each task."""
    done = {}
    for run in runs:
        if run["how"] == "done":
            done[run["task"]] = min(
                run["ended_s"], done.get(run["task"], run["ended_s"])
            )
    return done


def _tell(run):
    return (
        f"{run['task']} run {run['number']} on {run['runner']},"
        f" started at {run['started_s']:.3f} s"
    )
