"""Moves of serving tasks that keep fillers off a worker."""

from fuchsiascale.jobs import (
    EndedAttempt,
    EndKind,
    Inventory,
    StopCommand,
    plan_round,
)
from fuchsiascale.jobs.tests.test_rounds import add, make_shard, starts, step
from fuchsiascale.testing import collect_functions, fixture

load_tests = collect_functions(__name__)

QUIET, TOUCHY = "a" * 16, "b" * 16
FILLER = "f" * 16


def serve(shard, job, image, places, **fields):
    """Start the serving tasks of a job, one on each of the named workers."""
    run = add(
        shard,
        step(
            count=len(places),
            cpu=4_000,
            lasting=True,
            image=image,
            tail_target_ms=100,
            **fields,
        ),
        job=job,
    )
    for task, place in zip(run.find_ready_steps()[0].tasks, places, strict=True):
        attempt = shard.start_task(task, shard.workers[place], 1.0)
        shard.note_started(attempt, 1.0)
    return run


@fixture
def shard():
    """Two full workers; each serves an image twice and the other one's once.

    Fillers do harm to one of the images, and some wait.
    """
    shard = make_shard(workers=2, cpu_millis=12_000)
    for number in range(20):
        for job, image, lost in ((QUIET, "quiet", 0.0), (TOUCHY, "touchy", 1.0)):
            shard.harm.note(image, job, 3.0 - lost, {"scan": 0.1}, number * 0.1)
            shard.harm.note(image, job, 3.0, {}, number * 0.1)
    yield shard


def wait_for_room(shard, now_s):
    """Let fillers wait that the serving tasks keep out; return what is stopped."""
    add(shard, step(count=9, cpu=4_000, fills=True, image="scan"), job=FILLER)
    for worker in shard.workers.values():
        worker.blocked_until_s = 0.0
    plan_round(shard, now_s)
    return list_stops(shard)


def list_stops(shard):
    return [order for order in shard.drain_commands() if isinstance(order, StopCommand)]


def end(shard, order, number, now_s):
    """Let a worker list the end of an attempt that was stopped."""
    ended = (EndedAttempt(number, order.task, order.number, EndKind.STOPPED),)
    running = ()
    inventory = Inventory(
        clock_ms=int(now_s * 1_000), incarnation=1, running=running, ended=ended
    )
    attempts = dict(order.worker.attempts)
    del attempts[order.task]
    for attempt in attempts.values():
        attempt.phase_since_s = now_s
    shard.observe(order.worker, inventory, now_s, now_s)


def test_two_lone_tasks_change_places(shard):
    serve(shard, QUIET, "quiet", ["w0", "w0", "w1"])
    serve(shard, TOUCHY, "touchy", ["w1", "w1", "w0"])
    first, second = wait_for_room(shard, 10.0)
    assert {(first.task, first.worker.worker), (second.task, second.worker.worker)} == {
        (f"{TOUCHY}.0.0.2", "w0"),
        (f"{QUIET}.0.0.2", "w1"),
    }
    for number, order in enumerate((first, second), 1):
        end(shard, order, number, 10.1)
    plan_round(shard, 10.2)
    begun = {each.task.name: each.worker.worker for each in starts(shard)}
    assert begun[f"{TOUCHY}.0.0.2"] == "w1"
    assert begun[f"{QUIET}.0.0.2"] == "w0"


def test_nothing_moves_while_no_filler_waits(shard):
    serve(shard, QUIET, "quiet", ["w0", "w0", "w1"])
    serve(shard, TOUCHY, "touchy", ["w1", "w1", "w0"])
    plan_round(shard, 10.0)
    assert list_stops(shard) == []


def test_a_task_that_has_just_started_stays(shard):
    serve(shard, QUIET, "quiet", ["w0", "w0", "w1"])
    serve(shard, TOUCHY, "touchy", ["w1", "w1", "w0"])
    assert wait_for_room(shard, 3.0) == []


def test_a_task_that_may_not_be_missed_stays(shard):
    serve(shard, QUIET, "quiet", ["w0", "w0", "w1"])
    serve(shard, TOUCHY, "touchy", ["w1", "w1", "w0"], may_miss=1)
    assert wait_for_room(shard, 10.0) == []


def test_no_worker_is_given_a_task_beyond_what_its_step_allows(shard):
    serve(shard, QUIET, "quiet", ["w0", "w0", "w1"])
    serve(shard, TOUCHY, "touchy", ["w1", "w1", "w0"], max_per_worker=2)
    assert wait_for_room(shard, 10.0) == []
