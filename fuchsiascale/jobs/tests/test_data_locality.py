"""Where rounds start tasks near or far from their data, and which tasks wait."""

from random import Random

import logbook
import msgspec

from fuchsiascale.jobs import (
    EndedAttempt,
    EndKind,
    Inventory,
    JobRecord,
    JobSpec,
    ListedWorker,
    ProgressRow,
    QueuePolicy,
    Resources,
    RunningAttempt,
    Shard,
    StopCommand,
    plan_round,
)
from fuchsiascale.jobs.tests.test_rounds import drain_starts, make_step
from fuchsiascale.testing import collect_functions, fixture

load_tests = collect_functions(__name__)

CORES = 4
RUN_MS = 1_000


def make_shard(factor=3.0, racks=(2, 2), token=1):
    """Return a shard with some workers of four cores on each rack."""
    shard = Shard("pool", token, 6.0, remote_factor=factor)
    shard.loaded = True
    for rack, count in enumerate(racks):
        for number in range(count):
            listed = ListedWorker(
                worker=f"r{rack}w{number}",
                service="pool",
                address=f"10.0.{rack}.{number}:80",
                domain="a",
                capacity=Resources(cpu_millis=CORES * 1_000, memory_mb=8_000),
                labels=(f"r{rack}",),
            )
            worker = shard.update_worker(listed, 0.0)
            worker.in_leased_workers = True
            shard.observe(worker, Inventory(clock_ms=1_000, incarnation=1), 0.0, 0.1)
    return shard


def submit_job(shard, job, *steps, now_s=1.0, age_s=0.0, **rest):
    """Submit a job with ample slack."""
    fields = {"priority": 0, "stretch": 2.0, "target_ms": 9_000, "row_token": 1} | rest
    progress, row_token = fields.pop("progress", None), fields.pop("row_token")
    policy = QueuePolicy(queue="q", service="pool", max_attempts=9, **fields)
    spec = JobSpec(payload="", steps=steps)
    record = JobRecord(job=job, spec=spec, policy=policy, accepted_ms=0)
    return shard.add_job(record, row_token, now_s, int(age_s * 1000), progress)


def make_local_step(count=1, rack="r0", **fields):
    return make_step(count=count, data_rack=rack, estimate_ms=RUN_MS, **fields)


def occupy_rack(shard, tasks, now_s=0.5, rack="r0", run_ms=RUN_MS, **fields):
    """Start tasks that fill the workers of a rack; return their attempts."""
    step = make_step(count=tasks, estimate_ms=run_ms, required_label=rack, **fields)
    submit_job(shard, "f" * 15 + rack[-1], step, now_s=now_s)
    plan_round(shard, now_s)
    started = drain_starts(shard)
    assert len(started) == tasks
    for attempt in started:
        shard.note_started(attempt, now_s)
    return started


def end_attempt(shard, attempt, now_s):
    """Report an attempt as done, and the others of its worker as running."""
    worker = attempt.worker
    running = tuple(
        RunningAttempt(each.task.name, each.number, "", 50)
        for each in worker.attempts.values()
        if each is not attempt
    )
    number = worker.last_seen_end + 1
    ended = EndedAttempt(number, attempt.task.name, attempt.number, EndKind.DONE)
    inventory = Inventory(
        clock_ms=1_000 + int(now_s * 1000),
        incarnation=1,
        running=running,
        ended=(ended,),
    )
    shard.observe(worker, inventory, now_s - 0.01, now_s)


def list_racks(attempts):
    return sorted(attempt.worker.listed.labels[0] for attempt in attempts)


@fixture
def lines():
    """Collect the lines of the shard's log."""
    with logbook.TestHandler() as handler:
        yield handler


def test_a_task_starts_near_its_data_where_there_is_room():
    shard = make_shard()
    submit_job(shard, "1" * 16, make_local_step(count=8))
    plan_round(shard, 1.0)
    assert list_racks(drain_starts(shard)) == ["r0"] * 8
    assert shard.events["started near"] == 8


