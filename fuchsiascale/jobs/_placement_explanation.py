"""Explains where a job's tasks would start now, and why, without starting them.

It reads an owner's shard and changes nothing in it. The cost is bounded: a look at each
worker for each of the first steps, and at the attempts of one rack.

Load pattern: an operator asks why jobs of a queue wait, while several hundred workers
are busy.
"""

import math
from collections import Counter
from enum import Enum

import msgspec

from fuchsiascale.jobs._job_order import estimate_slack_s
from fuchsiascale.jobs._placement_wait import RoomRequest, compute_latest_start_s
from fuchsiascale.jobs._rack_forecasts import RackForecasts
from fuchsiascale.jobs._run_state import JobRun
from fuchsiascale.jobs._worker_selection import (
    MIN_RATE,
    LeftoverCapacities,
    is_suitable,
)

__all__ = [
    "Admission",
    "ExplanationRequest",
    "JobExplanation",
    "PlacementExplanation",
    "StepPlacement",
    "explain_placement",
]

MAX_STEPS = 5
"""Steps that are explained, as many as most jobs have. A job may have thousands, and
each costs a look at all workers."""


class _RuledOut(Enum):
    """Why a worker takes no task of a step."""

    UNLISTED = "not listed"
    DRAINING = "draining"
    SILENT = "silent"
    SUSPENDED = "suspended"
    PAUSED = "paused after a refused start"
    UNCONFIRMED = "not confirmed yet"
    EVACUATED = "evacuated"
    STOPPING = "unknown attempts are stopping"
    LABEL = "label"
    CAPACITY = "capacity"
    INTERFERENCE = "interference"


class StepPlacement(msgspec.Struct, frozen=True, kw_only=True):
    """Where the tasks of a step would start if the steps before it were done.

    Parameters
    ----------
    step, tasks : int
        Number of the step, and of its tasks.
    workers : int
        Workers considered.
    ruled_out : dict
        Number of workers that take no task, by reason.
    limited_by_spread : int
        Workers that would take more tasks without the limit per worker.
    wanted_rack : str
        Rack of the data.
    rack_workers, rack_room : int
        Workers of that rack that may be used, and the tasks that they have room for.
    room : int
        Tasks that all workers have room for, at most those of the step.
    run_s, far_run_s : float
        Expected run time of a task, and away from the wanted rack.
    may_wait_s : float
        Longest wait for the wanted rack.
    start, wait, start_far, no_room : int
        Tasks that would start at full speed, wait by choice, start away from their
        data, and wait for any room.
    expected_wait_s : float or None
        Longest expected wait of those that wait by choice.
    """

    step: int
    tasks: int
    workers: int
    ruled_out: dict[str, int]
    limited_by_spread: int
    wanted_rack: str
    rack_workers: int
    rack_room: int
    room: int
    run_s: float
    far_run_s: float
    may_wait_s: float
    start: int
    wait: int
    start_far: int
    no_room: int
    expected_wait_s: float | None


class PlacementExplanation(msgspec.Struct, frozen=True, kw_only=True):
    """Where a job would start, by what its owner knows.

    Parameters
    ----------
    service, queue : str
        The service and the queue.
    token : int
        The owner's fencing token.
    confirmed_ago_s : float
        Time since the store last showed the owner as such.
    waiting_jobs : int
        Jobs of the service of which nothing has started.
    slack_s : float
        Time that the job can lose and still meet its objective.
    steps : tuple of StepPlacement
        The first steps.
    steps_left_out : int
        Number of steps that are not explained.
    """

    service: str
    queue: str
    token: int
    confirmed_ago_s: float
    waiting_jobs: int
    slack_s: float
    steps: tuple[StepPlacement, ...]
    steps_left_out: int = 0


class ExplanationRequest(msgspec.Struct, frozen=True, kw_only=True):
    """Asks where a job would start; ``job`` has the form in which it is handed in."""

    queue: str
    job: msgspec.Raw


class Admission(msgspec.Struct, frozen=True, kw_only=True):
    """Whether an instance would accept a job now, and else when to ask again."""

    admitted: bool
    why: str = ""
    retry_after_s: float = 0.0


