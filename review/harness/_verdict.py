"""Checks of a record, and the exit code of a script."""

import asyncio
import os
from pathlib import Path

from review.harness._record import Record

__all__ = ["HAS_TROUBLE", "find_repeated_runs", "run_case"]

HAS_TROUBLE = os.environ.get("TROUBLE", "1") != "0"
"""Whether the script brings about its disruption."""
MAX_SECONDS = 115
EXIT_HELD, EXIT_BROKEN, EXIT_NOT_RUN = 0, 1, 2


def find_repeated_runs(runners):
    """Return the breaks of the rule TWICE, one text each.

    A task must not run twice at the same time, nor start after a run has ended
    ``done`` if that end was taken note of then or later, unless the lease lapsed.
    """
    by_task = {}
    for runner in runners:
        for run in runner.runs:
            by_task.setdefault(run["task"], []).append(run)
    breaks = []
    for task, runs in sorted(by_task.items()):
        runs.sort(key=lambda run: run["started_s"])
        for number, run in enumerate(runs):
            for later in runs[number + 1 :]:
                breaks += _compare(task, run, later)
    return breaks


def _compare(task, run, later):
    is_open = run["ended_s"] is None or later["started_s"] < run["ended_s"]
    if is_open:
        return [
            f"{task}: run {later['number']} on {later['runner']} started at"
            f" {later['started_s']:.3f} s while run {run['number']} on {run['runner']}"
            " was running"
        ]
    if run["how"] == "done" and _is_noted(run):
        return [
            f"{task}: run {later['number']} on {later['runner']} started at"
            f" {later['started_s']:.3f} s; run {run['number']} on {run['runner']} had"
            f" ended done at {run['ended_s']:.3f} s, and that end was taken note of at"
            f" {run['noted_s']:.3f} s"
        ]
    return []


def _is_noted(run):
    """Return whether an end was taken note of before the runner's lease lapsed."""
    if run["noted_s"] is None:
        return False
    return not any(run["ended_s"] <= at_s <= run["noted_s"] for at_s in run["lapses_s"])


def run_case(script, play):
    """Run a case and write its record; return the exit code.

    Parameters
    ----------
    script : str
        Path of the script, beside which the record is written.
    play : callable
        Coroutine function from a `Record` to the breaks that were seen, as texts.
    """
    record = Record(Path(script).parent)
    try:
        breaks = asyncio.run(asyncio.wait_for(play(record), MAX_SECONDS))
    except Exception as error:
        record.note(f"the case could not run: {error!r}")
        return EXIT_NOT_RUN
    else:
        for each in breaks:
            record.note(f"BROKEN {each}")
        record.note("verdict: broken" if breaks else "verdict: held")
        return EXIT_BROKEN if breaks else EXIT_HELD
    finally:
        record.close()
