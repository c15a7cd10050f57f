"""Steps that send requests and look at what callers were told."""

from behave import given, then, when

from fuchsiascale.ids import IdempotencyKey
from fuchsiascale.states import Outcome
from standins._journal import Event
from standins.callers import NO_ANSWER, NOT_SENT, Load, Operation

KINDS = ("plain", "keyed", "idempotent")


def make_operation(kind, name, service_ms=None):
    """Return an operation of a kind: plain, keyed or idempotent."""
    assert kind in KINDS, kind
    return Operation(
        name=name,
        key=IdempotencyKey(f"key-{name}") if kind == "keyed" else IdempotencyKey(""),
        idempotent=kind == "idempotent",
        service_ms=service_ms,
    )


@given("a load of {threads:d} callers with {kind} requests")
@when("a load of {threads:d} callers with {kind} requests begins")
def start_load(context, threads, kind):
    begin_load(context, threads, kind, keep=False)


@given("a load of {threads:d} callers with {kind} requests on kept connections")
def start_kept_load(context, threads, kind):
    begin_load(context, threads, kind, keep=True)


def begin_load(context, threads, kind, keep):
    """Start callers that send to all instances in turn."""

    def make(number):
        return make_operation(kind, f"load{number}")

    addresses = context.deployment.callers.values()
    context.load = Load(context.callers, addresses, make, threads, keep)
    context.load.start()


@when("the load ends")
def end_load(context):
    load, context.load = context.load, None
    context.told = load.stop()


@when('a {kind} request "{name}" of {service_ms:d} ms is sent to "{instance}"')
def send(context, kind, name, service_ms, instance):
    operation = make_operation(kind, name, service_ms)
    address = context.deployment.callers[instance]
    context.last = context.callers.send(address, operation)


@when('a {kind} request "{name}" is sent to "{instance}" {count:d} times')
def send_often(context, kind, name, instance, count):
    address = context.deployment.callers[instance]
    operation = make_operation(kind, name)
    for _ in range(count):
        context.last = context.callers.send(address, operation)


@then("the caller is told {outcome}")
def check_told(context, outcome):
    assert context.last.outcome == outcome, context.last


@then("the caller is told {outcome} because of {reason}")
def check_reason(context, outcome, reason):
    found = (context.last.outcome, context.last.reason)
    assert found == (outcome, reason), context.last


@then('"{name}" ran {count:d} times')
def check_ran(context, name, count):
    path = f"/v1/services/{context.deployment.plan.service}/{name}"
    ran = [
        entry
        for entry in context.deployment.read_journals()
        if entry.event is Event.EXECUTED and entry.path == path
    ]
    assert len(ran) == count, f"{name} ran {len(ran)} times"


@then("at least {count:d} requests were done")
def check_done(context, count):
    done = sum(told.done for told in context.told)
    assert done >= count, f"{done} of {len(context.told)} done"


@then("at least {share:d} percent of the requests were done")
def check_share(context, share):
    done = sum(told.done for told in context.told)
    assert 100 * done >= share * len(context.told), f"{done} of {len(context.told)}"


@then("no caller was left without an answer")
def check_all_answered(context):
    lost = [told for told in context.told if told.outcome == NO_ANSWER]
    assert not lost, f"{len(lost)} of {len(context.told)}: {lost[:3]}"


@then("every request that reached the system was done")
def check_every_done(context):
    bad = [told for told in context.told if not told.done]
    bad = [told for told in bad if told.outcome != NOT_SENT]
    assert not bad, f"{len(bad)} of {len(context.told)}: {bad[:3]}"


@then("every request that was not done was told not-run or never sent")
def check_rest_not_run(context):
    bad = [told for told in context.told if not told.done]
    bad = [t for t in bad if t.outcome not in (Outcome.NOT_RUN.value, NOT_SENT)]
    assert not bad, f"{len(bad)} of {len(context.told)}: {bad[:3]}"


@then("at least {count:d} requests were told {outcome}")
def check_outcomes(context, count, outcome):
    found = sum(told.outcome == outcome for told in context.told)
    assert found >= count, f"{found} of {len(context.told)} were told {outcome}"
