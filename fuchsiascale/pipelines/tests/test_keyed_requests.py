"""Tests of idempotency keys through the pipeline, with a store that fails."""

import asyncio
import math
from random import Random

import msgspec
from returns.result import Failure

from fuchsiascale.coordination import (
    CLAIMS_TABLE,
    ClaimRecord,
    KeyClaims,
    format_claim_key,
)
from fuchsiascale.pipelines import build_request_pipeline
from fuchsiascale.pipelines.tests._fakes import (
    FakeRunners,
    make_call,
    make_ports,
)
from fuchsiascale.platform import RequestNotRun, RequestUncertain, Uncertain
from fuchsiascale.platform.tests.fakes import FakeTables
from fuchsiascale.states import Outcome, Refusal
from fuchsiascale.testing import collect_functions, fixture

load_tests = collect_functions(__name__)

KEY = "booking-7"


@fixture
def claim_tables():
    yield FakeTables()


def make_instance(claim_tables, runners=None, seed=1):
    """Return the ports and pipeline of one instance on a shared store."""
    ports = make_ports(
        ("runner-1", "runner-2", "runner-3", "runner-4", "runner-5"),
        runners=runners or FakeRunners(),
        claims=KeyClaims(claim_tables, Random(seed)),
        random=Random(seed + 100),
    )
    return ports, build_request_pipeline(ports)


def read_row(claim_tables):
    row = claim_tables.rows[CLAIMS_TABLE, format_claim_key("schools", KEY)]
    return msgspec.json.decode(row.value, type=ClaimRecord)


async def ask(pipeline, **headers):
    _, answer = await pipeline.handle(make_call(idempotency_key=KEY, **headers))
    return answer


async def test_with_the_store_down_keyed_requests_are_not_run(claim_tables):
    claim_tables.down = True
    ports, pipeline = make_instance(claim_tables)
    answer = await ask(pipeline)
    assert answer.outcome is Outcome.NOT_RUN
    assert answer.refusal is Refusal.STORE_UNAVAILABLE
    assert not ports.runners.sent
    _, unkeyed = await pipeline.handle(make_call())
    assert unkeyed.outcome is Outcome.DONE


async def test_a_claim_whose_reply_is_lost_is_not_sent_and_can_be_retried(
    claim_tables,
):
    claim_tables.lost_replies = math.inf
    ports, pipeline = make_instance(claim_tables)
    answer = await ask(pipeline)
    assert answer.refusal is Refusal.STORE_UNAVAILABLE
    assert not ports.runners.sent
    assert not read_row(claim_tables).settled
    claim_tables.lost_replies = 0
    _, other = make_instance(claim_tables, seed=2)
    assert (await ask(other)).outcome is Outcome.UNKNOWN
    assert await ports.claims.record_pending_outcomes() == 0
    assert read_row(claim_tables).outcome is Outcome.NOT_RUN
    assert (await ask(other)).outcome is Outcome.DONE


async def test_a_claim_that_arrives_after_it_was_abandoned_is_fenced(claim_tables):
    ports, pipeline = make_instance(claim_tables)
    late = []
    transact = claim_tables.transact

    async def hold(transaction):
        if not late:
            late.append(transaction)
            claim_tables.transact = transact
            return Failure(Uncertain(detail="reply lost"))
        return await transact(transaction)

    claim_tables.transact = hold
    assert (await ask(pipeline)).refusal is Refusal.STORE_UNAVAILABLE
    assert await ports.claims.record_pending_outcomes() == 0
    assert isinstance(await claim_tables.transact(late[0]), Failure)
    assert read_row(claim_tables).outcome is Outcome.NOT_RUN
    assert not ports.runners.sent


async def test_a_claim_whose_holder_never_answers_stays_unknown(claim_tables):
    sent = asyncio.Event()

    async def hang(address, request):
        sent.set()
        await asyncio.Event().wait()

    _, killed = make_instance(claim_tables, FakeRunners(hang))
    task = asyncio.ensure_future(ask(killed))
    await sent.wait()
    ports, other = make_instance(claim_tables, seed=2)
    answer = await ask(other)
    assert answer.outcome is Outcome.UNKNOWN
    assert answer.refusal is Refusal.KEY_IN_PROGRESS
    assert not ports.runners.sent
    task.cancel()
    await asyncio.wait({task})


