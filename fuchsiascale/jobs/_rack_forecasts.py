"""Forecasts the room on racks from the attempts that run there.

Load pattern: several hundred workers of which up to a few dozen racks are wanted by
many jobs. Only wanted racks are looked at, and a forecast is kept for several rounds.
"""

from typing import NamedTuple

from fuchsiascale.jobs._model import Resources
from fuchsiascale.jobs._placement_wait import RackForecast, estimate_end_s
from fuchsiascale.jobs._run_state import AttemptPhase

__all__ = ["RackForecasts", "measure_slowdown"]

STOP_TIME_S = 0.5
"""Time until a stopped attempt has ended and its room is known to be free."""
FORECAST_PERIOD_S = 0.1
"""Time after which a forecast is made anew: a fifth of the run time of the shortest
tasks. It counts what is started meanwhile, but not what ends early or late."""
MAX_FORECAST_AGE_S = 0.3
"""Time after which it is made anew even if `MAX_RENEWALS` is reached."""
MAX_RENEWALS = 3
"""Forecasts that are renewed in one round because of their age, so that many wanted
racks don't all fall into the same round."""


class _KeptForecast(NamedTuple):
    """Forecast of a rack, and the resources in use when it was last brought up to date.

    ``used`` has an entry for each of the rack's workers.
    """

    forecast: RackForecast
    used: dict
    made_s: float


class RackForecasts:
    """Workers by rack, and the room that is expected there.

    Parameters
    ----------
    shard : Shard
        Workers and jobs.
    workers : list of WorkerRun
        Workers that accept new attempts. All others count as lost to a rack.
    now_s : float
        Monotonic time in seconds.
    """

    def __init__(self, shard, workers, now_s):
        self._shard = shard
        self._workers = workers
        self._now_s = now_s
        self._by_label = None
        self._current = {}
        self._renewals_left = MAX_RENEWALS
        self._run_times = {}

    @property
    def by_label(self):
        """Workers by label; each rack is one of the labels."""
        if self._by_label is None:
            self._by_label = {}
            for worker in self._workers:
                for label in worker.listed.labels:
                    self._by_label.setdefault(label, []).append(worker)
        return self._by_label

    def find_workers(self, rack):
        """Return the workers of a rack."""
        return self.by_label.get(rack, [])

    def estimate_run_s(self, step):
        """Return the expected run time of a task of a step at full speed."""
        run_s = self._run_times.get(step)
        if run_s is None:
            declared_s = step.spec.estimate_ms / 1000
            run_s = self._shard.run_times.estimate(step.job.policy.queue, declared_s)
            self._run_times[step] = run_s
        return run_s

    def forecast(self, rack):
        """Return the forecast of a rack, less what was started since it was made.

        It is another object once it was made anew, without the reservations before.
        """
        kept = self._current.get(rack)
        if kept is None:
            kept = self._current[rack] = self._find_kept(rack)
        for worker, before in kept.used.items():
            if worker.cpu_used > before.cpu_millis or (
                worker.memory_used > before.memory_mb
            ):
                kept.used[worker] = _measure_used(worker)
                kept.forecast.take(worker.worker, _subtract(kept.used[worker], before))
        return kept.forecast

    def make_forecast(self, rack):
        """Return a new forecast that is not kept."""
        return self._make_forecast(self._find_warm(rack)).forecast

    def _find_warm(self, rack):
        workers = self.find_workers(rack)
        return [each for each in workers if not each.is_cold(self._now_s)]

    def _find_kept(self, rack):
        """Return the forecast of an earlier round, or a new one."""
        workers = self._find_warm(rack)
        kept = self._shard.rack_forecasts.get(rack)
        if kept is None or list(kept.used) != workers or self._renews(kept):
            kept = self._make_forecast(workers)
            if workers:
                self._shard.rack_forecasts[rack] = kept
            else:
                self._shard.rack_forecasts.pop(rack, None)
        return kept

    def _renews(self, kept):
        age_s = self._now_s - kept.made_s
        if age_s < FORECAST_PERIOD_S:
            return False
        self._renewals_left -= 1
        return self._renewals_left >= 0 or age_s > MAX_FORECAST_AGE_S

    def _make_forecast(self, workers):
        forecast = RackForecast(self._now_s)
        used = {worker: _measure_used(worker) for worker in workers}
        for worker in workers:
            room = _subtract(worker.listed.capacity, used[worker])
            forecast.add_worker(worker.worker, room, self._list_ends(worker))
        return _KeptForecast(forecast, used, self._now_s)

    def _list_ends(self, worker):
        """Return when the attempts of a worker are expected to end, and their room."""
        ends = []
        for attempt in worker.attempts.values():
            spec = attempt.task.step.spec
            if attempt.phase is AttemptPhase.STOPPING:
                end_s = estimate_end_s(self._now_s, attempt.phase_since_s, STOP_TIME_S)
            elif spec.lasting:
                continue
            else:
                end_s = self._estimate_end_s(attempt)
            freed = spec.need
            if spec.fills:
                freed = Resources(
                    memory_mb=freed.memory_mb, accelerators=freed.accelerators
                )
            ends.append((end_s, freed))
        return ends

    def _estimate_end_s(self, attempt):
        slowdown = measure_slowdown(self._shard, attempt)
        expected_s = self.estimate_run_s(attempt.task.step) * slowdown
        percent = attempt.percent if attempt.has_full_run_time else 0
        return estimate_end_s(
            self._now_s,
            attempt.phase_since_s,
            expected_s,
            percent,
            attempt.progressed_at_s,
        )


def measure_slowdown(shard, attempt):
    """Return by which factor an attempt takes longer because of where it runs."""
    step = attempt.task.step
    rack = step.spec.data_rack
    is_remote = rack and rack not in attempt.worker.listed.labels
    return shard.remote_factor if is_remote or step.is_spread else 1.0


def _measure_used(worker):
    return Resources(
        cpu_millis=worker.cpu_used,
        memory_mb=worker.memory_used,
        accelerators=worker.accelerators_used,
    )


def _subtract(resources, others):
    return Resources(
        cpu_millis=resources.cpu_millis - others.cpu_millis,
        memory_mb=resources.memory_mb - others.memory_mb,
        accelerators=resources.accelerators - others.accelerators,
    )
