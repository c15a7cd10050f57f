"""Tests of membership and document in a fleet with a manual clock and cuts."""

import asyncio
import contextlib
import random

from returns.result import Failure, Success

from fuchsiascale.clock import ManualClock
from fuchsiascale.coordination import DocumentReplica, EditRequest, Member, Membership
from fuchsiascale.daemon._membership import HEARTBEAT_PATH, MembershipDriver
from fuchsiascale.daemon._peers import PeerUnreachable
from fuchsiascale.platform import ListedInstance, Unavailable
from fuchsiascale.platform.tests.fakes import FakeTables
from fuchsiascale.states import InstanceRole, ListedState
from fuchsiascale.testing import collect_functions

load_tests = collect_functions(__name__)

DOMAINS = ("porto", "braga", "faro")
SIZE = 3
TICK_S = 0.25
HEARTBEAT_S = 2.0
POLL_S = 2.0
IDLE_STEPS = 60
IN_FORCE_S = 7.0
LEAVING_S = 3.0
LIST_LAG_S = 10.0
WORKER = "porto-w1"
BASE = "[team admin]\nteam = admin\n[kind review]\nteam = admin\n"


class Store:
    """The shared table service as one instance reaches it."""

    def __init__(self, tables, fleet, name):
        self._tables, self._fleet, self._name = tables, fleet, name

    def __getattr__(self, method):
        async def call(*arguments, **options):
            if self._name in self._fleet.without_platform:
                return Failure(Unavailable(detail="cut"))
            return await getattr(self._tables, method)(*arguments, **options)

        return call


class Instance:
    """One instance with its membership, document and driver."""

    def __init__(self, fleet, name):
        self.name = name
        self._fleet = fleet
        source = random.Random(f"{name}-{fleet.clock.monotonic()}")
        domain = name.rpartition("-")[0]
        member = Member(instance=name, address=name, failure_domain=domain, region="r")
        self.membership = Membership(member, fleet.clock, source)
        store = Store(fleet.tables, fleet, name)
        self.documents = DocumentReplica(
            name, store, self._fetch, fleet.clock, source, sleep=skip_sleep
        )
        self.driver = MembershipDriver(self.membership, self.documents, self, self)
        self.heartbeat_due_s = fleet.clock.monotonic() + source.uniform(0, HEARTBEAT_S)
        self.poll_due_s = fleet.clock.monotonic() + source.uniform(0, POLL_S)
        self.revisions = []
        self.tasks = [
            asyncio.create_task(self.driver.send_announcements()),
            asyncio.create_task(self.driver.follow_revisions()),
        ]

    async def _fetch(self, address, request):
        return await self.driver.fetch_sections(address, request)

    async def call(self, address, path, message, reply_type):
        """Call a peer, as its client does."""
        await asyncio.sleep(0)
        peer = self._fleet.find(self.name, address)
        if peer is None:
            return Failure(PeerUnreachable("cut"))
        if path == HEARTBEAT_PATH:
            return Success(peer.driver.observe_heartbeat(message))
        return Success(peer.documents.build_sections_reply(message))

    async def fetch(self):
        """Read the instance list, as its port does."""
        if self.name in self._fleet.without_platform:
            return Failure(Unavailable(detail="cut"))
        return Success(self._fleet.listed())

    async def tick(self, now_s):
        """Send the heartbeat and read list and document when they are due."""
        if now_s >= self.heartbeat_due_s:
            self.heartbeat_due_s = now_s + HEARTBEAT_S
            await self.driver.send_heartbeat()
        if now_s >= self.poll_due_s:
            self.poll_due_s = now_s + POLL_S
            await self.driver.read_list()
            await self.driver.poll_document()
        self.revisions.append(self.documents.revision())


