"""A play: real processes, runners and a store, under load and faults."""

import asyncio
import contextlib
import os
import random
from dataclasses import dataclass

from review.harness import Client, Record, Site
from soak._checks import check_all, check_evacuations
from soak._faults import Stage
from soak._load import LONG_RUNS_MS, RUNS_MS, Load
from soak._patterns import PATTERNS
from soak._processes import (
    DOMAINS,
    EVACUATION_BOUND_S,
    LINK_MBPS,
    RUNNER_CPU,
    Processes,
    ZonedRunner,
)
from soak._relay import STORE, Relay

__all__ = ["PATTERNS", "Report", "play", "select_pattern"]

RUNNERS_PER_DOMAIN = 3
"""Number of runners of the main service in a domain, unless a pattern has its own."""
SIDE_RUNNERS = 2
"""Number of runners of the second service, which one queue is sent to at times."""
MEMBERS_DELAY_S = 3.0
"""Time for the processes to learn of each other before the load begins."""
LOAD_LEAD_S = 5.0
"""Time from the begin of the load to the first fault."""
SETTLE_S = 12.0
"""Time without faults before the final states are asked for: two leases of an owner.

It is more than the longest lease of a worker, too.
"""
READY_TIMEOUT_S = 20.0
LOADS = {
    "restarted_workers": (LONG_RUNS_MS, 20_000),
    "returning_peers": (LONG_RUNS_MS, 20_000),
    "relayed_calls": (LONG_RUNS_MS, 20_000),
}
"""Run times of tasks and capacity of workers, for patterns that need others.

Tasks of a worker that is cut off must outlast its lease, and the others need room for
their next runs: one that starts too early is seen only while that lease lasts.
"""
RELAYED_SITES = {"relayed_calls": (4, 3.0)}
"""Runners in a domain and link bandwidth of processes, for patterns that relay calls.

An owner with 3 Mbit/s calls up to 8 workers itself. There are 12, so that its calls are
relayed while up to three of them are not listed.
"""
FIRST_SEEDS = {
    "restarted_workers": 700,
    "returning_peers": 900,
    "relayed_calls": 900,
    "slow_stores": 1_100,
}
"""First seeds that may select patterns that were added later.

Earlier seeds select the pattern that they always did, so that plays can be repeated.
"""


@dataclass(frozen=True)
class Report:
    """Result of a play.

    Attributes
    ----------
    breaks : tuple of str
        Breaks of the promises.
    owners, runs, jobs, accepted, unfinished : int
        Number of owners of the main service, of runs, of jobs, of those that were
        accepted, and of those that were neither cancelled nor are at an end; jobs
        that last are not counted in the last.
    """

    seed: int
    pattern: str
    breaks: tuple
    owners: int
    runs: int
    jobs: int
    accepted: int
    unfinished: int


def select_pattern(seed):
    """Return the name of the pattern of a seed where none is given."""
    names = [name for name in PATTERNS if seed >= FIRST_SEEDS.get(name, 0)]
    return names[seed % len(names)]


async def play(seed, seconds, folder, pattern=None, is_control=False):
    """Play a seed; return a `Report`.

    Parameters
    ----------
    seed : int
        Fixes load and faults, not the timing.
    seconds : float
        Duration of the faults.
    folder : Path
        Folder of the record, and of the logs of the processes.
    pattern : str or None, optional
        Name of the pattern; by the seed if it is None.
    is_control : bool, optional
        Whether the same load is played without faults.
    """
    pattern = pattern or select_pattern(seed)
    runs_ms, cpu = LOADS.get(pattern, (RUNS_MS, RUNNER_CPU))
    site_settings = RELAYED_SITES.get(pattern, (RUNNERS_PER_DOMAIN, LINK_MBPS))
    runners_per_domain, link_mbps = site_settings
    record = Record(folder)
    relay, site = Relay(random.Random(f"relay {seed}")), Site(record)
    await relay.start()
    await site.start()
    await _add_runners(site, relay, record, cpu, runners_per_domain)
    # Plays that run at the same time listen on networks of their own.
    network = f"127.{1 + os.getpid() % 199}.{seed % 200}"
    nodes = Processes(site.address, network, folder, relay, record, link_mbps)
    stage = Stage(site, nodes, relay, random.Random(f"faults {seed}"), record)
    client, rng = Client(record), random.Random(f"load {seed}")
    leaving_rng = random.Random(f"leaving {seed}")
    load = Load(client, nodes.all, rng, record.now_s, runs_ms, leaving_rng)
    try:
        await nodes.start()
        await nodes.find_owner("pool")
        await asyncio.sleep(MEMBERS_DELAY_S)
        task = asyncio.create_task(load.run())
        await asyncio.sleep(LOAD_LEAD_S)
        if is_control:
            await asyncio.sleep(seconds)
        else:
            await _bring_faults(stage, PATTERNS[pattern], seconds)
        task.cancel()
        await asyncio.wait([task])
        await _restore(nodes)
        await asyncio.sleep(SETTLE_S)
        await load.ask_all()
        return _report(seed, pattern, stage, load)
    finally:
        await client.close()
        nodes.stop()
        await relay.stop()
        await site.stop()
        record.close()


async def _add_runners(site, relay, record, cpu, runners_per_domain):
    for domain in DOMAINS:
        for number in range(runners_per_domain):
            name = f"i-{domain}{number}"
            await site.add_runner(ZonedRunner(name, "pool", record, domain, cpu))
    for number in range(SIDE_RUNNERS):
        domain = DOMAINS[number]
        await site.add_runner(ZonedRunner(f"s-{domain}0", "side", record, domain))
    relay.names[site.address] = STORE
    for runner in site.runners:
        relay.names[runner.address] = runner.name
    queues = {"/q/": {"service": "pool"}, "/m/": {"service": "pool"}}
    site.configure(1, queues, ["pool", "side"])


async def _bring_faults(stage, pattern, seconds):
    """Let a pattern run for a time; faults that go on then end at once."""
    with contextlib.suppress(TimeoutError):
        async with asyncio.timeout(seconds), asyncio.TaskGroup() as group:
            group.create_task(pattern(stage, group))
    stage.relay.heal()
    stage.note("all faults have ended")


async def _restore(nodes):
    for node in nodes.all:
        node.revive()
    with contextlib.suppress(TimeoutError):
        async with asyncio.timeout(READY_TIMEOUT_S):
            for node in nodes.all:
                await nodes.wait_ready(node)


def _report(seed, pattern, stage, load):
    breaks = check_all(stage.runners, load.jobs)
    breaks += check_evacuations(stage.runners, stage.evacuations, EVACUATION_BOUND_S)
    for each in breaks:
        stage.record.note(f"BROKEN {each}")
    accepted = [job for job in load.jobs.values() if job.accepted]
    open_jobs = [
        job
        for job in accepted
        if job.final[1] in ("queued", "running") and "lasts" not in job.spec
    ]
    for job in open_jobs:
        stage.record.note(f"unfinished: {job.name}, {job.final[1]}")
    return Report(
        seed=seed,
        pattern=pattern,
        breaks=tuple(breaks),
        owners=len(stage.nodes.list_takeovers()),
        runs=sum(len(runner.runs) for runner in stage.runners),
        jobs=len(load.jobs),
        accepted=len(accepted),
        unfinished=len(open_jobs),
    )
