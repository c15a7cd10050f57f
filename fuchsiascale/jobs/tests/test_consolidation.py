"""Moves of serving tasks that exclude fillers from a worker."""

from fuchsiascale.jobs import (
    EndedAttempt,
    EndKind,
    Inventory,
    StopCommand,
    plan_round,
)
from fuchsiascale.jobs.tests.test_rounds import (
    drain_starts,
    make_shard,
    make_step,
    submit_job,
)
from fuchsiascale.jobs.tests.test_urgent_room import Fleet
from fuchsiascale.jobs.tests.test_urgent_room import make_step as make_fleet_step
from fuchsiascale.testing import collect_functions, fixture

load_tests = collect_functions(__name__)

TOLERANT, SENSITIVE = "a" * 16, "b" * 16
FILLER = "f" * 16


def start_serving(shard, job, image, worker_names, **fields):
    """Start the serving tasks of a job, one for each worker name given."""
    run = submit_job(
        shard,
        make_step(
            count=len(worker_names),
            cpu=4_000,
            lasting=True,
            image=image,
            tail_target_ms=100,
            **fields,
        ),
        job=job,
    )
    for task, worker_name in zip(
        run.find_ready_steps()[0].tasks, worker_names, strict=True
    ):
        attempt = shard.start_task(task, shard.workers[worker_name], 1.0)
        shard.note_started(attempt, 1.0)
    return run


@fixture
def shard():
    """Two workers, and the observation that fillers harm one of two serving images."""
    shard = make_shard(workers=2, cpu_millis=12_000)
    for number in range(20):
        for job, image, lost in (
            (TOLERANT, "tolerant", 0.0),
            (SENSITIVE, "sensitive", 1.0),
        ):
            shard.interference.observe(
                image, job, 3.0 - lost, {"scan": 0.1}, number * 0.1
            )
            shard.interference.observe(image, job, 3.0, {}, number * 0.1)
    yield shard


def plan_with_waiting_fillers(shard, now_s):
    """Plan a round in which excluded fillers wait; returns the stop commands."""
    submit_job(
        shard, make_step(count=9, cpu=4_000, fills=True, image="scan"), job=FILLER
    )
    for worker in shard.workers.values():
        worker.blocked_until_s = 0.0
    plan_round(shard, now_s)
    return drain_stops(shard)


def drain_stops(shard):
    return [
        command
        for command in shard.drain_commands()
        if isinstance(command, StopCommand)
    ]


def report_end(shard, command, number, now_s):
    """Report an attempt as stopped in an inventory of its worker."""
    ended = (EndedAttempt(number, command.task, command.number, EndKind.STOPPED),)
    running = ()
    inventory = Inventory(
        clock_ms=int(now_s * 1_000), incarnation=1, running=running, ended=ended
    )
    attempts = dict(command.worker.attempts)
    del attempts[command.task]
    for attempt in attempts.values():
        attempt.phase_since_s = now_s
    shard.observe(command.worker, inventory, now_s, now_s)


def test_two_serving_tasks_swap_workers(shard):
    start_serving(shard, TOLERANT, "tolerant", ["w0", "w0", "w1"])
    start_serving(shard, SENSITIVE, "sensitive", ["w1", "w1", "w0"])
    first, second = plan_with_waiting_fillers(shard, 10.0)
    assert {(first.task, first.worker.worker), (second.task, second.worker.worker)} == {
        (f"{SENSITIVE}.0.0.2", "w0"),
        (f"{TOLERANT}.0.0.2", "w1"),
    }
    for number, command in enumerate((first, second), 1):
        report_end(shard, command, number, 10.1)
    plan_round(shard, 10.2)
    started = {each.task.name: each.worker.worker for each in drain_starts(shard)}
    assert started[f"{SENSITIVE}.0.0.2"] == "w1"
    assert started[f"{TOLERANT}.0.0.2"] == "w0"


