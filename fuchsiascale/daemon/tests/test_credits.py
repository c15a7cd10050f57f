"""Tests of the credit driver between two instances in one process."""

from random import Random

import msgspec
from returns.result import Failure, Success

from fuchsiascale.clock import ManualClock
from fuchsiascale.coordination import (
    ClusterView,
    HeldClaim,
    Member,
    SlotHolder,
    SlotLedger,
    find_owner,
)
from fuchsiascale.daemon._credits import CREDITS_PATH, CreditDriver
from fuchsiascale.daemon._peers import PeerUnreachable
from fuchsiascale.pipelines import Dispatcher
from fuchsiascale.pipelines.tests._fakes import make_fleet, make_runner
from fuchsiascale.platform import NO_TOKEN, FencingToken
from fuchsiascale.testing import collect_functions

load_tests = collect_functions(__name__)

NAMES = ("a", "b")
RUNNERS = ("runner-1", "runner-2")
SHARD = "porto:r1"
REQUEST_S = 2.5


class Cluster:
    """Two instances, their workers' tokens, and the calls between them."""

    def __init__(self):
        self.clock = ManualClock(100.0)
        self.members = NAMES
        self.cut = False
        self.highest = NO_TOKEN
        self.held_claims = {}
        self.drivers = {name: self.build(name) for name in NAMES}
        self.paths = []

    def build(self, name):
        fleet = make_fleet()
        dispatcher = Dispatcher(
            SlotHolder(name, self.clock),
            lambda: self.view(name),
            lambda: fleet,
            self.clock,
            Random(1),
        )
        return CreditDriver(
            name,
            dispatcher,
            SlotLedger(self.clock),
            lambda: self.view(name),
            lambda: fleet,
            lambda: self.held_claims.get(name, {}),
            self.call,
        )

    def view(self, name):
        members = tuple(
            Member(instance=each, address=each, failure_domain="porto", region="norte")
            for each in self.members
        )
        return ClusterView(
            instance=name,
            failure_domain="porto",
            region="norte",
            members=members,
            upstreams=tuple(make_runner(each) for each in RUNNERS),
        )

    def claim(self, name):
        now_s = self.clock.monotonic()
        token = FencingToken(counter=self.highest.counter + 1, holder=name)
        held_claim = HeldClaim(
            token=token, previous=self.highest, claimed_s=now_s, confirmed_s=now_s
        )
        self.held_claims[name] = {f"worker-of-{each}": held_claim for each in RUNNERS}
        self.highest = token

    def confirm(self, name):
        now_s = self.clock.monotonic()
        self.held_claims[name] = {
            worker: msgspec.structs.replace(held_claim, confirmed_s=now_s)
            for worker, held_claim in self.held_claims[name].items()
        }

    async def call(self, address, path, message, reply_type, timeout_s):
        self.paths.append(path)
        if self.cut:
            return Failure(PeerUnreachable("cut"))
        driver = self.drivers[address]
        answer = driver.lend if path == CREDITS_PATH else driver.hand_over
        sent = msgspec.json.decode(msgspec.json.encode(message), type=type(message))
        return Success(
            msgspec.json.decode(msgspec.json.encode(answer(sent)), type=reply_type)
        )

    async def run(self, *names):
        for name in names:
            await self.drivers[name].run_once()
            await self.drivers[name].wait_for_calls()

    def count(self, name):
        slots = self.drivers[name]._dispatcher.slots
        end_s = self.clock.monotonic() + REQUEST_S
        return [slots.count_usable(runner, end_s) for runner in RUNNERS]


def find_owner_and_other(cluster):
    owner = find_owner(SHARD, cluster.view("a").members)
    return owner, next(name for name in NAMES if name != owner)


async def test_both_instances_get_credits_from_the_owner():
    cluster = Cluster()
    owner, other = find_owner_and_other(cluster)
    cluster.claim(owner)
    await cluster.run(owner, other)
    assert all(cluster.count(owner) + cluster.count(other))


async def test_a_new_owner_fetches_the_ledger_and_lends_at_once():
    cluster = Cluster()
    owner, other = find_owner_and_other(cluster)
    cluster.claim(other)
    cluster.members = (other,)
    await cluster.run(other)
    cluster.members = NAMES
    cluster.claim(owner)
    await cluster.run(owner)
    cluster.clock.advance(0.5)
    await cluster.run(owner)
    assert all(cluster.count(owner))
    request = cluster.drivers[owner]._dispatcher.slots.build_request(
        SHARD, [("runner-1", 7)], force=True
    )
    assert not cluster.drivers[other].lend(request).grants


async def test_a_leaving_owner_hands_its_ledger_over_before_it_ends():
    cluster = Cluster()
    owner, other = find_owner_and_other(cluster)
    cluster.claim(owner)
    await cluster.run(owner, other)
    leaving = cluster.drivers[owner]
    assert not await leaving.wait_handed_over(0.0)
    cluster.members = (other,)
    cluster.claim(other)
    await cluster.run(other)
    assert await leaving.wait_handed_over(0.0)
    cluster.clock.advance(0.5)
    await cluster.run(other)
    assert all(cluster.count(other))


async def test_a_new_owner_cut_off_from_the_old_one_waits():
    cluster = Cluster()
    owner, other = find_owner_and_other(cluster)
    cluster.claim(other)
    cluster.cut = True
    cluster.claim(owner)
    await cluster.run(owner, owner)
    assert cluster.count(owner) == [0, 0]
    cluster.clock.advance(9.0)
    await cluster.run(owner)
    assert cluster.count(owner) == [0, 0]


async def test_the_floor_stays_usable_when_the_owner_is_cut_off():
    cluster = Cluster()
    owner, other = find_owner_and_other(cluster)
    cluster.claim(owner)
    await cluster.run(owner, other)
    cluster.cut = True
    cluster.clock.advance(20.0)
    await cluster.run(other)
    assert cluster.count(other) == [2, 2]


async def count_requests(cluster, seconds):
    """Return how many requests the other instance sends in some seconds."""
    owner, other = find_owner_and_other(cluster)
    for _ in range(4 * seconds):
        cluster.clock.advance(0.25)
        cluster.confirm(owner)
        await cluster.run(owner, other)
    return cluster.paths.count(CREDITS_PATH)


async def test_an_idle_instance_requests_credits_every_three_seconds():
    cluster = Cluster()
    cluster.claim(find_owner_and_other(cluster)[0])
    assert 4 <= await count_requests(cluster, 15) <= 6


async def test_a_refused_instance_requests_credits_at_most_twice_a_second():
    cluster = Cluster()
    cluster.claim(find_owner_and_other(cluster)[1])
    cluster.claim(find_owner_and_other(cluster)[0])
    assert await count_requests(cluster, 10) <= 20
