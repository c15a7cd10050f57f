"""Costs of messages and state by size, from which docs/CAPACITY.md is worked out."""

import asyncio
import queue
import threading
import time
from random import Random

import aiohttp
import msgspec
from aiohttp import web

from fuchsiascale.clock import ManualClock
from fuchsiascale.coordination import (
    Attempt,
    AttemptPhase,
    ChunkRecord,
    ClaimRecord,
    CreditRequest,
    CreditWish,
    Heartbeat,
    JobSpec,
    Member,
    Membership,
    PeerDigest,
    ShardDigest,
    ShardPolicy,
    SlotLedger,
    TaskRecord,
    Tenure,
    build_fleet,
    format_sections,
    parse_fleet,
)
from fuchsiascale.decisions import (
    AdmissionPool,
    PlacementRequest,
    ShareKey,
    Ticket,
    VerdictKind,
    WorkerFree,
    offer_ticket,
    release_ticket,
)
from fuchsiascale.platform import (
    NO_TOKEN,
    AttemptReport,
    ExchangeReply,
    ExchangeRequest,
    FencingToken,
    ListedInstance,
    ListedInstances,
    Resources,
    WorkerInventory,
)
from fuchsiascale.states import (
    AttemptState,
    InstanceRole,
    ListedState,
    Outcome,
    TaskState,
)
from measurements._report import Report, measurement
from measurements._slopes import fit_slope, measure_cpu_us, measure_memory

TOKEN = FencingToken(counter=12, holder="norte-porto-e0")
CORE = Resources(millicores=1_000, memory_mb=2_000)
WORKER = Resources(millicores=32_000, memory_mb=125_000)
HTTP_BYTES = 120
HTTP_CALLS = 500
BEATS = 30
START_TIMEOUT_S = 10.0
SEED = 5


def make_digest(number, shards):
    """Return the digest of an instance that holds some shards."""
    return PeerDigest(
        instance=f"norte-porto-e{number}",
        address=f"10.1.2.{number % 250}:7102",
        failure_domain="norte-porto",
        region="norte",
        incarnation=1_800_000_000_000,
        beat=100_000,
        shards=tuple(
            ShardDigest(shard=f"norte-porto:rack{each}", token=TOKEN, free=WORKER)
            for each in range(shards)
        ),
    )


def make_membership(peers, shards):
    """Return a membership that has heard of some peers, and its own digest."""
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


def measure_heartbeat_bytes(shards):
    """Return the mean bytes of a heartbeat among eight instances and its answer."""
    sender, receiver = make_membership(7, shards), make_membership(7, shards)
    total = 0
    for _ in range(BEATS):
        heartbeat = sender.heartbeat()
        reply = receiver.observe_heartbeat(heartbeat)
        total += len(msgspec.json.encode(heartbeat)) + len(msgspec.json.encode(reply))
    return total / BEATS + 2 * HTTP_BYTES


def measure_heartbeat_cpu(peers):
    """Return the processor time of one beat among some peers."""
    membership = make_membership(peers, 4)

    def beat():
        encoded = msgspec.json.encode(membership.heartbeat())
        reply = membership.observe_heartbeat(
            msgspec.json.decode(encoded, type=Heartbeat)
        )
        msgspec.json.encode(reply)
        membership.choose_targets()
        membership.view()

    return measure_cpu_us(beat)


def make_inventory(attempts):
    """Return the inventory of a worker with some attempts."""
    reports = tuple(
        AttemptReport(
            task=f"tuning-2026-11.{number}.17",
            attempt=1,
            kind="tuning",
            state=AttemptState.RUNNING,
            demand=CORE,
            used=CORE,
        )
        for number in range(attempts)
    )
    return WorkerInventory(
        worker="norte-porto-w17",
        token=TOKEN,
        capacity=WORKER,
        attempts=reports,
        lease_ms=15_000,
    )


def measure_exchange_bytes(attempts):
    """Return the bytes of an exchange with a worker and its answer."""
    request = ExchangeRequest(token=TOKEN, lease_ms=15_000)
    reply = ExchangeReply(
        accepted=True, highest=TOKEN, inventory=make_inventory(attempts)
    )
    sizes = [len(msgspec.json.encode(message)) for message in (request, reply)]
    return sum(sizes) + 2 * HTTP_BYTES


