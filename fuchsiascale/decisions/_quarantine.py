"""Quarantine of workers on which attempts fail.

Notes
-----
A failure is evidence against the worker only as far as tasks of the same job do not
fail on other workers. The likelihood of a series of failures on a healthy worker is
the product of the jobs' failure rates on all other workers. If it is small, the
worker is quarantined; this is a sequential likelihood test [1]_. A series of failures
without enough evidence only suspends the worker for a short time. When a quarantine
or a suspension ends, a trial of one attempt decides whether the worker is healthy.

A worker without a success since its last failure gets few starts at a time. Attempts
that have run for ``SURVIVAL_S`` do not count towards that limit, so that long tasks do
not keep the worker idle.

References
----------
.. [1] A. Wald, "Sequential Tests of Statistical Hypotheses", Ann. Math.
   Statist. 16(2), 1945.
"""

from enum import Enum

import msgspec

from fuchsiascale.ids import JobId, WorkerId
from fuchsiascale.platform import Message

__all__ = [
    "HealthLog",
    "JobStanding",
    "JobHistory",
    "StartAllowance",
    "WorkerStanding",
    "WorkerHistory",
    "allow_starts",
    "forget_job",
    "is_trial_overdue",
    "judge_job",
    "judge_worker",
    "record_failure",
    "record_lost",
    "record_start",
    "record_success",
    "is_suitable_trial",
]

QUARANTINE_LIKELIHOOD = 1e-5
SUSPENSION_LIKELIHOOD = 0.05
MIN_QUARANTINE_FAILURES = 3
MIN_SUSPENSION_FAILURES = 4
UNPROVEN_STARTS = 4
PROVEN_STARTS = 1_024
SURVIVAL_S = 5.0
MIN_EVIDENCE_ATTEMPTS = 4
MAX_TRIAL_FAILURE_RATE = 0.2
SUSPENSION_S = 10.0
QUARANTINE_S = 60.0
MAX_QUARANTINE_S = 960.0
TRIAL_WAIT_S = 60.0
MIN_BAD_JOB_FAILURES = 12
MIN_BAD_JOB_WORKERS = 3
MAX_HISTORY_WORKERS = 64


class WorkerStanding(Enum):
    """Health of a worker, which decides how many attempts it may start."""

    HEALTHY = "sound"
    SUSPENDED = "held"
    QUARANTINED = "quarantined"
    ON_TRIAL = "on-trial"


class JobStanding(Enum):
    """Health of a job, which decides how many of its tasks may start."""

    HEALTHY = "sound"
    SUSPECT = "suspect"
    BAD = "bad"


class _Outcomes(msgspec.Struct):
    """Counts of finished and failed attempts."""

    finished: int = 0
    failed: int = 0


class JobHistory(msgspec.Struct):
    """Outcomes of a job's attempts, in total and by worker."""

    total: _Outcomes = msgspec.field(default_factory=_Outcomes)
    by_worker: dict[WorkerId, _Outcomes] = {}


class WorkerHistory(msgspec.Struct):
    """Recent history of a worker.

    Parameters
    ----------
    failures : dict of JobId to int
        Failures by job since the last success.
    starts : list of float
        Monotonic times of recent starts that have not ended, in seconds.
    proven : bool
        Whether the last attempt that finished or failed was a success.
    excluded_until_s : float
        Monotonic time at which a suspension or quarantine ends and a trial follows.
    exclusions : int
        Suspensions and quarantines since the last success.
    """

    failures: dict[JobId, int] = {}
    starts: list[float] = []
    proven: bool = False
    standing: WorkerStanding = WorkerStanding.HEALTHY
    excluded_until_s: float = 0.0
    exclusions: int = 0


class HealthLog(msgspec.Struct):
    """Histories of workers and jobs."""

    workers: dict[WorkerId, WorkerHistory] = {}
    jobs: dict[JobId, JobHistory] = {}


class StartAllowance(Message):
    """Number of attempts that a worker may start now, and its standing."""

    starts: int
    standing: WorkerStanding


def record_start(log, worker, job, now_s):
    """Record that an attempt was sent to a worker."""
    _find_worker(log, worker).starts.append(now_s)
    _find_job(log, job)


def record_lost(log, worker):
    """Record the end of an attempt that is no evidence about its worker or job."""
    _end_start(_find_worker(log, worker))