def test_a_task_waits_for_room_that_is_about_to_be_free():
    shard = make_shard()
    running = occupy_rack(shard, 8)
    submit_job(shard, "1" * 16, make_local_step())
    plan_round(shard, 1.0)
    assert drain_starts(shard) == []
    assert shard.events["waited"] == 1
    end_attempt(shard, running[0], 1.4)
    plan_round(shard, 1.4)
    assert list_racks(drain_starts(shard)) == ["r0"]
    assert shard.events["started near"] == 1
    assert shard.events["started far"] == 0


def test_a_task_does_not_wait_where_long_running_tasks_hold_the_rack():
    shard = make_shard()
    occupy_rack(shard, 8, lasting=True)
    submit_job(shard, "1" * 16, make_local_step())
    plan_round(shard, 1.0)
    assert list_racks(drain_starts(shard)) == ["r1"]
    assert shard.events["started far"] == 1
    assert shard.events["waited"] == 0


def test_the_wait_follows_the_factor_and_the_run_time():
    """Room comes free in 1.2 s; starting far costs the factor less one, times a run."""
    for factor, run_ms, waits in (
        (1.5, 1_000, 0),
        (3.0, 1_000, 1),
        (1.5, 2_700, 1),
        (3.0, 540, 0),
    ):
        shard = make_shard(factor)
        occupy_rack(shard, 8, run_ms=1_700)
        step = make_step(data_rack="r0", estimate_ms=run_ms)
        submit_job(shard, "1" * 16, step)
        plan_round(shard, 1.0)
        assert (shard.events["waited"], len(drain_starts(shard))) == (waits, 1 - waits)


def test_a_wait_ends_when_starting_far_would_have_been_better():
    """The attempts take longer than expected, so that no room comes free in time."""
    shard = make_shard()
    occupy_rack(shard, 8)
    submit_job(shard, "1" * 16, make_local_step())
    started_s, now_s = None, 1.0
    while started_s is None and now_s < 9.0:
        for worker in shard.workers.values():
            for attempt in worker.attempts.values():
                attempt.progressed_at_s = now_s
        plan_round(shard, now_s)
        if drain_starts(shard):
            started_s = now_s
        now_s += 0.1
    assert 1.1 < started_s <= 3.1


def test_a_job_without_slack_does_not_wait():
    shard = make_shard()
    occupy_rack(shard, 8)
    submit_job(shard, "1" * 16, make_local_step(), stretch=1.0, target_ms=200)
    plan_round(shard, 1.0)
    assert list_racks(drain_starts(shard)) == ["r1"]


def test_of_a_crowd_only_those_wait_that_get_room_in_time():
    """Sixty tasks want a rack with room for twenty; the others would wait in vain."""
    shard = make_shard(factor=2.0, racks=(5, 20))
    occupy_rack(shard, 20)
    submit_job(shard, "1" * 16, make_local_step(count=60))
    plan_round(shard, 1.0)
    assert list_racks(drain_starts(shard)) == ["r1"] * 40
    assert shard.events["waited"] == 20
    submit_job(shard, "2" * 16, make_local_step(count=10), target_ms=20_000)
    plan_round(shard, 1.01)
    assert list_racks(drain_starts(shard)) == ["r1"] * 10
    assert shard.events["waited"] == 20


def test_tasks_that_wait_hold_back_no_others():
    """A step that waits by choice must not mark tasks like its own as without room."""
    shard = make_shard()
    occupy_rack(shard, 8)
    submit_job(shard, "1" * 16, make_local_step(count=4))
    submit_job(shard, "2" * 16, make_step(count=8, estimate_ms=RUN_MS), priority=2)
    plan_round(shard, 1.0)
    started = drain_starts(shard)
    assert {each.task.step.job.job for each in started} == {"2" * 16}
    assert list_racks(started) == ["r1"] * 8
    assert shard.events["waited"] == 4


def test_no_long_running_task_is_stopped_for_tasks_that_wait_by_choice():
    shard = make_shard(racks=(2, 2))
    occupy_rack(shard, 8)
    occupy_rack(shard, 8, rack="r1", lasting=True)
    submit_job(shard, "1" * 16, make_local_step(count=2))
    for now_s in (0.7, 1.0, 1.3):
        for worker in shard.workers.values():
            for attempt in worker.attempts.values():
                attempt.phase_since_s = min(attempt.phase_since_s, now_s - 0.5)
                if attempt.task.step.spec.lasting:
                    attempt.phase_since_s = -9.0
        plan_round(shard, now_s)
    commands = shard.drain_commands()
    assert not any(isinstance(command, StopCommand) for command in commands)
    assert shard.events["waited"] == 2


