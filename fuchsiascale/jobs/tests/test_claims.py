"""Claims of a service that coincide at one instance."""

import asyncio
import math

from returns.result import Failure, Success

from fuchsiascale.clock import ManualClock
from fuchsiascale.jobs import (
    Busy,
    Conflict,
    Handover,
    NoAnswer,
    OwnerLimits,
    OwnerNotice,
    OwnerQuery,
    OwnerRow,
    OwnershipManager,
    Ping,
    Pong,
    StoredRow,
    VersionedRows,
    WorkerListing,
    encode_row,
    owner_row_key,
)
from fuchsiascale.jobs._members import HISTORY_S
from fuchsiascale.jobs._owner_views import (
    MAX_STARTUP_GRACE_S,
    STARTUP_GRACE_S,
    OwnerViews,
)
from fuchsiascale.jobs._ownership import SUSPECT_AFTER_S
from fuchsiascale.jobs._peer_messages import PING_PERIOD_S
from fuchsiascale.testing import collect_functions

load_tests = collect_functions(__name__)

SERVICE = "pool"
OTHER = OwnerRow(token=1, instance="b", incarnation="b1", address="b:1")


class OwnerRows:
    """A store of one owner row."""

    def __init__(self, row):
        self.row, self.version = row, 1

    async def commit(self, expected, changes):
        if expected[0].version != self.version:
            return Failure(Conflict())
        self.version += 1
        self.row = changes[0].value
        return Success(self.version)

    async def read(self, table, partition, first="", last=""):
        if not first:
            return Failure(Busy("not loaded in this test"))
        row = StoredRow(owner_row_key(SERVICE), self.row, self.version)
        return Success(VersionedRows((row,), self.version))


class SlowPeers:
    """Peers whose replies to pings wait until they are released."""

    def __init__(self, owned=None):
        self.owned = owned or {}
        self.asked = asyncio.Event()
        self.released = asyncio.Event()

    async def ask(self, address, message, timeout_s):
        if isinstance(message, Ping):
            self.asked.set()
            await self.released.wait()
            incarnation = "b1" if self.owned else "b2"
            return Pong(instance="b", incarnation=incarnation, owned=self.owned)
        return None


def make_manager(store, peers):
    identity = Ping(instance="a", incarnation="a1", address="a:1")
    listing = WorkerListing("servers", lambda row: None)
    return OwnershipManager(
        identity, store, None, peers, listing, OwnerLimits(), ManualClock()
    )


async def test_a_handover_during_a_check_of_the_owner_leads_to_one_owner():
    # Both the handover and the check claimed the service, and each had an owner.
    store, peers = OwnerRows(encode_row(OTHER)), SlowPeers()
    manager = make_manager(store, peers)
    manager.update_view(SERVICE, OTHER, 1)
    checking = asyncio.create_task(manager._check_service(SERVICE))
    await peers.asked.wait()
    reply = await manager.answer(Handover(SERVICE, OTHER, 1))
    assert reply.done
    owner = manager.owners[SERVICE]
    peers.released.set()
    await checking
    assert manager.owners == {SERVICE: owner}
    assert (owner.row.token, owner.lost) == (2, False)
    assert store.version == 2
    await manager.stop()


async def test_a_report_of_members_is_as_old_as_the_question():
    # A successor that was paused took it for new, and missed members that had joined.
    store, peers = OwnerRows(encode_row(OTHER)), SlowPeers(owned={SERVICE: 1})
    manager = make_manager(store, peers)
    manager.update_view(SERVICE, OTHER, 1)
    asked_s = manager.clock.monotonic()
    checking = asyncio.create_task(manager._check_service(SERVICE))
    await peers.asked.wait()
    manager.clock.advance(5.0)
    peers.released.set()
    await checking
    assert manager.known_members.get_reported_s(SERVICE) == asked_s
    await manager.stop()


class UnansweredClaims(OwnerRows):
    """A store whose answers to claims are lost, or that refuses them."""

    failure = NoAnswer("reset")
    is_reachable = True

    async def commit(self, expected, changes):
        return Failure(self.failure)

    async def read(self, table, partition, first="", last=""):
        if not self.is_reachable:
            return Failure(NoAnswer("reset"))
        return await super().read(table, partition, first, last)


