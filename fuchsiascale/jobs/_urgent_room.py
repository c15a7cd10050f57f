"""Keeps and makes room for urgent tasks on workers full of long-running ones.

An urgent task neither lasts nor fills, and has at least the priority of the
long-running ones.

Load pattern: more long-running tasks arrive than leave, and fill every gap, while
urgent tasks are larger, run for a second, and arrive in bursts. Without room of their
own, urgent tasks wait until a long-running task ends, some of them for 10 s.
"""

import heapq
import math

from fuchsiascale.jobs._job_order import can_meet_objective
from fuchsiascale.jobs._run_state import AttemptPhase
from fuchsiascale.jobs._worker_selection import is_suitable

__all__ = ["UrgentDemand", "exclude_urgent_room", "make_urgent_room"]

MAX_URGENT_SHARE = 0.1
"""Largest share of the capacity from which long-running tasks are kept away."""
DEMAND_DECAY_S = 6.0
"""Time constant of the decay of the demand after a peak."""
EVICTION_PERIOD_S = 0.1
"""Period of the search for long-running tasks to stop."""
MAX_SEARCHES = 8
"""Steps for which victims are sought at once; each search looks at all workers."""
MAX_EVICTIONS = 24
"""Long-running tasks after whose stops no more are sought until the next period."""
STOP_TIME_S = 0.5
"""Time until a stopped task has ended and its room is known to be free."""
MIN_RUN_S = 2.0
"""Least run time before a long-running task is stopped: its start takes up to 1 s."""


class UrgentDemand:
    """Processor time that urgent tasks need, as a decaying peak.

    Attributes
    ----------
    millis : float
        Demand in thousandths of a core.

    Examples
    --------
    >>> demand = UrgentDemand()
    >>> demand.observe(8_000, now_s=0.0)
    >>> demand.observe(0, now_s=6.0)
    >>> round(demand.millis)
    2943
    """

    def __init__(self):
        self.millis = 0.0
        self._observed_s = 0.0

    def observe(self, millis, now_s):
        """Note what running and waiting urgent tasks need now."""
        decay = math.exp((self._observed_s - now_s) / DEMAND_DECAY_S)
        self.millis = max(millis, self.millis * decay)
        self._observed_s = now_s


def exclude_urgent_room(shard, workers, now_s):
    """Return the workers on which long-running tasks may be started.

    The workers with the most room are left out until their room covers the demand of
    urgent tasks that do not run yet.

    Parameters
    ----------
    shard : Shard
        Workers and jobs, and the demand of urgent tasks, which is updated.
    workers : list of WorkerRun
        Workers that accept new attempts.
    now_s : float
        Monotonic time in seconds.

    Returns
    -------
    list of WorkerRun
        The remaining workers.
    """
    running, waiting = _sum_urgent_millis(shard, workers, now_s)
    shard.urgent_demand.observe(running + waiting, now_s)
    limit = MAX_URGENT_SHARE * _sum_capacity(workers)
    wanted = min(shard.urgent_demand.millis, limit) - running
    if wanted <= 0:
        return workers
    by_room = sorted(workers, key=_measure_room, reverse=True)
    for number, worker in enumerate(by_room):
        if wanted <= 0:
            return by_room[number:]
        wanted -= max(0, _measure_room(worker))
    return []


def _sum_urgent_millis(shard, workers, now_s):
    """Return the processor time of running, and of waiting, urgent tasks.

    Waiting tasks count if some worker is large enough for them and their job can still
    meet its objective.
    """
    largest = max((each.listed.capacity.cpu_millis for each in workers), default=0)
    running = waiting = 0
    for step in _list_urgent_steps(shard):
        need = step.spec.need.cpu_millis
        started = sum(step.attempts_per_worker.values())
        running += need * started
        if need <= largest and can_meet_objective(step.job, now_s, shard.run_times):
            left = step.remaining - started - step.waits_by_choice
            waiting += need * max(0, left)
    return running, waiting


def _list_urgent_steps(shard):
    """Return the steps of urgent tasks that may start."""
    confirmed = shard.all_workers_confirmed()
    jobs = [
        job
        for job in shard.jobs.values()
        if not job.state.final and (confirmed or not job.inherited)
    ]
    lasting = [job.policy.priority for job in jobs if job.lasting]
    lowest_number = min(lasting, default=0)
    return [
        step
        for job in jobs
        if not job.lasting and job.policy.priority <= lowest_number
        for step in job.find_ready_steps()
        if not step.spec.fills and not step.spec.gang
    ]


def _sum_capacity(workers):
    return sum(worker.listed.capacity.cpu_millis for worker in workers)


def _measure_room(worker):
    """Return the processor time of a worker that no attempt has reserved."""
    return worker.listed.capacity.cpu_millis - worker.cpu_used


