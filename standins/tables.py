"""Stand-in of the table service: rows, scans and conditional transactions."""

import asyncio

from aiohttp import web
from sortedcontainers import SortedDict

from fuchsiascale.platform import Row, ScanPage, Transaction, TransactionReply
from standins._journal import Event
from standins._server import (
    Standin,
    decode_body,
    encode_answer,
    parse_arguments,
    run_standin,
)

__all__ = ["TableStore", "main"]

MAX_SCAN_ROWS = 1000


class TableStore:
    """Rows in memory; each write of a key increments its version.

    The version of a removed row is retained, so that a row that is written again
    does not repeat a version.
    """

    def __init__(self):
        self._tables = {}
        self._versions = {}

    def get(self, table, key):
        """Return a row, or None if it is absent."""
        return self._tables.get(table, {}).get(key)

    def scan(self, table, prefix, after, limit):
        """Return a page of the rows whose keys start with a prefix."""
        rows = []
        keys = self._tables.get(table, SortedDict())
        start = max(prefix, after)
        for key in keys.irange(minimum=start, inclusive=(start != after, True)):
            if not key.startswith(prefix):
                break
            if len(rows) == limit:
                return ScanPage(rows=tuple(rows), next_after=rows[-1].key)
            rows.append(keys[key])
        return ScanPage(rows=tuple(rows))

    def transact(self, transaction):
        """Apply a transaction if every row has its expected version."""
        conditions = transaction.puts + transaction.deletes + transaction.checks
        conflicts = tuple(
            self._describe(condition)
            for condition in conditions
            if self._describe(condition).version != condition.expected_version
        )
        if conflicts:
            return TransactionReply(applied=False, conflicts=conflicts)
        versions = tuple(
            self._put(put, transaction.write_id) for put in transaction.puts
        )
        for delete in transaction.deletes:
            self._raise_version(delete)
            del self._tables[delete.table][delete.key]
        return TransactionReply(applied=True, versions=versions)

    def _describe(self, change):
        row = self.get(change.table, change.key)
        if row is not None:
            return row
        return Row(table=change.table, key=change.key, version=0)

    def _put(self, put, write_id):
        row = Row(
            table=put.table,
            key=put.key,
            version=self._raise_version(put),
            write_id=write_id,
            value=put.value,
        )
        self._tables.setdefault(put.table, SortedDict())[put.key] = row
        return row.version

    def _raise_version(self, change):
        row_key = (change.table, change.key)
        self._versions[row_key] = self._versions.get(row_key, 0) + 1
        return self._versions[row_key]


class TablesStandin:
    """HTTP interface to a `TableStore`."""

    def __init__(self, options):
        self.standin = Standin("tables", options)
        self._store = TableStore()
        self._latency_s = options.latency_ms / 1000
        router = self.standin.app.router
        router.add_get("/v1/rows/{table}/{key:.+}", self._get)
        router.add_get("/v1/rows/{table}", self._scan)
        router.add_post("/v1/transactions", self._transact)

    async def _get(self, request):
        await asyncio.sleep(self._latency_s)
        row = self._store.get(request.match_info["table"], request.match_info["key"])
        if row is None:
            return web.Response(status=404)
        return encode_answer(row)

    async def _scan(self, request):
        await asyncio.sleep(self._latency_s)
        page = self._store.scan(
            request.match_info["table"],
            request.query.get("prefix", ""),
            request.query.get("after", ""),
            min(int(request.query.get("limit", MAX_SCAN_ROWS)), MAX_SCAN_ROWS),
        )
        return encode_answer(page)

    async def _transact(self, request):
        transaction = await decode_body(request, Transaction)
        await asyncio.sleep(self._latency_s)
        reply = self._store.transact(transaction)
        if reply.applied:
            self._record(transaction)
        return encode_answer(reply)

    def _record(self, transaction):
        changes = transaction.puts + transaction.deletes
        keys = tuple(f"{change.table}/{change.key}" for change in changes)
        self.standin.journal.record(
            Event.COMMITTED, write_id=transaction.write_id, keys=keys
        )


def add_arguments(parser):
    """Add the arguments of this stand-in."""
    parser.add_argument("--latency-ms", type=float, default=0.0)


def main():
    """Run the stand-in."""
    options = parse_arguments(__doc__, add_arguments)
    run_standin(TablesStandin(options).standin)


if __name__ == "__main__":
    main()
