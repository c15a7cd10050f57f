"""The speed of fillers beside serving tasks, and their moves to better workers."""

from fuchsiascale.jobs._run_state import FULL_SPEED_PERCENT, AttemptPhase
from fuchsiascale.jobs._worker_selection import (
    HARMLESS_SLOPE,
    compute_leftover,
    list_serving_tasks,
)

__all__ = ["move_fillers", "observe_tail_latencies", "throttle_fillers"]

PACE_HEADROOM = 1.6
"""Headroom of serving tasks that running fillers are slowed down to leave."""
PACE_PERIOD_S = 0.25
"""Period in which speeds are set anew."""
PACE_STEP_PERCENT = 10
"""Speeds are multiples of this percentage, so that few orders are sent."""
OBSERVATION_PERIOD_S = 0.4
"""Least time between two figures of a worker that are learnt from."""
NEAR_TARGET_SHARE = 0.8
"""Tail, as a share of the target, that the other tasks of a job have to reach."""
SUSPECTS_HALT_S = 0.2
"""Time over the target after which the fillers that may be why are halted."""
ALL_HALT_S = 1.1
"""Time over the target after which all fillers of a worker are halted. Measured tails
lag by up to 2 s, and the platform allows 4 s over the target."""
SINGLE_TASK_HALT_S = 1.4
"""Time after which they are halted where a single task is over its target: it may be
so by itself, but has to be under it without them."""
MOVE_PERIOD_S = 0.2
"""Period in which fillers that hardly progress are looked for."""
MAX_MOVES_PER_ROUND = 4
"""Fillers moved at once: each changes what is best for the next."""
MOVE_AFTER_S = 0.6
"""Time on a worker before a filler is moved away."""
SLOWED_PERCENT = 20
"""Speed up to which a filler is worth moving."""
MIN_DESTINATION_RATE = 0.8
"""Speed that another worker has to offer."""
NEARLY_DONE_PERCENT = 80
"""Progress from which a filler that checkpoints stays where it is."""
BARELY_STARTED_PERCENT = 20
"""Progress up to which one that doesn't checkpoint may start anew."""


def observe_tail_latencies(shard, worker, now_s):
    """Learn from the figures of an inventory just taken in."""
    if now_s < worker.next_observation_s:
        return
    worker.next_observation_s = now_s + OBSERVATION_PERIOD_S
    capacity = max(1, worker.listed.capacity.cpu_millis)
    shares = {}
    for attempt in worker.attempts.values():
        spec = attempt.task.step.spec
        if spec.fills and attempt.figure:
            share = attempt.figure / capacity
            shares[spec.image] = shares.get(spec.image, 0.0) + share
    for attempt in worker.attempts.values():
        spec = attempt.task.step.spec
        at_work = attempt.percent == FULL_SPEED_PERCENT and attempt.figure
        if not spec.tail_target_ms or not at_work:
            continue
        headroom = spec.tail_target_ms / attempt.figure
        job = attempt.task.step.job.job
        shard.harm.note(spec.image, job, headroom, shares, now_s)


def throttle_fillers(shard, worker, now_s):
    """Set the speed of the fillers of a worker by the harm that is predicted."""
    fillers = [
        attempt
        for attempt in worker.attempts.values()
        if attempt.task.step.spec.fills and attempt.phase is AttemptPhase.RUNNING
    ]
    if not fillers or now_s < worker.next_pace_s:
        return
    worker.next_pace_s = now_s + PACE_PERIOD_S
    paces = _choose_target_paces(shard, worker, fillers)
    over = _find_images_over_target(worker, now_s)
    over_s = now_s - worker.over_target_since_s if over else 0.0
    task_over_s = _measure_task_over_target_s(worker, now_s)
    for attempt in fillers:
        suspect = over_s > SUSPECTS_HALT_S and _is_suspect(shard, over, attempt)
        if suspect or over_s > ALL_HALT_S or task_over_s > SINGLE_TASK_HALT_S:
            paces[attempt] = 0.0
    for attempt, pace in paces.items():
        percent = int(pace * FULL_SPEED_PERCENT / PACE_STEP_PERCENT) * PACE_STEP_PERCENT
        shard.set_pace(attempt, percent)


