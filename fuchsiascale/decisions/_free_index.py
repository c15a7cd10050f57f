"""Index of workers by what they have free.

Notes
-----
Workers stand in an index by the services they run beside and by the binary
magnitude of what they have free. A search goes through the groups in order of
expected slowdown and, in each, from the tightest bucket up; it looks at a
bounded number of workers a bucket, so its cost hardly grows with the fleet. A
bucket of at most ``MAX_PROBES`` workers is searched whole: within a shard no
fitting worker is missed.
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
    """A worker that may take tasks, and what it has uncommitted.

    Parameters
    ----------
    free : Resources
        Capacity less the reserve of its runners and all that is committed.
    services : tuple of ServiceId
        Services whose runners share the worker.
    pressure : int
        How much noisy work it holds already, as a step from 0.
    """

    worker: WorkerId
    free: Resources
    capacity: Resources = Resources()
    services: tuple[ServiceId, ...] = ()
    pressure: int = 0


class _Group(msgspec.Struct):
    """Workers beside the same services under the same pressure."""

    buckets: dict = {}
    order: list = []


class FreeIndex:
    """Index of workers by what they have free.

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
        key = _find_bucket(entry.free)
        bucket = group.buckets.get(key)
        if bucket is None:
            bucket = group.buckets[key] = []
            insort(group.order, key)
        self._entries[entry.worker] = entry
        self._positions[entry.worker] = (group_key, key, len(bucket))
        bucket.append(entry)

    def discard(self, worker):
        """Remove a worker where it is present."""
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
        """Take a demand off what a worker has free.

        Raises
        ------
        ValueError
            Where the demand does not fit.
        """
        entry = self._entries[worker]
        if not demand.fits(entry.free):
            raise ValueError(f"demand does not fit at worker {worker}")
        self.put(msgspec.structs.replace(entry, free=entry.free - demand))

    def release(self, worker, demand):
        """Give a demand back to what a worker has free."""
        entry = self._entries.get(worker)
        if entry is not None:
            self.put(msgspec.structs.replace(entry, free=entry.free + demand))

    def rank_groups(self, request, slowdown, max_slowdown):
        """Return pairs of expected slowdown and group key, least slowdown first.

        A group past the bound is left out where its workers hold noisy work
        already; without that exception a noisy task would never start.
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
        """Return a few workers of a group that hold a demand, tightest first."""
        group = self._groups[group_key]
        lowest = _find_bucket(demand)
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


def _find_bucket(free):
    return (
        max(0, free.accelerators).bit_length(),
        max(0, free.millicores).bit_length(),
        max(0, free.memory_mb).bit_length(),
    )
