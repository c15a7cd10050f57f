"""Metrics of the configuration, of calls to the store and of refused submissions."""

from collections import Counter
from types import SimpleNamespace

import logbook
from prometheus_client import generate_latest

from fuchsiascale.clock import ManualClock
from fuchsiascale.ingress import (
    Gate,
    GateCollector,
    IngressSettings,
    Refusal,
    derive_limits,
)
from fuchsiascale.jobs import (
    LoadEstimates,
    QueueEstimate,
    Shard,
    StoreCall,
    StoreSilence,
)
from fuchsiascale.jobs.tests.test_evacuations import evacuate, make_zoned_shard
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


def test_submissions_that_were_refused_are_counted_by_reason():
    # The counter is empty when the metrics are set up, and was replaced by another one.
    refusals = Counter()
    metrics = NodeMetrics(
        SimpleNamespace(owners={}),
        SimpleNamespace(dropped=0),
        lambda: (1, 0.0),
        refusals=refusals,
    )
    refusals["store silent"] += 2
    text = metrics.render().decode()
    assert 'fuchsiascale_submissions_refused_total{reason="store silent"} 2.0' in text


def test_commands_that_were_late_are_counted_by_caller_and_outcome():
    # The counter is empty when the metrics are set up.
    late = Counter()
    metrics = NodeMetrics(
        SimpleNamespace(owners={}),
        SimpleNamespace(dropped=0),
        lambda: (1, 0.0),
        late_commands=late,
    )
    late["relayed", "dropped"] += 3
    text = metrics.render().decode()
    labels = '{caller="relayed",outcome="dropped"}'
    assert f"fuchsiascale_late_commands_total{labels} 3.0" in text


def render_owner(shard, load=None):
    """Return the metrics of an instance that owns one service."""
    owner = SimpleNamespace(
        shard=shard,
        load=load,
        workers=SimpleNamespace(count_channels=lambda: 6),
        recorder=SimpleNamespace(rejected_rows=2),
        round_count=50,
        round_seconds=0.4,
    )
    loads = LoadEstimates(ManualClock())
    loads.note("pool", 3, {"q": QueueEstimate(7.5, 1.0, 1.0)}, 0.0)
    metrics = NodeMetrics(
        SimpleNamespace(owners={"pool": owner}, loads=loads),
        SimpleNamespace(dropped=0),
        lambda: (1, 0.0),
    )
    return metrics.render().decode()


def test_the_load_of_an_owner_is_exported_by_service():
    text = render_owner(Shard("pool", 3, 6.0))
    labels = '{service="pool"}'
    assert f"fuchsiascale_relay_peers{labels} 6.0" in text
    assert f"fuchsiascale_expected_wait_seconds{labels} 7.5" in text
    assert f"fuchsiascale_rows_rejected_total{labels} 2.0" in text
    assert f"fuchsiascale_round_duration_seconds_count{labels} 50.0" in text
    assert f"fuchsiascale_round_duration_seconds_sum{labels} 0.4" in text


def test_withheld_processors_are_exported_by_cause():
    load = SimpleNamespace(
        used_filler_cores=12.5, slowed_cores={"prediction": 40.0, "target missed": 2.0}
    )
    text = render_owner(Shard("pool", 3, 6.0), load)
    assert 'fuchsiascale_filler_cores_used{service="pool"} 12.5' in text
    labels = '{cause="prediction",service="pool"}'
    assert f"fuchsiascale_filler_cores_slowed{labels} 40.0" in text


def test_evacuated_domains_are_exported_where_they_have_workers():
    # Rows of other writers may name thousands of domains, each of them a series.
    shard = make_zoned_shard("a", "b")
    evacuate(shard, 2, "b", *(f"z{number}" for number in range(3_000)))
    text = render_owner(shard)
    name = "fuchsiascale_evacuated_domains"
    lines = [line for line in text.splitlines() if line.startswith(name)]
    assert lines == [
        f'{name}{{domain="a",service="pool"}} 0.0',
        f'{name}{{domain="b",service="pool"}} 1.0',
    ]
    assert f"\n{name}{{" not in render_owner(Shard("pool", 3, 6.0))


def test_a_silent_store_and_refused_submissions_are_exported():
    clock = ManualClock()
    silence = StoreSilence(clock)
    metrics = NodeMetrics(
        SimpleNamespace(owners={}),
        SimpleNamespace(dropped=0),
        lambda: (1, 0.0),
        silence,
        {"store silent": 3, "unknown": 1},
    )
    assert "fuchsiascale_store_silent_seconds 0.0" in metrics.render().decode()
    for _ in range(2):
        silence.note_call()
    for _ in range(60):
        silence.tick()
        clock.advance(0.05)
    text = metrics.render().decode()
    assert "fuchsiascale_store_silences_total 1.0" in text
    assert "fuchsiascale_store_silent_seconds 0.0" not in text
    assert 'fuchsiascale_submissions_refused_total{reason="store silent"} 3.0' in text


def test_the_limits_of_a_listener_are_exported():
    gate = Gate("caller", derive_limits(IngressSettings(), 200, 4_100, "caller"))
    gate.count(Refusal.MEMORY)
    gate.count(Refusal.MEMORY)
    text = b"\n".join(
        line
        for line in generate_latest(GateCollector([gate])).splitlines()
        if not line.startswith(b"#")
    ).decode()
    labels = '{listener="caller",reason="memory"}'
    assert f"fuchsiascale_ingress_refusals_total{labels} 2.0" in text
    assert (
        'fuchsiascale_ingress_connections{listener="caller",phase="idle"} 0.0' in text
    )
    assert 'fuchsiascale_ingress_held_bytes{listener="caller"} 0.0' in text
    assert 'fuchsiascale_ingress_budget_bytes{listener="caller"} 2.4e+07' in text


def test_refusals_are_logged_once_for_many():
    gate = Gate("caller", derive_limits(IngressSettings(), 200, 4_100, "caller"))
    with logbook.TestHandler().applicationbound() as handler:
        for _ in range(1_000):
            gate.count(Refusal.HEAD_SIZE)
    assert len(handler.records) == 1
    assert handler.records[0].extra["reason"] == "head-size"
