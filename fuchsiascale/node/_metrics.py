"""Prometheus metrics of the daemon on the users' platform."""

from prometheus_client import CollectorRegistry, Counter, Histogram, ProcessCollector
from prometheus_client.core import (
    CounterMetricFamily,
    GaugeMetricFamily,
    SummaryMetricFamily,
)
from prometheus_client.exposition import generate_latest

from fuchsiascale.ingress import GateCollector

__all__ = ["NodeMetrics"]

PREFIX = "fuchsiascale"
STORE_PREFIX = f"{PREFIX}_store"
LATENCY_BUCKETS_S = (0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1.0, 2.5, 5.0)


class NodeMetrics:
    """Metrics of requests, store calls and the services that this instance owns.

    Parameters
    ----------
    ownership : OwnershipManager
        Owners that this instance runs.
    log_buffer : LineBuffer
        Buffer of the log lines.
    configuration : callable
        Returns the version of the active configuration and its age in seconds; both
        are None before the first configuration.
    silence : StoreSilence, optional
        Whether the store is silent.
    refusals : Counter, optional
        Submissions that were not accepted, by reason.
    gates : sequence of Gate
        Limits of the listeners.
    late_commands : Counter, optional
        Commands that were sent late or dropped; see `LateCommands`.
    """

    def __init__(
        self,
        ownership,
        log_buffer,
        configuration,
        silence=None,
        refusals=None,
        gates=(),
        late_commands=None,
    ):
        self._late_commands = {} if late_commands is None else late_commands
        self._silence = silence
        self._refusals = {} if refusals is None else refusals
        self._ownership = ownership
        self._configuration = configuration
        self._log_buffer = log_buffer
        self._gates = GateCollector(gates)
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
        self._store_calls = Counter(
            f"{STORE_PREFIX}_calls_total",
            "Calls to the store, by call and outcome.",
            ("call", "outcome"),
            registry=self.registry,
        )
        self._store_bytes = Counter(
            f"{STORE_PREFIX}_received_bytes_total",
            "Bytes of the store's answers, whole or cut off.",
            ("call", "outcome"),
            registry=self.registry,
        )
        self._store_latency = Histogram(
            f"{STORE_PREFIX}_call_duration_seconds",
            "Time of a call to the store, waits of the feed included.",
            ("call",),
            buckets=LATENCY_BUCKETS_S,
            registry=self.registry,
        )
        self.registry.register(self)

    def count_store_call(self, call):
        """Count one call to the store."""
        self._store_calls.labels(call.name, call.outcome).inc()
        self._store_bytes.labels(call.name, call.outcome).inc(call.received_bytes)
        self._store_latency.labels(call.name).observe(call.seconds)

    def count_request(self, method, status, seconds):
        """Count one request."""
        self._requests.labels(method, str(status)).inc()
        self._latency.labels(method).observe(seconds)

    def collect(self):
        """Yield the metrics of the configuration, the log and the owned services."""
        version, age_s = self._configuration()
        version_gauge = GaugeMetricFamily(
            f"{PREFIX}_configuration_version", "Version of the configuration in force."
        )
        age = GaugeMetricFamily(
            f"{PREFIX}_configuration_age_seconds",
            "Time since the configuration was last known to be the newest.",
        )
        if version is not None:
            version_gauge.add_metric([], version)
        if age_s is not None:
            age.add_metric([], age_s)
        yield from (version_gauge, age)
        dropped = CounterMetricFamily(
            f"{PREFIX}_log_lines_left_out", "Log lines that were not written."
        )
        dropped.add_metric([], self._log_buffer.dropped)
        yield dropped
        yield from self._collect_refusals()
        yield self._collect_late_commands()
        yield from self._gates.collect()
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
        relays = GaugeMetricFamily(
            f"{PREFIX}_relay_peers",
            "Peers that relay calls to workers.",
            labels=["service"],
        )
        rejected = CounterMetricFamily(
            f"{PREFIX}_rows_rejected",
            "Rows that the store rejected for their form or size.",
            labels=["service"],
        )
        cancels = GaugeMetricFamily(
            f"{PREFIX}_pending_cancels",
            "Cancelled jobs that are not stored and may still be.",
            labels=["service"],
        )
        cancel_rows = GaugeMetricFamily(
            f"{PREFIX}_early_cancel_rows",
            "Rows of the store that hold such cancellations.",
            labels=["service"],
        )
        withdrawn = GaugeMetricFamily(
            f"{PREFIX}_withdrawn_rows",
            "Rows of the store that block late writes of refused submissions.",
            labels=["service"],
        )
        rounds = SummaryMetricFamily(
            f"{PREFIX}_round_duration_seconds",
            "Duration of the scheduling rounds.",
            labels=["service"],
        )
        evacuated = GaugeMetricFamily(
            f"{PREFIX}_evacuated_domains",
            "1 for each failure domain with workers that is evacuated, 0 for others.",
            labels=["service", "domain"],
        )
        waits = GaugeMetricFamily(
            f"{PREFIX}_expected_wait_seconds",
            "Longest least time until the first start of a new job of any queue.",
            labels=["service"],
        )
        slowed = GaugeMetricFamily(
            f"{PREFIX}_filler_cores_slowed",
            "Processors withheld from running fillers, by cause.",
            labels=["service", "cause"],
        )
        used = GaugeMetricFamily(
            f"{PREFIX}_filler_cores_used",
            "Processors that running fillers use.",
            labels=["service"],
        )
        for service, owner in self._ownership.owners.items():
            shard = owner.shard
            if owner.load is not None:
                used.add_metric([service], owner.load.used_filler_cores)
                for cause, cores in owner.load.slowed_cores.items():
                    slowed.add_metric([service, cause], cores)
            for domain, is_evacuated in shard.list_evacuations().items():
                evacuated.add_metric([service, domain], is_evacuated)
            waits.add_metric([service], self._ownership.loads.find_longest_s(service))
            relays.add_metric([service], owner.workers.count_channels())
            rejected.add_metric([service], owner.recorder.rejected_rows)
            withdrawn.add_metric([service], len(shard.withdrawn_rows))
            cancels.add_metric([service], len(shard.pending_cancels))
            cancel_rows.add_metric([service], len(shard.early_cancel_rows))
            rounds.add_metric([service], owner.round_count, owner.round_seconds)
            tokens.add_metric([service], shard.token)
            for state, count in shard.count_states().items():
                jobs.add_metric([service, state], count)
            for event, count in shard.events.items():
                events.add_metric([service, event], count)
            quiet = sum(worker.silent for worker in shard.workers.values())
            silent.add_metric([service], quiet)
        yield from (tokens, jobs, silent, events, relays, rejected, rounds)
        yield from (evacuated, waits, slowed, used)
        yield from (cancels, cancel_rows, withdrawn)

    def _collect_refusals(self):
        """Yield the metrics of a silent store and of submissions not accepted."""
        if self._silence is not None:
            silent = GaugeMetricFamily(
                f"{STORE_PREFIX}_silent_seconds",
                "For how long the store has been taken for silent; 0 if it is not.",
            )
            silent.add_metric([], self._silence.silent_for_s())
            count = CounterMetricFamily(
                f"{STORE_PREFIX}_silences", "Times the store was taken for silent."
            )
            count.add_metric([], self._silence.count)
            yield from (silent, count)
        refused = CounterMetricFamily(
            f"{PREFIX}_submissions_refused",
            "Submissions that were not accepted, by reason.",
            labels=["reason"],
        )
        for reason, number in self._refusals.items():
            refused.add_metric([reason], number)
        yield refused

    def _collect_late_commands(self):
        late = CounterMetricFamily(
            f"{PREFIX}_late_commands",
            "Commands to workers that were sent late, or dropped for that.",
            labels=["caller", "outcome"],
        )
        for labels, number in self._late_commands.items():
            late.add_metric(labels, number)
        return late

    def render(self):
        """Return all metrics as text."""
        return generate_latest(self.registry)