def measure_exchange_cpu(attempts):
    """Return the processor time of an exchange's codecs and of the policy."""
    request = ExchangeRequest(token=TOKEN, lease_ms=15_000)
    encoded = msgspec.json.encode(
        ExchangeReply(accepted=True, highest=TOKEN, inventory=make_inventory(attempts))
    )
    policy = ShardPolicy(ManualClock(), Random(SEED))

    def exchange():
        msgspec.json.encode(request)
        reply = msgspec.json.decode(encoded, type=ExchangeReply)
        policy.observe_inventory("w", ("hub",), reply.inventory)

    return measure_cpu_us(exchange)


def measure_policy_memory(workers):
    """Return the memory of a shard policy of workers with six attempts each."""

    def make():
        policy = ShardPolicy(ManualClock(), Random(SEED))
        for number in range(workers):
            encoded = msgspec.json.encode(make_inventory(6))
            inventory = msgspec.json.decode(encoded, type=WorkerInventory)
            policy.observe_inventory(f"w{number}", ("hub",), inventory)
            policy.record_start(f"w{number}", "job.0.1")
        return policy

    return measure_memory(make)


def measure_round_cpu(requests):
    """Return the processor time of a round of placements over 33 workers."""
    policy = ShardPolicy(ManualClock(), Random(SEED))
    workers = [
        WorkerFree(worker=f"w{number}", free=WORKER, capacity=WORKER, services=("hub",))
        for number in range(33)
    ]
    for entry in workers:
        policy.record_start(entry.worker, "old.0.0")
        policy.record_end(entry.worker, "old.0.0", AttemptState.FINISHED)
    asked = [
        PlacementRequest(
            task=f"job.0.{number}",
            kind="tuning",
            demand=CORE,
            job="job",
            team=f"team{number % 4}",
        )
        for number in range(requests)
    ]
    return measure_cpu_us(lambda: policy.place(workers, asked))


def make_chunk(tasks):
    """Return a chunk row of some tasks, half of them finished."""
    spec = JobSpec(
        job="tuning-2026-11", team="norte", kind="tuning", tasks=tasks, demand=CORE
    )
    records = tuple(
        TaskRecord(
            index=index,
            state=TaskState.FINISHED if index % 2 else TaskState.WAITING,
            attempt=index % 2,
            worker="norte-porto-w17" if index % 2 else "",
        )
        for index in range(tasks)
    )
    return ChunkRecord(
        chunk="tuning-2026-11.0",
        spec=spec,
        failure_domain="norte-porto",
        shard="norte-porto:rack1",
        submitted_ms=1_800_000_000_000,
        tasks=records,
    )


def measure_chunk_bytes(tasks):
    """Return the bytes of a chunk row."""
    return len(msgspec.json.encode(make_chunk(tasks)))


def measure_chunk_cpu(tasks):
    """Return the processor time to decode and encode a chunk row."""
    encoded = msgspec.json.encode(make_chunk(tasks))
    return measure_cpu_us(
        lambda: msgspec.json.encode(msgspec.json.decode(encoded, type=ChunkRecord))
    )


def measure_chunk_memory(tasks):
    """Return the memory of decoded chunk rows of 256 tasks."""
    encoded = msgspec.json.encode(make_chunk(256))
    count = tasks // 256
    return measure_memory(
        lambda: [msgspec.json.decode(encoded, type=ChunkRecord) for _ in range(count)]
    )


def measure_attempt_memory(attempts):
    """Return the memory of running attempts at their owner."""

    def make():
        encoded = msgspec.json.encode(make_inventory(attempts))
        inventory = msgspec.json.decode(encoded, type=WorkerInventory)
        return {
            report.key: Attempt(
                worker="norte-porto-w17", phase=AttemptPhase.RUNNING, report=report
            )
            for report in inventory.attempts
        }

    return measure_memory(make)


