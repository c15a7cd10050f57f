"""Reads of the status of a job and of the list of jobs."""

import msgspec
from returns.result import Failure, Success

from fuchsiascale.api import ChunkStatus, JobList, JobStatus, JobSummary, TaskStatus
from fuchsiascale.coordination import JOBS_TABLE, JobRecord
from fuchsiascale.ids import JobId
from fuchsiascale.pipelines._job_errors import JobUnavailable
from fuchsiascale.pipelines._job_rows import STORE_DOWN, read_job_rows
from fuchsiascale.states import TaskState

__all__ = ["list_jobs", "read_job", "summarize_state"]


async def read_job(job, ports):
    """Read the durable state of a job.

    Returns
    -------
    Result of JobStatus
    """
    found = await read_job_rows(job, ports)
    if not isinstance(found, Success):
        return found
    record = found.unwrap().job.record
    chunks = [stored.record for stored in found.unwrap().chunks]
    statuses = tuple(
        ChunkStatus(chunk=chunk.chunk, shard=chunk.shard, tasks=_describe_tasks(chunk))
        for chunk in chunks
    )
    return Success(
        JobStatus(
            spec=record.spec,
            state=summarize_state(record, chunks),
            submitted_ms=record.submitted_ms,
            cancelled=record.cancelled,
            chunks=statuses,
        )
    )


async def list_jobs(ports, after="", limit=100):
    """Read a page of jobs, ordered by id.

    Returns
    -------
    Result of JobList
    """
    result = await ports.tables.scan(JOBS_TABLE, "", after, limit)
    if not isinstance(result, Success):
        return Failure(JobUnavailable(job=JobId(""), detail=STORE_DOWN))
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


def summarize_state(record, chunks):
    """Return the state of a job as one word.

    Examples
    --------
    >>> from fuchsiascale.coordination import JobSpec
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


def _describe_tasks(chunk):
    return tuple(
        msgspec.convert(task, TaskStatus, from_attributes=True) for task in chunk.tasks
    )
