"""A listener behind a gate, over loopback connections within one process."""

import asyncio
import contextlib
import socket

import msgspec
from aiohttp import ClientSession, web
from returns.result import Failure

from fuchsiascale.ingress import (
    Gate,
    IngressSettings,
    IngressSite,
    Phase,
    Refusal,
    derive_limits,
    read_body,
)
from fuchsiascale.testing import collect_functions

load_tests = collect_functions(__name__)

LIMIT = 262_144
LIMITS = derive_limits(IngressSettings(), 200, 4_100, "caller")


class Served:
    """A listener with one gate and the requests that its handlers have seen."""

    def __init__(self, **changes):
        self.gate = Gate("caller", msgspec.structs.replace(LIMITS, **changes))
        self.handled = []
        self.hold = asyncio.Event()
        self.hold.set()

    async def __aenter__(self):
        application = web.Application()
        application.router.add_route("*", "/read", self._read)
        application.router.add_route("*", "/ignore", self._ignore)
        application.router.add_get("/long", self._answer_long)
        application.router.add_get("/socket", self._serve_socket)
        self.runner = self.gate.make_runner(application, upgrades=True)
        await self.runner.setup()
        listener = socket.create_server(("127.0.0.1", 0))
        self.address = listener.getsockname()
        await IngressSite(self.gate, self.runner, listener).start()
        return self

    async def __aexit__(self, *exc_info):
        await self.runner.cleanup()

    async def _read(self, request):
        read = await read_body(request, LIMIT)
        if isinstance(read, Failure):
            return web.Response(status=503, text=read.failure().value)
        self.handled.append(request.path_qs)
        await self.hold.wait()
        return web.Response(text=f"{len(read.unwrap())} bytes")

    async def _ignore(self, request):
        self.handled.append(request.path_qs)
        return web.Response(text="ignored")

    async def _answer_long(self, request):
        return web.Response(body=bytes(2 * LIMIT))

    async def _serve_socket(self, request):
        connection = web.WebSocketResponse()
        await connection.prepare(request)
        async for message in connection:
            await connection.send_str(message.data.upper())
        return connection

    @contextlib.asynccontextmanager
    async def connect(self):
        """Open a connection."""
        reader, writer = await asyncio.open_connection(*self.address[:2])
        try:
            yield reader, writer
        finally:
            writer.close()

    async def exchange(self, *pieces):
        """Send pieces, each in a segment of its own, and read until the end."""
        async with self.connect() as (reader, writer):
            for piece in pieces:
                writer.write(piece)
                await writer.drain()
                for _ in range(5):
                    await asyncio.sleep(0)
            return await reader.read()

    @property
    def is_receiving(self):
        """Whether a request is incomplete."""
        return self.gate.table.count(Phase.RECEIVING) > 0

    async def pass_ticks(self, count):
        """Let the gate see the time pass."""
        for _ in range(count):
            self.gate.tick += 1
        for connection in self.gate.table:
            connection.check_time(self.gate.tick)


def make_head(path, *fields, close=True, method="POST"):
    """Return a head."""
    lines = [f"{method} {path} HTTP/1.1", "Host: a", *fields]
    lines += ["Connection: close"] if close else []
    return "\r\n".join([*lines, "", ""]).encode()


async def wait_until(condition):
    """Wait until a condition holds."""
    async with asyncio.timeout(60):
        while not condition():  # noqa: ASYNC110
            await asyncio.sleep(0)


def count_answers(received, text):
    """Return how often an answer occurs."""
    return received.count(text)


async def test_a_body_arrives_whole_however_it_is_cut():
    body = b"b" * LIMIT
    head = make_head("/read", f"Content-Length: {LIMIT}")
    async with Served() as served:
        for pieces in (
            [head + body],
            [head, body],
            [b"\r\n" + head[:9], head[9:-2], head[-2:] + body[:1], body[1:]],
        ):
            assert (await served.exchange(*pieces)).endswith(b"262144 bytes")
        assert served.gate.budget.held == 0


async def test_a_chunked_body_arrives_whole():
    head = make_head("/read", "Transfer-Encoding: chunked")
    chunks = b"3\r\nabc\r\n" * 100 + b"10000\r\n" + b"d" * 65_536 + b"\r\n0\r\n\r\n"
    async with Served() as served:
        assert (await served.exchange(head + chunks)).endswith(b"65836 bytes")
        assert (await served.exchange(head, chunks[:41], chunks[41:])).endswith(
            b"65836 bytes"
        )


