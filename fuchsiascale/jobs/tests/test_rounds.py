"""What a scheduling round starts, throttles and stops, and on which workers."""

from fuchsiascale.jobs import (
    EndedAttempt,
    EndKind,
    Inventory,
    JobRecord,
    JobSpec,
    ListedWorker,
    QueuePolicy,
    RefusedReason,
    Resources,
    RunningAttempt,
    Shard,
    StartCommand,
    StepSpec,
    StopCommand,
    observe_tail_latencies,
    plan_round,
)
from fuchsiascale.jobs._conclusions import confirm_owner
from fuchsiascale.testing import collect_functions

load_tests = collect_functions(__name__)

JOB = "5c0e7a21d94b36f8"


def make_shard(workers=2, cpu_millis=4_000, labels=()):
    shard = Shard("pool", 1, 6.0)
    shard.loaded = True
    for number in range(workers):
        listed = ListedWorker(
            worker=f"w{number}",
            service="pool",
            address=f"10.0.0.{number}:80",
            domain="a",
            capacity=Resources(cpu_millis=cpu_millis, memory_mb=8_000),
            labels=labels[number] if labels else (),
        )
        worker = shard.update_worker(listed, 0.0)
        worker.in_leased_workers = True
        shard.observe(worker, Inventory(clock_ms=1_000, incarnation=1), 0.0, 0.1)
    return shard


def submit_job(shard, *steps, job=JOB, priority=0, token=1):
    policy = QueuePolicy(
        queue="q", service="pool", priority=priority, max_attempts=9, stretch=2.0
    )
    record = JobRecord(
        job=job, spec=JobSpec(payload="", steps=steps), policy=policy, accepted_ms=0
    )
    return shard.add_job(record, token, 0.0, 0)


def make_step(count=1, cpu=1_000, **fields):
    return StepSpec(count=count, need=Resources(cpu_millis=cpu), **fields)


def drain_starts(shard):
    return [
        command.attempt
        for command in shard.drain_commands()
        if isinstance(command, StartCommand)
    ]


def test_no_worker_is_given_more_than_its_capacity():
    shard = make_shard(workers=2)
    submit_job(shard, make_step(count=12))
    plan_round(shard, 1.0)
    assert len(drain_starts(shard)) == 8
    assert all(worker.cpu_used == 4_000 for worker in shard.workers.values())


def test_a_step_waits_for_its_predecessors():
    shard = make_shard()
    submit_job(shard, make_step(), make_step(after=(0,)))
    plan_round(shard, 1.0)
    assert [attempt.task.step.number for attempt in drain_starts(shard)] == [0]


def test_the_queue_with_the_higher_priority_starts_first():
    shard = make_shard(workers=1)
    submit_job(shard, make_step(count=4), job="0" * 16, priority=2)
    submit_job(shard, make_step(count=4), job="1" * 16, priority=0)
    plan_round(shard, 1.0)
    assert {attempt.task.step.job.job for attempt in drain_starts(shard)} == {"1" * 16}


def test_a_job_that_can_meet_its_objective_starts_before_a_long_running_one():
    shard = make_shard(workers=1)
    submit_job(shard, make_step(count=4, lasting=True), job="0" * 16)
    submit_job(shard, make_step(count=4, estimate_ms=1_000), job="1" * 16)
    plan_round(shard, 0.5)
    assert {attempt.task.step.job.job for attempt in drain_starts(shard)} == {"1" * 16}


def test_a_job_that_is_already_late_starts_after_a_long_running_one():
    shard = make_shard(workers=1)
    submit_job(shard, make_step(count=4, lasting=True), job="0" * 16)
    submit_job(shard, make_step(count=4, estimate_ms=1_000), job="1" * 16)
    plan_round(shard, 1.5)
    assert {attempt.task.step.job.job for attempt in drain_starts(shard)} == {"0" * 16}


