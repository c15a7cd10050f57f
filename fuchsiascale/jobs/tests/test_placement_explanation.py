"""Explanations of where a job would start, compared with what a round then does."""

from random import Random

import msgspec

from fuchsiascale.jobs import (
    JobRecord,
    JobSpec,
    QueuePolicy,
    StepSpec,
    explain_placement,
    plan_round,
)
from fuchsiascale.jobs.tests.test_data_locality import (
    make_gang,
    make_local_step,
    make_shard,
    occupy_rack,
    submit_job,
)
from fuchsiascale.jobs.tests.test_owner import make_owner
from fuchsiascale.jobs.tests.test_rounds import drain_starts, make_step
from fuchsiascale.testing import collect_functions

load_tests = collect_functions(__name__)

ABSENT = "0" * 16


def make_record(*steps, target_ms=9_000, stretch=2.0):
    policy = QueuePolicy(
        queue="q", service="pool", max_attempts=9, stretch=stretch, target_ms=target_ms
    )
    spec = JobSpec(payload="", steps=steps)
    return JobRecord(job=ABSENT, spec=spec, policy=policy, accepted_ms=0)


def explain(shard, *steps, now_s=1.0, **fields):
    return explain_placement(shard, make_record(*steps, **fields), now_s, 0)


def count_plan(step):
    return step.start, step.wait, step.start_far, step.no_room


def test_tasks_are_explained_as_starting_waiting_and_far():
    shard = make_shard(factor=2.0, racks=(2, 1))
    occupy_rack(shard, 6)
    (step,) = explain(shard, make_local_step(count=20)).steps
    assert count_plan(step) == (2, 8, 4, 6)
    assert (step.rack_room, step.room) == (2, 6)
    assert (step.run_s, step.far_run_s, step.may_wait_s) == (1.0, 2.0, 1.0)


def test_an_explanation_agrees_with_the_round_that_follows():
    """An explanation by other rules than those of a round would mislead."""
    for seed in range(150):
        random = Random(seed)
        shard = make_shard(random.choice((1.0, 1.5, 3.0)), racks=(2, 3))
        occupy_rack(shard, random.randrange(1, 9), rack="r0")
        occupy_rack(shard, random.randrange(1, 13), rack="r1")
        step = make_step(
            count=random.randrange(1, 14),
            cpu=random.choice((500, 1_000, 2_500)),
            estimate_ms=random.choice((300, 1_000, 2_700)),
            data_rack=random.choice(("", "r0", "r1", "gone")),
            max_per_worker=random.choice((0, 0, 1, 2)),
            required_label=random.choice(("", "", "r1")),
            gang=random.random() < 0.3,
        )
        target_ms = random.choice((0, 300, 9_000))
        (found,) = explain(shard, step, target_ms=target_ms).steps
        job = submit_job(shard, "1" * 16, step, target_ms=target_ms)
        plan_round(shard, 1.0)
        started = len(drain_starts(shard))
        assert started == found.start + found.start_far, seed
        if shard.remote_factor > 1.0:
            assert job.find_task(0, 0, 0).step.waits_by_choice == found.wait, seed


def play_two_jobs(explained):
    """Return what two jobs start and how many tasks wait, with explanations or not."""
    shard = make_shard(factor=2.0, racks=(2, 1))
    occupy_rack(shard, 8)
    submit_job(shard, "1" * 16, make_local_step(count=2))
    plan_round(shard, 1.0)
    if explained:
        explain(shard, make_local_step(count=20), make_gang(3, same_rack=True))
        explain(shard, make_gang(8, data_rack="r0"), now_s=1.01)
    commands = len(shard.commands)
    submit_job(shard, "2" * 16, make_local_step(count=12), target_ms=20_000)
    plan_round(shard, 1.02)
    starts = [(each.task.name, each.worker.worker) for each in drain_starts(shard)]
    return commands, starts, shard.events, list(shard.jobs)


def test_an_explanation_changes_nothing():
    """Reservations for a job that isn't handed in would drive others away."""
    commands, starts, events, jobs = play_two_jobs(explained=True)
    assert commands == 0
    assert ABSENT not in jobs
    assert starts and events["waited"] > 2
    assert play_two_jobs(explained=False) == (commands, starts, events, jobs)


def test_each_worker_that_takes_no_task_is_counted_by_its_reason():
    shard = make_shard(racks=(9,))
    workers = list(shard.workers.values())
    workers[0].is_listed = False
    workers[1].listed = msgspec.structs.replace(workers[1].listed, draining=True)
    workers[2].silent = True
    shard.suspend(workers[3], 0.9)
    workers[4].blocked_until_s = 2.0
    workers[5].in_leased_workers = False
    workers[6].orphans["other"] = 1
    workers[7].cpu_used = 3_900
    (step,) = explain(shard, make_step(count=2)).steps
    assert step.ruled_out == {
        "not listed": 1,
        "draining": 1,
        "silent": 1,
        "suspended": 1,
        "paused after a refused start": 1,
        "not confirmed yet": 1,
        "unknown attempts are stopping": 1,
        "capacity": 1,
    }
    (step,) = explain(shard, make_step(required_label="r7")).steps
    assert step.ruled_out["label"] == 2
    assert step.workers == 9


def test_a_usable_worker_without_permission_is_shown_as_evacuated():
    """The shard may exclude workers of a domain that an operator evacuates."""
    shard = make_shard(racks=(2,))
    shard.may_use = lambda worker, now_s: worker.worker != "r0w0"
    (step,) = explain(shard, make_step()).steps
    assert step.ruled_out == {"evacuated": 1}


def test_a_limit_of_tasks_per_worker_is_shown():
    shard = make_shard(racks=(2,))
    (step,) = explain(shard, make_step(count=4, max_per_worker=1)).steps
    assert (step.start, step.no_room, step.limited_by_spread) == (2, 2, 2)


def test_a_gang_is_explained_as_one():
    shard = make_shard()
    occupy_rack(shard, 6, rack="r0")
    occupy_rack(shard, 7, rack="r1")
    (step,) = explain(shard, make_gang(3, same_rack=True)).steps
    assert count_plan(step) == (0, 3, 0, 0)
    (step,) = explain(shard, make_gang(9, same_rack=True)).steps
    assert count_plan(step) == (0, 0, 0, 9)


def test_a_job_of_many_steps_is_explained_in_part():
    """A job may have 4,096 steps, each of which costs a look at all workers."""
    shard = make_shard()
    found = explain(shard, *[make_step() for _ in range(40)])
    assert (len(found.steps), found.steps_left_out) == (5, 35)


def test_an_owner_explains_neither_too_often_nor_jobs_that_are_too_large():
    """Peers send the job: one with a billion tasks must not be built."""
    owner, _ = make_owner(None)
    assert owner.explain_placement(make_record(make_step())) is None
    owner._loaded.set()
    owner.clock.advance(1.0)
    huge = make_record(StepSpec(count=10**9))
    assert owner.explain_placement(huge) is None
    found = owner.explain_placement(make_record(make_step()))
    assert found.token == 1
    assert owner.explain_placement(make_record(make_step())) is None
    owner.clock.advance(0.6)
    assert owner.explain_placement(make_record(make_step())) is not None
