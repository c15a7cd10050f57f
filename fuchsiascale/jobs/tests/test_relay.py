"""What a store reached through peers says of a commit."""

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
    RelayedStore,
    RelayReply,
    RowKey,
    VersionedRows,
)
from fuchsiascale.jobs import _relay as relay
from fuchsiascale.testing import LoopClock, collect_functions, run_in_virtual_time

load_tests = collect_functions(__name__)

PLACE = RowKey("jobs", "pool", "a")
ARGUMENTS = ((Expect(PLACE, 0),), (Change(PLACE, b"x"),))

BUSY, LOST, DONE = Failure(Busy()), Failure(NoAnswer()), Success(7)
PEER_BUSY, PEER_LOST = RelayReply("busy"), RelayReply("no answer")
PEER_DONE, PEER_CHANGED, SILENT = RelayReply("done", 8), RelayReply("changed"), None

# name, the store's own answer, those of two peers, what the caller is told
CASES = (
    ("reached", DONE, (), Success),
    ("refused here, reached by a peer", BUSY, (PEER_DONE,), Success),
    ("refused everywhere", BUSY, (PEER_BUSY, PEER_BUSY), Busy),
    ("unanswered here, refused to peers", LOST, (PEER_BUSY, PEER_BUSY), NoAnswer),
    ("refused here, a peer without an answer", BUSY, (PEER_LOST, PEER_BUSY), NoAnswer),
    ("refused here, a silent peer", BUSY, (SILENT, PEER_BUSY), NoAnswer),
    ("unanswered here, applied meanwhile", LOST, (PEER_CHANGED,), Conflict),
)


class FakeStore:
    """Returns set answers."""

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
    """Peers with set answers."""

    def __init__(self, *answers):
        self.answers = list(answers)

    async def ask(self, address, message, timeout_s):
        return self.answers.pop(0)


async def commit_twice(answer, peers):
    """Commit until the store counts as lost, and again while it is not tried."""
    direct = FakeStore(answer)
    members = ["b", "c"]
    store = RelayedStore(
        direct, FakePeers(*peers * 2), lambda: list(members), ManualClock()
    )
    await store.commit(*ARGUMENTS)
    return await store.commit(*ARGUMENTS), await store.commit(*ARGUMENTS)


def kind_of(reply):
    return Success if isinstance(reply, Success) else type(reply.failure())


async def test_nothing_counts_as_refused_that_may_have_been_carried_out():
    for name, answer, peers, expected in CASES:
        first, _ = await commit_twice(answer, peers)
        assert kind_of(first) is expected, name


async def test_a_refusal_of_the_last_peer_does_not_hide_a_silent_one():
    for peers in ((PEER_LOST, PEER_BUSY), (SILENT, PEER_BUSY)):
        _, second = await commit_twice(BUSY, peers)
        assert kind_of(second) is NoAnswer


async def test_the_store_counts_as_away_until_a_direct_call_is_answered():
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


async def test_one_refusal_is_passed_on_at_once():
    store = RelayedStore(FakeStore(BUSY), FakePeers(), lambda: ["b"], ManualClock())
    reply = await store.commit(*ARGUMENTS)
    assert kind_of(reply) is Busy
    assert not store.is_unavailable()


async def test_a_process_that_never_reached_the_store_finds_it_by_reading():
    clock = ManualClock()
    store = RelayedStore(FakeStore(BUSY), FakePeers(), list, clock)
    for _ in range(3):
        await store.read("op", "")
    assert not store.reachable
    store.direct.answer = DONE
    clock.advance(1.0)
    reply = await store.read("op", "")
    assert kind_of(reply) is Success
    assert store.reachable


class LateStore(FakeStore):
    """A store that answers commits late and reads after a set time, or not at all."""

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
            return LOST
        asyncio.get_running_loop().call_later(0.05, self.release.set)
        return Success(VersionedRows((), 7))


LATE_CASES = (
    # name, time of a read, whether it is answered, what a commit answered later gives
    ("slow", 0.4, True, Success),
    ("the answer is lost", 0.004, True, NoAnswer),
    ("silent", 0.7, False, NoAnswer),
)


async def test_a_commit_is_waited_for_only_while_the_store_is_slow():
    for name, read_s, readable, told in LATE_CASES:
        clock = ManualClock()
        store = LateStore(clock, read_s, readable)
        relayed = RelayedStore(store, FakePeers(), list, clock)
        with (
            mock.patch.object(relay, "PROBE_AFTER_S", 0.01),
            mock.patch.object(relay, "LOST_COMMIT_S", 0.01),
        ):
            reply = await relayed.commit(*ARGUMENTS)
        kind = Success if isinstance(reply, Success) else type(reply.failure())
        assert (name, kind, store.commits) == (name, told, 1)


async def test_a_direct_read_asks_no_peers_and_tells_whether_the_store_is_reached():
    store = RelayedStore(FakeStore(BUSY), FakePeers(), lambda: ["b"], ManualClock())
    reads = DirectReads(store)
    for _ in range(2):
        assert kind_of(await reads.read("op", "")) is Busy
    assert not store.reachable
    store.direct.answer = Success(VersionedRows((), 7))
    assert kind_of(await reads.follow("op", 1, 0)) is Success
    assert store.reachable


OUTAGE_KNOWN_S = 2.0
"""Time after which requests are refused at once; clients wait for 3 s."""


def test_an_outage_is_known_before_a_request_meets_it():
    async def play():
        direct = FakeStore(Success(VersionedRows((), 7)))
        peers = FakePeers(*[PEER_BUSY] * 20)
        store = RelayedStore(direct, peers, lambda: ["b", "c"], LoopClock())
        checks = asyncio.create_task(store.run_checks("op"))
        await asyncio.sleep(10.0)
        assert store.reachable
        direct.answer = BUSY
        await asyncio.sleep(OUTAGE_KNOWN_S)
        assert store.is_unavailable()
        direct.answer = Success(VersionedRows((), 8))
        await asyncio.sleep(1.0)
        assert store.reachable
        assert not store.is_unavailable()
        checks.cancel()

    run_in_virtual_time(play())


def test_a_store_that_only_peers_reach_does_not_count_as_away():
    async def play():
        peers = FakePeers(*[PEER_DONE] * 20)
        store = RelayedStore(FakeStore(BUSY), peers, lambda: ["b", "c"], LoopClock())
        checks = asyncio.create_task(store.run_checks("op"))
        await asyncio.sleep(5.0)
        assert not store.reachable
        assert not store.is_unavailable()
        checks.cancel()

    run_in_virtual_time(play())