async def test_pipelined_requests_are_answered_in_their_order():
    get = make_head("/read?%d", close=False, method="GET")
    post = make_head("/read?%d", "Content-Length: 5", close=False) + b"12345"
    last = make_head("/read?9", "Transfer-Encoding: chunked") + b"1\r\nx\r\n0\r\n\r\n"
    requests = b"".join((get, post)[n % 2] % n for n in range(9)) + last
    async with Served() as served:
        for pieces in ([requests], [requests[:300], requests[300:]]):
            served.handled.clear()
            received = await served.exchange(*pieces)
            assert served.handled == [f"/read?{n}" for n in range(10)]
            assert count_answers(received, b"HTTP/1.1 200") == 10
            assert received.endswith(b"1 bytes")


async def test_a_body_that_nothing_reads_is_answered_and_ends_the_connection():
    head = make_head("/ignore", f"Content-Length: {LIMIT}", close=False)
    async with Served() as served:
        received = await served.exchange(head, b"b" * 100_000)
        assert b"Connection: close" in received
        assert received.endswith(b"ignored")
        received = await served.exchange(head, b"b" * LIMIT, head)
        assert count_answers(received, b"ignored") == 1


async def test_a_small_body_that_nothing_reads_keeps_the_connection():
    head = make_head("/ignore", "Content-Length: 3", close=False)
    async with Served() as served:
        received = await served.exchange((head + b"abc") * 2 + make_head("/read"))
        assert count_answers(received, b"ignored") == 2
        assert received.endswith(b"0 bytes")


async def test_a_body_over_the_limit_is_refused_and_not_run():
    async with Served() as served:
        for framing, body in (
            (f"Content-Length: {LIMIT + 1}", b"b" * (LIMIT + 1)),
            ("Transfer-Encoding: chunked", b"50000\r\n" + b"b" * 0x50000),
        ):
            received = await served.exchange(make_head("/read", framing), body)
            assert received.endswith(b"body-size"), framing
        assert served.handled == []
        assert served.gate.budget.held == 0


async def test_heads_over_the_limit_and_ambiguous_ones_are_refused():
    async with Served() as served:
        for status, data in (
            (b"431", make_head("/read", f"X: {'x' * 30_000}")),
            (b"431", b"GET /" + b"x" * 30_000),
            (b"431", b"\r\n" * 15_000),
            (b"400", make_head("/read", "Content-Length: 1", "Content-Length: 2")),
            (b"400", b"GET / HTTP/1.1\r\nbad header\r\n\r\n"),
        ):
            received = await served.exchange(data)
            assert received[9:12] == status, (data[:40], received)
        assert served.handled == []


async def test_a_head_of_the_legal_size_is_served():
    fields = [f"X-{number}: {'x' * 2_000}" for number in range(8)]
    async with Served() as served:
        assert b"0 bytes" in await served.exchange(make_head("/read", *fields))
        long_field = f"X: {'x' * 16_000}"
        assert b"0 bytes" in await served.exchange(make_head("/read", long_field))


async def test_without_memory_a_request_is_refused_before_it_runs():
    head = make_head("/read", "Content-Length: 100000")
    async with Served(budget_bytes=500_000, reserved_bytes=250_000) as served:
        async with served.connect() as (_, writer):
            writer.write(head + b"b" * 10)
            await wait_until(lambda: served.is_receiving)
            received = await served.exchange(head, b"b" * 100_000)
            assert received.endswith(b"memory")
            assert served.handled == []
            small = make_head("/read", "Content-Length: 3") + b"abc"
            assert (await served.exchange(small)).endswith(b"3 bytes")
        assert served.gate.refusals[Refusal.MEMORY] == 1


async def test_a_slow_body_gives_way_to_another_one():
    head = make_head("/read", "Content-Length: 100000")
    budget = {"budget_bytes": 500_000, "reserved_bytes": 250_000}
    async with Served(**budget) as served, served.connect() as (reader, writer):
        writer.write(head + b"b" * 10)
        await wait_until(lambda: served.is_receiving)
        await served.pass_ticks(2)
        received = await served.exchange(head, b"b" * 100_000)
        assert received.endswith(b"100000 bytes")
        assert (await reader.read()).endswith(b"memory")


