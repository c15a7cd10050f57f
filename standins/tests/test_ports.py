"""Tests of the allocation of ports for processes under test."""

from fuchsiascale.testing import collect_functions
from standins._ports import PortBlocks

load_tests = collect_functions(__name__)


def test_two_allocators_never_pick_the_same_port():
    first, second = PortBlocks(), PortBlocks()
    ports = [holder.pick() for _ in range(600) for holder in (first, second)]
    assert len(set(ports)) == len(ports)
