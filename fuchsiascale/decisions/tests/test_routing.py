"""Tests of routing and retries."""

from random import Random

from hypothesis import given, seed, settings
from hypothesis import strategies as st

from fuchsiascale.decisions import (
    MAX_SENDS,
    ROUTING_POLICIES,
    LatencyEstimate,
    RetryBudget,
    RunnerLoad,
    choose_runner,
    draw_backoff,
    estimate_latency,
    is_retry_safe,
    observe_latency,
    plan_retry,
    record_request,
)
from fuchsiascale.states import Outcome
from fuchsiascale.testing import collect_functions

load_tests = collect_functions(__name__)


def make_loads(rows):
    return [
        RunnerLoad(
            runner=f"r{number}",
            credits=slots,
            in_flight=in_flight,
            latency_ms=latency_ms,
        )
        for number, (slots, in_flight, latency_ms) in enumerate(rows)
    ]


def test_better_of_two_runners_is_chosen():
    table = (
        ("fewer in flight", ((8, 6, 10.0), (8, 1, 10.0)), "r1"),
        ("lower latency", ((8, 1, 10.0), (8, 1, 100.0)), "r0"),
        ("slow but idle", ((8, 3, 10.0), (8, 0, 100.0)), "r0"),
        ("only one has credit", ((8, 8, 10.0), (8, 7, 100.0)), "r1"),
        ("no measurement, by utilization", ((8, 3, 0.0), (8, 1, 50.0)), "r1"),
        ("none has credit", ((0, 0, 0.0), (8, 8, 10.0)), None),
    )
    for name, rows, expected in table:
        for number in range(5):
            chosen = choose_runner(make_loads(rows), Random(number))
            assert (chosen and chosen.runner) == expected, name


def test_failing_runner_is_chosen_only_if_all_fail():
    healthy = RunnerLoad(runner="healthy", credits=8, in_flight=7, latency_ms=90.0)
    failing = RunnerLoad(runner="failing", credits=8, latency_ms=1.0, failing=True)
    assert choose_runner((healthy, failing), Random(1)) is healthy
    assert choose_runner((failing, failing), Random(1)) is failing


@seed(5)
@settings(max_examples=100, deadline=None, database=None)
@given(
    st.lists(st.tuples(st.integers(0, 8), st.integers(0, 8), st.floats(0, 500))),
    st.sampled_from(sorted(ROUTING_POLICIES)),
    st.integers(0, 1000),
)
def test_no_policy_chooses_a_runner_without_free_credit(rows, policy, turn):
    loads = make_loads(rows)
    chosen = choose_runner(loads, Random(turn), policy, turn)
    if chosen is None:
        assert all(load.in_flight >= load.credits for load in loads)
    else:
        assert chosen.in_flight < chosen.credits


def test_latency_rises_fast_and_decays_without_samples():
    estimate = LatencyEstimate(10.0, 0.0)
    for second in range(3):
        estimate = observe_latency(estimate, 100.0, float(second))
    assert estimate.mean_ms > 80.0
    assert estimate_latency(estimate, 10.0, 2.0) == estimate.mean_ms
    assert estimate_latency(estimate, 10.0, 62.0) < 11.0


def test_which_outcomes_are_safe_to_retry():
    table = (
        (True, Outcome.NOT_RUN, True),
        (True, Outcome.UNKNOWN, True),
        (True, Outcome.DONE, False),
        (False, Outcome.NOT_RUN, True),
        (False, Outcome.UNKNOWN, False),
        (False, Outcome.DONE, False),
    )
    for idempotent, outcome, expected in table:
        assert is_retry_safe(idempotent, outcome) is expected, (idempotent, outcome)


def test_reasons_for_no_retry():
    usual = {"idempotent": True, "outcome": Outcome.UNKNOWN, "sends": 1}
    usual["left_ms"] = 1000.0
    full = RetryBudget(tokens=5.0)
    table = (
        (full, {"outcome": Outcome.DONE}, "not safe to repeat"),
        (full, {"sends": MAX_SENDS}, "sent too often"),
        (RetryBudget(tokens=0.9), {}, "retry budget spent"),
        (full, {"left_ms": 10.0, "needed_ms": 10.0}, "deadline too near"),
    )
    for budget, changed, reason in table:
        plan = plan_retry(budget, Random(1), **(usual | changed))
        assert (plan.retry, plan.reason) == (False, reason)
        assert plan.budget == budget


def test_retries_stay_within_a_tenth_of_requests():
    budget, random, retries = RetryBudget(), Random(5), 0
    for _ in range(1000):
        budget = record_request(budget)
        plan = plan_retry(
            budget,
            random,
            idempotent=True,
            outcome=Outcome.NOT_RUN,
            sends=1,
            left_ms=1e6,
        )
        budget = plan.budget
        retries += plan.retry
    assert 90 <= retries <= 100


def test_backoff_doubles_up_to_its_cap():
    random = Random(5)
    for sends in range(1, 12):
        bound_ms = min(1_000.0, 10.0 * 2 ** (sends - 1))
        assert all(0.0 <= draw_backoff(sends, random) <= bound_ms for _ in range(50))
