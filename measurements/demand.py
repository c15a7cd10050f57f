"""Measures the cores in use when the declared sizes of tasks are wrong.

Compares placement by estimated demand with placement by declared sizes.
"""

from random import Random

from fuchsiascale.decisions import (
    FreeIndex,
    PlacementRequest,
    UsageEstimate,
    WorkerFree,
    estimate_demand,
    observe_usage,
    place_task,
)
from fuchsiascale.platform import Resources
from measurements._report import (
    Report,
    make_figure,
    make_ratio_figure,
    register_measurement,
)

WORKERS = 33
CAPACITY = Resources(millicores=32_000, memory_mb=125_000)
JOB_COUNT = 40
DURATION_S = 600
WARM_UP_S = 120
USAGE_LAG_S = 5
MIN_FACTOR, MAX_FACTOR = 0.2, 5.0
SEED = 5


class Job:
    """A stream of equal tasks whose declared size is wrong by a random factor."""

    def __init__(self, number, random):
        self.kind = f"k{number}"
        self.mean_millicores = random.choice((500, 1_000, 2_000))
        self.memory_mb = random.choice((500, 2_000, 4_000))
        self.declared = Resources(
            millicores=int(self.mean_millicores * draw_factor(random)),
            memory_mb=int(self.memory_mb * draw_factor(random)),
        )
        self.estimate = UsageEstimate()
        self.run_s = random.randint(20, 60)


def draw_factor(random):
    """Draw a factor from a log-uniform distribution."""
    return MIN_FACTOR * (MAX_FACTOR / MIN_FACTOR) ** random.random()


class Attempt:
    """A running task whose usage a guard limits to the committed resources."""

    def __init__(self, job, worker, committed, now_s, random):
        self.job, self.worker, self.committed = job, worker, committed
        wanted_millicores = int(job.mean_millicores * random.uniform(0.8, 1.2))
        memory_mb = int(job.memory_mb * random.uniform(0.8, 1.0))
        self.killed = memory_mb > committed.memory_mb
        self.used = Resources(
            millicores=min(wanted_millicores, committed.millicores),
            memory_mb=min(memory_mb, committed.memory_mb),
        )
        self.slowdown = wanted_millicores / max(1, self.used.millicores)
        run_s = 1.0 if self.killed else job.run_s * self.slowdown
        self.started_s, self.end_s = now_s, now_s + run_s
        self.reported = False


class Model:
    """Workers for which tasks are always waiting."""

    def __init__(self, policy):
        self.policy, self.random = policy, Random(SEED)
        self.jobs = [Job(number, self.random) for number in range(JOB_COUNT)]
        self.index = FreeIndex(
            WorkerFree(worker=number, free=CAPACITY) for number in range(WORKERS)
        )
        self.running, self.millicore_seconds, self.killed, self.ended = [], 0.0, 0, 0
        self.overcommitted_worker_s = 0

    def run(self):
        """Run the simulation; return the model."""
        for second in range(DURATION_S):
            self._end_tasks(second)
            self._report_usage(second)
            self._start_tasks(second)
            if second >= WARM_UP_S:
                self._record_totals()
        return self

    def _end_tasks(self, now_s):
        still_running = []
        for attempt in self.running:
            if attempt.end_s > now_s:
                still_running.append(attempt)
                continue
            self.index.release(attempt.worker, attempt.committed)
            self._observe(attempt)
            self.killed += attempt.killed and now_s >= WARM_UP_S
            self.ended += now_s >= WARM_UP_S
        self.running = still_running

    def _report_usage(self, now_s):
        for attempt in self.running:
            if not attempt.reported and now_s - attempt.started_s >= USAGE_LAG_S:
                attempt.reported = True
                self._observe(attempt)

    def _observe(self, attempt):
        job = attempt.job
        job.estimate = observe_usage(job.estimate, attempt.committed, attempt.used)

    def _start_tasks(self, now_s):
        misses = 0
        while misses < JOB_COUNT // 2:
            job = self.random.choice(self.jobs)
            demand = estimate_demand(job.declared, job.estimate, self.policy)
            request = PlacementRequest(task="t", kind=job.kind, demand=demand)
            placement = place_task(self.index, request, self.random)
            if placement.worker is None:
                misses += 1
                continue
            self.index.commit(placement.worker, demand)
            self.running.append(
                Attempt(job, placement.worker, demand, now_s, self.random)
            )

    def _record_totals(self):
        committed = {}
        for attempt in self.running:
            self.millicore_seconds += 0 if attempt.killed else attempt.used.millicores
            before = committed.get(attempt.worker, Resources())
            committed[attempt.worker] = before + attempt.committed
        self.overcommitted_worker_s += sum(
            not total.fits(CAPACITY) for total in committed.values()
        )


def compute_mean_cores(model):
    """Return the mean number of cores in use."""
    return model.millicore_seconds / (DURATION_S - WARM_UP_S) / 1_000


@register_measurement("demand", "Declared sizes wrong by 0.2 to 5 times")
def run():
    """Compare committing the estimated demand with committing the declared one."""
    declared, larger = Model("declared").run(), Model("larger").run()
    measured = Model("measured").run()
    return Report(
        baseline="trust the declared size",
        setting=f"{WORKERS} workers of 32 cores and 125 GB, {JOB_COUNT} jobs with "
        f"tasks always waiting, factors for cores and memory drawn apart, guards on, "
        f"usage lagging {USAGE_LAG_S} s, {DURATION_S} s, seed {SEED}",
        figures=(
            make_ratio_figure(
                "cores in use",
                compute_mean_cores(declared),
                compute_mean_cores(measured),
                at_least=1.2,
            ),
            make_ratio_figure(
                "cores in use, larger of declared and measured",
                compute_mean_cores(declared),
                compute_mean_cores(larger),
            ),
            make_figure(
                "worker-seconds committed beyond capacity",
                measured.overcommitted_worker_s,
                baseline=declared.overcommitted_worker_s,
                at_most=0,
            ),
            make_figure(
                "part of attempts killed for want of memory",
                measured.killed / measured.ended,
                baseline=declared.killed / declared.ended,
            ),
        ),
    )
