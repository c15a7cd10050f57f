"""Steps that send requests and check the outcomes that callers received."""

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
    """Return an operation of the kind plain, keyed or idempotent."""
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
    begin_load(context, threads, kind, keep_alive=False)


@given("a load of {threads:d} callers with {kind} requests on persistent connections")
def start_keep_alive_load(context, threads, kind):
    begin_load(context, threads, kind, keep_alive=True)


def begin_load(context, threads, kind, keep_alive):
    """Start callers that send to the instances in turn."""

    def make_load_operation(number):
        return make_operation(kind, f"load{number}")

    addresses = context.deployment.callers.values()
    context.load = Load(
        context.callers, addresses, make_load_operation, threads, keep_alive
    )
    context.load.start()


@when("the load ends")
def end_load(context):
    load, context.load = context.load, None
    context.results = load.stop()


@when('a {kind} request "{name}" of {service_ms:d} ms is sent to "{instance}"')
def send(context, kind, name, service_ms, instance):
    operation = make_operation(kind, name, service_ms)
    address = context.deployment.callers[instance]
    context.last_result = context.callers.send(address, operation)


@when('a {kind} request "{name}" is sent to "{instance}" {count:d} times')
def send_repeatedly(context, kind, name, instance, count):
    address = context.deployment.callers[instance]
    operation = make_operation(kind, name)
    for _ in range(count):
        context.last_result = context.callers.send(address, operation)


@then("the caller gets the outcome {text}")
def check_outcome(context, text):
    outcome, _, reason = text.partition(" because of ")
    assert context.last_result.outcome == outcome, context.last_result
    assert not reason or context.last_result.reason == reason, context.last_result


@then('"{name}" ran {count:d} times')
def check_executions(context, name, count):
    path = f"/v1/services/{context.deployment.plan.service}/{name}"
    executions = [
        entry
        for entry in context.deployment.read_journals()
        if entry.event is Event.EXECUTED and entry.path == path
    ]
    assert len(executions) == count, f"{name} ran {len(executions)} times"


@then("at least {count:d} requests were done")
def check_done(context, count):
    done = sum(result.done for result in context.results)
    assert done >= count, f"{done} of {len(context.results)} done"


@then("at least {percentage:d} percent of the requests were done")
def check_done_percentage(context, percentage):
    done = sum(result.done for result in context.results)
    assert 100 * done >= percentage * len(context.results), (
        f"{done} of {len(context.results)}"
    )


@then("no caller was left without an answer")
def check_all_answered(context):
    unanswered = [result for result in context.results if result.outcome == NO_ANSWER]
    assert not unanswered, (
        f"{len(unanswered)} of {len(context.results)}: {unanswered[:3]}"
    )


@then("every request that reached the system was done")
def check_every_done(context):
    failures = [result for result in context.results if not result.done]
    failures = [result for result in failures if result.outcome != NOT_SENT]
    assert not failures, f"{len(failures)} of {len(context.results)}: {failures[:3]}"


@then("every request that was not done got the outcome not-run or was never sent")
def check_others_not_run(context):
    failures = [result for result in context.results if not result.done]
    failures = [
        result
        for result in failures
        if result.outcome not in (Outcome.NOT_RUN.value, NOT_SENT)
    ]
    assert not failures, f"{len(failures)} of {len(context.results)}: {failures[:3]}"


@then("at least {count:d} requests got the outcome {outcome}")
def check_outcome_count(context, count, outcome):
    found = sum(result.outcome == outcome for result in context.results)
    assert found >= count, (
        f"{found} of {len(context.results)} got the outcome {outcome}"
    )


@when('two requests with the id "{request}" and different bodies are sent at once')
def send_same_id(context, request):
    addresses = list(context.deployment.callers.values())
    operations = [make_operation("plain", f"twin{n}", 300) for n in range(2)]
    with ThreadPoolExecutor(2) as pool:
        futures = [
            pool.submit(context.callers.send, address, operation, request=request)
            for address, operation in zip(addresses, operations, strict=False)
        ]
    pairs = zip(operations, (future.result() for future in futures), strict=True)
    context.pairs = list(pairs)


@then("each caller got the answer to its own body or none")
def check_own_bodies(context):
    for operation, result in context.pairs:
        assert not result.done or result.body == operation.encode_body(), result


@when("repeated keyed requests are sent through both instances and {name} is killed")
def repeat_keyed(context, name):
    """Send each operation through one instance and repeat it through another."""
    first, second = list(context.deployment.callers.values())[:2]
    numbers = itertools.count()
    stopped = threading.Event()

    def run():
        results = []
        while not stopped.is_set():
            operation = make_operation("keyed", f"repeat{next(numbers)}", 20)
            results += [
                context.callers.send(each, operation) for each in (first, second)
            ]
        return results

    with ThreadPoolExecutor(4) as pool:
        futures = [pool.submit(run) for _ in range(4)]
        time.sleep(REPEAT_S)
        context.deployment.kill(name)
        time.sleep(REPEAT_S)
        stopped.set()
    context.results = [result for future in futures for result in future.result()]
