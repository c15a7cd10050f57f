"""Decisions of a shard's owner, and the observations on which they are based.

The decisions themselves are pure functions of `fuchsiascale.decisions`. This module
keeps their state for the workers of one shard and collects their inputs.
"""

import msgspec

from fuchsiascale.coordination._attempts import parse_task_id
from fuchsiascale.coordination._placement_round import (
    NO_ROOM,
    PlacementRound,
    TeamEntitlement,
    scale_quota,
)
from fuchsiascale.decisions import (
    QUIET_EXCESS,
    HealthLog,
    InterferenceTable,
    KindLoad,
    PolicyWeights,
    PreemptionCandidate,
    ResponseState,
    ResponseStep,
    UsageEstimate,
    VictimCandidate,
    WorkerStanding,
    allow_starts,
    can_place,
    choose_preemption,
    choose_step,
    choose_victim,
    derive_thresholds,
    estimate_demand,
    estimate_excess,
    expect_slowdown,
    forget_job,
    is_suitable_trial,
    is_trial_overdue,
    judge_job,
    observe_slowdown,
    observe_usage,
    quantize_pressure,
    record_failure,
    record_lost,
    record_start,
    record_success,
)
from fuchsiascale.platform import AttemptKey, Message, Throttle
from fuchsiascale.states import AttemptState, Urgency

__all__ = ["ServiceLatency", "ShardPolicy", "WorkerResponse", "parse_job_id"]

BASELINE_GROWTH = 1.001
BASELINE_QUANTILE = 0.2
MIN_WEIGHT = 0.001
PREEMPT_PERIOD_S = 1.0


class ServiceLatency(Message):
    """Recent mean latency of a service's runner on a worker."""

    worker: str
    service: str
    latency_ms: float


class WorkerResponse(Message):
    """Throttles and checkpoints for the attempts of a worker."""

    throttles: tuple[Throttle, ...] = ()
    checkpoints: tuple[AttemptKey, ...] = ()


class _WorkerState(msgspec.Struct):
    """Last known load of a worker, and the response in effect there."""

    services: tuple = ()
    attempts: tuple = ()
    response: ResponseState = ResponseState()
    latencies: dict = {}


def parse_job_id(chunk):
    """Return the id of the job that a chunk belongs to.

    Examples
    --------
    >>> parse_job_id("tune.2026.0")
    'tune.2026'
    """
    return chunk.rsplit(".", 1)[0]


def _find_job(task):
    chunk, _ = parse_task_id(task)
    return parse_job_id(chunk)


