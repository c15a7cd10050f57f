"""Tests of idempotency keys through the pipeline, with a store that fails."""

import asyncio
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
    FakeTables,
    make_call,
    make_ports,
)
from fuchsiascale.platform import RequestNotRun, RequestUncertain, Uncertain
from fuchsiascale.states import Outcome, Refusal
from fuchsiascale.testing import collect_functions, fixture

load_tests = collect_functions(__name__)

KEY = "booking-7"


@fixture
def tables():
    yield FakeTables()


def make_instance(tables, runners=None, seed=1):
    """Return the ports and pipeline of one instance on a shared store."""
    ports = make_ports(
        runners=runners or FakeRunners(),
        claims=KeyClaims(tables, Random(seed)),
        random=Random(seed + 100),
    )
    return ports, build_request_pipeline(ports)


def read_row(tables):
    row = tables.rows[CLAIMS_TABLE, format_claim_key("schools", KEY)]
    return msgspec.json.decode(row.value, type=ClaimRecord)


async def ask(pipeline, **headers):
    _, answer = await pipeline.handle(make_call(idempotency_key=KEY, **headers))
    return answer


async def test_with_the_store_down_keyed_requests_are_not_run(tables):
    tables.down = True
    ports, pipeline = make_instance(tables)
    answer = await ask(pipeline)
    assert answer.outcome is Outcome.NOT_RUN
    assert answer.refusal is Refusal.STORE_UNAVAILABLE
    assert not ports.runners.sent
    _, unkeyed = await pipeline.handle(make_call())
    assert unkeyed.outcome is Outcome.DONE


async def test_a_claim_whose_reply_is_lost_is_not_sent_and_can_be_tried_again(tables):
    tables.lose_reply = True
    ports, pipeline = make_instance(tables)
    answer = await ask(pipeline)
    assert answer.refusal is Refusal.STORE_UNAVAILABLE
    assert not ports.runners.sent
    assert not read_row(tables).settled
    tables.lose_reply = False
    _, other = make_instance(tables, seed=2)
    assert (await ask(other)).outcome is Outcome.UNKNOWN
    assert await ports.claims.record_ends() == 0
    assert read_row(tables).outcome is Outcome.NOT_RUN
    assert (await ask(other)).outcome is Outcome.DONE


async def test_a_claim_that_arrives_after_it_was_given_up_is_fenced(tables):
    ports, pipeline = make_instance(tables)
    late = []
    transact = tables.transact

    async def hold(transaction):
        if not late:
            late.append(transaction)
            tables.transact = transact
            return Failure(Uncertain(detail="reply lost"))
        return await transact(transaction)

    tables.transact = hold
    assert (await ask(pipeline)).refusal is Refusal.STORE_UNAVAILABLE
    assert await ports.claims.record_ends() == 0
    assert isinstance(await tables.transact(late[0]), Failure)
    assert read_row(tables).outcome is Outcome.NOT_RUN
    assert not ports.runners.sent


async def test_a_claim_whose_holder_never_answers_stays_unknown(tables):
    sent = asyncio.Event()

    async def hang(address, request):
        sent.set()
        await asyncio.Event().wait()

    _, killed = make_instance(tables, FakeRunners(hang))
    task = asyncio.ensure_future(ask(killed))
    await sent.wait()
    ports, other = make_instance(tables, seed=2)
    answer = await ask(other)
    assert answer.outcome is Outcome.UNKNOWN
    assert answer.refusal is Refusal.KEY_IN_PROGRESS
    assert not ports.runners.sent
    task.cancel()
    await asyncio.wait({task})


async def test_repeats_at_other_instances_run_once_at_most(tables):
    instances = [make_instance(tables, seed=seed) for seed in range(1, 5)]
    answers = await asyncio.gather(
        *(ask(pipeline) for _, pipeline in instances for _ in range(5))
    )
    assert sum(len(ports.runners.sent) for ports, _ in instances) == 1
    assert {answer.outcome for answer in answers} <= {Outcome.DONE, Outcome.UNKNOWN}
    again = await ask(instances[3][1])
    assert (again.outcome, again.body) == (Outcome.DONE, b"take")


async def test_a_key_that_was_not_run_may_be_tried_again(tables):
    async def refused(address, request):
        return Failure(RequestNotRun(detail="full"))

    _, first = make_instance(tables, FakeRunners(refused))
    assert (await ask(first)).outcome is Outcome.NOT_RUN
    _, other = make_instance(tables, seed=2)
    assert (await ask(other)).outcome is Outcome.DONE


async def test_an_unknown_end_stays_unknown(tables):
    async def cut(address, request):
        return Failure(RequestUncertain(detail="cut"))

    _, first = make_instance(tables, FakeRunners(cut))
    assert (await ask(first, idempotent="true")).outcome is Outcome.UNKNOWN
    ports, other = make_instance(tables, seed=2)
    assert (await ask(other)).outcome is Outcome.UNKNOWN
    assert not ports.runners.sent


async def test_an_end_that_the_store_missed_is_recorded_later(tables):
    ports, pipeline = make_instance(tables)

    async def answer_then_fail(address, request):
        tables.down = True
        return await ports.runners.echo(address, request)

    ports.runners.answer = answer_then_fail
    assert (await ask(pipeline)).outcome is Outcome.DONE
    assert ports.claims.pending == 1
    assert await ports.claims.record_ends() == 1
    tables.down = False
    assert await ports.claims.record_ends() == 0
    _, other = make_instance(tables, seed=2)
    repeat = await ask(other)
    assert (repeat.outcome, repeat.body) == (Outcome.DONE, b"take")


async def test_claims_that_come_together_share_a_transaction(tables):
    _, pipeline = make_instance(tables)
    calls = [make_call(idempotency_key=f"k{number}") for number in range(6)]
    await asyncio.gather(*(pipeline.handle(call) for call in calls))
    assert len(tables.rows) == 6
    assert tables.transactions <= 6


async def test_expired_rows_are_removed(tables):
    ports, pipeline = make_instance(tables)
    await ask(pipeline)
    for _ in range(2_000):
        await ports.claims.sweep(read_row(tables).expires_ms - 1)
    assert tables.rows
    for _ in range(2_000):
        await ports.claims.sweep(10**15)
    assert not tables.rows
