"""Steps that check where attempts were started, finished and checkpointed."""

from behave import then

from fuchsiascale.states import AttemptState
from standins._journal import Event
from standins.checker import find_runs


def list_checkpointed(context):
    """Return the workers of checkpointed attempts, from the workers' journals."""
    return [
        entry.source
        for entry in context.deployment.read_journals()
        if entry.event is Event.ENDED and entry.state == AttemptState.CHECKPOINTED.value
    ]


@then('at most {count:d} attempts were started at "{worker}"')
def check_max_started(context, count, worker):
    started = sum(
        entry.event is Event.STARTED and entry.source == worker
        for entry in context.deployment.read_journals()
    )
    assert started <= count, f"{started} attempts were started at {worker}"


@then('every worker of "{domain}" finished tasks of "{job}"')
def check_all_workers_used(context, domain, job):
    workers = {
        name for name in context.deployment.listed if name.startswith(f"{domain}-w")
    }
    used = {
        run.worker
        for run in find_runs(context.deployment.read_journals())
        if run.state == AttemptState.FINISHED.value and run.task.startswith(f"{job}.")
    }
    assert used == workers, f"only {sorted(used)} finished any"


@then('an attempt at "{worker}" was checkpointed, and none at another worker')
def check_checkpointed(context, worker):
    workers = set(list_checkpointed(context))
    assert workers == {worker}, f"attempts were checkpointed at {sorted(workers)}"
