"""Fixtures for the contract tests, which run stand-ins as processes."""

import asyncio
import tempfile

from fuchsiascale.testing import fixture
from standins.processes import StandinProcess

__all__ = ["SERVICE", "TIMEOUT_S", "run_standin", "set_faults", "wait_until"]

TIMEOUT_S = 0.5
POLL_INTERVAL_S = 0.01
MAX_POLLS = 1_000
SERVICE = "hub"


def run_standin(module, **arguments):
    """Yield a listening stand-in, and stop it afterwards."""
    with tempfile.TemporaryDirectory() as folder:
        standin = StandinProcess(module, folder, **arguments)
        standin.start()
        try:
            standin.wait_ready()
            yield standin
        finally:
            standin.clean_up()


async def set_faults(standin, **faults):
    """Set faults, and let the event loop process closed connections."""
    await asyncio.to_thread(lambda: standin.set_faults(**faults))
    await asyncio.sleep(POLL_INTERVAL_S)


async def wait_until(condition):
    """Wait until a coroutine function returns a true value."""
    for _ in range(MAX_POLLS):
        if await condition():
            return
        await asyncio.sleep(POLL_INTERVAL_S)
    raise TimeoutError("the condition did not become true")


@fixture
def tables_standin():
    yield from run_standin("tables")


@fixture
def objects_standin():
    yield from run_standin("objects")


@fixture
def listing_standin():
    yield from run_standin("listing", lag_ms=0)


@fixture
def runner_standin():
    yield from run_standin("runner", runner_id="r1", service=SERVICE, slots=2)


@fixture
def worker_standin(objects_standin):
    yield from run_standin(
        "worker",
        worker_id="w1",
        millicores=4000,
        memory_mb=4000,
        accelerators=1,
        objects=objects_standin.address,
        usage_lag_ms=0,
    )
