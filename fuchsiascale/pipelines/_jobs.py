"""The job pipeline: submit, check, record, assign, notify; status, list, cancel."""

import msgspec
from returns.result import Failure, Success

from fuchsiascale.api import (
    ChunkStatus,
    JobList,
    JobStatus,
    JobSummary,
    TaskStatus,
    WorkNotice,
)
from fuchsiascale.coordination import (
    ASSIGNMENTS_TABLE,
    CHUNKS_TABLE,
    JOBS_TABLE,
    MAX_CHUNK_TASKS,
    Assignment,
    ChunkRecord,
    JobRecord,
    JobSpec,
    TaskRecord,
    build_put,
    build_write_id,
    count_fits,
    format_assignment_key,
    format_chunk_id,
    may_hold,
)
from fuchsiascale.ids import JobId
from fuchsiascale.platform import Conflict, Message, Resources, Transaction
from fuchsiascale.states import TaskState

__all__ = [
    "MAX_JOB_TASKS",
    "SUBMIT_FILTERS",
    "JobConflict",
    "JobError",
    "JobNotFound",
    "JobPorts",
    "JobRejected",
    "JobUnavailable",
    "JobUncertain",
    "cancel_job",
    "list_jobs",
    "read_job",
    "register_submit_filter",
    "spread_tasks",
    "submit_job",
    "summarize_state",
]

MAX_JOB_TASKS = 65_536
MAX_TRANSACTION_CHUNKS = 256
MAX_CANCEL_TRIES = 8

SUBMIT_FILTERS = {}


class JobError(Message):
    """Base of the errors of the job pipeline."""

    job: JobId
    detail: str = ""


class JobConflict(JobError):
    """Another job with a different body has this id."""


class JobRejected(JobError):
    """The job is invalid, or no worker could ever hold one of its tasks."""


class JobUnavailable(JobError):
    """The store did not answer, or no shard is known; nothing was recorded."""


class JobUncertain(JobError):
    """Whether the job was recorded is not known; repeat it under the same id."""


class JobNotFound(JobError):
    """No job has this id."""


class JobPorts(msgspec.Struct, frozen=True, kw_only=True):
    """What the job pipeline works with.

    Parameters
    ----------
    offers : callable
        ``() -> tuple of ShardOffer``, all shards known.
    notify : callable or None
        ``async (WorkNotice) -> None``; tells a shard's owner.
    """

    instance: str
    tables: object
    clock: object
    random: object
    offers: object
    notify: object = None


class Submission(Message):
    """A job on its way through the filters."""

    spec: JobSpec
    submitted_ms: int = 0
    chunks: tuple[ChunkRecord, ...] = ()
    recorded: bool = False
    standing: JobRecord | None = None


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


SUBMIT_ORDER = ("check", "assign", "record", "notify")


async def submit_job(spec, ports):
    """Accept a job: it is accepted once its rows are in the store.

    Parameters
    ----------
    spec : JobSpec
    ports : JobPorts

    Returns
    -------
    Result of JobRecord
        The record, also of an equal job accepted before; or a JobError.
    """
    submission = Submission(spec=spec, submitted_ms=ports.clock.wall_ms())
    for name in SUBMIT_ORDER:
        result = await SUBMIT_FILTERS[name](submission, ports)
        if not isinstance(result, Success):
            return result
        submission = result.unwrap()
    return Success(submission.standing or _build_job(submission))


@register_submit_filter("check")
async def check_job(submission, ports):
    """Refuse an invalid job, one that fits nowhere, and a reused id."""
    spec = submission.spec
    problem = find_problem(spec)
    if problem:
        return Failure(JobRejected(job=spec.job, detail=problem))
    standing = await _read_row(ports, JOBS_TABLE, spec.job, JobRecord)
    if not isinstance(standing, Success):
        return Failure(JobUnavailable(job=spec.job, detail="the store is down"))
    record, _ = standing.unwrap()
    if record is not None:
        return _repeat_job(submission, record)
    return Success(submission)


