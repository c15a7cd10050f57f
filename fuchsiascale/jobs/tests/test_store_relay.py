"""Tests of the store relay: results of calls, probes and the checks of the store."""

import asyncio
from unittest import mock

from returns.result import Failure, Success

from fuchsiascale.clock import ManualClock
from fuchsiascale.jobs import (
    Busy,
    Change,
    Conflict,
    DirectReads,
    Expect,
    NoAnswer,
    Rejected,
    RelayedStore,
    RelayReply,
    RowKey,
    VersionedRows,
)
from fuchsiascale.jobs import _store_relay as relay
from fuchsiascale.testing import LoopClock, collect_functions, run_in_virtual_time

load_tests = collect_functions(__name__)

ROW_KEY = RowKey("jobs", "pool", "a")
ARGUMENTS = ((Expect(ROW_KEY, 0),), (Change(ROW_KEY, b"x"),))

BUSY, NO_ANSWER, DONE = Failure(Busy()), Failure(NoAnswer()), Success(7)
REJECTED, PEER_REJECTED = Failure(Rejected()), RelayReply("rejected")
PEER_BUSY, PEER_NO_ANSWER = RelayReply("busy"), RelayReply("no answer")
PEER_DONE, PEER_CONFLICT, SILENT = RelayReply("done", 8), RelayReply("changed"), None

# name, answer of the store to a direct call, answers of peers, expected result
CASES = (
    ("reachable", DONE, (), Success),
    ("refused here, committed by a peer", BUSY, (PEER_DONE,), Success),
    ("rejected for its form", REJECTED, (), Rejected),
    ("refused here, rejected for its form to a peer", BUSY, (PEER_REJECTED,), Rejected),
    ("refused everywhere", BUSY, (PEER_BUSY, PEER_BUSY), Busy),
    ("no answer here, refused to peers", NO_ANSWER, (PEER_BUSY, PEER_BUSY), NoAnswer),
    ("refused here, no answer to a peer", BUSY, (PEER_NO_ANSWER, PEER_BUSY), NoAnswer),
    ("refused here, a silent peer", BUSY, (SILENT, PEER_BUSY), NoAnswer),
    ("no answer here, applied meanwhile", NO_ANSWER, (PEER_CONFLICT,), Conflict),
)


class FakeStore:
    """A store that returns the same answer to every call."""

    def __init__(self, answer):
        self.answer = answer
        self.commits = 0

    async def commit(self, expected, changes):
        self.commits += 1
        return self.answer

    async def follow(self, table, after, wait_ms):
        return self.answer

    async def read(self, table, partition, first="", last=""):
        return self.answer


class FakePeers:
    """Peers that return the given answers in turn."""

    def __init__(self, *answers):
        self.answers = list(answers)

    async def ask(self, address, message, timeout_s):
        return self.answers.pop(0)


async def commit_until_relayed(answer, peers):
    """Commit until the store counts as unreachable, then once through peers only."""
    direct = FakeStore(answer)
    members = ["b", "c"]
    store = RelayedStore(
        direct, FakePeers(*peers * 2), lambda: list(members), ManualClock()
    )
    await store.commit(*ARGUMENTS)
    return await store.commit(*ARGUMENTS), await store.commit(*ARGUMENTS)


def result_type(reply):
    return Success if isinstance(reply, Success) else type(reply.failure())


async def test_a_commit_that_may_have_been_applied_is_not_reported_as_refused():
    for name, answer, peers, expected in CASES:
        first, _ = await commit_until_relayed(answer, peers)
        assert result_type(first) is expected, name


async def test_a_refusal_by_the_last_peer_does_not_hide_a_peer_without_an_answer():
    for peers in ((PEER_NO_ANSWER, PEER_BUSY), (SILENT, PEER_BUSY)):
        _, second = await commit_until_relayed(BUSY, peers)
        assert result_type(second) is NoAnswer


async def test_the_store_is_unavailable_until_a_direct_call_is_answered():
    store = RelayedStore(
        FakeStore(BUSY),
        FakePeers(PEER_BUSY, PEER_BUSY),
        lambda: ["b", "c"],
        ManualClock(),
    )
    for _ in range(2):
        await store.commit(*ARGUMENTS)
    assert store.is_unavailable()
    store.direct.answer = DONE
    await store.follow("op", 1, 0)
    assert not store.is_unavailable()
    assert store.reachable


