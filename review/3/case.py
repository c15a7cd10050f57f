"""A configuration sends a queue to another service while its jobs run."""

import asyncio
import sys

from review.harness import (
    HAS_TROUBLE,
    Client,
    Nodes,
    Runner,
    Site,
    find_repeated_runs,
    run_case,
)

FIRST, SECOND = "pool-a", "pool-b"
QUEUE = "/q/"
JOB = f"{QUEUE}{'a' * 16}"
LASTING_JOB = f"{QUEUE}{'b' * 16}"
RUN_MS = 12_000
VISIBLE_S = 3.0
APPLY_S = 2.5
CANCEL_S = 3.0
STOP_S = 0.9
STEP = {"count": 2, "cpu": 1000, "mem_mb": 100, "estimate_ms": RUN_MS}


async def accept_jobs(client, node):
    """Hand two jobs in: one that ends, and one that lasts."""
    statuses = [
        await client.submit(node, JOB, [STEP], f"run_ms={RUN_MS}"),
        await client.submit(
            node, LASTING_JOB, [{**STEP, "long_running": True}], "lasts"
        ),
    ]
    if statuses != [200, 200]:
        raise RuntimeError(f"the jobs were not accepted: {statuses}")


async def find_lost_jobs(client, nodes):
    """Return a break for each process that denies an accepted job."""
    breaks = []
    for node in nodes.all:
        status, _ = await client.ask_state(node, JOB)
        if status == 410:
            breaks.append(f"LOST: {node.name} answers 410 for an accepted job")
    return breaks


async def find_uncancelled_runs(client, node, runners):
    """Cancel the job that lasts; return a break for each run that goes on."""
    status = await client.cancel(node, LASTING_JOB)
    if status not in (200, 410):
        return []
    await asyncio.sleep(CANCEL_S + STOP_S + 0.5)
    return [
        f"UNASKED: {run['task']} runs on {run['runner']} after its job was cancelled"
        for runner in runners
        for run in runner.runs
        if run["spec"] == "lasts" and run["ended_s"] is None
    ]


async def play(record):
    """Play the case; return the breaks of the rules."""
    site = Site(record)
    await site.start()
    runners = [
        Runner(f"i-{number}", service, record)
        for number, service in enumerate((FIRST, FIRST, SECOND, SECOND))
    ]
    for runner in runners:
        await site.add_runner(runner)
    services = [FIRST, SECOND]
    site.configure(1, {QUEUE: {"service": FIRST}}, services)
    nodes = Nodes(3, site.address, record)
    client = Client(record)
    try:
        await nodes.start()
        await nodes.find_owner(FIRST)
        await nodes.find_owner(SECOND)
        await asyncio.sleep(3.0)
        await accept_jobs(client, nodes.all[0])
        await asyncio.sleep(VISIBLE_S)
        target = SECOND if HAS_TROUBLE else FIRST
        site.configure(2, {QUEUE: {"service": target}}, services)
        await asyncio.sleep(APPLY_S + 0.5)
        breaks = await find_lost_jobs(client, nodes)
        # The same request arrives once more, as it does at times after a success.
        await client.submit(nodes.all[1], JOB, [STEP], f"run_ms={RUN_MS}")
        breaks += await find_uncancelled_runs(client, nodes.all[2], runners)
        await asyncio.sleep(RUN_MS / 1000)
        await client.ask_state(nodes.all[2], JOB)
        return breaks + [f"TWICE: {each}" for each in find_repeated_runs(runners)]
    finally:
        await client.close()
        nodes.stop()
        await site.stop()


if __name__ == "__main__":
    sys.exit(run_case(__file__, play))
