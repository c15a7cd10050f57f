"""Tests of the request pipeline on fakes at its ports."""

import asyncio

from returns.result import Failure

from fuchsiascale.decisions import RetryBudget
from fuchsiascale.pipelines import build_request_pipeline
from fuchsiascale.pipelines.tests._fakes import FakeRunners, make_call, make_ports
from fuchsiascale.platform import RequestNotRun, RequestUncertain
from fuchsiascale.states import Outcome, Refusal
from fuchsiascale.testing import collect_functions

load_tests = collect_functions(__name__)

BAD_HEADERS = (
    ({"authorization": "Bearer wrong"}, Refusal.UNAUTHORIZED),
    ({"authorization": "Basic abc"}, Refusal.UNAUTHORIZED),
    ({"authorization": ""}, Refusal.UNAUTHORIZED),
    ({"authorization": "", "team": "schools"}, Refusal.UNAUTHORIZED),
    ({"authorization": "", "team": "nobody"}, Refusal.UNAUTHORIZED),
    ({"request_id": "x" * 129}, Refusal.BAD_REQUEST),
    ({"request_id": "a\nb"}, Refusal.BAD_REQUEST),
    ({"idempotency_key": "k" * 129}, Refusal.BAD_REQUEST),
    ({"idempotent": "perhaps"}, Refusal.BAD_REQUEST),
    ({"urgency": "extreme"}, Refusal.BAD_REQUEST),
    ({"deadline_ms": "soon"}, Refusal.BAD_REQUEST),
    ({"deadline_ms": "1.5"}, Refusal.BAD_REQUEST),
    ({"deadline_ms": "0"}, Refusal.BAD_REQUEST),
    ({"deadline_ms": "-5"}, Refusal.BAD_REQUEST),
)


async def test_a_request_gets_the_complete_answer():
    ports = make_ports()
    call, answer = await build_request_pipeline(ports).handle(make_call())
    assert answer.outcome is Outcome.DONE
    assert (answer.status, answer.body, answer.runner) == (200, b"take", "runner-1")
    assert ports.runners.sent[0][1].request_id == call.request_id
    assert ports.dispatcher.slots.in_use == 0


async def test_bad_headers_are_refused_and_nothing_is_sent():
    for headers, refusal in BAD_HEADERS:
        ports = make_ports()
        _, answer = await build_request_pipeline(ports).handle(make_call(**headers))
        assert (answer.outcome, answer.refusal) == (Outcome.NOT_RUN, refusal), headers
        assert not ports.runners.sent


async def test_an_unknown_service_is_refused():
    _, answer = await build_request_pipeline(make_ports()).handle(
        make_call(service="nowhere")
    )
    assert answer.refusal is Refusal.UNKNOWN_SERVICE


async def test_each_failure_of_a_runner_gives_its_own_outcome():
    async def refused(address, request):
        return Failure(RequestNotRun(detail="full"))

    async def uncertain(address, request):
        return Failure(RequestUncertain(detail="cut"))

    cases = ((refused, "not-run", 0), (uncertain, "unknown", 1))
    for behaviour, outcome, held in cases:
        ports = make_ports(runners=FakeRunners(behaviour))
        _, answer = await build_request_pipeline(ports).handle(make_call())
        assert answer.outcome is Outcome(outcome)
        assert len(ports.runners.sent) == 1
        assert ports.dispatcher.slots.in_use == held


async def test_a_repeat_of_a_key_gets_the_recorded_answer():
    ports = make_ports()
    pipeline = build_request_pipeline(ports)
    _, first = await pipeline.handle(make_call(idempotency_key="k"))
    _, again = await pipeline.handle(make_call(idempotency_key="k"))
    assert (again.outcome, again.status, again.body) == (Outcome.DONE, 200, b"take")
    assert first.body == again.body
    assert len(ports.runners.sent) == 1
    _, other = await pipeline.handle(make_call(body=b"x", idempotency_key="k"))
    assert other.refusal is Refusal.KEY_CONFLICT


async def test_a_late_answer_is_unknown_and_keeps_its_slot_until_it_ends():
    gate = asyncio.Event()
    runners = FakeRunners()

    async def slow(address, request):
        await gate.wait()
        return await runners.echo(address, request)

    ports = make_ports(runners=FakeRunners(slow))
    _, answer = await build_request_pipeline(ports).handle(make_call(deadline_ms="40"))
    assert answer.outcome is Outcome.UNKNOWN
    assert ports.dispatcher.slots.in_use == 1
    gate.set()
    await asyncio.sleep(0)
    await asyncio.sleep(0)
    await asyncio.sleep(0)
    assert ports.dispatcher.slots.in_use == 0


async def test_a_stopping_instance_finishes_calls_in_flight_and_refuses_new_ones():
    gate = asyncio.Event()
    runners = FakeRunners()

    async def slow(address, request):
        await gate.wait()
        return await runners.echo(address, request)

    pipeline = build_request_pipeline(make_ports(runners=FakeRunners(slow)))
    first = asyncio.ensure_future(pipeline.handle(make_call()))
    await asyncio.sleep(0)
    drained = asyncio.ensure_future(pipeline.drain())
    await asyncio.sleep(0)
    _, refused = await pipeline.handle(make_call())
    assert refused.refusal is Refusal.STOPPING
    assert not drained.done()
    gate.set()
    _, answer = await first
    await drained
    assert answer.outcome is Outcome.DONE


async def test_a_refused_retry_does_not_hide_an_uncertain_send():
    async def cut_then_refuse(address, request):
        if len(ports.runners.sent) == 1:
            return Failure(RequestUncertain(detail="cut"))
        return Failure(RequestNotRun(detail="full"))

    names = ("runner-1", "runner-2")
    ports = make_ports(names, runners=FakeRunners(cut_then_refuse))
    ports.retries.budget = RetryBudget(tokens=1.0)
    _, answer = await build_request_pipeline(ports).handle(make_call(idempotent="true"))
    assert len(ports.runners.sent) == 2
    assert answer.outcome is Outcome.UNKNOWN
