"""Tests of the link relay as a process."""

import asyncio
import contextlib
import tempfile

from fuchsiascale.testing import collect_functions, fixture
from standins._server import parse_endpoint
from standins.processes import (
    StandinProcess,
    find_free_address,
    post_control,
    read_control,
)
from standins.relay import LinkCounts, LinkSettings, LinkState

load_tests = collect_functions(__name__)

TARGET_ADDRESS = find_free_address()
RELAY_ADDRESS = find_free_address()
SILENCE_S = 0.3
TIMEOUT_S = 5.0


@fixture
def relay():
    with tempfile.TemporaryDirectory() as folder:
        standin = StandinProcess(
            "relay", folder, route=f"{RELAY_ADDRESS}={TARGET_ADDRESS}"
        )
        standin.start()
        try:
            standin.wait_ready()
            yield standin
        finally:
            standin.clean_up()


async def echo(reader, writer):
    with contextlib.suppress(asyncio.CancelledError):
        while chunk := await reader.read(1000):
            writer.write(chunk)
    writer.close()


async def exchange(reader, writer, data):
    writer.write(data)
    return await asyncio.wait_for(reader.readexactly(len(data)), TIMEOUT_S)


async def set_link(relay, **settings):
    message = LinkSettings(**settings)
    await asyncio.to_thread(post_control, relay.control, "/control/link", message)


async def test_bytes_are_relayed_and_counted(relay):
    async with await asyncio.start_server(echo, *parse_endpoint(TARGET_ADDRESS)):
        reader, writer = await asyncio.open_connection(*parse_endpoint(RELAY_ADDRESS))
        assert await exchange(reader, writer, b"0123456789") == b"0123456789"
        counts = read_control(relay.control, "/control/link", LinkCounts)
        assert (counts.forward_bytes, counts.backward_bytes) == (10, 10)
        writer.close()


async def test_a_silent_link_delivers_bytes_once_it_is_up(relay):
    async with await asyncio.start_server(echo, *parse_endpoint(TARGET_ADDRESS)):
        reader, writer = await asyncio.open_connection(*parse_endpoint(RELAY_ADDRESS))
        await exchange(reader, writer, b"before")
        await set_link(relay, state=LinkState.SILENT)
        pending = asyncio.create_task(exchange(reader, writer, b"during"))
        await asyncio.wait({pending}, timeout=SILENCE_S)
        assert not pending.done()
        await set_link(relay)
        assert await pending == b"during"
        writer.close()


async def test_a_reset_link_aborts_connections_and_later_accepts_new_ones(relay):
    async with await asyncio.start_server(echo, *parse_endpoint(TARGET_ADDRESS)):
        reader, writer = await asyncio.open_connection(*parse_endpoint(RELAY_ADDRESS))
        await exchange(reader, writer, b"before")
        await set_link(relay, state=LinkState.RESET)
        with contextlib.suppress(ConnectionResetError):
            assert await asyncio.wait_for(reader.read(1), TIMEOUT_S) == b""
        writer.close()
        await set_link(relay)
        reader, writer = await asyncio.open_connection(*parse_endpoint(RELAY_ADDRESS))
        assert await exchange(reader, writer, b"after") == b"after"
        writer.close()


async def test_delay_and_bandwidth_limit_delay_bytes(relay):
    async with await asyncio.start_server(echo, *parse_endpoint(TARGET_ADDRESS)):
        reader, writer = await asyncio.open_connection(*parse_endpoint(RELAY_ADDRESS))
        await exchange(reader, writer, b"warm")
        await set_link(relay, delay_ms=50, bytes_per_s=100_000)
        loop = asyncio.get_running_loop()
        began_s = loop.time()
        data = b"x" * 20_000
        assert await exchange(reader, writer, data) == data
        assert loop.time() - began_s >= 0.3
        writer.close()
