"""Measures heartbeats: their bytes, how fast marks spread, and failure detection."""

import asyncio
from random import Random

import aiohttp
import msgspec
from aiohttp import web

from fuchsiascale.clock import ManualClock
from fuchsiascale.coordination import (
    Heartbeat,
    HeartbeatReply,
    Member,
    Membership,
    PeerDigest,
    ShardDigest,
)
from fuchsiascale.daemon._application import SKIPPED_HEADERS
from fuchsiascale.daemon._listeners import drop_server_headers
from fuchsiascale.daemon._peers import PeerClient
from fuchsiascale.platform import FencingToken, ListedInstance, Resources
from fuchsiascale.states import InstanceRole, PeerState
from measurements._report import Figure, Report, make_figure, register_measurement

SIZES = (8, 31, 240)
DOMAIN_SIZE = 8
SHARDS_PER_INSTANCE = 4
WARM_UP_S = 60
RUN_S = 300
MAX_DETECTION_S = 40
CONTROL_BYTES_PER_S = 2_000
MAX_LEAVING_S = 3.0
TICK_S = 0.1
HEARTBEAT_INTERVAL_S = 2.0
SEED = 17


class InMemoryNetwork:
    """Memberships that exchange messages in memory, on one manual clock."""

    def __init__(self, size, header_bytes):
        self.clock = ManualClock(100.0, 1_800_000_000_000)
        self.random = Random(SEED)
        self.header_bytes = header_bytes
        self.nodes = {}
        self.next_heartbeat_s = {}
        self.down = set()
        self.bytes = 0
        for number in range(size):
            domain = f"domain-{number // DOMAIN_SIZE:02d}"
            self._add_node(f"{domain}-e{number % DOMAIN_SIZE}", domain)
        instance_list = tuple(
            self._build_list_entry(node) for node in self.nodes.values()
        )
        for node in self.nodes.values():
            node.observe_list(instance_list)

    def _add_node(self, name, domain):
        member = Member(
            instance=name, address=name, failure_domain=domain, region="region-1"
        )
        node = Membership(member, self.clock, Random(self.random.random()))
        node.update(shards=make_shards(name))
        self.nodes[name] = node
        self.next_heartbeat_s[name] = self.clock.monotonic() + self.random.uniform(
            0, HEARTBEAT_INTERVAL_S
        )

    def _build_list_entry(self, node):
        digest = node.digest()
        return ListedInstance(
            instance_id=digest.instance,
            role=InstanceRole.ENTRY,
            address=digest.address,
            failure_domain=digest.failure_domain,
            region=digest.region,
        )

    def advance(self):
        """Advance the clock by one tick and send the heartbeats that are due."""
        self.clock.advance(TICK_S)
        now_s = self.clock.monotonic()
        for name, node in self.nodes.items():
            if name in self.down or now_s < self.next_heartbeat_s[name]:
                continue
            self.next_heartbeat_s[name] = (
                now_s + HEARTBEAT_INTERVAL_S * self.random.uniform(0.9, 1.1)
            )
            self.send_heartbeats(name, node.choose_targets())

    def send_heartbeats(self, name, addresses):
        """Deliver one heartbeat to each address, and the replies to the sender."""
        if not addresses:
            return
        node = self.nodes[name]
        heartbeat = node.heartbeat()
        for address in addresses:
            if address in self.down:
                node.observe_failure(address)
                continue
            reply = self.nodes[address].observe_heartbeat(heartbeat)
            node.observe_reply(reply)
            sizes = (
                len(msgspec.json.encode(message)) for message in (heartbeat, reply)
            )
            self.bytes += sum(sizes) + self.header_bytes

    def list_domain_members(self, name):
        """Return the names of the other live members of a node's failure domain."""
        domain = self.nodes[name].digest().failure_domain
        return [
            other
            for other in self.nodes
            if other.startswith(domain) and other != name and other not in self.down
        ]


def make_shards(name):
    """Return the digests of the maximum number of shards that an instance owns."""
    token = FencingToken(counter=12, holder=name)
    free = Resources(millicores=123_456, memory_mb=654_321)
    return tuple(
        ShardDigest(shard=f"{name}:rack{number}", token=token, free=free, waiting=17)
        for number in range(SHARDS_PER_INSTANCE)
    )


