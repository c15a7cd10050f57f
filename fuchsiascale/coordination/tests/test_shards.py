"""Tests of interleavings that real processes can't reproduce reliably."""

import msgspec
from returns.result import Failure, Success

from fuchsiascale.coordination import (
    ASSIGNMENTS_TABLE,
    CHUNKS_TABLE,
    SHARDS_TABLE,
    ChunkWrite,
    ClaimWorker,
    ExchangeWorker,
    MoveChunk,
    ShardOffer,
    ShardRecord,
    StartAttempts,
    WriteChunk,
    WriteShard,
    format_assignment_key,
)
from fuchsiascale.coordination.tests.shard_world import (
    CAPACITY,
    LONG_MS,
    SHARD,
    advance_until_sent,
    change_owner,
)
from fuchsiascale.platform import Resources
from fuchsiascale.states import TaskState
from fuchsiascale.testing import collect_functions

load_tests = collect_functions(__name__)


def test_a_paused_owner_cannot_finish_its_starts(world):
    first, second = world.owners
    chunk = world.submit(tasks=4, run_ms=5_000)
    starts = advance_until_sent(world, first, StartAttempts)
    change_owner(world)
    world.run(3, second)
    for envelope in starts:
        world.deliver(envelope)
    assert all(not e.result.unwrap().accepted for e in starts)
    assert len(world.find_running(chunk)) == 4


def test_two_owners_in_a_split_domain_run_no_task_twice_and_keep_capacity(world):
    first, second = world.owners
    second.owns = True
    first.cut, second.cut = {"w1"}, {"w0"}
    world.submit(tasks=6, run_ms=3_000)
    world.run(40, first, second)


def test_an_unreachable_worker_keeps_its_task_from_a_new_owner(world):
    first, second = world.owners
    chunk = world.submit(tasks=4, run_ms=LONG_MS)
    world.run(3, first)
    before = world.find_running(chunk)
    change_owner(world)
    second.cut = {"w0"}
    world.run(14, second)
    assert world.find_running(chunk) == before
    world.run(30, second)
    kept = {task: worker for task, worker in before.items() if worker == "w1"}
    assert world.find_running(chunk) == kept
    world.cancel(chunk)


def test_an_owner_retries_elsewhere_after_lease_expiry_and_records_first(world):
    first, _ = world.owners
    chunk = world.submit(tasks=1, run_ms=LONG_MS)
    world.run(3, first)
    ((task, worker),) = world.find_running(chunk).items()
    first.cut = {worker}
    world.run(14, first)
    assert world.find_running(chunk) == {task: worker}
    world.run(28, first)
    assert not world.find_running(chunk)
    assert first.shard.count_in_doubt() == 1
    world.run(12, first)
    assert world.find_running(chunk)[task] != worker
    assert world.read(chunk).tasks[0].attempt == 1
    world.cancel(chunk)


def test_a_lease_that_a_new_owner_renews_does_not_count_as_expired(world):
    first, second = world.owners
    chunk = world.submit(tasks=1, run_ms=LONG_MS)
    world.run(3, first)
    before = world.find_running(chunk)
    ((_, worker),) = before.items()
    other = "w1" if worker == "w0" else "w0"
    first.cut, second.cut, second.owns = {worker}, {other}, True
    world.run(80, first, second)
    assert world.find_running(chunk) == before
    world.cancel(chunk)


def test_a_late_renewal_does_not_extend_a_lease_beyond_its_end(world):
    first, _ = world.owners
    chunk = world.submit(tasks=1, run_ms=LONG_MS)
    world.run(3, first)
    ((_, worker),) = world.find_running(chunk).items()
    world.clock.advance(1.5)
    first.poll()
    late = [e for e in world.sent if getattr(e.command, "worker", "") == worker]
    for envelope in list(world.sent):
        world.lose(envelope)
    first.cut = {worker}
    for seconds in (11, 14, 14):
        world.run(seconds, first)
        for envelope in late:
            world.deliver_late(envelope)
    world.run(12, first)
    assert world.find_running(chunk)
    assert worker not in world.find_running(chunk).values()
    world.cancel(chunk)


def test_a_lost_start_reply_is_resolved_by_a_new_claim(world):
    first, _ = world.owners
    for arrives in (True, False):
        chunk = world.submit(tasks=1, run_ms=2_000)
        (start,) = advance_until_sent(world, first, StartAttempts)
        if arrives:
            world.deliver(start)
        world.lose(start)
        (attempt,) = first.shard.find_chunk(chunk).attempts.values()
        assert attempt.phase.value == "in-doubt"
        world.run(1, first)
        for envelope in list(world.late):
            world.deliver(envelope)
        world.run(5, first)
        (task,) = world.read(chunk).tasks
        assert (task.state, task.attempt) == (TaskState.FINISHED, 1)


