"""Each way to start or move a task leaves evacuated failure domains alone.

A round starts tasks in several places besides the usual one: gangs, long-running tasks
that have waited for too long, fillers that starve, and tasks that are stopped so that
they start elsewhere. One of them that offered workers of an evacuated domain would
break the bound of the evacuation.
"""

from fuchsiascale.jobs import (
    EndedAttempt,
    EndKind,
    Inventory,
    RunningAttempt,
    StopCommand,
    plan_round,
)
from fuchsiascale.jobs.tests import test_consolidation as consolidation
from fuchsiascale.jobs.tests.test_evacuations import (
    evacuate,
    list_started_domains,
    make_zoned_shard,
)
from fuchsiascale.jobs.tests.test_rounds import drain_starts, make_step, submit_job
from fuchsiascale.testing import collect_functions

load_tests = collect_functions(__name__)


def list_stopped_tasks(shard):
    return [
        command.task
        for command in shard.drain_commands()
        if isinstance(command, StopCommand)
    ]


def report_stopped(shard, attempt, now_s):
    """Report an attempt as stopped, and the others of its worker as running."""
    worker = attempt.worker
    running = tuple(
        RunningAttempt(each.task.name, each.number)
        for each in worker.attempts.values()
        if each is not attempt
    )
    end = EndedAttempt(1, attempt.task.name, attempt.number, EndKind.STOPPED)
    inventory = Inventory(
        clock_ms=int(now_s * 1_000), incarnation=1, running=running, ended=(end,)
    )
    shard.observe(worker, inventory, now_s, now_s)


def test_a_gang_is_placed_as_one_outside_of_the_evacuated_domain():
    shard = make_zoned_shard("a", "b", "c")
    evacuate(shard, 2, "a")
    submit_job(shard, make_step(count=8, gang=True))
    assert set(list_started_domains(shard, 1.0)) == {"b", "c"}


def test_a_gang_that_fits_only_with_the_evacuated_domain_waits_as_one():
    shard = make_zoned_shard("a", "b")
    evacuate(shard, 2, "a")
    submit_job(shard, make_step(count=8, gang=True))
    assert list_started_domains(shard, 1.0) == []
    evacuate(shard, 3)
    assert len(list_started_domains(shard, 1.1)) == 8


def test_a_gang_whose_members_were_withheld_starts_as_one_elsewhere():
    shard = make_zoned_shard("a", "b", "c")
    submit_job(shard, make_step(count=2, cpu=3_000, gang=True))
    plan_round(shard, 1.0)
    first, second = drain_starts(shard)
    domain = first.worker.listed.domain
    evacuate(shard, 2, domain)
    shard.note_start_withheld(first, 1.1)
    shard.note_started(second, 1.1)
    assert list_stopped_tasks(shard) == [second.task.name]
    assert list_started_domains(shard, 1.2) == []
    report_stopped(shard, second, 1.3)
    started = list_started_domains(shard, 1.4)
    assert len(started) == 2
    assert domain not in started


def test_tasks_that_run_in_the_evacuated_domain_stay_and_restart_elsewhere():
    shard = make_zoned_shard("a", "b")
    evacuate(shard, 2, "b")
    submit_job(shard, make_step(lasting=True))
    plan_round(shard, 1.0)
    (attempt,) = drain_starts(shard)
    shard.note_started(attempt, 1.0)
    evacuate(shard, 3, "a")
    for now_s in (1.1, 2.0, 9.0):
        plan_round(shard, now_s)
        assert shard.drain_commands() == []
    assert shard.grant_lease(attempt.worker, 9.0) is not None
    report_stopped(shard, attempt, 9.1)
    assert list_started_domains(shard, 9.2) == ["b"]


def test_a_long_running_task_that_has_waited_too_long_is_not_started_there():
    shard = make_zoned_shard("a", "b")
    evacuate(shard, 2, "a")
    submit_job(shard, make_step(count=4, estimate_ms=60_000), job="0" * 16)
    assert list_started_domains(shard, 0.2) == ["b"] * 4
    submit_job(shard, make_step(cpu=4_000, lasting=True), job="f" * 16)
    for now_s in (0.3, 2.0, 5.0, 9.0):
        assert list_started_domains(shard, now_s) == []
    evacuate(shard, 3)
    assert list_started_domains(shard, 9.1) == ["a"]


