"""Measures the costs of credits, admission, claims and HTTP calls."""

import asyncio
import queue
import threading
import time

import aiohttp
import msgspec
from aiohttp import web

from fuchsiascale.clock import ManualClock
from fuchsiascale.coordination import (
    ClaimRecord,
    CreditRequest,
    CreditTerms,
    CreditWish,
    HeldClaim,
    SlotLedger,
)
from fuchsiascale.decisions import (
    AdmissionPool,
    ShareKey,
    Ticket,
    VerdictKind,
    offer_ticket,
    release_ticket,
)
from fuchsiascale.platform import (
    NO_TOKEN,
)
from fuchsiascale.states import (
    Outcome,
)
from measurements._slopes import (
    HTTP_BYTES,
    measure_cpu_us,
    register_cost,
)
from measurements._work_costs import TOKEN

HTTP_CALLS = 500
START_TIMEOUT_S = 10.0


def make_credit_request(number, runners):
    """Return an instance's request for credits on a number of runners."""
    return CreditRequest(
        instance=f"norte-porto-e{number % 8}",
        incarnation=1_800_000_000_000,
        shard="norte-porto:rack1",
        sequence=number,
        wishes=tuple(
            CreditWish(runner=f"norte-porto-r{each}", slots=4, kept=2, floor=1)
            for each in range(runners)
        ),
    )


@register_cost(
    "credit_bytes", "ask for credits and answer, bytes, by runners", (1, 11, 33)
)
def measure_credit_bytes(runners):
    """Return the bytes of a request for credits and its reply."""
    ledger = SlotLedger(ManualClock(1_000.0))
    request = make_credit_request(1, runners)
    reply = ledger.lend(request, make_held_claims(runners), make_terms(runners), 8)
    sizes = [len(msgspec.json.encode(message)) for message in (request, reply)]
    return sum(sizes) + 2 * HTTP_BYTES


def make_held_claims(runners):
    """Return the claims held on the workers of a number of runners."""
    held_claim = HeldClaim(
        token=TOKEN, previous=NO_TOKEN, claimed_s=900.0, confirmed_s=1e9
    )
    return {f"norte-porto-r{each}": held_claim for each in range(runners)}


def make_terms(runners):
    """Return the terms on which the slots of a number of runners are lent."""
    terms = CreditTerms(slots=8, drain_s=2.5)
    return {f"norte-porto-r{each}": terms for each in range(runners)}


@register_cost(
    "credit_cpu", "ask for credits at the owner, µs, by runners", (1, 11, 33)
)
def measure_credit_cpu(runners):
    """Return the owner's processor time per credit request, with eight instances."""
    clock = ManualClock(1_000.0)
    ledger, held_claims = SlotLedger(clock), make_held_claims(runners)
    terms, numbers = make_terms(runners), iter(range(10**9))

    def request_credits():
        clock.advance(0.5)
        ledger.lend(make_credit_request(next(numbers), runners), held_claims, terms, 8)

    return measure_cpu_us(request_credits)


@register_cost(
    "admission_cpu", "admission a request, µs, by waiting teams", (1, 35, 350)
)
def measure_admission_cpu(teams):
    """Return the processor time of an offer and a release while all teams wait."""
    pool = AdmissionPool(capacity=8)
    keys = [ShareKey(team=f"team{number}", kind="hub") for number in range(teams)]
    admitted = []

    def offer(number):
        ticket = Ticket(request="r", share=keys[number % teams], deadline_ms=1e12)
        return offer_ticket(pool, ticket, 0.0)

    for number in range(8 + 4 * teams):
        admitted += [
            entry.ticket
            for entry in offer(number)
            if entry.kind is VerdictKind.ADMITTED
        ]
    numbers = iter(range(10**9))

    def serve():
        offer(next(numbers))
        for verdict in release_ticket(pool, admitted.pop(0), 20.0, 0.0):
            admitted.append(verdict.ticket)

    return measure_cpu_us(serve)


@register_cost(
    "claim_bytes", "claim row, bytes, by bytes of the answer", (0, 1_000, 10_000)
)
def measure_claim_bytes(answer_bytes):
    """Return the bytes of a settled claim row."""
    record = ClaimRecord(
        key="booking-2026-11-03-17",
        team="norte",
        request="0" * 24,
        holder="norte-porto-e0",
        body_digest="0" * 64,
        outcome=Outcome.DONE,
        settled=True,
        answer=bytes(answer_bytes),
    )
    return len(msgspec.json.encode(record))


async def echo_body(request):
    """Answer a request with its body."""
    return web.Response(body=await request.read())


def run_server(started):
    """Serve until the event passed through ``started`` is set."""

    async def serve():
        application = web.Application(client_max_size=10**7)
        application.router.add_post("/", echo_body)
        runner = web.AppRunner(application, access_log=None)
        await runner.setup()
        site = web.TCPSite(runner, "127.0.0.1", 0)
        await site.start()
        stop = asyncio.Event()
        started.put((runner.addresses[0][1], asyncio.get_running_loop(), stop))
        await stop.wait()
        await runner.cleanup()

    asyncio.run(serve())


async def measure_call_us(port, size):
    """Return the calling thread's processor time per call, in microseconds."""
    body = bytes(size)
    async with aiohttp.ClientSession() as session:

        async def call(count):
            for _ in range(count):
                async with session.post(
                    f"http://127.0.0.1:{port}/", data=body
                ) as response:
                    await response.read()

        await call(50)
        begin_s = time.thread_time()
        await call(HTTP_CALLS)
        return (time.thread_time() - begin_s) / HTTP_CALLS * 1e6


@register_cost(
    "http_cpu", "HTTP call at the client, µs, by body bytes", (0, 2_700, 8_300)
)
def measure_http_cpu(size):
    """Return the client's processor time per call with a body of a given size."""
    started = queue.Queue()
    server = threading.Thread(target=run_server, args=(started,))
    server.start()
    port, loop, stop = started.get(timeout=START_TIMEOUT_S)
    try:
        return asyncio.run(measure_call_us(port, size))
    finally:
        loop.call_soon_threadsafe(stop.set)
        server.join()
