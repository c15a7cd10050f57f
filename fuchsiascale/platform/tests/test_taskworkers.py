"""Contract of the client of the users' workers, with the faults as a table."""

import aiohttp
from aiohttp.test_utils import TestServer
from returns.result import Success

from fuchsiascale.jobs import (
    Absent,
    EndKind,
    ListedWorker,
    NoAnswer,
    Refused,
    RefusedReason,
    Resources,
    StartRequest,
)
from fuchsiascale.platform.userplatform import HttpTaskWorkers
from fuchsiascale.testing import collect_functions
from standins.taskworker import TaskWorkerStandin

load_tests = collect_functions(__name__)

TASK = "5c0e7a21d94b36f8.0.0.1"


class Served:
    """A worker stand-in behind a port, and a client of it."""

    async def __aenter__(self):
        self.standin = TaskWorkerStandin("i-1")
        self.server = TestServer(self.standin.make_application())
        await self.server.start_server()
        self.session = aiohttp.ClientSession()
        self.calls = HttpTaskWorkers(self.session)
        self.worker = self.listed("i-1")
        return self

    def listed(self, name):
        return ListedWorker(
            worker=name,
            service="pool",
            address=f"{self.server.host}:{self.server.port}",
            domain="a",
            capacity=Resources(),
            labels=(),
        )

    async def __aexit__(self, *exc_info):
        await self.session.close()
        await self.server.close()


def order(attempt=1, token=1, until_ms=5_000, checkpoint=""):
    return StartRequest(
        task=TASK,
        attempt=attempt,
        payload="p",
        lease_until_ms=until_ms,
        token=token,
        checkpoint=checkpoint,
    )


def reason_of(reply):
    error = reply.failure()
    return error.reason if isinstance(error, Refused) else type(error)


# name, what is done to the worker before, the order, why it is refused
REFUSALS = (
    ("lower token", {"token": 9}, order(), RefusedReason.FENCED),
    ("stopped before", {"stopped": {TASK: 1}}, order(), RefusedReason.SUPERSEDED),
    ("lease over", {"clock_ms": 9_000}, order(), RefusedReason.EXPIRED),
    (
        "no room",
        {"capacity": {"cpu": 0, "mem_mb": 0, "gpu": 0}},
        order(),
        RefusedReason.NO_ROOM,
    ),
    ("unhealthy", {"refuse": 503}, order(), RefusedReason.UNHEALTHY),
    ("too busy", {"refuse": 429}, order(), RefusedReason.UNHEALTHY),
    ("answer lost", {"lose_answers": 1}, order(), NoAnswer),
    ("carried out later", {"delay_orders": 1}, order(), NoAnswer),
)


async def test_a_start_that_is_refused_says_why():
    for name, state, start, expected in REFUSALS:
        async with Served() as served:
            for attribute, value in state.items():
                setattr(served.standin, attribute, value)
            reply = await served.calls.start(served.worker, start)
            assert reason_of(reply) is expected, name


async def test_a_start_is_idempotent_by_its_attempt():
    async with Served() as served:
        for _ in range(2):
            reply = await served.calls.start(served.worker, order())
            assert isinstance(reply, Success)
        assert served.standin.starts == [(TASK, 1, 1)]


async def test_another_incarnation_refuses():
    async with Served() as served:
        reply = await served.calls.start(served.listed("i-2"), order())
        assert reason_of(reply) is RefusedReason.OTHER_INCARNATION


async def test_a_refused_connection_means_that_nothing_was_done():
    async with Served() as served:
        await served.server.close()
        reply = await served.calls.start(served.worker, order())
        assert reason_of(reply) is Absent


async def test_an_exchange_lists_what_runs_and_what_has_ended():
    async with Served() as served:
        await served.calls.start(served.worker, order(checkpoint="c0"))
        found = (await served.calls.exchange(served.worker, 1, 0, 5_000, 0)).unwrap()
        assert [
            (each.task, each.attempt, each.checkpoint) for each in found.running
        ] == [(TASK, 1, "c0")]
        served.standin.finish(TASK, "failed", "c1")
        found = (await served.calls.exchange(served.worker, 1, 0, 5_000, 100)).unwrap()
        end = found.ended[0]
        assert (end.number, end.end_kind, end.checkpoint) == (1, EndKind.FAILED, "c1")
        found = (await served.calls.exchange(served.worker, 1, 1, None, 0)).unwrap()
        assert found.ended == ()


async def test_a_stop_keeps_a_late_start_from_coming_true():
    async with Served() as served:
        served.standin.delay_orders = 1
        await served.calls.start(served.worker, order())
        await served.calls.stop(served.worker, TASK, 1, 1)
        assert served.standin.apply_delayed() == [409]
        assert served.standin.starts == []


async def test_an_unreadable_inventory_is_no_answer():
    async with Served() as served:
        served.standin.ended.append([1, TASK, 1, "in another way", ""])
        reply = await served.calls.exchange(served.worker, 1, 0, None, 0)
        assert reason_of(reply) is NoAnswer


async def test_pace_reaches_a_running_attempt():
    async with Served() as served:
        await served.calls.start(served.worker, order())
        reply = await served.calls.pace(served.worker, TASK, 1, 40, 1)
        assert isinstance(reply, Success)
