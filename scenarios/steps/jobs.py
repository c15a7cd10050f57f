"""Steps that submit jobs and follow their tasks in the workers' journals."""

import msgspec
from behave import then, when

from fuchsiascale.coordination import JobSpec
from fuchsiascale.ids import JobId, JobKindId, TeamId
from fuchsiascale.platform import Resources
from fuchsiascale.states import AttemptState, Urgency
from standins._journal import Event
from standins.callers import call_json
from standins.checker import find_runs
from standins.clients import read_job, submit_job

TEAM = TeamId("shop")
KIND = JobKindId("report")
DEMAND = Resources(millicores=1_000, memory_mb=100)


def make_spec(job, tasks, run_ms, **fields):
    """Return a job of equal tasks."""
    return JobSpec(
        job=JobId(job),
        team=TEAM,
        kind=KIND,
        tasks=tasks,
        demand=DEMAND,
        run_ms=run_ms,
        urgency=Urgency.BATCH,
        **fields,
    )


def accept_job(context, spec, instance):
    """Submit a job until it is accepted; repeated submissions are idempotent."""
    address = context.deployment.callers[instance]

    def accepted():
        context.answer = submit_job(address, spec)
        return context.answer.status < 300

    context.deployment.wait_until(accepted, f"{spec.job} is accepted")


@when('the job "{job}" of {tasks:d} tasks of {run_ms:d} ms is accepted by "{instance}"')
def submit(context, job, tasks, run_ms, instance):
    accept_job(context, make_spec(job, tasks, run_ms), instance)


@when(
    'the job "{job}" of {tasks:d} tasks of {run_ms:d} ms '
    'with payload {payload} is accepted by "{instance}"'
)
def submit_payload(context, job, tasks, run_ms, payload, instance):
    accept_job(context, make_spec(job, tasks, run_ms, payload=payload), instance)


@when(
    'the urgent job "{job}" of {tasks:d} tasks of {run_ms:d} ms '
    'is accepted by "{instance}"'
)
def submit_urgent(context, job, tasks, run_ms, instance):
    spec = make_spec(job, tasks, run_ms)
    urgent = msgspec.structs.replace(spec, urgency=Urgency.URGENT)
    accept_job(context, urgent, instance)


@when('the job "{job}" is cancelled through "{instance}"')
def cancel(context, job, instance):
    address = context.deployment.callers[instance]
    path = f"/v1/jobs/{job}"

    def cancelled():
        return call_json(address, "DELETE", path, team=TEAM).status < 300

    context.deployment.wait_until(cancelled, f"{job} is cancelled")


@when("at least {count:d} tasks have been started")
def wait_until_started(context, count):
    context.deployment.wait_until(
        lambda: count_entries(context, Event.STARTED) >= count,
        f"{count} tasks are started",
    )


@when("at least {count:d} tasks have finished")
def wait_until_finished(context, count):
    context.deployment.wait_until(
        lambda: len(list_finished(context)) >= count, f"{count} tasks have finished"
    )


def count_entries(context, event):
    """Return the number of journal entries that record an event."""
    return sum(entry.event is event for entry in context.deployment.read_journals())


def list_finished(context):
    """Return the tasks that finished, from the workers' journals."""
    return {
        run.task
        for run in find_runs(context.deployment.read_journals())
        if run.state == AttemptState.FINISHED.value
    }


@then(
    'the job "{job}" is {state} within {seconds:d} s, '
    "each of its {tasks:d} tasks having finished on a worker"
)
def check_finished(context, job, state, seconds, tasks):
    wait_for_state(context, job, state, seconds)
    finished = {task for task in list_finished(context) if task.startswith(f"{job}.")}
    assert len(finished) == tasks, f"{len(finished)} of {tasks} finished on workers"


@then('the job "{job}" is {state} within {seconds:d} s')
def wait_for_state(context, job, state, seconds):
    def reached():
        return any(
            status is not None and status.state == state
            for instance in list_running(context)
            if (status := read_job(context.deployment.callers[instance], job, TEAM))
        )

    context.deployment.wait_until(reached, f"{job} is {state}", seconds)


def list_running(context):
    """Return the instances whose processes are running."""
    processes = context.deployment.processes
    return [
        name for name in context.deployment.callers if processes[name].poll() is None
    ]


@then("every task that was started has ended within {seconds:d} s")
def wait_until_all_ended(context, seconds):
    def ended():
        runs = find_runs(context.deployment.read_journals())
        return all(run.state or run.lost for run in runs)

    context.deployment.wait_until(ended, "all attempts have ended", seconds)


@then("at least {count:d} attempts were checkpointed and resumed")
def check_resumed(context, count):
    runs = find_runs(context.deployment.read_journals())
    resumed = [run for run in runs if run.resumed_from]
    assert len(resumed) >= count, f"{len(resumed)} attempts resumed"


@then("at least {count:d} tasks needed a second attempt")
def check_retried(context, count):
    runs = find_runs(context.deployment.read_journals())
    retried = {run.task for run in runs if run.attempt > 1}
    assert len(retried) >= count, f"{len(retried)} tasks were retried"


@then("no attempt was stopped or lost")
def check_none_stopped(context):
    runs = find_runs(context.deployment.read_journals())
    bad = [run for run in runs if run.state == AttemptState.STOPPED.value or run.lost]
    assert not bad, f"{len(bad)} attempts: {bad[:3]}"


@then("at least {count:d} tasks finished on workers that did not leave")
def check_other_workers(context, count):
    entries = context.deployment.read_journals()
    leaving_workers = {entry.about for entry in entries if entry.event is Event.LEAVING}
    runs = [run for run in find_runs(entries) if run.worker not in leaving_workers]
    done = sum(run.state == AttemptState.FINISHED.value for run in runs)
    assert done >= count, f"{done} tasks"


@when("at least {count:d} checkpoint is stored")
def wait_until_stored(context, count):
    context.deployment.wait_until(
        lambda: count_entries(context, Event.STORED) >= count,
        f"{count} checkpoints are stored",
    )


@when('task "{task}" has been resumed {count:d} times')
@then('task "{task}" has been resumed {count:d} times')
def wait_until_resumed(context, task, count):
    def resumed():
        runs = find_runs(context.deployment.read_journals())
        task_runs = [run for run in runs if run.task == task and run.resumed_from]
        return len(task_runs) >= count

    context.deployment.wait_until(resumed, f"{task} is resumed {count} times")
