"""Starts that a broken worker takes, against no quarantine."""

from random import Random

from fuchsiascale.decisions import (
    HealthLog,
    JobStanding,
    WorkerStanding,
    allow_starts,
    judge_job,
    judge_worker,
    record_failure,
    record_start,
    record_success,
)
from measurements._report import Report, make_figure, register_measurement

WORKERS = 33
SECONDS = 300
STARTS_PER_S = 2
SEEDS = 50
BAD_RATES = (0.1, 0.3, 0.6, 1.0)


def run_fleet(seed, broken, bad_rate, guarded=True):
    """Run tasks of three jobs; return starts and quarantines by worker.

    Parameters
    ----------
    seed : int
    broken : int
        Number of workers that fail all they start.
    bad_rate : float
        Failure rate of the first job.
    guarded : bool
        Whether the decision is asked.
    """
    log, random = HealthLog(), Random(seed)
    taken, quarantined = [0] * WORKERS, [False] * WORKERS
    for second in range(SECONDS):
        started = []
        for worker in range(WORKERS):
            starts = allow_starts(log, worker, float(second)).starts
            for _ in range(min(STARTS_PER_S, starts) if guarded else STARTS_PER_S):
                job = random.randrange(3)
                if guarded and judge_job(log, job) is JobStanding.BAD:
                    continue
                record_start(log, worker, job, float(second))
                taken[worker] += not quarantined[worker]
                started.append((worker, job))
        for worker, job in started:
            if worker < broken or (job == 0 and random.random() < bad_rate):
                record_failure(log, worker, job, float(second))
            else:
                record_success(log, worker, job)
        for worker in range(WORKERS):
            standing = judge_worker(log, worker, float(second))
            if guarded and standing is WorkerStanding.QUARANTINED:
                quarantined[worker] = True
    return taken, quarantined


@register_measurement("quarantine", "A worker that fails all it starts, and bad jobs")
def run():
    """Count starts before quarantine, and sound workers quarantined."""
    worst = max(run_fleet(seed, 1, 0.0)[0][0] for seed in range(SEEDS))
    blind = max(run_fleet(seed, 1, 0.0, guarded=False)[0][0] for seed in range(3))
    figures = [
        make_figure(
            "starts at a broken worker before quarantine, worst of all seeds",
            worst,
            baseline=blind,
            at_most=5,
        )
    ]
    caught = sum(run_fleet(seed, 1, 0.0)[1][0] for seed in range(SEEDS))
    figures.append(
        make_figure("broken workers quarantined, of all seeds", caught, at_least=SEEDS)
    )
    for rate in BAD_RATES:
        wrong = sum(sum(run_fleet(seed, 0, rate)[1]) for seed in range(SEEDS // 5))
        figures.append(
            make_figure(
                f"sound workers quarantined by a job that fails at {rate:.0%}",
                wrong,
                at_most=0,
            )
        )
    both = max(max(run_fleet(seed, 3, 1.0)[0][:3]) for seed in range(SEEDS // 5))
    figures.append(
        make_figure("the same with 3 broken workers and a bad job", both, at_most=5)
    )
    return Report(
        baseline="none: the worker goes on taking starts",
        setting=f"{WORKERS} workers, {STARTS_PER_S} starts a second each, "
        f"{SECONDS} s, {SEEDS} seeds ({SEEDS // 5} for bad jobs)",
        figures=tuple(figures),
    )
