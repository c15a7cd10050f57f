"""Tests of the platform messages."""

import msgspec

from fuchsiascale.ids import InstanceId
from fuchsiascale.platform import FencingToken, Resources
from fuchsiascale.testing import collect_functions

load_tests = collect_functions(__name__)


def test_fits_requires_all_three_resources():
    available = Resources(millicores=1000, memory_mb=100, accelerators=1)
    assert Resources(millicores=1000, memory_mb=100, accelerators=1).fits(available)
    assert not Resources(millicores=1001).fits(available)
    assert not Resources(memory_mb=101).fits(available)
    assert not Resources(accelerators=2).fits(available)


def test_tokens_order_by_counter_then_holder():
    low = FencingToken(counter=1, holder=InstanceId("b"))
    high = FencingToken(counter=2, holder=InstanceId("a"))
    tied = FencingToken(counter=2, holder=InstanceId("b"))
    assert low < high < tied


def test_an_encoded_message_decodes_to_an_equal_one():
    token = FencingToken(counter=3, holder=InstanceId("a"))
    encoded = msgspec.json.encode(token)
    assert msgspec.json.decode(encoded, type=FencingToken) == token
