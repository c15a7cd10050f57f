"""Follows a table of the store."""

import asyncio

import logbook
from returns.result import Failure, Success

__all__ = ["TableWatch"]

FOLLOW_WAIT_MS = 1_000
"""How long the store holds a poll open; an open connection may have gone silent."""
FAILURE_PAUSE_S = 0.25
"""Pause after a call that failed."""


class TableWatch:
    """Follows a table of the store and keeps its rows of one partition.

    The feed brings each version of a row. Where one poll brought several of the same
    row, the rows are read as they are instead, until a read shows nothing new.

    Parameters
    ----------
    store : StorePort
        The store.
    table : str
        The table; its rows lie in the empty partition.
    on_change : callable
        Called with all rows by key after each change.
    clock : Clock
        Source of time.
    pause_s : float
        Least time between two polls.
    wait_ms : int
        How long the store holds a poll open.

    Attributes
    ----------
    store_version : int or None
        Version of the store up to which changes have been seen; None before the first.
    current_as_of_s : float or None
        When the rows were last known to be the newest.
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
        self._read_next = True
        self.log = logbook.Logger("watch")

    async def run(self):
        """Follow the table until cancelled."""
        while True:
            await self.poll()

    async def poll(self):
        """Ask the store once, and pause; returns whether it answered."""
        began_s = self.clock.monotonic()
        ok = await (self._read_all() if self._read_next else self._follow())
        if not ok:
            await asyncio.sleep(FAILURE_PAUSE_S)
        passed_s = self.clock.monotonic() - began_s
        await asyncio.sleep(max(0.0, self._pause_s - passed_s))
        return ok

    def resume_from(self, store_version):
        """Follow from a version of the store that somebody else has seen."""
        self.store_version = max(self.store_version or 0, store_version)
        self._read_next = False

    async def _read_all(self):
        began_s = self.clock.monotonic()
        found = await self.store.read(self.table, "")
        if isinstance(found, Failure):
            self._note_failure("table not read", began_s, found.failure())
            return False
        self.current_as_of_s = began_s
        changes = found.unwrap()
        rows = {row.place.key: row for row in changes.rows}
        self._read_next = self.store_version is not None and rows != self.rows
        self.store_version = changes.version
        if rows != self.rows:
            self.rows = rows
            self._on_change(rows)
        return True

    async def _follow(self):
        began_s = self.clock.monotonic()
        reply = await self.store.follow(self.table, self.store_version, self._wait_ms)
        if isinstance(reply, Success):
            self.current_as_of_s = began_s
            changes = reply.unwrap()
            self.store_version = max(self.store_version, changes.version)
            places = [row.place for row in changes.rows]
            self._read_next = len(set(places)) < len(places)
            self._take(changes.rows)
            return True
        self._note_failure("table read again", began_s, reply.failure())
        return await self._read_all()

    def _note_failure(self, message, began_s, error):
        self.log.info(
            message,
            extra={
                "table": self.table,
                "why": repr(error)[:120],
                "took_s": round(self.clock.monotonic() - began_s, 3),
                "position": self.store_version,
            },
        )

    def _take(self, rows):
        rows = [row for row in rows if not row.place.partition]
        for row in rows:
            if row.deleted:
                self.rows.pop(row.place.key, None)
            else:
                self.rows[row.place.key] = row
        if rows:
            self._on_change(self.rows)
