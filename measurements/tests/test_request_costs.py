"""Measured parts of a request at a small size.

The measurement of slopes failed with an AttributeError after the terms of a loan of
slots had become a type of their own: nothing else ran it.
"""

from fuchsiascale.testing import collect_functions
from measurements._request_costs import measure_credit_bytes, measure_credit_cpu

load_tests = collect_functions(__name__)


def test_a_request_for_credits_is_answered_with_grants_for_each_runner():
    assert measure_credit_bytes(11) > measure_credit_bytes(1) > 0


def test_the_time_of_a_request_for_credits_is_measured():
    assert measure_credit_cpu(1) > 0
