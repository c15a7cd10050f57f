"""Rules by which an owner's shard tracks what runs, has ended or is in doubt."""

import msgspec

from fuchsiascale.jobs import (
    AttemptPhase,
    EndedAttempt,
    EndKind,
    Inventory,
    JobRecord,
    JobSpec,
    JobState,
    ListedWorker,
    ProgressRow,
    QueuePolicy,
    RefusedReason,
    Resources,
    RunningAttempt,
    Shard,
    StartCommand,
    StepSpec,
    StopCommand,
)
from fuchsiascale.jobs._conclusions import confirm_owner
from fuchsiascale.jobs._recorded_ends import note_recorded, snapshot_ends
from fuchsiascale.testing import collect_functions, fixture

load_tests = collect_functions(__name__)

JOB = "5c0e7a21d94b36f8"
FIRST = f"{JOB}.0.0.0"


def make_record(*steps, max_attempts=2, **fields):
    policy = QueuePolicy(queue="q", service="pool", max_attempts=max_attempts)
    spec = JobSpec(payload="p", steps=steps or (StepSpec(count=1),), **fields)
    return JobRecord(job=JOB, spec=spec, policy=policy, accepted_ms=0)


def make_worker(name="w1"):
    return ListedWorker(
        worker=name,
        service="pool",
        address="10.0.0.1:80",
        domain="a",
        capacity=Resources(cpu_millis=4_000, memory_mb=8_000),
        labels=(),
    )


def make_inventory(clock_ms=1_000, incarnation=1, running=(), ended=()):
    return Inventory(
        clock_ms=clock_ms, incarnation=incarnation, running=running, ended=ended
    )


@fixture
def shard():
    made = Shard("pool", 1, 6.0)
    made.loaded = True
    worker = made.update_worker(make_worker(), 0.0)
    made.observe(worker, make_inventory(), 0.0, 0.1)
    yield made


def start_first_task(shard, record=None, now_s=1.0):
    job = shard.add_job(record or make_record(), 1, now_s, 0)
    worker = shard.workers["w1"]
    task = job.find_task(0, 0, 0)
    attempt = shard.start_task(task, worker, now_s)
    shard.drain_commands()
    return worker, attempt


def make_end(number, attempt, how, task=FIRST, saved=""):
    return EndedAttempt(number, task, attempt, how, saved)


def test_a_job_is_completed_once_all_its_steps_have_ended(shard):
    record = make_record(StepSpec(count=1), StepSpec(count=1, after=(0,)))
    worker, attempt = start_first_task(shard, record)
    shard.note_started(attempt, 1.1)
    shard.observe(
        worker, make_inventory(2_000, ended=(make_end(1, 1, EndKind.DONE),)), 2, 2
    )
    job = shard.jobs[JOB]
    assert [step.number for step in job.find_ready_steps()] == [1]
    shard.start_task(job.find_task(0, 1, 0), worker, 2.0)
    second = make_end(2, 1, EndKind.DONE, task=f"{JOB}.0.1.0")
    shard.observe(worker, make_inventory(3_000, ended=(second,)), 3.0, 3.0)
    assert job.state is JobState.COMPLETED


def test_a_final_state_is_reported_only_once_it_is_recorded(shard):
    worker, attempt = start_first_task(shard)
    shard.note_started(attempt, 1.1)
    shard.observe(
        worker, make_inventory(2_000, ended=(make_end(1, 1, EndKind.DONE),)), 2, 2
    )
    assert shard.get_state(JOB) is JobState.RUNNING
    shard.note_finished(JOB, JobState.COMPLETED, 2.1)
    assert shard.get_state(JOB) is JobState.COMPLETED


def test_an_end_is_acknowledged_only_once_it_is_recorded(shard):
    worker, attempt = start_first_task(shard)
    shard.note_started(attempt, 1.1)
    shard.observe(
        worker, make_inventory(2_000, ended=(make_end(1, 1, EndKind.DONE),)), 2, 2
    )
    snapshot = snapshot_ends(shard)
    assert worker.last_recorded_end == 0
    note_recorded(shard, snapshot)
    assert worker.last_recorded_end == 1


