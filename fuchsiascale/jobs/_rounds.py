"""Plans one scheduling round of a shard: starts, throttling, moves and stops.

A filler is a task that uses only processor time that other tasks leave over.
"""

from typing import NamedTuple

from fuchsiascale.jobs._consolidation import consolidate_serving_tasks
from fuchsiascale.jobs._data_locality import DataLocality
from fuchsiascale.jobs._full_kinds import FullKinds
from fuchsiascale.jobs._job_order import order_jobs
from fuchsiascale.jobs._pacing import move_fillers, throttle_fillers
from fuchsiascale.jobs._reservations import is_overdue, reserve_workers
from fuchsiascale.jobs._run_state import AttemptPhase
from fuchsiascale.jobs._urgent_room import exclude_urgent_room, make_urgent_room
from fuchsiascale.jobs._worker_selection import (
    Candidates,
    LeftoverCapacities,
    find_most_leftover,
)

__all__ = ["plan_round"]

STALL_TIMEOUT_S = 2.5
"""Time without progress after which an attempt is restarted on another worker. The
slowest tasks, of 5 s on a worker 6.5 times slower, advance by one percent in 0.4 s. It
doubles with each such restart of a task: longer ones advance by one percent later."""
FILLER_STARVATION_S = 0.8
"""Time without a running task after which a job of fillers is started on any worker,
whatever the interference: throttling then protects the serving tasks. The platform
allows 3 s, which include observing the end of the last task and starting the next."""
STARVATION_CHECK_PERIOD_S = 0.2
"""Period in which a job of fillers that has no room is checked for running tasks."""
MAX_FILLER_SEARCHES = 12
"""Searches of a worker for fillers in one round. Urgent tasks come first in a round,
but wait for the end of the one before."""
FULL_PERIOD_S = 0.25
"""Time for which no worker is sought for fillers like one that had no room. For other
tasks it is the present round."""
STALL_CHECK_PERIOD_S = 0.2
"""Period in which the attempts of a worker are checked for progress."""
STALL_MIN_PACE_PERCENT = 50
"""Target speed below which an attempt is not checked for progress."""


class _Pool(NamedTuple):
    """Workers that a step may use, and the tasks for which they have no room."""

    workers: list
    full_kinds: FullKinds


class _SearchBudget:
    """Number of searches of a worker for fillers that are left in a round."""

    def __init__(self):
        self._left = MAX_FILLER_SEARCHES

    def allows(self, spec):
        """Return whether a worker may still be sought for a step."""
        return self._left > 0 or not spec.fills

    def spend(self, spec):
        """Count a search for a step."""
        self._left -= spec.fills


def plan_round(shard, now_s):
    """Decide what to start, move and stop, and set the speed of fillers.

    Parameters
    ----------
    shard : Shard
        Workers and jobs; commands are appended to it.
    now_s : float
        Monotonic time in seconds.
    """
    shard.note_orphans()
    for worker in list(shard.workers.values()):
        throttle_fillers(shard, worker, now_s)
        _evacuate_draining(shard, worker, now_s)
        _stop_stalled(shard, worker, now_s)
    workers = [
        worker
        for worker in shard.workers.values()
        if shard.may_use(worker, now_s) and not worker.orphans
    ]
    leftovers = LeftoverCapacities(shard, workers, now_s)
    move_fillers(shard, workers, leftovers, now_s)
    consolidate_serving_tasks(shard, workers, now_s)
    workers = reserve_workers(shard, workers, leftovers, now_s)
    pool = _Pool(workers, shard.full_kinds)
    unreserved = _Pool(exclude_urgent_room(shard, workers, now_s), FullKinds())
    locality = DataLocality(shard, workers, leftovers, now_s)
    budget = _SearchBudget()
    for job in order_jobs(shard, now_s):
        for step in job.find_ready_steps():
            if step.spec.gang:
                _place_gang(shard, step, workers, leftovers, locality, now_s)
            else:
                allowed = unreserved if _can_wait(step, now_s) else pool
                _place_step(shard, step, allowed, leftovers, locality, budget, now_s)
    make_urgent_room(shard, workers, now_s)


def _can_wait(step, now_s):
    """Return whether a step leaves the room of urgent tasks alone for now."""
    if not step.spec.lasting or is_overdue(step, now_s):
        return False
    return not any(task.preferred_worker and task.waiting for task in step.tasks)


def _place_step(shard, step, pool, leftovers, locality, budget, now_s):
    """Start the waiting tasks of a step."""
    spec = step.spec
    step.waits_by_choice = 0
    if not budget.allows(spec):
        return
    is_full = pool.full_kinds.includes(spec, now_s)
    if is_full and not _is_starvation_check_due(step, now_s):
        return
    waiting = [
        task
        for task in step.tasks
        if task.waiting
        and shard.may_start(task)
        and not _awaits_preferred_worker(shard, task, now_s)
    ]
    if not waiting:
        return
    started = []
    if not is_full:
        budget.spend(spec)
        started = _start_tasks(shard, step, waiting, pool, leftovers, locality, now_s)
        placed = len(started) + step.waits_by_choice
        if placed < len(waiting) and not spec.max_per_worker:
            until_s = now_s + FULL_PERIOD_S if spec.fills else now_s
            pool.full_kinds.mark(spec, until_s)
    if (
        spec.fills
        and not started
        and step.job.measure_idle_s(now_s) > FILLER_STARVATION_S
    ):
        budget.spend(spec)
        started = _start_starving_task(
            shard, step, waiting[0], pool.workers, leftovers, now_s
        )
    if started:
        _log_started(shard, step, started, len(waiting))