def record_success(log, worker, job):
    """Record that an attempt finished; its worker counts as healthy.

    Parameters
    ----------
    log : HealthLog
        Changed in place.
    worker : WorkerId
    job : JobId
    """
    history = _find_worker(log, worker)
    _end_start(history)
    history.failures = {}
    history.proven = True
    history.standing = WorkerStanding.HEALTHY
    history.exclusions = 0
    _count(log, worker, job, finished=1)


def record_failure(log, worker, job, now_s):
    """Record that an attempt failed, and return its worker's standing.

    Parameters
    ----------
    log : HealthLog
        Changed in place.
    worker : WorkerId
    job : JobId
    now_s : float
        Monotonic time, in seconds.

    Returns
    -------
    WorkerStanding

    Examples
    --------
    >>> log = HealthLog()
    >>> for number in range(20):
    ...     record_success(log, f"healthy-{number}", "job")
    >>> [record_failure(log, "broken", "job", 0.0).value for _ in range(4)]
    ['sound', 'sound', 'sound', 'quarantined']
    """
    history = _find_worker(log, worker)
    _end_start(history)
    history.proven = False
    history.failures[job] = history.failures.get(job, 0) + 1
    _count(log, worker, job, failed=1)
    if history.standing is WorkerStanding.ON_TRIAL:
        _end_trial(log, worker, job, history, now_s)
    return judge_worker(log, worker, now_s)


def judge_worker(log, worker, now_s):
    """Return a worker's current standing.

    Parameters
    ----------
    log : HealthLog
        The worker's standing in it is updated.
    worker : WorkerId
    now_s : float
        Monotonic time, in seconds.

    Returns
    -------
    WorkerStanding
    """
    history = _find_worker(log, worker)
    if history.standing in (WorkerStanding.QUARANTINED, WorkerStanding.SUSPENDED):
        if now_s >= history.excluded_until_s:
            history.standing = WorkerStanding.ON_TRIAL
            return history.standing
        if history.standing is WorkerStanding.QUARANTINED:
            return history.standing
    if history.standing is WorkerStanding.ON_TRIAL:
        return history.standing
    _apply_evidence(log, worker, history, now_s)
    return history.standing


def allow_starts(log, worker, now_s):
    """Return how many attempts a worker may start now.

    Parameters
    ----------
    log : HealthLog
    worker : WorkerId
    now_s : float
        Monotonic time, in seconds.

    Returns
    -------
    StartAllowance

    Examples
    --------
    >>> allow_starts(HealthLog(), "new", 0.0).starts
    4
    """
    standing = judge_worker(log, worker, now_s)
    history = log.workers[worker]
    history.starts = [at_s for at_s in history.starts if now_s - at_s < SURVIVAL_S]
    limit = _limit_starts(history, standing)
    starts = max(0, limit - len(history.starts))
    return StartAllowance(starts=starts, standing=standing)


def judge_job(log, job):
    """Return a job's standing: bad if it failed on every worker that ran it.

    Parameters
    ----------
    log : HealthLog
    job : JobId

    Returns
    -------
    JobStanding
        A suspect job should run one task at a time; a bad one should not run.

    Examples
    --------
    >>> log = HealthLog()
    >>> for number in range(12):
    ...     _ = record_failure(log, f"w{number % 3}", "job", 0.0)
    >>> judge_job(log, "job").value
    'bad'
    """
    history = log.jobs.get(job)
    if history is None or history.total.finished:
        return JobStanding.HEALTHY
    failed_at = sum(1 for outcomes in history.by_worker.values() if outcomes.failed)
    if failed_at < MIN_BAD_JOB_WORKERS:
        return JobStanding.HEALTHY
    if history.total.failed < MIN_BAD_JOB_FAILURES:
        return JobStanding.SUSPECT
    return JobStanding.BAD


def is_suitable_trial(log, worker, job):
    """Return whether a job's outcome would be evidence about a worker.

    Parameters
    ----------
    log : HealthLog
    worker : WorkerId
    job : JobId

    Returns
    -------
    bool
        True if the job rarely fails on other workers.
    """
    rate, ended = _measure_rate_elsewhere(log, worker, job)
    return ended >= MIN_EVIDENCE_ATTEMPTS and rate <= MAX_TRIAL_FAILURE_RATE


