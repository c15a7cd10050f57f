"""Prometheus metrics of batch work."""

from prometheus_client import Counter
from prometheus_client.core import GaugeMetricFamily

from fuchsiascale.daemon._metrics import PREFIX

__all__ = ["PrometheusWorkMeters", "ShardCollector"]


class PrometheusWorkMeters:
    """Counts starts and recorded ends of batch tasks by kind.

    Parameters
    ----------
    registry : prometheus_client.CollectorRegistry
    """

    def __init__(self, registry):
        self._starts = _make_counter(
            registry, "attempt_starts", "Attempts at batch tasks started.", ("kind",)
        )
        self._ends = _make_counter(
            registry,
            "tasks_ended",
            "Batch tasks whose end is recorded, by state.",
            ("kind", "state"),
        )
        self._failures = _make_counter(
            registry, "attempt_failures", "Attempts recorded as failed.", ("kind",)
        )
        self._evictions = _make_counter(
            registry, "evictions", "Evictions recorded, to be resumed.", ("kind",)
        )

    def count_start(self, kind):
        """Count one attempt that was started."""
        self._starts.labels(kind).inc()

    def count_changes(self, before, after):
        """Count the ends, failures and evictions that a chunk write recorded."""
        kind = after.spec.kind
        for old, new in zip(before.tasks, after.tasks, strict=True):
            if new.state is not old.state:
                self._ends.labels(kind, new.state.value).inc()
            self._failures.labels(kind).inc(new.failures - old.failures)
            self._evictions.labels(kind).inc(new.evictions - old.evictions)


class ShardCollector:
    """Gauges of the shards that an instance owns, read at collection time.

    Parameters
    ----------
    statuses : callable
        ``() -> sequence of ShardStatus``, the owned shards.
    """

    def __init__(self, statuses):
        self._statuses = statuses

    def collect(self):
        """Yield the metric families."""
        tasks = GaugeMetricFamily(
            f"{PREFIX}_batch_tasks",
            "Batch tasks of owned shards by state.",
            labels=("shard", "state"),
        )
        capacity = _make_gauge("capacity", "Capacity of owned shards.")
        committed = _make_gauge("committed", "Commitments in owned shards.")
        for status in self._statuses():
            for state in ("waiting", "running", "in_doubt"):
                tasks.add_metric((status.shard, state), getattr(status, state))
            _add_resources(capacity, status.shard, status.capacity)
            _add_resources(committed, status.shard, status.committed)
        yield from (tasks, capacity, committed)


def _make_counter(registry, name, text, labels):
    return Counter(f"{PREFIX}_batch_{name}_total", text, labels, registry=registry)


def _make_gauge(name, text):
    return GaugeMetricFamily(
        f"{PREFIX}_shard_{name}",
        f"{text} By resource: millicores, memory_mb, accelerators.",
        labels=("shard", "resource"),
    )


def _add_resources(family, shard, amounts):
    for name in ("millicores", "memory_mb", "accelerators"):
        family.add_metric((shard, name), getattr(amounts, name))
