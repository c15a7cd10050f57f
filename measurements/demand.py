"""Cores in use when declared sizes are wrong, against trusting them."""

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
JOBS = 40
SECONDS = 600
WARM_S = 120
LAG_S = 5
MIN_FACTOR, MAX_FACTOR = 0.2, 5.0
SEED = 5


class Job:
    """A stream of equal tasks whose declared size is wrong by a factor."""

    def __init__(self, number, random):
        self.kind = f"k{number}"
        self.cores = random.choice((500, 1_000, 2_000))
        self.memory_mb = random.choice((500, 2_000, 4_000))
        self.declared = Resources(
            millicores=int(self.cores * draw_factor(random)),
            memory_mb=int(self.memory_mb * draw_factor(random)),
        )
        self.estimate = UsageEstimate()
        self.run_s = random.randint(20, 60)


def draw_factor(random):
    """Draw a factor evenly on the logarithmic scale."""
    return MIN_FACTOR * (MAX_FACTOR / MIN_FACTOR) ** random.random()


class Attempt:
    """A running task, held by a guard to what is committed."""

    def __init__(self, job, worker, committed, now_s, random):
        self.job, self.worker, self.committed = job, worker, committed
        wanted = int(job.cores * random.uniform(0.8, 1.2))
        memory_mb = int(job.memory_mb * random.uniform(0.8, 1.0))
        self.killed = memory_mb > committed.memory_mb
        self.used = Resources(
            millicores=min(wanted, committed.millicores),
            memory_mb=min(memory_mb, committed.memory_mb),
        )
        self.slow = wanted / max(1, self.used.millicores)
        run_s = 1.0 if self.killed else job.run_s * self.slow
        self.began_s, self.end_s = now_s, now_s + run_s
        self.reported = False


class Model:
    """Workers that always have tasks waiting."""

    def __init__(self, policy):
        self.policy, self.random = policy, Random(SEED)
        self.jobs = [Job(number, self.random) for number in range(JOBS)]
        self.index = FreeIndex(
            WorkerFree(worker=number, free=CAPACITY) for number in range(WORKERS)
        )
        self.running, self.in_use, self.killed, self.ended = [], 0.0, 0, 0
        self.over_capacity = 0

    def run(self):
        """Run to the end; return the model."""
        for second in range(SECONDS):
            self._end(second)
            self._report(second)
            self._start(second)
            if second >= WARM_S:
                self._measure()
        return self

    def _end(self, now_s):
        kept = []
        for attempt in self.running:
            if attempt.end_s > now_s:
                kept.append(attempt)
                continue
            self.index.release(attempt.worker, attempt.committed)
            self._observe(attempt)
            self.killed += attempt.killed and now_s >= WARM_S
            self.ended += now_s >= WARM_S
        self.running = kept

    def _report(self, now_s):
        for attempt in self.running:
            if not attempt.reported and now_s - attempt.began_s >= LAG_S:
                attempt.reported = True
                self._observe(attempt)

    def _observe(self, attempt):
        job = attempt.job
        job.estimate = observe_usage(job.estimate, attempt.committed, attempt.used)

    def _start(self, now_s):
        misses = 0
        while misses < JOBS // 2:
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

    def _measure(self):
        committed = {}
        for attempt in self.running:
            self.in_use += 0 if attempt.killed else attempt.used.millicores
            before = committed.get(attempt.worker, Resources())
            committed[attempt.worker] = before + attempt.committed
        self.over_capacity += sum(
            not total.fits(CAPACITY) for total in committed.values()
        )


def mean_cores(model):
    """Return the mean of the cores in use."""
    return model.in_use / (SECONDS - WARM_S) / 1_000


@register_measurement("demand", "Declared sizes wrong by 0.2 to 5 times")
def run():
    """Compare committing the estimated demand to committing the declared."""
    declared, larger = Model("declared").run(), Model("larger").run()
    measured = Model("measured").run()
    return Report(
        baseline="trust the declared size",
        setting=f"{WORKERS} workers of 32 cores and 125 GB, {JOBS} jobs with tasks "
        f"always waiting, factors for cores and memory drawn apart, guards on, usage "
        f"lagging {LAG_S} s, {SECONDS} s, seed {SEED}",
        figures=(
            make_ratio_figure(
                "cores in use", mean_cores(declared), mean_cores(measured), at_least=1.2
            ),
            make_ratio_figure(
                "cores in use, larger of declared and measured",
                mean_cores(declared),
                mean_cores(larger),
            ),
            make_figure(
                "worker-seconds committed beyond capacity",
                measured.over_capacity,
                baseline=declared.over_capacity,
                at_most=0,
            ),
            make_figure(
                "part of attempts killed for want of memory",
                measured.killed / measured.ended,
                baseline=declared.killed / declared.ended,
            ),
        ),
    )
