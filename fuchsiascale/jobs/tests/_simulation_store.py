"""The platform's store in memory, and its client in one process."""

import asyncio
from enum import Enum

from returns.result import Failure, Success

from fuchsiascale.jobs import (
    Busy,
    Conflict,
    HistoryTruncated,
    NoAnswer,
    StoredRow,
    VersionedRows,
)

__all__ = ["STORE", "Store", "StoreClient", "StoreState"]

STORE = "store"
"""Name of the store as an endpoint of the network."""
USUAL_COMMIT_S = 0.01
SLOW_COMMIT_S = 0.3
MAX_QUEUE_S = 1.0
"""Commits that wait in a partition beyond this time are refused."""
CONNECT_TIMEOUT_S = 0.4
COMMIT_TIMEOUT_S = 2.5
READ_TIMEOUTS_S = (0.7, 1.5)
FOLLOW_MARGIN_S = 0.7
"""Timeouts of the product's HTTP client."""


class StoreState(Enum):
    """How the store answers."""

    USUAL = "usual"
    SLOW = "slow"
    REFUSING = "refusing"
    SILENT = "silent"


class Store:
    """Rows with versions, and the history of their changes."""

    def __init__(self):
        self.state = StoreState.USUAL
        self.rows = {}
        self.version = 0
        self._changes = []
        self._oldest_version = 0
        self._free_s = {}
        self._changed = asyncio.Event()

    def put(self, row_key, value):
        """Write a row, or remove it if ``value`` is None."""
        self._apply(((row_key, value),))

    def drop_history(self):
        """Discard all changes so far."""
        self._changes.clear()
        self._oldest_version = self.version

    def _apply(self, changes):
        self.version += 1
        for row_key, value in changes:
            row = StoredRow(row_key, value or b"", self.version, value is None)
            if value is not None:
                self.rows[row_key] = row
            elif self.rows.pop(row_key, None) is None:
                continue
            self._changes.append(row)
        self._changed.set()
        self._changed = asyncio.Event()

    async def commit(self, expected, changes):
        """Apply changes in the turn of their partition, if their conditions hold."""
        if (failure := self._find_failure()) is not None:
            return failure
        now_s = asyncio.get_running_loop().time()
        is_slow = self.state is StoreState.SLOW
        free_s = max(now_s, self._free_s.get(expected[0].place.partition, 0.0))
        if free_s - now_s > MAX_QUEUE_S:
            return Failure(Busy("429"))
        free_s += SLOW_COMMIT_S if is_slow else USUAL_COMMIT_S
        self._free_s[expected[0].place.partition] = free_s
        await asyncio.sleep(free_s - now_s)
        found = [self.rows.get(condition.place) for condition in expected]
        for condition, row in zip(expected, found, strict=True):
            if condition.version != (row.version if row else 0):
                return Failure(Conflict(tuple(row for row in found if row)))
        self._apply((change.place, change.value) for change in changes)
        return Success(self.version)

    async def read(self, table, partition, first, last):
        """Return the rows of a range of keys."""
        if (failure := self._find_failure()) is not None:
            return failure
        if self.state is StoreState.SLOW:
            await asyncio.sleep(SLOW_COMMIT_S)
        rows = [
            row
            for row_key, row in self.rows.items()
            if (row_key.table, row_key.partition) == (table, partition)
            and first <= row_key.key
            and (not last or row_key.key < last)
        ]
        rows.sort(key=lambda row: row.place.key)
        return Success(VersionedRows(tuple(rows), self.version))

    async def follow(self, table, after, wait_ms):
        """Return the changes of a table since a version; wait for one."""
        end_s = asyncio.get_running_loop().time() + wait_ms / 1000
        while True:
            if (failure := self._find_failure()) is not None:
                return failure
            if after < self._oldest_version:
                return Failure(HistoryTruncated())
            rows = self._list_changes(table, after)
            left_s = end_s - asyncio.get_running_loop().time()
            if rows or left_s <= 0:
                return Success(VersionedRows(rows, self.version))
            try:
                async with asyncio.timeout(left_s):
                    await self._changed.wait()
            except TimeoutError:
                pass

    def _list_changes(self, table, after):
        found = []
        for row in reversed(self._changes):
            if row.version <= after:
                break
            if row.place.table == table:
                found.append(row)
        return tuple(reversed(found))

    def _find_failure(self):
        """Return the reply of a store that refuses, or answers nothing; else None."""
        if self.state is StoreState.REFUSING:
            return Failure(Busy("503"))
        return Failure(NoAnswer()) if self.state is StoreState.SILENT else None


class StoreClient:
    """The store as called by one process; see `StorePort`."""

    def __init__(self, network, name, store, silence):
        self._silence = silence
        self._network = network
        self._name = name
        self._store = store
        self._read_timeout_s = READ_TIMEOUTS_S[0]

    async def commit(self, expected, changes):
        """See `StorePort.commit`."""
        return await self._call(
            lambda: self._store.commit(expected, changes),
            COMMIT_TIMEOUT_S,
            is_judged=False,
        )

    async def read(self, table, partition, first="", last=""):
        """See `StorePort.read`."""
        reply = await self._call(
            lambda: self._store.read(table, partition, first, last),
            self._read_timeout_s,
        )
        is_lost = isinstance(reply, Failure) and isinstance(reply.failure(), NoAnswer)
        factor = 2.0 if is_lost else 0.95
        least_s, most_s = READ_TIMEOUTS_S
        self._read_timeout_s = min(most_s, max(least_s, factor * self._read_timeout_s))
        return reply

    async def follow(self, table, after, wait_ms):
        """See `StorePort.follow`."""
        return await self._call(
            lambda: self._store.follow(table, after, wait_ms),
            wait_ms / 1000 + FOLLOW_MARGIN_S,
            held_s=wait_ms / 1000,
        )

    async def _call(self, execute, timeout_s, held_s=0.0, is_judged=True):
        call = self._silence.note_call(held_s, is_judged)
        try:
            return await self._exchange(execute, timeout_s, call)
        finally:
            self._silence.note_end(call)

    async def _exchange(self, execute, timeout_s, call):
        is_new = self._network.is_likely(0.5)
        if is_new and not self._network.connects(self._name, STORE):
            await asyncio.sleep(CONNECT_TIMEOUT_S)
            return Failure(Busy("connection failed"))

        async def answer():
            reply = await execute()
            is_silent = isinstance(reply, Failure) and isinstance(
                reply.failure(), NoAnswer
            )
            return None if is_silent else reply

        reply = await self._network.call(self._name, STORE, answer, timeout_s)
        if reply is None:
            return Failure(NoAnswer("no answer"))
        self._silence.note_answer(call)
        return reply
