"""Calls to workers through peers that stop, fall silent or are paused.

One process could not make the calls to 446 workers: it ran at its processor limit, so
that urgent tasks waited for their start longer than they ran.
"""

import asyncio

import msgspec
from returns.result import Failure, Success

from fuchsiascale.clock import ManualClock
from fuchsiascale.jobs import (
    Executed,
    Inventory,
    ListedWorker,
    Member,
    Members,
    NoAnswer,
    PeerReply,
    Ping,
    Pong,
    Refused,
    RefusedReason,
    RelayedWorkers,
    Resources,
    StartRequest,
    WorkerRelay,
    select_relays,
)
from fuchsiascale.testing import LoopClock, collect_functions, run_in_virtual_time

load_tests = collect_functions(__name__)

WORKERS = 40
PEER = "10.0.0.2:7000"
INVENTORY = Inventory(clock_ms=7, incarnation=3)


class FakeWorkers:
    """Workers that record calls, and return the given result after a delay."""

    def __init__(self, result=None, delay_s=0.01):
        self.result = result or Success(Executed(7))
        self.delay_s = delay_s
        self.calls = []

    async def _answer(self, name, result):
        self.calls.append(name)
        await asyncio.sleep(self.delay_s)
        return result

    async def exchange(self, worker, token, acknowledged, lease_until_ms, wait_ms):
        return await self._answer("exchange", Success(INVENTORY))

    async def start(self, worker, request):
        return await self._answer(request.task, self.result)

    async def stop(self, worker, task, attempt, token):
        return await self._answer("stop", self.result)

    async def pace(self, worker, task, attempt, percent, token):
        return await self._answer("pace", self.result)


class Pipe:
    """One end of a connection in memory."""

    def __init__(self):
        self.inbox = asyncio.Queue()
        self.other = None
        self.is_cut = False
        self.messages = 0

    def send(self, content):
        if callable(content):
            content = content()
            if content is None:
                return
        self.messages += 1
        if not self.is_cut:
            self.other.inbox.put_nowait(content)

    async def receive(self):
        return await self.inbox.get()

    def abort(self):
        for end in (self, self.other):
            end.inbox.put_nowait(None)


class Peer:
    """A peer that relays calls, and the connections to it."""

    def __init__(self):
        self.workers = FakeWorkers()
        self.relay = WorkerRelay(self.workers, LoopClock())
        self.runner = asyncio.create_task(self.relay.run())
        self.served = []
        self.owner_ends = []
        self.is_down = False

    async def connect(self, address):
        await asyncio.sleep(0)
        if self.is_down:
            raise ConnectionRefusedError(address)
        owner_end, peer_end = Pipe(), Pipe()
        owner_end.other, peer_end.other = peer_end, owner_end
        self.owner_ends.append(owner_end)
        self.served.append(asyncio.create_task(self.relay.serve(peer_end)))
        return owner_end

    def close(self):
        self.runner.cancel()
        for task in self.served:
            task.cancel()


def make_worker(number=0):
    return ListedWorker(
        worker=f"w{number}",
        service="pool",
        address=f"10.1.0.{number}:80",
        domain="porto",
        capacity=Resources(),
        labels=(),
    )


def make_start(task="a.0.0.0"):
    return StartRequest(task=task, attempt=1, payload="p", lease_until_ms=1, token=1)


class World:
    """An owner of weak strength, one peer, and the workers behind both."""

    async def __aenter__(self):
        self.peer = Peer()
        self.direct = FakeWorkers()
        clock = LoopClock()
        members = Members(Member("10.0.0.1:7000", "porto", "norte", 0.1), clock)
        members.observe(Member(PEER, "porto", "norte", 1.0))
        self.members = members
        self.workers = RelayedWorkers(self.direct, self.peer.connect, members, clock)
        self.domains = {f"w{number}": "porto" for number in range(WORKERS)}
        self.workers.assign(self.domains)
        return self

    async def __aexit__(self, *exc_info):
        self.workers.close()
        self.peer.close()


