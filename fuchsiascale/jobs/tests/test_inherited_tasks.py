"""Inherited tasks while a worker of an earlier owner does not answer.

One worker that was lost just before its owner held up all inherited tasks for 16.5 s,
also those that the new owner had seen run elsewhere.
"""

from fuchsiascale.jobs import (
    EndedAttempt,
    EndKind,
    Inventory,
    RunningAttempt,
    plan_round,
)
from fuchsiascale.jobs._conclusions import confirm_owner
from fuchsiascale.jobs._inventories import PENDING_EXCHANGE_S
from fuchsiascale.jobs.tests.test_rounds import (
    drain_starts,
    make_shard,
    make_step,
    submit_job,
)
from fuchsiascale.testing import collect_functions

load_tests = collect_functions(__name__)

LOST_WORKER = "w9"
SETTLED_S = 0.2 + PENDING_EXCHANGE_S
"""Time at which no earlier owner has an open exchange with the workers any more."""


def make_successor(*steps):
    """Return the shard of a new owner, with an inherited job and a lost worker."""
    shard = make_shard()
    job = submit_job(shard, *steps, token=0)
    shard.unconfirmed_workers[LOST_WORKER] = 16.5
    return shard, job


def report(shard, sent_s, running=(), ended=()):
    """Let the first worker report what runs and has ended there."""
    worker = shard.workers["w0"]
    inventory = Inventory(
        clock_ms=int(1_000 + 1_000 * sent_s),
        incarnation=1,
        running=running,
        ended=ended,
    )
    shard.observe(worker, inventory, sent_s, sent_s + 0.01)


def report_on_second_worker(shard, sent_s=1.1, running=(), ended=()):
    """Let the second worker report what runs and has ended there; return it."""
    worker = shard.workers["w1"]
    inventory = Inventory(
        clock_ms=int(900 + 1_000 * sent_s),
        incarnation=1,
        running=running,
        ended=ended,
    )
    shard.observe(worker, inventory, sent_s, sent_s)
    return worker


def list_started(shard, now_s):
    """Return the names of the tasks that a round starts."""
    plan_round(shard, now_s)
    return [attempt.task.name for attempt in drain_starts(shard)]


def test_a_task_seen_running_starts_again_while_a_lost_worker_is_waited_for():
    shard, job = make_successor(make_step(count=2, lasting=True))
    seen, unseen = (task.name for task in job.occurrences[0][0].tasks)
    report(shard, SETTLED_S, running=(RunningAttempt(seen, 5),))
    end = EndedAttempt(1, seen, 5, EndKind.FAILED)
    report(shard, SETTLED_S + 0.5, ended=(end,))
    assert list_started(shard, SETTLED_S + 0.6) == [seen]
    del shard.unconfirmed_workers[LOST_WORKER]
    assert list_started(shard, SETTLED_S + 0.7) == [unseen]


def test_a_task_whose_end_the_earlier_owner_may_have_seen_waits_for_a_lost_worker():
    # The earlier owner may have learnt of the end, and have started the task again.
    shard, job = make_successor(make_step(lasting=True))
    name = job.find_task(0, 0, 0).name
    report(shard, 0.5, running=(RunningAttempt(name, 5),))
    report(shard, 0.6, ended=(EndedAttempt(1, name, 5, EndKind.FAILED),))
    assert list_started(shard, 0.7) == []


def test_a_step_follows_a_task_seen_running_while_a_lost_worker_is_waited_for():
    shard, job = make_successor(make_step(), make_step(after=(0,)))
    first = job.find_task(0, 0, 0).name
    report(shard, SETTLED_S, running=(RunningAttempt(first, 5),))
    report(shard, SETTLED_S + 0.5, ended=(EndedAttempt(1, first, 5, EndKind.DONE),))
    assert list_started(shard, SETTLED_S + 0.6) == [job.find_task(0, 1, 0).name]


