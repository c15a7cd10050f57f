"""Throttles fillers beside serving tasks, and moves them to better workers.

A filler is a task that uses only processor time that other tasks leave over.
"""

from fuchsiascale.jobs._run_state import FULL_SPEED_PERCENT, AttemptPhase, SlowedBy
from fuchsiascale.jobs._worker_selection import (
    HARMLESS_SLOPE,
    list_serving_tasks,
)

__all__ = ["move_fillers", "observe_tail_latencies", "throttle_fillers"]

PACE_HEADROOM = 1.6
"""Headroom of serving tasks that is preserved by throttling running fillers."""
PACE_PERIOD_S = 0.25
"""Period in which speeds are recomputed."""
PACE_STEP_PERCENT = 10
"""Speeds are multiples of this percentage, so that few commands are sent."""
OBSERVATION_PERIOD_S = 0.4
"""Least time between two observations of a worker."""
NEAR_TARGET_SHARE = 0.8
"""Tail latency, as a share of the target, that all tasks of a job on a worker have to
exceed before fillers are suspected as the cause."""
SUSPECTS_HALT_S = 0.2
"""Time over the target after which the fillers that may be the cause are halted."""
ALL_HALT_S = 1.1
"""Time over the target after which all fillers of a worker are halted. Measured tail
latencies lag by up to 2 s, and the platform allows 4 s over the target."""
SINGLE_TASK_HALT_S = 1.4
"""The same where a single task is over its target. Fillers may not be the cause, but
the task has to meet its target at least without them."""
MOVE_PERIOD_S = 0.2
"""Period of the search for fillers that make little progress."""
MAX_MOVES_PER_ROUND = 4
"""Largest number of fillers moved at once, as each move changes what is best next."""
MOVE_AFTER_S = 0.6
"""Time on a worker before a filler is moved away."""
SLOWED_PERCENT = 20
"""Highest target speed, in percent, at which a filler is moved."""
MIN_DESTINATION_RATE = 0.8
"""Least speed, 0 to 1, that another worker has to offer."""
NEARLY_DONE_PERCENT = 80
"""Progress from which a filler that writes checkpoints is not moved."""
BARELY_STARTED_PERCENT = 20
"""Progress from which a filler without checkpoints, which restarts, is not moved."""


def observe_tail_latencies(shard, worker, now_s):
    """Update the interference estimates from an inventory that was just applied."""
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
        is_serving = attempt.percent == FULL_SPEED_PERCENT and attempt.figure
        if not spec.tail_target_ms or not is_serving:
            continue
        headroom = spec.tail_target_ms / attempt.figure
        job = attempt.task.step.job.job
        shard.interference.observe(spec.image, job, headroom, shares, now_s)


def throttle_fillers(shard, worker, now_s):
    """Set the speed of a worker's fillers by their predicted interference."""
    if not worker.fillers or now_s < worker.next_pace_s:
        return
    fillers = [
        attempt
        for attempt in worker.attempts.values()
        if attempt.task.step.spec.fills and attempt.phase is AttemptPhase.RUNNING
    ]
    if not fillers:
        return
    worker.next_pace_s = now_s + PACE_PERIOD_S
    paces = _choose_target_paces(shard, worker, fillers)
    over = _find_images_over_target(worker, now_s)
    over_s = now_s - worker.over_target_since_s if over else 0.0
    task_over_s = _measure_task_over_target_s(worker, now_s)
    for attempt in fillers:
        halted_by = None
        if over_s > ALL_HALT_S:
            halted_by = SlowedBy.WORKER_OVER_TARGET
        elif task_over_s > SINGLE_TASK_HALT_S:
            halted_by = SlowedBy.TASK_OVER_TARGET
        elif over_s > SUSPECTS_HALT_S and _is_suspect(shard, over, attempt):
            halted_by = SlowedBy.TARGET_MISSED
        if halted_by is not None:
            paces[attempt] = 0.0
        attempt.slowed_by = halted_by or SlowedBy.PREDICTION
    for attempt, pace in paces.items():
        percent = int(pace * FULL_SPEED_PERCENT / PACE_STEP_PERCENT) * PACE_STEP_PERCENT
        shard.set_pace(attempt, percent)


def _find_images_over_target(worker, now_s):
    """Return the serving images that miss their target; record since when.

    Fillers disturb all tasks of a job alike: a task that alone is slow beside others
    of its job is not slowed by fillers.
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
    """Return how long at least one task has missed its target."""
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
        shard.interference.slope(serving, image) >= HARMLESS_SLOPE
        or not shard.interference.known(serving, image)
        for serving in over
    )


def _choose_target_paces(shard, worker, fillers):
    """Return the speeds, 0 to 1, at which serving tasks keep their headroom.

    Fillers with the steepest slope are slowed first, harmless ones not at all.
    """
    capacity = max(1, worker.listed.capacity.cpu_millis)
    paces = dict.fromkeys(fillers, 1.0)
    shares = {
        attempt: attempt.task.step.spec.need.cpu_millis / capacity
        for attempt in fillers
    }
    for image, job in list_serving_tasks(worker):
        slopes = {
            attempt: shard.interference.slope(image, attempt.task.step.spec.image)
            for attempt in fillers
        }
        spare = max(0.0, shard.interference.estimate_headroom(job) - PACE_HEADROOM)
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


def move_fillers(shard, workers, leftovers, now_s):
    """Stop fillers that are throttled heavily, to restart them on better workers."""
    if now_s < shard.next_move_s:
        return
    shard.next_move_s = now_s + MOVE_PERIOD_S
    moved = 0
    for worker in shard.workers.values():
        for attempt in list(worker.attempts.values()):
            if moved >= MAX_MOVES_PER_ROUND:
                return
            if _is_slowed(attempt, now_s) and _has_better_worker(
                attempt, workers, leftovers
            ):
                shard.log.info(
                    "moving a throttled task",
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


def _has_better_worker(attempt, workers, leftovers):
    spec = attempt.task.step.spec
    return any(
        worker is not attempt.worker
        and worker.fits(spec)
        and leftovers.find(spec.image, worker).rate(spec) >= MIN_DESTINATION_RATE
        for worker in workers
    )
