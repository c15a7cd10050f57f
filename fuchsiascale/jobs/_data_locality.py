"""Places steps near their data, and gangs on one rack, in a scheduling round.

It passes what is known of jobs and workers to `_placement_wait`, which decides who
waits, and takes part only where the platform states by how much remote tasks are
slower. Fillers and long-running tasks don't wait: the room of the former follows from
measured load and not from ends, and the latter have no run time to compare a wait with.

Load pattern: see `_placement_wait`.
"""

import math
import operator
from enum import Enum
from typing import NamedTuple

from fuchsiascale.jobs._full_kinds import FullKinds
from fuchsiascale.jobs._job_order import estimate_slack_s
from fuchsiascale.jobs._placement_wait import (
    RackForecast,
    RoomRequest,
    compute_latest_start_s,
)
from fuchsiascale.jobs._rack_forecasts import RackForecasts
from fuchsiascale.jobs._worker_selection import Candidates, is_suitable

__all__ = ["DataLocality"]

MAX_GANG_RACKS = 8
"""Racks whose room is forecast for a gang that may run on any single rack; those with
the most unused processors. Each costs a look at all its attempts."""


class Reservations(NamedTuple):
    """Reservations for a step in the forecast of a rack.

    ``starts_s`` has the expected start by number of the task, None for a task that gets
    no room in time; a gang has one entry for all.
    """

    forecast: RackForecast
    starts_s: dict[int, float | None]


class _Decision(Enum):
    """What is decided for tasks without room on the wanted rack."""

    WAIT = "wait"
    FAR = "far"