async def test_slow_heads_and_bodies_and_idle_connections_end():
    head = make_head("/read", "Content-Length: 100000")
    for data, ticks, end in (
        (head[:20], 20, b"HTTP/1.1 408"),
        (b"\r\n", 20, b"HTTP/1.1 408"),
        (head + b"b" * 10, 30, b"slow-body"),
        (b"", 100, b""),
    ):
        async with Served() as served, served.connect() as (reader, writer):
            writer.write(data)
            await wait_until(lambda: len(served.gate.table))
            for _ in range(200):
                await asyncio.sleep(0)
            await served.pass_ticks(ticks)
            received = await reader.read()
            assert end in received, data
            assert bool(received) == bool(end)


async def test_a_body_at_the_least_rate_is_not_given_up():
    head = make_head("/read", "Content-Length: 100000")
    async with Served() as served, served.connect() as (reader, writer):
        writer.write(head + b"b" * 90_000)
        await wait_until(lambda: served.is_receiving)
        for _ in range(200):
            await asyncio.sleep(0)
        await served.pass_ticks(14)
        writer.write(b"b" * 10_000)
        assert (await reader.read()).endswith(b"100000 bytes")


async def test_a_full_listener_closes_the_oldest_idle_connection():
    limits = {"connections": 3, "connections_per_address": 3}
    async with Served(**limits) as served, contextlib.AsyncExitStack() as stack:
        opened = [await stack.enter_async_context(served.connect()) for _ in range(3)]
        await wait_until(lambda: len(served.gate.table) == 3)
        assert (await served.exchange(make_head("/read"))).endswith(b"0 bytes")
        assert await opened[0][0].read() == b""
        opened[1][1].write(make_head("/read"))
        assert (await opened[1][0].read()).endswith(b"0 bytes")


async def test_a_full_listener_keeps_requests_that_run():
    limits = {"connections": 2, "connections_per_address": 2}
    async with Served(**limits) as served, contextlib.AsyncExitStack() as stack:
        served.hold.clear()
        opened = [await stack.enter_async_context(served.connect()) for _ in range(2)]
        for _, writer in opened:
            writer.write(make_head("/read"))
        await wait_until(lambda: len(served.handled) == 2)
        with contextlib.suppress(ConnectionError):
            assert await served.exchange(make_head("/read")) == b""
        served.hold.set()
        for reader, _ in opened:
            assert (await reader.read()).endswith(b"0 bytes")
        assert len(served.handled) == 2


async def test_a_request_that_has_arrived_is_answered_though_the_listener_closes():
    head = make_head("/read", "Content-Length: 9", close=False)
    async with Served() as served, served.connect() as (reader, writer):
        served.hold.clear()
        writer.write(head)
        await wait_until(lambda: served.is_receiving)
        writer.write(b"123456789")
        await wait_until(lambda: served.handled)
        closing = asyncio.create_task(served.runner.cleanup())
        await asyncio.sleep(0.01)
        served.hold.set()
        assert (await reader.read()).endswith(b"9 bytes")
        await closing


async def test_websockets_pass():
    async with Served() as served, ClientSession() as session:
        url = f"http://127.0.0.1:{served.address[1]}/socket"
        async with session.ws_connect(url) as connection:
            for text in ("a", "b" * 100_000):
                await connection.send_str(text)
                assert await connection.receive_str() == text.upper()


async def test_incomplete_messages_of_websockets_stay_within_the_budget():
    upgrade = make_head(
        "/socket",
        "Upgrade: websocket",
        "Connection: Upgrade",
        "Sec-WebSocket-Version: 13",
        "Sec-WebSocket-Key: AAAAAAAAAAAAAAAAAAAAAA==",
        close=False,
        method="GET",
    )
    frame = b"\x81\xff" + (1 << 20).to_bytes(8, "big") + b"mask" + b"p" * 200_000
    async with Served(budget_bytes=1_000_000) as served:
        async with contextlib.AsyncExitStack() as stack:
            for _ in range(6):
                reader, writer = await stack.enter_async_context(served.connect())
                writer.write(upgrade)
                answer = await reader.readuntil(b"\r\n\r\n")
                assert answer.startswith(b"HTTP/1.1 101")
                writer.write(frame)
            refusals = served.gate.refusals
            await wait_until(lambda: refusals[Refusal.MEMORY] >= 4)
            assert served.gate.budget.held <= 1_000_000
            small = make_head("/read", "Content-Length: 3") + b"abc"
            assert (await served.exchange(small)).endswith(b"3 bytes")
        await wait_until(lambda: not len(served.gate.table))
        assert served.gate.budget.held == 0


