"""Tests of demand estimates, quotas and link budgets."""

from hypothesis import given, seed, settings
from hypothesis import strategies as st

from fuchsiascale.decisions import (
    LinkBudget,
    TeamUsage,
    UsageEstimate,
    choose_team,
    estimate_demand,
    observe_usage,
    refill_link,
    spend_link,
)
from fuchsiascale.platform import Resources
from fuchsiascale.testing import collect_functions

load_tests = collect_functions(__name__)


def estimate_after_attempts(declared, true_use, rounds):
    """Return the demand estimate after attempts limited to the committed cores."""
    estimate = UsageEstimate()
    for _ in range(rounds):
        committed = estimate_demand(declared, estimate)
        used = Resources(
            millicores=min(true_use.millicores, committed.millicores),
            memory_mb=true_use.memory_mb,
        )
        estimate = observe_usage(estimate, committed, used)
    return estimate_demand(declared, estimate)


def test_demand_converges_to_true_use_from_both_sides():
    true_use = Resources(millicores=1000, memory_mb=1000)
    for factor in (0.2, 0.5, 1.0, 2.0, 5.0):
        declared = Resources(
            millicores=int(1000 * factor), memory_mb=int(1000 * factor)
        )
        demand = estimate_after_attempts(declared, true_use, 100)
        assert 1000 <= demand.millicores <= 1500, factor
        assert 1000 <= demand.memory_mb <= 1250, factor


def test_few_samples_commit_the_larger_of_declared_and_measured():
    declared = Resources(millicores=100, memory_mb=900, accelerators=1)
    used = Resources(millicores=2000, memory_mb=100)
    estimate = observe_usage(UsageEstimate(), declared, used)
    demand = estimate_demand(declared, estimate)
    assert demand.millicores > 2000
    assert (demand.memory_mb, demand.accelerators) == (900, 1)


def test_team_with_least_weighted_dominant_share_is_next():
    capacity = Resources(millicores=1000, memory_mb=1000, accelerators=4)
    usages = (
        TeamUsage(team="cores", committed=Resources(millicores=300)),
        TeamUsage(team="memory", committed=Resources(memory_mb=200)),
        TeamUsage(team="devices", committed=Resources(accelerators=2), weight=4.0),
    )
    assert choose_team(usages, capacity).team == "devices"
    assert choose_team(usages[:2], capacity).team == "memory"
    assert choose_team((), capacity) is None


@seed(5)
@settings(max_examples=100, deadline=None, database=None)
@given(st.lists(st.tuples(st.floats(0, 3), st.integers(1, 2000)), max_size=60))
def test_link_never_carries_more_than_its_rate_and_burst(steps):
    budget, sent, now_s = LinkBudget(1000.0), 0, 0.0
    for passed_s, size in steps:
        now_s += passed_s
        budget = refill_link(budget, now_s)
        spent = spend_link(budget, size)
        if spent is not None:
            budget, sent = spent, sent + size
    assert sent <= 1000.0 * (now_s + 1.0) + 1e-6