def play(scenario):
    """Run a scenario in virtual time."""

    async def run():
        async with World() as world:
            await scenario(world)

    run_in_virtual_time(run())


def test_calls_of_one_pass_of_the_loop_are_relayed_in_one_message():
    async def scenario(world):
        await world.workers.start(make_worker(), make_start())
        before = world.peer.owner_ends[0].messages
        replies = await asyncio.gather(
            *(
                world.workers.start(make_worker(number), make_start(f"t{number}"))
                for number in range(WORKERS)
            )
        )
        assert replies == [Success(Executed(7))] * WORKERS
        assert world.peer.owner_ends[0].messages == before + 1
        assert world.direct.calls == []

    play(scenario)


def test_every_kind_of_call_and_reply_is_relayed():
    async def scenario(world):
        refused = Failure(Refused(RefusedReason.NO_ROOM, 9))
        worker = make_worker()
        assert await world.workers.exchange(worker, 1, 2, None, 0) == Success(INVENTORY)
        assert await world.workers.stop(worker, "t", 1, 1) == Success(Executed(7))
        assert await world.workers.pace(worker, "t", 1, 50, 1) == Success(Executed(7))
        world.peer.workers.result = refused
        assert await world.workers.start(worker, make_start()) == refused
        assert world.direct.calls == []

    play(scenario)


def test_a_call_that_could_not_be_sent_is_made_directly():
    async def scenario(world):
        world.peer.is_down = True
        reply = await world.workers.start(make_worker(), make_start())
        assert reply == Success(Executed(7))
        assert world.direct.calls == ["a.0.0.0"]

    play(scenario)


def test_a_call_in_flight_at_a_peer_that_falls_silent_counts_as_unanswered():
    async def scenario(world):
        await world.workers.start(make_worker(), make_start("first"))
        world.peer.owner_ends[0].is_cut = True
        reply = await world.workers.start(make_worker(), make_start("second"))
        assert isinstance(reply.failure(), NoAnswer)
        assert "second" not in world.direct.calls
        reply = await world.workers.start(make_worker(1), make_start("third"))
        assert reply == Success(Executed(7))
        assert world.direct.calls == ["third"]

    play(scenario)


def test_a_worker_that_did_not_answer_a_peer_is_called_directly():
    async def scenario(world):
        world.peer.workers.result = Failure(NoAnswer())
        await world.workers.start(make_worker(), make_start("first"))
        await world.workers.start(make_worker(), make_start("second"))
        assert world.direct.calls == ["second"]

    play(scenario)


def test_a_peer_that_is_stopping_finishes_its_calls_and_gets_no_others():
    async def scenario(world):
        world.peer.workers.delay_s = 0.3
        call = asyncio.create_task(world.workers.start(make_worker(), make_start("a")))
        await asyncio.sleep(0.1)
        world.peer.relay.stop()
        await asyncio.sleep(0.1)
        await world.workers.start(make_worker(1), make_start("b"))
        assert await call == Success(Executed(7))
        assert world.peer.workers.calls == ["a"]
        assert world.direct.calls == ["b"]

    play(scenario)


def test_a_peer_that_is_replaced_finishes_its_calls():
    async def scenario(world):
        world.peer.workers.delay_s = 0.3
        call = asyncio.create_task(world.workers.start(make_worker(), make_start("a")))
        await asyncio.sleep(0.1)
        world.workers.assign({"w0": "porto"})
        assert await call == Success(Executed(7))
        world.workers.assign({})
        assert world.workers.count_channels() == 0

    play(scenario)


def test_calls_that_waited_during_a_pause_of_the_peer_are_not_made():
    async def scenario(world):
        await world.workers.start(make_worker(), make_start("first"))
        loop = asyncio.get_running_loop()
        late = world.workers.start(make_worker(), make_start("old"))
        call = asyncio.create_task(late)
        # The pause begins after the owner has sent the message.
        loop.call_soon(loop.call_soon, loop.advance, 3.0)
        reply = await call
        assert isinstance(reply.failure(), NoAnswer)
        assert "old" not in world.peer.workers.calls

    play(scenario)