async def test_a_caller_that_waits_for_100_continue_is_served():
    head = make_head("/read", "Content-Length: 20000", "Expect: 100-continue")
    async with Served() as served, served.connect() as (reader, writer):
        writer.write(head)
        assert (await reader.readuntil(b"\r\n\r\n")).startswith(b"HTTP/1.1 100")
        writer.write(b"b" * 20_000)
        assert (await reader.read()).endswith(b"20000 bytes")


async def test_a_compressed_body_is_charged_and_limited_by_its_full_size():
    async with Served() as served, ClientSession() as session:
        url = f"http://127.0.0.1:{served.address[1]}/read"
        for size, end in ((LIMIT, "262144 bytes"), (LIMIT + 1, "body-size")):
            async with session.post(
                url, data=b"b" * size, compress="deflate"
            ) as response:
                assert await response.text() == end
        async with session.post(
            url, data=b"no gzip", headers={"Content-Encoding": "gzip"}
        ) as response:
            assert await response.text() == "framing"


async def test_answers_that_nobody_reads_stop_the_requests():
    get = make_head("/read", close=False, method="GET")
    async with Served() as served:
        with socket.socket() as caller:
            caller.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 2_048)
            caller.connect(served.address[:2])
            caller.setblocking(False)
            seen = -1
            while len(served.handled) > seen:
                seen = len(served.handled)
                with contextlib.suppress(BlockingIOError):
                    caller.send(get * 5_000)
                for _ in range(400):
                    await asyncio.sleep(0)
            assert 0 < len(served.handled) < 20_000
            await served.pass_ticks(100)
            assert served.gate.refusals[Refusal.UNREAD_ANSWERS] == 1
            await wait_until(lambda: not len(served.gate.table))


async def test_long_answers_that_nobody_reads_stay_within_the_budget():
    request = make_head("/long", close=False, method="GET")
    async with Served(budget_bytes=3_000_000) as served:
        async with contextlib.AsyncExitStack() as stack:
            for _ in range(20):
                reader, writer = await stack.enter_async_context(served.connect())
                reader._transport.pause_reading()
                writer.write(request)
            refusals = served.gate.refusals
            await wait_until(lambda: refusals[Refusal.UNREAD_ANSWERS] >= 10)
            assert served.gate.budget.held <= 3_000_000
            small = make_head("/read", "Content-Length: 3") + b"abc"
            assert (await served.exchange(small)).endswith(b"3 bytes")
            await served.pass_ticks(50)
            await wait_until(lambda: not len(served.gate.table))
        assert served.gate.budget.held == 0


async def test_a_caller_that_reads_takes_the_place_of_one_that_does_not():
    request = make_head("/long", method="GET")
    async with Served(budget_bytes=800_000) as served, served.connect() as (reader, w):
        reader._transport.pause_reading()
        w.write(request)
        await wait_until(lambda: served.gate.count_connections()["sending"])
        await served.pass_ticks(2)
        received = await served.exchange(request)
        assert len(received) > 2 * LIMIT
        assert served.gate.refusals[Refusal.UNREAD_ANSWERS] == 1


async def test_a_full_listener_does_not_wait_for_a_caller_that_does_not_read():
    limits = {"connections": 2, "connections_per_address": 2}
    request = make_head("/long", method="GET")
    async with Served(**limits) as served, contextlib.AsyncExitStack() as stack:
        for _ in range(2):
            reader, writer = await stack.enter_async_context(served.connect())
            reader._transport.pause_reading()
            writer.write(request)
        await wait_until(lambda: served.gate.count_connections()["sending"] == 2)
        await served.pass_ticks(2)
        for _ in range(3):
            assert (await served.exchange(make_head("/read"))).endswith(b"0 bytes")
        assert len(served.gate.table) <= 2


async def test_a_body_given_up_right_after_input_is_answered():
    head = make_head("/read", "Content-Length: 100000")
    async with Served() as served, served.connect() as (reader, writer):
        writer.write(head + b"b" * 10)
        await wait_until(lambda: served.is_receiving)
        (connection,) = served.gate.table
        served.gate.buffer[:10] = b"b" * 10
        connection.buffer_updated(10)
        connection.shed()
        async with asyncio.timeout(60):
            assert (await reader.read()).endswith(b"memory")