def test_a_record_does_not_acknowledge_ends_of_a_later_incarnation(shard):
    worker, _attempt = start_first_task(shard)
    shard.observe(
        worker, make_inventory(2_000, ended=(make_end(3, 1, EndKind.DONE),)), 2, 2
    )
    snapshot = snapshot_ends(shard)
    shard.observe(worker, make_inventory(10, incarnation=2), 3.0, 3.0)
    note_recorded(shard, snapshot)
    assert worker.last_recorded_end == 0


def test_a_start_without_an_answer_is_stopped_before_the_task_waits_again(shard):
    worker, attempt = start_first_task(shard)
    shard.note_start_unanswered(attempt, 2.0)
    shard.observe(worker, make_inventory(3_000), 3.0, 3.0)
    assert shard.drain_commands() == [StopCommand(worker, FIRST, 1)]
    assert attempt.task.attempt is attempt
    shard.note_stop_answered(worker, FIRST, 1, 3.1)
    shard.observe(worker, make_inventory(4_000), 3.05, 4.0)
    assert attempt.task.attempt is attempt, "the exchange was sent before the answer"
    shard.observe(worker, make_inventory(5_000), 4.5, 4.6)
    assert attempt.task.waiting
    assert attempt.task.next_number == 2


def test_a_start_without_an_answer_that_runs_is_kept(shard):
    worker, attempt = start_first_task(shard)
    shard.note_start_unanswered(attempt, 2.0)
    running = (RunningAttempt(FIRST, 1, "c", 50),)
    shard.observe(worker, make_inventory(3_000, running=running), 3.0, 3.0)
    assert attempt.phase is AttemptPhase.RUNNING
    assert shard.drain_commands() == []


def test_attempts_in_doubt_or_being_stopped_still_use_capacity(shard):
    record = make_record(StepSpec(count=1, need=Resources(cpu_millis=4_000)))
    worker, attempt = start_first_task(shard, record)
    spec = StepSpec(count=1, need=Resources(cpu_millis=1))
    shard.note_start_unanswered(attempt, 2.0)
    assert not worker.fits(spec)
    shard.stop_attempt(attempt, 2.0)
    assert not worker.fits(spec)


def test_an_attempt_is_lost_only_after_the_longest_time_its_lease_may_last(shard):
    worker, attempt = start_first_task(shard)
    shard.note_started(attempt, 1.1)
    assert shard.grant_lease(worker, 0.1) == 7_000
    # 6 s on the worker's clock, which was read at 0.1 s and may be 2 % slow
    confirm_owner(shard, 0.1 + 6.0 / 0.98)
    assert not attempt.task.waiting
    confirm_owner(shard, 0.1 + 6.0 / 0.98 + 0.3)
    assert attempt.task.waiting


def test_a_silent_worker_is_granted_no_lease_and_loses_its_attempts(shard):
    worker, attempt = start_first_task(shard)
    shard.note_started(attempt, 1.1)
    shard.grant_lease(worker, 1.1)
    shard.note_silence(worker, 1.2)
    assert not worker.is_usable(1.2)
    for second in range(2, 10):
        assert shard.grant_lease(worker, second) is None
        confirm_owner(shard, second)
    assert attempt.task.waiting
    shard.observe(worker, make_inventory(9_000), 9.0, 9.1)
    assert shard.grant_lease(worker, 9.1) == 15_000


def test_a_restarted_worker_loses_its_earlier_attempts(shard):
    worker, attempt = start_first_task(shard)
    shard.note_started(attempt, 1.1)
    shard.observe(worker, make_inventory(10, incarnation=2), 2.0, 2.0)
    assert attempt.task.waiting
    assert worker.cpu_used == 0


