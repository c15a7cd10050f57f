"""Spreading of a job's tasks over shards."""

from fuchsiascale.coordination import (
    MAX_CHUNK_TASKS,
    ShardOffer,
    can_hold,
    estimate_room,
)
from fuchsiascale.platform import Message

__all__ = [
    "MAX_JOB_CHUNKS",
    "MAX_JOB_TASKS",
    "ChunkShare",
    "explain_misfit",
    "spread_tasks",
]

# A job row, and a chunk and an assignment row a chunk, share a transaction.
MAX_JOB_CHUNKS = 48
MAX_JOB_TASKS = MAX_JOB_CHUNKS * MAX_CHUNK_TASKS
MIN_CHUNK_TASKS = 32


class ChunkShare(Message):
    """Some tasks of a job, and the shard that they go to."""

    offer: ShardOffer
    tasks: int


def spread_tasks(spec, offers):
    """Divide a job's tasks into chunks over shards by what these have free.

    Parameters
    ----------
    spec : JobSpec
    offers : sequence of ShardOffer
        Shards that may hold a task; at least one.

    Returns
    -------
    tuple of ChunkShare
        At most ``MAX_JOB_CHUNKS``, each of at most ``MAX_CHUNK_TASKS`` tasks.

    Notes
    -----
    A chunk goes to the shard with most room left. Few large chunks cost fewer
    writes, so one is cut to a shard's room only down to ``MIN_CHUNK_TASKS``.
    """
    room = {offer.shard: estimate_room(offer, spec.demand) for offer in offers}
    by_name = {offer.shard: offer for offer in offers}
    shares = []
    left = spec.tasks
    while left:
        shard = max(room, key=lambda name: (room[name], name))
        size = min(left, MAX_CHUNK_TASKS)
        if room[shard] > 0:
            size = min(size, max(room[shard], MIN_CHUNK_TASKS))
        chunks_left = MAX_JOB_CHUNKS - len(shares)
        size = max(size, -(-left // chunks_left))
        shares.append(ChunkShare(offer=by_name[shard], tasks=size))
        room[shard] -= size
        left -= size
    return tuple(shares)


def explain_misfit(demand, offers):
    """Return why no worker of the offered shards could hold a demand, or ''.

    A shard whose worker sizes are not known might hold anything.

    Parameters
    ----------
    demand : Resources
    offers : sequence of ShardOffer

    Returns
    -------
    str
    """
    if any(can_hold(offer, demand) for offer in offers):
        return ""
    shapes = [shape for offer in offers for shape in offer.shapes]
    for name in ("millicores", "memory_mb", "accelerators"):
        wanted = getattr(demand, name)
        largest = max(getattr(shape, name) for shape in shapes)
        if wanted > largest:
            return f"no worker has {wanted} {name}; the largest has {largest}"
    return "no single worker has all three resources at once"
