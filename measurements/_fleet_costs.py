"""Measures the costs of heartbeats, the instance list and the fleet document."""

from random import Random

import msgspec

from fuchsiascale.clock import ManualClock
from fuchsiascale.coordination import (
    Heartbeat,
    Member,
    Membership,
    PeerDigest,
    ShardDigest,
    build_fleet,
    format_sections,
    parse_fleet,
)
from fuchsiascale.platform import (
    ListedInstance,
    ListedInstances,
)
from fuchsiascale.states import (
    InstanceRole,
    ListedState,
)
from measurements._slopes import (
    HTTP_BYTES,
    measure_cpu_us,
    measure_memory,
    register_cost,
)
from measurements._work_costs import SEED, TOKEN, WORKER_CAPACITY

HEARTBEATS = 30


def make_digest(number, shards):
    """Return the digest of an instance that owns a number of shards."""
    return PeerDigest(
        instance=f"norte-porto-e{number}",
        address=f"10.1.2.{number % 250}:7102",
        failure_domain="norte-porto",
        region="norte",
        incarnation=1_800_000_000_000,
        beat=100_000,
        shards=tuple(
            ShardDigest(
                shard=f"norte-porto:rack{each}", token=TOKEN, free=WORKER_CAPACITY
            )
            for each in range(shards)
        ),
    )


def make_membership(peers, shards):
    """Return a membership that has received the digests of a number of peers."""
    member = Member(
        instance="norte-porto-e999",
        address="10.1.2.251:7102",
        failure_domain="norte-porto",
        region="norte",
    )
    membership = Membership(member, ManualClock(1.0, 1_800_000_000_000), Random(SEED))
    membership.update(shards=make_digest(0, shards).shards)
    for number in range(peers):
        digest = make_digest(number, shards)
        membership.observe_heartbeat(Heartbeat(digests=(digest,)))
    return membership


@register_cost(
    "heartbeat_bytes", "heartbeat and answer, bytes, by shards an instance", (1, 4, 32)
)
def measure_heartbeat_bytes(shards):
    """Return the mean bytes of a heartbeat and its reply among eight instances."""
    sender, receiver = make_membership(7, shards), make_membership(7, shards)
    total = 0
    for _ in range(HEARTBEATS):
        heartbeat = sender.heartbeat()
        reply = receiver.observe_heartbeat(heartbeat)
        total += len(msgspec.json.encode(heartbeat)) + len(msgspec.json.encode(reply))
    return total / HEARTBEATS + 2 * HTTP_BYTES


@register_cost(
    "heartbeat_cpu",
    "beat, µs, by peers known",
    (7, 62, 247),
)
def measure_heartbeat_cpu(peers):
    """Return the processor time of one heartbeat with a number of peers."""
    membership = make_membership(peers, 4)

    def run_heartbeat():
        encoded = msgspec.json.encode(membership.heartbeat())
        reply = membership.observe_heartbeat(
            msgspec.json.decode(encoded, type=Heartbeat)
        )
        msgspec.json.encode(reply)
        membership.choose_targets()
        membership.view()

    return measure_cpu_us(run_heartbeat)


def encode_instance_list(entry_count):
    """Return an encoded instance list of a number of upstreams."""
    return msgspec.json.encode(
        ListedInstances(
            instances=tuple(
                ListedInstance(
                    instance_id=f"norte-porto-r{number}",
                    role=InstanceRole.RUNNER,
                    address=f"10.1.{number // 250}.{number % 250}:8080",
                    failure_domain="norte-porto",
                    region="norte",
                    rack=f"rack{number % 30}",
                    state=ListedState.LIVE,
                    service="aula-hub",
                    worker=f"norte-porto-w{number}",
                )
                for number in range(entry_count)
            )
        )
    )


@register_cost(
    "listing_cpu",
    "instance list decoded, µs, by entries",
    (66, 935, 7_742),
)
def measure_listing_cpu(entry_count):
    """Return the processor time to decode the instance list."""
    encoded = encode_instance_list(entry_count)
    return measure_cpu_us(lambda: msgspec.json.decode(encoded, type=ListedInstances))


@register_cost(
    "listing_memory", "instance list in memory, bytes, by entries", (66, 935, 7_742)
)
def measure_listing_memory(entry_count):
    """Return the memory of the decoded instance list."""
    encoded = encode_instance_list(entry_count)
    return measure_memory(lambda: msgspec.json.decode(encoded, type=ListedInstances))


def make_sections(count):
    """Return the sections of a document: one team and a number of kinds."""
    lines = ["[team operators]", "team = operators"]
    for number in range(count):
        lines += [f"[kind kind{number}]", "team = operators", "max_failures = 3"]
    return parse_fleet("\n".join(lines) + "\n").unwrap()


@register_cost(
    "document_bytes",
    "document, bytes, by sections",
    (30, 300, 3_000),
)
def measure_document_bytes(sections):
    """Return the bytes of the document's text."""
    return len(format_sections(make_sections(sections)))


@register_cost(
    "document_cpu",
    "document built, µs, by sections",
    (30, 300, 3_000),
)
def measure_document_cpu(sections):
    """Return the processor time to build the fleet from parsed sections."""
    parsed = make_sections(sections)
    return measure_cpu_us(lambda: build_fleet(parsed, 1))


@register_cost(
    "document_memory", "document in memory, bytes, by sections", (30, 300, 3_000)
)
def measure_document_memory(sections):
    """Return the memory of the parsed sections and the fleet built from them."""

    def make():
        parsed = make_sections(sections)
        return parsed, build_fleet(parsed, 1)

    return measure_memory(make)
