"""Checks of the invariants of a deployment, based on the journals alone.

The journals are written by workers, runners, callers and the deployment; reports of
the daemons about themselves are not used.
"""

import itertools
from collections import defaultdict

import msgspec

from fuchsiascale.ids import AttemptNumber, TaskId
from fuchsiascale.platform import Resources
from fuchsiascale.states import AttemptState, Outcome
from standins._journal import Event

__all__ = [
    "Run",
    "Violation",
    "check_all",
    "check_answers",
    "check_attempts",
    "check_capacity",
    "check_leaving",
    "check_not_run",
    "check_no_overlap",
    "check_once",
    "find_runs",
]

LEAVING_LIMIT_MS = 3_000.0
REPORT_LIMIT_MS = 2_000.0
FOREVER_MS = float("inf")


class Violation(msgspec.Struct, frozen=True, kw_only=True):
    """An invariant that was violated, and the evidence."""

    rule: str
    detail: str


class Run(msgspec.Struct, frozen=True, kw_only=True):
    """One run of an attempt on a worker; the end is infinite while it runs.

    Parameters
    ----------
    lost : bool
        Whether the worker was killed, paused or unreachable before it could report the
        end of the attempt, so that the end may be unknown to the daemons.
    """

    task: TaskId
    attempt: AttemptNumber
    worker: str
    began_ms: float
    ended_ms: float = FOREVER_MS
    state: str = ""
    demand: Resources = Resources()
    resumed_from: str = ""
    checkpoint: str = ""
    lost: bool = False


class UnreachableSpan(msgspec.Struct, frozen=True, kw_only=True):
    """A span of time in which a process could not be reached."""

    began_ms: float
    ended_ms: float = FOREVER_MS


def find_runs(entries):
    """Return all runs of attempts, ordered by start.

    Parameters
    ----------
    entries : iterable of Entry
        Entries of all journals, ordered by time.

    Returns
    -------
    list of Run
        The runs; if the worker was killed first, a run ends at the kill.
    """
    entries = tuple(entries)
    runs = {}
    for entry in entries:
        key = (entry.source, entry.task, entry.attempt)
        if entry.event is Event.STARTED:
            runs[key, entry.at_ms] = Run(
                task=entry.task,
                attempt=entry.attempt,
                worker=entry.source,
                began_ms=entry.at_ms,
                demand=entry.demand or Resources(),
                resumed_from=entry.checkpoint,
            )
        elif entry.event is Event.ENDED:
            _end_run(runs, key, entry)
        elif entry.event is Event.KILLED:
            _mark_runs_lost(runs, entry)
    unreachable = find_unreachable_spans(entries)
    runs = {
        run_key: _mark_lost_if_unreachable(run, unreachable)
        for run_key, run in runs.items()
    }
    return sorted(runs.values(), key=lambda run: run.began_ms)


def _end_run(runs, key, entry):
    run_key = max(run_key for run_key in runs if run_key[0] == key)
    runs[run_key] = msgspec.structs.replace(
        runs[run_key],
        ended_ms=entry.until_ms or entry.at_ms,
        state=entry.state,
        checkpoint=entry.checkpoint,
    )


def _mark_runs_lost(runs, entry):
    for run_key, run in runs.items():
        if run.worker == entry.about:
            ended_ms = min(run.ended_ms, entry.at_ms)
            runs[run_key] = msgspec.structs.replace(run, lost=True, ended_ms=ended_ms)


def find_unreachable_spans(entries):
    """Return the spans of time in which processes could not be reached.

    Returns
    -------
    dict of str to list of UnreachableSpan
        Spans by process, in which it was paused or refused connections; a cut
        connection is a span without duration.
    """
    spans = defaultdict(list)
    for entry in entries:
        down = entry.event is Event.FAULTS and '"down":true' in entry.detail
        name = entry.source if entry.event is Event.FAULTS else entry.about
        if entry.event is Event.CUT:
            cut = UnreachableSpan(began_ms=entry.at_ms, ended_ms=entry.at_ms)
            spans[entry.source].insert(0, cut)
        elif down or entry.event is Event.PAUSED:
            spans[name].append(UnreachableSpan(began_ms=entry.at_ms))
        elif entry.event in (Event.FAULTS, Event.RESUMED) and spans[name]:
            last = spans[name][-1]
            ended_ms = min(last.ended_ms, entry.at_ms)
            spans[name][-1] = msgspec.structs.replace(last, ended_ms=ended_ms)
    return spans


def _mark_lost_if_unreachable(run, unreachable):
    """Mark a run as lost if its worker was unreachable before it reported the end.

    An end is expected to be reported within `REPORT_LIMIT_MS`.
    """
    for span in unreachable[run.worker]:
        reported_ms = run.ended_ms + REPORT_LIMIT_MS
        if span.began_ms <= reported_ms and run.ended_ms <= span.ended_ms:
            return msgspec.structs.replace(run, lost=True)
    return run


