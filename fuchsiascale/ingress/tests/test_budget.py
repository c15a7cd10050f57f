"""Who may hold how many bytes while large bodies fill the budget."""

from fuchsiascale.ingress import Charge, MemoryBudget
from fuchsiascale.testing import collect_functions

load_tests = collect_functions(__name__)

TOTAL, RESERVED, SMALL = 1_000, 250, 50


def make_budget():
    """Return a budget and a function that admits a new holder."""
    budget = MemoryBudget(TOTAL, RESERVED, SMALL)

    def admit(size):
        charge = Charge()
        return charge if budget.resize(charge, size) else None

    return budget, admit


def test_large_holders_leave_the_reserved_share_to_small_ones():
    _, admit = make_budget()
    assert all(admit(75) for _ in range(10))
    assert admit(51) is None
    assert all(admit(SMALL) for _ in range(5))
    assert admit(1) is None


def test_a_large_holder_is_admitted_if_it_is_the_only_one():
    budget, admit = make_budget()
    assert admit(40)
    alone = admit(5_000)
    assert alone
    assert admit(51) is None
    budget.resize(alone, 0)
    assert admit(700)


def test_a_refused_growth_changes_nothing_and_a_release_is_never_refused():
    budget, admit = make_budget()
    first, second = admit(400), admit(300)
    assert not budget.resize(second, 400)
    assert (budget.held, second.size) == (700, 300)
    assert budget.resize(first, 10)
    assert budget.resize(second, 700)
    assert budget.resize(second, 0)
    assert budget.resize(first, 0)
    assert budget.held == 0


def test_a_holder_that_grows_is_large_from_the_small_size_on():
    budget, admit = make_budget()
    growing = admit(SMALL)
    assert all(admit(70) for _ in range(10))
    assert not budget.resize(growing, 51)
    assert budget.resize(growing, 49)
