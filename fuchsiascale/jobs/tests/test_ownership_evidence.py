"""How long an owner acts without the store, and what its successor may rely on."""

import asyncio

import logbook

from fuchsiascale.clock import ManualClock
from fuchsiascale.jobs import (
    Acknowledgement,
    Member,
    Members,
    OwnerNotice,
    OwnerQuery,
    OwnerReply,
    OwnerRow,
)
from fuchsiascale.jobs._inherited_leases import InheritedLeases
from fuchsiascale.jobs._members import HISTORY_S, MAX_REPORT_GAP_S
from fuchsiascale.jobs._owner_succession import announce_owner, seek_support
from fuchsiascale.jobs._ownership_evidence import (
    ISOLATION_LIMIT_S,
    PEER_SUPPORT_S,
    STORE_SILENCE_LIMIT_S,
    OwnershipEvidence,
)
from fuchsiascale.jobs._shard import Shard
from fuchsiascale.jobs.tests.test_shard import make_worker
from fuchsiascale.testing import LoopClock, collect_functions, run_in_virtual_time

load_tests = collect_functions(__name__)

SERVICE = "pool"
LEASE_S = 6.0


def test_an_isolated_owner_stops_soon():
    clock = ManualClock()
    evidence = OwnershipEvidence(clock)
    clock.advance(ISOLATION_LIMIT_S - 0.1)
    assert evidence.is_valid()
    clock.advance(0.2)
    assert not evidence.is_valid()
    evidence.confirm(clock.monotonic())
    assert evidence.is_valid()


def test_an_owner_with_support_acts_through_an_outage_of_the_store():
    clock = ManualClock()
    evidence = OwnershipEvidence(clock)
    for _ in range(int(STORE_SILENCE_LIMIT_S) - 1):
        clock.advance(1.0)
        evidence.note_support(clock.monotonic())
        assert evidence.is_valid()
    clock.advance(1.0)
    evidence.note_support(clock.monotonic())
    assert not evidence.is_valid()


def test_support_counts_from_the_time_of_the_question():
    clock = ManualClock()
    evidence = OwnershipEvidence(clock)
    clock.advance(5.0)
    evidence.note_support(clock.monotonic() - PEER_SUPPORT_S)
    assert not evidence.is_valid()


class FakeOwner:
    """An owner of which only the ownership is used."""

    def __init__(self, version):
        self.service = SERVICE
        self.version = version
        self.clock = LoopClock()
        self.lost = False
        self.is_takeover_complete = False
        self.row = OwnerRow(token=2, instance="a", incarnation="1", address="a:1")
        self.evidence = OwnershipEvidence(self.clock)
        self.shard = Shard(SERVICE, 2, LEASE_S)
        self.inherited_leases = InheritedLeases(self.shard, LEASE_S, LEASE_S)

    def relinquish(self, why):
        self.lost = True


class FakePeers:
    """Instances that know an owner row, by address; some don't answer."""

    def __init__(self, versions):
        self.versions = versions
        self.unreachable = set()

    async def ask(self, address, message, timeout_s):
        await asyncio.sleep(0.01)
        if address in self.unreachable or address not in self.versions:
            return None
        if isinstance(message, OwnerNotice):
            self.versions[address] = max(self.versions[address], message.version)
            return Acknowledgement(True)
        assert isinstance(message, OwnerQuery)
        return OwnerReply(self.versions[address])


async def seek(owner, peers, seconds):
    """Let an owner ask its peers for some time; return whether it may act after it."""
    task = asyncio.create_task(seek_support(owner, lambda: list(peers.versions), peers))
    await asyncio.sleep(seconds)
    task.cancel()
    return owner.evidence.is_valid()


def test_peers_that_know_no_later_owner_support_one():
    async def run():
        owner = FakeOwner(version=5)
        assert await seek(owner, FakePeers({"b:1": 5, "c:1": 3}), 6.0)
        owner = FakeOwner(version=5)
        assert not await seek(owner, FakePeers({"b:1": 3, "c:1": 0}), 6.0)
        assert not owner.lost

    run_in_virtual_time(run())


def test_no_peer_supports_an_owner_that_returns_after_its_last_confirmation():
    async def run():
        owner, peers = FakeOwner(version=5), FakePeers({})
        seeking = asyncio.create_task(
            seek_support(owner, lambda: list(peers.versions), peers)
        )
        await asyncio.sleep(2.0)
        peers.versions["b:1"] = 5
        await asyncio.sleep(4.0)
        assert not owner.evidence.is_valid()
        owner.evidence.confirm(owner.clock.monotonic())
        await asyncio.sleep(4.0)
        assert owner.evidence.is_valid()
        seeking.cancel()

    run_in_virtual_time(run())


def test_supporters_are_those_of_the_time_of_a_confirmation_that_arrives_late():
    # The list was taken only while a confirmation was a second old: where each arrives
    # later, it was that of long ago, with peers that every successor has forgotten.
    async def run():
        owner, peers = FakeOwner(version=5), FakePeers({"b:1": 5, "c:1": 5})
        listed = ["b:1"]
        seeking = asyncio.create_task(seek_support(owner, lambda: listed, peers))
        await asyncio.sleep(5.0)
        listed = []
        for _ in range(20):
            await asyncio.sleep(1.0)
            owner.evidence.confirm(owner.clock.monotonic() - 1.5)
        await asyncio.sleep(3.0)
        assert not owner.evidence.is_valid()
        listed = ["c:1"]
        for _ in range(5):
            await asyncio.sleep(1.0)
            owner.evidence.confirm(owner.clock.monotonic() - 1.5)
        await asyncio.sleep(3.0)
        assert owner.evidence.is_valid()
        seeking.cancel()

    run_in_virtual_time(run())


