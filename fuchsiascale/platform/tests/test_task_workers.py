"""Contract tests of the worker client, with a table of refusals."""

import asyncio

import aiohttp
import logbook
from aiohttp import web
from aiohttp.client_reqrep import ConnectionKey
from aiohttp.test_utils import TestServer
from returns.result import Success

from fuchsiascale.clock import ManualClock
from fuchsiascale.jobs import (
    Absent,
    EndKind,
    ListedWorker,
    NoAnswer,
    Refused,
    RefusedReason,
    Resources,
    StartRequest,
    WorkerAddress,
)
from fuchsiascale.platform._task_workers import MAX_CONCURRENT_COMMANDS, _Body
from fuchsiascale.platform.user_platform import HttpTaskWorkers
from fuchsiascale.testing import collect_functions
from standins.taskworker import TaskWorkerStandin

load_tests = collect_functions(__name__)

TASK = "5c0e7a21d94b36f8.0.0.1"


class Served:
    """A worker stand-in behind a test server, with a client of it."""

    async def __aenter__(self):
        self.standin = TaskWorkerStandin("i-1")
        self.server = TestServer(self.standin.make_application())
        await self.server.start_server()
        self.session = aiohttp.ClientSession()
        self.client = HttpTaskWorkers(self.session)
        self.worker = self.list_worker("i-1")
        return self

    def list_worker(self, name, server=None):
        server = server or self.server
        return ListedWorker(
            worker=name,
            service="pool",
            address=f"{server.host}:{server.port}",
            domain="a",
            capacity=Resources(),
            labels=(),
        )

    async def __aexit__(self, *exc_info):
        await self.session.close()
        await self.server.close()


def make_request(attempt=1, token=1, until_ms=5_000, checkpoint=""):
    return StartRequest(
        task=TASK,
        attempt=attempt,
        payload="p",
        lease_until_ms=until_ms,
        token=token,
        checkpoint=checkpoint,
    )


def find_reason(reply):
    error = reply.failure()
    return error.reason if isinstance(error, Refused) else type(error)


# name, state of the worker, request, reason of the refusal
REFUSALS = (
    ("lower token", {"token": 9}, make_request(), RefusedReason.FENCED),
    (
        "stopped before",
        {"stopped": {TASK: 1}},
        make_request(),
        RefusedReason.SUPERSEDED,
    ),
    ("lease expired", {"clock_ms": 9_000}, make_request(), RefusedReason.EXPIRED),
    (
        "no room",
        {"capacity": {"cpu": 0, "mem_mb": 0, "gpu": 0}},
        make_request(),
        RefusedReason.NO_ROOM,
    ),
    ("unhealthy", {"refuse": 503}, make_request(), RefusedReason.UNHEALTHY),
    ("too busy", {"refuse": 429}, make_request(), RefusedReason.UNHEALTHY),
    ("response lost", {"lose_answers": 1}, make_request(), NoAnswer),
    ("applied later", {"delay_orders": 1}, make_request(), NoAnswer),
)


async def test_a_refused_start_returns_the_reason():
    for name, state, start, expected in REFUSALS:
        async with Served() as served:
            for attribute, value in state.items():
                setattr(served.standin, attribute, value)
            reply = await served.client.start(served.worker, start)
            assert find_reason(reply) is expected, name


class FailedConnections:
    """A session whose connections are reset before they are established."""

    def post(self, url, **options):
        key = ConnectionKey("h", 80, False, True, None, None, None, None)
        raise aiohttp.ClientConnectorError(key, ConnectionResetError())


async def test_a_connection_reset_before_it_is_made_is_absent_since_nothing_was_sent():
    # A worker with too many connections resets new ones; tasks waited for their stops.
    async with Served() as served:
        client = HttpTaskWorkers(FailedConnections())
        reply = await client.start(served.worker, make_request())
        assert find_reason(reply) is Absent


class BusyWorker:
    """A worker that counts its connections, and holds every request for a while."""

    def __init__(self):
        self.connections = set()
        self.requests = 0
        self.released = asyncio.Event()

    async def handle(self, request):
        self.connections.add(request.transport)
        self.requests += 1
        if not request.path.endswith("hold"):
            await self.released.wait()
        return web.json_response({"clock_ms": 1})

    def make_application(self):
        application = web.Application()
        application.router.add_post("/{path:.*}", self.handle)
        return application


async def test_a_burst_of_commands_takes_few_connections_and_holds_up_no_exchange():
    # Workers reset connections beyond 64, and then took no command for 25 s.
    async with Served() as served:
        busy = BusyWorker()
        server = TestServer(busy.make_application())
        await server.start_server()
        worker = served.list_worker("i-1", server)
        starts = [
            asyncio.create_task(served.client.start(worker, make_request(number)))
            for number in range(1, 31)
        ]
        await asyncio.sleep(0.05)
        reply = await served.client.exchange(worker, 1, 0, None, 0)
        assert isinstance(reply, Success)
        assert len(busy.connections) == MAX_CONCURRENT_COMMANDS + 1
        busy.released.set()
        replies = await asyncio.gather(*starts)
        assert all(isinstance(each, Success) for each in replies)
        assert len(busy.connections) <= MAX_CONCURRENT_COMMANDS + 1
        await server.close()