async def test_a_single_refusal_is_returned_without_asking_peers():
    store = RelayedStore(FakeStore(BUSY), FakePeers(), lambda: ["b"], ManualClock())
    reply = await store.commit(*ARGUMENTS)
    assert result_type(reply) is Busy
    assert not store.is_unavailable()


async def test_reads_probe_a_store_that_was_never_reachable():
    clock = ManualClock()
    store = RelayedStore(FakeStore(BUSY), FakePeers(), list, clock)
    for _ in range(3):
        await store.read("op", "")
    assert not store.reachable
    store.direct.answer = DONE
    clock.advance(1.0)
    reply = await store.read("op", "")
    assert result_type(reply) is Success
    assert store.reachable


class LateStore(FakeStore):
    """A store that answers commits late.

    Reads take a given time; they are answered or time out.
    """

    def __init__(self, clock, read_s, readable=True):
        super().__init__(DONE)
        self.clock = clock
        self.read_s = read_s
        self.readable = readable
        self.release = asyncio.Event()

    async def commit(self, expected, changes):
        self.commits += 1
        await self.release.wait()
        return self.answer

    async def read(self, table, partition, first="", last=""):
        self.clock.advance(self.read_s)
        if not self.readable:
            return NO_ANSWER
        asyncio.get_running_loop().call_later(0.05, self.release.set)
        return Success(VersionedRows((), 7))


LATE_CASES = (
    # name, duration of a read, whether it is answered, expected result of the commit
    ("slow", 0.4, True, Success),
    ("the answer is lost", 0.004, True, NoAnswer),
    ("silent", 0.7, False, NoAnswer),
)


async def test_a_late_commit_is_awaited_only_while_reads_are_slow():
    for name, read_s, readable, expected in LATE_CASES:
        clock = ManualClock()
        store = LateStore(clock, read_s, readable)
        relayed = RelayedStore(store, FakePeers(), list, clock)
        with (
            mock.patch.object(relay, "PROBE_AFTER_S", 0.01),
            mock.patch.object(relay, "LOST_COMMIT_WAIT_S", 0.01),
        ):
            reply = await relayed.commit(*ARGUMENTS)
        kind = Success if isinstance(reply, Success) else type(reply.failure())
        assert (name, kind, store.commits) == (name, expected, 1)


async def test_direct_reads_ask_no_peers_and_update_the_reachability():
    store = RelayedStore(FakeStore(BUSY), FakePeers(), lambda: ["b"], ManualClock())
    reads = DirectReads(store)
    for _ in range(2):
        assert result_type(await reads.read("op", "")) is Busy
    assert not store.reachable
    store.direct.answer = Success(VersionedRows((), 7))
    assert result_type(await reads.follow("op", 1, 0)) is Success
    assert store.reachable


OUTAGE_DETECTION_S = 2.0
"""Time after which requests are refused immediately; clients wait for 3 s."""


def test_checks_detect_an_outage_without_any_request():
    async def scenario():
        direct = FakeStore(Success(VersionedRows((), 7)))
        peers = FakePeers(*[PEER_BUSY] * 20)
        store = RelayedStore(direct, peers, lambda: ["b", "c"], LoopClock())
        checks = asyncio.create_task(store.run_checks("op"))
        await asyncio.sleep(10.0)
        assert store.reachable
        direct.answer = BUSY
        await asyncio.sleep(OUTAGE_DETECTION_S)
        assert store.is_unavailable()
        direct.answer = Success(VersionedRows((), 8))
        await asyncio.sleep(1.0)
        assert store.reachable
        assert not store.is_unavailable()
        checks.cancel()

    run_in_virtual_time(scenario())


def test_a_store_that_only_peers_reach_is_available():
    async def scenario():
        peers = FakePeers(*[PEER_DONE] * 20)
        store = RelayedStore(FakeStore(BUSY), peers, lambda: ["b", "c"], LoopClock())
        checks = asyncio.create_task(store.run_checks("op"))
        await asyncio.sleep(5.0)
        assert not store.reachable
        assert not store.is_unavailable()
        checks.cancel()

    run_in_virtual_time(scenario())