def test_a_peer_is_used_again_some_seconds_after_its_connection_failed():
    async def scenario(world):
        world.peer.is_down = True
        await world.workers.start(make_worker(), make_start("a"))
        world.peer.is_down = False
        await asyncio.sleep(3.5)
        world.members.observe(Member(PEER, "porto", "norte", 1.0))
        world.workers.assign(world.domains)
        await world.workers.start(make_worker(), make_start("b"))
        assert world.peer.workers.calls == ["b"]

    play(scenario)


def test_malformed_calls_end_the_connection():
    async def scenario(world):
        end = await world.peer.connect(PEER)
        end.send(b"[1,2")
        assert await end.receive() is None
        end = await world.peer.connect(PEER)
        end.send(msgspec.json.encode([[1, {"worker": "w"}, {"type": "other"}]]))
        assert await end.receive() is None

    play(scenario)


def test_workers_are_divided_by_the_strength_of_the_peers_of_their_domain():
    workers = {f"w{number}": "porto" for number in range(120)}
    workers |= {f"v{number}": "faro" for number in range(20)}
    candidates = [
        Member("strong", "porto", "norte", 1.0),
        Member("weak", "porto", "norte", 0.5),
        Member("spare", "porto", "norte", 0.4),
    ]
    relays = select_relays(workers, candidates, 0.5)
    counts = {name: list(relays.values()).count(name) for name in set(relays.values())}
    assert set(counts) == {"strong", "weak"}
    assert counts["strong"] > counts["weak"] > 0
    assert sum(counts.values()) == 120


def test_a_small_deployment_calls_its_workers_directly():
    candidates = [Member("peer", "porto", "norte", 0.5)]
    workers = {f"w{number}": "porto" for number in range(33)}
    assert select_relays(workers, candidates, 0.53) == {}


def test_members_are_reported_again_only_after_a_change():
    clock = ManualClock()
    owner = Members(Member("o:1", "porto", "norte"), clock)
    other = Members(Member("a:1", "faro", "sul"), clock)
    owner.observe(Member("a:1", "faro", "sul"))
    members, digest = owner.report(other.reported_digest)
    other.apply_report("o:1", members, digest)
    assert other.addresses() == ["o:1"]
    assert owner.report(other.reported_digest) == (None, digest)
    owner.observe(Member("b:1", "faro", "sul"))
    members, digest = owner.report(other.reported_digest)
    other.apply_report("o:1", members, digest)
    assert other.near_addresses() == ["b:1"]
    clock.advance(2.0)
    other.apply_report("o:1", None, digest)
    clock.advance(2.0)
    assert other.addresses() == ["b:1", "o:1"]


def test_stronger_members_claim_first_and_equal_ones_in_an_agreed_order():
    names = {"a:1": 1.0, "b:1": 0.5, "c:1": 0.5, "owner:1": 1.0}
    ranks = {}
    for own in names:
        members = Members(Member(own, strength=names[own]), ManualClock())
        for address, strength in names.items():
            members.observe(Member(address, strength=strength))
        ranks[own] = members.rank("pool|7", "owner:1")
    assert ranks["a:1"] == 0
    assert sorted((ranks["b:1"], ranks["c:1"])) == [1, 2]


def test_an_instance_of_the_build_before_can_still_be_pinged():
    old = {
        "type": "pong",
        "instance": "entry-1",
        "incarnation": "1",
        "owned": {"pool": 3},
        "members": ["10.0.0.1:7000"],
        "near": ["10.0.0.1:7000"],
    }
    pong = msgspec.json.decode(msgspec.json.encode(old), type=PeerReply)
    assert pong.owned == {"pool": 3}
    assert pong.live_members is None


def test_the_build_before_ignores_the_new_fields_of_a_ping_and_its_answer():
    ping = msgspec.to_builtins(Ping(instance="a", incarnation="1", address="b:1"))
    assert {"instance", "incarnation", "address", "strength", "region"} <= ping.keys()
    pong = msgspec.to_builtins(
        Pong(instance="a", incarnation="1", live_members=(Member("b:1"),))
    )
    assert not {"members", "near"} & pong.keys()
