"""Group commits: chunk rows that queue up during a transaction share the next one."""

import asyncio

from returns.result import Failure, Success

from fuchsiascale.coordination._records import CHUNKS_TABLE
from fuchsiascale.coordination._row_writes import (
    build_chunk_transaction,
    build_write_id,
    find_version,
)
from fuchsiascale.platform import Conflict, Unavailable

__all__ = ["MAX_GROUP_ROWS", "GroupCommitter"]

# Each write takes up to two rows of a transaction.
MAX_GROUP_ROWS = 48


class GroupCommitter:
    """Writes all queued chunk rows in one transaction, one transaction at a time.

    Parameters
    ----------
    instance : InstanceId
    tables : Tables
    random : random.Random
        Source of write ids.

    Notes
    -----
    Under load a transaction contains all rows queued during the previous one, so
    the number of transactions does not grow with the number of completions.
    """

    def __init__(self, instance, tables, random):
        self._instance = instance
        self._tables = tables
        self._random = random
        self._queue = []
        self._task = None

    async def write_chunk(self, write):
        """Write one chunk row.

        Parameters
        ----------
        write : ChunkWrite

        Returns
        -------
        Result of int
            The new version of the row, or the error of the tables port.
        """
        future = asyncio.get_running_loop().create_future()
        self._queue.append((write, future))
        if self._task is None:
            self._task = asyncio.create_task(self._drain())
        return await future

    async def close(self):
        """Wait until all queued writes have a result."""
        while self._task is not None:
            await asyncio.wait([self._task])

    async def _drain(self):
        try:
            while self._queue:
                group = self._queue[:MAX_GROUP_ROWS]
                del self._queue[: len(group)]
                await self._commit_group(group)
        finally:
            self._task = None
            for _, future in self._queue:
                _resolve(future, Failure(Unavailable(detail="the committer stopped")))
            self._queue = []

    async def _commit_group(self, group):
        try:
            result = await self._transact([write for write, _ in group])
        except Exception:
            for _, future in group:
                _resolve(future, Failure(Unavailable(detail="the write failed")))
            raise
        if isinstance(result, Success):
            _resolve_versions(group, result.unwrap())
        elif isinstance(result.failure(), Conflict) and len(group) > 1:
            for entry in group:
                await self._commit_group([entry])
        else:
            for _, future in group:
                _resolve(future, result)

    async def _transact(self, writes):
        write_id = build_write_id(self._instance, self._random)
        return await self._tables.transact(build_chunk_transaction(writes, write_id))


def _resolve_versions(group, rows):
    for write, future in group:
        version = find_version(rows, CHUNKS_TABLE, write.record.chunk)
        _resolve(future, Success(version))


def _resolve(future, result):
    if not future.done():
        future.set_result(result)
