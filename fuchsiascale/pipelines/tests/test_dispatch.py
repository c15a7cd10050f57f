"""Tests of admission, retries and forwarding in the request pipeline."""

import asyncio
from random import Random

from msgspec.structs import replace
from returns.result import Failure

from fuchsiascale.coordination import DomainSettings, Member
from fuchsiascale.pipelines import (
    BodyBudget,
    CallAnswer,
    Forwarder,
    NoMeters,
    build_request_pipeline,
    make_refusal,
)
from fuchsiascale.pipelines.tests._fakes import (
    FakeRunners,
    make_call,
    make_fleet,
    make_ports,
    make_view,
)
from fuchsiascale.platform import RequestNotRun, RequestUncertain
from fuchsiascale.states import Outcome, Refusal
from fuchsiascale.testing import collect_functions

load_tests = collect_functions(__name__)

NEAR = Member(instance="n", address="n:1", failure_domain="braga", region="norte")
FAR = Member(instance="s", address="s:1", failure_domain="faro", region="sul")
THREE = ("runner-1", "runner-2", "runner-3")


class GatedRunners(FakeRunners):
    """Runners that answer only once the gate is open."""

    def __init__(self):
        super().__init__(self.wait)
        self.gate = asyncio.Event()

    async def wait(self, address, request):
        await self.gate.wait()
        return await self.echo(address, request)


async def run_event_loop(rounds=20):
    for _ in range(rounds):
        await asyncio.sleep(0)


async def test_no_more_requests_are_in_flight_than_slots_are_lent():
    ports = make_ports(runners=GatedRunners(), slots=4)
    pipeline = build_request_pipeline(ports)
    calls = [asyncio.ensure_future(pipeline.handle(make_call())) for _ in range(9)]
    await run_event_loop()
    assert len(ports.runners.sent) == ports.dispatcher.slots.in_use == 4
    ports.runners.gate.set()
    answers = [answer for _, answer in await asyncio.gather(*calls)]
    assert {answer.outcome for answer in answers} == {Outcome.DONE}
    assert len(ports.runners.sent) == 9
    await run_event_loop()
    assert ports.dispatcher.slots.in_use == 0


async def test_a_request_whose_caller_leaves_the_queue_is_never_sent():
    ports = make_ports(runners=GatedRunners(), slots=1)
    pipeline = build_request_pipeline(ports)
    first = asyncio.ensure_future(pipeline.handle(make_call()))
    second = asyncio.ensure_future(pipeline.handle(make_call()))
    await run_event_loop()
    second.cancel()
    await run_event_loop()
    ports.runners.gate.set()
    await first
    await run_event_loop()
    assert len(ports.runners.sent) == 1
    assert ports.dispatcher.slots.in_use == 0
    assert pipeline.in_flight == 0


async def test_a_leaving_runner_gets_no_new_requests():
    seen = make_view(THREE, leaving=frozenset(THREE[:2]))
    ports = make_ports(THREE, seen=seen)
    pipeline = build_request_pipeline(ports)
    for _ in range(20):
        await pipeline.handle(make_call())
    assert {address for address, _ in ports.runners.sent} == {"runner-3:80"}
    leaving_ports = make_ports(THREE, seen=make_view(THREE, leaving=frozenset(THREE)))
    _, answer = await build_request_pipeline(leaving_ports).handle(make_call())
    assert answer.refusal is Refusal.NO_UPSTREAM


async def run_failing(error, amount, **headers):
    """Send requests to runners that always fail; return the number of sends."""

    async def fail(address, request):
        return Failure(error)

    ports = make_ports(THREE, runners=FakeRunners(fail))
    pipeline = build_request_pipeline(ports)
    for _ in range(amount):
        await pipeline.handle(make_call(**headers))
    return len(ports.runners.sent)


async def test_a_request_that_may_have_run_is_sent_again_only_if_idempotent():
    cut = RequestUncertain(detail="cut")
    assert await run_failing(cut, 12) == 12
    assert await run_failing(cut, 12, idempotent="true") > 12


async def test_retries_stay_within_the_budget():
    refused = RequestNotRun(detail="full")
    assert 40 < await run_failing(refused, 40) <= 1.1 * 40


async def test_the_remaining_time_is_sent_as_deadline():
    ports = make_ports()
    pipeline = build_request_pipeline(ports)
    ports.clock.advance(0.4)
    await pipeline.handle(make_call(deadline_ms="1000"))
    assert ports.runners.sent[0][1].deadline_ms == 600


