"""Contract tests of the row store client, with a table of faults."""

import aiohttp
from aiohttp.test_utils import TestServer
from returns.result import Failure, Success

from fuchsiascale.clock import SystemClock
from fuchsiascale.jobs import (
    Busy,
    Change,
    Conflict,
    Expect,
    HistoryTruncated,
    NoAnswer,
    Rejected,
    RowKey,
    StoreSilence,
)
from fuchsiascale.platform.user_platform import HttpRowStore
from fuchsiascale.testing import collect_functions
from standins.rowstore import MAX_ROW_BYTES, RowStoreStandin

load_tests = collect_functions(__name__)

ROW_KEY = RowKey("jobs", "pool", "a")

# name, faults of the stand-in, result of a write, rows written
WRITE_FAULTS = (
    ("none", {}, Success, 1),
    ("responds with 503", {"refuse": 503}, Busy, 0),
    ("responds with 429", {"refuse": 429}, Busy, 0),
    ("responds with 400", {"refuse": 400}, Rejected, 0),
    ("responds with 403", {"refuse": 403}, Busy, 0),
    ("responds with 507", {"refuse": 507}, Busy, 0),
    ("responds with 500", {"refuse": 500}, NoAnswer, 0),
    ("responds with 502", {"refuse": 502}, NoAnswer, 0),
    ("response lost", {"lose_answers": 1}, NoAnswer, 1),
    ("applied later", {"delay_writes": 1}, NoAnswer, 0),
)


class Served:
    """A row store stand-in behind a test server, with a client of it."""

    async def __aenter__(self):
        self.standin = RowStoreStandin()
        self.server = TestServer(self.standin.make_application(), shutdown_timeout=0.1)
        await self.server.start_server()
        self.session = aiohttp.ClientSession()
        address = f"{self.server.host}:{self.server.port}"
        self.calls = []
        self.silence = StoreSilence(SystemClock())
        self.store = HttpRowStore(
            self.session, address, self.calls.append, self.silence
        )
        return self

    async def __aexit__(self, *exc_info):
        await self.session.close()
        await self.server.close()


def classify_result(reply):
    return Success if isinstance(reply, Success) else type(reply.failure())


async def test_a_write_under_each_fault_returns_its_outcome():
    for name, faults, expected, written in WRITE_FAULTS:
        async with Served() as served:
            for attribute, value in faults.items():
                setattr(served.standin.faults, attribute, value)
            change = Change(ROW_KEY, b"x")
            reply = await served.store.commit((Expect(ROW_KEY, 0),), (change,))
            assert classify_result(reply) is expected, name
            assert len(served.standin.rows) == written, name


async def test_a_row_larger_than_the_limit_is_rejected():
    async with Served() as served:
        large = Change(ROW_KEY, b"x" * (MAX_ROW_BYTES + 1))
        reply = await served.store.commit((Expect(ROW_KEY, 0),), (large,))
        assert classify_result(reply) is Rejected
        assert [call.outcome for call in served.calls] == ["rejected"]


async def test_a_refused_connection_is_busy_since_nothing_was_sent():
    async with Served() as served:
        await served.server.close()
        reply = await served.store.commit((), (Change(ROW_KEY, b"x"),))
        assert classify_result(reply) is Busy


async def test_a_failed_condition_returns_the_current_rows():
    async with Served() as served:
        await served.store.commit((Expect(ROW_KEY, 0),), (Change(ROW_KEY, b"first"),))
        reply = await served.store.commit(
            (Expect(ROW_KEY, 0),), (Change(ROW_KEY, b"second"),)
        )
        changed = reply.failure()
        assert isinstance(changed, Conflict)
        assert [row.value for row in changed.rows] == [b"first"]


async def test_a_delayed_write_fails_after_a_newer_write():
    async with Served() as served:
        served.standin.faults.delay_writes = 1
        await served.store.commit((Expect(ROW_KEY, 0),), (Change(ROW_KEY, b"late"),))
        await served.store.commit((Expect(ROW_KEY, 0),), (Change(ROW_KEY, b"now"),))
        assert served.standin.apply_delayed() == [412]


