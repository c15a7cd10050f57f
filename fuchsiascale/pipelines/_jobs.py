"""Submission of jobs: check, assign, record, notify."""

import re

import msgspec
from returns.result import Failure, Success

from fuchsiascale.coordination import (
    ASSIGNMENTS_TABLE,
    CHUNKS_TABLE,
    JOBS_TABLE,
    Assignment,
    ChunkRecord,
    JobRecord,
    JobSpec,
    TaskRecord,
    build_put,
    can_hold,
    format_assignment_key,
    format_chunk_id,
)
from fuchsiascale.pipelines._job_errors import (
    JobConflict,
    JobRejected,
    JobUnavailable,
    JobUncertain,
    convert_store_error,
)
from fuchsiascale.pipelines._job_rows import (
    STORE_DOWN,
    notify_chunks,
    read_job_row,
    transact_puts,
)
from fuchsiascale.pipelines._job_spread import (
    MAX_JOB_TASKS,
    explain_misfit,
    spread_tasks,
)
from fuchsiascale.platform import Conflict, Message, Resources

__all__ = [
    "MAX_PAYLOAD_BYTES",
    "SUBMIT_FILTERS",
    "SUBMIT_ORDER",
    "Submission",
    "find_problem",
    "register_submit_filter",
    "submit_job",
]

MAX_PAYLOAD_BYTES = 65_536
JOB_NAME = re.compile(r"[A-Za-z0-9][A-Za-z0-9._-]{0,99}")

SUBMIT_FILTERS = {}
SUBMIT_ORDER = ("check", "assign", "record", "notify")


class Submission(Message):
    """A job on its way through the filters.

    Parameters
    ----------
    recorded : bool
        Whether this submission wrote the rows.
    existing : JobRecord or None
        Record of an equal job that was accepted before.
    """

    spec: JobSpec
    submitted_ms: int = 0
    chunks: tuple[ChunkRecord, ...] = ()
    recorded: bool = False
    existing: JobRecord | None = None


def register_submit_filter(name):
    """Register a filter of the submission pipeline under a name.

    Parameters
    ----------
    name : str

    Returns
    -------
    callable
        Decorator of ``async (Submission, JobPorts) -> Result[Submission, JobError]``.
    """

    def register(function):
        SUBMIT_FILTERS[name] = function
        return function

    return register


async def submit_job(spec, ports):
    """Submit a job, which is accepted once its rows are in the store.

    Parameters
    ----------
    spec : JobSpec
    ports : JobPorts

    Returns
    -------
    Result of JobRecord
        The record, possibly of an equal job accepted before, or a JobError.
    """
    submission = Submission(spec=spec, submitted_ms=ports.clock.wall_ms())
    for name in SUBMIT_ORDER:
        result = await SUBMIT_FILTERS[name](submission, ports)
        if not isinstance(result, Success):
            return result
        submission = result.unwrap()
    return Success(submission.existing or _build_job(submission))


@register_submit_filter("check")
async def check_job(submission, ports):
    """Reject an invalid job and an id that a different job uses."""
    spec = submission.spec
    problem = find_problem(spec)
    if problem:
        return Failure(JobRejected(job=spec.job, detail=problem))
    stored = await read_job_row(spec.job, ports)
    if not isinstance(stored, Success):
        return Failure(JobUnavailable(job=spec.job, detail=STORE_DOWN))
    record = stored.unwrap().record
    return (
        Success(submission) if record is None else _resolve_repeat(submission, record)
    )


@register_submit_filter("assign")
async def assign_job(submission, ports):
    """Divide the tasks into chunks of one shard each; reject a job that fits none."""
    if submission.existing is not None:
        return Success(submission)
    spec = submission.spec
    offers = [
        offer
        for offer in ports.offers()
        if spec.failure_domain in ("", offer.failure_domain)
    ]
    if not offers:
        where = spec.failure_domain or "any failure domain"
        detail = f"no shard of {where} is known here"
        return Failure(JobUnavailable(job=spec.job, detail=detail))
    problem = explain_misfit(spec.demand, offers)
    if problem:
        return Failure(JobRejected(job=spec.job, detail=problem))
    suitable = [offer for offer in offers if can_hold(offer, spec.demand)]
    chunks = _build_chunks(submission, spread_tasks(spec, suitable))
    return Success(msgspec.structs.replace(submission, chunks=chunks))


