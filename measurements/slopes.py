"""Measures the costs of messages and state by size, the input of docs/CAPACITY.md."""

from measurements import _fleet_costs, _request_costs, _work_costs  # noqa: F401
from measurements._report import Report, register_measurement
from measurements._slopes import COSTS, HTTP_BYTES, fit_slope

__all__ = ["measure_all"]


def measure_all():
    """Return all slopes by the name of their cost."""
    return {
        name: fit_slope(cost.title, cost.sizes, cost.measure)
        for name, cost in COSTS.items()
    }


@register_measurement("slopes", "Costs by size")
def run():
    """Measure every cost at three sizes."""
    figures = []
    for slope in measure_all().values():
        figures += slope.list_figures()
    return Report(
        baseline="none",
        setting=f"three sizes each, least squares; {HTTP_BYTES} bytes of HTTP head a "
        "message are counted in; processor time of one core",
        figures=tuple(figures),
    )
