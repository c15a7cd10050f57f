"""Interleavings that processes can't hit reliably, one by one."""

import msgspec

from fuchsiascale.coordination import (
    CHUNKS_TABLE,
    SHARDS_TABLE,
    ClaimWorker,
    ExchangeWorker,
    MoveChunk,
    ReadAssignments,
    ShardOffer,
    ShardRecord,
    StartAttempts,
    WriteChunk,
    WriteShard,
)
from fuchsiascale.coordination.tests.shardworld import CAPACITY, SHARD, ShardWorld
from fuchsiascale.platform import Resources
from fuchsiascale.states import AttemptState, TaskState, Urgency
from fuchsiascale.testing import collect_functions, fixture

load_tests = collect_functions(__name__)

LONG_MS = 600_000


@fixture
def world():
    """Two owners, the second of which does not believe that it owns the shard."""
    world = ShardWorld(owners=2, workers=3, listed=2)
    world.owners[1].owns = False
    world.run(1, world.owners[0])
    yield world
    assert not world.heal(), "unfinished after all faults were mended"


def change_owner(world):
    first, second = world.owners
    first.owns, second.owns = False, True
    return first, second


def hold_back(world, owner, command_type):
    """Poll and return the commands of a type; all others pass."""
    owner.poll()
    held = [e for e in world.sent if isinstance(e.command, command_type)]
    for envelope in [e for e in world.sent if e not in held]:
        world.deliver(envelope)
        world.answer(envelope)
    return held


def advance_until_held(world, owner, command_type):
    for _ in range(100):
        held = hold_back(world, owner, command_type)
        if held:
            return held
        world.clock.advance(0.25)
    raise AssertionError(f"no {command_type.__name__} within 25 s")


def test_a_paused_owner_cannot_finish_its_starts(world):
    first, second = world.owners
    chunk = world.submit(tasks=4, run_ms=5_000)
    starts = advance_until_held(world, first, StartAttempts)
    change_owner(world)
    world.run(3, second)
    for envelope in starts:
        world.deliver(envelope)
    assert all(not e.result.unwrap().accepted for e in starts)
    assert len(world.find_running(chunk)) == 4


def test_two_owners_in_a_split_domain_keep_one_place_and_capacity(world):
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


def test_its_own_lease_lets_an_owner_retry_elsewhere_but_recorded_first(world):
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


def test_a_lease_that_a_new_owner_renews_is_not_held_to_be_over(world):
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


def test_a_lost_start_reply_is_settled_by_a_new_claim(world):
    first, _ = world.owners
    for arrives in (True, False):
        chunk = world.submit(tasks=1, run_ms=2_000)
        (start,) = advance_until_held(world, first, StartAttempts)
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


def test_a_refused_start_that_comes_twice_is_not_accepted_later(world):
    first, _ = world.owners
    chunk = world.submit(tasks=1, run_ms=LONG_MS)
    (start,) = advance_until_held(world, first, StartAttempts)
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


def test_a_new_claim_over_another_owners_starts_the_takeover_afresh(world):
    first, second = world.owners
    world.submit(tasks=4, run_ms=3_000)
    starts = advance_until_held(world, first, StartAttempts)
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


def test_a_lost_claim_reply_starts_the_takeover_afresh(world):
    first, _ = world.owners
    world.submit(tasks=1, run_ms=3_000)
    (start,) = advance_until_held(world, first, StartAttempts)
    world.lose(start)
    (claim,) = advance_until_held(world, first, ClaimWorker)
    world.deliver(claim)
    world.lose(claim)
    before = world.tables.read(SHARDS_TABLE, SHARD, ShardRecord)
    version = world.tables.rows[SHARDS_TABLE, SHARD].version
    world.run(2, first)
    assert world.tables.read(SHARDS_TABLE, SHARD, ShardRecord) == before
    assert world.tables.rows[SHARDS_TABLE, SHARD].version == version + 1


def test_a_lost_reply_to_the_record_of_an_end_does_no_harm(world):
    first, _ = world.owners
    chunk = world.submit(tasks=2, run_ms=1_000)
    for envelope in advance_until_held(world, first, WriteChunk):
        world.deliver(envelope)
        world.lose(envelope)
    world.run(5, first)
    assert {task.state for task in world.read(chunk).tasks} == {TaskState.FINISHED}


def test_a_kill_between_checkpoint_and_record_resumes_exactly_once(world):
    first, second = world.owners
    chunk = world.submit(tasks=1, run_ms=4_000)
    world.run(2, first)
    world.evict(0)
    held = advance_until_held(world, first, WriteChunk)
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


def test_a_leaving_worker_is_emptied_and_gets_nothing_new(world):
    first, _ = world.owners
    chunk = world.submit(tasks=2, run_ms=LONG_MS)
    world.run(3, first)
    leaving = next(iter(world.find_running(chunk).values()))
    world.workers[leaving].leaving = True
    world.run(4, first)
    assert len(world.find_running(chunk)) == 2
    assert leaving not in world.find_running(chunk).values()
    world.cancel(chunk)


