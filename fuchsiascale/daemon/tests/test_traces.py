"""Tests of the spans per hop and of the metrics of the request path."""

from random import Random

from msgspec.structs import replace
from opentelemetry.sdk.trace import TracerProvider
from opentelemetry.sdk.trace.export import SimpleSpanProcessor
from opentelemetry.sdk.trace.export.in_memory_span_exporter import (
    InMemorySpanExporter,
)

from fuchsiascale.daemon._metrics import RequestMeters, make_registry
from fuchsiascale.daemon._traces import HopTraces, is_sampled
from fuchsiascale.pipelines import build_request_pipeline
from fuchsiascale.pipelines.tests._fakes import make_call, make_ports
from fuchsiascale.testing import collect_functions

load_tests = collect_functions(__name__)

TRACE = "4bf92f3577b34da6a3ce929d0e0e4736"
CALLER = f"00-{TRACE}-00f067aa0ba902b7-"


async def run_traced(ratio, trace_parent=""):
    """Send one request; return its spans and the traceparent sent on."""
    exporter = InMemorySpanExporter()
    provider = TracerProvider()
    provider.add_span_processor(SimpleSpanProcessor(exporter))
    ports = replace(make_ports(), traces=HopTraces(provider, ratio, Random(1)))
    pipeline = build_request_pipeline(ports)
    await pipeline.handle(make_call(trace_parent=trace_parent))
    return exporter.get_finished_spans(), ports.runners.sent[0][1].trace_parent


async def test_a_sampled_request_has_one_span_in_and_one_out():
    spans, sent_on = await run_traced(0.0, CALLER + "01")
    out, entry = spans
    assert {span.context.trace_id for span in spans} == {int(TRACE, 16)}
    assert entry.parent.span_id == 0x00F067AA0BA902B7
    assert out.parent.span_id == entry.context.span_id
    assert sent_on == f"00-{TRACE}-{out.context.span_id:016x}-01"
    assert entry.attributes["fuchsiascale.outcome"] == "done"


async def test_a_request_that_is_not_sampled_has_no_span():
    spans, sent_on = await run_traced(1.0, CALLER + "00")
    assert not spans
    assert sent_on == CALLER + "00"
    spans, sent_on = await run_traced(0.0)
    assert (spans, sent_on) == ((), "")


async def test_sampling_is_decided_where_a_request_enters():
    spans, sent_on = await run_traced(1.0)
    assert len(spans) == 2
    assert is_sampled(sent_on)
    assert f"{spans[0].context.trace_id:032x}" in sent_on


async def test_requests_are_counted_by_outcome_and_reason():
    registry = make_registry()
    ports = replace(make_ports(), meters=RequestMeters(registry))
    pipeline = build_request_pipeline(ports)
    await pipeline.handle(make_call(idempotency_key="k"))
    await pipeline.handle(make_call(urgency="extreme"))
    prefix = "fuchsiascale_request"
    done = {"service": "hub", "urgency": "urgent", "outcome": "done"}
    name = f"{prefix}_duration_seconds_count"
    assert registry.get_sample_value(name, done) == 1
    reason = {"service": "hub", "reason": "bad-request"}
    assert registry.get_sample_value(f"{prefix}_refusals_total", reason) == 1
    claimed = {"result": "granted"}
    assert registry.get_sample_value("fuchsiascale_key_claims_total", claimed) == 1
