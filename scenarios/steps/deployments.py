"""Steps that start a deployment and cause failures in it."""

import json
import time

from behave import given, then, when

from standins._journal import Event
from standins.callers import Callers, Operation
from standins.clients import apply_fleet, is_ready
from standins.deployment import DEFAULT_FLEET, Deployment, Plan, Site
from standins.relay import LinkState

SITE_OPTIONS = ("instances", "workers", "racks")
PLAN_NUMBERS = (
    "service_ms",
    "slots",
    "connections",
    "millicores",
    "memory_mb",
    "accelerators",
    "list_lag_ms",
    "usage_lag_ms",
    "platform_timeout_ms",
)
PLAN_FLAGS = ("guards", "links", "split")
TIMERS = {
    "heartbeat_ms": 300,
    "list_poll_ms": 500,
    "document_poll_ms": 500,
    "exchange_ms": 500,
    "lease_ms": 2_000,
}
READY_LIMIT_S = 20.0


def read_plan(table):
    """Return the plan that a step's table describes."""
    options = {row["option"]: row["value"] for row in table or ()}
    site = {name: int(options.pop(name)) for name in SITE_OPTIONS if name in options}
    domains = options.pop("domains", "porto").split()
    region = options.pop("region", "norte")
    timers = TIMERS | {
        name: int(options.pop(name)) for name in TIMERS if name in options
    }
    fields = {name: int(options.pop(name)) for name in PLAN_NUMBERS if name in options}
    fields |= {
        name: options.pop(name) == "yes" for name in PLAN_FLAGS if name in options
    }
    assert not options, f"unknown options: {options}"
    sites = tuple(
        Site(failure_domain=domain, region=region, **site) for domain in domains
    )
    return Plan(sites=sites, timers=timers, **fields)


@given("a deployment")
def start_deployment(context):
    context.deployment = Deployment(read_plan(context.table))
    context.deployment.__enter__()
    first = next(iter(context.deployment.callers))
    apply_fleet(context.deployment, first, DEFAULT_FLEET)
    wait_until_all_ready(context)
    journal = context.deployment.journal("callers")
    context.callers = Callers(journal, context.deployment.plan.service, "shop")
    for instance in context.deployment.callers:
        warm_up(context, instance)


def warm_up(context, instance):
    """Send requests until one is done; slots are lent only once shards have owners."""
    address = context.deployment.callers[instance]
    operation = Operation(name=f"warm-up-{instance}", idempotent=True)
    context.deployment.wait_until(
        lambda: context.callers.send(address, operation).done,
        f"{instance} serves",
        READY_LIMIT_S,
    )


def wait_until_all_ready(context):
    """Wait until every daemon is ready."""
    for instance, address in context.deployment.callers.items():
        context.deployment.wait_until(
            lambda address=address: is_ready(address),
            f"{instance} is ready",
            READY_LIMIT_S,
        )


@given('every worker of "{domain}" is claimed')
def wait_until_claimed(context, domain):
    names = [
        name for name in context.deployment.callers if name.startswith(f"{domain}-")
    ]
    workers = [
        entry for entry in context.deployment.listed if entry.startswith(f"{domain}-w")
    ]

    def claimed():
        return all(find_owner(context, worker) in names for worker in workers)

    context.deployment.wait_until(claimed, "every worker is claimed")


def find_owner(context, worker):
    """Return the last instance that claimed a worker, from the worker's journal."""
    owners = [
        entry.token.partition("/")[2]
        for entry in context.deployment.read_journals()
        if entry.event is Event.CLAIMED and entry.source == worker
    ]
    return owners[-1] if owners else None


@then('at least {count:d} instances claimed "{worker}" while the links were silent')
def check_claiming_instances(context, count, worker):
    owners = {
        entry.token.partition("/")[2]
        for entry in context.deployment.read_journals()
        if entry.event is Event.CLAIMED
        and entry.source == worker
        and context.silent_ms < entry.at_ms < context.up_ms
    }
    assert len(owners) >= count, owners


def find_last_worker(context, task):
    """Return the last worker that started a task, from the workers' journals."""
    workers = [
        entry.source
        for entry in context.deployment.read_journals()
        if entry.event is Event.STARTED and entry.task == task
    ]
    assert workers, f"{task} was not started"
    return workers[-1]


def resolve_process_name(context, text):
    """Return the name of the process that a step refers to.

    The step gives the name itself, "the owner of WORKER" or "the worker of TASK".
    """
    if text.startswith("the worker of "):
        return find_last_worker(context, text.removeprefix("the worker of "))
    prefix = "the owner of "
    if not text.startswith(prefix):
        return text
    owner = find_owner(context, text.removeprefix(prefix))
    assert owner is not None, f"{text} is not known"
    return owner


@when('"{name}" is killed')
def kill(context, name):
    context.process_name = resolve_process_name(context, name)
    context.deployment.kill(context.process_name)


@when('"{name}" is paused')
def pause(context, name):
    context.process_name = resolve_process_name(context, name)
    context.deployment.pause(context.process_name)


@when("it is resumed")
def resume(context):
    context.deployment.resume(context.process_name)


@when("it is started again")
def restart(context):
    if context.process_name in context.deployment.callers:
        context.deployment.start_daemon(context.process_name)
    else:
        context.deployment.restart_standin(context.process_name)


@when("it is ready")
def wait_until_ready(context):
    address = context.deployment.callers[context.process_name]
    context.deployment.wait_until(
        lambda: is_ready(address), f"{context.process_name} is ready", READY_LIMIT_S
    )


@when('"{name}" is asked to stop')
def ask_to_stop(context, name):
    context.process_name = resolve_process_name(context, name)
    context.deployment.ask_to_stop(context.process_name)


@then('"{name}" exits with status {status:d} within {seconds:d} s')
def check_exit(context, name, status, seconds):
    status_found = context.deployment.wait_for_exit(name, seconds)
    assert status_found == status, f"{name} exited with {status_found}"


@then("it exits with status {status:d} within {seconds:d} s")
def check_its_exit(context, status, seconds):
    check_exit(context, context.process_name, status, seconds)


@when('"{name}" gets the faults {faults}')
def set_faults(context, name, faults):
    context.deployment.set_faults(name, **json.loads(faults))


@when('every {kind} of "{domain}" gets the faults {faults}')
def set_all_faults(context, kind, domain, faults):
    prefix = f"{domain}-{kind[0]}"
    for name in context.deployment.controls:
        if name.startswith(prefix):
            context.deployment.set_faults(name, **json.loads(faults))


@when('the faults of "{name}" end')
def end_faults(context, name):
    context.deployment.set_faults(name)


@when('the link "{name}" is {state}')
def set_link(context, name, state):
    context.deployment.set_link(name, state=state)


@when("all links are {state}")
def set_all_links(context, state):
    now_ms = time.monotonic() * 1000
    if state == LinkState.SILENT.value:
        context.silent_ms = now_ms
    else:
        context.up_ms = now_ms
    for name in context.deployment.controls:
        if name.startswith("link-"):
            context.deployment.set_link(name, state=state)


@when('"{name}" is listed as leaving')
def list_as_leaving(context, name):
    context.deployment.leave(name, announced=False)


@when('"{name}" announces that it leaves')
def announce_leaving(context, name):
    context.deployment.leave(name, listed=False)


@when('"{name}" leaves')
def leave(context, name):
    context.deployment.leave(resolve_process_name(context, name))


@when('"{name}" is gone from the list')
def remove(context, name):
    context.deployment.remove_from_list(name)


@when("{seconds:g} s pass")
def pass_time(context, seconds):
    time.sleep(seconds)