@register_submit_filter("record")
async def record_job(submission, ports):
    """Write job, chunks and assignments in one transaction."""
    if submission.existing is not None:
        return Success(submission)
    spec = submission.spec
    puts = [build_put(JOBS_TABLE, spec.job, 0, _build_job(submission))]
    for chunk in submission.chunks:
        puts.append(build_put(CHUNKS_TABLE, chunk.chunk, 0, chunk))
        key = format_assignment_key(chunk.shard, chunk.chunk)
        assignment = Assignment(chunk=chunk.chunk)
        puts.append(build_put(ASSIGNMENTS_TABLE, key, 0, assignment))
    result = await transact_puts(ports, puts)
    if isinstance(result, Success):
        return Success(msgspec.structs.replace(submission, recorded=True))
    if isinstance(result.failure(), Conflict):
        return await _resolve_conflict(submission, ports)
    return Failure(convert_store_error(spec.job, result.failure()))


@register_submit_filter("notify")
async def notify_owners(submission, ports):
    """Notify the owners of the shards."""
    if submission.recorded:
        await notify_chunks(ports, submission.chunks)
    return Success(submission)


def find_problem(spec):
    """Return what is wrong with a job in any fleet, or an empty string.

    Examples
    --------
    >>> find_problem(JobSpec(job="j", team="t", kind="k", tasks=0))
    'tasks is 0; it must be from 1 to 12288'
    """
    if not JOB_NAME.fullmatch(spec.job):
        return "job must be 1 to 100 letters, digits, '.', '_' or '-'"
    if not 1 <= spec.tasks <= MAX_JOB_TASKS:
        return f"tasks is {spec.tasks}; it must be from 1 to {MAX_JOB_TASKS}"
    if spec.run_ms < 0 or spec.deadline_ms < 0:
        return "run_ms and deadline_ms must not be negative"
    if len(spec.payload.encode()) > MAX_PAYLOAD_BYTES:
        return f"payload is longer than {MAX_PAYLOAD_BYTES} bytes"
    if not Resources().fits(spec.demand):
        return "demand must not be negative"
    if spec.demand == Resources():
        return "demand must not be zero in all resources"
    return ""


def _build_chunks(submission, shares):
    spec = submission.spec
    return tuple(
        ChunkRecord(
            chunk=format_chunk_id(spec.job, number),
            spec=spec,
            failure_domain=share.offer.failure_domain,
            shard=share.offer.shard,
            submitted_ms=submission.submitted_ms,
            tasks=tuple(TaskRecord(index=index) for index in range(share.tasks)),
        )
        for number, share in enumerate(shares)
    )


def _build_job(submission):
    return JobRecord(
        spec=submission.spec,
        chunks=tuple(chunk.chunk for chunk in submission.chunks),
        submitted_ms=submission.submitted_ms,
    )


def _resolve_repeat(submission, record):
    job = submission.spec.job
    if record.spec != submission.spec:
        detail = f"job {job} exists with a different body"
        return Failure(JobConflict(job=job, detail=detail))
    return Success(msgspec.structs.replace(submission, existing=record))


async def _resolve_conflict(submission, ports):
    job = submission.spec.job
    stored = await read_job_row(job, ports)
    if not isinstance(stored, Success):
        return Failure(JobUncertain(job=job, detail=STORE_DOWN))
    record = stored.unwrap().record
    if record is None:
        detail = "rows of another job's chunks are in the way"
        return Failure(JobUnavailable(job=job, detail=detail))
    return _resolve_repeat(submission, record)