def make_filler_beside_serving(*domains):
    """Return a shard, and a filler that is throttled beside a serving task in "b"."""
    shard = make_zoned_shard(*domains, cpu_millis=16_000)
    evacuate(shard, 2, *(domain for domain in domains if domain != "b"))
    serving = make_step(cpu=4_000, lasting=True, image="web", tail_target_ms=100)
    job = submit_job(shard, serving)
    filler = make_step(cpu=4_000, fills=True, image="scan")
    submit_job(shard, filler, job="1" * 16, priority=2)
    shard.interference.observe("web", job.job, 3.0, {}, 0.9)
    plan_round(shard, 1.0)
    for attempt in drain_starts(shard):
        shard.note_started(attempt, 1.1)
    for _ in range(20):
        shard.interference.observe("web", job.job, 0.5, {"scan": 0.25}, 1.2)
        shard.interference.observe("web", job.job, 1.5, {}, 1.2)
    return shard, attempt


def test_a_throttled_filler_is_not_moved_for_room_in_the_evacuated_domain():
    for is_evacuated in (True, False):
        shard, filler = make_filler_beside_serving("b", "a")
        evacuate(shard, 3, *(("a",) if is_evacuated else ()))
        for now_s in (1.6, 2.0, 2.4):
            plan_round(shard, now_s)
        assert filler.target_pace <= 20
        expected = [] if is_evacuated else [filler.task.name]
        assert list_stopped_tasks(shard) == expected, is_evacuated


def test_a_starving_filler_starts_beside_the_tasks_it_harms_and_not_there():
    shard, _ = make_filler_beside_serving("b", "a")
    filler = make_step(cpu=12_000, fills=True, image="scan")
    submit_job(shard, filler, job="9" * 16, priority=2)
    started = []
    for now_s in (2.0, 2.4, 2.9, 3.0):
        started += list_started_domains(shard, now_s)
    assert started == ["b"]


def make_serving_shard():
    """Return a shard with serving tasks that would swap workers for waiting fillers."""
    shard = make_zoned_shard("a", "b", cpu_millis=12_000)
    for number in range(20):
        for job, image, lost in (
            (consolidation.TOLERANT, "tolerant", 0.0),
            (consolidation.SENSITIVE, "sensitive", 1.0),
        ):
            shard.interference.observe(
                image, job, 3.0 - lost, {"scan": 0.1}, number * 0.1
            )
            shard.interference.observe(image, job, 3.0, {}, number * 0.1)
    consolidation.start_serving(
        shard, consolidation.TOLERANT, "tolerant", ["w0", "w0", "w1"]
    )
    consolidation.start_serving(
        shard, consolidation.SENSITIVE, "sensitive", ["w1", "w1", "w0"]
    )
    return shard


def test_serving_tasks_do_not_swap_workers_with_the_evacuated_domain():
    for domain in ("a", "b"):
        shard = make_serving_shard()
        evacuate(shard, 2, domain)
        stops = consolidation.plan_with_waiting_fillers(shard, 10.0)
        assert stops == [], domain
    shard = make_serving_shard()
    assert len(consolidation.plan_with_waiting_fillers(shard, 10.0)) == 2


def test_a_task_that_was_to_move_into_the_domain_starts_elsewhere():
    shard = make_serving_shard()
    stops = consolidation.plan_with_waiting_fillers(shard, 10.0)
    evacuate(shard, 2, "a")
    for number, command in enumerate(stops, 1):
        consolidation.report_end(shard, command, number, 10.1)
    assert set(list_started_domains(shard, 10.2)) == {"b"}


def test_no_long_running_task_is_stopped_there_for_an_urgent_one():
    # The urgent task could not start there, so that the stop would be wasted.
    for is_evacuated in (True, False):
        shard = make_zoned_shard("a", cpu_millis=32_000)
        submit_job(shard, make_step(count=8, cpu=4_000, lasting=True), job="f" * 16)
        plan_round(shard, 0.1)
        for attempt in drain_starts(shard):
            shard.note_started(attempt, 0.2)
        evacuate(shard, 2, *(("a",) if is_evacuated else ()))
        urgent = make_step(cpu=4_000, estimate_ms=20_000)
        submit_job(shard, urgent, job="0" * 16)
        plan_round(shard, 3.0)
        assert bool(list_stopped_tasks(shard)) is not is_evacuated