def _find_images_over_target(worker, now_s):
    """Return the serving images that miss their target, and keep since when.

    Fillers disturb all tasks of a job alike: where one alone is slow beside others
    of its job, the cause is its own.
    """
    tails = {}
    for attempt in worker.attempts.values():
        spec = attempt.task.step.spec
        if spec.tail_target_ms:
            tail = attempt.figure / spec.tail_target_ms
            key = (spec.image, attempt.task.step.job.job)
            tails.setdefault(key, []).append(tail)
    over = {
        image
        for (image, _), values in tails.items()
        if max(values) > 1.0 and min(values) > NEAR_TARGET_SHARE
    }
    if not over:
        worker.over_target_since_s = None
    elif worker.over_target_since_s is None:
        worker.over_target_since_s = now_s
    return over


def _measure_task_over_target_s(worker, now_s):
    """Return for how long some task has missed its target, whatever the others do."""
    over = any(
        attempt.figure > attempt.task.step.spec.tail_target_ms > 0
        for attempt in worker.attempts.values()
    )
    if not over:
        worker.task_over_target_since_s = None
        return 0.0
    if worker.task_over_target_since_s is None:
        worker.task_over_target_since_s = now_s
    return now_s - worker.task_over_target_since_s


def _is_suspect(shard, over, attempt):
    """Return whether a filler may be why one of these images misses its target."""
    image = attempt.task.step.spec.image
    return any(
        shard.harm.slope(serving, image) >= HARMLESS_SLOPE
        or not shard.harm.known(serving, image)
        for serving in over
    )


def _choose_target_paces(shard, worker, fillers):
    capacity = max(1, worker.listed.capacity.cpu_millis)
    paces = dict.fromkeys(fillers, 1.0)
    shares = {
        attempt: attempt.task.step.spec.need.cpu_millis / capacity
        for attempt in fillers
    }
    for image, job in list_serving_tasks(worker):
        slopes = {
            attempt: shard.harm.slope(image, attempt.task.step.spec.image)
            for attempt in fillers
        }
        spare = max(0.0, shard.harm.headroom(job) - PACE_HEADROOM)
        excess = -spare + sum(
            slopes[each] * shares[each] * paces[each] for each in fillers
        )
        for attempt in sorted(fillers, key=lambda each: -slopes[each]):
            if excess <= 0:
                break
            if slopes[attempt] < HARMLESS_SLOPE:
                break
            cost = slopes[attempt] * shares[attempt]
            cut = min(paces[attempt], excess / cost)
            paces[attempt] -= cut
            excess -= cut * cost
    return paces


def move_fillers(shard, workers, now_s):
    """Move fillers that hardly progress to workers where they would."""
    if now_s < shard.next_move_s:
        return
    shard.next_move_s = now_s + MOVE_PERIOD_S
    moved = 0
    for worker in shard.workers.values():
        for attempt in list(worker.attempts.values()):
            if moved >= MAX_MOVES_PER_ROUND:
                return
            if _is_slowed(attempt, now_s) and _has_better_worker(
                shard, attempt, workers
            ):
                shard.log.info(
                    "moving a slowed task",
                    extra={
                        "task": attempt.task.name,
                        "worker": worker.worker,
                        "pace": attempt.pace,
                        "percent": attempt.percent,
                    },
                )
                shard.stop_attempt(attempt, now_s)
                moved += 1


def _is_slowed(attempt, now_s):
    spec = attempt.task.step.spec
    if not spec.fills or attempt.phase is not AttemptPhase.RUNNING:
        return False
    if (
        attempt.target_pace > SLOWED_PERCENT
        or now_s - attempt.phase_since_s < MOVE_AFTER_S
    ):
        return False
    latest = NEARLY_DONE_PERCENT if spec.checkpoints else BARELY_STARTED_PERCENT
    return attempt.percent < latest


def _has_better_worker(shard, attempt, workers):
    spec = attempt.task.step.spec
    return any(
        worker is not attempt.worker
        and worker.fits(spec)
        and compute_leftover(shard, spec.image, worker).rate(spec)
        >= MIN_DESTINATION_RATE
        for worker in workers
    )
