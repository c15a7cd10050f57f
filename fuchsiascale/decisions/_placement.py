"""Choice of a worker for a task by a registered policy."""

from fuchsiascale.ids import JobId, JobKindId, TeamId, WorkerId
from fuchsiascale.platform import Message, Resources
from fuchsiascale.states import Urgency

__all__ = [
    "PLACEMENT_POLICIES",
    "Placement",
    "PlacementRequest",
    "explain_misfit",
    "place_task",
    "place_tasks",
    "register_placement",
    "compute_larger_demand",
]

PLACEMENT_POLICIES = {}


class PlacementRequest(Message):
    """One task to place.

    Parameters
    ----------
    demand : Resources
        Estimated need of the task.
    """

    task: str
    kind: JobKindId
    demand: Resources
    job: JobId = JobId("")
    team: TeamId = TeamId("")
    urgency: Urgency = Urgency.BATCH


class Placement(Message):
    """Worker chosen for a task, and the figures behind the choice.

    Parameters
    ----------
    worker : WorkerId or None
        None if no worker has room.
    demand : Resources
        Resources to commit for the task.
    slowdown : float
        Expected slowdown of the services on the worker, as a factor.
    spare_millicores : int
        Processor time that stays free on the worker, in thousandths of a core.
    reason : str
        Reason why no worker was chosen.
    """

    task: str
    worker: WorkerId | None = None
    demand: Resources = Resources()
    slowdown: float = 1.0
    spare_millicores: int = 0
    reason: str = ""


def compute_larger_demand(declared, measured):
    """Return the larger of two demands for each resource.

    Examples
    --------
    >>> declared, measured = Resources(millicores=500), Resources(memory_mb=64)
    >>> larger = compute_larger_demand(declared, measured)
    >>> larger.millicores, larger.memory_mb
    (500, 64)
    """
    return Resources(
        millicores=max(declared.millicores, measured.millicores),
        memory_mb=max(declared.memory_mb, measured.memory_mb),
        accelerators=max(declared.accelerators, measured.accelerators),
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


def expect_no_slowdown(services, kind):
    """Return the slowdown factor of work without interference."""
    return 1.0


def place_task(
    index,
    request,
    random,
    slowdown=expect_no_slowdown,
    blocked=frozenset(),
    policy="least_interference",
    max_slowdown=float("inf"),
):
    """Choose a worker for one task without changing the index.

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
        Upper bound of the slowdown at a worker that already runs noisy work.

    Returns
    -------
    Placement

    Examples
    --------
    >>> from random import Random
    >>> from fuchsiascale.decisions import FreeIndex, WorkerFree
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
    slowdown=expect_no_slowdown,
    blocked_by_kind=None,
    policy="least_interference",
    max_slowdown=float("inf"),
):
    """Choose workers for tasks in order and commit their demands in the index.

    Parameters
    ----------
    index : FreeIndex
        Changed in place.
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
def place_least_interference(index, request, random, slowdown, blocked, max_slowdown):
    """Choose the least expected slowdown, then the tightest fit."""
    for cost, group_key in index.rank_groups(request, slowdown, max_slowdown):
        found = index.find_fits(group_key, request.demand, random, blocked)
        if found:
            best = min(found, key=lambda entry: _measure_slack(entry, request.demand))
            return _make_placement(request, best, cost)
    return Placement(task=request.task, reason="no worker has room")


@register_placement("first_fit")
def place_first_fit(index, request, random, slowdown, blocked, max_slowdown):
    """Choose the first worker that has room by a linear scan."""
    for entry in index:
        if entry.worker not in blocked and request.demand.fits(entry.free):
            return _make_placement(request, entry, 1.0)
    return Placement(task=request.task, reason="no worker has room")


@register_placement("best_fit")
def place_best_fit(index, request, random, slowdown, blocked, max_slowdown):
    """Choose the tightest fit among all workers by a linear scan."""
    fits = [
        entry
        for entry in index
        if entry.worker not in blocked and request.demand.fits(entry.free)
    ]
    if not fits:
        return Placement(task=request.task, reason="no worker has room")
    best = min(fits, key=lambda entry: _measure_slack(entry, request.demand))
    return _make_placement(request, best, 1.0)


def explain_misfit(demand, capacities):
    """Return why no worker can ever fit a demand, or an empty string.

    Parameters
    ----------
    demand : Resources
    capacities : iterable of Resources
        Total resources of each worker, less the reserve of its runners.

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


def _make_placement(request, entry, slowdown):
    return Placement(
        task=request.task,
        worker=entry.worker,
        demand=request.demand,
        slowdown=slowdown,
        spare_millicores=entry.free.millicores - request.demand.millicores,
    )
