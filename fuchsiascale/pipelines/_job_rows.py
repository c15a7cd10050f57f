"""Reads and writes of the rows of a job."""

import asyncio

import msgspec
from returns.result import Failure, Success

from fuchsiascale.api import WorkNotice
from fuchsiascale.coordination import (
    CHUNKS_TABLE,
    JOBS_TABLE,
    ChunkRecord,
    JobRecord,
    build_write_id,
)
from fuchsiascale.pipelines._job_errors import JobNotFound, JobUnavailable
from fuchsiascale.platform import Message, Transaction

__all__ = [
    "JobPorts",
    "JobRows",
    "StoredChunk",
    "StoredJob",
    "notify_chunks",
    "read_chunk_row",
    "read_job_row",
    "read_job_rows",
    "transact_puts",
]

STORE_DOWN = "the store did not answer"


class JobPorts(msgspec.Struct, frozen=True, kw_only=True):
    """External dependencies of the job pipeline.

    Parameters
    ----------
    offers : callable
        ``() -> tuple of ShardOffer``, one for each known shard.
    notify : callable or None
        ``async (WorkNotice) -> None``; notifies a shard's owner.
    """

    instance: str
    tables: object
    clock: object
    random: object
    offers: object
    notify: object = None


class StoredJob(Message):
    """A job row and its version; no record and version 0 if it is absent."""

    record: JobRecord | None = None
    version: int = 0


class StoredChunk(Message):
    """A chunk row and its version; no record and version 0 if it is absent."""

    record: ChunkRecord | None = None
    version: int = 0


class JobRows(Message):
    """A job's row and the existing rows of its chunks."""

    job: StoredJob
    chunks: tuple[StoredChunk, ...]


async def read_job_row(job, ports):
    """Read a job's row.

    Returns
    -------
    Result of StoredJob
    """
    return await _read(ports, JOBS_TABLE, job, JobRecord, StoredJob)


async def read_chunk_row(chunk, ports):
    """Read a chunk's row.

    Returns
    -------
    Result of StoredChunk
    """
    return await _read(ports, CHUNKS_TABLE, chunk, ChunkRecord, StoredChunk)


async def read_job_rows(job, ports):
    """Read a job's row and the rows of its chunks.

    Returns
    -------
    Result of JobRows
        Or ``JobNotFound`` or ``JobUnavailable``.
    """
    stored = await read_job_row(job, ports)
    if not isinstance(stored, Success):
        return Failure(JobUnavailable(job=job, detail=STORE_DOWN))
    record = stored.unwrap().record
    if record is None:
        return Failure(JobNotFound(job=job, detail=f"no job {job}"))
    reads = [read_chunk_row(chunk, ports) for chunk in record.chunks]
    found = await asyncio.gather(*reads)
    if not all(isinstance(result, Success) for result in found):
        return Failure(JobUnavailable(job=job, detail=STORE_DOWN))
    chunks = [result.unwrap() for result in found]
    present = tuple(chunk for chunk in chunks if chunk.record is not None)
    return Success(JobRows(job=stored.unwrap(), chunks=present))


async def transact_puts(ports, puts):
    """Apply conditional writes in one transaction.

    Returns
    -------
    Result
        Result of the tables port.
    """
    write_id = build_write_id(ports.instance, ports.random)
    return await ports.tables.transact(Transaction(write_id=write_id, puts=tuple(puts)))


async def notify_chunks(ports, chunks):
    """Notify the owners of chunks that their rows were written.

    An owner that misses a notice finds the rows in its next scan.

    Parameters
    ----------
    ports : JobPorts
    chunks : iterable of ChunkRecord
    """
    if ports.notify is None:
        return
    by_shard = {}
    for chunk in chunks:
        by_shard.setdefault(chunk.shard, []).append(chunk.chunk)
    notices = [
        WorkNotice(shard=shard, chunks=tuple(names))
        for shard, names in by_shard.items()
    ]
    await asyncio.gather(*(ports.notify(notice) for notice in notices))


async def _read(ports, table, key, record_type, stored_type):
    result = await ports.tables.get(table, key)
    if not isinstance(result, Success):
        return result
    row = result.unwrap()
    if row is None:
        return Success(stored_type())
    record = msgspec.json.decode(row.value, type=record_type)
    return Success(stored_type(record=record, version=row.version))
