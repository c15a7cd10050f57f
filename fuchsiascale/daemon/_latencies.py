"""Reports the latencies of runners to the owners of their workers' shards."""

import asyncio

from fuchsiascale.api import LatencyReport
from fuchsiascale.coordination import ServiceLatency, format_shard_id
from fuchsiascale.daemon._lifecycle import periodic_task
from fuchsiascale.daemon._routes import PEER_ROUTES
from fuchsiascale.daemon._work import Accepted, find_shard_owner

__all__ = ["group_latencies"]

LATENCIES_PATH = "/peer/v1/latencies"
REPORT_PERIOD_MS = 5_000


def group_latencies(latencies):
    """Return the latencies of runners that run on a worker, by shard.

    Parameters
    ----------
    latencies : iterable of RunnerLatency

    Returns
    -------
    dict of ShardId to tuple of ServiceLatency
    """
    grouped = {}
    for latency in latencies:
        runner = latency.runner
        if not runner.worker:
            continue
        shard = format_shard_id(runner.failure_domain, runner.rack)
        measured = ServiceLatency(
            worker=runner.worker, service=runner.service, latency_ms=latency.mean_ms
        )
        grouped[shard] = (*grouped.get(shard, ()), measured)
    return grouped


@periodic_task("latencies", lambda settings: REPORT_PERIOD_MS)
async def report_latencies(application):
    """Send the latencies measured since the last report to each shard's owner."""
    grouped = group_latencies(application.dispatcher.take_latencies())
    await asyncio.gather(
        *(_report(application, shard, found) for shard, found in grouped.items())
    )


async def _report(application, shard, latencies):
    address = find_shard_owner(application, shard)
    if address == application.settings.peer_address:
        _observe(application, latencies)
    elif address is not None:
        report = LatencyReport(latencies=latencies)
        await application.peers.call(address, LATENCIES_PATH, report, Accepted)


@PEER_ROUTES.route("POST", LATENCIES_PATH, LatencyReport)
async def receive_latencies(application, message, request):
    """Apply the latencies that a peer measured on workers of the own shards."""
    _observe(application, message.latencies)
    return Accepted()


def _observe(application, latencies):
    for measured in latencies:
        application.shards.observe_latency(measured)