@register_submit_filter("assign")
async def assign_job(submission, ports):
    """Split the tasks into chunks, each of one shard."""
    if submission.standing is not None:
        return Success(submission)
    spec = submission.spec
    offers = [
        offer
        for offer in ports.offers()
        if not spec.failure_domain or offer.failure_domain == spec.failure_domain
    ]
    if not offers:
        where = spec.failure_domain or "any failure domain"
        detail = f"no shard of {where} is known here"
        return Failure(JobUnavailable(job=spec.job, detail=detail))
    problem = explain_misfit(spec.demand, offers)
    if problem:
        return Failure(JobRejected(job=spec.job, detail=problem))
    holding = [offer for offer in offers if may_hold(offer, spec.demand)]
    chunks = _build_chunks(submission, spread_tasks(spec, holding))
    return Success(msgspec.structs.replace(submission, chunks=chunks))


@register_submit_filter("record")
async def record_job(submission, ports):
    """Write job, chunks and assignments in one transaction."""
    if submission.standing is not None:
        return Success(submission)
    spec = submission.spec
    puts = [build_put(JOBS_TABLE, spec.job, 0, _build_job(submission))]
    for chunk in submission.chunks:
        puts.append(build_put(CHUNKS_TABLE, chunk.chunk, 0, chunk))
        key = format_assignment_key(chunk.shard, chunk.chunk)
        assignment = Assignment(chunk=chunk.chunk)
        puts.append(build_put(ASSIGNMENTS_TABLE, key, 0, assignment))
    result = await _transact(ports, puts)
    if isinstance(result, Success):
        return Success(msgspec.structs.replace(submission, recorded=True))
    if isinstance(result.failure(), Conflict):
        return await _resolve_conflict(submission, ports)
    return Failure(_turn_error(spec.job, result.failure()))


@register_submit_filter("notify")
async def notify_owners(submission, ports):
    """Tell the owners of the shards; a lost notice is made good by their scans."""
    if submission.recorded:
        await _notify_chunks(ports, submission.chunks)
    return Success(submission)


async def read_job(job, ports):
    """Read the durable state of a job.

    Returns
    -------
    Result of JobStatus
    """
    found = await _read_job_rows(job, ports)
    if not isinstance(found, Success):
        return found
    record, _, chunks = found.unwrap()
    statuses = tuple(
        ChunkStatus(chunk=chunk.chunk, shard=chunk.shard, tasks=_describe_tasks(chunk))
        for chunk, _ in chunks
    )
    return Success(
        JobStatus(
            spec=record.spec,
            state=summarize_state(record, [chunk for chunk, _ in chunks]),
            submitted_ms=record.submitted_ms,
            cancelled=record.cancelled,
            chunks=statuses,
        )
    )


async def list_jobs(ports, after="", limit=100):
    """Read a page of jobs in the order of their ids.

    Returns
    -------
    Result of JobList
    """
    result = await ports.tables.scan(JOBS_TABLE, "", after, limit)
    if not isinstance(result, Success):
        return Failure(JobUnavailable(job=JobId(""), detail="the store is down"))
    page = result.unwrap()
    records = [msgspec.json.decode(row.value, type=JobRecord) for row in page.rows]
    summaries = tuple(
        JobSummary(
            job=record.spec.job,
            team=record.spec.team,
            kind=record.spec.kind,
            tasks=record.spec.tasks,
            submitted_ms=record.submitted_ms,
            cancelled=record.cancelled,
        )
        for record in records
    )
    return Success(JobList(jobs=summaries, next_after=page.next_after))


