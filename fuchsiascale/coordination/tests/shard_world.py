"""Simulated owners, workers and store; the test controls every message."""

import random

import msgspec
from returns.result import Failure, Success

from fuchsiascale.clock import ManualClock
from fuchsiascale.coordination import (
    ASSIGNMENTS_TABLE,
    CHUNKS_TABLE,
    SHARDS_TABLE,
    Assignment,
    ChunkRecord,
    ClaimWorker,
    ExchangeWorker,
    JobSpec,
    MoveChunk,
    ReadAssignments,
    ReadChunk,
    ReadShard,
    Shard,
    ShardPolicy,
    StartAttempts,
    TaskRecord,
    WorkerEntry,
    WriteChunk,
    WriteShard,
    build_chunk_transaction,
    build_move_transaction,
    build_put,
    build_shard_transaction,
    find_version,
    format_assignment_key,
    parse_task_id,
)
from fuchsiascale.coordination.tests.worker_fakes import FakeWorker
from fuchsiascale.platform import (
    Conflict,
    Resources,
    Transaction,
    Unavailable,
    Uncertain,
)
from fuchsiascale.platform.tests.fakes import FakeTables
from fuchsiascale.states import AttemptState, Urgency
from fuchsiascale.testing import fixture

__all__ = [
    "LONG_MS",
    "InvariantViolation",
    "ShardWorld",
    "advance_until_sent",
    "change_owner",
    "withhold",
]

LONG_MS = 600_000

SHARD = "north:r1"
CAPACITY = Resources(millicores=2000, memory_mb=2000)
DEMAND = Resources(millicores=1000, memory_mb=500)
WORKER_CALLS = {
    ClaimWorker: "claim",
    ExchangeWorker: "exchange",
    StartAttempts: "start",
}
LOST = Failure(Uncertain(detail="reply lost"))
DOWN = Failure(Unavailable(detail="down"))


class InvariantViolation(AssertionError):
    """An invariant does not hold."""


class Envelope(msgspec.Struct, eq=False):
    """One command of an owner in transit, and its reply.

    Parameters
    ----------
    copied : bool
        Whether a duplicate of the command has taken effect; the reply must then not
        say that the command had no effect.
    original : Envelope or None
        The envelope that this one duplicates.
    """

    owner: "Owner"
    shard: Shard
    command: object
    result: object = None
    delivered: bool = False
    copied: bool = False
    original: "Envelope | None" = None


class Owner:
    """An instance: its shard, and its view of owners and workers."""

    def __init__(self, world, name):
        self.world = world
        self.name = name
        self.owns = True
        self.listed = set(world.listed)
        self.cut = set()
        self.starts = 0
        self.restart()

    def restart(self):
        """Start again without state, as after a kill."""
        self.starts += 1
        source = random.Random(f"{self.name}{self.starts}")
        clock = self.world.clock
        policy = ShardPolicy(clock, source)
        self.shard = Shard(SHARD, self.name, clock, source, policy)

    def poll(self):
        """Apply the view and send the due commands."""
        entries = [
            WorkerEntry(worker=name, address=name) for name in sorted(self.listed)
        ]
        self.shard.observe(self.owns, entries, True, {})
        for command in self.shard.poll():
            self.world.sent.append(Envelope(self, self.shard, command))


