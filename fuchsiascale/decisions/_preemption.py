"""Choice of the running tasks to evict for an urgent one."""

from fuchsiascale.ids import TaskId, WorkerId
from fuchsiascale.platform import Message, Resources

__all__ = ["MAX_VICTIMS", "Preemption", "PreemptionCandidate", "choose_preemption"]

MAX_VICTIMS = 4


class PreemptionCandidate(Message):
    """A running task that may be checkpointed and evicted."""

    task: TaskId
    demand: Resources
    evictions: int = 0


class Preemption(Message):
    """Tasks to evict from one worker so that a demand fits there."""

    worker: WorkerId
    victims: tuple[TaskId, ...]


def choose_preemption(workers, candidates, demand):
    """Choose the worker where the fewest evictions make room.

    Parameters
    ----------
    workers : iterable of WorkerFree
    candidates : mapping of WorkerId to sequence of PreemptionCandidate
    demand : Resources
        Demand of the urgent task.

    Returns
    -------
    Preemption or None
        None if ``MAX_VICTIMS`` evictions make room on no worker.

    Examples
    --------
    >>> from fuchsiascale.decisions import WorkerFree
    >>> core = Resources(millicores=1000)
    >>> running = {"w": (PreemptionCandidate(task="a", demand=core),)}
    >>> choose_preemption([WorkerFree(worker="w", free=Resources())], running, core)
    Preemption(worker='w', victims=('a',))
    """
    best = None
    for entry in workers:
        victims = _choose_victims(entry.free, candidates.get(entry.worker, ()), demand)
        if victims and (best is None or len(victims) < len(best.victims)):
            names = tuple(victim.task for victim in victims)
            best = Preemption(worker=entry.worker, victims=names)
    return best


def _choose_victims(free, candidates, demand):
    """Return the candidates to evict, or an empty list if they don't make room."""
    ordered = sorted(
        candidates, key=lambda entry: (entry.evictions, -entry.demand.millicores)
    )
    victims = []
    for candidate in ordered[:MAX_VICTIMS]:
        victims.append(candidate)
        free += candidate.demand
        if demand.fits(free):
            return victims
    return []