async def cancel_job(job, ports):
    """Cancel a job: no task of it is started after the owners learn of it.

    Returns
    -------
    Result of JobRecord
        Recorded as cancelled; tasks that ran on to their end stay finished.

    Notes
    -----
    The assignment rows are written too, so that an owner that misses the notice
    sees their new versions in its next scan.
    """
    for _ in range(MAX_CANCEL_TRIES):
        found = await _read_job_rows(job, ports)
        if not isinstance(found, Success):
            return found
        record, version, chunks = found.unwrap()
        open_chunks = [
            (chunk, chunk_version)
            for chunk, chunk_version in chunks
            if not chunk.final and not chunk.cancelled
        ]
        cancelled = msgspec.structs.replace(record, cancelled=True)
        if record.cancelled and not open_chunks:
            return Success(record)
        result = await _write_cancellation(ports, cancelled, version, open_chunks)
        if isinstance(result, Success):
            await _notify_chunks(ports, [chunk for chunk, _ in open_chunks])
            return Success(cancelled)
        if not isinstance(result.failure(), Conflict):
            return Failure(_turn_error(job, result.failure()))
    detail = "the job's rows kept changing; try again"
    return Failure(JobUnavailable(job=job, detail=detail))


def find_problem(spec):
    """Return what is wrong with a job whatever the fleet, or an empty text.

    Examples
    --------
    >>> find_problem(JobSpec(job="j", team="t", kind="k", tasks=0))
    'tasks is 0; it must be from 1 to 65536'
    """
    if not spec.job or "/" in spec.job:
        return "job must be a name without '/'"
    if not 1 <= spec.tasks <= MAX_JOB_TASKS:
        return f"tasks is {spec.tasks}; it must be from 1 to {MAX_JOB_TASKS}"
    if spec.run_ms < 0 or spec.deadline_ms < 0:
        return "run_ms and deadline_ms must not be negative"
    if not Resources().fits(spec.demand):
        return "demand must not be negative"
    if spec.demand == Resources():
        return "demand must not be zero in all resources"
    return ""


def explain_misfit(demand, offers):
    """Return why no worker of the offered shards could hold a demand, or ''.

    A shard whose worker sizes are not known might hold anything.
    """
    if any(may_hold(offer, demand) for offer in offers):
        return ""
    shapes = [shape for offer in offers for shape in offer.shapes]
    for name in ("millicores", "memory_mb", "accelerators"):
        wanted = getattr(demand, name)
        largest = max(getattr(shape, name) for shape in shapes)
        if wanted > largest:
            return f"no worker has {wanted} {name}; the largest has {largest}"
    return "no single worker has all three resources at once"