async def measure_header_bytes():
    """Return the header bytes of one heartbeat exchange over a loopback socket.

    A proxy between the client and a server configured like the daemon's listeners
    counts the bytes of the second exchange on a persistent connection.
    """
    digest = PeerDigest(
        instance="a",
        address="10.0.0.1:7102",
        failure_domain="f",
        region="r",
        incarnation=1,
        beat=1,
    )
    heartbeat, reply = Heartbeat(digests=(digest,)), HeartbeatReply(digests=(digest,))
    bodies = sum(len(msgspec.json.encode(each)) for each in (heartbeat, reply))

    async def handle(request):
        await request.read()
        return web.Response(
            body=msgspec.json.encode(reply), content_type="application/json"
        )

    application = web.Application()
    application.on_response_prepare.append(drop_server_headers)
    application.router.add_post("/peer/v1/heartbeat", handle)
    runner = web.AppRunner(application, access_log=None)
    await runner.setup()
    site = web.TCPSite(runner, "127.0.0.1", 0)
    await site.start()
    port = site._server.sockets[0].getsockname()[1]
    byte_counts = []

    async def pipe(reader, writer):
        while data := await reader.read(65_536):
            byte_counts.append(len(data))
            writer.write(data)
            await writer.drain()
        writer.close()

    async def relay(reader, writer):
        upstream = await asyncio.open_connection("127.0.0.1", port)
        await asyncio.gather(pipe(reader, upstream[1]), pipe(upstream[0], writer))

    proxy = await asyncio.start_server(relay, "127.0.0.1", 0)
    address = f"127.0.0.1:{proxy.sockets[0].getsockname()[1]}"
    async with aiohttp.ClientSession(skip_auto_headers=SKIPPED_HEADERS) as session:
        client = PeerClient(session, "t" * 32)
        for _ in range(2):
            byte_counts.clear()
            result = await client.call(
                address, "/peer/v1/heartbeat", heartbeat, HeartbeatReply
            )
            result.unwrap()
    proxy.close()
    await runner.cleanup()
    return sum(byte_counts) - bodies


def measure_bytes(network):
    """Return the bytes per second of a node and the number of false detections."""
    false_losses = 0
    network.bytes = 0
    for _ in range(int(RUN_S / TICK_S)):
        network.advance()
        name = network.random.choice(sorted(network.nodes))
        node = network.nodes[name]
        states = [node.state_of(other) for other in network.list_domain_members(name)]
        false_losses += states.count(PeerState.GONE)
    return 2 * network.bytes / RUN_S / len(network.nodes), false_losses


def measure_leaving_s(network):
    """Return the longest time until all members have a leaving mark, in seconds.

    The first messages with the mark are lost.
    """
    longest_s = 0.0
    for number in range(20):
        name = network.random.choice(sorted(network.nodes))
        worker = f"worker-{number}"
        began_s = network.clock.monotonic()
        network.nodes[name].mark_leaving([worker])
        members = network.list_domain_members(name)
        while not all(
            worker in network.nodes[other].view().leaving for other in members
        ):
            network.advance()
        longest_s = max(longest_s, network.clock.monotonic() - began_s)
    return longest_s


def measure_detection_s(network):
    """Return the time until all members treat a killed one as gone, in seconds."""
    name = sorted(network.nodes)[3]
    network.down.add(name)
    began_s = network.clock.monotonic()
    last_s = 0.0
    for other in network.list_domain_members(name):
        node = network.nodes[other]
        while node.state_of(name) is not PeerState.GONE:
            network.advance()
            if network.clock.monotonic() - began_s > MAX_DETECTION_S:
                return MAX_DETECTION_S
        last_s = network.clock.monotonic() - began_s
    return last_s


@register_measurement("membership", "Heartbeats: bytes, spread and detection")
def run():
    """Measure networks of three sizes."""
    header_bytes = asyncio.run(measure_header_bytes())
    figures = [Figure(name="header bytes of one exchange", measured=header_bytes)]
    for size in SIZES:
        network = InMemoryNetwork(size, header_bytes)
        for _ in range(int(WARM_UP_S / TICK_S)):
            network.advance()
        sent_and_received, false_losses = measure_bytes(network)
        figures += [
            make_figure(
                f"{size} instances: bytes/s a node, sent and received",
                sent_and_received,
                at_most=CONTROL_BYTES_PER_S,
            ),
            make_figure(f"{size}: live members believed gone", false_losses, at_most=0),
            make_figure(
                f"{size}: s until all members hold a mark, first messages lost",
                measure_leaving_s(network),
                at_most=MAX_LEAVING_S,
            ),
            Figure(
                name=f"{size}: s until a kill is known",
                measured=measure_detection_s(network),
            ),
        ]
    return Report(
        baseline="none",
        setting=(
            f"failure domains of {DOMAIN_SIZE}, {SHARDS_PER_INSTANCE} shards an "
            f"instance, one beat in {HEARTBEAT_INTERVAL_S:g} s, {RUN_S} s on a set "
            f"clock after {WARM_UP_S} s, seed {SEED}; messages in memory, header bytes "
            "counted on a socket"
        ),
        figures=tuple(figures),
        notes=(
            "Bytes are those of HTTP; TCP and IP add some 40 a segment. A leaving mark "
            "is told at once; measured is the case that all these messages are lost "
            "and the next beat tells it again.",
        ),
    )
