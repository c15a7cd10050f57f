"""Small fakes of the ports that coordination parts use."""

import asyncio

from returns.result import Failure, Success

from fuchsiascale.platform import Conflict, Row, ScanPage, Unavailable, Uncertain


class MemoryTables:
    """A table service in memory, with faults that a test sets.

    Attributes
    ----------
    down : bool
        Whether no call is answered.
    lost_replies : int
        How many of the next transactions take effect without a reply.
    reads : list of str
        Tables that were read, in order.
    """

    def __init__(self):
        self.rows = {}
        self.down = False
        self.lost_replies = 0
        self.reads = []
        self.before_transact = None
        self.after_lost_reply = None

    async def get(self, table, key):
        """Read one row."""
        self.reads.append(table)
        await asyncio.sleep(0)
        if self.down:
            return Failure(Unavailable(detail="down"))
        return Success(self.rows.get((table, key)))

    async def scan(self, table, prefix, after="", limit=500):
        """Read rows in key order."""
        self.reads.append(table)
        await asyncio.sleep(0)
        if self.down:
            return Failure(Unavailable(detail="down"))
        found = sorted(
            (row.key, row)
            for (name, key), row in self.rows.items()
            if name == table and key.startswith(prefix) and key > after
        )
        rows = tuple(row for _, row in found[:limit])
        more = rows[-1].key if len(found) > limit else ""
        return Success(ScanPage(rows=rows, next_after=more))

    async def transact(self, transaction):
        """Apply conditional writes, or none."""
        if self.before_transact is not None:
            hook, self.before_transact = self.before_transact, None
            await hook()
        if self.down:
            return Failure(Unavailable(detail="down"))
        writes = (*transaction.puts, *transaction.deletes)
        conflicts = tuple(
            row
            for write in writes
            if (row := self._read(write.table, write.key)).version
            != write.expected_version
        )
        if conflicts:
            return Failure(Conflict(rows=conflicts))
        written = tuple(
            self._put(transaction.write_id, put) for put in transaction.puts
        )
        for delete in transaction.deletes:
            del self.rows[delete.table, delete.key]
        if self.lost_replies:
            self.lost_replies -= 1
            if self.after_lost_reply is not None:
                await self.after_lost_reply()
            return Failure(Uncertain(detail="reply lost"))
        return Success(written)

    def _read(self, table, key):
        absent = Row(table=table, key=key, version=0, write_id="", value=b"null")
        return self.rows.get((table, key), absent)

    def _put(self, write_id, put):
        row = Row(
            table=put.table,
            key=put.key,
            version=put.expected_version + 1,
            write_id=write_id,
            value=put.value,
        )
        self.rows[put.table, put.key] = row
        return row
