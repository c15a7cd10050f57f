"""Calls without an answer must not arrive after their caller has given them up."""

import asyncio
import contextlib

import aiohttp

from fuchsiascale.jobs import NoAnswer, WorkerAddress
from fuchsiascale.node._relay_websocket import RelayConnector
from fuchsiascale.node._worker_sockets import open_resetting_socket
from fuchsiascale.platform import user_platform
from fuchsiascale.testing import collect_functions

load_tests = collect_functions(__name__)


@contextlib.asynccontextmanager
async def serve_without_answer():
    """Accept connections and answer nothing; gives the address, and what happens."""
    events = asyncio.Queue()

    async def handle(reader, writer):
        try:
            while await reader.read(4_096):
                events.put_nowait("request")
            events.put_nowait("closed")
        except ConnectionResetError:
            events.put_nowait("reset")
        writer.close()

    server = await asyncio.start_server(handle, "127.0.0.1", 0)
    host, port = server.sockets[0].getsockname()
    try:
        yield f"{host}:{port}", events
    finally:
        server.close()


async def test_a_start_without_an_answer_resets_its_connection():
    connector = aiohttp.TCPConnector(socket_factory=open_resetting_socket)
    async with (
        serve_without_answer() as (address, events),
        aiohttp.ClientSession(connector=connector) as session,
    ):
        workers = user_platform.HttpTaskWorkers(session)
        worker = WorkerAddress("i-1", address)
        reply = await workers.stop(worker, "5c0e7a21d94b36f8.0.0.1", 1, 2)
        assert isinstance(reply.failure(), NoAnswer)
        assert [await events.get(), await events.get()] == ["request", "reset"]


async def test_an_owner_that_gives_up_a_relayed_call_resets_its_connection():
    connector = RelayConnector()
    async with serve_without_answer() as (address, events):
        connecting = asyncio.create_task(connector.connect(address))
        assert await events.get() == "request"
        connecting.cancel()
        with contextlib.suppress(asyncio.CancelledError):
            await connecting
        assert await events.get() == "reset"
    await connector.close()