def test_a_duplicate_of_a_refused_start_is_not_accepted_later(world):
    first, _ = world.owners
    chunk = world.submit(tasks=1, run_ms=LONG_MS)
    (start,) = advance_until_sent(world, first, StartAttempts)
    world.clock.advance(16.5)
    world.workers[start.command.worker].leaving = True
    world.deliver(start)
    world.answer(start)
    assert not any(worker.started for worker in world.workers.values())
    world.run(5, first)
    assert any(worker.started for worker in world.workers.values())
    world.deliver_late(start)
    world.check()
    world.cancel(chunk)


def test_a_new_claim_over_another_owners_restarts_the_takeover(world):
    first, second = world.owners
    world.submit(tasks=4, run_ms=3_000)
    starts = advance_until_sent(world, first, StartAttempts)
    assert len(starts) == 2
    for start in starts:
        world.lose(start)
    second.owns = True
    second.restart()
    world.run(2, second)
    second.cut = {"w0"}
    world.run(0.25, first)
    assert first.shard.state.step_downs == 1
    assert not first.shard.held


def test_a_lost_claim_reply_restarts_the_takeover(world):
    first, _ = world.owners
    world.submit(tasks=1, run_ms=3_000)
    (start,) = advance_until_sent(world, first, StartAttempts)
    world.lose(start)
    (claim,) = advance_until_sent(world, first, ClaimWorker)
    world.deliver(claim)
    world.lose(claim)
    before = world.tables.read(SHARDS_TABLE, SHARD, ShardRecord)
    version = world.tables.rows[SHARDS_TABLE, SHARD].version
    world.run(2, first)
    assert world.tables.read(SHARDS_TABLE, SHARD, ShardRecord) == before
    assert world.tables.rows[SHARDS_TABLE, SHARD].version == version + 1


def test_an_end_is_recorded_though_the_reply_of_its_write_is_lost(world):
    first, _ = world.owners
    chunk = world.submit(tasks=2, run_ms=1_000)
    for envelope in advance_until_sent(world, first, WriteChunk):
        world.deliver(envelope)
        world.lose(envelope)
    world.run(5, first)
    assert {task.state for task in world.read(chunk).tasks} == {TaskState.FINISHED}


def test_a_kill_between_checkpoint_and_record_resumes_exactly_once(world):
    first, second = world.owners
    chunk = world.submit(tasks=1, run_ms=4_000)
    world.run(2, first)
    world.evict(0)
    held = advance_until_sent(world, first, WriteChunk)
    for envelope in held:
        world.lose(envelope)
    world.late.clear()
    assert world.read(chunk).tasks[0].checkpoint is None
    first.restart()
    change_owner(world)
    world.run(3, second)
    (task,) = world.read(chunk).tasks
    assert (task.attempt, task.evictions) == (1, 1)
    assert task.checkpoint == f"checkpoint/{chunk}.0/1"
    started = [s for w in world.workers.values() for s in w.started]
    assert [(s.attempt, s.checkpoint) for s in started] == [
        (1, None),
        (2, task.checkpoint),
    ]


def test_evicted_twice_resumes_from_the_last_checkpoint(world):
    first, _ = world.owners
    chunk = world.submit(tasks=1, run_ms=LONG_MS)
    for _ in range(2):
        world.run(3, first)
        world.evict(0)
    world.run(3, first)
    (task,) = world.read(chunk).tasks
    assert (task.attempt, task.evictions) == (2, 2)
    assert task.checkpoint == f"checkpoint/{chunk}.0/2"
    world.cancel(chunk)


def test_a_leaving_worker_is_drained_and_gets_no_new_work(world):
    first, _ = world.owners
    chunk = world.submit(tasks=2, run_ms=LONG_MS)
    world.run(3, first)
    leaving = next(iter(world.find_running(chunk).values()))
    world.workers[leaving].leaving = True
    world.run(4, first)
    assert len(world.find_running(chunk)) == 2
    assert leaving not in world.find_running(chunk).values()
    world.cancel(chunk)