def test_the_log_tells_which_peers_supported_an_owner():
    async def run():
        owner = FakeOwner(version=5)
        await seek(owner, FakePeers({"b:1": 5, "c:1": 3}), 6.0)

    with logbook.TestHandler() as handler:
        run_in_virtual_time(run())
    lines = [each for each in handler.records if each.channel == "offices"]
    assert [each.message for each in lines] == ["owner supported by peers"]
    assert lines[0].extra["supporters"] == ["b:1"]


def test_an_owner_relinquishes_once_a_peer_knows_a_later_one():
    async def run():
        owner = FakeOwner(version=5)
        await seek(owner, FakePeers({"b:1": 5, "c:1": 6}), 2.0)
        assert owner.lost

    run_in_virtual_time(run())


def test_no_peer_supports_a_predecessor_once_all_have_answered_its_successor():
    async def run():
        peers = FakePeers({"b:1": 5, "c:1": 5})
        peers.unreachable.add("c:1")
        successor = FakeOwner(version=6)
        successor.inherited_leases.add(make_worker(), 0.0)
        unconfirmed = successor.shard.unconfirmed_workers
        announcing = asyncio.create_task(
            announce_owner(successor, ["b:1", "c:1"], peers, 0.0)
        )
        await asyncio.sleep(2.0)
        assert unconfirmed["w1"] > STORE_SILENCE_LIMIT_S + LEASE_S
        peers.unreachable.clear()
        await announcing
        assert set(peers.versions.values()) == {6}
        stopped_s = 2.0 + PEER_SUPPORT_S
        assert stopped_s + LEASE_S < unconfirmed["w1"] < stopped_s + LEASE_S + 1.2
        predecessor = FakeOwner(version=5)
        await seek(predecessor, peers, 1.6)
        assert predecessor.lost

    run_in_virtual_time(run())


def test_an_isolated_predecessor_has_stopped_before_its_successor_relies_on_it():
    async def run():
        predecessor = FakeOwner(version=5)
        isolated = FakePeers({})
        seeking = asyncio.create_task(seek_support(predecessor, list, isolated))
        await asyncio.sleep(1.5)
        successor = FakeOwner(version=6)
        successor.inherited_leases.add(make_worker(), 1.5)
        peers = FakePeers({"b:1": 5})
        await announce_owner(successor, ["b:1"], peers, 1.5)
        until_s = successor.shard.unconfirmed_workers["w1"]
        last_grant_s = 1.5
        while successor.clock.monotonic() < until_s:
            if predecessor.evidence.is_valid():
                last_grant_s = successor.clock.monotonic()
            await asyncio.sleep(0.1)
        assert last_grant_s + LEASE_S / 0.98 < until_s
        seeking.cancel()

    run_in_virtual_time(run())


def test_instances_are_remembered_while_they_may_support_an_owner():
    clock = ManualClock()
    members = Members(Member("a:1"), clock)
    members.observe(Member("b:1"))
    clock.advance(STORE_SILENCE_LIMIT_S)
    assert members.addresses() == []
    assert members.recent_addresses() == ["b:1"]
    clock.advance(STORE_SILENCE_LIMIT_S)
    members.observe(Member("c:1"))
    members.apply_report("c:1", (), "")
    assert members.recent_addresses() == ["c:1"]
    assert members.established_addresses(1.0) == []
    clock.advance(1.0)
    assert members.established_addresses(1.0) == ["c:1"]


def test_a_member_that_was_away_counts_from_its_return():
    clock = ManualClock()
    members = Members(Member("a:1"), clock)
    members.observe(Member("b:1"))
    clock.advance(STORE_SILENCE_LIMIT_S)
    members.observe(Member("b:1"))
    assert members.established_addresses(1.0) == []
    clock.advance(1.0)
    assert members.established_addresses(1.0) == ["b:1"]


def test_an_instance_that_had_no_reports_for_a_while_does_not_know_all_peers():
    # An instance that had been frozen told those of the one report that it had since,
    # and missed a peer that the owner had lost sight of for that moment.
    clock = ManualClock()
    members = Members(Member("a:1"), clock)

    def report_for(seconds):
        for _ in range(int(seconds)):
            members.note_report(SERVICE, clock.monotonic())
            clock.advance(1.0)

    report_for(HISTORY_S - 1.0)
    assert not members.has_history(SERVICE)
    report_for(2.0)
    assert members.has_history(SERVICE)
    clock.advance(MAX_REPORT_GAP_S - 1.1)
    report_for(1.0)
    assert members.has_history(SERVICE)
    clock.advance(MAX_REPORT_GAP_S)
    report_for(HISTORY_S - 1.0)
    assert not members.has_history(SERVICE)
    report_for(2.0)
    assert members.has_history(SERVICE)