def test_a_failed_end_counts_once_however_often_it_is_seen():
    shard = Shard("pool", 2, 6.0)
    shard.loaded = True
    worker = shard.update_worker(make_worker(), 0.0)
    job = shard.add_job(make_record(), 1, 0.0, 0, ProgressRow(failed={"0.0.0": [1]}))
    ended = (make_end(1, 1, EndKind.FAILED),)
    shard.observe(worker, make_inventory(ended=ended), 1.0, 1.0)
    assert job.state is JobState.QUEUED
    assert job.find_task(0, 0, 0).failed == {1}


def test_failures_under_an_earlier_owner_count():
    shard = Shard("pool", 2, 6.0)
    shard.loaded = True
    worker = shard.update_worker(make_worker(), 0.0)
    job = shard.add_job(make_record(), 1, 0.0, 0, ProgressRow(failed={"0.0.0": [1]}))
    shard.observe(
        worker, make_inventory(ended=(make_end(1, 2, EndKind.FAILED),)), 1.0, 1.0
    )
    assert job.state is JobState.FAILED


def test_a_new_owner_adopts_running_attempts():
    shard = Shard("pool", 2, 6.0)
    shard.loaded = True
    worker = shard.update_worker(make_worker(), 0.0)
    job = shard.add_job(make_record(), 1, 0.0, 0)
    running = (RunningAttempt(FIRST, 1, "c7", 50),)
    shard.observe(worker, make_inventory(running=running), 1.0, 1.0)
    attempt = job.find_task(0, 0, 0).attempt
    assert (attempt.number, attempt.checkpoint) == (1, "c7")
    assert shard.drain_commands() == []


def test_a_new_owner_assumes_the_longest_lease_until_it_has_granted_its_own():
    shard = Shard("pool", 2, 6.0)
    shard.loaded = True
    worker = shard.update_worker(make_worker(), 0.0)
    job = shard.add_job(make_record(), 1, 0.0, 0)
    running = (RunningAttempt(FIRST, 1),)
    shard.observe(worker, make_inventory(1_000, running=running), 0.9, 1.0)
    confirm_owner(shard, 1.0 + 6.0)
    assert not job.find_task(0, 0, 0).waiting
    confirm_owner(shard, 1.0 + 6.0 / 0.98 + 0.3)
    assert job.find_task(0, 0, 0).waiting


def test_a_new_owner_uses_separate_attempt_numbers_for_inherited_jobs():
    shard = Shard("pool", 3, 6.0)
    inherited = shard.add_job(make_record(), 2, 0.0, 0)
    fresh = msgspec.structs.replace(make_record(), job="0000000000000000")
    assert inherited.find_task(0, 0, 0).next_number == 2_001
    assert shard.add_job(fresh, 3, 0.0, 0).find_task(0, 0, 0).next_number == 1


def test_an_unknown_attempt_is_stopped(shard):
    worker = shard.workers["w1"]
    running = (RunningAttempt("0000000000000000.0.0.0", 4),)
    shard.observe(worker, make_inventory(2_000, running=running), 2.0, 2.0)
    assert shard.drain_commands() == [StopCommand(worker, "0000000000000000.0.0.0", 4)]


def test_a_cancelled_job_stops_its_running_attempts(shard):
    worker, attempt = start_first_task(shard)
    shard.note_started(attempt, 1.1)
    shard.cancel_job(JOB, 2.0)
    assert shard.drain_commands() == [StopCommand(worker, FIRST, 1)]
    assert shard.jobs[JOB].state is JobState.CANCELLED


def test_a_start_in_flight_is_stopped_when_its_job_is_cancelled(shard):
    worker, attempt = start_first_task(shard)
    shard.cancel_job(JOB, 1.05)
    assert shard.drain_commands() == []
    shard.note_started(attempt, 1.1)
    assert shard.drain_commands() == [StopCommand(worker, FIRST, 1)]


def test_a_cancellation_that_arrives_before_its_job_is_kept(shard):
    shard.cancel_job(JOB, 1.0)
    job = shard.add_job(make_record(), 1, 1.1, 0)
    assert job.state is JobState.CANCELLED