def spread_tasks(spec, offers):
    """Divide a job's tasks over shards by what these have free.

    Parameters
    ----------
    spec : JobSpec
    offers : sequence of ShardOffer
        Shards that may hold a task; at least one.

    Returns
    -------
    tuple of tuple of (ShardOffer, int)
        Sizes of the chunks, each at most ``MAX_CHUNK_TASKS``.
    """
    left = spec.tasks
    room = [[count_fits(offer, spec.demand), offer] for offer in offers]
    room.sort(key=lambda entry: (-entry[0], entry[1].waiting, entry[1].shard))
    parts = []
    for fits, offer in room:
        share = min(left, fits)
        parts.append([offer, share])
        left -= share
    parts.sort(key=lambda part: (part[0].waiting, part[0].shard))
    per_shard = -(-left // len(parts))
    for part in parts:
        extra = min(left, max(per_shard, min(left, MAX_CHUNK_TASKS)))
        part[1] += extra
        left -= extra
    return tuple(
        (offer, min(MAX_CHUNK_TASKS, share - start))
        for offer, share in parts
        for start in range(0, share, MAX_CHUNK_TASKS)
    )


def summarize_state(record, chunks):
    """Return one word for the state of a job.

    Examples
    --------
    >>> spec = JobSpec(job="j", team="t", kind="k")
    >>> summarize_state(JobRecord(spec=spec, chunks=(), submitted_ms=0), [])
    'finished'
    """
    states = {task.state for chunk in chunks for task in chunk.tasks}
    if TaskState.WAITING in states:
        return "cancelling" if record.cancelled else "unfinished"
    if TaskState.FAILED in states:
        return "failed"
    if TaskState.CANCELLED in states:
        return "cancelled"
    return "finished"


def _build_chunks(submission, parts):
    spec = submission.spec
    return tuple(
        ChunkRecord(
            chunk=format_chunk_id(spec.job, number),
            spec=spec,
            failure_domain=offer.failure_domain,
            shard=offer.shard,
            submitted_ms=submission.submitted_ms,
            tasks=tuple(TaskRecord(index=index) for index in range(size)),
        )
        for number, (offer, size) in enumerate(parts)
    )


def _build_job(submission):
    return JobRecord(
        spec=submission.spec,
        chunks=tuple(chunk.chunk for chunk in submission.chunks),
        submitted_ms=submission.submitted_ms,
    )


def _describe_tasks(chunk):
    return tuple(
        msgspec.convert(task, TaskStatus, from_attributes=True) for task in chunk.tasks
    )


def _repeat_job(submission, record):
    job = submission.spec.job
    if record.spec != submission.spec:
        detail = f"job {job} exists with a different body"
        return Failure(JobConflict(job=job, detail=detail))
    return Success(msgspec.structs.replace(submission, standing=record))


async def _resolve_conflict(submission, ports):
    job = submission.spec.job
    standing = await _read_row(ports, JOBS_TABLE, job, JobRecord)
    if not isinstance(standing, Success):
        return Failure(JobUncertain(job=job, detail="the store is down"))
    record, _ = standing.unwrap()
    if record is None:
        return Failure(JobUnavailable(job=job, detail="rows of the job are in the way"))
    return _repeat_job(submission, record)


async def _read_job_rows(job, ports):
    standing = await _read_row(ports, JOBS_TABLE, job, JobRecord)
    if not isinstance(standing, Success):
        return Failure(JobUnavailable(job=job, detail="the store is down"))
    record, version = standing.unwrap()
    if record is None:
        return Failure(JobNotFound(job=job, detail=f"no job {job}"))
    chunks = []
    for chunk in record.chunks:
        row = await _read_row(ports, CHUNKS_TABLE, chunk, ChunkRecord)
        if not isinstance(row, Success):
            return Failure(JobUnavailable(job=job, detail="the store is down"))
        if row.unwrap()[0] is not None:
            chunks.append(row.unwrap())
    return Success((record, version, chunks))


async def _write_cancellation(ports, record, version, open_chunks):
    puts = [build_put(JOBS_TABLE, record.spec.job, version, record)]
    for chunk, chunk_version in open_chunks:
        changed = msgspec.structs.replace(chunk, cancelled=True)
        puts.append(build_put(CHUNKS_TABLE, chunk.chunk, chunk_version, changed))
        key = format_assignment_key(chunk.shard, chunk.chunk)
        row = await ports.tables.get(ASSIGNMENTS_TABLE, key)
        if not isinstance(row, Success):
            return row
        found = row.unwrap()
        if found is None:
            return Failure(Conflict(detail="the chunk ended meanwhile"))
        assignment = Assignment(chunk=chunk.chunk)
        puts.append(build_put(ASSIGNMENTS_TABLE, key, found.version, assignment))
    return await _transact(ports, puts)


async def _notify_chunks(ports, chunks):
    if ports.notify is None:
        return
    by_shard = {}
    for chunk in chunks:
        by_shard.setdefault(chunk.shard, []).append(chunk.chunk)
    for shard, names in by_shard.items():
        await ports.notify(WorkNotice(shard=shard, chunks=tuple(names)))


async def _read_row(ports, table, key, record_type):
    result = await ports.tables.get(table, key)
    if not isinstance(result, Success):
        return result
    row = result.unwrap()
    if row is None:
        return Success((None, 0))
    return Success((msgspec.json.decode(row.value, type=record_type), row.version))


async def _transact(ports, puts):
    transaction = Transaction(
        write_id=build_write_id(ports.instance, ports.random), puts=tuple(puts)
    )
    return await ports.tables.transact(transaction)


def _turn_error(job, error):
    """Return the job pipeline's error for one of the tables port."""
    kinds = {"Unavailable": JobUnavailable}
    turned = kinds.get(type(error).__name__, JobUncertain)
    return turned(job=job, detail=error.detail)
