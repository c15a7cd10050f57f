"""Keeps the configuration and the list of workers up to date."""

import asyncio

import logbook
from returns.result import Failure, Success

from fuchsiascale.jobs._configuration import Configuration, QueueIndex

__all__ = ["ConfigurationWatch", "TableWatch"]

FOLLOW_WAIT_MS = 1_000
"""How long the store holds a poll open; well under the 2.5 s in which a
configuration has to be in force, since an open connection may have gone silent."""
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
    """

    def __init__(self, store, table, on_change, clock, pause_s=0.0):
        self.clock = clock
        self.store = store
        self.table = table
        self.rows = {}
        self._on_change = on_change
        self._pause_s = pause_s
        self._version = None
        self._read_next = True
        self._current_s = None
        self.log = logbook.Logger("watch")

    def age_s(self):
        """Return for how long the rows may have been out of date; None: never read."""
        known = self._current_s is not None
        return self.clock.monotonic() - self._current_s if known else None

    async def run(self):
        """Follow the table until cancelled."""
        while True:
            began_s = self.clock.monotonic()
            if self._read_next:
                ok = await self._read_all()
            else:
                ok = await self._follow()
            if not ok:
                await asyncio.sleep(FAILURE_PAUSE_S)
            passed_s = self.clock.monotonic() - began_s
            await asyncio.sleep(max(0.0, self._pause_s - passed_s))

    async def _read_all(self):
        began_s = self.clock.monotonic()
        found = await self.store.read(self.table, "")
        if isinstance(found, Failure):
            self._note_failure("table not read", began_s, found.failure())
            return False
        self._current_s = began_s
        changes = found.unwrap()
        rows = {row.place.key: row for row in changes.rows}
        self._read_next = self._version is not None and rows != self.rows
        self._version = changes.version
        if rows != self.rows:
            self.rows = rows
            self._on_change(rows)
        return True

    async def _follow(self):
        began_s = self.clock.monotonic()
        reply = await self.store.follow(self.table, self._version, FOLLOW_WAIT_MS)
        if isinstance(reply, Success):
            self._current_s = began_s
            changes = reply.unwrap()
            self._version = max(self._version, changes.version)
            places = [row.place for row in changes.rows]
            self._read_next = len(set(places)) < len(places)
            self._take(changes.rows)
            return True
        self._note_failure("table read again", began_s, reply.failure())
        return await self._read_all()

    def _note_failure(self, message, began_s, error):
        """Log a poll that failed, with the age of what is known instead."""
        self.log.info(
            message,
            extra={
                "table": self.table,
                "why": repr(error)[:120],
                "took_s": round(self.clock.monotonic() - began_s, 3),
                "age_s": self.age_s(),
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


class ConfigurationWatch:
    """Holds the newest configuration; it never goes back.

    Parameters
    ----------
    key : str
        Key of the row that holds it.
    decode : callable
        Returns the configuration of a row's value, or None.
    """

    def __init__(self, key, decode):
        self.index = None
        self._key = key
        self._decode = decode
        self.log = logbook.Logger("configuration")

    @property
    def configuration(self) -> Configuration | None:
        """Return the configuration in force; None before the first."""
        return self.index.configuration if self.index else None

    def take_rows(self, rows):
        """Take in the operator's rows."""
        row = rows.get(self._key)
        if row is None:
            return
        found = self._decode(row.value)
        if found is None:
            self.log.error(
                "unreadable configuration", extra={"row_version": row.version}
            )
            return
        if self.index is not None and found.version <= self.configuration.version:
            return
        self.index = QueueIndex(found)
        self.log.info(
            "configuration in force",
            extra={
                "version": found.version,
                "queues": len(found.queues),
                "bytes": len(row.value),
                "row_version": row.version,
            },
        )