def test_a_long_running_task_waits_again_however_it_ends(shard):
    record = make_record(StepSpec(count=1, lasting=True), max_attempts=1)
    worker, attempt = start_first_task(shard, record)
    shard.note_started(attempt, 1.1)
    ends = (make_end(1, 1, EndKind.FAILED),)
    shard.observe(worker, make_inventory(2_000, ended=ends), 2.0, 2.0)
    assert shard.jobs[JOB].state is JobState.RUNNING
    assert attempt.task.waiting


def test_a_refused_start_frees_its_resources_and_pauses_the_worker(shard):
    worker, attempt = start_first_task(shard)
    shard.note_start_refused(attempt, RefusedReason.NO_ROOM, 1.2)
    assert attempt.task.waiting
    assert worker.cpu_used == 0
    assert not worker.is_usable(1.3)


def test_a_stopped_attempt_resumes_from_its_checkpoint(shard):
    worker, attempt = start_first_task(shard)
    shard.note_started(attempt, 1.1)
    shard.stop_attempt(attempt, 1.5)
    ends = (make_end(1, 1, EndKind.STOPPED, saved="c9"),)
    shard.observe(worker, make_inventory(2_000, ended=ends), 2.0, 2.0)
    assert attempt.task.waiting
    shard.drain_commands()
    again = shard.start_task(attempt.task, worker, 2.1)
    assert (again.number, again.checkpoint) == (2, "c9")
    assert shard.drain_commands() == [StartCommand(again)]


def test_progress_survives_a_change_of_owner(shard):
    record = make_record(StepSpec(count=3))
    worker, attempt = start_first_task(shard, record)
    shard.note_started(attempt, 1.1)
    shard.observe(
        worker, make_inventory(2_000, ended=(make_end(1, 1, EndKind.DONE),)), 2, 2
    )
    progress = shard.jobs[JOB].export_progress()
    successor = Shard("pool", 2, 6.0)
    job = successor.add_job(record, 1, 5.0, 0, progress)
    assert [task.done for task in job.occurrences[0][0].tasks] == [True, False, False]


def test_only_due_occurrences_are_open(shard):
    record = make_record(occurrences=3, first_run_ms=1_000, interval_ms=500)
    job = shard.add_job(record, 1, 0.0, 900)
    assert sorted(job.occurrences) == []
    job.open_due_occurrences(0.0, 1_500)
    assert sorted(job.occurrences) == [0, 1]


def test_an_attempt_whose_end_has_no_room_in_the_inventory_is_not_lost(shard):
    # While ends can't be recorded, a worker lists the same first 500 again and again.
    worker, attempt = start_first_task(shard)
    shard.note_started(attempt, 1.1)
    for second in range(2, 12):
        crowded = msgspec.structs.replace(
            make_inventory(1_000 * second), lists_all_ends=False
        )
        shard.observe(worker, crowded, second, second + 0.1)
        shard.grant_lease(worker, second + 0.1)
        assert shard.drain_commands() == []
        assert not attempt.task.waiting
    end = make_end(501, 1, EndKind.DONE)
    shard.observe(worker, make_inventory(12_000, ended=(end,)), 12.0, 12.1)
    assert shard.jobs[JOB].state is JobState.COMPLETED


def test_a_worker_with_more_ends_than_it_lists_is_not_confirmed():
    # A task of the earlier owner may have ended there.
    shard = Shard("pool", 2, 6.0)
    shard.loaded = True
    worker = shard.update_worker(make_worker(), 0.0)
    shard.unconfirmed_workers["w1"] = 9.0
    crowded = msgspec.structs.replace(make_inventory(1_000), lists_all_ends=False)
    shard.observe(worker, crowded, 8.0, 8.1)
    confirm_owner(shard, 9.5)
    assert not shard.all_workers_confirmed()
    shard.observe(worker, make_inventory(3_000), 10.0, 10.1)
    assert not shard.all_workers_confirmed()
    confirm_owner(shard, 10.2)
    assert shard.all_workers_confirmed()
    shard.unconfirmed_workers["w1"] = 9.0
    shard.observe(worker, crowded, 11.0, 11.1)
    confirm_owner(shard, 20.0)
    assert shard.all_workers_confirmed()