class DataLocality:
    """Starts tasks near their data, or decides that they wait or start elsewhere.

    Parameters
    ----------
    shard : Shard
        Workers and jobs; commands are appended to it.
    workers : list of WorkerRun
        Workers that accept new attempts. All others count as lost to a rack.
    leftovers : LeftoverCapacities
        Capacity of the workers for fillers.
    now_s : float
        Monotonic time in seconds.
    """

    def __init__(self, shard, workers, leftovers, now_s):
        self._shard = shard
        self._workers = workers
        self._leftovers = leftovers
        self._now_s = now_s
        self._racks = RackForecasts(shard, workers, now_s)
        self._full_kinds = {}

    # Steps -------------------------------------------------------------------

    def applies(self, step):
        """Return whether the tasks of a step may wait for a place."""
        spec = step.spec
        return (
            self._shard.remote_factor > 1.0
            and bool(spec.data_rack or (spec.gang and spec.same_rack))
            and not spec.fills
            and not spec.lasting
        )

    def start_near(self, step, waiting):
        """Start tasks of a step on the rack of its data, while there is room.

        Returns
        -------
        tuple of list of Attempt and list of Task
            What was started, and the tasks that are to start elsewhere now. All others
            wait; `StepRun.waits_by_choice` is their number.
        """
        rack = step.spec.data_rack
        full_kinds = self._full_kinds.setdefault(rack, FullKinds())
        if full_kinds.includes(step.spec, self._now_s):
            return [], self._select_far(step, waiting)
        workers = self._racks.find_workers(rack)
        candidates = Candidates(self._shard, step, workers, self._leftovers)
        started, left = [], []
        for task in waiting:
            if candidates.offers_other_than(task.avoided_worker):
                started.append(candidates.start(task, self._now_s))
            else:
                left.append(task)
        if left and candidates.is_empty and not step.spec.max_per_worker:
            full_kinds.mark(step.spec, self._now_s)
        self._shard.events["started near"] += len(started)
        return started, self._select_far(step, left) if left else []

    def _select_far(self, step, left):
        """Let tasks wait that will get room in time; returns the others."""
        rack = step.spec.data_rack
        request = self._make_request(step, rack)
        expected, far = [], left
        if request.latest_s > self._now_s:
            starts_s = self._reserve(step, rack, request, left)
            far = [each for each in left if not _is_in_time(each, starts_s, request)]
            expected = [
                starts_s[each.index]
                for each in left
                if _is_in_time(each, starts_s, request)
            ]
        self._note_waits(step, rack, request, expected, len(far))
        return far

    def _reserve(self, step, rack, request, left):
        """Reserve room for tasks that have not asked for it in the present forecast."""
        forecast = self._racks.forecast(rack)
        kept = step.reservations
        if kept is None or kept.forecast is not forecast:
            kept = step.reservations = Reservations(forecast, {})
        new = [task for task in left if task.index not in kept.starts_s]
        if new:
            found = forecast.reserve(request, [task.avoided_worker for task in new])
            for task, start_s in zip(new, found, strict=True):
                kept.starts_s[task.index] = start_s
        return kept.starts_s

    def count_far(self, step, started):
        """Count attempts of a step that were started without regard to its data."""
        rack = step.spec.data_rack
        near = sum(rack in attempt.worker.listed.labels for attempt in started)
        self._shard.events["started near"] += near
        self._shard.events["started far"] += len(started) - near

    # Gangs -------------------------------------------------------------------

    def list_gang_groups(self, step):
        """Return the groups of workers that run a gang at full speed, and others."""
        spec = step.spec
        racks = sorted(self._racks.by_label.items(), key=lambda item: len(item[1]))
        if not spec.data_rack:
            return [workers for _, workers in racks], [self._workers]
        near = [workers for label, workers in racks if label == spec.data_rack]
        others = [workers for label, workers in racks if label != spec.data_rack]
        return near, [*(others if spec.same_rack else ()), self._workers]

    def is_gang_waiting(self, step):
        """Decide whether a gang without room near waits, as one."""
        count = len(step.tasks)
        starts = []
        for rack in self._list_gang_racks(step):
            request = self._make_request(step, rack)
            start_s = math.inf
            if request.latest_s > self._now_s:
                start_s = self._find_gang_start(step, rack, request)
            starts.append((start_s, rack, request))
        start_s, rack, request = min(
            starts, key=operator.itemgetter(0), default=(math.inf, "", None)
        )
        if request is None or start_s > request.latest_s:
            rack = step.spec.data_rack
            self._note_waits(step, rack, self._make_request(step, rack), [], count)
            return False
        forecast = self._racks.forecast(rack)
        if step.reservations is None or step.reservations.forecast is not forecast:
            forecast.reserve_gang(request, count)
            step.reservations = Reservations(forecast, {0: start_s})
        self._note_waits(step, rack, request, [start_s] * count, 0)
        return True

    def _find_gang_start(self, step, rack, request):
        """Return when a gang starts on a rack, by its reservation if it has one."""
        forecast = self._racks.forecast(rack)
        kept = step.reservations
        if kept is not None and kept.forecast is forecast:
            return kept.starts_s[0]
        return forecast.find_gang_time(request, len(step.tasks))

    def _list_gang_racks(self, step):
        if step.spec.data_rack:
            return [step.spec.data_rack]
        racks = self._racks.by_label
        return sorted(racks, key=lambda label: -_sum_unused(racks[label]))[
            :MAX_GANG_RACKS
        ]

    def note_gang_started(self, step, started):
        """Note whether a gang that has started runs at full speed."""
        labels = [set(attempt.worker.listed.labels) for attempt in started]
        step.is_spread = step.spec.same_rack and not set.intersection(*labels)
        rack = step.spec.data_rack
        is_near = not step.is_spread and all(
            not rack or rack in each for each in labels
        )
        event = "started near" if is_near else "started far"
        self._shard.events[event] += len(started)

    # Inputs of a decision ----------------------------------------------------

    def _make_request(self, step, rack):
        near_s = self._racks.estimate_run_s(step)
        job = step.job
        latest_s = compute_latest_start_s(
            self._now_s,
            near_s,
            self._shard.remote_factor,
            self._now_s - step.find_ready_s(),
            estimate_slack_s(job, self._now_s, self._shard.run_times),
        )
        return RoomRequest(
            step.spec.need, near_s, latest_s, self._list_allowance(step, rack)
        )

    def _list_allowance(self, step, rack):
        """Return how many more tasks each worker may run; None for any number."""
        spec = step.spec
        if not spec.required_label and not spec.max_per_worker:
            return None
        limit = spec.max_per_worker or spec.count
        return {
            worker.worker: limit - step.attempts_per_worker.get(worker.worker, 0)
            for worker in self._racks.find_workers(rack)
            if is_suitable(step, worker)
        }

    # Results of a decision ---------------------------------------------------

    def _note_waits(self, step, rack, request, expected, far):
        """Note that some tasks of a step wait by choice, and others don't."""
        step.waits_by_choice = len(expected)
        added = len(expected) - step.most_waits_by_choice
        if added > 0:
            self._shard.events["waited"] += added
            step.most_waits_by_choice = len(expected)
        if expected:
            self._log(step, _Decision.WAIT, rack, request, len(expected), max(expected))
        if far:
            self._log(step, _Decision.FAR, rack, request, far, math.inf)

    def _log(self, step, decision, rack, request, tasks, expected_s):
        """Log a decision with its inputs, once for each step."""
        if decision.value in step.logged_decisions:
            return
        step.logged_decisions |= {decision.value}
        now_s, factor = self._now_s, self._shard.remote_factor
        slack_s = estimate_slack_s(step.job, now_s, self._shard.run_times)
        is_known = math.isfinite(expected_s)
        self._shard.log.info(
            "place decided",
            extra={
                "job": step.job.job,
                "step": f"{step.occurrence}.{step.number}",
                "decision": decision.value,
                "tasks": tasks,
                "rack": rack,
                "usable_workers": len(self._racks.find_workers(rack)),
                "near_s": round(request.run_s, 3),
                "far_s": round(request.run_s * factor, 3),
                "waited_s": round(now_s - step.find_ready_s(), 3),
                "slack_s": round(slack_s, 3),
                "may_wait_s": round(request.latest_s - now_s, 3),
                "expected_wait_s": round(expected_s - now_s, 3) if is_known else None,
            },
        )


def _is_in_time(task, starts_s, request):
    """Return whether a task is expected to start before it had better start far."""
    start_s = starts_s.get(task.index)
    return start_s is not None and start_s <= request.latest_s


def _sum_unused(workers):
    return sum(
        worker.listed.capacity.cpu_millis - worker.cpu_used for worker in workers
    )