def is_trial_overdue(log, worker, now_s):
    """Return whether a worker has waited too long for a suitable trial task.

    Any task may then serve as the trial. Otherwise work would never start if no other
    worker were left to distinguish healthy jobs from bad ones.

    Parameters
    ----------
    log : HealthLog
    worker : WorkerId
    now_s : float
        Monotonic time, in seconds.

    Returns
    -------
    bool

    Examples
    --------
    >>> log = HealthLog()
    >>> for _ in range(4):
    ...     _ = record_failure(log, "only", "job", 0.0)
    >>> allow_starts(log, "only", MAX_QUARANTINE_S).standing.value
    'on-trial'
    >>> is_trial_overdue(log, "only", MAX_QUARANTINE_S + TRIAL_WAIT_S)
    True
    """
    history = _find_worker(log, worker)
    waiting = history.standing is WorkerStanding.ON_TRIAL
    return waiting and now_s >= history.excluded_until_s + TRIAL_WAIT_S


def forget_job(log, job):
    """Discard the history of a job that has ended."""
    log.jobs.pop(job, None)


def _find_worker(log, worker):
    history = log.workers.get(worker)
    if history is None:
        history = log.workers[worker] = WorkerHistory(failures={}, starts=[])
    return history


def _end_start(history):
    if history.starts:
        history.starts.pop()


def _find_job(log, job):
    history = log.jobs.get(job)
    if history is None:
        history = log.jobs[job] = JobHistory(by_worker={})
    return history


def _count(log, worker, job, finished=0, failed=0):
    history = _find_job(log, job)
    history.total.finished += finished
    history.total.failed += failed
    here = history.by_worker.get(worker)
    if here is None:
        if len(history.by_worker) >= MAX_HISTORY_WORKERS:
            return
        here = history.by_worker[worker] = _Outcomes()
    here.finished += finished
    here.failed += failed


def _limit_starts(history, standing):
    if standing in (WorkerStanding.SUSPENDED, WorkerStanding.QUARANTINED):
        return 0
    if standing is WorkerStanding.ON_TRIAL:
        return 1
    if history.proven:
        return PROVEN_STARTS
    return max(1, UNPROVEN_STARTS - sum(history.failures.values()))


def _measure_rate_elsewhere(log, worker, job):
    """Return a job's failure rate on other workers, and the attempts counted."""
    history = log.jobs.get(job)
    if history is None:
        return 0.5, 0
    here = history.by_worker.get(worker) or _Outcomes()
    failed = history.total.failed - here.failed
    ended = failed + history.total.finished - here.finished
    return (failed + 1.0) / (ended + 2.0), ended


def _apply_evidence(log, worker, history, now_s):
    likelihood = 1.0
    failures = 0
    unknown = 0
    for job, count in history.failures.items():
        rate, ended = _measure_rate_elsewhere(log, worker, job)
        likelihood *= rate**count
        failures += count
        unknown += count if ended < MIN_EVIDENCE_ATTEMPTS else 0
    if failures >= MIN_QUARANTINE_FAILURES and likelihood < QUARANTINE_LIKELIHOOD:
        _exclude(history, WorkerStanding.QUARANTINED, now_s)
    elif failures >= MIN_SUSPENSION_FAILURES and (
        unknown or likelihood < SUSPENSION_LIKELIHOOD
    ):
        if history.standing is WorkerStanding.HEALTHY:
            _exclude(history, WorkerStanding.SUSPENDED, now_s)
    elif history.standing is WorkerStanding.SUSPENDED:
        history.standing = WorkerStanding.HEALTHY


def _end_trial(log, worker, job, history, now_s):
    if is_suitable_trial(log, worker, job):
        _exclude(history, WorkerStanding.QUARANTINED, now_s)
    else:
        _exclude(history, WorkerStanding.SUSPENDED, now_s)


def _exclude(history, standing, now_s):
    base_s = SUSPENSION_S if standing is WorkerStanding.SUSPENDED else QUARANTINE_S
    history.standing = standing
    history.excluded_until_s = now_s + min(
        MAX_QUARANTINE_S, base_s * 2**history.exclusions
    )
    history.exclusions = min(history.exclusions + 1, 10)
