"""Tests of quarantine."""

from random import Random

from fuchsiascale.decisions import (
    HealthLog,
    JobStanding,
    WorkerStanding,
    allow_starts,
    judge_job,
    judge_worker,
    record_failure,
    record_lost,
    record_start,
    record_success,
)
from fuchsiascale.testing import collect_functions

load_tests = collect_functions(__name__)

HEALTHY_WORKERS = tuple(f"healthy-{number}" for number in range(8))


def run_fleet(fails, seconds, workers, jobs, seed):
    """Simulate a fleet that starts all allowed attempts each second and ends them.

    Returns
    -------
    tuple
        Starts of each worker before its quarantine, quarantined workers, health log.
    """
    log, random = HealthLog(), Random(seed)
    starts_before_quarantine = dict.fromkeys(workers, 0)
    quarantined = set()
    for second in range(seconds):
        started = []
        for worker in workers:
            allowance = allow_starts(log, worker, float(second))
            for _ in range(min(2, allowance.starts)):
                job = random.choice(jobs)
                if judge_job(log, job) is JobStanding.BAD:
                    continue
                record_start(log, worker, job, float(second))
                starts_before_quarantine[worker] += worker not in quarantined
                started.append((worker, job))
        for worker, job in started:
            if not fails(worker, job, random):
                record_success(log, worker, job)
            else:
                record_failure(log, worker, job, float(second))
        for worker in workers:
            if judge_worker(log, worker, second) is WorkerStanding.QUARANTINED:
                quarantined.add(worker)
    return starts_before_quarantine, quarantined, log


def test_worker_that_fails_everything_is_quarantined_within_five_starts():
    for seed in range(20):
        workers = (*HEALTHY_WORKERS, "broken")
        starts, quarantined, _ = run_fleet(
            lambda worker, job, random: worker == "broken",
            60,
            workers,
            ("a", "b", "c"),
            seed,
        )
        assert quarantined == {"broken"}
        assert starts["broken"] <= 5


def test_bad_job_quarantines_no_worker():
    for rate in (0.1, 0.3, 0.6, 1.0):
        for seed in range(5):
            _, quarantined, log = run_fleet(
                lambda worker, job, random, rate=rate: (
                    job == "bad" and random.random() < rate
                ),
                60,
                HEALTHY_WORKERS,
                ("bad", "good"),
                seed,
            )
            assert quarantined == set(), rate
            if rate == 1.0:
                assert judge_job(log, "bad") is JobStanding.BAD


def test_fleet_with_only_bad_jobs_suspends_no_worker_for_long():
    _, quarantined, log = run_fleet(
        lambda worker, job, random: True, 60, HEALTHY_WORKERS, ("bad",), 5
    )
    assert quarantined == set()
    assert judge_job(log, "bad") is JobStanding.BAD
    assert all(allow_starts(log, worker, 99.0).starts > 0 for worker in HEALTHY_WORKERS)


def make_log_with_broken_worker():
    log = HealthLog()
    for worker in HEALTHY_WORKERS * 3:
        record_success(log, worker, "job")
    for _ in range(5):
        record_failure(log, "broken", "job", 0.0)
    return log


def test_trial_after_quarantine_decides_on_the_worker():
    log = make_log_with_broken_worker()
    assert allow_starts(log, "broken", 59.0).starts == 0
    assert allow_starts(log, "broken", 61.0).starts == 1
    record_start(log, "broken", "job", 61.0)
    assert allow_starts(log, "broken", 62.0).starts == 0
    record_failure(log, "broken", "job", 62.0)
    assert allow_starts(log, "broken", 62.0 + 119.0).starts == 0
    assert allow_starts(log, "broken", 62.0 + 121.0).starts == 1
    record_start(log, "broken", "job", 184.0)
    record_success(log, "broken", "job")
    assert allow_starts(log, "broken", 200.0).standing is WorkerStanding.HEALTHY


def test_lost_attempt_is_no_evidence():
    log = HealthLog()
    for _ in range(10):
        record_start(log, "worker", "job", 0.0)
        record_lost(log, "worker")
    allowance = allow_starts(log, "worker", 0.0)
    assert (allowance.starts, allowance.standing) == (4, WorkerStanding.HEALTHY)


def test_long_tasks_do_not_keep_an_unproven_worker_idle():
    log = HealthLog()
    for _ in range(4):
        record_start(log, "worker", "job", 0.0)
    assert allow_starts(log, "worker", 4.0).starts == 0
    assert allow_starts(log, "worker", 6.0).starts == 4
