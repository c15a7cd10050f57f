"""Tests of the configuration feed in virtual time, over a link of limited bandwidth."""

import asyncio
import contextlib
from types import SimpleNamespace

import msgspec
from hypothesis import given, settings
from hypothesis import strategies as st
from returns.result import Failure, Success

from fuchsiascale.jobs import (
    Configuration,
    ConfigurationFeed,
    ConfigurationFreshness,
    ConfigurationQuery,
    ConfigurationReply,
    ConfigurationWatch,
    NoAnswer,
    Ping,
    Queue,
    QueuePolicy,
    RowKey,
    StoredRow,
    TableWatch,
    VersionedRows,
    apply_change,
    compute_change,
    pack_change,
    unpack_change,
)
from fuchsiascale.testing import LoopClock, collect_functions, run_in_virtual_time

load_tests = collect_functions(__name__)

REGION_LINK_BYTES_PER_S = 30e6 / 8
GROWN_APPLY_LIMIT_S = 4.0
"""Required time for a version to be in force at the grown sites."""
APPLY_LIMIT_S = 2.5
"""The same at the present sites."""
PING_PERIOD_S = 0.3
SEGMENT_BYTES = 16_384
QUEUE_BYTES = 195
"""Size of one queue in the operator's row."""
BASE64 = 4 / 3


class Link:
    """A link whose bandwidth concurrent transfers share fairly."""

    def __init__(self, bytes_per_s):
        self.bytes_per_s = bytes_per_s
        self.carried = 0
        self._lock = asyncio.Lock()

    async def carry(self, size):
        """Transfer ``size`` bytes."""
        while size > 0:
            segment = min(size, SEGMENT_BYTES)
            async with self._lock:
                await asyncio.sleep(segment / self.bytes_per_s)
            self.carried += segment
            size -= segment


class OperatorTable:
    """The operator's table: the versions of one row."""

    def __init__(self):
        self.rows = []
        self.put_s = {}
        self.changed = asyncio.Event()

    @property
    def version(self):
        return self.rows[-1].version if self.rows else 0

    def put(self, configuration):
        value = msgspec.json.encode(configuration)
        value = value.ljust(QUEUE_BYTES * len(configuration.queues))
        row = StoredRow(RowKey("op", "", "config"), value, self.version + 3)
        self.rows.append(row)
        self.put_s[configuration.version] = LoopClock().monotonic()
        self.changed.set()
        self.changed = asyncio.Event()


class Store:
    """The store as reached by one instance."""

    def __init__(self, operator_table, link):
        self.operator_table = operator_table
        self.link = link
        self.silent = False
        self.rows_sent = 0

    async def read(self, table, partition, first="", last=""):
        return await self._send(self.operator_table.rows[-1:])

    async def follow(self, table, after, wait_ms):
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(wait_ms / 1000):
                while self.operator_table.version <= after:
                    await self.operator_table.changed.wait()
        return await self._send(
            [row for row in self.operator_table.rows if row.version > after]
        )

    async def _send(self, rows):
        if self.silent:
            await asyncio.sleep(0.7)
            return Failure(NoAnswer())
        version = self.operator_table.version
        self.rows_sent += len(rows)
        if self.link is not None:
            size = sum(len(row.value) for row in rows) * BASE64
            await self.link.carry(200 + size)
        return Success(VersionedRows(tuple(rows), version))


class Instance:
    """One instance with its feed; also acts as its ownership manager and peer port."""

    def __init__(self, world, number, region):
        self.world = world
        self.region = region
        self.cut = False
        self.owners = {}
        self.in_force_s = {}
        self.identity = Ping(
            instance=f"entry-{number}",
            incarnation="1",
            address=f"10.0.0.{number}:7000",
            region=region,
        )
        self.store = Store(
            world.operator_table, world.link if region == "far" else None
        )
        self.watch = ConfigurationWatch(
            "config", lambda value: msgspec.json.decode(value, type=Configuration)
        )
        table = TableWatch(self.store, "op", self._apply_rows, LoopClock(), 0.2, 400)
        self.feed = ConfigurationFeed(
            table,
            self.watch,
            self,
            self,
            world.seeds,
            LoopClock(),
            self._record_version,
        )

    def _apply_rows(self, rows):
        self.watch.apply_rows(rows)
        self._record_version()

    def _record_version(self):
        now_s = LoopClock().monotonic()
        self.in_force_s.setdefault(self.watch.version, now_s)

    def members(self):
        return [
            each.identity.address
            for each in self.world.instances.values()
            if each is not self
        ]

    def near_members(self):
        instances = self.world.instances
        return [at for at in self.members() if instances[at].region == self.region]

    async def ask(self, address, message, timeout_s):
        """Ask a peer; see `PeerClient.ask`."""
        peer = self.world.instances.get(address)
        if peer is None or peer.cut or self.cut:
            await asyncio.sleep(timeout_s)
            return None
        if isinstance(message, ConfigurationQuery):
            reply = peer.feed.answer(message)
        else:
            reply = peer.feed.get_freshness()
        if peer.region != self.region:
            await self.world.link.carry(300 + len(msgspec.json.encode(reply)))
        return reply

    async def ping(self):
        """Ping the owner, as the ownership manager does."""
        while True:
            for peer in list(self.world.instances.values()):
                if peer.owners and peer is not self:
                    asked_s = LoopClock().monotonic()
                    freshness = await self.ask(peer.identity.address, None, 0.5)
                    self.feed.apply_freshness(peer.identity.address, freshness, asked_s)
            await asyncio.sleep(PING_PERIOD_S)