async def test_a_command_that_waited_for_a_slot_is_named_with_its_wait():
    # Nothing told that a start had waited in the process that sent it.
    async with Served() as served:
        busy = BusyWorker()
        server = TestServer(busy.make_application())
        await server.start_server()
        worker = served.list_worker("i-1", server)
        with logbook.TestHandler() as handler, handler.applicationbound():
            stops = [
                asyncio.create_task(served.client.stop(worker, TASK, number, 7))
                for number in range(1, MAX_CONCURRENT_COMMANDS + 2)
            ]
            await asyncio.sleep(0.4)
            busy.released.set()
            replies = await asyncio.gather(*stops)
        assert all(isinstance(each, Success) for each in replies)
        (line,) = [each for each in handler.records if each.channel == "workers"]
        assert line.message == "command sent late"
        fields = {
            "command": "stop",
            "task": TASK,
            "attempt": MAX_CONCURRENT_COMMANDS + 1,
            "worker": "i-1",
            "token": 7,
            "relayed_for": None,
        }
        assert fields.items() <= line.extra.items()
        assert 0.35 < line.extra["waited_s"] < 0.8
        assert served.client.late_commands.counts == {("own", "sent"): 1}
        await server.close()


PAUSE_S = 3.0


class PausingConnector(aiohttp.TCPConnector):
    """A connector with a pause of the process once it has a connection."""

    def __init__(self, clock):
        super().__init__()
        self.clock = clock

    async def connect(self, *arguments, **options):
        connection = await super().connect(*arguments, **options)
        self.clock.advance(PAUSE_S)
        return connection


class StuckConnector(aiohttp.TCPConnector):
    """A connector that gets no connection."""

    async def connect(self, *arguments, **options):
        await asyncio.Event().wait()


class RecordingServer:
    """A server that records the bytes it gets, and whether connections were reset."""

    async def __aenter__(self):
        self.content = b""
        self.ended = asyncio.Event()
        self._server = await asyncio.start_server(self._handle, "127.0.0.1", 0)
        host, port = self._server.sockets[0].getsockname()
        self.worker = WorkerAddress("i-1", f"{host}:{port}")
        return self

    async def _handle(self, reader, writer):
        try:
            while content := await reader.read(4_096):
                self.content += content
        except ConnectionResetError:
            pass
        self.ended.set()
        writer.close()

    async def __aexit__(self, *exc_info):
        self._server.close()


async def test_a_start_that_has_its_connection_only_after_a_pause_is_not_sent():
    # A worker that had restarted in the pause ran it beside one that started since.
    clock = ManualClock()
    async with (
        RecordingServer() as server,
        aiohttp.ClientSession(connector=PausingConnector(clock)) as session,
    ):
        client = HttpTaskWorkers(session, clock)
        reply = await client.start(server.worker, make_request())
        assert find_reason(reply) is Absent
        await asyncio.wait_for(server.ended.wait(), 5.0)
        assert server.content == b""
        assert client.late_commands.counts == {("own", "dropped"): 1}


async def test_a_stop_that_has_its_connection_only_after_a_pause_is_sent():
    clock = ManualClock()
    async with (
        RecordingServer() as server,
        aiohttp.ClientSession(connector=PausingConnector(clock)) as session,
    ):
        client = HttpTaskWorkers(session, clock)
        reply = await client.stop(server.worker, TASK, 1, 1)
        assert find_reason(reply) is NoAnswer
        assert TASK.encode() in server.content
        await asyncio.wait_for(server.ended.wait(), 5.0)


async def test_a_start_that_waits_for_a_slot_in_a_pause_is_not_sent():
    clock = ManualClock()
    async with Served() as served:
        busy = BusyWorker()
        server = TestServer(busy.make_application())
        await server.start_server()
        worker = served.list_worker("i-1", server)
        client = HttpTaskWorkers(served.session, clock)
        stops = [
            asyncio.create_task(client.stop(worker, TASK, number, 1))
            for number in range(MAX_CONCURRENT_COMMANDS)
        ]
        start = asyncio.create_task(client.start(worker, make_request()))
        await asyncio.sleep(0.05)
        clock.advance(PAUSE_S)
        busy.released.set()
        assert find_reason(await start) is Absent
        replies = await asyncio.gather(*stops)
        assert all(isinstance(each, Success) for each in replies)
        assert busy.requests == MAX_CONCURRENT_COMMANDS
        await server.close()


async def test_a_start_that_gets_no_connection_in_time_is_absent():
    async with (
        RecordingServer() as server,
        aiohttp.ClientSession(connector=StuckConnector()) as session,
    ):
        reply = await HttpTaskWorkers(session).start(server.worker, make_request())
        assert find_reason(reply) is Absent
        assert server.content == b""


