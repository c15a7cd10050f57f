"""Estimates of how much batch work slows services down.

Notes
-----
The slowdown of a service at a worker is modelled as one plus a sum over the kinds
of batch work on the worker: a coefficient for the pair of service and kind, times
the cores that the kind uses. The coefficients are estimated from lagging
measurements by normalized least mean squares [1]_, and are shrunk towards the kind's
mean over all services until there is enough evidence for the pair.

References
----------
.. [1] B. Widrow, S. D. Stearns, "Adaptive Signal Processing", 1985.
"""

from math import ceil

import msgspec

from fuchsiascale.decisions._free_index import PRESSURE_EXCESS
from fuchsiascale.ids import JobKindId, ServiceId
from fuchsiascale.platform import Message

__all__ = [
    "InterferenceTable",
    "KindLoad",
    "estimate_excess",
    "expect_slowdown",
    "observe_slowdown",
    "quantize_pressure",
]

LEARNING_RATE = 0.2
PRIOR_EVIDENCE = 5.0
MAX_EVIDENCE = 100.0
MAX_EXCESS_PER_CORE = 2.0
MAX_PRESSURE = 4


class KindLoad(Message):
    """Cores that a kind of batch work uses on a worker."""

    kind: JobKindId
    cores: float


class _Coefficient(msgspec.Struct):
    """Excess slowdown per core, and the number of samples behind it."""

    excess: float = 0.0
    evidence: float = 0.0


class InterferenceTable(msgspec.Struct):
    """Coefficients of pairs of service and kind, and of kinds."""

    pairs: dict[tuple[ServiceId, JobKindId], _Coefficient] = {}
    kinds: dict[JobKindId, _Coefficient] = {}


def estimate_excess(table, service, kind):
    """Return the excess slowdown of a service per core of a kind.

    Parameters
    ----------
    table : InterferenceTable
    service : ServiceId
    kind : JobKindId

    Returns
    -------
    float

    Examples
    --------
    >>> table = InterferenceTable()
    >>> for _ in range(200):
    ...     load = (KindLoad(kind="tuning", cores=4.0),)
    ...     observe_slowdown(table, "hub", load, 1.4)
    >>> round(estimate_excess(table, "hub", "tuning"), 2)
    0.1
    >>> round(estimate_excess(table, "other", "tuning"), 2)
    0.1
    >>> estimate_excess(table, "hub", "unknown")
    0.0
    """
    kind_mean = _get_coefficient(table.kinds, kind)
    pair = _get_coefficient(table.pairs, (service, kind))
    weight = pair.evidence / (pair.evidence + PRIOR_EVIDENCE)
    return weight * pair.excess + (1.0 - weight) * kind_mean.excess


def expect_slowdown(table, services, kind, cores=1.0):
    """Return the largest expected slowdown of services by some cores of a kind.

    Parameters
    ----------
    table : InterferenceTable
    services : iterable of ServiceId
    kind : JobKindId
    cores : float

    Returns
    -------
    float
        A factor of at least 1.
    """
    excesses = [estimate_excess(table, service, kind) for service in services]
    return 1.0 + cores * max(excesses, default=0.0)


def observe_slowdown(table, service, loads, slowdown):
    """Update the coefficients with one measurement of a service on a worker.

    Parameters
    ----------
    table : InterferenceTable
        Changed in place.
    service : ServiceId
    loads : sequence of KindLoad
        Kinds on the worker at the time of the measurement.
    slowdown : float
        Measured latency divided by the service's undisturbed latency.
    """
    excess = max(0.0, slowdown - 1.0)
    loads = [load for load in loads if load.cores > 0.0]
    power = sum(load.cores * load.cores for load in loads)
    if power <= 0.0:
        return
    expected = sum(
        load.cores * estimate_excess(table, service, load.kind) for load in loads
    )
    for load in loads:
        change = (excess - expected) * load.cores / power
        _update_coefficient(
            table.pairs, (service, load.kind), change, table.kinds, load.kind
        )
        _update_coefficient(table.kinds, load.kind, change)


def quantize_pressure(excess):
    """Return the pressure of the noisy work on a worker as a level from 0.

    Parameters
    ----------
    excess : float
        Excess slowdown expected of all work that it runs.

    Returns
    -------
    int

    Examples
    --------
    >>> [quantize_pressure(excess) for excess in (0.0, 0.04, 0.12, 5.0)]
    [0, 1, 2, 4]
    """
    return min(MAX_PRESSURE, ceil(excess / PRESSURE_EXCESS - 0.01))


def _get_coefficient(table, key):
    return table.get(key) or _Coefficient()


def _update_coefficient(table, key, change, parents=None, parent=None):
    entry = table.get(key)
    if entry is None:
        start = _get_coefficient(parents, parent).excess if parents is not None else 0.0
        entry = table[key] = _Coefficient(excess=start)
    updated = entry.excess + LEARNING_RATE * change
    entry.excess = min(MAX_EXCESS_PER_CORE, max(0.0, updated))
    entry.evidence = min(MAX_EVIDENCE, entry.evidence + 1.0)
