"""Metrics of the configuration and of calls to the store."""

from types import SimpleNamespace

from fuchsiascale.jobs import StoreCall
from fuchsiascale.node._metrics import NodeMetrics
from fuchsiascale.testing import collect_functions

load_tests = collect_functions(__name__)


def make_metrics(version, age_s):
    """Return the metrics of an instance that owns no service."""
    return NodeMetrics(
        SimpleNamespace(owners={}),
        SimpleNamespace(dropped=0),
        lambda: (version, age_s),
    )


def test_version_and_age_of_the_configuration_are_exported():
    text = make_metrics(21, 0.5).render().decode()
    assert "fuchsiascale_configuration_version 21.0" in text
    assert "fuchsiascale_configuration_age_seconds 0.5" in text


def test_a_missing_configuration_is_not_exported_as_version_zero():
    text = make_metrics(None, None).render().decode()
    assert "\nfuchsiascale_configuration_version " not in text


def test_received_bytes_of_a_truncated_answer_are_counted():
    metrics = make_metrics(1, 0.0)
    metrics.count_store_call(
        StoreCall(name="feed", outcome="no answer", seconds=1.7, received_bytes=90_000)
    )
    text = metrics.render().decode()
    labels = '{call="feed",outcome="no answer"}'
    assert f"fuchsiascale_store_calls_total{labels} 1.0" in text
    assert f"fuchsiascale_store_received_bytes_total{labels} 90000.0" in text
