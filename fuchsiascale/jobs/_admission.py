"""Whether a job would end too late to be worth anything, before it is accepted.

The load: jobs come in bursts of 2.6 times for some seconds against a fixed capacity. A
job has a small part of its value until three times its objective, and none after that.
Jobs that are late already go behind those that can be in time, and those that are worth
nothing behind all. So a new job often starts soon though others wait, and only the work
that surely goes before it is counted, in the order of `order_jobs`:

* jobs of a higher priority, until they would end too late to be worth anything;
* jobs of its priority with less slack, until they become late;
* if it becomes late itself by that, late jobs of its priority with less left to run,
  until they would end too late to be worth anything.

Neither what runs already nor what arrives later is counted, all listed workers are, and
the work of a task is that at full speed. The result is a lower bound in each respect: a
wrongly refused job is worse than a late one.
"""

import math
from typing import NamedTuple

import msgspec

from fuchsiascale.decisions import RunTimes
from fuchsiascale.jobs._model import JobState
from fuchsiascale.jobs._return_window import ReturnWindow

__all__ = [
    "LoadEstimates",
    "QueueEstimate",
    "Refusal",
    "ServiceLoad",
    "decide_admission",
    "estimate_queues",
]

WORTHLESS_FACTOR = 3.0
"""Multiple of its objective after which a finished job is worth nothing."""
MIN_WAIT_S = 1.0
"""Time without any start that a job of a queue must have waited. Most start within
0.1 s; while some queue's jobs do, there is capacity for it."""
MIN_USED_SHARE = 0.5
"""Share of the processors that must be reserved for capacity to count as short. What is
left over on each worker may be too small for a task."""
MAX_AGE_S = 2.0
"""Age of an estimate from which nothing is refused by it."""
MAX_QUEUES = 16
"""Queues of a service that are estimated, and sent to each instance every 0.3 s; those
whose newest job has waited longest."""
MAX_JOBS = 600
"""Waiting jobs that are counted, the earliest first, which bounds the time of an
estimate. To leave out the others only makes it lower."""
MAX_RETURN_S = 4
"""Longest time after which a refused job returns; its objective is a few seconds."""

_DECLARED = RunTimes()
"""Run times as declared, since none are learnt."""


class QueueEstimate(msgspec.Struct, frozen=True, array_like=True):
    """What a new job of a queue would have to expect.

    Parameters
    ----------
    start_s : float
        Least time until its first start.
    path_s : float
        Critical path of the queue's newest job, by learnt run times.
    ratio : float
        That path divided by the same path by declared run times.
    """

    start_s: float
    path_s: float
    ratio: float


class ServiceLoad(msgspec.Struct, frozen=True):
    """Estimates of the queues of a service in which jobs wait.

    ``age_s`` is the time since they were computed.
    """

    service: str
    age_s: float
    queues: dict[str, QueueEstimate]


class Refusal(msgspec.Struct, frozen=True, kw_only=True):
    """Why a job would be worth nothing, and when its caller should return."""

    start_s: float
    path_s: float
    objective_s: float
    age_s: float
    window: ReturnWindow


class _Waiting(NamedTuple):
    """A job with waiting tasks.

    ``work`` is in thousandths of core-seconds; ``slack_s``, ``value_slack_s`` are the
    times from which it is late, and worth nothing, if it doesn't start.
    """

    priority: int
    work: float
    left_s: float
    slack_s: float
    value_slack_s: float


# The owner's side ----------------------------------------------------------------


def estimate_queues(shard, now_s):
    """Return the estimates of the queues in which jobs wait, by queue.

    Parameters
    ----------
    shard : Shard
        Jobs and workers of the service, as of its last round; not changed.
    now_s : float
        Monotonic time in seconds.
    """
    newest = _find_newest_waiting(shard, now_s)
    if not newest or not _is_short(shard):
        return {}
    waiting = _list_waiting(shard, now_s)
    total_millis, spare_millis = _measure_capacity(shard)
    estimates = {}
    for queue, job in newest.items():
        fills = any(step.fills for step in job.spec.steps)
        estimate = _estimate_queue(
            job, waiting, total_millis if fills else spare_millis
        )
        if estimate is not None:
            estimates[queue] = estimate
    return estimates


def _find_newest_waiting(shard, now_s):
    """Return the newest unstarted job of each queue in which one has waited."""
    newest, has_waited = {}, set()
    if shard.unconfirmed_workers:
        # Jobs of earlier owners wait for workers and not for capacity.
        return {}
    for job in shard.jobs.values():
        if job.state is not JobState.QUEUED or not is_refusable(job.spec):
            continue
        if job.estimate is None:
            # No round has seen it yet.
            continue
        queue = job.policy.queue
        if queue not in newest or job.accepted_s >= newest[queue].accepted_s:
            newest[queue] = job
        if now_s - job.accepted_s >= MIN_WAIT_S:
            has_waited.add(queue)
    found = [queue for queue in newest if queue in has_waited]
    found.sort(key=lambda queue: newest[queue].accepted_s)
    return {queue: newest[queue] for queue in found[:MAX_QUEUES]}


