"""Prometheus metrics of the daemon on the users' platform."""

from prometheus_client import CollectorRegistry, Counter, Histogram, ProcessCollector
from prometheus_client.core import CounterMetricFamily, GaugeMetricFamily
from prometheus_client.exposition import generate_latest

__all__ = ["NodeMetrics"]

PREFIX = "fuchsiascale"
LATENCY_BUCKETS_S = (0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1.0, 2.5, 5.0)


class NodeMetrics:
    """Counters of requests, and the figures of the services owned here.

    Parameters
    ----------
    offices : Offices
        Where the owners are.
    log_buffer : LineBuffer
        Where log lines wait.
    """

    def __init__(self, offices, log_buffer):
        self._offices = offices
        self._log_buffer = log_buffer
        self.registry = CollectorRegistry()
        ProcessCollector(registry=self.registry)
        self._requests = Counter(
            f"{PREFIX}_job_requests_total",
            "Requests of callers, by method and status.",
            ("method", "status"),
            registry=self.registry,
        )
        self._latency = Histogram(
            f"{PREFIX}_job_request_duration_seconds",
            "Time from a request's arrival to its response.",
            ("method",),
            buckets=LATENCY_BUCKETS_S,
            registry=self.registry,
        )
        self.registry.register(self)

    def note_request(self, method, status, seconds):
        """Count one request."""
        self._requests.labels(method, str(status)).inc()
        self._latency.labels(method).observe(seconds)

    def collect(self):
        """Yield the figures of the services owned here."""
        left_out = CounterMetricFamily(
            f"{PREFIX}_log_lines_left_out", "Log lines that were not written."
        )
        left_out.add_metric([], self._log_buffer.left_out)
        yield left_out
        tokens = GaugeMetricFamily(
            f"{PREFIX}_owner_token", "Token of each service owned.", labels=["service"]
        )
        jobs = GaugeMetricFamily(
            f"{PREFIX}_jobs", "Unfinished jobs.", labels=["service", "state"]
        )
        silent = GaugeMetricFamily(
            f"{PREFIX}_workers_silent", "Workers without an answer.", labels=["service"]
        )
        events = CounterMetricFamily(
            f"{PREFIX}_attempt_events",
            "Starts and ends of attempts.",
            labels=["service", "event"],
        )
        for service, owner in self._offices.owners.items():
            shard = owner.shard
            tokens.add_metric([service], shard.token)
            for state, count in shard.count_states().items():
                jobs.add_metric([service, state], count)
            for event, count in shard.events.items():
                events.add_metric([service, event], count)
            quiet = sum(worker.silent for worker in shard.workers.values())
            silent.add_metric([service], quiet)
        yield from (tokens, jobs, silent, events)

    def render(self):
        """Return all metrics as text."""
        return generate_latest(self.registry)
