"""Which workers get no new work because what they start fails.

Notes
-----
A failure speaks against the worker only as far as the same job's tasks do not
fail elsewhere. The likelihood of a run of failures at a sound worker is the
product of the job's failure rates at all other workers; a small one puts the
worker under quarantine. A worker that has not finished anything since its last
failure takes few starts at a time; those that have run for ``SURVIVAL_S`` do not
count, so that long tasks do not keep it idle. This is a sequential likelihood
test [1]_. A run of failures without such evidence only holds the worker back for a
while.

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
HOLD_LIKELIHOOD = 0.05
MIN_QUARANTINE_FAILURES = 3
HOLD_FAILURES = 4
UNPROVEN_STARTS = 4
PROVEN_STARTS = 1_024
SURVIVAL_S = 5.0
EVIDENCE_STARTS = 4
TRIAL_RATE = 0.2
HOLD_S = 10.0
QUARANTINE_S = 60.0
MAX_QUARANTINE_S = 960.0
TRIAL_WAIT_S = 60.0
BAD_JOB_FAILURES = 12
BAD_JOB_WORKERS = 3
MAX_TALLY_WORKERS = 64


class WorkerStanding(Enum):
    """How a worker is treated."""

    HEALTHY = "sound"
    SUSPENDED = "held"
    QUARANTINED = "quarantined"
    ON_TRIAL = "on-trial"


class JobStanding(Enum):
    """How a job is treated."""

    HEALTHY = "sound"
    SUSPECT = "suspect"
    BAD = "bad"


class _Outcomes(msgspec.Struct):
    """Counts of finished and failed attempts."""

    finished: int = 0
    failed: int = 0


class JobHistory(msgspec.Struct):
    """What became of a job's attempts, in all and by worker."""

    total: _Outcomes = msgspec.field(default_factory=_Outcomes)
    by_worker: dict[WorkerId, _Outcomes] = {}


class WorkerHistory(msgspec.Struct):
    """Recent history of a worker.

    Parameters
    ----------
    failures : dict of JobId to int
        Failures by job since the last success.
    starts : list of float
        Monotonic times of starts of late that have not ended, in seconds.
    until_s : float
        Monotonic time at which a hold or a quarantine gives way to a trial.
    terms : int
        Holds and quarantines since the last success.
    """

    failures: dict[JobId, int] = {}
    starts: list[float] = []
    proven: bool = False
    standing: WorkerStanding = WorkerStanding.HEALTHY
    until_s: float = 0.0
    terms: int = 0


class HealthLog(msgspec.Struct):
    """What has been seen of workers and jobs."""

    workers: dict[WorkerId, WorkerHistory] = {}
    jobs: dict[JobId, JobHistory] = {}


class StartAllowance(Message):
    """How many attempts a worker may be given now, and why no more."""

    starts: int
    standing: WorkerStanding


def record_start(log, worker, job, now_s):
    """Note that an attempt was sent to a worker."""
    _find_worker(log, worker).starts.append(now_s)
    _find_job(log, job)


def record_lost(log, worker):
    """Note that an attempt ended in a way that speaks for or against nobody."""
    _end_start(_find_worker(log, worker))


def record_success(log, worker, job):
    """Note that an attempt finished; the worker counts as sound.

    Parameters
    ----------
    log : HealthLog
        Changed in place.
    worker : WorkerId
    job : JobId
    """
    tally = _find_worker(log, worker)
    _end_start(tally)
    tally.failures = {}
    tally.proven = True
    tally.standing = WorkerStanding.HEALTHY
    tally.terms = 0
    _count(log, worker, job, finished=1)


def record_failure(log, worker, job, now_s):
    """Note that an attempt failed, and judge its worker.

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
    ...     record_success(log, f"sound-{number}", "job")
    >>> [record_failure(log, "broken", "job", 0.0).value for _ in range(4)]
    ['sound', 'sound', 'sound', 'quarantined']
    """
    tally = _find_worker(log, worker)
    _end_start(tally)
    tally.proven = False
    tally.failures[job] = tally.failures.get(job, 0) + 1
    _count(log, worker, job, failed=1)
    if tally.standing is WorkerStanding.ON_TRIAL:
        _end_trial(log, worker, job, tally, now_s)
    return judge_worker(log, worker, now_s)


def judge_worker(log, worker, now_s):
    """Return a worker's standing by all that is known now.

    Parameters
    ----------
    log : HealthLog
        The worker's standing in it is brought up to date.
    worker : WorkerId
    now_s : float
        Monotonic time, in seconds.

    Returns
    -------
    WorkerStanding
    """
    tally = _find_worker(log, worker)
    if tally.standing in (WorkerStanding.QUARANTINED, WorkerStanding.SUSPENDED):
        if now_s >= tally.until_s:
            tally.standing = WorkerStanding.ON_TRIAL
            return tally.standing
        if tally.standing is WorkerStanding.QUARANTINED:
            return tally.standing
    if tally.standing is WorkerStanding.ON_TRIAL:
        return tally.standing
    _apply_evidence(log, worker, tally, now_s)
    return tally.standing