def _awaits_preferred_worker(shard, task, now_s):
    """Return whether a task that is being moved waits until its new worker has room.

    The task with which it changes places may end later than itself.
    """
    if not task.preferred_worker or now_s >= task.preferred_until_s:
        return False
    worker = shard.workers.get(task.preferred_worker)
    return (
        worker is not None
        and shard.may_use(worker, now_s)
        and not worker.fits(task.step.spec)
    )


def _start_starving_task(shard, step, task, workers, leftovers, now_s):
    """Start a filler on the worker with the most leftover capacity, if one has room."""
    worker = find_most_leftover(step, workers, leftovers)
    return [] if worker is None else [shard.start_task(task, worker, now_s)]


def _is_starvation_check_due(step, now_s):
    """Return whether to look if a step of fillers without room makes any progress."""
    if not step.spec.fills or now_s < step.next_starvation_check_s:
        return False
    step.next_starvation_check_s = now_s + STARVATION_CHECK_PERIOD_S
    return True


def _start_tasks(shard, step, waiting, pool, leftovers, locality, now_s):
    """Start the tasks of a step that have room and don't wait for a better place."""
    is_moving = any(task.preferred_worker for task in waiting)
    if is_moving or not locality.applies(step):
        candidates = Candidates(shard, step, pool.workers, leftovers)
        return _start_while_room(candidates, waiting, now_s)
    started, left = locality.start_near(step, waiting)
    if left:
        candidates = Candidates(shard, step, pool.workers, leftovers)
        far = _start_while_room(candidates, left, now_s)
        locality.count_far(step, far)
        started += far
    return started


def _start_while_room(candidates, waiting, now_s):
    """Start tasks while there is room for them, and return their attempts."""
    started = []
    for task in waiting:
        attempt = candidates.start(task, now_s)
        if attempt is None:
            break
        started.append(attempt)
    return started


def _place_gang(shard, step, workers, leftovers, locality, now_s):
    """Start all tasks of a gang with the same attempt number, or none of them."""
    step.waits_by_choice = 0
    if not all(task.waiting and shard.may_start(task) for task in step.tasks):
        return
    if not locality.applies(step):
        groups = _list_rack_groups(step.spec, workers)
        _start_gang_on_any(shard, step, groups, leftovers, now_s)
        return
    near, others = locality.list_gang_groups(step)
    started = _start_gang_on_any(shard, step, near, leftovers, now_s)
    if not started and not locality.is_gang_waiting(step):
        started = _start_gang_on_any(shard, step, others, leftovers, now_s)
    if started:
        locality.note_gang_started(step, started)


def _start_gang_on_any(shard, step, groups, leftovers, now_s):
    """Start a gang on the first group of workers that has room for all its tasks."""
    for group in groups:
        started = _start_gang(shard, step, group, leftovers, now_s)
        if started:
            _log_started(shard, step, started, len(started))
            return started
    return []


def _list_rack_groups(spec, workers):
    """Return the groups of workers to try for a gang, best first."""
    if not spec.same_rack:
        return [workers]
    by_label = {}
    for worker in workers:
        for label in worker.listed.labels:
            by_label.setdefault(label, []).append(worker)
    return [*sorted(by_label.values(), key=len), workers]


def _start_gang(shard, step, workers, leftovers, now_s):
    """Start a gang on some workers; returns no attempts if not all tasks fit."""
    number = max(task.next_number for task in step.tasks)
    checkpoint = next((task.checkpoint for task in step.tasks if task.checkpoint), "")
    candidates = Candidates(shard, step, workers, leftovers)
    started = []
    for task in step.tasks:
        task.next_number = number
        task.checkpoint = checkpoint
        attempt = candidates.start(task, now_s)
        if attempt is None:
            break
        started.append(attempt)
    if len(started) == len(step.tasks):
        return started
    for attempt in started:
        shard.withdraw_start(attempt)
    return []


def _log_started(shard, step, started, waiting):
    shard.log.info(
        "tasks started",
        extra={
            "job": step.job.job,
            "step": f"{step.occurrence}.{step.number}",
            "started": len(started),
            "of": waiting,
            "on": [
                f"{each.task.index}#{each.number}@{each.worker.worker}"
                for each in started
            ],
            "token": shard.token,
        },
    )


def _evacuate_draining(shard, worker, now_s):
    """Stop long-running and checkpointed attempts on a worker that is draining."""
    if not worker.draining:
        return
    for attempt in list(worker.attempts.values()):
        spec = attempt.task.step.spec
        movable = spec.lasting or spec.checkpoints
        if movable and attempt.phase is AttemptPhase.RUNNING:
            shard.stop_attempt(attempt, now_s)


def _stop_stalled(shard, worker, now_s):
    """Stop attempts that make no progress, and suspend their worker."""
    if now_s < worker.next_stall_check_s:
        return
    worker.next_stall_check_s = now_s + STALL_CHECK_PERIOD_S
    for attempt in list(worker.attempts.values()):
        spec = attempt.task.step.spec
        if spec.lasting or spec.gang or attempt.phase is not AttemptPhase.RUNNING:
            continue
        if attempt.target_pace < STALL_MIN_PACE_PERCENT:
            attempt.progressed_at_s = now_s
        idle_s = now_s - max(
            attempt.progressed_at_s, attempt.phase_since_s, worker.cold_until_s
        )
        if idle_s > STALL_TIMEOUT_S * 2**attempt.task.stalls:
            attempt.task.stalls += 1
            shard.log.warning(
                "no progress",
                extra={
                    "task": attempt.task.name,
                    "worker": worker.worker,
                    "percent": attempt.percent,
                },
            )
            attempt.task.avoided_worker = worker.worker
            shard.suspend(worker, now_s)
            shard.stop_attempt(attempt, now_s)