def test_a_wide_job_that_can_still_be_in_time_does_not_count_as_late():
    """A step takes as long as its longest task; by the mean the job seems late."""
    shard = make_shard(workers=1)
    wide = make_step(count=39, estimate_ms=2_700)
    submit_job(shard, wide, job="0" * 16, priority=2)
    submit_job(shard, make_step(count=4, estimate_ms=9_000), job="1" * 16, priority=2)
    plan_round(shard, 4.0)
    assert {attempt.task.step.job.job for attempt in drain_starts(shard)} == {"0" * 16}


def test_a_step_respects_its_limit_of_tasks_per_worker():
    shard = make_shard(workers=2)
    submit_job(shard, make_step(count=6, max_per_worker=1))
    plan_round(shard, 1.0)
    assert sorted(each.worker.worker for each in drain_starts(shard)) == ["w0", "w1"]


def test_a_required_label_is_respected():
    shard = make_shard(workers=2, labels=(("a",), ("b",)))
    submit_job(shard, make_step(count=8, required_label="b"))
    plan_round(shard, 1.0)
    assert {each.worker.worker for each in drain_starts(shard)} == {"w1"}


def test_a_draining_worker_gets_no_starts_and_stops_movable_tasks():
    shard = make_shard(workers=1)
    submit_job(shard, make_step(lasting=True))
    plan_round(shard, 1.0)
    (attempt,) = drain_starts(shard)
    shard.note_started(attempt, 1.1)
    worker = attempt.worker
    worker.listed = ListedWorker(
        **{
            name: getattr(worker.listed, name)
            for name in worker.listed.__struct_fields__
        }
        | {"draining": True}
    )
    submit_job(shard, make_step(), job="1" * 16)
    plan_round(shard, 2.0)
    assert shard.drain_commands() == [StopCommand(worker, attempt.task.name, 1)]


def test_no_inherited_job_starts_while_an_unconfirmed_worker_may_run_it():
    shard = make_shard()
    shard.unconfirmed_workers["w9"] = 9.0
    submit_job(shard, make_step(), token=0)
    submit_job(shard, make_step(), job="1" * 16, token=1)
    plan_round(shard, 1.0)
    assert [attempt.task.step.job.job for attempt in drain_starts(shard)] == ["1" * 16]
    confirm_owner(shard, 9.1)
    plan_round(shard, 9.2)
    assert JOB in {attempt.task.step.job.job for attempt in drain_starts(shard)}


def test_a_gang_starts_completely_or_not_at_all():
    shard = make_shard(workers=2)
    submit_job(shard, make_step(count=9, gang=True))
    plan_round(shard, 1.0)
    assert drain_starts(shard) == []
    assert all(worker.cpu_used == 0 for worker in shard.workers.values())
    submit_job(shard, make_step(count=8, gang=True), job="1" * 16)
    plan_round(shard, 1.1)
    started = drain_starts(shard)
    assert len(started) == 8
    assert {attempt.number for attempt in started} == {1}


def test_a_gang_that_lacks_a_member_is_stopped_and_starts_again_together():
    shard = make_shard(workers=2)
    job = submit_job(shard, make_step(count=2, gang=True))
    plan_round(shard, 1.0)
    first, second = drain_starts(shard)
    shard.note_start_refused(first, RefusedReason.NO_ROOM, 1.1)
    shard.note_started(second, 1.2)
    assert shard.drain_commands() == [StopCommand(second.worker, second.task.name, 1)]
    plan_round(shard, 3.0)
    assert drain_starts(shard) == []
    ended = (EndedAttempt(1, second.task.name, 1, EndKind.STOPPED),)
    shard.observe(
        second.worker, Inventory(clock_ms=4_000, incarnation=1, ended=ended), 4.0, 4.0
    )
    plan_round(shard, 4.1)
    assert {attempt.number for attempt in drain_starts(shard)} == {2}
    assert not job.state.final


def test_the_end_of_one_gang_member_completes_the_gang():
    shard = make_shard(workers=2)
    job = submit_job(shard, make_step(count=2, gang=True))
    plan_round(shard, 1.0)
    first, _ = drain_starts(shard)
    ended = (EndedAttempt(1, first.task.name, 1, EndKind.DONE),)
    shard.observe(
        first.worker, Inventory(clock_ms=2_000, incarnation=1, ended=ended), 2.0, 2.0
    )
    assert job.is_complete()


