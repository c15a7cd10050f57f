"""OpenTelemetry spans, one per hop, for sampled requests only.

Notes
-----
Sampling is decided once, where a request enters: by the caller's trace context if it
has one, otherwise at random. A request that is not sampled gets no span object.
"""

import sys

from opentelemetry import trace
from opentelemetry.exporter.otlp.proto.http.trace_exporter import OTLPSpanExporter
from opentelemetry.sdk.resources import Resource
from opentelemetry.sdk.trace import TracerProvider
from opentelemetry.sdk.trace.export import (
    BatchSpanProcessor,
    ConsoleSpanExporter,
    SimpleSpanProcessor,
)
from opentelemetry.trace import SpanKind, Status, StatusCode
from opentelemetry.trace.propagation.tracecontext import (
    TraceContextTextMapPropagator,
)

from fuchsiascale.states import Outcome

__all__ = ["EXPORTERS", "HopTraces", "make_traces", "register_exporter"]

SAMPLED_FLAG = 1
TRACE_PARENT = "traceparent"
EXPORTERS = {}


def register_exporter(name):
    """Return a decorator that registers a factory of span processors.

    Parameters
    ----------
    name : str
        Name in the settings.

    Returns
    -------
    callable
        The decorator.
    """

    def register(function):
        EXPORTERS[name] = function
        return function

    return register


@register_exporter("none")
def make_no_processor():
    """Return None, so that spans are not exported."""
    return


@register_exporter("console")
def make_console_processor():
    """Return a processor that prints each span as one line of JSON."""
    exporter = ConsoleSpanExporter(
        out=sys.stdout, formatter=lambda span: span.to_json(indent=None) + "\n"
    )
    return SimpleSpanProcessor(exporter)


@register_exporter("otlp")
def make_otlp_processor():
    """Return a processor that posts spans in batches to a collector."""
    return BatchSpanProcessor(OTLPSpanExporter())


class HopTraces:
    """Starts and ends the spans of a request's hops.

    Parameters
    ----------
    provider : opentelemetry.sdk.trace.TracerProvider
        Where the spans go.
    ratio : float
        Share of the requests that are sampled, from 0 to 1.
    random : random.Random
        Source of randomness for sampling.
    """

    def __init__(self, provider, ratio, random):
        self._provider = provider
        self._tracer = provider.get_tracer("fuchsiascale")
        self._propagator = TraceContextTextMapPropagator()
        self._ratio = ratio
        self._random = random

    def start_request(self, call):
        """Return the span of a sampled request's hop into this instance."""
        parent = call.headers.trace_parent
        if not parent:
            if self._random.random() >= self._ratio:
                return None
            return self._start_entry(call, None)
        if not is_sampled(parent):
            return None
        context = self._propagator.extract({TRACE_PARENT: parent})
        return self._start_entry(call, context)

    def end_request(self, span, call, answer):
        """End the span of a request."""
        if span is None:
            return
        span.set_attribute("fuchsiascale.request", call.request_id)
        span.set_attribute("fuchsiascale.team", call.team)
        _end(span, answer)

    def start_send(self, span, call, target):
        """Return the span of an outgoing hop, or None."""
        if span is None:
            return None
        return self._tracer.start_span(
            "send",
            context=trace.set_span_in_context(span),
            kind=SpanKind.CLIENT,
            attributes={"server.address": target},
        )

    def end_send(self, span, answer):
        """End the span of an outgoing hop."""
        if span is not None:
            _end(span, answer)

    def format_parent(self, span, call):
        """Return the traceparent header to send on; empty for none."""
        if span is None:
            return call.headers.trace_parent
        carrier = {}
        self._propagator.inject(carrier, trace.set_span_in_context(span))
        return carrier[TRACE_PARENT]

    def close(self):
        """Export the remaining spans."""
        self._provider.shutdown()

    def _start_entry(self, call, context):
        return self._tracer.start_span(
            "request",
            context=context,
            kind=SpanKind.SERVER,
            attributes={"fuchsiascale.service": call.service_id},
        )


def is_sampled(trace_parent):
    """Return whether a traceparent header carries the sampled flag.

    Examples
    --------
    >>> is_sampled("00-" + "a" * 32 + "-" + "b" * 16 + "-01")
    True
    >>> is_sampled("nonsense")
    False
    """
    parts = trace_parent.split("-")
    if len(parts) < 4 or len(parts[3]) != 2:
        return False
    try:
        return bool(int(parts[3], 16) & SAMPLED_FLAG)
    except ValueError:
        return False


def _end(span, answer):
    span.set_attribute("fuchsiascale.outcome", answer.outcome.value)
    if answer.refusal is not None:
        span.set_attribute("fuchsiascale.reason", answer.refusal.value)
    if answer.outcome is Outcome.UNKNOWN:
        span.set_status(Status(StatusCode.ERROR))
    span.end()


def make_traces(settings, instance, random):
    """Return the traces that the settings configure.

    Parameters
    ----------
    settings : TraceSettings
        Exporter and ratio.
    instance : InstanceId
        This instance, named in each span.
    random : random.Random
        Source of randomness for sampling.

    Returns
    -------
    HopTraces
        The traces.
    """
    resource = Resource.create(
        {"service.name": "fuchsiascaled", "service.instance.id": instance}
    )
    provider = TracerProvider(resource=resource)
    processor = EXPORTERS[settings.exporter]()
    if processor is not None:
        provider.add_span_processor(processor)
    ratio = settings.sample_ratio if processor is not None else 0.0
    return HopTraces(provider, ratio, random)