def test_a_cancelled_chunk_does_not_move(world):
    first, _ = world.owners
    world.workers["w0"].leaving = world.workers["w1"].leaving = True
    world.run(2, first)
    chunk = world.submit(tasks=1, run_ms=1_000)
    world.run(40, first)
    offer = ShardOffer(shard="north:r2", failure_domain="north", free=CAPACITY)
    (command,) = [c for c in first.shard.poll((offer,)) if isinstance(c, MoveChunk)]
    world.cancel(chunk)
    result = world.execute(command)
    assert type(result.failure()).__name__ == "Conflict"
    first.shard.apply(command, result)
    world.run(3, first)
    assert {t.state for t in world.read(chunk).tasks} == {TaskState.CANCELLED}


def test_a_worker_is_used_only_once_the_shards_row_names_it(world):
    first, _ = world.owners
    world.submit(tasks=6, run_ms=3_000)
    world.tables.down = True
    first.listed = set(world.workers)
    world.run(5, first)
    assert not world.workers["w2"].started
    world.tables.down = False
    world.run(3, first)
    assert world.workers["w2"].started
    row = world.tables.read(SHARDS_TABLE, SHARD, ShardRecord)
    assert row.workers == ("w0", "w1", "w2")


def test_a_replaced_owner_cannot_add_a_worker(world):
    first, second = world.owners
    first.listed = set(world.workers)
    (write,) = advance_until_sent(world, first, WriteShard)
    change_owner(world)
    world.run(2, second)
    world.deliver(write)
    world.answer(write)
    assert not first.shard.held


def record_cancelled(world, chunk):
    """Cancel a chunk and record its end, as an owner without attempts would."""
    world.cancel(chunk)
    record = world.read(chunk)
    tasks = tuple(
        msgspec.structs.replace(task, state=TaskState.CANCELLED)
        for task in record.tasks
    )
    assignment = format_assignment_key(SHARD, chunk)
    write = ChunkWrite(
        record=msgspec.structs.replace(record, tasks=tasks),
        expected_version=world.tables.rows[CHUNKS_TABLE, chunk].version,
        assignment_version=world.tables.rows[ASSIGNMENTS_TABLE, assignment].version,
    )
    assert isinstance(world.execute(WriteChunk(write=write)), Success)


def test_room_of_a_chunk_that_a_replaced_owner_ended_is_not_used_at_once(world):
    owner = world.owners[0]
    chunk = world.submit(tasks=4, run_ms=LONG_MS)
    world.deliver_all(owner)
    assert len(world.find_running(chunk)) == 4
    world.submit(tasks=2, run_ms=LONG_MS)
    record_cancelled(world, chunk)
    world.deliver_all(owner)
    world.run(5, owner)


def test_a_task_that_a_replaced_owner_recorded_as_cancelled_is_not_started(world):
    replaced, owner = world.owners
    first = world.submit(tasks=4, run_ms=2_000)
    second = world.submit(tasks=2, run_ms=LONG_MS)
    world.deliver_all(replaced)
    assert len(world.find_running(first)) == 4
    owner.owns = True
    world.deliver_all(owner, rounds=8)
    assert owner.shard.held and owner.shard.find_chunk(second)
    owner.owns = False
    world.cancel(second)
    owner.owns = True
    for envelope in advance_until_sent(world, replaced, WriteChunk):
        assert envelope.command.write.record.chunk == second
        world.deliver(envelope)
        assert isinstance(envelope.result, Failure)
        world.answer(envelope)
    assert not replaced.shard.held
    world.run(15, owner)
    assert not world.find_running(second)
    assert all(task.state.final for task in world.read(second).tasks)


def test_commitments_count_what_the_worker_holds_and_reserves(world):
    first, _ = world.owners
    world.workers["w0"].reserved = Resources(millicores=1500)
    world.workers["w1"].reserved = Resources(millicores=1500)
    held = advance_until_sent(world, first, ExchangeWorker)
    for envelope in held:
        world.deliver(envelope)
        world.answer(envelope)
    world.run(3, first)
    chunk = world.submit(tasks=1, run_ms=1_000)
    world.run(12, first)
    assert not world.find_running(chunk)
    assert first.shard.compute_free().millicores == 1000
    for worker in world.workers.values():
        worker.reserved = Resources()


def test_ends_are_recorded_together_and_the_last_at_once(world):
    owner = world.owners[0]
    state = owner.shard.state
    state.timing = msgspec.structs.replace(state.timing, commit_s=1_000.0)
    chunk = world.submit(tasks=8, run_ms=1_000)
    written = world.tables.rows[CHUNKS_TABLE, chunk].version
    world.run(15.0, owner)
    assert world.read(chunk).final
    assert world.tables.rows[CHUNKS_TABLE, chunk].version <= written + 2
