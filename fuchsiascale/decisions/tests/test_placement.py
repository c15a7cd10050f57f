"""Tests of placement."""

from random import Random

from hypothesis import given, seed, settings
from hypothesis import strategies as st

from fuchsiascale.decisions import (
    PLACEMENT_POLICIES,
    FreeIndex,
    PlacementRequest,
    WorkerFree,
    compute_larger_demand,
    explain_misfit,
    place_task,
    place_tasks,
)
from fuchsiascale.platform import Resources
from fuchsiascale.testing import collect_functions

load_tests = collect_functions(__name__)


def make_resources(row):
    millicores, memory_mb, accelerators = row
    return Resources(
        millicores=millicores, memory_mb=memory_mb, accelerators=accelerators
    )


def make_index(rows, services=(), pressure=0):
    return FreeIndex(
        WorkerFree(
            worker=f"w{number}",
            free=make_resources(row),
            services=services,
            pressure=pressure,
        )
        for number, row in enumerate(rows)
    )


def make_request(row, number=0):
    return PlacementRequest(task=f"t{number}", kind="k", demand=make_resources(row))


def test_fit_needs_all_three_resources():
    table = (
        ((1000, 100, 0), "w0"),
        ((1001, 100, 0), "w1"),
        ((1000, 101, 0), "w1"),
        ((500, 50, 1), "w2"),
        ((4001, 50, 0), None),
        ((500, 201, 1), None),
    )
    index = make_index([(1000, 100, 0), (4000, 400, 0), (2000, 200, 2)])
    for demand, expected in table:
        chosen = place_task(index, make_request(demand), Random(1)).worker
        assert chosen == expected, demand


def test_least_slowdown_takes_precedence_over_tightest_fit():
    index = make_index([(2000, 200, 0)], services=("hub",))
    index.put(WorkerFree(worker="apart", free=make_resources((9000, 900, 0))))
    request = make_request((1000, 100, 0))

    def slowdown(services, kind):
        return 1.5 if "hub" in services else 1.0

    assert place_task(index, request, Random(1), slowdown).worker == "apart"
    blocked = {"apart"}
    placement = place_task(index, request, Random(1), slowdown, blocked)
    assert (placement.worker, placement.slowdown) == ("w0", 1.5)


def test_pressure_counts_as_additional_slowdown():
    index = make_index([(2000, 200, 0)], services=("hub",), pressure=2)
    idle = WorkerFree(worker="idle", free=make_resources((9000, 900, 0)))
    index.put(WorkerFree(worker="idle", free=idle.free, services=("hub",)))
    request = make_request((1000, 100, 0))
    placement = place_task(index, request, Random(1), lambda services, kind: 1.2)
    assert placement.worker == "idle"


def test_placements_of_one_batch_account_for_each_other():
    index = make_index([(2500, 1000, 0)])
    requests = [make_request((1000, 100, 0), number) for number in range(3)]
    workers = [entry.worker for entry in place_tasks(index, requests, Random(1))]
    assert workers == ["w0", "w0", None]
    index.release("w0", make_resources((1000, 100, 0)))
    assert index.get("w0").free == make_resources((1500, 900, 0))


def test_reasons_why_a_demand_never_fits():
    capacities = [make_resources((4000, 100, 0)), make_resources((1000, 400, 1))]
    table = (
        ((4000, 100, 0), ""),
        ((4001, 1, 0), "no worker has 4001 millicores; the largest has 4000"),
        ((1, 401, 0), "no worker has 401 memory_mb; the largest has 400"),
        ((1, 1, 2), "no worker has 2 accelerators; the largest has 1"),
        ((4000, 400, 0), "no single worker has all three resources at once"),
    )
    for demand, reason in table:
        assert explain_misfit(make_resources(demand), capacities) == reason
    assert explain_misfit(make_resources((1, 1, 1)), ()) == ""


def test_larger_of_declared_and_measured_is_used():
    declared, measured = make_resources((1000, 10, 1)), make_resources((500, 20, 0))
    assert compute_larger_demand(declared, measured) == make_resources((1000, 20, 1))


AMOUNTS = st.tuples(st.integers(0, 64), st.integers(0, 64), st.integers(0, 2))


@seed(5)
@settings(max_examples=150, deadline=None, database=None)
@given(
    st.lists(AMOUNTS, max_size=12),
    st.lists(AMOUNTS, max_size=30),
    st.sampled_from(sorted(PLACEMENT_POLICIES)),
)
def test_resources_are_not_committed_twice_and_fitting_workers_are_found(
    rows, demands, policy
):
    index = make_index(rows)
    free = {f"w{number}": make_resources(row) for number, row in enumerate(rows)}
    for number, row in enumerate(demands):
        request = make_request(row, number)
        (placement,) = place_tasks(index, [request], Random(number), policy=policy)
        fits = [name for name in free if request.demand.fits(free[name])]
        if placement.worker is None:
            assert not fits
        else:
            assert placement.worker in fits
            free[placement.worker] -= request.demand
    assert {entry.worker: entry.free for entry in index} == free
