"""Mounts batch work into the application: shards, notices and handover."""

import functools

from fuchsiascale.api import WorkNotice
from fuchsiascale.coordination import (
    ShardOffer,
    ShardTiming,
    find_owner,
    format_shard_id,
    parse_shard_id,
)
from fuchsiascale.daemon._lifecycle import Phase, on_start, on_stop, periodic_task
from fuchsiascale.daemon._routes import PEER_ROUTES
from fuchsiascale.daemon._shard_manager import ShardManager
from fuchsiascale.daemon._work_metrics import PrometheusWorkMeters, ShardCollector
from fuchsiascale.ids import ShardId
from fuchsiascale.pipelines import JobPorts
from fuchsiascale.platform import Message
from fuchsiascale.states import InstanceRole

__all__ = ["Accepted", "find_shard_owner", "make_job_ports"]

WORK_PATH = "/peer/v1/work"
SHARD_PERIOD_MS = 250
STARTUP_DELAY_S = 1.5


class Accepted(Message):
    """Reply that only confirms that the message was accepted."""


@on_start(Phase.WORK)
async def start_work(application):
    """Create the manager of the shards that this instance should own."""
    application.shards = ShardManager(
        application.settings.instance,
        application.tables,
        application.workers,
        application.clock,
        application.random,
        application.membership.view,
        application.documents.fleet,
        offers=lambda: list_offers(application),
        notify=functools.partial(notify_owner, application),
        timing=ShardTiming(
            exchange_s=application.settings.timers.exchange_ms / 1_000,
            lease_s=application.settings.timers.lease_ms / 1_000,
        ),
        meters=PrometheusWorkMeters(application.registry),
    )
    application.registry.register(
        ShardCollector(lambda: list_owned_shards(application))
    )


def list_owned_shards(application):
    """Return the status of each shard that this instance should own."""
    own = application.settings.instance
    statuses = application.shards.statuses()
    return tuple(status for status in statuses if status.owner == own)


@periodic_task("shards", lambda settings: SHARD_PERIOD_MS)
async def run_shards(application):
    """Run the shard manager once.

    Notes
    -----
    An instance that has just started does not know its peers yet and would claim
    every shard. When a peer then takes over such a claim, the slots of the shard's
    runners can't be lent until the earlier credits have expired.
    """
    if application.clock.monotonic() - application.started_s >= STARTUP_DELAY_S:
        await application.shards.run_once()


@on_stop(Phase.WORK)
async def hand_over_work(application):
    """Record all ends and release the workers to the next owner."""
    await application.shards.hand_over()


@PEER_ROUTES.route("POST", WORK_PATH, WorkNotice)
async def receive_notice(application, message, request):
    """Handle a peer's notice that chunk rows of a shard were written."""
    await application.shards.handle_notice(message)
    return Accepted()


def make_job_ports(application):
    """Return the ports that the job pipeline uses."""

    async def notify(notice):
        await notify_owner(application, notice)

    return JobPorts(
        instance=application.settings.instance,
        tables=application.tables,
        clock=application.clock,
        random=application.random,
        offers=lambda: list_offers(application),
        notify=notify,
    )


def list_offers(application):
    """Return every known shard with the figures that its owner last reported."""
    offers = {}
    for upstream in application.membership.view().upstreams:
        if upstream.role is not InstanceRole.WORKER:
            continue
        shard = format_shard_id(upstream.failure_domain, upstream.rack)
        offers[shard] = ShardOffer(shard=shard, failure_domain=upstream.failure_domain)
    for digest in _list_shard_digests(application):
        if digest.shard in offers:
            offers[digest.shard] = ShardOffer(
                shard=digest.shard,
                failure_domain=offers[digest.shard].failure_domain,
                free=digest.free,
                waiting=digest.waiting,
                shapes=digest.shapes,
            )
    return tuple(offers.values())


def _list_shard_digests(application):
    for peer in application.membership.digests():
        yield from peer.shards
    yield from application.shards.digests()


async def notify_owner(application, notice):
    """Send a notice to the shard's owner, whose scans make up for a lost one."""
    address = find_shard_owner(application, notice.shard)
    if address == application.settings.peer_address:
        await application.shards.handle_notice(notice)
    elif address is not None:
        await application.peers.call(address, WORK_PATH, notice, Accepted)


def find_shard_owner(application, shard: ShardId):
    """Return the peer address of the instance that owns, or should own, a shard."""
    view = application.membership.view()
    domain, _ = parse_shard_id(shard)
    if domain != view.failure_domain:
        for peer in application.membership.digests():
            if any(digest.shard == shard for digest in peer.shards):
                return peer.address
    members = [
        member
        for member in (*view.members, *view.peers)
        if member.failure_domain == domain
    ]
    owner = find_owner(shard, members)
    found = [member.address for member in members if member.instance == owner]
    return found[0] if found else None
