"""First-fit placement."""

from fuchsiascale.ids import JobKindId, ServiceId, WorkerId
from fuchsiascale.platform import Message, Resources

__all__ = ["Placement", "PlacementRequest", "WorkerFree", "place_first_fit"]


class WorkerFree(Message):
    """A worker that may take tasks, and what it has uncommitted."""

    worker: WorkerId
    free: Resources
    capacity: Resources = Resources()
    services: tuple[ServiceId, ...] = ()
    pressure: int = 0


class PlacementRequest(Message):
    """One task to place."""

    task: str
    kind: JobKindId
    demand: Resources


class Placement(Message):
    """Where a task goes; None where no worker has room."""

    task: str
    worker: WorkerId | None = None
    slowdown: float = 1.0
    spare_millicores: int = 0
    reason: str = ""


def place_first_fit(workers, requests):
    """Choose the first worker with room for each request, in order.

    Parameters
    ----------
    workers : iterable of WorkerFree
    requests : iterable of PlacementRequest

    Returns
    -------
    list of Placement
    """
    free = {entry.worker: entry.free for entry in workers}
    placements = []
    for request in requests:
        worker = next(
            (w for w, left in free.items() if request.demand.fits(left)), None
        )
        if worker is None:
            reason = "no worker has room"
            placements.append(Placement(task=request.task, reason=reason))
            continue
        free[worker] = free[worker] - request.demand
        placements.append(Placement(task=request.task, worker=worker))
    return placements
