"""Measures how many starts a broken worker takes before it is quarantined."""

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
DURATION_S = 300
STARTS_PER_S = 2
SEEDS = 50
FAILURE_RATES = (0.1, 0.3, 0.6, 1.0)


def run_fleet(seed, broken_workers, failure_rate, guarded=True):
    """Simulate tasks of three jobs; return starts and quarantines by worker.

    Parameters
    ----------
    seed : int
    broken_workers : int
        Number of workers on which every task fails.
    failure_rate : float
        Failure rate of the first job.
    guarded : bool
        Whether the quarantine decision limits starts.
    """
    log, random = HealthLog(), Random(seed)
    starts_taken, quarantined = [0] * WORKERS, [False] * WORKERS
    for second in range(DURATION_S):
        started = []
        for worker in range(WORKERS):
            starts = allow_starts(log, worker, float(second)).starts
            for _ in range(min(STARTS_PER_S, starts) if guarded else STARTS_PER_S):
                job = random.randrange(3)
                if guarded and judge_job(log, job) is JobStanding.BAD:
                    continue
                record_start(log, worker, job, float(second))
                starts_taken[worker] += not quarantined[worker]
                started.append((worker, job))
        for worker, job in started:
            if worker < broken_workers or (job == 0 and random.random() < failure_rate):
                record_failure(log, worker, job, float(second))
            else:
                record_success(log, worker, job)
        for worker in range(WORKERS):
            standing = judge_worker(log, worker, float(second))
            if guarded and standing is WorkerStanding.QUARANTINED:
                quarantined[worker] = True
    return starts_taken, quarantined


@register_measurement("quarantine", "A worker that fails all it starts, and bad jobs")
def run():
    """Count starts before a quarantine, and healthy workers quarantined wrongly."""
    worst = max(run_fleet(seed, 1, 0.0)[0][0] for seed in range(SEEDS))
    worst_unguarded = max(
        run_fleet(seed, 1, 0.0, guarded=False)[0][0] for seed in range(3)
    )
    figures = [
        make_figure(
            "starts at a broken worker before quarantine, worst of all seeds",
            worst,
            baseline=worst_unguarded,
            at_most=5,
        )
    ]
    quarantined_count = sum(run_fleet(seed, 1, 0.0)[1][0] for seed in range(SEEDS))
    figures.append(
        make_figure(
            "broken workers quarantined, of all seeds",
            quarantined_count,
            at_least=SEEDS,
        )
    )
    for rate in FAILURE_RATES:
        wrongly_quarantined = sum(
            sum(run_fleet(seed, 0, rate)[1]) for seed in range(SEEDS // 5)
        )
        figures.append(
            make_figure(
                f"sound workers quarantined by a job that fails at {rate:.0%}",
                wrongly_quarantined,
                at_most=0,
            )
        )
    worst_with_bad_job = max(
        max(run_fleet(seed, 3, 1.0)[0][:3]) for seed in range(SEEDS // 5)
    )
    figures.append(
        make_figure(
            "the same with 3 broken workers and a bad job",
            worst_with_bad_job,
            at_most=5,
        )
    )
    return Report(
        baseline="none: the worker goes on taking starts",
        setting=f"{WORKERS} workers, {STARTS_PER_S} starts a second each, "
        f"{DURATION_S} s, {SEEDS} seeds ({SEEDS // 5} for bad jobs)",
        figures=tuple(figures),
    )
