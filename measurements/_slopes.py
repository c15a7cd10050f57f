"""Measures costs at several sizes and fits lines to them."""

import gc
import time
import tracemalloc

import msgspec

from measurements._report import Figure

__all__ = [
    "COSTS",
    "HTTP_BYTES",
    "Cost",
    "Slope",
    "fit_slope",
    "measure_cpu_us",
    "measure_memory",
    "register_cost",
]

HTTP_BYTES = 120
MIN_CPU_S = 0.1

COSTS = {}


class Cost(msgspec.Struct, frozen=True):
    """A registered cost and the sizes at which to measure it."""

    title: str
    sizes: tuple[int, ...]
    measure: object


def register_cost(name, title, sizes):
    """Register a function that returns the cost at a size.

    Parameters
    ----------
    name : str
    title : str
        What is measured, its unit, and what the size counts.
    sizes : tuple of int
        At least three.

    Returns
    -------
    callable
        The decorator.
    """

    def register(function):
        COSTS[name] = Cost(title, sizes, function)
        return function

    return register


class Slope(msgspec.Struct, frozen=True):
    """Costs at several sizes and the line fitted to them.

    Parameters
    ----------
    base : float
        Cost at size zero.
    per_unit : float
        Additional cost of each unit of size.
    """

    name: str
    sizes: tuple[int, ...]
    costs: tuple[float, ...]
    base: float
    per_unit: float

    def predict(self, size):
        """Return the cost that the fitted line predicts for a size.

        Examples
        --------
        >>> Slope("cost", (), (), base=2.0, per_unit=3.0).predict(4)
        14.0
        """
        return self.base + self.per_unit * size

    def list_figures(self):
        """Return the figures for a report: the cost of each unit and the base."""
        cost_list = ", ".join(
            f"{cost:,.0f} at {size:,}"
            for size, cost in zip(self.sizes, self.costs, strict=True)
        )
        return [
            Figure(name=f"{self.name}: {cost_list}; each", measured=self.per_unit),
            Figure(name="— base", measured=self.base),
        ]


def fit_slope(name, sizes, measure):
    """Measure a cost at each size and fit a line by least squares.

    Parameters
    ----------
    name : str
    sizes : sequence of int
        At least three.
    measure : callable
        Returns the cost at a size.

    Returns
    -------
    Slope
    """
    costs = [float(measure(size)) for size in sizes]
    mean_size = sum(sizes) / len(sizes)
    mean_cost = sum(costs) / len(costs)
    size_variation = sum((size - mean_size) ** 2 for size in sizes)
    pairs = zip(sizes, costs, strict=True)
    covariation = sum((size - mean_size) * (cost - mean_cost) for size, cost in pairs)
    per_unit = covariation / size_variation
    base = mean_cost - per_unit * mean_size
    return Slope(name, tuple(sizes), tuple(costs), base, per_unit)


def measure_cpu_us(function):
    """Return the processor time of one call, in microseconds."""
    function()
    calls = 0
    begin_s = time.process_time()
    while time.process_time() - begin_s < MIN_CPU_S:
        function()
        calls += 1
    return (time.process_time() - begin_s) / calls * 1e6


def measure_memory(make):
    """Return the memory of the object that a function makes, in bytes."""
    gc.collect()
    tracemalloc.start()
    kept = make()
    gc.collect()
    size, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    del kept
    return size