async def ask_supported_version(manager):
    return (await manager.answer(OwnerQuery(SERVICE))).version


async def claim_over_other(store):
    """Have an instance claim the service of another; return the instance."""
    manager = make_manager(store, SlowPeers())
    manager.update_view(SERVICE, OTHER, 1)
    assert await ask_supported_version(manager) == 1
    assert not await manager._claim(manager.view(SERVICE), 0.0, None)
    return manager


async def test_an_owner_is_not_supported_over_whom_a_claim_may_be_written():
    # The claim was written late. The next owner took this instance for its predecessor
    # and didn't tell it, while this one went on supporting the owner before.
    store = UnansweredClaims(encode_row(OTHER))
    manager = await claim_over_other(store)
    assert await ask_supported_version(manager) == 0
    store.failure = Busy("503")
    assert not await manager._claim(manager.view(SERVICE), 0.0, None)
    assert await ask_supported_version(manager) == 0
    manager.update_view(SERVICE, OTHER, 2)
    assert await ask_supported_version(manager) == 2
    await manager.stop()


async def test_an_owner_is_not_supported_whose_row_a_claim_has_found_changed():
    store = UnansweredClaims(encode_row(OTHER))
    store.failure, store.is_reachable = Conflict(), False
    manager = await claim_over_other(store)
    assert await ask_supported_version(manager) == 0
    await manager.stop()


async def test_an_owner_is_supported_after_a_claim_that_the_store_refused():
    store = UnansweredClaims(encode_row(OTHER))
    store.failure = Busy("503")
    manager = await claim_over_other(store)
    assert await ask_supported_version(manager) == 1
    await manager.stop()


async def test_an_instance_that_has_lost_a_service_supports_no_earlier_owner():
    # It had dropped its row, took a repeated notice of the owner before for news, and
    # supported that one. Its successor doesn't tell its predecessor of itself.
    store = OwnerRows(encode_row(OTHER))
    manager = make_manager(store, SlowPeers())
    manager.update_view(SERVICE, OTHER, 1)
    assert await manager._claim(manager.view(SERVICE), 0.0, None)
    manager.owners[SERVICE].relinquish("a worker has seen a higher token")
    assert (await manager.answer(OwnerNotice(SERVICE, OTHER, 1))).done
    assert manager.view(SERVICE).row is None
    assert await ask_supported_version(manager) == 0
    assert (await manager._read_view(SERVICE)).version == 2
    await manager.stop()


async def test_reports_of_the_owner_of_another_service_are_none_of_this_one():
    # A successor that only the owner of another service had answered lately took the
    # members for known, and missed a peer that supported its predecessor.
    manager = make_manager(OwnerRows(encode_row(OTHER)), SlowPeers({"others": 1}))
    manager.peers.released.set()
    manager.update_view("others", OTHER, 1)
    for _ in range(int(HISTORY_S) + 1):
        await manager._check_service("others")
        manager.clock.advance(1.0)
    assert manager.known_members.has_history("others")
    assert not manager.known_members.has_history(SERVICE)
    assert manager.known_members.get_reported_s(SERVICE) == -math.inf
    await manager.stop()


async def test_an_owner_row_of_another_process_with_this_name_is_not_claimed_at_once():
    # A replacement starts under the name of the instance that it replaces.
    namesake = OwnerRow(token=1, instance="a", incarnation="a0", address="c:1")
    store, peers = OwnerRows(encode_row(namesake)), SlowPeers()
    manager = make_manager(store, peers)
    checking = asyncio.create_task(manager._check_service(SERVICE))
    asked = asyncio.create_task(peers.asked.wait())
    await asyncio.wait({checking, asked}, return_when=asyncio.FIRST_COMPLETED)
    assert store.version == 1
    for task in (checking, asked):
        task.cancel()
    await asyncio.gather(checking, asked, return_exceptions=True)
    await manager.stop()


