"""Prometheus metrics of the daemon."""

from aiohttp import web
from prometheus_client import (
    CollectorRegistry,
    Counter,
    Gauge,
    Histogram,
    ProcessCollector,
)
from prometheus_client.exposition import CONTENT_TYPE_LATEST, generate_latest

from fuchsiascale.states import Outcome

__all__ = ["METRICS_PATH", "RequestMeters", "make_metrics_routes", "make_registry"]

METRICS_PATH = "/metrics"
PREFIX = "fuchsiascale"
LATENCY_BUCKETS_S = (
    0.002,
    0.005,
    0.01,
    0.02,
    0.05,
    0.1,
    0.2,
    0.5,
    1.0,
    2.0,
    5.0,
    10.0,
)


def make_registry():
    """Return a new registry that holds the metrics of the process."""
    registry = CollectorRegistry()
    ProcessCollector(registry=registry)
    return registry


class RequestMeters:
    """Measures the request path.

    Parameters
    ----------
    registry : prometheus_client.CollectorRegistry
        Where the metrics are registered.
    """

    def __init__(self, registry):
        self._latency = Histogram(
            f"{PREFIX}_request_duration_seconds",
            "Time from a request's arrival to its answer.",
            ("service", "urgency", "outcome"),
            buckets=LATENCY_BUCKETS_S,
            registry=registry,
        )
        self._refusals = Counter(
            f"{PREFIX}_request_refusals_total",
            "Requests that were not run, by reason.",
            ("service", "reason"),
            registry=registry,
        )
        self._retries = Counter(
            f"{PREFIX}_request_retries_total",
            "Sends of requests after the first.",
            ("service",),
            registry=registry,
        )
        self._claims = Counter(
            f"{PREFIX}_key_claims_total",
            "Claims of idempotency keys by what came of them.",
            ("result",),
            registry=registry,
        )
        self._region_bytes = Counter(
            f"{PREFIX}_region_link_bytes_total",
            "Bytes of forwarded requests and answers, by the other region.",
            ("region",),
            registry=registry,
        )
        self._children = {}

    def finish_call(self, call, answer, seconds):
        """Count one ended request and its latency in seconds."""
        service = call.service.service if call.service else "unknown"
        key = (service, call.urgency, answer.outcome)
        child = self._children.get(key)
        if child is None:
            labels = (service, call.urgency.value, answer.outcome.value)
            child = self._children[key] = self._latency.labels(*labels)
        child.observe(seconds)
        if answer.outcome is Outcome.NOT_RUN:
            reason = answer.refusal.value if answer.refusal else "unknown"
            self._refusals.labels(service, reason).inc()

    def count_retry(self, service):
        """Count one more send of a request."""
        self._retries.labels(service).inc()

    def count_claim(self, result):
        """Count one claim of a key by its result."""
        self._claims.labels(result).inc()

    def count_region_bytes(self, region, amount):
        """Count bytes exchanged with another region."""
        self._region_bytes.labels(region).inc(amount)


def register_slot_gauges(registry, slots, count_in_flight, count_usable):
    """Register gauges of requests in flight and of slots used and usable.

    Parameters
    ----------
    registry : prometheus_client.CollectorRegistry
        Where the metrics are registered.
    slots : SlotHolder
        Slots of this instance.
    count_in_flight, count_usable : callable
        Return the requests between arrival and answer, and the slots lent.
    """
    in_flight = Gauge(
        f"{PREFIX}_requests_in_flight",
        "Requests between arrival and answer.",
        registry=registry,
    )
    in_flight.set_function(count_in_flight)
    in_use = Gauge(
        f"{PREFIX}_slots_in_use",
        "Slots of runners that requests of this instance hold.",
        registry=registry,
    )
    in_use.set_function(lambda: slots.in_use)
    usable = Gauge(
        f"{PREFIX}_slots_usable",
        "Slots of runners lent to this instance.",
        registry=registry,
    )
    usable.set_function(count_usable)


def make_metrics_routes(registry):
    """Return the route that Prometheus reads.

    Parameters
    ----------
    registry : prometheus_client.CollectorRegistry
        The metrics.

    Returns
    -------
    list of aiohttp.web.RouteDef
        Routes to add to the caller listener.
    """

    async def handle(request):
        return web.Response(
            body=generate_latest(registry),
            headers={"Content-Type": CONTENT_TYPE_LATEST},
        )

    return [web.get(METRICS_PATH, handle)]
