"""Cancellation of jobs."""

import asyncio

import msgspec
from returns.result import Failure, Success

from fuchsiascale.coordination import (
    ASSIGNMENTS_TABLE,
    CHUNKS_TABLE,
    JOBS_TABLE,
    Assignment,
    build_put,
    format_assignment_key,
)
from fuchsiascale.pipelines._job_errors import JobUnavailable, convert_store_error
from fuchsiascale.pipelines._job_rows import (
    notify_chunks,
    read_chunk_row,
    read_job_rows,
    transact_puts,
)
from fuchsiascale.platform import Conflict

__all__ = ["cancel_job"]

MAX_TRIES = 16
MAX_CONCURRENT_WRITES = 8


async def cancel_job(job, ports):
    """Cancel a job, so that the owners of its shards start no more of its tasks.

    Parameters
    ----------
    job : JobId
    ports : JobPorts

    Returns
    -------
    Result of JobRecord
        The record of the cancelled job; tasks that finish nevertheless stay
        finished. The call may be repeated after any error.

    Notes
    -----
    The job's row is written first. Each chunk is written in a transaction of its
    own, so that a chunk whose tasks keep ending does not delay the others. Its
    assignment row is written too, so that an owner that misses the notice sees
    the new version in its next scan.
    """
    for _ in range(MAX_TRIES):
        found = await read_job_rows(job, ports)
        if not isinstance(found, Success):
            return found
        rows = found.unwrap()
        job_result = await _write_cancelled_job(rows.job, ports)
        if isinstance(job_result, Success):
            return await _cancel_chunks(job_result.unwrap(), rows.chunks, ports)
        if not isinstance(job_result.failure(), Conflict):
            return Failure(convert_store_error(job, job_result.failure()))
    return _build_contention_failure(job)


async def _write_cancelled_job(stored, ports):
    if stored.record.cancelled:
        return Success(stored.record)
    cancelled = msgspec.structs.replace(stored.record, cancelled=True)
    put = build_put(JOBS_TABLE, cancelled.spec.job, stored.version, cancelled)
    result = await transact_puts(ports, [put])
    return result.map(lambda _: cancelled)


async def _cancel_chunks(record, chunks, ports):
    limit = asyncio.Semaphore(MAX_CONCURRENT_WRITES)

    async def cancel(stored):
        async with limit:
            return await _write_cancelled_chunk(record.spec.job, stored, ports)

    results = await asyncio.gather(*(cancel(stored) for stored in chunks))
    failed = [result for result in results if not isinstance(result, Success)]
    if failed:
        return failed[0]
    written = [result.unwrap() for result in results]
    await notify_chunks(ports, [chunk for chunk in written if chunk is not None])
    return Success(record)


async def _write_cancelled_chunk(job, stored, ports):
    """Write one chunk as cancelled; return its record, or None if unchanged."""
    for _ in range(MAX_TRIES):
        chunk = stored.record
        if chunk is None or chunk.final or chunk.cancelled:
            return Success(None)
        cancelled = msgspec.structs.replace(chunk, cancelled=True)
        result = await _write_chunk(cancelled, stored.version, ports)
        if isinstance(result, Success):
            return Success(cancelled)
        if not isinstance(result.failure(), Conflict):
            return Failure(convert_store_error(job, result.failure()))
        read = await read_chunk_row(chunk.chunk, ports)
        if not isinstance(read, Success):
            return Failure(convert_store_error(job, read.failure()))
        stored = read.unwrap()
    return _build_contention_failure(job)


async def _write_chunk(chunk, version, ports):
    key = format_assignment_key(chunk.shard, chunk.chunk)
    row = await ports.tables.get(ASSIGNMENTS_TABLE, key)
    if not isinstance(row, Success):
        return row
    found = row.unwrap()
    if found is None:
        return Failure(Conflict(detail="the chunk ended or moved meanwhile"))
    assignment = Assignment(chunk=chunk.chunk)
    puts = (
        build_put(CHUNKS_TABLE, chunk.chunk, version, chunk),
        build_put(ASSIGNMENTS_TABLE, key, found.version, assignment),
    )
    return await transact_puts(ports, puts)


def _build_contention_failure(job):
    detail = "the job's rows kept changing; send it again"
    return Failure(JobUnavailable(job=job, detail=detail))
