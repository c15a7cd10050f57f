"""Tests of a shard whose workers, rack or store are lost."""

from fuchsiascale.coordination import (
    SHARDS_TABLE,
    MoveChunk,
    ReadAssignments,
    ShardOffer,
    ShardRecord,
)
from fuchsiascale.coordination.tests.shard_world import (
    CAPACITY,
    LONG_MS,
    SHARD,
    change_owner,
    withhold,
)
from fuchsiascale.states import AttemptState, Urgency
from fuchsiascale.testing import collect_functions

load_tests = collect_functions(__name__)


def test_an_owner_continues_in_a_store_outage_and_records_afterwards(world):
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


def test_a_store_outage_does_not_cause_a_retry_storm(world):
    first, _ = world.owners
    for _ in range(10):
        world.submit(tasks=1, run_ms=2_000)
    world.run(2, first)
    world.tables.down = True
    world.run(10, first)
    assert len(world.finished) == 10
    store_calls_before = world.store_calls
    world.run(20, first)
    assert 0 < world.store_calls - store_calls_before <= 10 * 10


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


def test_tasks_of_a_lost_rack_move_and_count_as_possibly_run(world):
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
    world.deliver_all(second)
    world.deliver_all(second)
    world.tables.down = True
    world.deliver_all(first)
    lost = next(iter(world.find_running(chunks[0]).values()))
    world.kill_worker(lost)
    world.deliver_all(first)
    assert not world.repair_faults()


def test_the_only_worker_left_gets_work_although_attempts_failed_there(world):
    first = world.owners[0]
    chunk = world.submit(tasks=6, run_ms=LONG_MS)
    world.run(3, first)
    for name in sorted(set(world.workers) - {"w0"}):
        world.kill_worker(name)
    for _ in range(6):
        for report in world.workers["w0"].list_running():
            world.workers["w0"].end(report.key, AttemptState.FAILED)
        world.run(3, first)
    assert not world.repair_faults()
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
    (scan,) = withhold(world, second, ReadAssignments)
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