class ShardWorld:
    """The simulated environment of one shard."""

    def __init__(self, owners=2, workers=3, listed=2, checks_capacity=False):
        self.clock = ManualClock(start_s=1000.0)
        self.tables = FakeTables()
        self.workers = {}
        for number in range(workers):
            name = f"w{number}"
            worker = FakeWorker(self.clock, name, CAPACITY)
            worker.checks_capacity = checks_capacity
            self.workers[name] = worker
        self.dead = {}
        self.listed = set(list(self.workers)[:listed])
        self.sent = []
        self.late = []
        self.owners = [Owner(self, f"o{number}") for number in range(owners)]
        self.finished = {}
        self.last_started = {}
        self.count = 0
        self.store_calls = 0
        self.broken = False

    # Work

    def submit(self, tasks, run_ms, urgency=Urgency.BATCH):
        """Write a chunk and its assignment."""
        self.count += 1
        chunk = f"job{self.count}.0"
        spec = JobSpec(
            job=f"job{self.count}",
            team="t",
            kind="k",
            tasks=tasks,
            demand=DEMAND,
            run_ms=run_ms,
            urgency=urgency,
        )
        record = ChunkRecord(
            chunk=chunk,
            spec=spec,
            failure_domain="north",
            shard=SHARD,
            submitted_ms=0,
            tasks=tuple(TaskRecord(index=index) for index in range(tasks)),
        )
        key = format_assignment_key(SHARD, chunk)
        self._write(
            build_put(CHUNKS_TABLE, chunk, 0, record),
            build_put(ASSIGNMENTS_TABLE, key, 0, Assignment(chunk=chunk)),
        )
        self._notify(chunk)
        return chunk

    def cancel(self, chunk):
        """Write a chunk as cancelled, as the job pipeline does."""
        record = self.read(chunk)
        if record.final:
            return
        key = format_assignment_key(record.shard, chunk)
        version = self.tables.rows[CHUNKS_TABLE, chunk].version
        assigned = self.tables.rows[ASSIGNMENTS_TABLE, key].version
        cancelled = msgspec.structs.replace(record, cancelled=True)
        self._write(
            build_put(CHUNKS_TABLE, chunk, version, cancelled),
            build_put(ASSIGNMENTS_TABLE, key, assigned, Assignment(chunk=chunk)),
        )
        self._notify(chunk)

    def _notify(self, chunk):
        for owner in self.owners:
            if owner.owns and owner.shard.held:
                owner.shard.notice((chunk,))

    def read(self, chunk):
        """Return a durable chunk record."""
        return self.tables.read(CHUNKS_TABLE, chunk, ChunkRecord)

    def list_chunks(self):
        """Return all durable chunk records."""
        names = [key for table, key in self.tables.rows if table == CHUNKS_TABLE]
        return [self.read(name) for name in names]

    def _write(self, *puts):
        self.count += 1
        transaction = Transaction(write_id=f"test-{self.count}", puts=puts)
        assert self.tables.apply(transaction).applied

    # Messages

    def deliver(self, envelope):
        """Let a command take effect; its reply is then in transit."""
        envelope.delivered = True
        command = envelope.command
        if getattr(command, "worker", None) in envelope.owner.cut:
            envelope.result = DOWN
        else:
            self.deliver_late(envelope)
        if envelope.copied and envelope.result is DOWN:
            envelope.result = LOST

    def deliver_late(self, envelope):
        """Let a command take effect, even if its owner has been cut off since."""
        command = envelope.command
        if envelope.original is not None:
            envelope.original.copied = True
        if type(command) in WORKER_CALLS:
            envelope.result = self._call_worker(command)
        else:
            envelope.result = self.execute(command)
        self.check()

    def answer(self, envelope):
        """Deliver a reply, unless its owner was restarted in the meantime."""
        self.sent.remove(envelope)
        if envelope.shard is envelope.owner.shard:
            envelope.shard.apply(envelope.command, envelope.result)

    def lose(self, envelope):
        """Let a call time out; its request may arrive later."""
        self.sent.remove(envelope)
        if not envelope.delivered:
            self.late.append(envelope)
        if envelope.shard is envelope.owner.shard:
            read = isinstance(envelope.command, ReadAssignments | ReadChunk | ReadShard)
            envelope.shard.apply(envelope.command, DOWN if read else LOST)

    def deliver_all(self, owner, rounds=4):
        """Poll an owner and deliver all its messages without faults."""
        for _ in range(rounds):
            owner.poll()
            for envelope in [e for e in self.sent if e.owner is owner]:
                unreachable = getattr(envelope.command, "worker", "") in owner.cut
                if unreachable and not envelope.delivered:
                    self.lose(envelope)
                    continue
                if not envelope.delivered:
                    self.deliver(envelope)
                self.answer(envelope)

    def run(self, seconds, *owners, step_s=0.25):
        """Advance the clock while the named owners work without faults."""
        for _ in range(int(seconds / step_s)):
            for owner in owners:
                self.deliver_all(owner, rounds=2)
            self.clock.advance(step_s)
            self.check()

    def find_running(self, chunk):
        """Return the workers on which tasks of a chunk run, by task id."""
        return {
            report.task: worker.worker
            for worker in self.workers.values()
            for report in worker.list_running()
            if parse_task_id(report.task)[0] == chunk
        }

    def kill_worker(self, name):
        """Remove a worker with all its attempts."""
        self.dead[name] = self.workers.pop(name)

    def evict(self, number):
        """Have an owner checkpoint one running attempt, if any."""
        running = [
            (owner, link, report)
            for owner in self.owners
            for link in owner.shard.links()
            for report in link.list_reports()
            if not report.state.ended
        ]
        if running:
            _, link, report = running[number % len(running)]
            link.evictions[report.key] = None

    def fail_attempt(self, number):
        """Let one running attempt fail."""
        running = [
            (worker, report.key)
            for worker in self.workers.values()
            for report in worker.list_running()
        ]
        if running:
            worker, key = running[number % len(running)]
            worker.end(key, AttemptState.FAILED)

    def _call_worker(self, command):
        worker = self.workers.get(command.worker)
        if worker is None:
            return DOWN
        started_before = len(worker.started)
        reply = getattr(worker, WORKER_CALLS[type(command)])(command.request)
        for start in worker.started[started_before:]:
            self._check_start(start)
        return Success(reply)

    def execute(self, command):
        """Execute a command on the store at once."""
        self.store_calls += 1
        return DOWN if self.tables.down else self._call_tables(command)

    def _call_tables(self, command):
        tables = self.tables
        if isinstance(command, ReadAssignments):
            prefix = f"{command.shard}/"
            return Success(tables.read_page(ASSIGNMENTS_TABLE, prefix, command.after))
        if isinstance(command, ReadChunk):
            return Success(tables.rows.get((CHUNKS_TABLE, command.chunk)))
        if isinstance(command, ReadShard):
            return Success(tables.rows.get((SHARDS_TABLE, command.shard)))
        self.count += 1
        transaction, table, key = _build_transaction(command, f"write-{self.count}")
        reply = tables.apply(transaction)
        if not reply.applied:
            return Failure(Conflict(rows=reply.conflicts))
        rows = [tables.rows[put.table, put.key] for put in transaction.puts]
        return Success(find_version(rows, table, key))

    # Invariants

    def check(self):
        """Raise `InvariantViolation` if a worker holds what it must not."""
        places = {}
        for worker in self.workers.values():
            running = worker.list_running()
            committed = sum((r.demand for r in running), start=Resources())
            if not committed.fits(worker.capacity):
                self._report_violation(f"{worker.worker} is over its capacity")
            for report in running:
                if report.task in places:
                    self._report_violation(
                        f"{report.key} runs on {worker.worker} and "
                        f"{places[report.task]}"
                    )
                places[report.task] = worker.worker
            for report in worker.attempts.values():
                if report.state is AttemptState.FINISHED:
                    known = self.finished.get(report.task, 0)
                    self.finished[report.task] = max(known, report.attempt)

    def _report_violation(self, text):
        self.broken = True
        raise InvariantViolation(text)

    def _check_start(self, start):
        if start.attempt <= self.last_started.get(start.task, 0):
            self._report_violation(
                f"{start.task} attempt {start.attempt} was started again"
            )
        self.last_started[start.task] = start.attempt
        if start.attempt <= self.finished.get(start.task, 0):
            self._report_violation(f"{start.task} was started after it had finished")
        chunk, index = parse_task_id(start.task)
        if self.read(chunk).tasks[index].state.final:
            self._report_violation(
                f"{start.task} was started after its end was recorded"
            )
        recorded = self.read(chunk).tasks[index]
        if start.attempt > recorded.attempt + 1:
            self._report_violation(
                f"{start.task} skipped a number that was not recorded"
            )
        if start.checkpoint != recorded.checkpoint:
            self._report_violation(
                f"{start.task} does not resume at its last checkpoint"
            )

    def repair_faults(self):
        """Repair all faults, run with one owner, and return the unfinished chunks."""
        self.tables.down = False
        for owner in self.owners:
            owner.cut.clear()
            owner.listed = set(self.workers)
            owner.owns = owner is self.owners[0]
        # The coarse steps cover the longest quarantine.
        for step_s in [0.5] * 900 + [4.0] * 900:
            for owner in self.owners:
                self.deliver_all(owner, rounds=1)
            self.clock.advance(step_s)
            self.check()
            unfinished = self._list_unfinished()
            if not unfinished:
                break
        return unfinished

    def _list_unfinished(self):
        return [
            record.chunk
            for record in self.list_chunks()
            if record.shard == SHARD and not record.final
        ]


