"""Summarizes the load of an owner's workers: who runs, who waits, what slows fillers.

A filler is a task that uses only processor time that other tasks leave over.
"""

import msgspec

from fuchsiascale.jobs._run_state import FULL_SPEED_PERCENT
from fuchsiascale.jobs._worker_selection import estimate_leftover_millis

__all__ = ["LoadReport", "TaskCounts", "report_load"]

MILLIS_PER_CORE = 1_000


class TaskCounts(msgspec.Struct):
    """Tasks of one kind that may run now, and the jobs with and without attempts."""

    running: int = 0
    waiting: int = 0
    started_jobs: int = 0
    idle_jobs: int = 0


class LoadReport(msgspec.Struct):
    """Load of the workers of a service.

    Attributes
    ----------
    usable_workers, workers : int
        Workers that accept attempts, and all.
    oldest_inventory_s : float
        Age of the oldest inventory of a worker that accepts attempts.
    oldest_unrecorded_end_s : float
        For how long the final state of a job has waited for its record, at most.
        Callers are not told of it before.
    reserved_cores, usable_cores : float
        Processors that tasks other than fillers reserve, and all, on these workers.
    leftover_cores : float
        Processors that these tasks are expected to leave to fillers.
    filler_cores : float
        Processors that the running fillers declare, of all workers.
    used_filler_cores : float
        Processors that the fillers use, by the last inventories.
    slowed_cores : dict of str to float
        Processors that are withheld from running fillers, by cause.
    urgent, lasting, fillers : TaskCounts
        Tasks that neither last nor fill, that run until they are cancelled, and
        fillers.
    """

    usable_workers: int
    workers: int
    oldest_inventory_s: float
    oldest_unrecorded_end_s: float
    reserved_cores: float
    usable_cores: float
    leftover_cores: float
    filler_cores: float
    used_filler_cores: float
    slowed_cores: dict
    urgent: TaskCounts
    lasting: TaskCounts
    fillers: TaskCounts


def report_load(shard, now_s):
    """Return the `LoadReport` of a shard.

    Parameters
    ----------
    shard : Shard
        Workers and jobs.
    now_s : float
        Monotonic time in seconds.
    """
    usable = [each for each in shard.workers.values() if shard.may_use(each, now_s)]
    ages = [now_s - worker.clock_read_s for worker in usable]
    fillers = [
        attempt
        for worker in shard.workers.values()
        for attempt in worker.attempts.values()
        if attempt.task.step.spec.fills
    ]
    return LoadReport(
        usable_workers=len(usable),
        workers=len(shard.workers),
        oldest_inventory_s=round(max(ages, default=0.0), 3),
        oldest_unrecorded_end_s=round(_measure_oldest_end_s(shard, now_s), 3),
        reserved_cores=_to_cores(worker.cpu_used for worker in usable),
        usable_cores=_to_cores(worker.listed.capacity.cpu_millis for worker in usable),
        leftover_cores=_to_cores(map(_estimate_filler_millis, usable)),
        filler_cores=_to_cores(map(_get_millis, fillers)),
        used_filler_cores=_to_cores(attempt.figure for attempt in fillers),
        slowed_cores=_sum_slowed_cores(fillers),
        **_count_tasks(shard),
    )


def _measure_oldest_end_s(shard, now_s):
    ended = [job.ended_s for job in shard.jobs.values() if job.ended_s is not None]
    return now_s - min(ended, default=now_s)


def _to_cores(millis):
    return round(sum(millis) / MILLIS_PER_CORE, 1)


def _get_millis(attempt):
    return attempt.task.step.spec.need.cpu_millis


def _estimate_filler_millis(worker):
    """Return the processor time that other tasks leave to a worker's fillers."""
    used = sum(
        _get_millis(attempt)
        for attempt in worker.attempts.values()
        if attempt.task.step.spec.fills
    )
    return max(0.0, estimate_leftover_millis(worker) + used)


def _sum_slowed_cores(fillers):
    """Return the processors that are withheld from fillers, by cause."""
    millis = {}
    for attempt in fillers:
        withheld = FULL_SPEED_PERCENT - attempt.target_pace
        if withheld:
            cause = attempt.slowed_by.value
            share = withheld / FULL_SPEED_PERCENT
            millis[cause] = millis.get(cause, 0.0) + share * _get_millis(attempt)
    return {cause: _to_cores([value]) for cause, value in millis.items()}


def _count_tasks(shard):
    """Return the `TaskCounts` of each kind."""
    counts = {kind: TaskCounts() for kind in ("urgent", "lasting", "fillers")}
    for job in shard.jobs.values():
        if job.state.final:
            continue
        kinds = set()
        for step in job.find_ready_steps():
            kind = _classify(step.spec)
            kinds.add(kind)
            running = sum(step.attempts_per_worker.values())
            counts[kind].running += running
            counts[kind].waiting += max(0, step.remaining - running)
        is_idle = not job.list_attempts()
        for kind in kinds:
            counts[kind].idle_jobs += is_idle
            counts[kind].started_jobs += not is_idle
    return counts


def _classify(spec):
    """Return the kind of a step's tasks."""
    if spec.fills:
        return "fillers"
    return "lasting" if spec.lasting else "urgent"