def make_forwarding(answer, peers=(NEAR,), link_bytes_per_s=1_000_000):
    """Return ports without a local runner, and the list of forwarded requests."""
    sent = []
    fleet = make_fleet()
    domain = DomainSettings(
        failure_domain="porto",
        team="schools",
        region="norte",
        link_bytes_per_s=link_bytes_per_s,
    )
    fleet = replace(fleet, domains={"porto": domain})
    view = make_view((), peers=peers)

    async def send(member, call, timeout_s):
        sent.append((member, call))
        return answer

    ports = make_ports((), seen=view)
    ports.clock.advance(1.0)
    forwarder = Forwarder(
        lambda: view, lambda: fleet, ports.clock, Random(3), send, NoMeters()
    )
    return replace(ports, forwarder=forwarder), sent


async def ask(ports, **headers):
    call = make_call(received_s=ports.clock.monotonic(), **headers)
    _, answer = await build_request_pipeline(ports).handle(call)
    return answer


async def test_the_outcome_of_a_forwarded_request_is_returned_unchanged():
    cases = (
        CallAnswer(outcome=Outcome.DONE, status=200, body=b"x"),
        make_refusal(Refusal.NO_CAPACITY),
        CallAnswer(outcome=Outcome.UNKNOWN),
    )
    for expected in cases:
        ports, sent = make_forwarding(expected)
        answer = await ask(ports, idempotent="true")
        assert (answer.outcome, answer.body) == (expected.outcome, expected.body)
        assert len(sent) == 1


async def test_a_request_is_forwarded_only_where_deadline_and_link_allow():
    done = CallAnswer(outcome=Outcome.DONE, status=200)
    cases = (
        ((NEAR, FAR), 1_000_000, "2000", "n"),
        ((FAR,), 1_000_000, "2000", "s"),
        ((FAR,), 1_000_000, "20", None),
        ((FAR,), 100, "2000", None),
        ((NEAR,), 100, "2000", "n"),
        ((), 1_000_000, "2000", None),
    )
    for peers, rate, deadline_ms, expected in cases:
        ports, sent = make_forwarding(done, peers, rate)
        answer = await ask(ports, deadline_ms=deadline_ms)
        assert [member.instance for member, _ in sent] == ([expected] * bool(expected))
        assert answer.outcome is (Outcome.DONE if expected else Outcome.NOT_RUN)


async def test_a_request_that_the_local_runners_refuse_is_forwarded():
    done = CallAnswer(outcome=Outcome.DONE, status=200, body=b"x")

    async def gone(address, request):
        return Failure(RequestNotRun(detail="refused"))

    async def cut(address, request):
        return Failure(RequestUncertain(detail="cut"))

    for behaviour, outcome, forwards in ((gone, "done", 1), (cut, "unknown", 0)):
        forwarding, sent = make_forwarding(done)
        local = make_ports(THREE, runners=FakeRunners(behaviour))
        ports = replace(local, forwarder=forwarding.forwarder)
        ports.clock.advance(1.0)
        answer = await ask(ports)
        assert answer.outcome is Outcome(outcome)
        assert len(sent) == forwards
        assert local.dispatcher.slots.in_use == 1 - forwards


async def test_a_caller_that_leaves_during_forwarding_frees_slot_and_body():
    async def gone(address, request):
        return Failure(RequestNotRun(detail="refused"))

    forwarding, _ = make_forwarding(None)
    started = asyncio.Event()

    async def hang(member, call, timeout_s):
        started.set()
        await asyncio.Event().wait()

    forwarding.forwarder._send = hang
    local = make_ports(THREE, runners=FakeRunners(gone))
    ports = replace(local, forwarder=forwarding.forwarder)
    ports.clock.advance(1.0)
    task = asyncio.ensure_future(ask(ports))
    await started.wait()
    task.cancel()
    await asyncio.wait({task})
    await run_event_loop()
    assert ports.dispatcher.slots.in_use == 0
    assert ports.bodies.held == 0


async def test_the_link_budget_bounds_forwarded_bytes():
    done = CallAnswer(outcome=Outcome.DONE, status=200)
    ports, sent = make_forwarding(done, (FAR,), 20_000)
    for _ in range(50):
        await ask(ports)
    assert 1 <= len(sent) <= 10


async def test_bodies_held_at_once_are_bounded():
    ports = make_ports(runners=GatedRunners(), bodies=BodyBudget(limit=10))
    pipeline = build_request_pipeline(ports)
    calls = [asyncio.ensure_future(pipeline.handle(make_call())) for _ in range(4)]
    await run_event_loop()
    ports.runners.gate.set()
    answers = [answer for _, answer in await asyncio.gather(*calls)]
    refused = [answer for answer in answers if answer.outcome is Outcome.NOT_RUN]
    assert [answer.refusal for answer in refused] == [Refusal.NO_CAPACITY] * 2
    assert ports.bodies.held == 0