def test_a_waiting_task_found_running_does_not_count_as_one_without_room():
    """The step would seem to lack room for a negative number of tasks."""
    shard = make_shard()
    occupy_rack(shard, 8)
    job = submit_job(shard, "1" * 16, make_local_step())
    plan_round(shard, 1.0)
    (task,) = job.find_task(0, 0, 0).step.tasks
    worker = shard.workers["r1w0"]
    running = (RunningAttempt(task.name, 1, "", 10),)
    inventory = Inventory(clock_ms=2_000, incarnation=1, running=running)
    shard.observe(worker, inventory, 1.01, 1.02)
    assert task.attempt is not None
    assert task.step.count_without_room() == 0


def lose_workers(shard, change):
    for worker in shard.workers.values():
        if "r0" in worker.listed.labels:
            change(worker)


def test_a_wait_ends_at_once_when_the_rack_is_lost():
    """Tasks that wait for workers that are gone would wait to their bound."""

    def drain(worker):
        worker.listed = msgspec.structs.replace(worker.listed, draining=True)

    changes = (
        lambda worker: setattr(worker, "is_listed", False),
        lambda worker: setattr(worker, "silent", True),
        lambda worker: worker.orphans.update(other=1),
        drain,
    )
    for change in changes:
        shard = make_shard()
        occupy_rack(shard, 8)
        submit_job(shard, "1" * 16, make_local_step())
        plan_round(shard, 1.0)
        assert drain_starts(shard) == []
        lose_workers(shard, change)
        plan_round(shard, 1.05)
        assert list_racks(drain_starts(shard)) == ["r1"]


def test_a_wait_ends_at_once_when_the_workers_of_the_rack_are_suspended():
    shard = make_shard()
    occupy_rack(shard, 8)
    submit_job(shard, "1" * 16, make_local_step())
    plan_round(shard, 1.0)
    lose_workers(shard, lambda worker: shard.suspend(worker, 1.02))
    plan_round(shard, 1.05)
    assert list_racks(drain_starts(shard)) == ["r1"]


def test_a_wait_ends_at_once_when_the_workers_of_the_rack_are_cold():
    shard = make_shard()
    occupy_rack(shard, 8)
    submit_job(shard, "1" * 16, make_local_step())
    plan_round(shard, 1.0)
    assert drain_starts(shard) == []

    def make_cold(worker):
        listed = msgspec.structs.replace(worker.listed, cold_left_ms=5_000)
        worker.update_listing(listed, 1.04)

    lose_workers(shard, make_cold)
    plan_round(shard, 1.05)
    assert list_racks(drain_starts(shard)) == ["r1"]


def test_a_task_does_not_wait_for_an_unknown_rack():
    shard = make_shard()
    submit_job(shard, "1" * 16, make_local_step(rack="gone"))
    plan_round(shard, 1.0)
    assert len(drain_starts(shard)) == 1


def test_a_new_owner_counts_the_wait_from_the_acceptance_of_the_job():
    """A wait that started anew with each owner would never end."""
    for age_s, waits in ((0.2, 1), (2.5, 0)):
        shard = make_shard(token=2)
        occupy_rack(shard, 8)
        submit_job(shard, "1" * 16, make_local_step(), age_s=age_s)
        plan_round(shard, 1.0)
        assert (shard.events["waited"], len(drain_starts(shard))) == (waits, 1 - waits)


def test_a_new_owner_counts_from_the_end_of_the_step_before_if_it_saw_that():
    steps = (make_step(estimate_ms=RUN_MS), make_local_step(after=(0,)))
    recorded = ProgressRow(done={"0.0": "1"})
    for progress, waits in ((recorded, 0), (None, 1)):
        shard = make_shard(token=2)
        occupy_rack(shard, 8, run_ms=2_000)
        submit_job(shard, "1" * 16, *steps, age_s=2.5, progress=progress)
        if progress is None:
            plan_round(shard, 1.0)
            (attempt,) = drain_starts(shard)
            shard.note_started(attempt, 1.0)
            end_attempt(shard, attempt, 2.0)
        plan_round(shard, 2.5)
        assert shard.events["waited"] == waits


