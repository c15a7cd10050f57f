"""Steps that send requests and look at what callers were told."""

import itertools
import threading
import time
from concurrent.futures import ThreadPoolExecutor

from behave import given, then, when

from fuchsiascale.ids import IdempotencyKey
from fuchsiascale.states import Outcome
from standins._journal import Event
from standins.callers import NO_ANSWER, NOT_SENT, Load, Operation

KINDS = ("plain", "keyed", "idempotent")
REPEAT_S = 1.5


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


@then("the caller is told {text}")
def check_told(context, text):
    outcome, _, reason = text.partition(" because of ")
    assert context.last.outcome == outcome, context.last
    assert not reason or context.last.reason == reason, context.last


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


@when('two requests with the id "{request}" and different bodies are sent at once')
def send_same_id(context, request):
    addresses = list(context.deployment.callers.values())
    operations = [make_operation("plain", f"twin{n}", 300) for n in range(2)]
    with ThreadPoolExecutor(2) as pool:
        sending = [
            pool.submit(context.callers.send, address, operation, request=request)
            for address, operation in zip(addresses, operations, strict=False)
        ]
    pairs = zip(operations, (future.result() for future in sending), strict=True)
    context.pairs = list(pairs)


@then("each caller got the answer to its own body or none")
def check_own_bodies(context):
    for operation, told in context.pairs:
        assert not told.done or told.body == operation.encode_body(), told


@when("repeated keyed requests are sent through both instances and {name} is killed")
def repeat_keyed(context, name):
    """Send each operation through one instance, and again through the other."""
    one, other = list(context.deployment.callers.values())[:2]
    numbers = itertools.count()
    stopped = threading.Event()

    def run():
        told = []
        while not stopped.is_set():
            operation = make_operation("keyed", f"repeat{next(numbers)}", 20)
            told += [context.callers.send(each, operation) for each in (one, other)]
        return told

    with ThreadPoolExecutor(4) as pool:
        running = [pool.submit(run) for _ in range(4)]
        time.sleep(REPEAT_S)
        context.deployment.kill(name)
        time.sleep(REPEAT_S)
        stopped.set()
    context.told = [told for future in running for told in future.result()]
