"""Stand-in of the users' row store, which follows its published protocol.

It runs inside a test; `RowStoreFaults` holds its faults.
"""

import asyncio
import base64
import json

from aiohttp import web

__all__ = ["RowStoreFaults", "RowStoreStandin"]

MAX_ENTRIES = 100
PAGE_ROWS = 500
MAX_ROW_BYTES = 65_536


class RowStoreFaults:
    """Faults in force; counts apply to the next calls.

    Attributes
    ----------
    refuse : int
        HTTP status with which calls are refused; 0 for none.
    lose_answers : int
        Number of calls that are applied but not answered.
    delay_writes : int
        Number of writes that are not answered, and applied by `apply_delayed`.
    silent : bool
        Whether calls are neither answered nor applied.
    pieces : int
        Number of pieces in which an answer is sent, one every `piece_pause_s`; 0 for
        an answer in one piece.
    piece_pause_s : float
        Pause between two pieces, in seconds.
    pieces_sent : int
        Number of pieces after which the rest of an answer is withheld; 0 for no limit.
    """

    def __init__(self):
        self.refuse = 0
        self.lose_answers = 0
        self.delay_writes = 0
        self.silent = False
        self.pieces = 0
        self.piece_pause_s = 0.1
        self.pieces_sent = 0


class RowStoreStandin:
    """HTTP interface to rows in memory."""

    def __init__(self):
        self.rows = {}
        self.version = 0
        self.changes = []
        self.oldest_version = 0
        self.faults = RowStoreFaults()
        self.delayed = []
        self.calls = []
        self._changed = asyncio.Event()

    def make_application(self):
        """Build the aiohttp application."""
        application = web.Application(client_max_size=2 << 20)
        base = "/fuchsiascale"
        application.router.add_post(f"{base}/rows-tx", self._apply_faults(self._commit))
        application.router.add_get(f"{base}/rows-get", self._apply_faults(self._read))
        application.router.add_get(
            f"{base}/rows-feed", self._apply_faults(self._read_feed)
        )
        return application

    def put(self, table, part, key, value):
        """Write a row on behalf of the operator or a worker."""
        raw = value if isinstance(value, bytes) else json.dumps(value).encode()
        self._apply([self._entry(table, part, key, raw)], [])

    def drop(self, table, part, key):
        """Remove a row on behalf of the operator or a worker."""
        self._apply([], [{"table": table, "part": part, "key": key}])

    def forget_history(self):
        """Discard the history of changes."""
        self.oldest_version = self.version
        self.changes.clear()

    def apply_delayed(self):
        """Apply the delayed writes whose conditions hold; return their statuses."""
        delayed, self.delayed = self.delayed, []
        return [self._transact(body)[0] for body in delayed]

    def _entry(self, table, part, key, raw):
        return {
            "table": table,
            "part": part,
            "key": key,
            "value": base64.b64encode(raw).decode(),
        }

    def _apply_faults(self, handler):
        async def handle(request):
            self.calls.append(request.path.rpartition("/")[2])
            faults = self.faults
            if faults.silent:
                await asyncio.sleep(3600)
            if faults.refuse:
                return web.Response(status=faults.refuse)
            answer = await handler(request)
            if faults.lose_answers and request.method == "POST":
                faults.lose_answers -= 1
                request.transport.abort()
            if faults.pieces:
                return await self._send_slowly(request, answer)
            return answer

        return handle

    async def _send_slowly(self, request, answer):
        """Send an answer in pieces, as over a slow link."""
        faults, body = self.faults, answer.body
        size = -(-len(body) // faults.pieces)
        response = web.StreamResponse(status=answer.status)
        response.content_length = len(body)
        await response.prepare(request)
        for number in range(faults.pieces):
            if faults.pieces_sent and number >= faults.pieces_sent:
                await asyncio.sleep(3600)
            await response.write(body[number * size : (number + 1) * size])
            await asyncio.sleep(faults.piece_pause_s)
        return response

    async def _commit(self, request):
        body = await request.json()
        if self.faults.delay_writes:
            self.faults.delay_writes -= 1
            self.delayed.append(body)
            request.transport.abort()
            return web.Response()
        status, answer = self._transact(body)
        return web.json_response(answer, status=status)

    def _transact(self, body):
        entries = body["expected_rev"] + body["write"] + body["remove"]
        if len(entries) > MAX_ENTRIES or not self._is_well_formed(body):
            return 400, {"error": "a table, key, version or value is missing"}
        for expected in body["expected_rev"]:
            row = self.rows.get(_row_key(expected))
            if (row["version_id"] if row else 0) != expected["version_id"]:
                row_keys = [_row_key(entry) for entry in body["expected_rev"]]
                current_rows = [
                    self.rows[row_key] for row_key in row_keys if row_key in self.rows
                ]
                return 412, {"rows": current_rows, "version_id": self.version}
        self._apply(body["write"], body["remove"])
        return 200, {"version_id": self.version, "now_ms": 0}

    def _is_well_formed(self, body):
        conditions = all(
            type(entry["version_id"]) is int for entry in body["expected_rev"]
        )
        return conditions and all(map(_has_valid_value, body["write"]))

    def _apply(self, writes, removals):
        self.version += 1
        for entry in writes:
            row = {**entry, "version_id": self.version}
            self.rows[_row_key(entry)] = row
            self.changes.append(row)
        for entry in removals:
            if self.rows.pop(_row_key(entry), None) is not None:
                tombstone = {"version_id": self.version, "deleted": True}
                self.changes.append({**entry, **tombstone})
        self._changed.set()
        self._changed = asyncio.Event()

    async def _read(self, request):
        query = request.query
        first, last = query.get("from", ""), query.get("target")
        rows = [
            row
            for (table, part, key), row in sorted(self.rows.items())
            if (table, part) == (query["table"], query["part"])
            and key >= first
            and (last is None or key < last)
        ]
        limit = min(PAGE_ROWS, int(query.get("limit", PAGE_ROWS)))
        return web.json_response(
            {
                "rows": rows[:limit],
                "has_more": len(rows) > limit,
                "version_id": self.version,
                "now_ms": 0,
            }
        )

    async def _read_feed(self, request):
        after = int(request.query["after"])
        if after < self.oldest_version:
            return web.Response(status=410)
        wait_s = int(request.query.get("wait_ms", 0)) / 1000
        try:
            async with asyncio.timeout(wait_s):
                while not (
                    rows := self._list_changes_after(request.query["table"], after)
                ):
                    await self._changed.wait()
        except TimeoutError:
            rows = []
        return web.json_response(
            {
                "rows": rows[:PAGE_ROWS],
                "has_more": len(rows) > PAGE_ROWS,
                "version_id": self.version,
                "now_ms": 0,
            }
        )

    def _list_changes_after(self, table, after):
        return [
            row
            for row in self.changes
            if row["table"] == table and row["version_id"] > after
        ]


def _has_valid_value(entry):
    value = entry.get("value")
    return isinstance(value, str) and len(value) * 3 // 4 <= MAX_ROW_BYTES


def _row_key(entry):
    return entry["table"], entry["part"], entry["key"]