def test_a_retried_task_keeps_away_from_the_worker_it_avoids():
    shard = make_shard(racks=(1, 1))
    job = submit_job(shard, "1" * 16, make_local_step())
    job.find_task(0, 0, 0).avoided_worker = "r0w0"
    submit_job(shard, "2" * 16, make_local_step(), target_ms=20_000)
    plan_round(shard, 1.0)
    racks = {
        attempt.task.step.job.job: attempt.worker.listed.labels[0]
        for attempt in drain_starts(shard)
    }
    assert racks == {"1" * 16: "r1", "2" * 16: "r0"}


def test_labels_and_spreading_are_respected_near_and_far():
    shard = make_shard(racks=(2, 4))
    step = make_local_step(count=6, max_per_worker=1)
    submit_job(shard, "1" * 16, step, stretch=1.0, target_ms=0)
    plan_round(shard, 1.0)
    started = drain_starts(shard)
    assert len({each.worker.worker for each in started}) == len(started) == 6
    other = make_local_step(count=2, required_label="r1")
    submit_job(shard, "2" * 16, other, stretch=1.0, target_ms=0)
    plan_round(shard, 1.1)
    assert list_racks(drain_starts(shard)) == ["r1", "r1"]


def test_run_times_far_from_the_data_are_learnt_as_if_near():
    """Far runs would make all tasks of the queue look three times as long."""
    shard = make_shard(racks=(1, 4))
    lose_workers(shard, lambda worker: setattr(worker, "silent", True))
    submit_job(shard, "1" * 16, make_local_step(count=16))
    plan_round(shard, 1.0)
    started = drain_starts(shard)
    for attempt in started:
        shard.note_started(attempt, 1.0)
    for attempt in started:
        end_attempt(shard, attempt, 4.0)
    assert round(shard.run_times.estimate("q", 1.0), 3) == 1.0


def test_a_step_that_waits_is_not_driven_away_by_its_own_reservations():
    """A forecast is kept for several rounds, and must count each task once."""
    for step in (make_local_step(count=8), make_gang(8, data_rack="r0")):
        shard = make_shard(factor=2.0)
        occupy_rack(shard, 8)
        job = submit_job(shard, "1" * 16, step)
        for round_number in range(40):
            plan_round(shard, 1.0 + round_number / 100)
            assert drain_starts(shard) == []
            assert job.find_task(0, 0, 0).step.waits_by_choice == 8
        assert shard.events["waited"] == 8


def test_room_that_comes_free_early_is_not_expected_a_second_time():
    """A task would wait for an end that a kept forecast has yet to see."""
    shard = make_shard(factor=1.5)
    running = occupy_rack(shard, 8, run_ms=700)
    submit_job(shard, "1" * 16, make_local_step(cpu=3_000))
    plan_round(shard, 0.9)
    for attempt in running[:2]:
        assert attempt.worker is running[0].worker
        end_attempt(shard, attempt, 0.95)
    submit_job(shard, "2" * 16, make_local_step(count=4, cpu=3_000), target_ms=20_000)
    plan_round(shard, 0.95)
    assert list_racks(drain_starts(shard)) == ["r1", "r1"]
    assert shard.events["waited"] == 2


def make_gang(count, **fields):
    return make_step(count=count, gang=True, estimate_ms=RUN_MS, **fields)


def test_a_gang_waits_as_one_until_a_rack_has_room_for_all():
    shard = make_shard()
    first = occupy_rack(shard, 6, rack="r0")
    occupy_rack(shard, 7, rack="r1")
    submit_job(shard, "1" * 16, make_gang(3, same_rack=True))
    plan_round(shard, 1.0)
    assert drain_starts(shard) == []
    assert shard.events["waited"] == 3
    end_attempt(shard, first[0], 1.4)
    plan_round(shard, 1.4)
    assert list_racks(drain_starts(shard)) == ["r0"] * 3
    assert shard.events["started near"] == 3


