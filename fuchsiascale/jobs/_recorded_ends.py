"""Which ends of workers are recorded, and may be acknowledged."""

import math

__all__ = ["note_recorded", "snapshot_ends"]


def snapshot_ends(shard):
    """Return each worker's last end that the next record will include.

    An entry is the worker, its incarnation and the number of that end.
    """
    return [
        (worker, worker.incarnation, worker.last_seen_end)
        for worker in shard.workers.values()
        if worker.last_seen_end > worker.last_recorded_end
    ]


def note_recorded(shard, snapshot):
    """Note that the ends of a snapshot are recorded; workers may then drop them."""
    for worker, incarnation, seen in snapshot:
        if worker.incarnation == incarnation:
            recorded = min(seen, _find_unrecorded_end(shard, worker) - 1)
            worker.last_recorded_end = max(worker.last_recorded_end, recorded)


def _find_unrecorded_end(shard, worker):
    """Return the lowest end of a worker that belongs to a job without a record."""
    source = (worker.worker, worker.incarnation)
    return min(
        (
            job.unrecorded_ends.get(source, math.inf)
            for job in shard.unstorable.values()
        ),
        default=math.inf,
    )