def test_a_worker_on_which_two_jobs_fail_is_suspended():
    shard = make_shard(workers=1)
    worker = shard.workers["w0"]
    for number, job in enumerate(("1" * 16, "2" * 16), 1):
        submit_job(shard, make_step(), job=job)
        plan_round(shard, 1.0)
        (attempt,) = drain_starts(shard)
        ended = (EndedAttempt(number, attempt.task.name, 1, EndKind.FAILED),)
        inventory = Inventory(clock_ms=1_000 + number, incarnation=1, ended=ended)
        assert worker.is_usable(1.0)
        shard.observe(worker, inventory, 1.0, 1.0)
        shard.cancel_job(job, 1.0)
    assert not worker.is_usable(2.9)
    assert worker.is_usable(3.1)


def test_an_attempt_without_progress_is_stopped():
    shard = make_shard(workers=1)
    submit_job(shard, make_step())
    plan_round(shard, 1.0)
    (attempt,) = drain_starts(shard)
    worker = attempt.worker
    for second in range(2, 5):
        running = (RunningAttempt(attempt.task.name, 1, "", 10),)
        shard.observe(
            worker,
            Inventory(clock_ms=second * 1_000, incarnation=1, running=running),
            second,
            second,
        )
        plan_round(shard, second)
    assert shard.drain_commands() == []
    plan_round(shard, 4.6)
    assert shard.drain_commands() == [StopCommand(worker, attempt.task.name, 1)]


def observe_pair(shard, image, lost, share, headroom):
    """Observe tasks of the serving job with and without a filler image beside them."""
    for _ in range(20):
        shard.interference.observe("web", JOB, headroom - lost, {image: share}, 1.2)
        shard.interference.observe("web", JOB, headroom, {}, 1.2)


def test_attempts_that_stall_together_suspend_their_worker_once():
    shard = make_shard(workers=1)
    submit_job(shard, make_step(count=4))
    plan_round(shard, 1.0)
    for attempt in drain_starts(shard):
        shard.note_started(attempt, 1.0)
    plan_round(shard, 3.6)
    worker = shard.workers["w0"]
    assert len(shard.drain_commands()) == 4
    assert worker.suspensions == 1
    assert worker.blocked_until_s < 6.0


def test_a_filler_is_throttled_beside_a_serving_task_it_harms():
    shard = make_shard(workers=1, cpu_millis=16_000)
    worker = shard.workers["w0"]
    submit_job(
        shard, make_step(cpu=4_000, lasting=True, image="web", tail_target_ms=100)
    )
    submit_job(
        shard, make_step(cpu=4_000, fills=True, image="scan"), job="1" * 16, priority=2
    )
    shard.interference.observe("web", JOB, 3.0, {}, 0.9)
    plan_round(shard, 1.0)
    serving, filler = drain_starts(shard)
    shard.note_started(serving, 1.1)
    shard.note_started(filler, 1.1)
    observe_pair(shard, "scan", lost=1.0, share=0.25, headroom=1.5)
    worker.next_pace_s = 0.0
    plan_round(shard, 1.3)
    assert filler.target_pace < 50


def test_a_filler_is_throttled_in_the_round_after_its_start():
    shard, serving, _ = start_beside_serving("heavy")
    observe_pair(shard, "heavy", lost=1.0, share=0.1, headroom=2.5)
    plan_round(shard, 1.3)
    submit_job(
        shard, make_step(cpu=8_000, fills=True, image="heavy"), job="9" * 16, priority=2
    )
    attempt = shard.start_task(
        shard.jobs["9" * 16].find_ready_steps()[0].tasks[0], serving.worker, 1.31
    )
    shard.note_started(attempt, 1.32)
    plan_round(shard, 1.33)
    assert attempt.target_pace < 100