async def test_all_pages_of_a_partition_are_read():
    async with Served() as served:
        for number in range(620):
            served.standin.put("jobs", "pool", f"{number:04}", b"v")
        served.standin.put("jobs", "other", "0000", b"v")
        found = (await served.store.read("jobs", "pool")).unwrap()
        assert [row.place.key for row in found.rows] == [
            f"{number:04}" for number in range(620)
        ]


async def test_a_range_excludes_its_end():
    async with Served() as served:
        for key in "abc":
            served.standin.put("jobs", "pool", key, b"v")
        found = (await served.store.read("jobs", "pool", "a", "c")).unwrap()
        assert [row.place.key for row in found.rows] == ["a", "b"]


async def test_a_feed_returns_changes_and_removals_in_order():
    async with Served() as served:
        served.standin.put("op", "", "config", b"1")
        served.standin.drop("op", "", "config")
        changes = (await served.store.follow("op", 0, 100)).unwrap()
        assert [(row.place.key, row.deleted) for row in changes.rows] == [
            ("config", False),
            ("config", True),
        ]


async def test_a_feed_that_is_cut_short_goes_on_after_its_last_row():
    async with Served() as served:
        for number in range(501):
            served.standin.put("op", "", f"row-{number}", b"1")
        first = (await served.store.follow("op", 0, 100)).unwrap()
        second = (await served.store.follow("op", first.version, 100)).unwrap()
        assert len(first.rows) == 500
        assert (first.is_complete, second.is_complete) == (False, True)
        assert [row.place.key for row in second.rows] == ["row-500"]


async def test_a_feed_without_changes_returns_the_newest_version():
    async with Served() as served:
        served.standin.put("servers", "", "w", b"1")
        changes = (await served.store.follow("op", 1, 10)).unwrap()
        assert changes.rows == ()
        assert changes.version == 1


async def test_a_feed_after_a_lost_history_returns_lost():
    async with Served() as served:
        served.standin.put("op", "", "config", b"1")
        served.standin.forget_history()
        reply = await served.store.follow("op", 0, 10)
        assert isinstance(reply, Failure)
        assert isinstance(reply.failure(), HistoryTruncated)


async def test_an_invalid_base64_value_decodes_to_empty():
    async with Served() as served:
        served.standin.put("op", "", "config", b"1")
        served.standin.rows["op", "", "config"]["value"] = "%%%"
        found = (await served.store.read("op", "")).unwrap()
        assert found.rows[0].value == b""


async def test_a_truncated_response_is_recorded_with_the_bytes_received():
    async with Served() as served:
        served.standin.put("op", "", "config", b"x" * 3000)
        served.standin.faults.pieces = 2
        served.standin.faults.pieces_sent = 1
        reply = await served.store.read("op", "")
    assert classify_result(reply) is NoAnswer
    (call,) = served.calls
    assert (call.name, call.outcome) == ("get", "no answer")
    assert 0 < call.received_bytes < 4000


async def test_a_response_that_arrives_slowly_does_not_time_out():
    for call in ("read", "follow"):
        async with Served() as served:
            served.standin.put("op", "", "config", b"x" * 3000)
            # The whole response takes 1.2 s, longer than the read timeout.
            served.standin.faults.pieces = 12
            if call == "read":
                reply = await served.store.read("op", "")
            else:
                reply = await served.store.follow("op", 0, 0)
        assert (call, classify_result(reply)) == (call, Success)
        (row,) = reply.unwrap().rows
        assert row.value == b"x" * 3000


async def test_any_answer_of_the_store_is_evidence_that_it_is_not_silent():
    # A status that refuses the call is an answer; a connection that fails is none.
    async with Served() as served:
        await served.server.close()
        await served.store.read("jobs", "pool")
        assert served.silence.make_report().answered_ago_s is None
    for attribute, value in (("refuse", 503), ("delay_writes", 0)):
        async with Served() as served:
            setattr(served.standin.faults, attribute, value)
            await served.store.read("jobs", "pool")
            assert served.silence.make_report().answered_ago_s is not None
