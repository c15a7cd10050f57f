"""Waiting jobs of several hundred sizes while the workers are full.

Every waiting step looked at each of 446 workers in every round. A round then took long
enough to delay the start of urgent tasks by as much as they run.
"""

from unittest import mock

from fuchsiascale.jobs import _rounds as rounds
from fuchsiascale.jobs import plan_round
from fuchsiascale.jobs._worker_selection import Candidates
from fuchsiascale.jobs.tests.test_rounds import (
    drain_starts,
    end_attempt,
    make_shard,
    make_step,
    submit_job,
)
from fuchsiascale.testing import collect_functions, fixture

load_tests = collect_functions(__name__)

WAITING_JOBS = 200


@fixture
def searches():
    """Count the searches of workers."""
    with mock.patch.object(rounds, "Candidates", wraps=Candidates) as counted:
        yield counted


def submit_jobs(shard, first_cpu, **fields):
    """Submit jobs, each of which needs a little more than the one before."""
    for number in range(WAITING_JOBS):
        step = make_step(count=3, cpu=first_cpu + number, **fields)
        submit_job(shard, step, job=f"{number:016x}", priority=1)


def test_larger_tasks_than_one_without_room_are_not_placed_in_the_same_round(searches):
    shard = make_shard(workers=4, cpu_millis=4_000)
    submit_jobs(shard, first_cpu=4_001)
    plan_round(shard, 1.0)
    assert searches.call_count == 1
    assert drain_starts(shard) == []


def test_a_smaller_task_is_placed_though_a_larger_one_has_no_room():
    shard = make_shard(workers=1, cpu_millis=4_000)
    submit_job(shard, make_step(cpu=5_000), job="1" * 16, priority=0)
    submit_job(shard, make_step(cpu=4_000), job="2" * 16, priority=1)
    plan_round(shard, 1.0)
    (attempt,) = drain_starts(shard)
    assert attempt.task.step.job.job == "2" * 16


def test_an_urgent_task_starts_in_the_round_after_room_has_become_free():
    shard = make_shard(workers=1, cpu_millis=4_000)
    submit_job(shard, make_step(count=2, cpu=4_000))
    plan_round(shard, 1.0)
    first = drain_starts(shard)[0]
    shard.note_started(first, 1.0)
    plan_round(shard, 1.01)
    assert drain_starts(shard) == []
    end_attempt(shard, first.worker, first, 1, 1.02)
    plan_round(shard, 1.03)
    assert len(drain_starts(shard)) == 1


def test_fillers_without_room_are_not_placed_again_at_once(searches):
    shard = make_shard(workers=4, cpu_millis=4_000)
    submit_jobs(shard, first_cpu=9_000, fills=True, image="scan")
    for step in range(10):
        plan_round(shard, 1.0 + 0.005 * step)
    assert searches.call_count == 1
    plan_round(shard, 1.1 + rounds.FULL_PERIOD_S)
    assert searches.call_count == 2


def test_a_round_ends_soon_whatever_the_number_of_waiting_fillers(searches):
    shard = make_shard(workers=4, cpu_millis=4_000)
    for number in range(WAITING_JOBS):
        step = make_step(count=2, cpu=10, fills=True, image=f"scan-{number}")
        submit_job(shard, step, job=f"{number:016x}", priority=1)
    submit_job(shard, make_step(cpu=500), job="f" * 16)
    started = []
    for number in range(WAITING_JOBS // rounds.MAX_FILLER_SEARCHES + 1):
        searches.reset_mock()
        plan_round(shard, 1.0 + 0.01 * number)
        assert searches.call_count <= rounds.MAX_FILLER_SEARCHES + 1
        started += drain_starts(shard)
    assert started[0].task.step.job.job == "f" * 16
    assert len(started) == 2 * WAITING_JOBS + 1