def allow_starts(log, worker, now_s):
    """Return how many attempts a worker may be given now.

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
    tally = log.workers[worker]
    tally.starts = [at_s for at_s in tally.starts if now_s - at_s < SURVIVAL_S]
    limit = _limit_starts(tally, standing)
    starts = max(0, limit - len(tally.starts))
    return StartAllowance(starts=starts, standing=standing)


def judge_job(log, job):
    """Return a job's standing: bad where it fails at every worker that ran it.

    Parameters
    ----------
    log : HealthLog
    job : JobId

    Returns
    -------
    JobStanding
        A suspect job should run one task at a time, a bad one no more.

    Examples
    --------
    >>> log = HealthLog()
    >>> for number in range(12):
    ...     _ = record_failure(log, f"w{number % 3}", "job", 0.0)
    >>> judge_job(log, "job").value
    'bad'
    """
    tally = log.jobs.get(job)
    if tally is None or tally.total.finished:
        return JobStanding.HEALTHY
    failed_at = sum(1 for outcomes in tally.by_worker.values() if outcomes.failed)
    if failed_at < BAD_JOB_WORKERS:
        return JobStanding.HEALTHY
    if tally.total.failed < BAD_JOB_FAILURES:
        return JobStanding.SUSPECT
    return JobStanding.BAD


def is_suitable_trial(log, worker, job):
    """Return whether a job's success or failure would tell of a worker.

    Parameters
    ----------
    log : HealthLog
    worker : WorkerId
    job : JobId

    Returns
    -------
    bool
        True where the job seldom fails at other workers.
    """
    rate, ended = _rate_elsewhere(log, worker, job)
    return ended >= EVIDENCE_STARTS and rate <= TRIAL_RATE


def is_trial_overdue(log, worker, now_s):
    """Return whether a worker has waited too long for a task that suits its trial.

    Any task may then be its trial, lest work wait for ever where no other worker is
    left to tell good jobs from bad ones.

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
    tally = _find_worker(log, worker)
    waiting = tally.standing is WorkerStanding.ON_TRIAL
    return waiting and now_s >= tally.until_s + TRIAL_WAIT_S


def forget_job(log, job):
    """Drop what is known of a job that has ended."""
    log.jobs.pop(job, None)


def _find_worker(log, worker):
    tally = log.workers.get(worker)
    if tally is None:
        tally = log.workers[worker] = WorkerHistory(failures={}, starts=[])
    return tally


def _end_start(tally):
    if tally.starts:
        tally.starts.pop()


def _find_job(log, job):
    tally = log.jobs.get(job)
    if tally is None:
        tally = log.jobs[job] = JobHistory(by_worker={})
    return tally


def _count(log, worker, job, finished=0, failed=0):
    tally = _find_job(log, job)
    tally.total.finished += finished
    tally.total.failed += failed
    here = tally.by_worker.get(worker)
    if here is None:
        if len(tally.by_worker) >= MAX_TALLY_WORKERS:
            return
        here = tally.by_worker[worker] = _Outcomes()
    here.finished += finished
    here.failed += failed


def _limit_starts(tally, standing):
    if standing in (WorkerStanding.SUSPENDED, WorkerStanding.QUARANTINED):
        return 0
    if standing is WorkerStanding.ON_TRIAL:
        return 1
    if tally.proven:
        return PROVEN_STARTS
    return max(1, UNPROVEN_STARTS - sum(tally.failures.values()))


def _rate_elsewhere(log, worker, job):
    """Return a job's failure rate at other workers, and the attempts counted."""
    tally = log.jobs.get(job)
    if tally is None:
        return 0.5, 0
    here = tally.by_worker.get(worker) or _Outcomes()
    failed = tally.total.failed - here.failed
    ended = failed + tally.total.finished - here.finished
    return (failed + 1.0) / (ended + 2.0), ended


def _apply_evidence(log, worker, tally, now_s):
    likelihood = 1.0
    failures = 0
    unknown = 0
    for job, count in tally.failures.items():
        rate, ended = _rate_elsewhere(log, worker, job)
        likelihood *= rate**count
        failures += count
        unknown += count if ended < EVIDENCE_STARTS else 0
    if failures >= MIN_QUARANTINE_FAILURES and likelihood < QUARANTINE_LIKELIHOOD:
        _confine(tally, WorkerStanding.QUARANTINED, now_s)
    elif failures >= HOLD_FAILURES and (unknown or likelihood < HOLD_LIKELIHOOD):
        if tally.standing is WorkerStanding.HEALTHY:
            _confine(tally, WorkerStanding.SUSPENDED, now_s)
    elif tally.standing is WorkerStanding.SUSPENDED:
        tally.standing = WorkerStanding.HEALTHY


def _end_trial(log, worker, job, tally, now_s):
    if is_suitable_trial(log, worker, job):
        _confine(tally, WorkerStanding.QUARANTINED, now_s)
    else:
        _confine(tally, WorkerStanding.SUSPENDED, now_s)


def _confine(tally, standing, now_s):
    base_s = HOLD_S if standing is WorkerStanding.SUSPENDED else QUARANTINE_S
    tally.standing = standing
    tally.until_s = now_s + min(MAX_QUARANTINE_S, base_s * 2**tally.terms)
    tally.terms = min(tally.terms + 1, 10)