def test_a_task_that_has_stopped_first_waits_for_its_counterpart(shard):
    """Of two tasks that change places, the first one to end started anywhere."""
    start_serving(shard, TOLERANT, "tolerant", ["w0", "w0", "w1"])
    start_serving(shard, SENSITIVE, "sensitive", ["w1", "w1", "w0"])
    first, second = plan_with_waiting_fillers(shard, 10.0)
    report_end(shard, first, 1, 10.1)
    plan_round(shard, 10.2)
    assert not any(each.task.step.spec.lasting for each in drain_starts(shard))
    report_end(shard, second, 1, 10.6)
    plan_round(shard, 10.7)
    started = {each.task.name: each.worker.worker for each in drain_starts(shard)}
    assert started[f"{SENSITIVE}.0.0.2"] == "w1"
    assert started[f"{TOLERANT}.0.0.2"] == "w0"


def test_a_task_whose_counterpart_does_not_stop_starts_where_there_is_room(shard):
    """A long-running task may not wait for more than a few seconds to run again."""
    start_serving(shard, TOLERANT, "tolerant", ["w0", "w0", "w1"])
    start_serving(shard, SENSITIVE, "sensitive", ["w1", "w1", "w0"])
    first, _ = plan_with_waiting_fillers(shard, 10.0)
    report_end(shard, first, 1, 10.1)
    plan_round(shard, 12.5)
    started = {each.task.name: each.worker.worker for each in drain_starts(shard)}
    assert started[f"{SENSITIVE}.0.0.2"] == "w0"


def test_no_task_moves_while_no_filler_waits(shard):
    start_serving(shard, TOLERANT, "tolerant", ["w0", "w0", "w1"])
    start_serving(shard, SENSITIVE, "sensitive", ["w1", "w1", "w0"])
    plan_round(shard, 10.0)
    assert drain_stops(shard) == []


def test_a_recently_started_task_stays(shard):
    start_serving(shard, TOLERANT, "tolerant", ["w0", "w0", "w1"])
    start_serving(shard, SENSITIVE, "sensitive", ["w1", "w1", "w0"])
    assert plan_with_waiting_fillers(shard, 3.0) == []


def test_a_task_of_a_step_with_may_miss_stays(shard):
    start_serving(shard, TOLERANT, "tolerant", ["w0", "w0", "w1"])
    start_serving(shard, SENSITIVE, "sensitive", ["w1", "w1", "w0"], may_miss=1)
    assert plan_with_waiting_fillers(shard, 10.0) == []


def test_a_move_respects_the_limit_of_tasks_per_worker(shard):
    start_serving(shard, TOLERANT, "tolerant", ["w0", "w0", "w1"])
    start_serving(shard, SENSITIVE, "sensitive", ["w1", "w1", "w0"], max_per_worker=2)
    assert plan_with_waiting_fillers(shard, 10.0) == []


def test_tolerant_tasks_that_are_scattered_among_sensitive_ones_are_grouped():
    """Fillers got no processor time though a third of the workers could be theirs.

    Each worker ran one tolerant task and two sensitive ones, so that no single move
    opened a worker to the fillers.
    """
    fleet = Fleet(workers=6)
    interference = fleet.shard.interference
    interference.restore({"tolerant": {"scan": 0.0}, "a": {"scan": 9.0}})
    interference.restore({"b": {"scan": 9.0}})
    for number, image in enumerate(("tolerant", "a", "b")):
        step = make_fleet_step(6, 8, lasting=True, image=image, tail_target_ms=100)
        job = fleet.submit(number, step)
        workers = fleet.shard.workers.values()
        for task, worker in zip(job.find_ready_steps()[0].tasks, workers, strict=True):
            fleet.shard.note_started(fleet.shard.start_task(task, worker, 0.0), 0.0)
    fleet.shard.drain_commands()
    batch = fleet.submit(
        9, make_fleet_step(24, 4, fills=True, image="scan"), priority=2
    )
    fleet.advance(12.0)
    allowed = sum(
        attempt.task.step.spec.need.cpu_millis * attempt.target_pace / 100
        for attempt in batch.list_attempts()
    )
    # Two workers with tolerant tasks alone leave 20 of 32 cores each.
    assert allowed >= 40_000
