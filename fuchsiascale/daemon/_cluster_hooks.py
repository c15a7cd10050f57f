"""Mounts membership and the fleet document into the application."""

import asyncio
import contextlib

from fuchsiascale.coordination import DocumentReplica, Member, Membership, choose_limits
from fuchsiascale.daemon._lifecycle import Phase, on_start, on_stop, periodic_task
from fuchsiascale.daemon._membership import MembershipDriver

LEAVE_TIMEOUT_S = 1.0


@on_start(Phase.MEMBERSHIP)
async def start_membership(application):
    """Make membership, document and their driver, and read list and document."""
    settings = application.settings
    member = Member(
        instance=settings.instance,
        address=settings.peer_address,
        failure_domain=settings.failure_domain,
        region=settings.region,
    )
    clock, random = application.clock, application.random
    limits = choose_limits(settings.timers.heartbeat_ms / 1000)
    application.membership = Membership(member, clock, random, limits, settings.seeds)
    application.documents = DocumentReplica(
        settings.instance,
        application.tables,
        fetch_sections(application),
        clock,
        random,
    )
    application.membership_driver = MembershipDriver(
        application.membership,
        application.documents,
        application.peers,
        application.instance_list,
    )
    await application.membership_driver.read_list()
    await application.membership_driver.poll_document()


def fetch_sections(application):
    """Return the function by which the document keeper asks a peer."""

    async def fetch(address, request):
        return await application.membership_driver.fetch_sections(address, request)

    return fetch


@on_start(Phase.READINESS)
async def start_announcements(application):
    """Make the instance known, and start the tasks that act on news at once."""
    driver = application.membership_driver
    await driver.announce_start()
    application.run_in_background(driver.send_announcements())
    application.run_in_background(driver.follow_revisions())


@periodic_task("instance list", lambda settings: settings.timers.list_poll_ms)
async def read_list(application):
    """Read the platform's instance list; the last one stands where it is down."""
    await application.membership_driver.read_list()


@periodic_task("heartbeat", lambda settings: settings.timers.heartbeat_ms)
async def send_heartbeat(application):
    """Send one beat with the present figures."""
    application.membership.update(
        in_flight=application.request_pipeline.in_flight,
        shards=application.shards.digests(),
    )
    await application.membership_driver.send_heartbeat()
    if application.membership.superseded() and not application.stopping:
        application.log.error("a newer process runs under this instance's name")
        application.request_stop()


@periodic_task("document", lambda settings: settings.timers.document_poll_ms)
async def poll_document(application):
    """Read the head row of the document, and what changed."""
    await application.membership_driver.poll_document()


@on_stop(Phase.READINESS)
async def announce_leaving(application):
    """Tell the members that this instance owns no shards from now on."""
    application.membership_driver.leave()
    with contextlib.suppress(TimeoutError):
        async with asyncio.timeout(LEAVE_TIMEOUT_S):
            await application.membership_driver.send_heartbeat()