def make_credit_request(number, runners):
    """Return an instance's ask for credits on some runners."""
    return CreditRequest(
        instance=f"norte-porto-e{number % 8}",
        incarnation=1_800_000_000_000,
        shard="norte-porto:rack1",
        sequence=number,
        wishes=tuple(
            CreditWish(runner=f"norte-porto-r{each}", slots=4, kept=2, floor=1)
            for each in range(runners)
        ),
    )


def measure_credit_bytes(runners):
    """Return the bytes of an ask for credits and its answer."""
    ledger = SlotLedger(ManualClock(1_000.0))
    request = make_credit_request(1, runners)
    reply = ledger.lend(request, make_tenures(runners), make_slots(runners), 8)
    sizes = [len(msgspec.json.encode(message)) for message in (request, reply)]
    return sum(sizes) + 2 * HTTP_BYTES


def make_tenures(runners):
    """Return the hold on the workers of some runners."""
    tenure = Tenure(token=TOKEN, previous=NO_TOKEN, claimed_s=900.0, confirmed_s=1e9)
    return {f"norte-porto-r{each}": tenure for each in range(runners)}


def make_slots(runners):
    """Return the slots of some runners."""
    return {f"norte-porto-r{each}": 8 for each in range(runners)}


def measure_credit_cpu(runners):
    """Return the processor time of an ask at the owner, with eight instances."""
    clock = ManualClock(1_000.0)
    ledger, tenures = SlotLedger(clock), make_tenures(runners)
    slots, numbers = make_slots(runners), iter(range(10**9))

    def ask():
        clock.advance(0.5)
        ledger.lend(make_credit_request(next(numbers), runners), tenures, slots, 8)

    return measure_cpu_us(ask)


def make_listing(entries):
    """Return the encoded instance list of some upstreams."""
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
                for number in range(entries)
            )
        )
    )


def measure_listing_cpu(entries):
    """Return the processor time to decode the instance list."""
    encoded = make_listing(entries)
    return measure_cpu_us(lambda: msgspec.json.decode(encoded, type=ListedInstances))


def measure_listing_memory(entries):
    """Return the memory of the decoded instance list."""
    encoded = make_listing(entries)
    return measure_memory(lambda: msgspec.json.decode(encoded, type=ListedInstances))


def make_sections(count):
    """Return the sections of a document, most of them kinds."""
    lines = ["[team operators]", "team = operators"]
    for number in range(count):
        lines += [f"[kind kind{number}]", "team = operators", "max_failures = 3"]
    return parse_fleet("\n".join(lines) + "\n").unwrap()


def measure_document_bytes(sections):
    """Return the bytes of the document's text."""
    return len(format_sections(make_sections(sections)))


def measure_document_cpu(sections):
    """Return the processor time to build the document in force."""
    parsed = make_sections(sections)
    return measure_cpu_us(lambda: build_fleet(parsed, 1))


def measure_document_memory(sections):
    """Return the memory of sections and document in force."""

    def make():
        parsed = make_sections(sections)
        return parsed, build_fleet(parsed, 1)

    return measure_memory(make)


def measure_admission_cpu(teams):
    """Return the processor time of an offer and a release, all teams waiting."""
    pool = AdmissionPool(capacity=8)
    keys = [ShareKey(team=f"team{number}", kind="hub") for number in range(teams)]
    held = []

    def offer(number):
        ticket = Ticket(request="r", share=keys[number % teams], deadline_ms=1e12)
        return offer_ticket(pool, ticket, 0.0)

    for number in range(8 + 4 * teams):
        held += [
            entry.ticket
            for entry in offer(number)
            if entry.kind is VerdictKind.ADMITTED
        ]
    turns = iter(range(10**9))

    def serve():
        offer(next(turns))
        for verdict in release_ticket(pool, held.pop(0), 20.0, 0.0):
            held.append(verdict.ticket)

    return measure_cpu_us(serve)


def measure_claim_bytes(answer_bytes):
    """Return the bytes of a settled claim row."""
    record = ClaimRecord(
        key="booking-2026-11-03-17",
        team="norte",
        request="0" * 24,
        holder="norte-porto-e0",
        body_digest="0" * 64,
        outcome=Outcome.DONE,
        settled=True,
        answer=bytes(answer_bytes),
    )
    return len(msgspec.json.encode(record))


