"""Contract tests of the workers port, with a table of faults."""

import asyncio

import aiohttp
from returns.result import Success

from fuchsiascale.ids import AttemptNumber, InstanceId, JobKindId, TaskId
from fuchsiascale.platform import (
    AttemptKey,
    ClaimRequest,
    ExchangeRequest,
    Fenced,
    FencingToken,
    HttpObjects,
    HttpWorkers,
    Resources,
    StartCommand,
    StartRequest,
    Unavailable,
    Uncertain,
)
from fuchsiascale.platform.tests._standins import TIMEOUT_S, set_faults, wait_until
from fuchsiascale.states import AttemptState
from fuchsiascale.testing import collect_functions
from standins._journal import Event

load_tests = collect_functions(__name__)

LEASE_MS = 5_000
TOKEN = FencingToken(counter=2, holder=InstanceId("e1"))
OLD_TOKEN = FencingToken(counter=1, holder=InstanceId("e9"))
NEW_TOKEN = FencingToken(counter=2, holder=InstanceId("e2"))

# name, faults, result of a start under them, starts in the worker's journal
START_FAULTS = (
    ("none", {}, Success, 1),
    ("down", {"down": True}, Unavailable, 0),
    ("responds with 503", {"unavailable": True}, Unavailable, 0),
    ("request lost", {"cut": {"after_body": 1}}, Uncertain, 0),
    ("reply lost", {"cut": {"after_effect": 1}}, Uncertain, 1),
    ("late response", {"late_answer_ms": 900}, Uncertain, 1),
    ("truncated response", {"truncated_answers": 1}, Uncertain, 1),
)


def claim(token=TOKEN):
    return ClaimRequest(token=token, lease_ms=LEASE_MS)


def exchange(token=TOKEN, **commands):
    return ExchangeRequest(token=token, lease_ms=LEASE_MS, **commands)


def start(task, attempt=1, token=TOKEN, **fields):
    command = StartCommand(
        task=TaskId(task),
        attempt=AttemptNumber(attempt),
        kind=JobKindId("report"),
        demand=Resources(millicores=100, memory_mb=100),
        run_ms=60_000,
        **fields,
    )
    return StartRequest(token=token, starts=(command,))


def name_attempt(task, attempt=1):
    return AttemptKey(task=TaskId(task), attempt=AttemptNumber(attempt))


def classify_result(result):
    return Success if isinstance(result, Success) else type(result.failure())


def count_starts(standin, task):
    entries = standin.read_journal()
    return sum(e.event is Event.STARTED and e.task == task for e in entries)


async def test_starts_under_faults(worker_standin):
    async with aiohttp.ClientSession() as session:
        workers = HttpWorkers(session, TIMEOUT_S)
        address = worker_standin.address
        await workers.claim(address, claim())
        for name, faults, expected, starts in START_FAULTS:
            await set_faults(worker_standin, **faults)
            result = await workers.start(address, start(name))
            await set_faults(worker_standin)
            assert classify_result(result) is expected, (name, result)
            assert count_starts(worker_standin, name) == starts, name
            again = (await workers.start(address, start(name))).unwrap()
            assert again.results[0].started, name
            assert count_starts(worker_standin, name) == 1, name
            inventory = (await workers.exchange(address, exchange())).unwrap().inventory
            assert name_attempt(name) in {held.key for held in inventory.attempts}


async def test_only_commands_with_the_highest_token_are_accepted(worker_standin):
    async with aiohttp.ClientSession() as session:
        workers = HttpWorkers(session, TIMEOUT_S)
        address = worker_standin.address
        unclaimed = await workers.start(address, start("t"))
        assert classify_result(unclaimed) is Fenced
        granted = (await workers.claim(address, claim())).unwrap()
        assert granted.inventory.capacity.millicores == 4000
        await workers.start(address, start("t"))
        refused = (await workers.claim(address, claim(OLD_TOKEN))).failure()
        assert refused == Fenced(highest=TOKEN)
        taken = (await workers.claim(address, claim(NEW_TOKEN))).unwrap()
        assert [held.task for held in taken.inventory.attempts] == ["t"]
        for late in (
            await workers.start(address, start("u")),
            await workers.exchange(address, exchange()),
        ):
            assert late.failure() == Fenced(highest=NEW_TOKEN)
        assert count_starts(worker_standin, "u") == 0


async def test_a_checkpoint_is_stored_before_it_is_reported(
    worker_standin, objects_standin
):
    async with aiohttp.ClientSession() as session:
        workers = HttpWorkers(session, TIMEOUT_S)
        objects = HttpObjects(session, objects_standin.base_url, TIMEOUT_S)
        address = worker_standin.address
        await workers.claim(address, claim())
        await workers.start(address, start("t"))
        evict = exchange(checkpoints=(name_attempt("t"),))
        await set_faults(objects_standin, unavailable=True)
        kept = (await workers.exchange(address, evict)).unwrap().inventory.attempts
        assert [held.state for held in kept] == [AttemptState.RUNNING]
        await set_faults(objects_standin)
        ended = (await workers.exchange(address, evict)).unwrap().inventory.attempts
        assert [held.state for held in ended] == [AttemptState.CHECKPOINTED]
        key = ended[0].checkpoint
        assert await objects.exists(key) == Success(True)
        resumed = await workers.start(address, start("t", 2, checkpoint=key))
        assert resumed.unwrap().results[0].started
        lost = await workers.start(address, start("u", checkpoint="lost"))
        assert not lost.unwrap().results[0].started


async def test_a_paused_worker_stops_its_attempts_when_resumed(worker_standin):
    async with aiohttp.ClientSession() as session:
        workers = HttpWorkers(session, TIMEOUT_S)
        address = worker_standin.address
        await workers.claim(address, ClaimRequest(token=TOKEN, lease_ms=300))
        await workers.start(address, start("t"))
        worker_standin.pause()
        await asyncio.sleep(0.4)
        paused = await workers.exchange(address, exchange())
        assert classify_result(paused) is Uncertain
        worker_standin.resume()

        async def has_responded():
            result = await workers.exchange(address, exchange())
            return classify_result(result) is Success

        await wait_until(has_responded)
        ended = (await workers.exchange(address, exchange())).unwrap().inventory
        assert [held.state for held in ended.attempts] == [AttemptState.STOPPED]