class ShardPolicy:
    """Decides on placement, throttling, eviction and quarantine in a shard.

    Parameters
    ----------
    clock : Clock
    random : random.Random
    lag_s : float
        Lag of the usage that workers report, in seconds.
    """

    def __init__(self, clock, random, lag_s=5.0):
        self._clock = clock
        self._random = random
        self._lag_s = lag_s
        self._health = HealthLog()
        self._table = InterferenceTable()
        self._usage = {}
        self._workers = {}
        self._baselines = {}
        self._job_teams = {}
        self._urgencies = {}
        self._preempt_due_s = 0.0
        self._kinds = {}
        self._teams = {}
        self._quota_share = 1.0
        self.configure({}, {}, PolicyWeights())

    def configure(self, kinds, teams, weights, quota_share=1.0):
        """Apply settings of the fleet document.

        Parameters
        ----------
        kinds : mapping of JobKindId to KindSettings
        teams : mapping of TeamId to TeamSettings
        weights : PolicyWeights
        quota_share : float
            Part of the fleet's workers that are in this shard.
        """
        self._kinds = kinds
        self._teams = teams
        self._weights = weights
        self._quota_share = quota_share
        self._thresholds = derive_thresholds(weights, self._lag_s)

    def set_job_team(self, job, team):
        """Set the team that a job belongs to."""
        self._job_teams[job] = team

    # Placement

    def place(self, workers, requests):
        """Choose workers for tasks.

        Parameters
        ----------
        workers : iterable of WorkerFree
        requests : sequence of PlacementRequest

        Returns
        -------
        list of Placement
            One for each request, in order.
        """
        entries = [
            msgspec.structs.replace(entry, pressure=self.compute_pressure(entry.worker))
            for entry in workers
        ]
        allowances = {
            entry.worker: self.compute_allowance(entry.worker) for entry in entries
        }
        placement_round = PlacementRound(entries, allowances, self, self._random)
        self._count_running_attempts(placement_round)
        estimated = []
        for request in requests:
            self._job_teams[request.job] = request.team
            demand = _fall_back_to_declared(
                self.estimate(request), request.demand, entries
            )
            estimated.append(msgspec.structs.replace(request, demand=demand))
        return placement_round.place_all(estimated, 1.0 + self._thresholds.hold)

    def preempt(self, workers, requests, placements):
        """Choose tasks to evict for urgent ones that found no room.

        Parameters
        ----------
        workers : sequence of WorkerFree
            The workers before the placements.
        requests : sequence of PlacementRequest
        placements : sequence of Placement
            Results of the requests, in order.

        Returns
        -------
        dict of WorkerId to WorkerResponse
            At most one worker; the next round sees the room that became free.
        """
        now_s = self._clock.monotonic()
        if now_s < self._preempt_due_s:
            return {}
        for request, placement in zip(requests, placements, strict=True):
            self._urgencies[request.job] = request.urgency
            if request.urgency is not Urgency.URGENT or placement.reason != NO_ROOM:
                continue
            chosen = choose_preemption(
                workers, self._list_candidates(), self.estimate(request)
            )
            if chosen is not None:
                self._preempt_due_s = now_s + PREEMPT_PERIOD_S
                return {chosen.worker: self._describe_preemption(chosen)}
        return {}

    def _list_candidates(self):
        return {
            worker: tuple(
                PreemptionCandidate(task=report.task, demand=report.demand)
                for report in state.attempts
                if self._can_be_preempted(report)
            )
            for worker, state in self._workers.items()
        }

    def _can_be_preempted(self, report):
        kind = self._kinds.get(report.kind)
        if kind is None or not (kind.evictable and kind.checkpointable):
            return False
        urgency = self._urgencies.get(_find_job(report.task), kind.urgency)
        return urgency is Urgency.BATCH

    def _describe_preemption(self, chosen):
        attempts = self._find_worker(chosen.worker).attempts
        keys = tuple(entry.key for entry in attempts if entry.task in chosen.victims)
        return WorkerResponse(checkpoints=keys)

    def estimate(self, request):
        """Return the demand that would be committed for a request."""
        estimate = self._usage.get(request.job) or self._usage.get(request.kind)
        return estimate_demand(request.demand, estimate)

    def expect_slowdown(self, services, kind):
        """Return the expected slowdown of services by one core of a kind."""
        return expect_slowdown(self._table, services, kind)

    def judge_job(self, job):
        """Return the standing of a job."""
        return judge_job(self._health, job)

    def is_blocked(self, worker, request, standing):
        """Return whether a worker accepts no start of a request's kind or job now."""
        if standing is WorkerStanding.ON_TRIAL and not (
            is_suitable_trial(self._health, worker, request.job)
            or is_trial_overdue(self._health, worker, self._clock.monotonic())
        ):
            return True
        state = self._find_worker(worker)
        if state.response.step is ResponseStep.NONE:
            return False
        return not can_place(state.response, self._excess_per_core(state, request.kind))

    def describe_team(self, team):
        """Return a team's weight and its quota in this shard."""
        settings = self._teams.get(team)
        if settings is None:
            return TeamEntitlement()
        quota = settings.quota
        if quota is not None:
            quota = scale_quota(quota, self._quota_share)
        return TeamEntitlement(weight=max(MIN_WEIGHT, settings.weight), quota=quota)

    def _count_running_attempts(self, placement_round):
        for state in self._workers.values():
            for report in state.attempts:
                job = _find_job(report.task)
                team = self._job_teams.get(job, "")
                placement_round.count_attempt(job, team, report.demand)

    # Health

    def record_start(self, worker, task):
        """Record that an attempt was sent to a worker."""
        record_start(self._health, worker, _find_job(task), self._clock.monotonic())

    def record_end(self, worker, task, state):
        """Record how an attempt ended.

        Parameters
        ----------
        worker : WorkerId
        task : TaskId
        state : AttemptState
        """
        job = _find_job(task)
        if state is AttemptState.FINISHED:
            record_success(self._health, worker, job)
        elif state is AttemptState.FAILED:
            record_failure(self._health, worker, job, self._clock.monotonic())
        else:
            record_lost(self._health, worker)

    def forget_job(self, job):
        """Drop the observations of a job that has ended."""
        forget_job(self._health, job)
        self._usage.pop(job, None)
        self._job_teams.pop(job, None)
        self._urgencies.pop(job, None)

    def compute_allowance(self, worker):
        """Return how many starts a worker may get now, and its standing."""
        return allow_starts(self._health, worker, self._clock.monotonic())

    # Interference

    def observe_inventory(self, worker, services, inventory):
        """Record the load that a worker reports."""
        state = self._find_worker(worker)
        state.services = services
        running = [entry for entry in inventory.attempts if not entry.state.ended]
        state.attempts = tuple(running)
        for report in running:
            if report.used.millicores and report.state is AttemptState.RUNNING:
                self._observe_usage(_find_job(report.task), report)
                self._observe_usage(report.kind, report)

    def observe_latency(self, measured):
        """Update the interference estimates from a latency, and choose a response.

        Parameters
        ----------
        measured : ServiceLatency

        Returns
        -------
        WorkerResponse
            Throttles and checkpoints for the worker now.
        """
        state = self._find_worker(measured.worker)
        state.latencies[measured.service] = measured.latency_ms
        baseline_ms = self._update_baseline(measured.service)
        slowdown = measured.latency_ms / max(0.001, baseline_ms)
        observe_slowdown(self._table, measured.service, _sum_loads(state), slowdown)
        now_s = self._clock.monotonic()
        response = choose_step(state.response, slowdown, self._thresholds, now_s)
        changed = response.throttle_permille != state.response.throttle_permille
        state.response = response
        return self._respond(state, changed)

    def compute_pressure(self, worker):
        """Return the quantized pressure of the noisy work on a worker."""
        state = self._find_worker(worker)
        return quantize_pressure(
            sum(self._excess(state, report) for report in state.attempts)
        )

    def step(self, worker):
        """Return the step of the response in effect at a worker."""
        return self._find_worker(worker).response.step

    def _respond(self, state, changed):
        noisy = [
            report
            for report in state.attempts
            if self._excess_per_core(state, report.kind) > QUIET_EXCESS
        ]
        throttles = ()
        if changed:
            share = state.response.throttle_permille
            throttles = tuple(
                Throttle(task=entry.task, attempt=entry.attempt, share_permille=share)
                for entry in noisy
            )
        victim = self._choose_victim(state, noisy) if state.response.evict else None
        checkpoints = () if victim is None else (victim.key,)
        return WorkerResponse(throttles=throttles, checkpoints=checkpoints)

    def _choose_victim(self, state, reports):
        by_task = {report.task: report for report in reports}
        chosen = choose_victim(
            [self._describe_victim(state, report) for report in reports], self._weights
        )
        return None if chosen is None else by_task[chosen.task]

    def _describe_victim(self, state, report):
        kind = self._kinds.get(report.kind)
        return VictimCandidate(
            task=report.task,
            kind=report.kind,
            excess=self._excess(state, report),
            evictable=kind is None or kind.evictable,
            checkpointable=kind is None or kind.checkpointable,
        )

    def _excess(self, state, report):
        cores = (report.used.millicores or report.demand.millicores) / 1_000
        return cores * self._excess_per_core(state, report.kind)

    def _excess_per_core(self, state, kind):
        return max(
            (estimate_excess(self._table, name, kind) for name in state.services),
            default=0.0,
        )

    def _observe_usage(self, key, report):
        estimate = self._usage.get(key)
        if estimate is None:
            estimate = UsageEstimate()
        self._usage[key] = observe_usage(estimate, report.demand, report.used)

    def _update_baseline(self, service):
        known = sorted(
            state.latencies[service]
            for state in self._workers.values()
            if service in state.latencies
        )
        low_ms = known[int(BASELINE_QUANTILE * (len(known) - 1))]
        before_ms = self._baselines.get(service, low_ms)
        baseline_ms = min(low_ms, before_ms * BASELINE_GROWTH)
        self._baselines[service] = baseline_ms
        return baseline_ms

    def _find_worker(self, worker):
        state = self._workers.get(worker)
        if state is None:
            state = self._workers[worker] = _WorkerState(latencies={})
        return state

    def forget_worker(self, worker):
        """Drop the observations of a worker that is gone."""
        self._workers.pop(worker, None)
        self._health.workers.pop(worker, None)


def _fall_back_to_declared(estimated, declared, entries):
    """Return the declared demand if the estimated one fits no worker at all.

    Otherwise a task whose estimate has grown beyond every worker would wait forever.
    """
    if any(estimated.fits(entry.capacity) for entry in entries):
        return estimated
    return declared


def _sum_loads(state):
    cores = {}
    for report in state.attempts:
        used = report.used.millicores / 1_000
        cores[report.kind] = cores.get(report.kind, 0.0) + used
    return tuple(KindLoad(kind=kind, cores=value) for kind, value in cores.items())