class JobExplanation(msgspec.Struct, frozen=True, kw_only=True):
    """Answer of an instance; ``placement`` is None if the owner gave none.

    ``host`` and ``prefix`` are where the queue's jobs are handed in.
    """

    queue: str
    service: str
    host: str
    prefix: str
    configuration_version: int
    configuration_age_s: float | None
    admission: Admission
    placement: PlacementExplanation | None


def explain_placement(shard, record, now_s, wall_ms, confirmed_ago_s=0.0):
    """Return the `PlacementExplanation` of a job that is not handed in.

    Parameters
    ----------
    shard : Shard
        Workers and jobs.
    record : JobRecord
        The job.
    now_s : float
        Monotonic time in seconds.
    wall_ms : int
        Time of day in milliseconds since the epoch.
    confirmed_ago_s : float
        Time since the store last showed the owner as such.
    """
    job = JobRun(record, shard.token, False, now_s, wall_ms)
    job.open_occurrence(0, now_s)
    explained = _Explainer(shard, job, now_s)
    steps = job.occurrences[0]
    return PlacementExplanation(
        service=shard.service,
        queue=record.policy.queue,
        token=shard.token,
        confirmed_ago_s=round(confirmed_ago_s, 3),
        waiting_jobs=sum(shard.count_waiting().values()),
        slack_s=round(explained.slack_s, 3),
        steps=tuple(explained.explain(step) for step in steps[:MAX_STEPS]),
        steps_left_out=max(0, len(steps) - MAX_STEPS),
    )


