"""Tests of the checker on hand-made runs: each check must reject a broken history."""

from types import SimpleNamespace

from fuchsiascale.testing import collect_functions
from soak import Evacuation, Job, check_all, check_evacuations

load_tests = collect_functions(__name__)

NAME = "00000000000000aa"
SPEC = "run_ms=400"


def make_run(number, started_s, ended_s, how="done", step=0, **fields):
    return {
        "task": f"{NAME}.0.{step}.0",
        "number": number,
        "runner": "i-a0",
        "life": 1,
        "spec": SPEC,
        "started_s": started_s,
        "ended_s": ended_s,
        "how": how,
        "noted_s": None if ended_s is None else ended_s + 0.1,
        "end": number,
        "lapses_s": [],
        **fields,
    }


def make_job(**fields):
    steps = [{"count": 1}, {"count": 1, "after": [0]}]
    defaults = {"answers": [200], "final": (200, "running")}
    return Job(NAME, f"/q/{NAME}", SPEC, steps, **{**defaults, **fields})


def find_breaks(job, *runs):
    """Return the kinds of the breaks of one job."""
    breaks = check_all([SimpleNamespace(runs=list(runs))], {NAME: job})
    return [each.partition(" ")[0] for each in breaks]


def test_a_run_that_outlives_an_acknowledged_cancel_is_a_break():
    """Guards against a checker that passes over cancels answered with 410."""
    run = make_run(1, 1, None, how=None)
    for status, kinds in ((200, ["UNASKED"]), (410, ["UNASKED"]), (504, []), (503, [])):
        job = make_job(answers=[None], cancels=[None, status])
        assert find_breaks(job, run) == kinds, status


def test_two_runs_in_turn_after_a_failed_one_are_no_break():
    runs = make_run(1, 1.0, 2.0, how="lapsed"), make_run(2, 3.0, 4.0)
    assert find_breaks(make_job(), *runs, make_run(1, 4.5, 5.0, step=1)) == []


def test_two_runs_at_once_are_a_break():
    assert find_breaks(make_job(), make_run(1, 1, 3), make_run(2, 2, 4)) == ["TWICE"]


def test_a_run_that_has_not_ended_overlaps_a_later_one():
    runs = make_run(1, 1, None, how=None), make_run(2, 9, 10)
    assert find_breaks(make_job(), *runs) == ["TWICE"]


def test_a_start_after_an_acknowledged_end_is_a_break():
    assert find_breaks(make_job(), make_run(1, 1, 2), make_run(2, 3, 4)) == ["TWICE"]


def test_a_start_after_an_end_that_nobody_acknowledged_is_no_break():
    runs = make_run(1, 1, 2, noted_s=None), make_run(2, 3, 4)
    assert find_breaks(make_job(), *runs) == []


def test_a_start_long_after_the_job_was_shown_as_completed_is_a_break():
    job = make_job(shown=[(5.0, 200, "completed")], final=(200, "completed"))
    runs = make_run(1, 1, 2, noted_s=None), make_run(1, 3, 4, step=1)
    assert find_breaks(job, *runs) == []
    assert find_breaks(job, *runs, make_run(2, 20, 21)) == ["TWICE"]


def test_an_accepted_job_that_is_not_known_is_lost():
    assert find_breaks(make_job(final=(410, None))) == ["LOST"]
    assert find_breaks(make_job(final=(None, None))) == ["LOST"]
    assert find_breaks(make_job(final=(200, "failed"))) == ["LOST"]


def test_a_job_that_was_not_accepted_or_was_cancelled_is_not_lost():
    assert find_breaks(make_job(answers=[None, 503], final=(410, None))) == []
    assert find_breaks(make_job(cancels=[200], final=(200, "cancelled"))) == []


def test_a_rejected_job_that_runs_is_a_break():
    assert find_breaks(make_job(answers=[503, 429]), make_run(1, 1, 2)) == ["REFUSED"]


def test_a_job_of_which_one_attempt_had_no_answer_may_run():
    assert find_breaks(make_job(answers=[503, None]), make_run(1, 1, 2)) == []


def test_a_cancelled_job_that_runs_on_is_a_break():
    job = make_job(cancels=[None, 200], final=(200, "cancelled"))
    assert find_breaks(job, make_run(1, 1, None, how=None)) == ["UNASKED"]
    assert find_breaks(job, make_run(1, 1, 2, how="stopped")) == []


def test_another_payload_and_an_unknown_job_are_breaks():
    run = make_run(1, 1, 2, spec="run_ms=1")
    assert find_breaks(make_job(), run) == ["UNASKED"]
    run = make_run(1, 1, 2, task="00000000000000bb.0.0.0")
    assert find_breaks(make_job(), run) == ["UNASKED"]


def test_a_start_before_an_earlier_step_is_done_is_a_break():
    runs = make_run(1, 1.0, 3.0), make_run(1, 2.0, 4.0, step=1)
    assert find_breaks(make_job(), *runs) == ["ORDER"]


def test_a_job_shown_as_completed_too_early_is_a_break():
    job = make_job(shown=[(5.0, 200, "completed")], final=(200, "completed"))
    assert find_breaks(job, make_run(1, 1, 2), make_run(1, 3, 6, step=1)) == ["MIXED"]
    assert find_breaks(job, make_run(1, 1, 2)) == ["MIXED"]


def test_a_start_in_an_evacuated_domain_is_a_break_between_bound_and_return():
    starts_s = (9.0, 14.9, 15.1, 19.9, 20.1)
    runs = [make_run(number, at_s, None) for number, at_s in enumerate(starts_s)]
    runners = [
        SimpleNamespace(domain="a", runs=runs),
        SimpleNamespace(domain="b", runs=runs),
    ]
    for ended_s, expected in ((20.0, [2, 3]), (None, [2, 3, 4]), (14.0, [])):
        evacuation = Evacuation("a", 10.0, ended_s)
        breaks = list(check_evacuations(runners, [evacuation], 5.0))
        assert len(breaks) == len(expected), ended_s
        for number, text in zip(expected, breaks, strict=True):
            assert text.startswith(f"EVACUATED {NAME}.0.0.0 run {number} "), text
