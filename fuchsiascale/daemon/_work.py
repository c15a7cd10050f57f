"""Drives batch work: the shard keeper, its notices, and its hand-over."""

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
    """An answer that carries nothing but that the message was taken."""


@on_start(Phase.WORK)
async def start_work(application):
    """Make the keeper of the shards that fall to this instance."""
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
    """Return the status of each shard that falls to this instance."""
    own = application.settings.instance
    statuses = application.shards.statuses()
    return tuple(status for status in statuses if status.owner == own)


@periodic_task("shards", lambda settings: SHARD_PERIOD_MS)
async def run_shards(application):
    """Let the shard keeper do what is due.

    Notes
    -----
    An instance that has just started does not know its peers yet. It would claim
    every shard, and each claim that a peer then takes over keeps the slots of the
    shard's runners unlent until the credits before have run out.
    """
    if application.clock.monotonic() - application.started_s >= STARTUP_DELAY_S:
        await application.shards.run_once()


@on_stop(Phase.WORK)
async def hand_over_work(application):
    """Record all ends and release the workers to the next owner."""
    await application.shards.hand_over()


@PEER_ROUTES.route("POST", WORK_PATH, WorkNotice)
async def receive_notice(application, message, request):
    """Take in a peer's word that chunk rows of a shard were written."""
    await application.shards.handle_notice(message)
    return Accepted()


def make_job_ports(application):
    """Return what the job pipeline needs of the application."""

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
    """Return every shard known, with what its owner last told of it."""
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
    """Pass a notice to the shard's owner; a lost one is made good by a scan."""
    address = find_shard_owner(application, notice.shard)
    if address == application.settings.peer_address:
        await application.shards.handle_notice(notice)
    elif address is not None:
        await application.peers.call(address, WORK_PATH, notice, Accepted)


def find_shard_owner(application, shard: ShardId):
    """Return the peer address of the instance that owns a shard, or should."""
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