class _Explainer:
    """Explains the steps of one job."""

    def __init__(self, shard, job, now_s):
        self._shard = shard
        self._now_s = now_s
        self.slack_s = estimate_slack_s(job, now_s, shard.run_times)
        self._obstacles = {
            worker: _find_obstacle(shard, worker, now_s)
            for worker in shard.workers.values()
        }
        self._usable = [
            worker for worker, obstacle in self._obstacles.items() if obstacle is None
        ]
        self._leftovers = LeftoverCapacities(shard, self._usable, now_s)
        self._racks = RackForecasts(shard, self._usable, now_s)

    def explain(self, step):
        """Return the `StepPlacement` of a step."""
        spec = step.spec
        ruled_out, slots, limited = Counter(), {}, 0
        for worker in self._shard.workers.values():
            obstacle = self._find_obstacle(step, worker)
            if obstacle is not None:
                ruled_out[obstacle.value] += 1
                continue
            fitting = _count_slots(spec, worker)
            limit = spec.max_per_worker or fitting
            limited += fitting > limit
            slots[worker] = min(fitting, limit, spec.count)
        rack_workers = self._racks.find_workers(spec.data_rack)
        rack_room = min(spec.count, sum(slots.get(each, 0) for each in rack_workers))
        room = min(spec.count, sum(slots.values()))
        run_s = self._racks.estimate_run_s(step)
        factor = self._shard.remote_factor
        latest_s = compute_latest_start_s(self._now_s, run_s, factor, 0.0, self.slack_s)
        counts, expected_wait_s = self._plan(step, slots, rack_room, room, latest_s)
        return StepPlacement(
            step=step.number,
            tasks=spec.count,
            workers=len(self._shard.workers),
            ruled_out=dict(ruled_out),
            limited_by_spread=limited,
            wanted_rack=spec.data_rack,
            rack_workers=len(rack_workers),
            rack_room=rack_room,
            room=room,
            run_s=round(run_s, 3),
            far_run_s=round(run_s * factor, 3),
            may_wait_s=round(latest_s - self._now_s, 3),
            start=counts[0],
            wait=counts[1],
            start_far=counts[2],
            no_room=spec.count - sum(counts),
            expected_wait_s=expected_wait_s,
        )

    def _find_obstacle(self, step, worker):
        """Return why a worker takes no task of a step; None if it takes one."""
        spec = step.spec
        if self._obstacles[worker] is not None:
            return self._obstacles[worker]
        if not is_suitable(step, worker):
            return _RuledOut.LABEL
        if not worker.fits(spec):
            return _RuledOut.CAPACITY
        if spec.fills:
            leftover = self._leftovers.find(spec.image, worker)
            if leftover.rate(spec) < MIN_RATE:
                return _RuledOut.INTERFERENCE
        return None

    def _plan(self, step, slots, rack_room, room, latest_s):
        """Return how many tasks start, wait and start far, and the longest wait."""
        spec = step.spec
        if spec.gang:
            return self._plan_gang(step, slots, rack_room, room, latest_s)
        if not spec.data_rack:
            return (room, 0, 0), None
        left = spec.count - rack_room
        waits = []
        if left and not spec.lasting and not spec.fills:
            request = self._make_request(step, latest_s)
            starts = self._forecast(spec.data_rack).reserve(
                request, [None] * spec.count
            )
            later = starts[rack_room:]
            waits = [each - self._now_s for each in later if each is not None]
        far = min(left - len(waits), room - rack_room)
        return (rack_room, len(waits), far), _round_longest(waits)

    def _plan_gang(self, step, slots, rack_room, room, latest_s):
        """Plan a gang as one: all its tasks start, wait or start far."""
        spec = step.spec
        count = spec.count
        racks = {spec.data_rack: rack_room} if spec.data_rack else {}
        if spec.same_rack and not spec.data_rack:
            for rack, workers in self._racks.by_label.items():
                racks[rack] = sum(slots.get(each, 0) for each in workers)
        if not racks:
            return (count if room >= count else 0, 0, 0), None
        best = max(racks, key=racks.get)
        if racks[best] >= count:
            return (count, 0, 0), None
        request = self._make_request(step, latest_s)
        start_s = self._forecast(best).find_gang_time(request, count)
        if start_s <= latest_s and not spec.lasting and not spec.fills:
            return (0, count, 0), _round_longest([start_s - self._now_s])
        return (0, 0, count if room >= count else 0), None

    def _forecast(self, rack):
        """Return a forecast of its own, so that nothing is reserved in the owner's."""
        return self._racks.make_forecast(rack)

    def _make_request(self, step, latest_s):
        spec = step.spec
        if latest_s <= self._now_s:
            latest_s = -math.inf
        allowance = None
        if spec.required_label or spec.max_per_worker:
            limit = spec.max_per_worker or spec.count
            allowance = {
                worker.worker: limit
                for worker in self._usable
                if is_suitable(step, worker)
            }
        run_s = self._racks.estimate_run_s(step)
        return RoomRequest(spec.need, run_s, latest_s, allowance)


def _find_obstacle(shard, worker, now_s):
    """Return why a worker takes no task at all; None if it may be used."""
    checks = (
        (not worker.is_listed, _RuledOut.UNLISTED),
        (worker.draining, _RuledOut.DRAINING),
        (worker.silent, _RuledOut.SILENT),
        (now_s < worker.suspended_until_s, _RuledOut.SUSPENDED),
        (now_s < worker.blocked_until_s, _RuledOut.PAUSED),
        (not worker.is_usable(now_s), _RuledOut.UNCONFIRMED),
        (worker.claimed_s >= shard.confirmed_s, _RuledOut.UNCONFIRMED),
        (not shard.may_use(worker, now_s), _RuledOut.EVACUATED),
        (bool(worker.orphans), _RuledOut.STOPPING),
    )
    return next((reason for holds, reason in checks if holds), None)


def _count_slots(spec, worker):
    """Return how many tasks of a step a worker has room for."""
    need, capacity = spec.need, worker.listed.capacity
    rooms = [
        (capacity.memory_mb - worker.memory_used, need.memory_mb),
        (capacity.accelerators - worker.accelerators_used, need.accelerators),
    ]
    if not spec.fills:
        rooms.append((capacity.cpu_millis - worker.cpu_used, need.cpu_millis))
    return min((room // size for room, size in rooms if size), default=spec.count)


def _round_longest(waits):
    return round(max(waits), 3) if waits else None