def test_a_filler_that_harms_every_worker_does_not_starve():
    shard, serving, _ = start_beside_serving("heavy")
    observe_pair(shard, "heavy", lost=1.4, share=0.1, headroom=1.7)
    for attempt in list(serving.worker.attempts.values()):
        if attempt.task.step.spec.fills:
            serving.worker.release(attempt)
    submit_job(
        shard, make_step(count=5, fills=True, image="heavy"), job="9" * 16, priority=2
    )
    started = []
    for now_s in (2.0, 2.4, 2.7, 2.9, 3.0):
        plan_round(shard, now_s)
        started += [
            (now_s, attempt.task.index)
            for attempt in drain_starts(shard)
            if attempt.task.step.job.job == "9" * 16
        ]
    assert started == [(2.9, 0)]
    (attempt,) = (
        each for each in serving.worker.attempts.values() if each.task.step.spec.fills
    )
    shard.note_started(attempt, 3.1)
    plan_round(shard, 3.4)
    assert attempt.target_pace < 50


def test_a_serving_image_joins_an_image_harmed_by_the_same_fillers():
    shard = make_shard(workers=2, cpu_millis=8_000)
    for number, image in enumerate(("alike", "other")):
        submit_job(
            shard,
            make_step(cpu=4_000, lasting=True, image=image, tail_target_ms=100),
            job=f"{number}" * 16,
        )
    plan_round(shard, 1.0)
    workers_by_image = {
        each.task.step.spec.image: each.worker for each in drain_starts(shard)
    }
    for image, lost in (("alike", 1.0), ("other", 0.0), ("new", 1.0)):
        for _ in range(20):
            shard.interference.observe(image, image, 3.0 - lost, {"scan": 0.1}, 1.2)
            shard.interference.observe(image, image, 3.0, {}, 1.2)
    submit_job(
        shard,
        make_step(cpu=4_000, lasting=True, image="new", tail_target_ms=100),
        job="9" * 16,
    )
    plan_round(shard, 1.3)
    (attempt,) = drain_starts(shard)
    assert attempt.worker is workers_by_image["alike"]


def start_beside_serving(*images):
    """Start a serving task on a worker, and fillers of the given images beside it."""
    shard = make_shard(workers=1, cpu_millis=32_000)
    submit_job(
        shard, make_step(cpu=2_000, lasting=True, image="web", tail_target_ms=100)
    )
    plan_round(shard, 1.0)
    (serving,) = drain_starts(shard)
    shard.note_started(serving, 1.1)
    shard.interference.observe("web", JOB, 3.0, {}, 1.1)
    fillers = []
    for number, image in enumerate(images):
        submit_job(
            shard, make_step(fills=True, image=image), job=f"{number}" * 16, priority=2
        )
        plan_round(shard, 1.2)
        for attempt in drain_starts(shard):
            shard.note_started(attempt, 1.2)
            fillers.append(attempt)
    return shard, serving, fillers


def test_a_missed_target_halts_suspect_fillers_first_and_all_fillers_later():
    shard, serving, (known,) = start_beside_serving("light")
    observe_pair(shard, "light", lost=0.0, share=0.1, headroom=3.0)
    submit_job(shard, make_step(fills=True, image="new"), job="9" * 16, priority=2)
    plan_round(shard, 1.4)
    (unknown,) = drain_starts(shard)
    shard.note_started(unknown, 1.4)
    serving.figure = 150
    plan_round(shard, 2.0)
    plan_round(shard, 2.4)
    assert (known.target_pace, unknown.target_pace) == (100, 0)
    plan_round(shard, 3.3)
    assert known.target_pace == 0


def test_interference_is_estimated_though_all_tasks_of_the_job_are_disturbed():
    shard, serving, (filler,) = start_beside_serving("heavy")
    filler.figure, serving.percent, serving.figure = 8_000, 100, 1_000
    for second in range(20):
        observe_tail_latencies(shard, serving.worker, 2.0 + second)
    assert shard.interference.slope("web", "heavy") > 3.0