class World:
    """Instances in the region of the store, and others in a region behind a link."""

    def __init__(self, near=3, far=3, seeds=()):
        self.link = Link(REGION_LINK_BYTES_PER_S)
        self.operator_table = OperatorTable()
        self.seeds = seeds
        self.instances = {}
        self._tasks = []
        self.operator_table.put(make_configuration(2, 240))
        for number in range(near + far):
            self.add(number, "near" if number < near else "far")

    def add(self, number, region):
        """Add an instance without starting it."""
        instance = Instance(self, number, region)
        self.instances[instance.identity.address] = instance
        return instance

    def start(self, instance):
        """Start the feed and the pings of an instance."""
        for coroutine in (instance.feed.run(), instance.ping()):
            self._tasks.append(asyncio.create_task(coroutine))

    async def start_all(self, owner=0):
        """Start all instances and wait until the first version is in force at each."""
        instances = list(self.instances.values())
        instances[owner].owners = {"pool": object()}
        for instance in instances:
            self.start(instance)
        await asyncio.sleep(5.0)
        assert all(each.watch.version == 2 for each in instances)

    def measure_delay_s(self, instance, version):
        """Return the time from a put until that or a later version was in force."""
        found = [
            at for applied, at in instance.in_force_s.items() if applied >= version
        ]
        return min(found, default=float("inf")) - self.operator_table.put_s[version]

    def measure_longest_delay_s(self):
        """Return the longest time until a version was in force at an instance."""
        return max(
            self.measure_delay_s(instance, version)
            for instance in self.instances.values()
            for version in self.operator_table.put_s
            if version > 2
        )


def make_configuration(version, count):
    """Return a version with ``count`` queues of a realistic size."""
    policies = (
        QueuePolicy(queue=f"r-{n:07}", service="pool", priority=n % 3, stretch=2.2)
        for n in range(count)
    )
    queues = tuple(
        Queue(host=f"host{n % 12}.example", prefix=f"/q{n:06}/{version}/", policy=each)
        if n == count - 1
        else Queue(host=f"host{n % 12}.example", prefix=f"/q{n:06}/", policy=each)
        for n, each in enumerate(policies)
    )
    return Configuration(version=version, queues=queues, services=("pool",))


async def grow_and_change(world):
    """Add 1,400 queues, then change the configuration every 0.33 s."""
    for version in range(10, 20):
        world.operator_table.put(make_configuration(version, 1_640))
        await asyncio.sleep(1.3 if version == 10 else 0.33)
    await asyncio.sleep(20.0)


def test_a_growing_configuration_is_applied_in_time_behind_a_shared_link():
    async def scenario():
        world = World(near=15, far=16)
        await world.start_all()
        await grow_and_change(world)
        assert world.measure_longest_delay_s() <= GROWN_APPLY_LIMIT_S
        assert world.link.carried < 16 * 200_000

    run_in_virtual_time(scenario())


def test_a_growing_configuration_is_applied_in_time_with_the_owner_behind_the_link():
    async def scenario():
        world = World(near=15, far=16)
        await world.start_all(owner=20)
        await grow_and_change(world)
        assert world.measure_longest_delay_s() <= GROWN_APPLY_LIMIT_S

    run_in_virtual_time(scenario())


def test_the_link_is_congested_if_all_instances_follow_the_store():
    async def scenario():
        world = World(near=15, far=16)
        await world.start_all()
        for instance in world.instances.values():
            instance.owners = {"pool": object()}
            instance.cut = True
        await grow_and_change(world)
        assert world.measure_longest_delay_s() > GROWN_APPLY_LIMIT_S

    run_in_virtual_time(scenario())


# name, the object and the attribute that simulate the outage
OUTAGES = (
    ("owner unreachable", lambda owner, far: (owner, "cut")),
    ("owner without the store", lambda owner, far: (owner.store, "silent")),
    ("instance without the store", lambda owner, far: (far.store, "silent")),
    ("instance without peers", lambda owner, far: (far, "cut")),
)


