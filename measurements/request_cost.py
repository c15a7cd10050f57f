"""Measures the processor time of a request, against a minimal proxy."""

import asyncio
import statistics
import sys

import aiohttp

from measurements._processes import read_cpu_s
from measurements._report import Report, make_ratio_figure, register_measurement
from standins.clients import apply_fleet, is_ready
from standins.deployment import DEFAULT_FLEET, Deployment, Plan, Site
from standins.processes import ManagedProcess, find_free_address

MAX_RATIO = 1.5
ROUNDS = 15
REQUESTS_PER_ROUND = 800
WARM_UP_REQUESTS = 500
IN_FLIGHT = 8
BODY = b"x" * 200
READY_TIMEOUT_S = 10.0
HEADERS = {
    "X-Team": "shop",
    "X-Idempotent": "true",
    "Content-Type": "application/octet-stream",
}
PLAN = Plan(
    sites=(Site(failure_domain="porto", region="norte", instances=1, workers=2),),
    service_ms=0,
    settings="[traces]\nexporter = console\nsample_ratio = 0.01\n",
)


async def send_round(session, address, count):
    """Send a number of requests, ``IN_FLIGHT`` at a time."""
    url = f"http://{address}/v1/services/echo/match"
    numbers = iter(range(count))

    async def send_remaining():
        for number in numbers:
            headers = {**HEADERS, "X-Request-Id": f"r{number}"}
            async with session.post(url, data=BODY, headers=headers) as response:
                body = await response.read()
                if response.status != 200 or body != BODY:
                    raise RuntimeError(f"{response.status}: {body[:200]}")

    await asyncio.gather(*(send_remaining() for _ in range(IN_FLIGHT)))


async def measure_rounds(targets):
    """Return the processor time per request of each target by round, in ms.

    Parameters
    ----------
    targets : dict of str to tuple of str and int
        Address and process id by name. Every round measures all targets in turn.
    """
    costs = {name: [] for name in targets}
    connector = aiohttp.TCPConnector(limit=0)
    async with aiohttp.ClientSession(connector=connector) as session:
        for address, _ in targets.values():
            await send_round(session, address, WARM_UP_REQUESTS)
        for _ in range(ROUNDS):
            for name, (address, pid) in targets.items():
                before_s = read_cpu_s(pid)
                await send_round(session, address, REQUESTS_PER_ROUND)
                used_s = read_cpu_s(pid) - before_s
                costs[name].append(used_s * 1000 / REQUESTS_PER_ROUND)
    return costs


def start_proxy(deployment):
    """Start the baseline proxy in front of the deployment's first runner."""
    address = find_free_address()
    upstream = deployment.addresses["porto-r0"]
    command = [sys.executable, "-m", "measurements._pass_through"]
    command += ["--listen", address, "--upstream", upstream]
    proxy = ManagedProcess("proxy", command, deployment.log("proxy"))
    proxy.start()
    deployment.wait_until(proxy.is_ready, "the pass-through", READY_TIMEOUT_S)
    return address, proxy


@register_measurement("request_cost", "Processor time of a request through one daemon")
def measure_request_cost():
    """Measure the daemon and the proxy in turns on the same stand-ins."""
    with Deployment(PLAN) as deployment:
        name, address = next(iter(deployment.callers.items()))
        deployment.wait_until(lambda: is_ready(address), "the daemon")
        apply_fleet(deployment, name, DEFAULT_FLEET)
        proxy_address, proxy = start_proxy(deployment)
        try:
            asyncio.run(wait_for_credits(address))
            targets = {
                "pass-through": (proxy_address, proxy.pid),
                "daemon": (address, deployment.processes[name].pid),
            }
            costs = asyncio.run(measure_rounds(targets))
        finally:
            proxy.kill()
    baseline = statistics.median(costs["pass-through"])
    measured = statistics.median(costs["daemon"])
    return Report(
        baseline="a bare aiohttp pass-through, same run, same runner",
        setting=(
            f"median of {ROUNDS} rounds of {REQUESTS_PER_ROUND} requests of "
            f"{len(BODY)} bytes, {IN_FLIGHT} in flight, all filters, traces at 1%"
        ),
        figures=(
            make_ratio_figure(
                "processor time a request (ms)",
                baseline,
                measured,
                at_most=MAX_RATIO,
            ),
        ),
    )


async def wait_for_credits(address):
    """Send single requests until one succeeds.

    The daemon needs credits and the fleet document for it.
    """
    async with aiohttp.ClientSession() as session:
        for _ in range(50):
            try:
                await send_round(session, address, 1)
            except RuntimeError:
                await asyncio.sleep(0.2)
            else:
                return
    raise TimeoutError("the daemon served no request: no credits or no fleet document")