def test_fillers_are_halted_where_a_single_task_keeps_missing_its_target():
    shard = make_shard(workers=1, cpu_millis=32_000)
    submit_job(
        shard,
        make_step(count=2, cpu=2_000, lasting=True, image="web", tail_target_ms=100),
    )
    submit_job(shard, make_step(fills=True, image="light"), job="1" * 16, priority=2)
    shard.interference.observe("web", JOB, 3.0, {}, 0.9)
    plan_round(shard, 1.0)
    slow, quick, filler = drain_starts(shard)
    for attempt in (slow, quick, filler):
        shard.note_started(attempt, 1.1)
    observe_pair(shard, "light", lost=0.0, share=0.1, headroom=3.0)
    slow.figure, quick.figure = 300, 30
    for now_s in (2.0, 2.5, 3.0):
        plan_round(shard, now_s)
        assert filler.target_pace == 100
    plan_round(shard, 3.5)
    assert filler.target_pace == 0


MAX_RESTART_WAIT_S = 6.0
"""Longest time that the users allow a long-running task to wait to run again."""


def end_attempt(shard, worker, attempt, number, now_s):
    """Report an attempt of a worker as done, and its other attempts as running."""
    running = tuple(
        RunningAttempt(task=each.task.name, attempt=each.number, percent=number)
        for each in worker.attempts.values()
        if each is not attempt
    )
    ended = EndedAttempt(number, attempt.task.name, attempt.number, EndKind.DONE)
    inventory = Inventory(
        clock_ms=1_000 + int(now_s * 1000),
        incarnation=1,
        running=running,
        ended=(ended,),
    )
    shard.observe(worker, inventory, now_s - 0.01, now_s)


def test_a_long_running_task_does_not_starve_beside_a_stream_of_small_tasks():
    shard = make_shard(workers=2)
    for number in range(8):
        submit_job(shard, make_step(estimate_ms=60_000), job=f"{number:016}")
    plan_round(shard, 0.2)
    submit_job(shard, make_step(cpu=3_000, lasting=True), job="f" * 16)
    began_s, now_s, number = 0.3, 0.3, 100
    while now_s - began_s < MAX_RESTART_WAIT_S:
        plan_round(shard, now_s)
        if any(each.task.step.spec.lasting for each in drain_starts(shard)):
            return
        worker = list(shard.workers.values())[number % 2]
        small = next(iter(worker.attempts.values()), None)
        if small is not None:
            end_attempt(shard, worker, small, number, now_s)
        number += 1
        submit_job(shard, make_step(estimate_ms=60_000), job=f"{number:016}")
        now_s += 0.2
    raise AssertionError("the long-running task was not started")


def test_a_worker_is_reserved_only_for_a_task_that_could_fit():
    shard = make_shard(workers=1)
    submit_job(shard, make_step(cpu=9_000, lasting=True), job="f" * 16)
    plan_round(shard, 0.2)
    submit_job(shard, make_step(estimate_ms=60_000), job="0" * 16)
    plan_round(shard, 5.0)
    assert [attempt.task.step.job.job for attempt in drain_starts(shard)] == ["0" * 16]


def test_a_task_that_advances_slowly_is_not_stopped_again_and_again():
    """One without checkpoints that took 2.5 s a percent would never have ended."""
    shard = make_shard(workers=1)
    job = submit_job(shard, make_step())
    task = job.find_task(0, 0, 0)
    worker = shard.workers["w0"]
    now_s, stops = 1.0, 0
    for number in range(1, 5):
        worker.blocked_until_s = 0.0
        plan_round(shard, now_s)
        shard.note_started(task.attempt, now_s)
        shard.drain_commands()
        started_s = now_s
        while now_s - started_s < 8.0 and not shard.commands:
            now_s += 0.25
            percent = int((now_s - started_s) / 4.0)
            running = (RunningAttempt(task.name, number, "", percent),)
            inventory = Inventory(
                clock_ms=int(now_s * 1000) + 1_000, incarnation=1, running=running
            )
            shard.observe(worker, inventory, now_s, now_s)
            plan_round(shard, now_s)
        if not shard.drain_commands():
            break
        stops += 1
        end = EndedAttempt(number, task.name, number, EndKind.STOPPED)
        inventory = Inventory(
            clock_ms=int(now_s * 1000) + 1_100, incarnation=1, ended=(end,)
        )
        shard.observe(worker, inventory, now_s, now_s)
    assert stops == 1
    assert task.attempt.number == 2