def test_a_version_is_applied_in_time_during_an_outage():
    async def scenario(name, choose):
        world = World()
        await world.start_all()
        instances = list(world.instances.values())
        failing, attribute = choose(instances[0], instances[-1])
        setattr(failing, attribute, True)
        # Edits arrive at varying moments within the open polls and pings.
        for version in range(10, 40):
            world.operator_table.put(make_configuration(version, 245))
            await asyncio.sleep(3.07)
        for instance in instances:
            for version in range(10, 40):
                delay_s = world.measure_delay_s(instance, version)
                assert delay_s <= APPLY_LIMIT_S, (
                    name,
                    instance.identity.instance,
                    delay_s,
                )

    for name, choose in OUTAGES:
        run_in_virtual_time(scenario(name, choose))


def test_most_instances_fetch_a_version_from_peers_if_the_owner_is_unreachable():
    async def scenario():
        world = World(near=2, far=16)
        await world.start_all()
        instances = list(world.instances.values())
        far = [each for each in instances if each.region == "far"]
        instances[0].cut = True
        before = sum(each.store.rows_sent for each in far)
        world.operator_table.put(make_configuration(10, 1_640))
        await asyncio.sleep(10.0)
        assert world.measure_longest_delay_s() <= APPLY_LIMIT_S
        assert sum(each.store.rows_sent for each in far) - before <= len(far) // 2

    run_in_virtual_time(scenario())


def test_a_process_that_starts_while_the_store_is_unreachable_asks_its_seeds():
    async def scenario():
        world = World(near=2, far=0, seeds=("10.0.0.7:7000", "10.0.0.0:7000"))
        await world.start_all()
        late = world.add(9, "near")
        late.store.silent = True
        world.start(late)
        await asyncio.sleep(2.0)
        assert late.watch.version == 2

    run_in_virtual_time(scenario())


def make_watch(version, count):
    """Return a watch that has a version in force."""
    watch = ConfigurationWatch("config", None)
    watch.apply_peer_change(
        compute_change(None, make_configuration(version, count)), "peer", 0
    )
    return watch


def make_feed(watch):
    """Return a feed without peers."""
    table = SimpleNamespace(store_version=7, current_as_of_s=0.0)
    return ConfigurationFeed(table, watch, None, None, (), LoopClock(), lambda: None)


def test_a_change_based_on_another_version_is_not_applied():
    watch = make_watch(5, 3)
    change = compute_change(make_configuration(4, 2), make_configuration(6, 4))
    assert not watch.apply_peer_change(change, "peer", 0)
    assert watch.version == 5


def test_an_older_version_from_a_peer_is_not_applied():
    watch = make_watch(5, 3)
    watch.apply_peer_change(compute_change(None, make_configuration(4, 9)), "peer", 0)
    assert watch.configuration == make_configuration(5, 3)


def test_a_peer_with_an_unknown_version_is_sent_the_whole_configuration():
    watch = make_watch(5, 3)
    change = unpack_change(watch.pack_change_from(3))
    assert change.base == 0
    assert apply_change(None, change) == make_configuration(5, 3)


async def test_a_peer_that_has_the_version_is_sent_only_the_freshness():
    reply = make_feed(make_watch(5, 3)).answer(ConfigurationQuery(5))
    assert isinstance(reply, ConfigurationReply)
    assert reply.mark.version == 5
    assert reply.packed == b""


async def test_the_freshness_of_an_older_version_is_ignored():
    feed = make_feed(make_watch(5, 3))
    now_s = LoopClock().monotonic()
    freshness = ConfigurationFreshness(version=4, position=90, age_s=0.0)
    feed.apply_freshness("10.0.0.1:7000", freshness, now_s)
    assert feed.table.store_version == 7
    assert feed.age_s() >= now_s


def test_only_a_packed_change_is_unpacked():
    assert unpack_change(b"x") is None
    assert unpack_change(pack_change(compute_change(None, make_configuration(1, 0))))


QUEUES = st.lists(st.integers(0, 30), unique=True).map(
    lambda numbers: tuple(
        Queue(
            host="a.example",
            prefix=f"/{n}/",
            policy=QueuePolicy(queue=f"q{n}", service="pool"),
        )
        for n in numbers
    )
)


def test_a_change_leads_from_one_version_to_the_other():
    @settings(max_examples=200, derandomize=True, deadline=None)
    @given(QUEUES, QUEUES)
    def check(before, after):
        old = Configuration(version=3, queues=before)
        new = Configuration(version=8, queues=after, services=("pool",))
        found = apply_change(old, unpack_change(pack_change(compute_change(old, new))))
        assert set(found.queues) == set(new.queues)
        assert len(found.queues) == len(new.queues)
        assert (found.version, found.services) == (8, ("pool",))

    check()