async def test_an_owner_learnt_of_while_its_predecessor_was_checked_is_not_replaced():
    # The check of the lost owner ended with a claim against its successor.
    store, peers = OwnerRows(encode_row(OTHER)), SlowPeers()
    manager = make_manager(store, peers)
    manager.update_view(SERVICE, OTHER, 1)
    checking = asyncio.create_task(manager._check_service(SERVICE))
    await peers.asked.wait()
    successor = OwnerRow(token=2, instance="c", incarnation="c1", address="c:1")
    store.row, store.version = encode_row(successor), 2
    await manager.answer(OwnerNotice(SERVICE, successor, 2))
    peers.released.set()
    await checking
    assert manager.owners == {}
    assert store.version == 2
    await manager.stop()


async def measure_silence_until_a_claim(manager, store, row, version):
    """Return how long a new owner may stay silent before it is replaced."""
    store.row, store.version = encode_row(row), version
    manager.update_view(SERVICE, row, version)
    since_s = manager.clock.monotonic()
    while store.version == version:
        manager.clock.advance(0.1)
        await manager._check_service(SERVICE)
    return manager.clock.monotonic() - since_s


class SilentPeers:
    """Peers that don't answer."""

    async def ask(self, address, message, timeout_s):
        return None


async def test_owners_that_are_replaced_one_after_the_other_get_more_time():
    # Each takeover kept an overloaded instance from answering, and led to the next.
    silences_s = []
    store = OwnerRows(encode_row(OTHER))
    manager = make_manager(store, SilentPeers())
    manager.known_members.addresses = lambda: ["d:1"]
    manager.known_members.rank = lambda key, excluded: 0
    for number in range(4):
        row = OwnerRow(token=9 * number + 1, instance="b", incarnation="1", address="b")
        silences_s.append(
            await measure_silence_until_a_claim(manager, store, row, 10 * number + 10)
        )
        for owner in list(manager.owners.values()):
            await owner.stop()
        manager.owners.clear()
    await manager.stop()
    assert 2.5 < silences_s[0] < 3.0
    assert min(silences_s[1:]) > 1.5 * silences_s[0]
    assert max(silences_s) < MAX_STARTUP_GRACE_S + 1.3


class SlowOwner:
    """An owner that answers pings after a time, unless that is longer than theirs."""

    def __init__(self, clock, delay_s):
        self.clock = clock
        self.delay_s = delay_s

    async def ask(self, address, message, timeout_s):
        self.clock.advance(min(self.delay_s, timeout_s))
        if self.delay_s > timeout_s:
            return None
        return Pong(instance="b", incarnation="b1", owned={SERVICE: 1})


async def check_for(manager, duration_s):
    """Check the owner as often as an instance does for some time."""
    end_s = manager.clock.monotonic() + duration_s
    while manager.clock.monotonic() < end_s and not manager.owners:
        started_s = manager.clock.monotonic()
        await manager._check_service(SERVICE)
        elapsed_s = manager.clock.monotonic() - started_s
        manager.clock.advance(max(0.02, PING_PERIOD_S - elapsed_s))


async def test_an_owner_that_answers_slowly_is_not_replaced():
    # Its peers were as slow once they had to take the service over.
    store = OwnerRows(encode_row(OTHER))
    manager = make_manager(store, None)
    manager.peers = SlowOwner(manager.clock, 0.9)
    manager.update_view(SERVICE, OTHER, 1)
    await check_for(manager, 12.0)
    assert store.version == 1
    await manager.stop()


async def test_an_owner_that_does_not_answer_is_replaced_as_soon_as_before():
    store = OwnerRows(encode_row(OTHER))
    manager = make_manager(store, None)
    manager.peers = SlowOwner(manager.clock, 0.0)
    manager.update_view(SERVICE, OTHER, 1)
    await check_for(manager, 3.0)
    lost_s = manager.clock.monotonic()
    manager.peers.delay_s = 60.0
    await check_for(manager, 12.0)
    assert store.version == 2
    assert manager.clock.monotonic() - lost_s < 1.4
    await manager.stop()


