"""Calls to workers that are relayed over a WebSocket."""

import contextlib

from aiohttp import web
from aiohttp.test_utils import TestServer
from returns.result import Success

from fuchsiascale.clock import ManualClock
from fuchsiascale.jobs import RELAYED_FOR, Executed, RelayChannel, WorkerRelay
from fuchsiascale.jobs.tests.test_relayed_workers import make_start, make_worker
from fuchsiascale.node._relay_websocket import (
    RELAY_PATH,
    RelayConnector,
    make_relay_handler,
)
from fuchsiascale.testing import collect_functions

load_tests = collect_functions(__name__)

PAUSE_S = 3.0
SEND_LIMIT_S = 0.6


class RecordingWorkers:
    """Workers that record the commands, and for which owner they are made."""

    def __init__(self):
        self.commands = []

    async def start(self, worker, request):
        self.commands.append((request.task, RELAYED_FOR.get()))
        return Success(Executed(7))


@contextlib.asynccontextmanager
async def open_channel(clock):
    """Connect an owner to a peer; gives the channel and the workers of the peer."""
    workers = RecordingWorkers()
    application = web.Application()
    relay = WorkerRelay(workers, ManualClock())
    application.router.add_get(RELAY_PATH, make_relay_handler(relay))
    async with TestServer(application) as server:
        connector = RelayConnector()
        channel = RelayChannel(connector.connect, f"{server.host}:{server.port}", clock)
        try:
            yield channel, workers
        finally:
            channel.close()
            await connector.close()


async def test_a_call_is_relayed_for_the_address_of_its_owner():
    async with open_channel(ManualClock()) as (channel, workers):
        reply = await channel.call(make_worker(), make_start(), 0.8, SEND_LIMIT_S)
        assert reply == Executed(7)
        assert workers.commands == [("a.0.0.0", "127.0.0.1")]


async def test_a_start_is_not_written_if_the_owner_pauses_after_it_was_passed_on():
    # The message is written in a later pass of the event loop than it is passed on.
    clock = ManualClock()
    async with open_channel(clock) as (channel, workers):
        await channel.call(make_worker(), make_start("first"), 0.8, SEND_LIMIT_S)
        send = channel._connection.send

        def send_and_pause(content):
            send(content)
            clock.advance(PAUSE_S)

        channel._connection.send = send_and_pause
        reply = await channel.call(make_worker(), make_start("late"), 0.8, SEND_LIMIT_S)
        assert reply is None
        reply = await channel.call(make_worker(), make_start("next"), 0.8, 10 * PAUSE_S)
        assert reply == Executed(7)
        assert [task for task, _ in workers.commands] == ["first", "next"]