async def test_a_claim_whose_caller_disconnected_can_be_retried(claim_tables):
    ports, first = make_instance(claim_tables)
    task = asyncio.ensure_future(ask(first))
    await asyncio.sleep(0)
    await asyncio.sleep(0)
    task.cancel()
    await asyncio.wait({task})
    await first.drain()
    assert not ports.runners.sent
    assert read_row(claim_tables).outcome is Outcome.NOT_RUN
    _, other = make_instance(claim_tables, seed=2)
    assert (await ask(other)).outcome is Outcome.DONE


async def test_a_claim_that_passes_the_deadline_is_not_sent(claim_tables):
    gate = asyncio.Event()
    transact = claim_tables.transact

    async def stall(transaction):
        await gate.wait()
        return await transact(transaction)

    claim_tables.transact = stall
    ports, first = make_instance(claim_tables)
    answer = await ask(first, deadline_ms="40")
    assert answer.refusal is Refusal.STORE_UNAVAILABLE
    gate.set()
    await first.drain()
    assert not ports.runners.sent
    assert read_row(claim_tables).outcome is Outcome.NOT_RUN


async def test_repeats_at_other_instances_run_at_most_once(claim_tables):
    instances = [make_instance(claim_tables, seed=seed) for seed in range(1, 5)]
    answers = await asyncio.gather(
        *(ask(pipeline) for _, pipeline in instances for _ in range(5))
    )
    assert sum(len(ports.runners.sent) for ports, _ in instances) == 1
    assert {answer.outcome for answer in answers} <= {Outcome.DONE, Outcome.UNKNOWN}
    again = await ask(instances[3][1])
    assert (again.outcome, again.body) == (Outcome.DONE, b"take")


async def test_a_key_whose_request_was_not_run_can_be_retried(claim_tables):
    async def refused(address, request):
        return Failure(RequestNotRun(detail="full"))

    _, first = make_instance(claim_tables, FakeRunners(refused))
    assert (await ask(first)).outcome is Outcome.NOT_RUN
    _, other = make_instance(claim_tables, seed=2)
    assert (await ask(other)).outcome is Outcome.DONE


async def test_an_unknown_outcome_stays_unknown(claim_tables):
    async def cut(address, request):
        return Failure(RequestUncertain(detail="cut"))

    first_ports, first = make_instance(claim_tables, FakeRunners(cut))
    for number in range(20):
        call = make_call(idempotency_key=f"k{number}", idempotent="true")
        await first.handle(call)
    assert len(first_ports.runners.sent) == 20
    assert (await ask(first, idempotent="true")).outcome is Outcome.UNKNOWN
    ports, other = make_instance(claim_tables, seed=2)
    assert (await ask(other)).outcome is Outcome.UNKNOWN
    assert not ports.runners.sent


async def test_an_outcome_that_the_store_missed_is_recorded_later(claim_tables):
    ports, pipeline = make_instance(claim_tables)

    async def answer_then_fail(address, request):
        claim_tables.down = True
        return await ports.runners.echo(address, request)

    ports.runners.answer = answer_then_fail
    assert (await ask(pipeline)).outcome is Outcome.DONE
    assert ports.claims.pending == 1
    assert await ports.claims.record_pending_outcomes() == 1
    claim_tables.down = False
    assert await ports.claims.record_pending_outcomes() == 0
    _, other = make_instance(claim_tables, seed=2)
    repeat = await ask(other)
    assert (repeat.outcome, repeat.body) == (Outcome.DONE, b"take")


async def test_concurrent_claims_share_a_transaction(claim_tables):
    _, pipeline = make_instance(claim_tables)
    calls = [make_call(idempotency_key=f"k{number}") for number in range(6)]
    await asyncio.gather(*(pipeline.handle(call) for call in calls))
    assert len(claim_tables.rows) == 6
    assert claim_tables.transactions <= 6


async def test_expired_rows_are_removed(claim_tables):
    ports, pipeline = make_instance(claim_tables)
    await ask(pipeline)
    for _ in range(2_000):
        await ports.claims.delete_expired(read_row(claim_tables).expires_ms - 1)
    assert claim_tables.rows
    for _ in range(2_000):
        await ports.claims.delete_expired(10**15)
    assert not claim_tables.rows