async def answer_body(request):
    """Answer a request with its own body."""
    return web.Response(body=await request.read())


def run_server(started):
    """Run a server in a thread of its own until it is told to stop."""

    async def serve():
        application = web.Application(client_max_size=10**7)
        application.router.add_post("/", answer_body)
        runner = web.AppRunner(application, access_log=None)
        await runner.setup()
        site = web.TCPSite(runner, "127.0.0.1", 0)
        await site.start()
        stop = asyncio.Event()
        started.put((runner.addresses[0][1], asyncio.get_running_loop(), stop))
        await stop.wait()
        await runner.cleanup()

    asyncio.run(serve())


async def call_server(port, size):
    """Return the processor time of the calling thread a call, in microseconds."""
    body = bytes(size)
    async with aiohttp.ClientSession() as session:

        async def call(count):
            for _ in range(count):
                async with session.post(f"http://127.0.0.1:{port}/", data=body) as got:
                    await got.read()

        await call(50)
        begin_s = time.thread_time()
        await call(HTTP_CALLS)
        return (time.thread_time() - begin_s) / HTTP_CALLS * 1e6


def measure_http_cpu(size):
    """Return the processor time of a call at the client, by body bytes."""
    started = queue.Queue()
    server = threading.Thread(target=run_server, args=(started,))
    server.start()
    port, loop, stop = started.get(timeout=START_TIMEOUT_S)
    try:
        return asyncio.run(call_server(port, size))
    finally:
        loop.call_soon_threadsafe(stop.set)
        server.join()


SLOPES = (
    ("HTTP call at the client, µs, by body bytes", (0, 2_700, 8_300), "http_cpu"),
    (
        "heartbeat and answer, bytes, by shards an instance",
        (1, 4, 32),
        "heartbeat_bytes",
    ),
    ("beat, µs, by peers known", (7, 62, 247), "heartbeat_cpu"),
    ("exchange, bytes, by attempts a worker", (0, 6, 30), "exchange_bytes"),
    ("exchange codecs and policy, µs, by attempts", (0, 6, 30), "exchange_cpu"),
    ("shard policy, bytes, by workers of 6 attempts", (11, 33, 132), "policy_memory"),
    ("placement round on 33 workers, µs, by tasks", (32, 128, 512), "round_cpu"),
    ("chunk row, bytes, by tasks", (1, 64, 256), "chunk_bytes"),
    ("chunk row codecs, µs, by tasks", (1, 64, 256), "chunk_cpu"),
    ("chunk rows in memory, bytes, by tasks", (1_024, 4_096, 16_384), "chunk_memory"),
    ("attempts at their owner, bytes, by attempts", (64, 256, 1_024), "attempt_memory"),
    ("ask for credits and answer, bytes, by runners", (1, 11, 33), "credit_bytes"),
    ("ask for credits at the owner, µs, by runners", (1, 11, 33), "credit_cpu"),
    ("instance list decoded, µs, by entries", (66, 935, 7_742), "listing_cpu"),
    ("instance list in memory, bytes, by entries", (66, 935, 7_742), "listing_memory"),
    ("document, bytes, by sections", (30, 300, 3_000), "document_bytes"),
    ("document built, µs, by sections", (30, 300, 3_000), "document_cpu"),
    ("document in memory, bytes, by sections", (30, 300, 3_000), "document_memory"),
    ("admission a request, µs, by waiting teams", (1, 35, 350), "admission_cpu"),
    ("claim row, bytes, by bytes of the answer", (0, 1_000, 10_000), "claim_bytes"),
)


def measure_all():
    """Return every slope by its short name."""
    return {
        measure: fit_slope(name, sizes, globals()[f"measure_{measure}"])
        for name, sizes, measure in SLOPES
    }


@measurement("slopes", "Costs by size")
def run():
    """Measure every cost at three sizes."""
    figures = []
    for slope in measure_all().values():
        figures += slope.figures()
    return Report(
        baseline="none",
        setting=f"three sizes each, least squares; {HTTP_BYTES} bytes of HTTP head a "
        f"message are counted in; processor time of one core, seed {SEED}",
        figures=tuple(figures),
    )
