"""Measures the costs of worker exchanges, placement and chunk rows."""

from random import Random

import msgspec

from fuchsiascale.clock import ManualClock
from fuchsiascale.coordination import (
    Attempt,
    AttemptPhase,
    ChunkRecord,
    JobSpec,
    ShardPolicy,
    TaskRecord,
)
from fuchsiascale.decisions import (
    PlacementRequest,
    WorkerFree,
)
from fuchsiascale.platform import (
    AttemptReport,
    ExchangeReply,
    ExchangeRequest,
    FencingToken,
    Resources,
    WorkerInventory,
)
from fuchsiascale.states import (
    AttemptState,
    TaskState,
)
from measurements._slopes import (
    HTTP_BYTES,
    measure_cpu_us,
    measure_memory,
    register_cost,
)

TOKEN = FencingToken(counter=12, holder="norte-porto-e0")
TASK_DEMAND = Resources(millicores=1_000, memory_mb=2_000)
WORKER_CAPACITY = Resources(millicores=32_000, memory_mb=125_000)
SEED = 5


def make_inventory(attempts):
    """Return the inventory of a worker with a number of attempts."""
    reports = tuple(
        AttemptReport(
            task=f"tuning-2026-11.{number}.17",
            attempt=1,
            kind="tuning",
            state=AttemptState.RUNNING,
            demand=TASK_DEMAND,
            used=TASK_DEMAND,
        )
        for number in range(attempts)
    )
    return WorkerInventory(
        worker="norte-porto-w17",
        token=TOKEN,
        capacity=WORKER_CAPACITY,
        attempts=reports,
        lease_ms=15_000,
    )


@register_cost(
    "exchange_bytes",
    "exchange, bytes, by attempts a worker",
    (0, 6, 30),
)
def measure_exchange_bytes(attempts):
    """Return the bytes of a worker exchange: request and reply."""
    request = ExchangeRequest(token=TOKEN, lease_ms=15_000)
    reply = ExchangeReply(
        accepted=True, highest=TOKEN, inventory=make_inventory(attempts)
    )
    sizes = [len(msgspec.json.encode(message)) for message in (request, reply)]
    return sum(sizes) + 2 * HTTP_BYTES


@register_cost(
    "exchange_cpu", "exchange codecs and policy, µs, by attempts", (0, 6, 30)
)
def measure_exchange_cpu(attempts):
    """Return the processor time to code an exchange and update the policy."""
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


@register_cost(
    "policy_memory", "shard policy, bytes, by workers of 6 attempts", (11, 33, 132)
)
def measure_policy_memory(workers):
    """Return the memory of a shard policy for workers with six attempts each."""

    def make():
        policy = ShardPolicy(ManualClock(), Random(SEED))
        for number in range(workers):
            encoded = msgspec.json.encode(make_inventory(6))
            inventory = msgspec.json.decode(encoded, type=WorkerInventory)
            policy.observe_inventory(f"w{number}", ("hub",), inventory)
            policy.record_start(f"w{number}", "job.0.1")
        return policy

    return measure_memory(make)


@register_cost(
    "round_cpu", "placement round on 33 workers, µs, by tasks", (32, 128, 512)
)
def measure_round_cpu(requests):
    """Return the processor time of a placement round over 33 workers."""
    policy = ShardPolicy(ManualClock(), Random(SEED))
    workers = [
        WorkerFree(
            worker=f"w{number}",
            free=WORKER_CAPACITY,
            capacity=WORKER_CAPACITY,
            services=("hub",),
        )
        for number in range(33)
    ]
    for entry in workers:
        policy.record_start(entry.worker, "old.0.0")
        policy.record_end(entry.worker, "old.0.0", AttemptState.FINISHED)
    placement_requests = [
        PlacementRequest(
            task=f"job.0.{number}",
            kind="tuning",
            demand=TASK_DEMAND,
            job="job",
            team=f"team{number % 4}",
        )
        for number in range(requests)
    ]
    return measure_cpu_us(lambda: policy.place(workers, placement_requests))


def make_chunk(tasks):
    """Return a chunk row with a number of tasks, half of them finished."""
    spec = JobSpec(
        job="tuning-2026-11",
        team="norte",
        kind="tuning",
        tasks=tasks,
        demand=TASK_DEMAND,
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


@register_cost(
    "chunk_bytes",
    "chunk row, bytes, by tasks",
    (1, 64, 256),
)
def measure_chunk_bytes(tasks):
    """Return the bytes of a chunk row."""
    return len(msgspec.json.encode(make_chunk(tasks)))


@register_cost(
    "chunk_cpu",
    "chunk row codecs, µs, by tasks",
    (1, 64, 256),
)
def measure_chunk_cpu(tasks):
    """Return the processor time to decode and encode a chunk row."""
    encoded = msgspec.json.encode(make_chunk(tasks))
    return measure_cpu_us(
        lambda: msgspec.json.encode(msgspec.json.decode(encoded, type=ChunkRecord))
    )


@register_cost(
    "chunk_memory", "chunk rows in memory, bytes, by tasks", (1_024, 4_096, 16_384)
)
def measure_chunk_memory(tasks):
    """Return the memory of decoded chunk rows of 256 tasks each."""
    encoded = msgspec.json.encode(make_chunk(256))
    count = tasks // 256
    return measure_memory(
        lambda: [msgspec.json.decode(encoded, type=ChunkRecord) for _ in range(count)]
    )


@register_cost(
    "attempt_memory", "attempts at their owner, bytes, by attempts", (64, 256, 1_024)
)
def measure_attempt_memory(attempts):
    """Return the memory that running attempts take at their owner."""

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