def check_capacity(entries):
    """Return the violations where the commitments of a worker exceeded its capacity."""
    capacities = {
        entry.source: entry.capacity
        for entry in entries
        if entry.event is Event.CLAIMED
    }
    by_worker = defaultdict(list)
    for run in find_runs(entries):
        by_worker[run.worker].append(run)
    return [
        Violation(
            rule="capacity",
            detail=(
                f"{worker} held {committed} of {capacities[worker]} at {run.began_ms}"
            ),
        )
        for worker, runs in by_worker.items()
        for run in runs
        if not (committed := _sum_demand(runs, run.began_ms)).fits(capacities[worker])
    ]


def _sum_demand(runs, at_ms):
    demands = (run.demand for run in runs if run.began_ms <= at_ms < run.ended_ms)
    return sum(demands, start=Resources())


def check_no_overlap(entries):
    """Return the violations where two attempts at a task ran at the same time."""
    violations = []
    for task, runs in _group_by_task(entries).items():
        latest = None
        for run in runs:
            if latest is not None and run.began_ms < latest.ended_ms:
                detail = f"{task}: {_format_run(latest)} and {_format_run(run)}"
                violations.append(Violation(rule="one place", detail=detail))
            if latest is None or run.ended_ms > latest.ended_ms:
                latest = run
    return violations


def check_attempts(entries):
    """Return the violations where attempts ran out of order or repeated work.

    Each attempt number is started once and in order; a checkpointed task resumes from
    its checkpoint; no attempt starts after the task has finished, unless the end was
    lost with the worker.
    """
    violations = []
    for task, runs in _group_by_task(entries).items():
        for previous, following in itertools.pairwise(runs):
            for rule, broken in (
                ("attempts in order", following.attempt <= previous.attempt),
                ("finished once", _is_finished(previous) and not previous.lost),
                ("resumed", _ignores_checkpoint(previous, following)),
            ):
                if broken:
                    detail = (
                        f"{task}: {_format_run(previous)}, "
                        f"then {_format_run(following)}"
                    )
                    violations.append(Violation(rule=rule, detail=detail))
    return violations


def _is_finished(run):
    return run.state == AttemptState.FINISHED.value


def _ignores_checkpoint(previous, following):
    allowed = {previous.checkpoint or previous.resumed_from}
    if previous.lost:
        allowed.add(previous.resumed_from)
    return following.resumed_from not in allowed


def _group_by_task(entries):
    by_task = defaultdict(list)
    for run in find_runs(entries):
        by_task[run.task].append(run)
    return by_task


def _format_run(run):
    return f"attempt {run.attempt} on {run.worker} ({run.began_ms} to {run.ended_ms})"


def check_once(entries):
    """Return the violations where a non-idempotent request was executed twice.

    A request is identified by its body, which is unique for each operation of the
    callers, so that repeats under another request id are detected as well.
    """
    not_repeatable = {
        entry.body_digest
        for entry in entries
        if entry.event is Event.SENT and not entry.idempotent
    }
    executed = defaultdict(list)
    for entry in entries:
        if entry.event is Event.EXECUTED and entry.body_digest in not_repeatable:
            executed[entry.body_digest].append(f"{entry.request} on {entry.source}")
    return [
        Violation(rule="at most once", detail=f"{digest}: {places}")
        for digest, places in executed.items()
        if len(places) > 1
    ]


def check_answers(entries):
    """Return the answers that are incomplete or belong to another request."""
    executed = {entry.body_digest for entry in entries if entry.event is Event.EXECUTED}
    violations = []
    for entry in entries:
        if entry.event is not Event.RECEIVED or entry.outcome != Outcome.DONE.value:
            continue
        own = entry.sent_digest
        if entry.body_digest != own or own not in executed:
            detail = f"{entry.request} got {entry.body_digest} for {own}"
            violations.append(Violation(rule="own answer", detail=detail))
    return violations


def check_not_run(entries):
    """Return the requests that ran although their caller was answered not-run."""
    not_run_requests = {
        (entry.request, entry.sent_digest)
        for entry in entries
        if entry.event is Event.RECEIVED and entry.outcome == Outcome.NOT_RUN.value
    }
    return [
        Violation(rule="not run", detail=f"{entry.request} ran on {entry.source}")
        for entry in entries
        if entry.event is Event.EXECUTED
        and (entry.request, entry.body_digest) in not_run_requests
    ]


def check_leaving(entries, limit_ms=LEAVING_LIMIT_MS):
    """Return the new work that leaving upstreams received after the time limit."""
    leaving_since_ms = {}
    violations = []
    for entry in entries:
        if entry.event is Event.LEAVING:
            leaving_since_ms.setdefault(entry.about, entry.at_ms)
        since_ms = leaving_since_ms.get(entry.source)
        if since_ms is None or entry.event not in (Event.STARTED, Event.EXECUTED):
            continue
        if entry.at_ms > since_ms + limit_ms:
            what = entry.task or entry.request
            late_ms = entry.at_ms - since_ms
            detail = f"{entry.source} got {what} {late_ms:.0f} ms after leaving"
            violations.append(Violation(rule="leaving", detail=detail))
    return violations


def check_all(entries):
    """Return all violations that the journals show."""
    entries = tuple(entries)
    checks = (
        check_capacity,
        check_no_overlap,
        check_attempts,
        check_once,
        check_answers,
        check_not_run,
        check_leaving,
    )
    return [violation for check in checks for violation in check(entries)]