def make_urgent_room(shard, workers, now_s):
    """Stop long-running tasks for urgent ones that have found no room.

    Only tasks whose job can still meet its objective get room in this way. It costs a
    long-running task its stop, its wait and its start, some 2 s at least, while the
    room serves several urgent tasks one after the other.

    Parameters
    ----------
    shard : Shard
        Workers and jobs; commands are appended to it.
    workers : list of WorkerRun
        Workers that accept new attempts.
    now_s : float
        Monotonic time in seconds.
    """
    if now_s < shard.next_eviction_s:
        return
    shard.next_eviction_s = now_s + EVICTION_PERIOD_S
    needy = _list_needy_steps(shard, now_s)
    if not needy:
        return
    pending, evicted = _sum_evicted_millis(shard)
    if evicted > MAX_URGENT_SHARE * _sum_capacity(workers):
        return
    candidates = {
        worker: _list_evictable(worker, now_s)
        for worker in workers
        if not any(map(_is_being_evicted, worker.attempts.values()))
    }
    stopped = 0
    for step in needy[:MAX_SEARCHES]:
        waiting = step.count_without_room()
        need_millis = max(1, step.spec.need.cpu_millis)
        covered = min(waiting, pending // need_millis)
        pending -= covered * need_millis
        for victims in _find_victims(step, candidates, waiting - covered):
            candidates.pop(victims[0].worker)
            for attempt in victims:
                _evict(shard, attempt, step, now_s)
            stopped += len(victims)
            if stopped >= MAX_EVICTIONS:
                return


def _list_needy_steps(shard, now_s):
    """Return the steps with waiting urgent tasks whose job can still be in time."""
    start_s = now_s + STOP_TIME_S
    return [
        step
        for step in _list_urgent_steps(shard)
        if step.count_without_room()
        and can_meet_objective(step.job, start_s, shard.run_times)
    ]


def _is_being_evicted(attempt):
    return attempt.phase is AttemptPhase.STOPPING and attempt.task.step.spec.lasting


def _sum_evicted_millis(shard):
    """Return the processor time of long-running tasks that are stopping.

    The second value includes those that have stopped and wait to run again.
    """
    pending = evicted = 0
    for job in shard.jobs.values():
        if not job.lasting or job.state.final:
            continue
        for step in job.find_ready_steps():
            for task in step.tasks:
                if task.attempt is not None:
                    is_pending = _is_being_evicted(task.attempt)
                    pending += is_pending * step.spec.need.cpu_millis
                elif task.latest_number:
                    evicted += step.spec.need.cpu_millis
    return pending, pending + evicted


def _list_evictable(worker, now_s):
    """Return the long-running attempts that may be stopped, largest first."""
    evictable = [
        attempt
        for attempt in worker.attempts.values()
        if attempt.task.step.spec.lasting
        and not attempt.task.step.spec.gang
        and not attempt.task.step.spec.may_miss
        and attempt.phase is AttemptPhase.RUNNING
        and now_s - attempt.phase_since_s > MIN_RUN_S
    ]
    return sorted(evictable, key=_get_cpu_millis, reverse=True)


def _get_cpu_millis(attempt):
    return attempt.task.step.spec.need.cpu_millis


def _find_victims(step, candidates, count):
    """Return groups of attempts; the end of each makes room for a task of a step.

    Each group is on another worker. Those that lose the least come first.
    """
    groups = [
        _choose_victims(step.spec.need, worker, evictable)
        for worker, evictable in candidates.items()
        if evictable and is_suitable(step, worker)
    ]
    return heapq.nsmallest(
        count, filter(None, groups), key=lambda group: sum(map(_get_cpu_millis, group))
    )


def _choose_victims(need, worker, evictable):
    """Return the first attempts that leave room for a task; none where all don't.

    Only processors and memory can be made free.
    """
    capacity = worker.listed.capacity
    if need.accelerators > capacity.accelerators - worker.accelerators_used:
        return []
    cpu = need.cpu_millis - _measure_room(worker)
    memory = need.memory_mb - capacity.memory_mb + worker.memory_used
    victims = []
    for attempt in evictable:
        if cpu <= 0 and memory <= 0:
            break
        victims.append(attempt)
        cpu -= _get_cpu_millis(attempt)
        memory -= attempt.task.step.spec.need.memory_mb
    return victims if cpu <= 0 and memory <= 0 else []


def _evict(shard, attempt, step, now_s):
    shard.log.info(
        "stopping a long-running task for an urgent one",
        extra={
            "task": attempt.task.name,
            "worker": attempt.worker.worker,
            "job": step.job.job,
        },
    )
    shard.events["stopped for an urgent task"] += 1
    shard.stop_attempt(attempt, now_s)