async def test_a_late_answer_of_an_owner_does_not_count_as_one_of_its_successor():
    # The successor's time to start was over with that answer.
    store, peers = OwnerRows(encode_row(OTHER)), SlowPeers(owned={SERVICE: 1})
    manager = make_manager(store, peers)
    manager.update_view(SERVICE, OTHER, 1)
    checking = asyncio.create_task(manager._check_service(SERVICE))
    await peers.asked.wait()
    successor = OwnerRow(token=2, instance="c", incarnation="c1", address="c:1")
    store.row, store.version = encode_row(successor), 2
    await manager.answer(OwnerNotice(SERVICE, successor, 2))
    peers.released.set()
    await checking
    manager.peers = SilentPeers()
    manager.clock.advance(SUSPECT_AFTER_S + STARTUP_GRACE_S - 0.1)
    await manager._check_service(SERVICE)
    assert store.version == 2
    await manager.stop()


def note_brief_owners(views, clock, owners):
    """Note owners that are replaced one after the other; return the last token."""
    for token in range(1, owners + 1):
        row = OwnerRow(token=token, instance="b", incarnation="1", address="b:1")
        views.update(SERVICE, row, token)
        clock.advance(2.0)
    return owners


def test_a_first_reply_does_not_end_the_time_of_a_new_owner():
    # An owner replies before it loads, and then had 1.1 s for the whole takeover.
    clock = ManualClock()
    views = OwnerViews(clock)
    views.update(SERVICE, OTHER, 1)
    clock.advance(0.2)
    views.note_reply(SERVICE, 1, clock.monotonic())
    silence_s = views.measure_silence_s(SERVICE, clock.monotonic())
    assert abs(silence_s - 0.2 + STARTUP_GRACE_S) < 0.01


def test_a_reply_limits_the_time_of_an_owner_after_others_that_were_replaced():
    # Its workers' leases of 6 s must not expire before it is suspected.
    clock = ManualClock()
    views = OwnerViews(clock)
    token = note_brief_owners(views, clock, 5)
    silence_s = views.measure_silence_s(SERVICE, clock.monotonic())
    assert silence_s < -STARTUP_GRACE_S
    views.note_reply(SERVICE, token, clock.monotonic())
    silence_s = views.measure_silence_s(SERVICE, clock.monotonic())
    assert abs(silence_s + STARTUP_GRACE_S) < 0.01


class OwnerInTakeover:
    """An owner that answers at first, and while it loads only once that is done."""

    def __init__(self, clock, row):
        self.clock = clock
        self.row = row
        self.loading_s = clock.monotonic() + 0.2
        self.loaded_s = clock.monotonic() + 2.4

    async def ask(self, address, message, timeout_s):
        if address != self.row.address or not isinstance(message, Ping):
            return None
        now_s = self.clock.monotonic()
        if self.loading_s < now_s < self.loaded_s:
            self.clock.advance(min(timeout_s, self.loaded_s - now_s))
            if now_s + timeout_s < self.loaded_s:
                return None
        return Pong(
            instance="b",
            incarnation=self.row.incarnation,
            owned={SERVICE: self.row.token},
        )


async def test_owners_that_are_busy_with_their_takeovers_do_not_replace_each_other():
    # Nine owners followed each other, 2.7 to 3.6 s apart, until the day was over.
    store = OwnerRows(encode_row(OTHER))
    manager = make_manager(store, None)
    kept = 0
    for number in range(1, 5):
        row = OwnerRow(token=number, instance="b", incarnation="b1", address="b:1")
        store.row, store.version = encode_row(row), number
        manager.peers = OwnerInTakeover(manager.clock, row)
        manager.update_view(SERVICE, row, number)
        await check_for(manager, 3.4)
        kept += not manager.owners
        for owner in list(manager.owners.values()):
            await owner.stop()
        manager.owners.clear()
    assert kept == 4
    await manager.stop()


def test_owners_that_hand_over_one_after_the_other_are_replaced_as_soon_as_any():
    clock = ManualClock()
    views = OwnerViews(clock)
    for number in range(1, 6):
        row = OwnerRow(
            token=number,
            instance="b",
            incarnation="1",
            address="b:1",
            was_handed_over=number > 1,
        )
        views.update(SERVICE, row, number)
        clock.advance(1.2)
    assert views.measure_silence_s(SERVICE, clock.monotonic()) > -STARTUP_GRACE_S
