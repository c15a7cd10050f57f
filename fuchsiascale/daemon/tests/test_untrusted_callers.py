"""Callers of fuchsiascaled that exceed the limits must not fill its memory.

As for `fuchsiascale.node`: the checks guard against memory that grows with the input of
callers, since heads and bodies had no bound for the process as a whole.
"""

import asyncio
import contextlib

import aiohttp

from fuchsiascale.node.tests._callers import Crowd, Usage
from fuchsiascale.testing import collect_functions, fixture
from standins.clients import apply_fleet
from standins.deployment import DEFAULT_FLEET, Deployment, Plan, Site

load_tests = collect_functions(__name__)

MEMORY_MB = 256
"""Memory of the machine: the default of the setting."""
CONNECTIONS = 300
BODY_BYTES = 1_048_576
"""The largest body of a service, by default."""
HANG_S = 120.0
POLL_S = 0.1
FIELD = b"x-filler-%04d: " + b"f" * 4_000 + b"\r\n"
REQUEST = b"POST /v1/services/echo/x HTTP/1.1\r\nHost: a\r\nX-Team: shop\r\n"


@fixture
def deployment():
    """Yield a deployment of one daemon with one runner."""
    site = Site(failure_domain="aveiro", region="centro", instances=1, workers=1)
    timers = {"document_poll_ms": 500, "exchange_ms": 500, "lease_ms": 2_000}
    with Deployment(Plan(sites=(site,), timers=timers)) as deployment:
        apply_fleet(deployment, next(iter(deployment.callers)), DEFAULT_FLEET)
        yield deployment


async def call_service(address):
    """Send requests, each over a new connection, until one is served."""
    url = f"http://{address}/v1/services/echo/x"
    timeout = aiohttp.ClientTimeout(10)
    async with asyncio.timeout(HANG_S):
        while True:
            with contextlib.suppress(aiohttp.ClientError, OSError, TimeoutError):
                async with aiohttp.request(
                    "POST", url, data=b"x", headers={"X-Team": "shop"}, timeout=timeout
                ) as response:
                    if response.status == 200:
                        return
            await asyncio.sleep(POLL_S)


async def check_crowd(deployment, make_input):
    """Check the daemon while connections send input of one kind."""
    ((name, address),) = deployment.callers.items()
    await call_service(address)
    process = deployment.processes[name]
    usage = Usage(process.pid)
    host, _, port = address.rpartition(":")
    crowd = Crowd(usage, (host, int(port)), CONNECTIONS)
    try:
        await crowd.send(make_input)
        await call_service(address)
        assert process.poll() is None
        assert usage.peak_mb <= MEMORY_MB, f"{usage.peak_mb:.0f} MB"
    finally:
        crowd.close()
    await call_service(address)


async def test_heads_without_end(deployment):
    await check_crowd(
        deployment,
        lambda number: [REQUEST, *(FIELD % number for number in range(120))],
    )


async def test_whole_bodies(deployment):
    head = REQUEST + b"Content-Length: %d\r\n\r\n" % BODY_BYTES
    body = b"p" * (BODY_BYTES - 1)
    await check_crowd(deployment, lambda number: [head, body])


async def test_large_chunks(deployment):
    head = REQUEST + b"Transfer-Encoding: chunked\r\n\r\n"
    chunk = b"10000\r\n" + b"p" * 65_536 + b"\r\n"
    await check_crowd(deployment, lambda number: [head, *[chunk] * 15])