class Fleet:
    """Instances of three failure domains over one table service."""

    def __init__(self):
        self.clock = ManualClock(100.0, 1_000_000)
        self.tables = FakeTables()
        self.instances = {}
        self.without_platform = set()
        self.cut_domains = set()
        self.leave_s = None
        for domain in DOMAINS:
            for number in range(SIZE):
                self.start(f"{domain}-{number}")

    def start(self, name):
        """Start an instance without any state."""
        self.instances[name] = Instance(self, name)
        return self.instances[name]

    def find(self, caller, address):
        """Return the instance at an address, if the caller can reach it."""
        domains = {name.rpartition("-")[0] for name in (caller, address)}
        if len(domains) == 2 and domains & self.cut_domains:
            return None
        return self.instances.get(address)

    def listed(self):
        """Return the platform's list, which shows a leaving worker after a lag."""
        now_s = self.clock.monotonic()
        leaving = self.leave_s is not None and now_s > self.leave_s + LIST_LAG_S
        entries = [
            make_entry(name, InstanceRole.ENTRY, ListedState.LIVE)
            for name in self.instances
        ]
        state = ListedState.LEAVING if leaving else ListedState.LIVE
        return (*entries, make_entry(WORKER, InstanceRole.WORKER, state))

    async def run(self, seconds):
        """Advance the time in ticks."""
        for _ in range(int(seconds / TICK_S)):
            self.clock.advance(TICK_S)
            for instance in list(self.instances.values()):
                await instance.tick(self.clock.monotonic())
            await run_pending_tasks()

    async def run_until(self, condition, limit_s):
        """Advance the time until a condition holds; return the seconds."""
        passed_s = 0.0
        while not condition():
            assert passed_s < limit_s, f"not within {limit_s} s"
            await self.run(TICK_S)
            passed_s += TICK_S
        return passed_s

    async def edit(self, name, failures):
        """Edit through one instance as the operator route does."""
        instance = self.instances[name]
        text = f"[kind review]\nteam = admin\nmax_failures = {failures}\n"
        request = EditRequest(text=text, expected=instance.documents.sections())
        reply = (await instance.documents.edit(request, "admin", True)).unwrap()
        instance.driver.announce(everywhere=True)
        return reply.revision

    def all_have(self, revision, domains=DOMAINS):
        """Return whether every instance of some domains has a revision in force."""
        return all(
            instance.documents.revision() >= revision
            for name, instance in self.instances.items()
            if name.rpartition("-")[0] in domains
        )

    def cut_platform(self, domains=DOMAINS):
        """Make store and list unreachable for the instances of some domains."""
        self.without_platform |= {
            name for name in self.instances if name.rpartition("-")[0] in domains
        }

    def assert_forward_only(self):
        """Assert that no instance went back to an older revision."""
        for instance in self.instances.values():
            assert instance.revisions == sorted(instance.revisions), instance.name


def make_entry(name, role, state):
    return ListedInstance(
        instance_id=name,
        role=role,
        address=name,
        failure_domain=name.rpartition("-")[0],
        region="r",
        state=state,
    )


async def skip_sleep(seconds):
    await asyncio.sleep(0)


async def run_pending_tasks():
    for _ in range(IDLE_STEPS):
        await asyncio.sleep(0)


@contextlib.asynccontextmanager
async def running_fleet():
    """Yield a fleet with a first document that is in force everywhere."""
    fleet = Fleet()
    first = fleet.instances["porto-0"].documents
    (await first.edit(EditRequest(text=BASE), "admin", True)).unwrap()
    await fleet.run(20)
    assert fleet.all_have(1)
    try:
        yield fleet
        fleet.assert_forward_only()
    finally:
        for instance in fleet.instances.values():
            for task in instance.tasks:
                task.cancel()


async def test_an_edit_is_in_force_everywhere_in_time():
    async with running_fleet() as fleet:
        for failures in range(4, 14):
            revision = await fleet.edit("faro-1", failures)
            await fleet.run_until(lambda r=revision: fleet.all_have(r), IN_FORCE_S)


async def test_an_edit_before_the_store_goes_down_is_in_force_in_time():
    async with running_fleet() as fleet:
        revision = await fleet.edit("faro-1", 7)
        fleet.tables.down = True
        await fleet.run_until(lambda: fleet.all_have(revision), IN_FORCE_S)