def _list_usable(shard):
    return [
        worker
        for worker in shard.workers.values()
        if worker.is_listed and not worker.draining
    ]


def _is_short(shard):
    workers = _list_usable(shard)
    total = sum(worker.listed.capacity.cpu_millis for worker in workers)
    used = sum(worker.cpu_used for worker in workers)
    has_fillers = any(worker.fillers for worker in workers)
    return total > 0 and (has_fillers or used >= MIN_USED_SHARE * total)


def _measure_capacity(shard):
    """Return the processors of all workers, and those without long-running tasks."""
    total = lasting = 0
    for worker in _list_usable(shard):
        total += worker.listed.capacity.cpu_millis
        for attempt in worker.attempts.values():
            spec = attempt.task.step.spec
            if spec.lasting and not spec.fills:
                lasting += spec.need.cpu_millis
    return total, max(0, total - lasting)


def _list_waiting(shard, now_s):
    """Return the jobs whose waiting tasks may go before a new job."""
    found, placeable, run_times = [], {}, {}
    for job in shard.jobs.values():
        if len(found) == MAX_JOBS:
            break
        # A job that no round has ordered yet has no estimate, and has just arrived.
        if job.state.final or job.lasting or job.estimate is None:
            continue
        _, due_s, left_s = job.estimate
        passed_s = now_s - job.accepted_s + left_s
        value_slack_s = WORTHLESS_FACTOR * due_s - passed_s
        if value_slack_s <= 0:
            continue
        work = _measure_work(shard, job, placeable, run_times)
        if work:
            slack_s = due_s - passed_s
            found.append(
                _Waiting(job.policy.priority, work, left_s, slack_s, value_slack_s)
            )
    return _WaitingJobs(found)


def _measure_work(shard, job, placeable, run_times):
    """Return the work of the tasks of a job that are neither done nor running.

    ``placeable`` and ``run_times`` keep what was found for steps that are alike.
    """
    work = 0.0
    for steps in job.occurrences.values():
        for step in steps:
            count = step.remaining - sum(step.attempts_per_worker.values())
            if count <= 0:
                continue
            spec, queue = step.spec, job.policy.queue
            need = spec.need
            kind = (
                need.cpu_millis,
                need.memory_mb,
                need.accelerators,
                spec.required_label,
            )
            if kind not in placeable:
                placeable[kind] = _is_placeable(shard, spec)
            run_s = run_times.get((queue, spec.estimate_ms))
            if run_s is None:
                run_s = shard.run_times.estimate(queue, spec.estimate_ms / 1000)
                run_times[queue, spec.estimate_ms] = run_s
            work += placeable[kind] * count * need.cpu_millis * run_s
    return work


def _is_placeable(shard, spec):
    """Return whether any worker could run a task, if it were empty."""
    need = spec.need
    return any(
        need.cpu_millis <= worker.listed.capacity.cpu_millis
        and need.memory_mb <= worker.listed.capacity.memory_mb
        and need.accelerators <= worker.listed.capacity.accelerators
        and (not spec.required_label or spec.required_label in worker.listed.labels)
        for worker in _list_usable(shard)
    )


def _estimate_queue(job, waiting, capacity_millis):
    """Return what a new job like ``job`` has to expect; None if it may be accepted."""
    declared_s = measure_declared_path_s(job.spec)
    if capacity_millis <= 0 or declared_s <= 0:
        return None
    _, due_s, path_s = job.estimate
    value_slack_s = WORTHLESS_FACTOR * due_s - path_s
    if waiting.total_work <= capacity_millis * value_slack_s:
        return None
    priority = job.policy.priority
    start_s = waiting.measure_urgent_s(priority, capacity_millis)
    same = waiting.by_priority.get(priority, ())
    start_s = _add_same_priority_s(
        start_s, same, due_s - path_s, path_s, capacity_millis
    )
    if start_s < MIN_WAIT_S:
        return None
    return QueueEstimate(
        round(start_s, 2), round(path_s, 2), round(path_s / declared_s, 3)
    )


class _WaitingJobs:
    """Waiting jobs by priority, in the order in which they start."""

    def __init__(self, jobs):
        self.total_work = sum(each.work for each in jobs)
        self.by_priority = {}
        for each in sorted(jobs, key=_rank):
            self.by_priority.setdefault(each.priority, []).append(each)
        self._urgent_s = {}

    def measure_urgent_s(self, priority, capacity_millis):
        """Return the time until all jobs of higher priorities have started."""
        key = priority, capacity_millis
        if key not in self._urgent_s:
            start_s = 0.0
            for higher in sorted(self.by_priority):
                if higher < priority:
                    start_s = _add_late_s(
                        start_s, self.by_priority[higher], capacity_millis
                    )
            self._urgent_s[key] = start_s
        return self._urgent_s[key]