def test_a_step_whose_predecessor_was_not_seen_running_waits_for_a_lost_worker():
    shard, job = make_successor(make_step(), make_step(after=(0,)))
    first = job.find_task(0, 0, 0).name
    report(shard, SETTLED_S, ended=(EndedAttempt(1, first, 5, EndKind.DONE),))
    assert list_started(shard, SETTLED_S + 0.1) == []


def test_a_step_follows_a_gang_once_all_its_tasks_were_seen_running():
    # The end of one member represents all. An earlier owner that reaches the worker of
    # another one learns of it too, and starts the step that follows.
    for seen, expected in ((1, False), (2, True)):
        shard, job = make_successor(
            make_step(count=2, gang=True), make_step(after=(0,))
        )
        gang = [task.name for task in job.occurrences[0][0].tasks]
        running = tuple(RunningAttempt(name, 5) for name in gang[:seen])
        report(shard, SETTLED_S, running=running)
        end = EndedAttempt(1, gang[0], 5, EndKind.DONE)
        report(shard, SETTLED_S + 0.5, ended=(end,))
        follower = job.find_task(0, 1, 0)
        assert list_started(shard, SETTLED_S + 0.6) == [follower.name] * expected
        del shard.unconfirmed_workers[LOST_WORKER]
        started = list_started(shard, SETTLED_S + 0.7)
        assert started == [follower.name] * (not expected)


def test_a_gang_waits_for_a_lost_worker_unless_all_its_tasks_were_seen_running():
    shard, job = make_successor(make_step(count=2, gang=True))
    names = [task.name for task in job.occurrences[0][0].tasks]
    report(shard, SETTLED_S, running=(RunningAttempt(names[0], 5),))
    end = EndedAttempt(1, names[0], 5, EndKind.BROKEN)
    report(shard, SETTLED_S + 0.5, ended=(end,))
    assert list_started(shard, SETTLED_S + 0.6) == []


def make_takeover():
    """Return the shard of a new owner that has adopted an attempt, and its job."""
    shard = make_shard()
    job = submit_job(shard, make_step(), token=0)
    report(shard, 1.0, running=(RunningAttempt(job.find_task(0, 0, 0).name, 5),))
    return shard, job


def test_the_latest_attempt_of_an_earlier_owner_is_adopted():
    # That owner saw the first attempt end and started another one before it was fenced.
    shard, job = make_takeover()
    task = job.find_task(0, 0, 0)
    second = report_on_second_worker(shard, running=(RunningAttempt(task.name, 6),))
    assert (task.attempt.number, task.attempt.worker) == (6, second)
    report(shard, 1.2, ended=(EndedAttempt(1, task.name, 5, EndKind.FAILED),))
    assert list_started(shard, 1.3) == []
    assert task.attempt.number == 6


def test_a_task_waits_while_an_unknown_attempt_of_it_is_being_stopped():
    shard, job = make_takeover()
    task = job.find_task(0, 0, 0)
    report_on_second_worker(shard, running=(RunningAttempt(task.name, 4),))
    report(shard, 1.2, ended=(EndedAttempt(1, task.name, 5, EndKind.FAILED),))
    assert list_started(shard, 1.3) == []
    end = EndedAttempt(1, task.name, 4, EndKind.STOPPED)
    report_on_second_worker(shard, sent_s=1.4, ended=(end,))
    assert list_started(shard, 1.5) == [task.name]


def test_a_task_is_not_held_up_for_ever_by_an_unknown_attempt_on_a_lost_worker():
    shard, job = make_takeover()
    task = job.find_task(0, 0, 0)
    report_on_second_worker(shard, running=(RunningAttempt(task.name, 4),))
    report(shard, 1.2, ended=(EndedAttempt(1, task.name, 5, EndKind.FAILED),))
    confirm_owner(shard, 6.4)
    assert list_started(shard, 6.4) == []
    confirm_owner(shard, 6.5)
    assert list_started(shard, 6.5) == [task.name]
