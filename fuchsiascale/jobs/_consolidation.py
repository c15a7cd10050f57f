"""Moves serving tasks together to make room for waiting fillers.

A filler is a task that uses only processor time that other tasks leave over.
"""

from fuchsiascale.jobs._run_state import FULL_SPEED_PERCENT, AttemptPhase
from fuchsiascale.jobs._worker_selection import (
    HARMLESS_SLOPE,
    estimate_leftover_millis,
    is_suitable,
)

__all__ = ["consolidate_serving_tasks"]

CONSOLIDATION_PERIOD_S = 0.5
"""Period of the search for moves."""
MIN_STAY_S = 5.0
"""Least run time before a serving task is moved: each start costs it 0.5 to 1 s."""
MIN_GAIN_MILLIS = 3_000
"""Least gain of a move: processor time for fillers, in thousandths of a core."""


def consolidate_serving_tasks(shard, workers, now_s):
    """Move a serving task whose image excludes waiting fillers from its worker.

    It moves to a worker that already serves its image, or swaps workers with a task
    there whose image its own worker serves.

    Parameters
    ----------
    shard : Shard
        Workers and jobs; commands are appended to it.
    workers : list of WorkerRun
        Workers that accept new attempts.
    now_s : float
        Monotonic time in seconds.
    """
    if now_s < shard.next_consolidation_s:
        return
    shard.next_consolidation_s = now_s + CONSOLIDATION_PERIOD_S
    demand = _sum_demand(shard)
    if sum(demand.values()) < MIN_GAIN_MILLIS:
        return
    serving_by_worker = {
        worker.worker: _group_serving_attempts(worker) for worker in workers
    }
    best_gain, best = MIN_GAIN_MILLIS, None
    for worker in workers:
        images = serving_by_worker[worker.worker]
        for image, attempts in images.items():
            if len(images) < 2 or len(attempts) != 1:
                continue
            candidate = attempts[0]
            rest = images.keys() - {image}
            before = _usable_millis(shard, worker, images.keys(), demand)
            gain = _usable_millis(shard, worker, rest, demand) - before
            if gain <= best_gain or not _is_movable(candidate, now_s):
                continue
            destination = _find_destination(
                candidate, rest, workers, serving_by_worker, now_s
            )
            if destination is not None:
                best_gain, best = gain, (candidate, *destination)
    if best is not None:
        _move(shard, *best, best_gain, now_s)


def _sum_demand(shard):
    """Return the processor time that fillers lack, by image."""
    demand = {}
    for job in shard.jobs.values():
        if job.state.final:
            continue
        for step in job.find_ready_steps():
            spec = step.spec
            if not spec.fills:
                continue
            lacking = 0.0
            for task in step.tasks:
                if task.waiting:
                    lacking += 1.0
                elif task.attempt is not None:
                    lacking += 1.0 - task.attempt.target_pace / FULL_SPEED_PERCENT
            lacking_millis = lacking * spec.need.cpu_millis
            demand[spec.image] = demand.get(spec.image, 0.0) + lacking_millis
    return demand


def _group_serving_attempts(worker):
    """Return the serving attempts of a worker by image."""
    groups = {}
    for attempt in worker.attempts.values():
        spec = attempt.task.step.spec
        if spec.tail_target_ms:
            groups.setdefault(spec.image, []).append(attempt)
    return groups


def _usable_millis(shard, worker, images, demand):
    """Return the processor time that waiting fillers could use beside some images."""
    wanted = sum(
        millis
        for filler, millis in demand.items()
        if all(
            shard.interference.known(image, filler)
            and shard.interference.slope(image, filler) < HARMLESS_SLOPE
            for image in images
        )
    )
    return min(wanted, max(0.0, estimate_leftover_millis(worker)))


def _is_movable(attempt, now_s):
    spec = attempt.task.step.spec
    return (
        attempt.phase is AttemptPhase.RUNNING
        and spec.lasting
        and not spec.gang
        and not spec.may_miss
        and now_s - attempt.phase_since_s > MIN_STAY_S
    )


def _find_destination(candidate, rest, workers, serving_by_worker, now_s):
    """Return a worker for a task, and the attempt to swap it with or None.

    Returns None where there is no such worker.
    """
    image = candidate.task.step.spec.image
    for worker in workers:
        images = serving_by_worker[worker.worker]
        if worker is candidate.worker or image not in images:
            continue
        if not is_suitable(candidate.task.step, worker):
            continue
        if worker.fits(candidate.task.step.spec):
            return worker, None
        for other in (each for shared in rest for each in images.get(shared, ())):
            if (
                _is_movable(other, now_s)
                and is_suitable(other.task.step, candidate.worker)
                and worker.fits_instead_of(candidate.task.step.spec, other)
                and candidate.worker.fits_instead_of(other.task.step.spec, candidate)
            ):
                return worker, other
    return None


def _move(shard, candidate, worker, other, gain, now_s):
    """Stop a task, and the one to swap it with if any, to restart on new workers."""
    shard.log.info(
        "moving a serving task",
        extra={
            "task": candidate.task.name,
            "worker": candidate.worker.worker,
            "to": worker.worker,
            "instead_of": other.task.name if other else "",
            "opens_millis": round(gain),
        },
    )
    candidate.task.preferred_worker = worker.worker
    shard.stop_attempt(candidate, now_s)
    if other is not None:
        other.task.preferred_worker = candidate.worker.worker
        shard.stop_attempt(other, now_s)
