"""Tests of interference estimates and the response to interference."""

from itertools import pairwise
from random import Random

from hypothesis import given, seed, settings
from hypothesis import strategies as st

from fuchsiascale.decisions import (
    InterferenceTable,
    KindLoad,
    PolicyWeights,
    ResponseState,
    ResponseStep,
    VictimCandidate,
    choose_step,
    choose_victim,
    derive_thresholds,
    estimate_excess,
    expect_slowdown,
    observe_slowdown,
)
from fuchsiascale.testing import collect_functions

load_tests = collect_functions(__name__)


def observe_samples(table, service, kind, excess, samples):
    for _ in range(samples):
        loads = (KindLoad(kind=kind, cores=4.0),)
        observe_slowdown(table, service, loads, 1.0 + 4.0 * excess)


def test_pair_without_evidence_uses_the_mean_of_its_kind():
    table = InterferenceTable()
    observe_samples(table, "hub", "tuning", 0.2, 100)
    assert abs(estimate_excess(table, "ledger", "tuning") - 0.2) < 0.02
    assert estimate_excess(table, "ledger", "review") == 0.0


def test_evidence_of_a_pair_outweighs_the_mean_of_its_kind():
    table = InterferenceTable()
    observe_samples(table, "hub", "tuning", 0.2, 100)
    observe_samples(table, "ledger", "tuning", 0.0, 100)
    observe_samples(table, "hub", "tuning", 0.2, 100)
    assert estimate_excess(table, "ledger", "tuning") < 0.04
    assert expect_slowdown(table, ("hub", "ledger"), "tuning", 2.0) > 1.3


def test_two_kinds_on_one_worker_are_distinguished():
    table, random = InterferenceTable(), Random(5)
    for _ in range(500):
        loud, mild = random.random() * 8.0, random.random() * 8.0
        loads = (KindLoad(kind="loud", cores=loud), KindLoad(kind="mild", cores=mild))
        measured = 1.0 + 0.1 * loud + 0.01 * mild + random.gauss(0.0, 0.05)
        observe_slowdown(table, "hub", loads, measured)
    assert abs(estimate_excess(table, "hub", "loud") - 0.1) < 0.03
    assert abs(estimate_excess(table, "hub", "mild") - 0.01) < 0.03


def test_weights_change_the_thresholds():
    default = derive_thresholds(PolicyWeights(), 5.0)
    table = (
        (PolicyWeights(tail_latency=2.0), "hold", -1),
        (PolicyWeights(tail_latency=2.0), "evict", -1),
        (PolicyWeights(throughput=2.0), "hold", 1),
        (PolicyWeights(throughput=2.0), "throttle", 1),
        (PolicyWeights(evictions=3.0), "evict", 1),
        (PolicyWeights(evictions=3.0), "hold", 0),
    )
    for weights, name, sign in table:
        change = getattr(derive_thresholds(weights, 5.0), name) - getattr(default, name)
        assert (change > 0) - (change < 0) == sign, (weights, name)


def test_steps_escalate_and_relax_with_hysteresis():
    thresholds = derive_thresholds(PolicyWeights(), 5.0)
    state = ResponseState()
    table = (
        (0.0, 1.05, ResponseStep.NONE, False),
        (1.0, 1.15, ResponseStep.HOLD, False),
        (2.0, 3.0, ResponseStep.THROTTLE, False),
        (5.0, 3.0, ResponseStep.THROTTLE, False),
        (12.5, 3.0, ResponseStep.EVICT, True),
        (13.0, 3.0, ResponseStep.EVICT, False),
        (23.0, 3.0, ResponseStep.EVICT, True),
        (24.0, 1.0, ResponseStep.EVICT, False),
        (40.0, 1.0, ResponseStep.THROTTLE, False),
        (80.0, 1.0, ResponseStep.THROTTLE, False),
        (120.0, 1.0, ResponseStep.HOLD, False),
        (160.0, 1.0, ResponseStep.NONE, False),
    )
    for now_s, slowdown, step, evict in table:
        state = choose_step(state, slowdown, thresholds, now_s)
        assert (state.step, state.evict) == (step, evict), (now_s, state)


@seed(5)
@settings(max_examples=100, deadline=None, database=None)
@given(st.lists(st.floats(1.0, 4.0), max_size=60))
def test_evictions_are_at_least_a_settle_time_apart(slowdowns):
    thresholds = derive_thresholds(PolicyWeights(), 5.0)
    state, evicted = ResponseState(), []
    for second, slowdown in enumerate(slowdowns):
        state = choose_step(state, slowdown, thresholds, float(second))
        if state.evict:
            evicted.append(second)
        assert 200 <= state.throttle_permille <= 1000
    gaps = [later - earlier for earlier, later in pairwise(evicted)]
    assert all(gap >= thresholds.settle_s for gap in gaps)


def test_choice_of_victims():
    def candidate(task, excess, **more):
        return VictimCandidate(task=task, kind="k", excess=excess, **more)

    table = (
        ("larger excess first", [candidate("a", 0.1), candidate("b", 0.3)], "b"),
        ("not evictable", [candidate("a", 0.3, evictable=False)], None),
        ("no effect", [candidate("a", 0.0)], None),
        (
            "long run without checkpoint is spared",
            [
                candidate("a", 0.3, lost_ms=6e6, checkpointable=False),
                candidate("b", 0.2),
            ],
            "b",
        ),
    )
    for name, candidates, expected in table:
        victim = choose_victim(candidates, PolicyWeights())
        assert (victim and victim.task) == expected, name