async def test_racing_operators_agree_in_time():
    async with running_fleet() as fleet:
        edits = (fleet.edit(f"{domain}-0", 9) for domain in DOMAINS)
        results = await asyncio.gather(*edits, return_exceptions=True)
        revision = max(result for result in results if isinstance(result, int))
        await fleet.run_until(lambda: fleet.all_have(revision), IN_FORCE_S)
        texts = {each.documents.text() for each in fleet.instances.values()}
        assert len(texts) == 1


async def test_an_instance_started_in_an_outage_gets_its_peers_document():
    async with running_fleet() as fleet:
        revision = await fleet.edit("porto-0", 7)
        await fleet.run(IN_FORCE_S)
        fleet.tables.down = True
        fleet.instances.pop("porto-2")
        new = fleet.start("porto-2")
        assert not new.documents.ready()
        await fleet.run_until(new.documents.ready, IN_FORCE_S)
        assert new.documents.revision() == revision


async def test_an_instance_without_store_and_peers_is_not_ready():
    async with running_fleet() as fleet:
        fleet.tables.down = True
        fleet.cut_domains.add("porto")
        for number in range(SIZE):
            fleet.instances.pop(f"porto-{number}")
        new = fleet.start("porto-0")
        await fleet.run(60)
        assert not new.documents.ready()
        fleet.cut_domains.clear()
        await fleet.run_until(new.documents.ready, 30)


async def test_a_cut_domain_keeps_its_document_and_catches_up_when_joined():
    async with running_fleet() as fleet:
        fleet.cut_domains.add("faro")
        fleet.cut_platform(("faro",))
        revision = await fleet.edit("porto-0", 7)
        await fleet.run_until(
            lambda: fleet.all_have(revision, ("porto", "braga")), IN_FORCE_S
        )
        await fleet.run(120)
        for number in range(SIZE):
            cut = fleet.instances[f"faro-{number}"]
            assert cut.documents.revision() == 1
            assert cut.documents.ready()
            view = cut.membership.view()
            assert len(view.members) == SIZE
            assert [entry.instance_id for entry in view.upstreams] == [WORKER]
        fleet.cut_domains.clear()
        fleet.without_platform.clear()
        await fleet.run_until(lambda: fleet.all_have(revision), IN_FORCE_S)


async def test_a_domain_joined_without_the_store_catches_up_from_peers():
    async with running_fleet() as fleet:
        fleet.cut_domains.add("faro")
        revision = await fleet.edit("porto-0", 7)
        fleet.cut_platform()
        await fleet.run(60)
        fleet.cut_domains.clear()
        await fleet.run_until(lambda: fleet.all_have(revision), 30)


async def test_a_leaving_worker_is_known_in_time_when_the_list_lags():
    async with running_fleet() as fleet:
        fleet.leave_s = fleet.clock.monotonic()
        fleet.instances["porto-1"].driver.mark_leaving([WORKER])
        members = [fleet.instances[f"porto-{number}"] for number in range(SIZE)]

        def known():
            return all(WORKER in each.membership.view().leaving for each in members)

        await fleet.run_until(known, LEAVING_S)
        for _ in range(60):
            await fleet.run(0.5)
            assert known()


async def test_a_leaving_worker_is_known_in_time_without_the_platform():
    async with running_fleet() as fleet:
        fleet.cut_platform()
        await fleet.run(30)
        fleet.instances["porto-1"].driver.mark_leaving([WORKER])
        members = [fleet.instances[f"porto-{number}"] for number in range(SIZE)]
        await fleet.run_until(
            lambda: all(WORKER in m.membership.view().leaving for m in members),
            LEAVING_S,
        )


async def test_confirmations_list_the_instances_with_and_without_a_revision():
    async with running_fleet() as fleet:
        fleet.cut_domains.add("faro")
        fleet.cut_platform(("faro",))
        revision = await fleet.edit("porto-0", 7)
        await fleet.run(IN_FORCE_S)
        reply = await fleet.instances["porto-0"].driver.confirm(revision)
        assert set(reply.missing) == {f"faro-{number}" for number in range(SIZE)}
        assert len(reply.confirmed) == 2 * SIZE
