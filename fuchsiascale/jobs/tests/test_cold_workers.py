"""Workers that are slow for some seconds after their start.

Load: racks of workers restart, or come back with their failure domain. Tasks there take
several times as long: they were stopped as stalled, their worker was suspended, and
their run times made the estimates of all other tasks too long.
"""

import msgspec

from fuchsiascale.jobs import (
    EndedAttempt,
    EndKind,
    Inventory,
    RunningAttempt,
    StopCommand,
    plan_round,
)
from fuchsiascale.jobs.tests.test_rounds import (
    JOB,
    drain_starts,
    make_shard,
    make_step,
    submit_job,
)
from fuchsiascale.testing import collect_functions

load_tests = collect_functions(__name__)


def list_cold(shard, worker_name, cold_left_ms, now_s, **fields):
    """Let the list show how much longer a worker stays cold; return the worker."""
    listed = msgspec.structs.replace(
        shard.workers[worker_name].listed, cold_left_ms=cold_left_ms, **fields
    )
    return shard.update_worker(listed, now_s)


def list_started_workers(shard, now_s):
    plan_round(shard, now_s)
    return [each.worker.worker for each in drain_starts(shard)]


def test_a_cold_worker_is_chosen_after_warm_ones():
    shard = make_shard(workers=3)
    list_cold(shard, "w0", 2_000, now_s=0.5)
    submit_job(shard, make_step(count=10))
    started = list_started_workers(shard, 1.0)
    assert sorted(started) == ["w0"] * 2 + ["w1"] * 4 + ["w2"] * 4
    assert started[-2:] == ["w0"] * 2


def test_a_cold_worker_near_the_data_is_chosen_before_a_warm_one_far_away():
    shard = make_shard(workers=2, labels=(("r1",), ("r2",)))
    list_cold(shard, "w0", 2_000, now_s=0.5)
    submit_job(shard, make_step(data_rack="r1"))
    assert list_started_workers(shard, 1.0) == ["w0"]


def test_a_filler_prefers_a_warm_worker():
    shard = make_shard(workers=2)
    list_cold(shard, "w0", 2_000, now_s=0.5)
    submit_job(shard, make_step(fills=True, image="scan"))
    assert list_started_workers(shard, 1.0) == ["w1"]


def test_a_worker_is_cold_from_when_its_entry_was_seen():
    shard = make_shard(workers=1)
    worker = list_cold(shard, "w0", 2_000, now_s=0.5)
    assert worker.is_cold(2.4)
    assert not worker.is_cold(2.5)


def test_an_entry_that_is_applied_again_does_not_extend_the_time():
    # All entries are applied again whenever one of them changes.
    shard = make_shard(workers=1)
    for now_s in (0.5, 1.0, 1.5, 2.0):
        worker = list_cold(shard, "w0", 2_000, now_s)
    assert not worker.is_cold(2.5)
    worker = list_cold(shard, "w0", 2_000, 3.0, incarnation=2)
    assert worker.is_cold(4.9)


def test_a_new_entry_corrects_the_time():
    shard = make_shard(workers=1)
    worker = list_cold(shard, "w0", 2_000, now_s=0.5)
    list_cold(shard, "w0", 100, now_s=1.0)
    assert not worker.is_cold(1.2)
    list_cold(shard, "w0", 1_000, now_s=1.2)
    list_cold(shard, "w0", 0, now_s=1.3)
    assert not worker.is_cold(1.3)


def test_an_entry_that_is_out_of_range_does_not_keep_a_worker_cold():
    shard = make_shard(workers=1)
    worker = list_cold(shard, "w0", 2**53, now_s=0.5)
    assert not worker.is_cold(61.0)


def end_first_attempt(shard, started_s, ended_s):
    """Run a task from one time to another."""
    submit_job(shard, make_step())
    plan_round(shard, started_s)
    (attempt,) = drain_starts(shard)
    shard.note_started(attempt, started_s)
    end = EndedAttempt(1, attempt.task.name, attempt.number, EndKind.DONE)
    inventory = Inventory(
        clock_ms=int(ended_s * 1_000) + 1_000, incarnation=1, ended=(end,)
    )
    shard.observe(attempt.worker, inventory, ended_s, ended_s)


def test_run_times_on_a_cold_worker_are_not_learnt():
    for cold_left_ms, is_learnt in ((2_000, False), (500, True), (0, True)):
        shard = make_shard(workers=1)
        list_cold(shard, "w0", cold_left_ms, now_s=0.5)
        end_first_attempt(shard, started_s=1.1, ended_s=4.0)
        assert bool(shard.run_times.export()) is is_learnt, cold_left_ms
        assert shard.jobs[JOB].is_complete()


def test_a_worker_that_turns_out_to_be_cold_after_a_start_teaches_nothing():
    shard = make_shard(workers=1)
    submit_job(shard, make_step())
    plan_round(shard, 1.0)
    (attempt,) = drain_starts(shard)
    shard.note_started(attempt, 1.0)
    worker = list_cold(shard, "w0", 2_000, now_s=1.5)
    end = EndedAttempt(1, attempt.task.name, attempt.number, EndKind.DONE)
    inventory = Inventory(clock_ms=6_000, incarnation=1, ended=(end,))
    shard.observe(worker, inventory, 5.0, 5.0)
    assert shard.run_times.export() == {}


def list_stop_times(shard, worker, attempt, until_s):
    """Return when a task without progress is stopped, rounds being 0.1 s apart."""
    now_s = 1.0
    while now_s < until_s:
        now_s = round(now_s + 0.1, 1)
        running = (RunningAttempt(attempt.task.name, 1, "", 10),)
        inventory = Inventory(
            clock_ms=int(now_s * 1_000) + 1_000, incarnation=1, running=running
        )
        shard.observe(worker, inventory, now_s, now_s)
        plan_round(shard, now_s)
        if any(isinstance(each, StopCommand) for each in shard.drain_commands()):
            return now_s
    return None


def test_the_stall_check_waits_until_the_worker_is_warm():
    stopped_s = {}
    for cold_left_ms in (0, 4_000):
        shard = make_shard(workers=1)
        worker = list_cold(shard, "w0", cold_left_ms, now_s=0.9)
        submit_job(shard, make_step())
        plan_round(shard, 1.0)
        (attempt,) = drain_starts(shard)
        shard.note_started(attempt, 1.0)
        stopped_s[cold_left_ms] = list_stop_times(shard, worker, attempt, 12.0)
    assert 3.5 < stopped_s[0] < 4.0
    assert 4.9 + 2.5 < stopped_s[4_000] < 4.9 + 3.0