def test_a_gang_that_waits_is_counted_once():
    """Counted in each round, it would drive away those that wait beside it."""
    shard = make_shard()
    occupy_rack(shard, 8)
    submit_job(shard, "1" * 16, make_gang(6, data_rack="r0"))
    for round_number in range(5):
        plan_round(shard, 1.0 + round_number / 100)
    late = make_local_step(count=4)
    submit_job(shard, "2" * 16, late, now_s=1.05, stretch=1.0, target_ms=700)
    plan_round(shard, 1.05)
    assert list_racks(drain_starts(shard)) == ["r1", "r1"]
    assert shard.events["waited"] == 8


def test_a_gang_is_spread_over_racks_where_no_rack_has_room_in_time():
    shard = make_shard()
    occupy_rack(shard, 6, rack="r0", lasting=True)
    occupy_rack(shard, 6, rack="r1", lasting=True)
    job = submit_job(shard, "1" * 16, make_gang(3, same_rack=True))
    plan_round(shard, 1.0)
    assert set(list_racks(drain_starts(shard))) == {"r0", "r1"}
    assert shard.events["started far"] == 3
    assert job.find_task(0, 0, 0).step.is_spread


def test_a_gang_prefers_the_rack_of_its_data_to_another_single_rack():
    shard = make_shard()
    running = occupy_rack(shard, 8)
    submit_job(shard, "1" * 16, make_gang(2, same_rack=True, data_rack="r0"))
    plan_round(shard, 1.0)
    assert drain_starts(shard) == []
    for attempt in running[:2]:
        end_attempt(shard, attempt, 1.4)
    plan_round(shard, 1.4)
    assert list_racks(drain_starts(shard)) == ["r0", "r0"]
    late = make_gang(2, same_rack=True, data_rack="r0")
    submit_job(shard, "2" * 16, late, now_s=1.4, stretch=1.0, target_ms=0)
    plan_round(shard, 1.5)
    assert list_racks(drain_starts(shard)) == ["r1", "r1"]


def test_each_decision_is_logged_once_a_step(lines):
    """Each round decides anew; a line for each would flood the log."""
    shard = make_shard(factor=2.0, racks=(2, 1))
    occupy_rack(shard, 8)
    submit_job(shard, "1" * 16, make_local_step(count=12))
    for round_number in range(8):
        plan_round(shard, 1.0 + round_number / 100)
    made = [each.extra for each in lines.records if each.message == "place decided"]
    assert [each["decision"] for each in made] == ["wait", "far"]
    assert made[0]["tasks"] == 8
    assert made[0]["expected_wait_s"] == 0.5
    assert (made[0]["near_s"], made[0]["far_s"]) == (1.0, 2.0)


def play_rounds(factor, seed):
    """Play rounds of random steps that have no wanted rack; return the starts."""
    random = Random(seed)
    shard = make_shard(factor, racks=(3, 3))
    starts = []
    for number in range(30):
        now_s = 1.0 + number / 10
        step = make_step(
            count=random.randrange(1, 9),
            cpu=random.randrange(300, 2_500),
            estimate_ms=random.randrange(300, 3_000),
            max_per_worker=random.choice((0, 0, 2)),
            required_label=random.choice(("", "", "r1")),
            gang=random.random() < 0.2,
            lasting=random.random() < 0.1,
            fills=random.random() < 0.2,
        )
        submit_job(shard, f"{number:016}", step, now_s=now_s)
        plan_round(shard, now_s)
        for attempt in drain_starts(shard):
            starts.append((number, attempt.task.name, attempt.worker.worker))
            shard.note_started(attempt, now_s)
        running = [
            attempt
            for worker in shard.workers.values()
            for attempt in worker.attempts.values()
            if not attempt.task.step.spec.lasting
        ]
        for attempt in random.sample(running, min(2, len(running))):
            end_attempt(shard, attempt, now_s + 0.05)
    return starts


def test_steps_without_a_wanted_rack_are_placed_as_without_the_factor():
    for seed in range(10):
        starts = play_rounds(1.0, seed)
        assert len(starts) > 20
        assert play_rounds(3.0, seed) == starts


def test_without_a_factor_no_task_waits_for_its_data():
    shard = make_shard(factor=1.0)
    occupy_rack(shard, 8)
    submit_job(shard, "1" * 16, make_local_step())
    plan_round(shard, 1.0)
    assert list_racks(drain_starts(shard)) == ["r1"]
    assert not shard.events["started far"]
