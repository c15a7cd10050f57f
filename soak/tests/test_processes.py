"""Tests of the runners and settings: longest leases, and calls around a restart."""

import contextlib
import tempfile
from types import SimpleNamespace

import aiohttp

from fuchsiascale.testing import collect_functions
from review.harness import Node
from soak._processes import RelayedNode, ZonedRunner

load_tests = collect_functions(__name__)

RECORD = SimpleNamespace(now_s=lambda: 0.0, note=lambda text: None)
PORTS = 1, 2, 3
TIMEOUT = aiohttp.ClientTimeout(0.3)
HOUR_MS = 3_600_000
"""End of a lease on the clock of a life that has lasted for an hour."""


@contextlib.asynccontextmanager
async def start_runner():
    """Yield a runner, and a function that calls it over one connection."""
    runner = ZonedRunner("i-a0", "pool", RECORD, "a")
    await runner.start()

    async def call(wait_ms=0):
        body = {"deadline_ms": HOUR_MS, "last_seen": 0, "wait_ms": wait_ms}
        url = f"http://{runner.address}/fuchsiascale/hold"
        async with session.post(url, json=body, timeout=TIMEOUT) as response:
            return await response.json()

    try:
        connector = aiohttp.TCPConnector(limit=1)
        async with aiohttp.ClientSession(connector=connector) as session:
            yield runner, call
    finally:
        await runner.stop()


def write_settings(make_node):
    with tempfile.TemporaryDirectory(prefix="soak-") as folder:
        node = make_node(folder)
        node.write_settings("127.0.0.1:1", "", "4,5")
        return node.settings.read_text().splitlines()


async def test_a_call_to_the_life_before_gets_the_longest_lease():
    """Guards against runners whose leases are never longer than owners grant."""
    async with start_runner() as (runner, call):
        runner.crash()
        runner.begin_life()
        await call()
        assert 9_000 < runner.life._deadline_ms - runner.life.clock_ms() <= 10_000


def test_processes_know_the_longest_lease_of_the_runners():
    """Guards against owners that are told another longest lease than runners take."""
    relay = SimpleNamespace(names={})
    lines = write_settings(
        lambda folder: RelayedNode(0, "127.0.0.2", PORTS, folder, relay, RECORD)
    )
    assert "bounds.hold_max_ms=10000" in lines
    lines = write_settings(lambda folder: Node(0, PORTS, folder, RECORD))
    assert "bounds.hold_max_ms=6000" in lines, "the review's cases have their own"


async def test_connections_that_are_kept_reach_the_next_life():
    """Guards against restarts past which no call can be held back."""
    async with start_runner() as (runner, call):
        first = await call()
        runner.crash(keeps_connections=True)
        runner.begin_life()
        second = await call()
        assert second["born"] == runner.life.born >= first["born"]
        assert len(runner._pairs) == 1


async def test_a_life_that_has_ended_answers_no_call():
    """Guards against calls that a life without power carries out or answers."""
    for keeps_connections in (False, True):
        async with start_runner() as (runner, call):
            await call()
            runner.crash(keeps_connections)
            holds = runner.holds
            with contextlib.suppress(aiohttp.ClientError, TimeoutError):
                raise AssertionError(await call())
            assert runner.holds == holds
