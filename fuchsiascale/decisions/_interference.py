"""How much batch work slows services down, learnt from lagging measurements.

Notes
-----
The slowdown of a service at a worker is taken as one plus the sum, over the
kinds of batch work beside it, of a coefficient for the pair of service and
kind times the cores in use by the kind. Coefficients follow the lagging
measurements by normalized least mean squares [1]_ and are shrunk towards the
kind's mean over all services until there is evidence for the pair.

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
    """Cores that a kind of batch work uses at a worker."""

    kind: JobKindId
    cores: float


class _Coefficient(msgspec.Struct):
    """Excess slowdown per core, and how many samples speak for it."""

    excess: float = 0.0
    evidence: float = 0.0


class InterferenceTable(msgspec.Struct):
    """What has been learnt of pairs of service and kind, and of kinds."""

    pairs: dict[tuple[ServiceId, JobKindId], _Coefficient] = {}
    kinds: dict[JobKindId, _Coefficient] = {}


def estimate_excess(table, service, kind):
    """Return the excess slowdown of a service per core of a kind beside it.

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
    kind_mean = _read(table.kinds, kind)
    pair = _read(table.pairs, (service, kind))
    weight = pair.evidence / (pair.evidence + PRIOR_EVIDENCE)
    return weight * pair.excess + (1.0 - weight) * kind_mean.excess


def expect_slowdown(table, services, kind, cores=1.0):
    """Return the worst slowdown among services by some cores of a kind.

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
    """Learn from one measurement of a service at a worker.

    Parameters
    ----------
    table : InterferenceTable
        Changed in place.
    service : ServiceId
    loads : sequence of KindLoad
        Kinds beside it at the time that the measurement is of.
    slowdown : float
        Measured latency over the service's latency undisturbed.
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
        _learn(table.pairs, (service, load.kind), change, table.kinds, load.kind)
        _learn(table.kinds, load.kind, change)


def quantize_pressure(excess):
    """Return the step from 0 of the noisy load that a worker holds.

    Parameters
    ----------
    excess : float
        Excess slowdown expected of all that it runs.

    Returns
    -------
    int

    Examples
    --------
    >>> [quantize_pressure(excess) for excess in (0.0, 0.04, 0.12, 5.0)]
    [0, 1, 2, 4]
    """
    return min(MAX_PRESSURE, ceil(excess / PRESSURE_EXCESS - 0.01))


def _read(table, key):
    return table.get(key) or _Coefficient()


def _learn(table, key, change, parents=None, parent=None):
    entry = table.get(key)
    if entry is None:
        start = _read(parents, parent).excess if parents is not None else 0.0
        entry = table[key] = _Coefficient(excess=start)
    moved = entry.excess + LEARNING_RATE * change
    entry.excess = min(MAX_EXCESS_PER_CORE, max(0.0, moved))
    entry.evidence = min(MAX_EVIDENCE, entry.evidence + 1.0)
