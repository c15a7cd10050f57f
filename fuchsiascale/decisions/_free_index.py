"""Index of workers by their free resources.

Notes
-----
Noisy work is work that is expected to slow services down. Workers are grouped by
the services whose runners they host and by the pressure of noisy work. Each group is
divided into buckets by the binary magnitude of the free resources. A search visits
the groups in order of expected slowdown and the buckets of a group from the tightest
upwards. It probes a bounded number of workers in each bucket, so its cost hardly
grows with the fleet. A bucket of at most ``MAX_PROBES`` workers is searched
completely, so that no fitting worker of a shard is missed.
"""

from bisect import insort

import msgspec

from fuchsiascale.ids import ServiceId, WorkerId
from fuchsiascale.platform import Message, Resources

__all__ = [
    "MAX_CANDIDATES",
    "MAX_PROBES",
    "PRESSURE_EXCESS",
    "QUIET_EXCESS",
    "FreeIndex",
    "WorkerFree",
]

MAX_CANDIDATES = 8
MAX_PROBES = 64
PRESSURE_EXCESS = 0.1
QUIET_EXCESS = 0.01


class WorkerFree(Message):
    """A worker that may run tasks, and its uncommitted resources.

    Parameters
    ----------
    free : Resources
        Capacity less the reserve of its runners and all committed demands.
    services : tuple of ServiceId
        Services whose runners share the worker.
    pressure : int
        Level of the noisy work on the worker, from 0; see `quantize_pressure`.
    """

    worker: WorkerId
    free: Resources
    capacity: Resources = Resources()
    services: tuple[ServiceId, ...] = ()
    pressure: int = 0


class _Group(msgspec.Struct):
    """Workers with the same services and the same pressure."""

    buckets: dict = {}
    order: list = []


class FreeIndex:
    """Index of workers by their free resources.

    Parameters
    ----------
    workers : iterable of WorkerFree

    Examples
    --------
    >>> index = FreeIndex([WorkerFree(worker="w", free=Resources(millicores=4000))])
    >>> len(index), index.get("w").free.millicores
    (1, 4000)
    """

    def __init__(self, workers=()):
        self._groups = {}
        self._entries = {}
        self._positions = {}
        for entry in workers:
            self.put(entry)

    def __len__(self):
        return len(self._entries)

    def __contains__(self, worker):
        return worker in self._entries

    def __iter__(self):
        return iter(self._entries.values())

    def get(self, worker):
        """Return a worker's entry, or None."""
        return self._entries.get(worker)

    def put(self, entry):
        """Add a worker, or replace its entry."""
        self.discard(entry.worker)
        group_key = (entry.services, entry.pressure)
        group = self._groups.setdefault(group_key, _Group(buckets={}, order=[]))
        key = _get_bucket_key(entry.free)
        bucket = group.buckets.get(key)
        if bucket is None:
            bucket = group.buckets[key] = []
            insort(group.order, key)
        self._entries[entry.worker] = entry
        self._positions[entry.worker] = (group_key, key, len(bucket))
        bucket.append(entry)

    def discard(self, worker):
        """Remove a worker if it is present."""
        if self._entries.pop(worker, None) is None:
            return
        group_key, key, position = self._positions.pop(worker)
        group = self._groups[group_key]
        bucket = group.buckets[key]
        last = bucket.pop()
        if last.worker != worker:
            bucket[position] = last
            self._positions[last.worker] = (group_key, key, position)
        if not bucket:
            del group.buckets[key]
            group.order.remove(key)
        if not group.buckets:
            del self._groups[group_key]

    def commit(self, worker, demand):
        """Subtract a demand from a worker's free resources.

        Raises
        ------
        ValueError
            If the demand does not fit.
        """
        entry = self._entries[worker]
        if not demand.fits(entry.free):
            raise ValueError(f"demand does not fit at worker {worker}")
        self.put(msgspec.structs.replace(entry, free=entry.free - demand))

    def release(self, worker, demand):
        """Add a demand back to a worker's free resources."""
        entry = self._entries.get(worker)
        if entry is not None:
            self.put(msgspec.structs.replace(entry, free=entry.free + demand))

    def rank_groups(self, request, slowdown, max_slowdown):
        """Return pairs of expected slowdown and group key, least slowdown first.

        A group above the bound is omitted only if its workers already run noisy work.
        Otherwise a noisy task would never start.
        """
        cores = request.demand.millicores / 1_000
        ranked = []
        for services, pressure in self._groups:
            excess = cores * (slowdown(services, request.kind) - 1.0)
            if excess > QUIET_EXCESS:
                excess += PRESSURE_EXCESS * pressure
            if 1.0 + excess <= max_slowdown or pressure == 0:
                ranked.append((1.0 + excess, services, pressure))
        ranked.sort()
        return [(cost, (services, pressure)) for cost, services, pressure in ranked]

    def find_fits(self, group_key, demand, random, blocked=frozenset()):
        """Return some workers of a group that fit a demand, tightest first."""
        group = self._groups[group_key]
        lowest = _get_bucket_key(demand)
        found = []
        for key in group.order:
            if key[0] < lowest[0] or key[1] < lowest[1] or key[2] < lowest[2]:
                continue
            _probe_bucket(group.buckets[key], demand, random, blocked, found)
            if len(found) >= MAX_CANDIDATES:
                break
        return found


def _probe_bucket(bucket, demand, random, blocked, found):
    size = len(bucket)
    offset = int(random.random() * size)
    for step in range(min(size, MAX_PROBES)):
        entry = bucket[(offset + step) % size]
        if entry.worker not in blocked and demand.fits(entry.free):
            found.append(entry)
            if len(found) >= MAX_CANDIDATES:
                return


def _get_bucket_key(free):
    return (
        max(0, free.accelerators).bit_length(),
        max(0, free.millicores).bit_length(),
        max(0, free.memory_mb).bit_length(),
    )
