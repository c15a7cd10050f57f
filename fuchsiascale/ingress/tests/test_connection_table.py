"""Which connection is closed for a new one when a listener is full."""

from fuchsiascale.ingress import ConnectionTable, Phase
from fuchsiascale.testing import collect_functions

load_tests = collect_functions(__name__)


def fill(table, names, address="10.0.0.1"):
    """Add connections, one in each tick from 0 on."""
    for tick, name in enumerate(names):
        table.add(name, address, tick)


def test_both_caps_count():
    table = ConnectionTable(4, 2)
    fill(table, "ab")
    assert table.is_full("10.0.0.1")
    assert not table.is_full("10.0.0.2")
    fill(table, "cd", "10.0.0.2")
    assert table.is_full("10.0.0.3")
    table.remove("a")
    table.remove("a")
    assert len(table) == 3
    assert not table.is_full("10.0.0.1")


def test_the_oldest_slow_connection_goes_before_the_oldest_idle_one():
    table = ConnectionTable(3, 3)
    fill(table, "abc")
    table.move("b", Phase.IDLE, Phase.RECEIVING, 3)
    assert table.choose_victim("x", 4) == "a"
    assert table.choose_victim("x", 5) == "b"


def test_a_request_that_is_complete_is_never_given_up():
    table = ConnectionTable(2, 2)
    fill(table, "ab")
    table.move("a", Phase.IDLE, Phase.BUSY, 2)
    table.move("b", Phase.IDLE, Phase.RECEIVING, 9)
    assert table.choose_victim("x", 10) == "b"
    table.move("b", Phase.RECEIVING, Phase.BUSY, 10)
    assert table.choose_victim("x", 20) is None


def test_an_address_at_its_cap_makes_room_among_its_own_connections():
    table = ConnectionTable(9, 2)
    fill(table, "a", "10.0.0.9")
    fill(table, "bc")
    assert table.choose_victim("10.0.0.1", 9) == "b"
    assert table.choose_victim("10.0.0.9", 9) == "a"


def test_a_connection_that_was_idle_again_counts_as_the_youngest():
    table = ConnectionTable(2, 2)
    fill(table, "ab")
    table.move("a", Phase.IDLE, Phase.BUSY, 2)
    assert not table.move("a", Phase.IDLE, Phase.BUSY, 2)
    table.move("a", Phase.BUSY, Phase.IDLE, 3)
    assert table.choose_victim("x", 4) == "b"
