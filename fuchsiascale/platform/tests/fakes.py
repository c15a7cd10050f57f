"""Fake table service for tests of the packages that use its port."""

import asyncio

import msgspec
from returns.result import Failure, Success

from fuchsiascale.platform import (
    Conflict,
    Row,
    ScanPage,
    TransactionReply,
    Unavailable,
    Uncertain,
)

__all__ = ["FakeTables"]

MAX_SCAN_ROWS = 500


class FakeTables:
    """An in-memory table service with faults that a test sets.

    Attributes
    ----------
    rows : dict
        Rows by table and key.
    down : bool
        Whether every call fails without effect.
    lost_replies : float
        How many of the next applied transactions lose their reply; may be infinite.
    before_transact : callable or None
        Coroutine function that runs once, before the next transaction.
    after_lost_reply : callable or None
        Coroutine function that runs after each lost reply.
    reads : list of str
        Names of the tables read, in order.
    transactions : int
        Number of transactions received, including refused ones.
    """

    def __init__(self):
        self.rows = {}
        self.down = False
        self.lost_replies = 0
        self.before_transact = None
        self.after_lost_reply = None
        self.reads = []
        self.transactions = 0
        self._removed_versions = {}

    async def get(self, table, key):
        """Read one row."""
        self.reads.append(table)
        await asyncio.sleep(0)
        if self.down:
            return Failure(Unavailable(detail="down"))
        return Success(self.rows.get((table, key)))

    async def scan(self, table, prefix, after="", limit=MAX_SCAN_ROWS):
        """Read rows in key order."""
        self.reads.append(table)
        await asyncio.sleep(0)
        if self.down:
            return Failure(Unavailable(detail="down"))
        return Success(self.read_page(table, prefix, after, limit))

    async def transact(self, transaction):
        """Apply all conditional writes or none."""
        self.transactions += 1
        await asyncio.sleep(0)
        if self.before_transact is not None:
            hook, self.before_transact = self.before_transact, None
            await hook()
        if self.down:
            return Failure(Unavailable(detail="down"))
        reply = self.apply(transaction)
        if not reply.applied:
            return Failure(Conflict(rows=reply.conflicts))
        written = tuple(self.rows[put.table, put.key] for put in transaction.puts)
        if self.lost_replies:
            self.lost_replies -= 1
            if self.after_lost_reply is not None:
                await self.after_lost_reply()
            return Failure(Uncertain(detail="reply lost"))
        return Success(written)

    def read_page(self, table, prefix, after="", limit=MAX_SCAN_ROWS):
        """Return a page of rows immediately, without faults."""
        keys = sorted(
            key
            for name, key in self.rows
            if name == table and key.startswith(prefix) and key > after
        )
        rows = tuple(self.rows[table, key] for key in keys[:limit])
        more = len(keys) > limit
        return ScanPage(rows=rows, next_after=rows[-1].key if more else "")

    def read(self, table, key, record_type):
        """Return the decoded value of a row, or None, without faults."""
        row = self.rows.get((table, key))
        return row and msgspec.json.decode(row.value, type=record_type)

    def apply(self, transaction):
        """Apply a transaction atomically, without faults."""
        conditions = transaction.puts + transaction.deletes + transaction.checks
        conflicts = tuple(
            row
            for condition in conditions
            if (row := self._describe(condition)).version != condition.expected_version
        )
        if conflicts:
            return TransactionReply(applied=False, conflicts=conflicts)
        rows = tuple(self._put(put, transaction.write_id) for put in transaction.puts)
        for delete in transaction.deletes:
            row = self.rows.pop((delete.table, delete.key))
            self._removed_versions[delete.table, delete.key] = row.version + 1
        versions = tuple(row.version for row in rows)
        return TransactionReply(applied=True, versions=versions)

    def _describe(self, change):
        """Return the row of a change; its version is 0 if it is absent."""
        absent = Row(table=change.table, key=change.key, version=0)
        return self.rows.get((change.table, change.key), absent)

    def _put(self, put, write_id):
        row_key = (put.table, put.key)
        current = self.rows.get(row_key)
        last = current.version if current else self._removed_versions.get(row_key, 0)
        row = Row(
            table=put.table,
            key=put.key,
            version=last + 1,
            write_id=write_id,
            value=put.value,
        )
        self.rows[row_key] = row
        return row