def _add_same_priority_s(start_s, same, slack_s, path_s, capacity_millis):
    """Add the time of the jobs of its own priority that go before a new job."""
    late = []
    for each in same:
        if each.slack_s >= slack_s:
            continue
        if start_s <= each.slack_s:
            start_s += each.work / capacity_millis
        elif each.left_s <= path_s:
            late.append(each)
    if start_s <= slack_s:
        return start_s
    late.sort(key=lambda each: each.left_s)
    return _add_late_s(start_s, late, capacity_millis)


def _add_late_s(start_s, jobs, capacity_millis):
    """Add the time of jobs that start as long as they may be worth something."""
    for each in jobs:
        if start_s <= each.value_slack_s:
            start_s += each.work / capacity_millis
    return start_s


def _rank(each):
    """Return the sort key of a job that may be worth something; see `order_jobs`."""
    if each.slack_s >= 0:
        return each.priority, 0, each.slack_s
    return each.priority, 1, each.left_s


# The side of the instance that accepts jobs --------------------------------------


class LoadEstimates:
    """Estimates of the owners of services, as last received.

    Parameters
    ----------
    clock : Clock
        Source of time.
    """

    def __init__(self, clock):
        self.clock = clock
        self._loads = {}

    def note(self, service, token, queues, as_of_s):
        """Note the estimates of an owner, unless a later owner has sent some.

        Parameters
        ----------
        service : str
            The service.
        token : int
            Fencing token of the owner.
        queues : dict
            Estimates by queue; a queue that is missing has capacity.
        as_of_s : float
            Monotonic time at which they were computed, at the latest.
        """
        if token >= self._loads.get(service, (0,))[0]:
            self._loads[service] = (token, queues, as_of_s)

    def find(self, service, queue):
        """Return the estimate of a queue and its age; None if there is none."""
        _, queues, as_of_s = self._loads.get(service, (0, {}, 0.0))
        estimate = queues.get(queue)
        if estimate is None:
            return None
        return estimate, max(0.0, self.clock.monotonic() - as_of_s)

    def find_longest_s(self, service):
        """Return the longest expected wait in a service, by the last estimates."""
        _, queues, _ = self._loads.get(service, (0, {}, 0.0))
        return max((each.start_s for each in queues.values()), default=0.0)


def decide_admission(found, policy, spec):
    """Return the refusal of a job that would be worth nothing, else None.

    Parameters
    ----------
    found : tuple of QueueEstimate and float, or None
        Estimate of the job's queue and its age in seconds.
    policy : QueuePolicy
        Policy of the queue.
    spec : JobSpec
        The job.
    """
    if found is None or not is_refusable(spec):
        return None
    estimate, age_s = found
    if age_s > MAX_AGE_S:
        return None
    declared_s = measure_declared_path_s(spec)
    path_s = estimate.ratio * declared_s if declared_s > 0 else estimate.path_s
    objective_s = policy.stretch * path_s + policy.target_ms / 1000
    # Work that went before the job has been done since the estimate.
    start_s = max(0.0, estimate.start_s - age_s)
    excess_s = start_s + path_s - WORTHLESS_FACTOR * objective_s
    if excess_s <= 0:
        return None
    return Refusal(
        start_s=round(start_s, 2),
        path_s=round(path_s, 2),
        objective_s=round(objective_s, 2),
        age_s=round(age_s, 3),
        window=_choose_window(excess_s),
    )


def _choose_window(excess_s):
    """Return when enough of the work is done for the job to be worth something."""
    first_s = min(max(1, math.ceil(excess_s)), MAX_RETURN_S - 1)
    return ReturnWindow(first_s, min(MAX_RETURN_S, 2 * first_s))


def is_refusable(spec):
    """Return whether a job may be refused for lack of capacity.

    Long-running jobs have no end, and scheduled ones start later.
    """
    return not spec.occurrences and not any(step.lasting for step in spec.steps)


def measure_declared_path_s(spec):
    """Return the critical path of a job by declared run times; 0 if none is declared.

    Examples
    --------
    >>> from fuchsiascale.jobs import JobSpec, StepSpec
    >>> steps = (StepSpec(count=1, estimate_ms=2_000),)
    >>> measure_declared_path_s(JobSpec(payload="", steps=steps))
    2.0
    """
    ends = []
    for step in spec.steps:
        run_s = 0.0
        if step.estimate_ms > 0:
            run_s = _DECLARED.estimate_longest("", step.estimate_ms / 1000, step.count)
        ends.append(max((ends[each] for each in step.after), default=0.0) + run_s)
    return max(ends, default=0.0)
