"""What an owner reports of the load of its workers."""

from fuchsiascale.jobs import JobState, SlowedBy, plan_round
from fuchsiascale.jobs._load_report import report_load
from fuchsiascale.jobs.tests.test_rounds import (
    make_shard,
    make_step,
    start_beside_serving,
    submit_job,
)
from fuchsiascale.testing import collect_functions

load_tests = collect_functions(__name__)


def test_running_and_waiting_tasks_are_counted_by_kind():
    shard = make_shard(workers=2)
    submit_job(shard, make_step(count=3, lasting=True), job="1" * 16)
    submit_job(shard, make_step(count=2), job="2" * 16)
    submit_job(shard, make_step(cpu=500, fills=True, image="scan"), job="3" * 16)
    submit_job(shard, make_step(cpu=9_000), make_step(after=(0,)), job="4" * 16)
    plan_round(shard, 1.0)
    report = report_load(shard, 1.0)
    assert (report.lasting.running, report.lasting.waiting) == (3, 0)
    assert (report.urgent.running, report.urgent.waiting) == (2, 1)
    assert (report.urgent.started_jobs, report.urgent.idle_jobs) == (1, 1)
    assert report.fillers.running == 1
    assert (report.reserved_cores, report.usable_cores) == (5.0, 8.0)
    assert report.filler_cores == 0.5
    # Long-running tasks are expected to use half of what they reserve.
    assert report.leftover_cores == 4.5


def test_processors_withheld_from_fillers_are_reported_by_cause():
    """A halt by a missed target and one by prediction have different remedies."""
    shard, serving, fillers = start_beside_serving("light", "heavy")
    serving.figure = 150
    for now_s in (2.0, 3.0, 3.5):
        plan_round(shard, now_s)
    report = report_load(shard, 3.5)
    assert report.slowed_cores == {SlowedBy.WORKER_OVER_TARGET.value: 2.0}
    fillers[0].slowed_by = SlowedBy.PREDICTION
    assert report_load(shard, 3.5).slowed_cores == {
        SlowedBy.WORKER_OVER_TARGET.value: 1.0,
        SlowedBy.PREDICTION.value: 1.0,
    }


def test_a_final_state_that_waits_for_its_record_is_reported():
    """Callers of an owner that falls behind learn late that their jobs have ended."""
    shard = make_shard()
    job = submit_job(shard, make_step())
    assert report_load(shard, 1.0).oldest_unrecorded_end_s == 0.0
    shard.finish_job(job, JobState.COMPLETED, 1.0)
    assert report_load(shard, 3.5).oldest_unrecorded_end_s == 2.5
    shard.note_finished(job.job, JobState.COMPLETED, 3.5)
    assert report_load(shard, 3.5).oldest_unrecorded_end_s == 0.0