def test_an_owner_goes_on_in_an_outage_and_records_afterwards(world):
    first, _ = world.owners
    chunk = world.submit(tasks=8, run_ms=2_000)
    world.run(1.5, first)
    world.tables.down = True
    world.run(20, first)
    assert len(world.finished) == 8
    assert not world.read(chunk).final
    world.tables.down = False
    world.run(5, first)
    assert world.read(chunk).final


def test_an_outage_does_not_cause_a_storm_of_retries(world):
    first, _ = world.owners
    for _ in range(10):
        world.submit(tasks=1, run_ms=2_000)
    world.run(2, first)
    world.tables.down = True
    world.run(10, first)
    assert len(world.finished) == 10
    asked = world.asked
    world.run(20, first)
    assert 0 < world.asked - asked <= 10 * 10


def test_a_new_owner_in_an_outage_keeps_work_alive_but_starts_nothing(world):
    first, second = world.owners
    chunk = world.submit(tasks=6, run_ms=LONG_MS)
    world.run(3, first)
    before = world.find_running(chunk)
    world.tables.down = True
    change_owner(world)
    world.run(60, second)
    assert world.find_running(chunk) == before
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


def test_work_of_a_lost_rack_moves_and_may_have_run(world):
    first, second = world.owners
    chunk = world.submit(tasks=2, run_ms=LONG_MS)
    world.run(3, first)
    for name in ("w0", "w1", "w2"):
        world.kill_worker(name)
    change_owner(world)
    second.restart()
    second.listed = set()
    world.run(35, second)
    (task, _) = world.read(chunk).tasks
    assert task.attempt == 1
    offer = ShardOffer(shard="north:r2", failure_domain="north", free=CAPACITY)
    (command,) = [c for c in second.shard.poll((offer,)) if isinstance(c, MoveChunk)]
    second.shard.apply(command, world.execute(command))
    assert world.read(chunk).shard == "north:r2"


def test_a_worker_lost_in_an_outage_keeps_its_attempts_numbers(world):
    first, second = world.owners
    chunks = [world.submit(tasks=2, run_ms=LONG_MS) for _ in range(2)]
    world.run(3, first)
    first.restart()
    world.pass_all(second)
    world.pass_all(second)
    world.tables.down = True
    world.pass_all(first)
    lost = next(iter(world.find_running(chunks[0]).values()))
    world.kill_worker(lost)
    world.pass_all(first)
    assert not world.heal()


def test_the_only_worker_left_gets_work_though_attempts_failed_there(world):
    first = world.owners[0]
    chunk = world.submit(tasks=6, run_ms=LONG_MS)
    world.run(3, first)
    for name in sorted(set(world.workers) - {"w0"}):
        world.kill_worker(name)
    for _ in range(6):
        for report in world.workers["w0"].list_running():
            world.workers["w0"].end(report.key, AttemptState.FAILED)
        world.run(3, first)
    assert not world.heal()
    assert world.read(chunk).final


def test_urgent_work_of_a_lost_rack_moves_first(world):
    first, second = world.owners
    chunks = [
        world.submit(tasks=1, run_ms=LONG_MS, urgency=urgency)
        for urgency in (Urgency.BATCH, Urgency.URGENT, Urgency.NORMAL)
    ]
    world.run(3, first)
    for name in ("w0", "w1", "w2"):
        world.kill_worker(name)
    change_owner(world)
    second.restart()
    second.listed = set()
    world.run(35, second)
    offer = ShardOffer(shard="north:r2", failure_domain="north", free=CAPACITY)
    moved = []
    while len(moved) < len(chunks):
        polled = second.shard.poll((offer,))
        (command,) = [c for c in polled if isinstance(c, MoveChunk)]
        second.shard.apply(command, world.execute(command))
        moved.append(command.write.record.chunk)
    assert moved == [chunks[1], chunks[2], chunks[0]]


def test_a_gone_worker_stays_in_the_row_until_its_attempts_are_recorded(world):
    first, second = world.owners
    chunk = world.submit(tasks=2, run_ms=LONG_MS)
    world.run(3, first)
    for name in ("w0", "w1"):
        world.kill_worker(name)
    change_owner(world)
    second.listed = {"w2"}
    world.run(1, second)
    world.clock.advance(31)
    (scan,) = hold_back(world, second, ReadAssignments)
    world.sent.remove(scan)
    world.run(2, second)
    row = world.tables.read(SHARDS_TABLE, SHARD, ShardRecord)
    assert row.workers == ("w0", "w1", "w2")
    world.sent.append(scan)
    world.run(5, second)
    assert {task.attempt for task in world.read(chunk).tasks} == {1}
    row = world.tables.read(SHARDS_TABLE, SHARD, ShardRecord)
    assert row.workers == ("w2",)
    world.cancel(chunk)


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
    (write,) = advance_until_held(world, first, WriteShard)
    change_owner(world)
    world.run(2, second)
    world.deliver(write)
    world.answer(write)
    assert not first.shard.held


def test_commitments_count_what_the_worker_holds_and_reserves(world):
    first, _ = world.owners
    world.workers["w0"].reserved = Resources(millicores=1500)
    world.workers["w1"].reserved = Resources(millicores=1500)
    held = advance_until_held(world, first, ExchangeWorker)
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
