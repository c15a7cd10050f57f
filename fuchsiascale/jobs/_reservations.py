"""Reserves workers for waiting long-running tasks."""

import math

from fuchsiascale.jobs._worker_selection import Candidates, is_suitable

__all__ = ["is_overdue", "reserve_workers"]

RESTART_WAIT_S = 4.0
"""Time after which a worker is reserved for a task that ran before. Most run again
within 1.5 s; the platform allows 9 s after the end of the last run."""
IDLE_WAIT_S = 1.0
"""The same for the first task of a job without attempts; the platform allows 3 s."""
IDLE_START_SHARE = 0.25
"""Share of a step's tasks with which a job without attempts begins."""
MAX_RESERVED_SHARE = 0.02
"""Largest share of the workers that is reserved, but at least one worker: reserved
workers are not available to urgent work."""


def reserve_workers(shard, workers, leftovers, now_s):
    """Start long-running tasks that have waited too long, or reserve a worker for each.

    Nothing else is started on a reserved worker, so that room grows as attempts end.

    Parameters
    ----------
    shard : Shard
        Workers and jobs; commands are appended to it.
    workers : list of WorkerRun
        Workers that accept new attempts.
    leftovers : LeftoverCapacities
        Capacity of the workers for fillers.
    now_s : float
        Monotonic time in seconds.

    Returns
    -------
    list of WorkerRun
        The workers that are not reserved.
    """
    free = list(workers)
    left = max(1, int(MAX_RESERVED_SHARE * len(workers)))
    for step in _list_long_running_steps(shard):
        overdue, reservations = _list_overdue(shard, step, now_s)
        for task in overdue:
            if not left or not reservations:
                break
            if Candidates(shard, step, free, leftovers).start(task, now_s) is None:
                left -= _reserve(step, free)
                reservations -= 1
    return free


def is_overdue(step, now_s):
    """Return whether a task of a step has waited for too long to be kept waiting.

    Waits count from the first call of `reserve_workers` that sees them.
    """
    return any(
        task.waiting
        and task.waiting_since_s is not None
        and now_s - task.waiting_since_s > RESTART_WAIT_S
        for task in step.tasks
    )


def _list_overdue(shard, step, now_s):
    """Return the tasks of a step that have waited too long.

    The second value is the number of tasks for which a worker may be reserved. Of an
    idle job, the tasks are the first few, without which it serves nobody, and a worker
    is reserved for one.
    """
    for task in step.tasks:
        if not task.waiting:
            task.waiting_since_s = None
        elif task.waiting_since_s is None:
            task.waiting_since_s = now_s
    waiting = [task for task in step.tasks if task.waiting and shard.may_start(task)]
    if waiting and step.job.measure_idle_s(now_s) > IDLE_WAIT_S:
        return waiting[: math.ceil(IDLE_START_SHARE * step.spec.count)], 1
    overdue = [
        task
        for task in waiting
        if task.latest_number and now_s - task.waiting_since_s > RESTART_WAIT_S
    ]
    return overdue, len(overdue)


def _list_long_running_steps(shard):
    """Return the steps of long-running tasks that are ready, oldest job first."""
    jobs = [job for job in shard.jobs.values() if job.lasting and not job.state.final]
    return [
        step
        for job in sorted(jobs, key=lambda job: job.accepted_s)
        for step in job.find_ready_steps()
        if step.spec.lasting and not step.spec.gang
    ]


def _reserve(step, free):
    """Remove the free worker that lacks least for a step; returns whether one fits."""
    fitting = [worker for worker in free if _could_fit(step, worker)]
    if not fitting:
        return False
    free.remove(min(fitting, key=lambda worker: _shortage(step.spec.need, worker)))
    return True


def _could_fit(step, worker):
    need, capacity = step.spec.need, worker.listed.capacity
    return (
        is_suitable(step, worker)
        and need.cpu_millis <= capacity.cpu_millis
        and need.memory_mb <= capacity.memory_mb
        and need.accelerators <= capacity.accelerators
    )


def _shortage(need, worker):
    """Return what a worker lacks for a task, as a share of its capacity."""
    capacity = worker.listed.capacity
    cpu = worker.cpu_used + need.cpu_millis - capacity.cpu_millis
    memory = worker.memory_used + need.memory_mb - capacity.memory_mb
    return max(0, cpu) / max(1, capacity.cpu_millis) + max(0, memory) / max(
        1, capacity.memory_mb
    )
