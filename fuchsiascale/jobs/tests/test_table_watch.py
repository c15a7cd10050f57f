"""Tests of following a table of the store."""

import contextlib
from unittest import mock

from returns.result import Success

from fuchsiascale.clock import ManualClock
from fuchsiascale.jobs import RowKey, StoredRow, TableWatch, VersionedRows
from fuchsiascale.testing import collect_functions

load_tests = collect_functions(__name__)

POLLS = 5


class ChangingTable:
    """A table whose row changes a given number of times between two requests.

    Attributes
    ----------
    version : int
        Newest version of the row.
    sent : int
        Number of versions of the row that were sent.
    """

    def __init__(self, changes, until):
        self.changes = changes
        self.until = until
        self.version = 1
        self.sent = 0

    def _answer(self, versions):
        rows = tuple(
            StoredRow(RowKey("op", "", "config"), b"", version) for version in versions
        )
        self.sent += len(rows)
        return Success(VersionedRows(rows, self.version))

    async def read(self, table, partition, first="", last=""):
        self.version = min(self.until, self.version + self.changes)
        return self._answer([self.version])

    async def follow(self, table, after, wait_ms):
        self.version = min(self.until, self.version + self.changes)
        return self._answer(range(after + 1, self.version + 1))


class PollsDone(Exception):
    """Stops a watch after the requested number of polls."""


async def follow_table(store, polls):
    """Follow a table for some polls; return the observed versions and elapsed time."""
    clock, seen = ManualClock(), []
    began_s = clock.monotonic()

    async def sleep(seconds):
        clock.advance(seconds)
        nonlocal polls
        polls -= 1
        if not polls:
            raise PollsDone

    def record(rows):
        seen.append(rows["config"].version)

    watch = TableWatch(store, "op", record, clock, 0.8)
    with mock.patch("asyncio.sleep", sleep), contextlib.suppress(PollsDone):
        await watch.run()
    return seen, clock.monotonic() - began_s


async def test_a_table_that_changes_constantly_is_polled_with_pauses():
    seen, passed_s = await follow_table(ChangingTable(1, 9), polls=5)
    assert seen == [2, 3, 4, 5, 6]
    assert passed_s >= 5 * 0.8 - 1e-6


async def test_the_table_is_read_when_a_poll_returns_several_versions_of_a_row():
    store = ChangingTable(changes=4, until=25)
    seen, _ = await follow_table(store, polls=10)
    assert seen == [5, 9, 13, 17, 21, 25]
    # The first read, one poll of the feed, then reads until one finds no change.
    assert store.sent == 1 + 4 + 4 + 1


async def test_a_feed_that_is_cut_short_does_not_show_the_newest_rows():
    store = mock.AsyncMock()
    store.read.return_value = Success(VersionedRows((), 1))
    clock = ManualClock()
    watch = TableWatch(store, "op", lambda rows: None, clock)
    with mock.patch("asyncio.sleep"):
        await watch.poll()
        for is_complete in (False, True):
            clock.advance(2.0)
            store.follow.return_value = Success(VersionedRows((), 2, is_complete))
            await watch.poll()
            assert (watch.current_as_of_s == clock.monotonic()) is is_complete