def _build_transaction(command, write_id):
    if isinstance(command, WriteChunk):
        write = command.write
        transaction = build_chunk_transaction((write,), write_id)
        return transaction, CHUNKS_TABLE, write.record.chunk
    if isinstance(command, WriteShard):
        transaction = build_shard_transaction(command, write_id)
        return transaction, SHARDS_TABLE, command.record.shard
    assert isinstance(command, MoveChunk)
    transaction = build_move_transaction(command, write_id)
    return transaction, SHARDS_TABLE, command.from_shard.shard


@fixture
def world():
    """Create a world with two owners; only the first should own the shard."""
    world = ShardWorld(owners=2, workers=3, listed=2)
    world.owners[1].owns = False
    world.run(1, world.owners[0])
    yield world
    assert not world.repair_faults(), "unfinished after all faults were repaired"


def change_owner(world):
    """Make the second owner, in place of the first, the one to own the shard."""
    first, second = world.owners
    first.owns, second.owns = False, True
    return first, second


def withhold(world, owner, command_type):
    """Poll and return the commands of a type; all others are delivered."""
    owner.poll()
    held = [e for e in world.sent if isinstance(e.command, command_type)]
    for envelope in [e for e in world.sent if e not in held]:
        world.deliver(envelope)
        world.answer(envelope)
    return held


def advance_until_sent(world, owner, command_type):
    """Advance the clock until an owner sends commands of a type; return them."""
    for _ in range(100):
        held = withhold(world, owner, command_type)
        if held:
            return held
        world.clock.advance(0.25)
    raise AssertionError(f"no {command_type.__name__} within 25 s")
