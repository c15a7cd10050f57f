"""Tests of the checker: each check must reject an invalid history."""

import itertools

from fuchsiascale.platform import Resources
from fuchsiascale.testing import collect_functions
from standins._journal import Entry, Event
from standins.checker import check_all

load_tests = collect_functions(__name__)

DEMAND = Resources(millicores=600)
CAPACITY = Resources(millicores=1000)


def make_history(*lines):
    """Build entries from (source, event, fields) tuples, 1000 ms apart."""
    times = itertools.count(1000.0, 1000.0)
    return [
        Entry(at_ms=at_ms, source=source, event=event, **fields)
        for at_ms, (source, event, fields) in zip(times, lines, strict=False)
    ]


def claimed(worker):
    return (worker, Event.CLAIMED, {"capacity": CAPACITY})


def started(worker, task="t", attempt=1, **fields):
    fields = {"task": task, "attempt": attempt, "demand": DEMAND} | fields
    return (worker, Event.STARTED, fields)


def ended(worker, task="t", attempt=1, state="finished", **fields):
    fields = {"task": task, "attempt": attempt, "state": state} | fields
    return (worker, Event.ENDED, fields)


def sent(request, digest="d", idempotent=False):
    fields = {"request": request, "body_digest": digest, "idempotent": idempotent}
    return ("caller", Event.SENT, fields)


def received(request, outcome="done", digest="d"):
    fields = {"request": request, "outcome": outcome, "body_digest": digest}
    fields["sent_digest"] = "d"
    return ("caller", Event.RECEIVED, fields)


def executed(runner, request, digest="d"):
    return (runner, Event.EXECUTED, {"request": request, "body_digest": digest})


def killed(name):
    return ("deployment", Event.KILLED, {"about": name})


def down(worker):
    return (worker, Event.FAULTS, {"detail": '{"down":true}'})


def up(worker):
    return (worker, Event.FAULTS, {"detail": "{}"})


CLAIMS = (claimed("w"), claimed("v"))

VALID_HISTORIES = (
    (*CLAIMS, started("w"), ended("w"), started("w", "u"), ended("w", "u")),
    (*CLAIMS, started("w"), started("v", "u")),
    (*CLAIMS, started("w"), killed("w"), started("v", attempt=2)),
    (*CLAIMS, started("w"), ended("w"), killed("w"), started("v", attempt=2)),
    (
        *CLAIMS,
        started("w"),
        ended("w"),
        ("w", Event.CUT, {}),
        started("v", attempt=2),
    ),
    (
        *CLAIMS,
        started("w"),
        down("w"),
        ended("w"),
        started("v", attempt=2),
    ),
    (
        *CLAIMS,
        started("w"),
        started("v", attempt=2),
        ended("w", state="stopped", until_ms=3500.0),
    ),
    (
        *CLAIMS,
        started("w"),
        ended("w", state="checkpointed", checkpoint="k"),
        started("v", attempt=2, checkpoint="k"),
        killed("v"),
        started("w", attempt=3, checkpoint="k"),
    ),
    (sent("q"), executed("r", "q"), received("q")),
    (sent("q"), received("q", "not-run"), sent("p"), executed("r", "p")),
    (sent("q", idempotent=True), executed("r", "q"), executed("r", "q")),
    (sent("q"), executed("r", "q"), received("q", "unknown", "")),
)

INVALID_HISTORIES = (
    ("capacity", (*CLAIMS, started("w"), started("w", "u"))),
    ("one place", (*CLAIMS, started("w"), started("v", attempt=2))),
    ("attempts in order", (*CLAIMS, started("w"), killed("w"), started("v"))),
    ("finished once", (*CLAIMS, started("w"), ended("w"), started("v", attempt=2))),
    (
        "finished once",
        (
            *CLAIMS,
            down("w"),
            up("w"),
            started("w"),
            ended("w"),
            started("v", attempt=2),
        ),
    ),
    (
        "finished once",
        (
            *CLAIMS,
            started("w"),
            ended("w"),
            *(up("w"), up("w"), up("w")),
            down("w"),
            started("v", attempt=2),
        ),
    ),
    (
        "finished once",
        (
            *CLAIMS,
            ("w", Event.CUT, {}),
            started("w"),
            ended("w"),
            started("v", attempt=2),
        ),
    ),
    (
        "resumed",
        (
            *CLAIMS,
            started("w"),
            ended("w", state="checkpointed", checkpoint="k"),
            started("v", attempt=2),
        ),
    ),
    ("at most once", (sent("q"), executed("r", "q"), executed("s", "p"))),
    ("own answer", (sent("q"), executed("r", "q"), received("q", digest="e"))),
    ("own answer", (sent("q"), received("q"))),
    ("not run", (sent("q"), received("q", "not-run"), executed("r", "q"))),
    (
        "leaving",
        (
            ("deployment", Event.LEAVING, {"about": "r"}),
            executed("r", "a", "a"),
            executed("s", "b", "b"),
            executed("r", "c", "c"),
            executed("r", "d", "d"),
        ),
    ),
)


def test_valid_histories_have_no_violations():
    for lines in VALID_HISTORIES:
        assert check_all(make_history(*lines)) == [], lines


def test_each_violation_is_found():
    for rule, lines in INVALID_HISTORIES:
        found = check_all(make_history(*lines))
        assert [violation.rule for violation in found] == [rule], (rule, found)
