"""Prometheus metrics of the limits for callers."""

from prometheus_client.core import CounterMetricFamily, GaugeMetricFamily

__all__ = ["GateCollector"]

PREFIX = "fuchsiascale_ingress"


class GateCollector:
    """Collects the metrics of listeners.

    Parameters
    ----------
    gates : sequence of Gate
        The gates; it may grow.
    """

    def __init__(self, gates):
        self._gates = gates

    def collect(self):
        """Return the metrics, by listener."""
        connections = GaugeMetricFamily(
            f"{PREFIX}_connections",
            "Open connections, by what they do.",
            labels=["listener", "phase"],
        )
        held = GaugeMetricFamily(
            f"{PREFIX}_held_bytes",
            "Memory charged for heads and bodies.",
            labels=["listener"],
        )
        limits = GaugeMetricFamily(
            f"{PREFIX}_budget_bytes",
            "Memory that heads and bodies may take.",
            labels=["listener"],
        )
        refusals = CounterMetricFamily(
            f"{PREFIX}_refusals",
            "Requests and connections that were refused or given up.",
            labels=["listener", "reason"],
        )
        for gate in self._gates:
            for phase, count in gate.count_connections().items():
                connections.add_metric([gate.name, phase], count)
            held.add_metric([gate.name], gate.budget.held)
            limits.add_metric([gate.name], gate.budget.total)
            for refusal, count in gate.refusals.items():
                refusals.add_metric([gate.name, refusal.value], count)
        return connections, held, limits, refusals
