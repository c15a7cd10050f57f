"""Steps that check where attempts were started, finished and checkpointed."""

from collections import defaultdict
from statistics import fmean

from behave import then

from fuchsiascale.states import AttemptState
from standins._journal import Event
from standins.checker import find_runs

LATENCY_WINDOW_MS = 5_000.0


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
    if workers != {worker}:
        print_latencies(context.deployment.read_journals())
    assert workers == {worker}, f"attempts were checkpointed at {sorted(workers)}"


def print_latencies(entries):
    """Print the mean latencies of each runner over time, and the checkpoints.

    The delay of the fault ``slow_ms`` comes before a request is executed and is not
    included, so a latency that rises shows contention on the machine of the test.
    """
    executed, served_ms, received_ms = {}, defaultdict(list), defaultdict(list)
    for entry in entries:
        if entry.event is Event.EXECUTED:
            executed[entry.request] = entry
        elif entry.event in (Event.ANSWERED, Event.RECEIVED):
            start = executed.get(entry.request)
            if start is None:
                continue
            window = int(start.at_ms // LATENCY_WINDOW_MS)
            found = served_ms if entry.event is Event.ANSWERED else received_ms
            found[start.source, window].append(entry.at_ms - start.at_ms)
        elif entry.state == AttemptState.CHECKPOINTED.value:
            print(f"{entry.task} checkpointed at {entry.source}, {entry.at_ms:.0f} ms")
    for runner, window in sorted(received_ms):
        print(
            f"{runner} from {window * LATENCY_WINDOW_MS:.0f} ms:"
            f" {fmean(served_ms[runner, window] or [0.0]):.1f} ms to answer,"
            f" {fmean(received_ms[runner, window]):.1f} ms until callers received it"
        )
