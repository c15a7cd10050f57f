"""Follows a table of the store."""

import asyncio

import logbook
from returns.result import Failure, Success

__all__ = ["TableWatch"]

FOLLOW_WAIT_MS = 1_000
"""Time for which the store holds a poll open; short, as an open connection may have
gone silent."""
FAILURE_PAUSE_S = 0.25
"""Pause after a failed call."""


class TableWatch:
    """Follows a table of the store and keeps its rows of one partition.

    The store's feed sends every version of a row. Once a poll returns several versions
    of the same row, the table is read instead, until a read finds no change.

    Parameters
    ----------
    store : StorePort
        The store.
    table : str
        The table; its rows are in the partition with the empty name.
    on_change : callable
        Called with all rows by key after each change.
    clock : Clock
        Source of time.
    pause_s : float
        Minimum time between two polls.
    wait_ms : int
        Time for which the store holds a poll open, in milliseconds.

    Attributes
    ----------
    store_version : int or None
        Version of the store up to which changes were received; None before the first.
    current_as_of_s : float or None
        Time at which the rows were last known to be the newest; None before the first.
    """

    def __init__(
        self, store, table, on_change, clock, pause_s=0.0, wait_ms=FOLLOW_WAIT_MS
    ):
        self.clock = clock
        self.store = store
        self.table = table
        self.rows = {}
        self.store_version = None
        self.current_as_of_s = None
        self._on_change = on_change
        self._pause_s = pause_s
        self._wait_ms = wait_ms
        self._full_read_due = True
        self.log = logbook.Logger("watch")

    async def run(self):
        """Follow the table until cancelled."""
        while True:
            await self.poll()

    async def poll(self):
        """Poll the store once, then pause; return whether the store answered."""
        began_s = self.clock.monotonic()
        ok = await (self._read_all() if self._full_read_due else self._follow())
        if not ok:
            await asyncio.sleep(FAILURE_PAUSE_S)
        passed_s = self.clock.monotonic() - began_s
        await asyncio.sleep(max(0.0, self._pause_s - passed_s))
        return ok

    def resume_from(self, store_version):
        """Follow the table from a version of the store that a peer has received."""
        self.store_version = max(self.store_version or 0, store_version)
        self._full_read_due = False

    async def _read_all(self):
        began_s = self.clock.monotonic()
        found = await self.store.read(self.table, "")
        if isinstance(found, Failure):
            self._log_failure("reading the table failed", began_s, found.failure())
            return False
        self.current_as_of_s = began_s
        changes = found.unwrap()
        rows = {row.place.key: row for row in changes.rows}
        self._full_read_due = self.store_version is not None and rows != self.rows
        self.store_version = changes.version
        if rows != self.rows:
            self.rows = rows
            self._on_change(rows)
        return True

    async def _follow(self):
        began_s = self.clock.monotonic()
        reply = await self.store.follow(self.table, self.store_version, self._wait_ms)
        if isinstance(reply, Success):
            changes = reply.unwrap()
            if changes.is_complete:
                self.current_as_of_s = began_s
            self.store_version = max(self.store_version, changes.version)
            row_keys = [row.place for row in changes.rows]
            self._full_read_due = len(set(row_keys)) < len(row_keys)
            self._apply_rows(changes.rows)
            return True
        self._log_failure(
            "following the table failed; reading it", began_s, reply.failure()
        )
        return await self._read_all()

    def _log_failure(self, message, began_s, error):
        self.log.info(
            message,
            extra={
                "table": self.table,
                "why": repr(error)[:120],
                "took_s": round(self.clock.monotonic() - began_s, 3),
                "position": self.store_version,
            },
        )

    def _apply_rows(self, rows):
        rows = [row for row in rows if not row.place.partition]
        for row in rows:
            if row.deleted:
                self.rows.pop(row.place.key, None)
            else:
                self.rows[row.place.key] = row
        if rows:
            self._on_change(self.rows)