async def test_a_start_that_was_sent_before_a_pause_counts_as_unanswered():
    # It may have been carried out, so a reply that says otherwise would be false.
    clock = ManualClock()
    async with Served() as served:

        async def handle(request):
            await request.read()
            clock.advance(PAUSE_S)
            request.transport.abort()
            return web.Response()

        application = web.Application()
        application.router.add_post("/{path:.*}", handle)
        server = TestServer(application)
        await server.start_server()
        client = HttpTaskWorkers(served.session, clock)
        worker = served.list_worker("i-1", server)
        reply = await client.start(worker, make_request())
        assert find_reason(reply) is NoAnswer
        await server.close()


async def test_a_redirected_start_is_not_sent_again_late_and_may_have_been_run():
    clock = ManualClock()
    async with Served() as served:
        requests = []

        async def handle(request):
            requests.append(await request.text())
            clock.advance(PAUSE_S)
            raise web.HTTPTemporaryRedirect("/other")

        application = web.Application()
        application.router.add_post("/{path:.*}", handle)
        server = TestServer(application)
        await server.start_server()
        client = HttpTaskWorkers(served.session, clock)
        worker = served.list_worker("i-1", server)
        reply = await client.start(worker, make_request())
        assert find_reason(reply) is NoAnswer
        assert len(requests) == 1
        await server.close()


async def test_a_body_that_was_withdrawn_is_not_written():
    # The session may still write it after its caller has been told that nothing was.
    written = []

    class Writer:
        async def write(self, content):
            written.append(content)

    body = _Body({}, ManualClock(), 1.0)
    assert body.withdraw()
    try:
        await body.write_with_length(Writer(), None)
    except aiohttp.ClientConnectionError:
        pass
    else:
        raise AssertionError("no exception")
    assert written == []
    body = _Body({}, ManualClock(), 1.0)
    await body.write_with_length(Writer(), None)
    assert written == [b"{}"]
    assert not body.withdraw()


async def test_a_start_is_idempotent_by_its_attempt():
    async with Served() as served:
        for _ in range(2):
            reply = await served.client.start(served.worker, make_request())
            assert isinstance(reply, Success)
        assert served.standin.starts == [(TASK, 1, 1)]


async def test_another_incarnation_refuses_a_start():
    async with Served() as served:
        reply = await served.client.start(served.list_worker("i-2"), make_request())
        assert find_reason(reply) is RefusedReason.OTHER_INCARNATION


async def test_a_refused_connection_is_absent_since_nothing_was_sent():
    async with Served() as served:
        await served.server.close()
        reply = await served.client.start(served.worker, make_request())
        assert find_reason(reply) is Absent


async def test_an_exchange_lists_running_and_ended_attempts():
    async with Served() as served:
        await served.client.start(served.worker, make_request(checkpoint="c0"))
        found = (await served.client.exchange(served.worker, 1, 0, 5_000, 0)).unwrap()
        assert [
            (each.task, each.attempt, each.checkpoint) for each in found.running
        ] == [(TASK, 1, "c0")]
        served.standin.finish(TASK, "failed", "c1")
        found = (await served.client.exchange(served.worker, 1, 0, 5_000, 100)).unwrap()
        end = found.ended[0]
        assert (end.number, end.end_kind, end.checkpoint) == (1, EndKind.FAILED, "c1")
        found = (await served.client.exchange(served.worker, 1, 1, None, 0)).unwrap()
        assert found.ended == ()


async def test_an_inventory_as_long_as_it_may_be_may_lack_ends():
    async with Served() as served:
        served.standin.ended += [
            [number, TASK, number, "failed", ""] for number in range(1, 500)
        ]
        found = (await served.client.exchange(served.worker, 1, 0, None, 0)).unwrap()
        assert found.lists_all_ends
        served.standin.ended.append([500, TASK, 500, "failed", ""])
        found = (await served.client.exchange(served.worker, 1, 0, None, 0)).unwrap()
        assert not found.lists_all_ends


async def test_a_stop_prevents_a_late_start():
    async with Served() as served:
        served.standin.delay_orders = 1
        await served.client.start(served.worker, make_request())
        await served.client.stop(served.worker, TASK, 1, 1)
        assert served.standin.apply_delayed() == [409]
        assert served.standin.starts == []


async def test_an_unreadable_inventory_is_no_answer():
    rows = (
        [1, TASK, 1, "in another way", ""],
        [1, TASK, "first", "done", ""],
        [1, 7, 1, "done", ""],
        [1, TASK],
    )
    for row in rows:
        async with Served() as served:
            served.standin.ended.append(row)
            reply = await served.client.exchange(served.worker, 1, 0, None, 0)
            assert find_reason(reply) is NoAnswer, row


async def test_a_running_attempt_accepts_a_pace():
    async with Served() as served:
        await served.client.start(served.worker, make_request())
        reply = await served.client.pace(served.worker, TASK, 1, 40, 1)
        assert isinstance(reply, Success)
