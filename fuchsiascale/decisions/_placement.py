"""Choice of a worker for a task.

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

from fuchsiascale.ids import JobId, JobKindId, ServiceId, TeamId, WorkerId
from fuchsiascale.platform import Message, Resources
from fuchsiascale.states import Urgency

__all__ = [
    "MAX_CANDIDATES",
    "MAX_PROBES",
    "PRESSURE_EXCESS",
    "QUIET_EXCESS",
    "PLACEMENT_POLICIES",
    "FreeIndex",
    "Placement",
    "PlacementRequest",
    "WorkerFree",
    "explain_misfit",
    "place_task",
    "place_tasks",
    "register_placement",
    "take_larger",
]

MAX_CANDIDATES = 8
MAX_PROBES = 64
PRESSURE_EXCESS = 0.1
QUIET_EXCESS = 0.01

PLACEMENT_POLICIES = {}


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


class PlacementRequest(Message):
    """One task to place.

    Parameters
    ----------
    demand : Resources
        What the task is taken to need.
    """

    task: str
    kind: JobKindId
    demand: Resources
    job: JobId = JobId("")
    team: TeamId = TeamId("")
    urgency: Urgency = Urgency.BATCH


class Placement(Message):
    """Where a task goes, and the figures that spoke for it.

    Parameters
    ----------
    worker : WorkerId or None
        None where no worker has room.
    demand : Resources
        What is to be committed for it.
    slowdown : float
        Expected slowdown of the services beside it, as a factor.
    spare_millicores : int
        Processor time left over at the worker, in thousandths of a core.
    reason : str
        Why there is no worker.
    """

    task: str
    worker: WorkerId | None = None
    demand: Resources = Resources()
    slowdown: float = 1.0
    spare_millicores: int = 0
    reason: str = ""


def take_larger(declared, measured):
    """Return the larger of two demands, resource by resource.

    Examples
    --------
    >>> larger = take_larger(Resources(millicores=500), Resources(memory_mb=64))
    >>> larger.millicores, larger.memory_mb
    (500, 64)
    """
    return Resources(
        millicores=max(declared.millicores, measured.millicores),
        memory_mb=max(declared.memory_mb, measured.memory_mb),
        accelerators=max(declared.accelerators, measured.accelerators),
    )


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


def register_placement(name):
    """Register a placement policy under a name.

    Parameters
    ----------
    name : str

    Returns
    -------
    callable
        Decorator of a function
        ``(index, request, random, slowdown, blocked, max_slowdown) -> Placement``.
    """

    def register(function):
        PLACEMENT_POLICIES[name] = function
        return function

    return register


def expect_none(services, kind):
    """Return the slowdown of work that disturbs nothing."""
    return 1.0


def place_task(
    index,
    request,
    random,
    slowdown=expect_none,
    blocked=frozenset(),
    policy="least_interference",
    max_slowdown=float("inf"),
):
    """Choose a worker for one task; the index is left as it is.

    Parameters
    ----------
    index : FreeIndex
    request : PlacementRequest
    random : random.Random
    slowdown : callable
        ``(services, kind) -> float``, the expected slowdown of services by one
        core of the kind.
    blocked : set of WorkerId
        Workers that get no new work of this kind.
    policy : str
        Name of a registered policy.
    max_slowdown : float
        Most slowdown to cause at a worker that holds noisy work already.

    Returns
    -------
    Placement

    Examples
    --------
    >>> from random import Random
    >>> index = FreeIndex([WorkerFree(worker="w", free=Resources(millicores=4000))])
    >>> request = PlacementRequest(
    ...     task="t", kind="k", demand=Resources(millicores=3000)
    ... )
    >>> place_task(index, request, Random(1)).worker
    'w'
    """
    place = PLACEMENT_POLICIES[policy]
    return place(index, request, random, slowdown, blocked, max_slowdown)


def place_tasks(
    index,
    requests,
    random,
    slowdown=expect_none,
    blocked_by_kind=None,
    policy="least_interference",
    max_slowdown=float("inf"),
):
    """Choose workers for tasks in order, committing each in the index.

    Parameters
    ----------
    index : FreeIndex
        Changed by the placements made.
    requests : iterable of PlacementRequest
    random : random.Random
    slowdown : callable
        ``(services, kind) -> float``.
    blocked_by_kind : mapping of JobKindId to set of WorkerId
    policy : str
    max_slowdown : float

    Returns
    -------
    list of Placement
        One for each request, in order.
    """
    blocked_by_kind = blocked_by_kind or {}
    placements = []
    for request in requests:
        blocked = blocked_by_kind.get(request.kind, frozenset())
        placement = place_task(
            index, request, random, slowdown, blocked, policy, max_slowdown
        )
        if placement.worker is not None:
            index.commit(placement.worker, request.demand)
        placements.append(placement)
    return placements


@register_placement("least_interference")
def place_beside_least(index, request, random, slowdown, blocked, max_slowdown):
    """Prefer the least expected slowdown, then the tightest fit."""
    for cost, group_key in index.rank_groups(request, slowdown, max_slowdown):
        found = index.find_fits(group_key, request.demand, random, blocked)
        if found:
            best = min(found, key=lambda entry: _measure_slack(entry, request.demand))
            return _accept(request, best, cost)
    return Placement(task=request.task, reason="no worker has room")


@register_placement("first_fit")
def place_at_first_fit(index, request, random, slowdown, blocked, max_slowdown):
    """Take the first worker that has room, by a scan of all."""
    for entry in index:
        if entry.worker not in blocked and request.demand.fits(entry.free):
            return _accept(request, entry, 1.0)
    return Placement(task=request.task, reason="no worker has room")


@register_placement("best_fit")
def place_at_tightest(index, request, random, slowdown, blocked, max_slowdown):
    """Take the tightest of all workers that have room, by a scan of all."""
    fits = [
        entry
        for entry in index
        if entry.worker not in blocked and request.demand.fits(entry.free)
    ]
    if not fits:
        return Placement(task=request.task, reason="no worker has room")
    best = min(fits, key=lambda entry: _measure_slack(entry, request.demand))
    return _accept(request, best, 1.0)


def explain_misfit(demand, capacities):
    """Return why no worker could ever hold a demand, or an empty text.

    Parameters
    ----------
    demand : Resources
    capacities : iterable of Resources
        What each worker has in all, less the reserve of its runners.

    Returns
    -------
    str

    Examples
    --------
    >>> explain_misfit(Resources(accelerators=1), [Resources(millicores=1000)])
    'no worker has 1 accelerators; the largest has 0'
    """
    capacities = list(capacities)
    if not capacities:
        return ""
    if any(demand.fits(capacity) for capacity in capacities):
        return ""
    for name in ("millicores", "memory_mb", "accelerators"):
        wanted = getattr(demand, name)
        largest = max(getattr(capacity, name) for capacity in capacities)
        if wanted > largest:
            return f"no worker has {wanted} {name}; the largest has {largest}"
    return "no single worker has all three resources at once"


def _measure_slack(entry, demand):
    free = entry.free
    return (
        free.accelerators - demand.accelerators,
        free.millicores - demand.millicores,
        free.memory_mb - demand.memory_mb,
    )


def _accept(request, entry, slowdown):
    return Placement(
        task=request.task,
        worker=entry.worker,
        demand=request.demand,
        slowdown=slowdown,
        spare_millicores=entry.free.millicores - request.demand.millicores,
    )
