"""Distribution of a job's tasks over shards."""

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

# One transaction holds the job row, and a chunk and an assignment row per chunk.
MAX_JOB_CHUNKS = 48
MAX_JOB_TASKS = MAX_JOB_CHUNKS * MAX_CHUNK_TASKS
MIN_CHUNK_TASKS = 32


class ChunkShare(Message):
    """Number of tasks that a shard gets as one chunk."""

    offer: ShardOffer
    tasks: int


def spread_tasks(spec, offers):
    """Divide a job's tasks into chunks and assign these to shards by free room.

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
    Each chunk goes to the shard with the most room left. Large chunks need fewer
    writes, so a chunk is cut to a shard's room only down to ``MIN_CHUNK_TASKS``.
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
    """Return why no worker of the shards could hold a demand, or an empty string.

    A shard whose worker sizes are unknown is assumed to hold any demand.

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
