"""Moves serving tasks together to make room for waiting fillers.

A filler is a task that uses only processor time that other tasks leave over.

Load pattern: the fillers that wait harm some serving images and not others, and each
worker runs tasks of several images. One sensitive task keeps the fillers off a worker,
so that most of the processor time that the serving tasks leave is used by nobody.
"""

from fuchsiascale.jobs._consolidation_plans import (
    MIN_GAIN_MILLIS,
    PlanSearch,
    Tolerance,
    group_serving_attempts,
    list_splits,
)
from fuchsiascale.jobs._run_state import FULL_SPEED_PERCENT

__all__ = ["consolidate_serving_tasks"]

CONSOLIDATION_PERIOD_S = 0.5
"""Period of the search for moves."""
MOVE_TIMEOUT_S = 2.0
"""Time in which the tasks that leave a worker make room there for those that move to
it; a stop takes up to 0.9 s, and is seen up to 0.5 s later."""
MAX_SEARCHES = 12
"""Splits for which a plan is sought at once; each search looks at all workers."""
WORKERS_PER_PLAN = 50
"""Number of workers for which one more plan is carried out in a period."""


def consolidate_serving_tasks(shard, workers, now_s):
    """Move serving tasks whose images exclude waiting fillers from their worker.

    All tasks of these images leave the worker. Each moves to a worker that is closed to
    the same fillers already, or changes places with a task there that is not.

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
    tolerance = Tolerance(shard.interference, demand)
    serving = {worker: group_serving_attempts(worker) for worker in workers}
    splits = [
        split
        for worker, groups in serving.items()
        for split in list_splits(worker, groups, tolerance, now_s)
    ]
    splits.sort(key=lambda split: split.gain_millis / len(split.leaving), reverse=True)
    plans_left = 1 + len(workers) // WORKERS_PER_PLAN
    for split in splits[:MAX_SEARCHES]:
        if split.worker not in serving:
            continue
        plan = PlanSearch(split, serving, tolerance, now_s).find()
        if not plan:
            continue
        _carry_out(shard, plan, split, now_s)
        plans_left -= 1
        if not plans_left:
            return
        for transfer in plan:
            serving.pop(transfer.worker, None)
        del serving[split.worker]


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


def _carry_out(shard, plan, split, now_s):
    """Stop the tasks of a plan, to restart them on their new workers."""
    for attempt, worker, other in plan:
        shard.log.info(
            "moving a serving task",
            extra={
                "task": attempt.task.name,
                "worker": attempt.worker.worker,
                "to": worker.worker,
                "instead_of": other.task.name if other else "",
                "opens_millis": round(split.gain_millis),
                "leaving": len(plan),
            },
        )
        attempt.task.prefer(worker, now_s + MOVE_TIMEOUT_S)
        shard.stop_attempt(attempt, now_s)
        if other is not None:
            other.task.prefer(attempt.worker, now_s + MOVE_TIMEOUT_S)
            shard.stop_attempt(other, now_s)
