"""Tests of the relay: what a rule does to the bytes of a connection."""

import asyncio
import contextlib
import random
import socket
import struct

from fuchsiascale.testing import collect_functions
from soak._relay import Effect, Relay, Rule, pair_both_ways

load_tests = collect_functions(__name__)

SHORT_S = 0.05
"""Time in which bytes that aren't held back arrive."""
TIMEOUT_S = 5.0
LINK = frozenset({("a", "b")})


@contextlib.asynccontextmanager
async def open_link():
    """Yield a relay, a connection of `a` to `b` through it, and what `b` has read."""
    received, answering = [], []

    async def answer(reader, writer):
        answering.append(asyncio.current_task())
        with contextlib.suppress(ConnectionError):
            while content := await reader.read(100):
                received.append(content)
                writer.write(content.upper())
        writer.close()

    server = await asyncio.start_server(answer, "127.0.0.1", 0)
    port = server.sockets[0].getsockname()[1]
    relay = Relay(random.Random(1))
    relay.names[f"127.0.0.1:{port}"] = "b"
    await relay.start()
    host, _, relay_port = relay.address.partition(":")
    reader, writer = await asyncio.open_connection(host, int(relay_port))
    writer.write(f"a 127.0.0.1 {port}\n".encode())
    assert await reader.readexactly(1) == b"+"
    try:
        yield relay, reader, writer, received
    finally:
        writer.close()
        await relay.stop()
        server.close()
        await asyncio.gather(*answering, return_exceptions=True)


async def read(reader):
    async with asyncio.timeout(TIMEOUT_S):
        return await reader.read(100)


async def read_nothing(reader):
    with contextlib.suppress(TimeoutError):
        async with asyncio.timeout(SHORT_S):
            return await reader.read(100) == b"never"
    return True


async def test_bytes_pass_in_both_directions():
    async with open_link() as (_, reader, writer, _):
        writer.write(b"text")
        assert await read(reader) == b"TEXT"


async def test_a_cut_holds_bytes_back_until_it_is_removed():
    async with open_link() as (relay, reader, writer, received):
        rule = Rule(Effect.CUT, pair_both_ways(["a"], ["b"]))
        relay.add(rule)
        writer.write(b"text")
        assert await read_nothing(reader)
        assert received == []
        relay.remove(rule)
        assert await read(reader) == b"TEXT"


async def test_a_reset_loses_what_a_cut_holds_back():
    # The platform loses it too; a start that arrives later may run a second time.
    async with open_link() as (relay, reader, writer, received):
        rule = Rule(Effect.CUT, pair_both_ways(["a"], ["b"]))
        relay.add(rule)
        writer.write(b"text")
        assert await read_nothing(reader)
        (connection,) = relay.connections
        reset = struct.pack("ii", 1, 0)
        own = writer.get_extra_info("socket")
        own.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, reset)
        writer.transport.abort()
        while not connection.is_reset:  # noqa: ASYNC110
            await asyncio.sleep(0)
        relay.remove(rule)
        while relay.connections:  # noqa: ASYNC110
            await asyncio.sleep(0)
        assert received == []


async def test_a_cut_of_one_direction_lets_requests_pass():
    async with open_link() as (relay, reader, writer, received):
        relay.add(Rule(Effect.CUT, frozenset({("b", "a")})))
        writer.write(b"text")
        assert await read_nothing(reader)
        assert received == [b"text"]


async def test_a_lost_answer_never_arrives_and_its_request_does():
    async with open_link() as (relay, reader, writer, received):
        rule = Rule(Effect.LOSE, LINK)
        relay.add(rule)
        writer.write(b"text")
        assert await read_nothing(reader)
        relay.remove(rule)
        assert await read_nothing(reader)
        assert received == [b"text"]


async def test_a_held_request_arrives_after_its_caller_has_gone():
    async with open_link() as (relay, _reader, writer, received):
        relay.add(Rule(Effect.HOLD, LINK, seconds=(SHORT_S, SHORT_S)))
        writer.write(b"text")
        await writer.drain()
        writer.close()
        async with asyncio.timeout(TIMEOUT_S):
            while not received:  # noqa: ASYNC110
                await asyncio.sleep(SHORT_S / 5)
        assert received == [b"text"]


async def test_a_reset_ends_the_connection():
    async with open_link() as (relay, reader, writer, received):
        relay.add(Rule(Effect.RESET, LINK))
        writer.write(b"text")
        with contextlib.suppress(ConnectionError):
            assert await read(reader) == b""
        assert received == []


async def test_a_silent_connection_delivers_nothing_more():
    async with open_link() as (relay, reader, writer, received):
        (connection,) = relay.list_connections(LINK)
        connection.silent = True
        writer.write(b"text")
        assert await read_nothing(reader)
        assert received == []
