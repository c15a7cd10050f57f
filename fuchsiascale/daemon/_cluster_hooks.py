"""Mounts membership and the fleet document into the application."""

import asyncio
import contextlib

from fuchsiascale.coordination import DocumentReplica, Member, Membership, choose_limits
from fuchsiascale.daemon._lifecycle import Phase, on_start, on_stop, periodic_task
from fuchsiascale.daemon._membership import MembershipDriver

LEAVE_TIMEOUT_S = 1.0


@on_start(Phase.MEMBERSHIP)
async def start_membership(application):
    """Create membership, document and their driver, and read list and document."""
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
        make_section_fetcher(application),
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


def make_section_fetcher(application):
    """Return the function with which the document replica asks a peer."""

    async def fetch(address, request):
        return await application.membership_driver.fetch_sections(address, request)

    return fetch


@on_start(Phase.READINESS)
async def start_announcements(application):
    """Announce this instance, and start the tasks that react to changes at once."""
    driver = application.membership_driver
    await driver.announce_start()
    application.run_in_background(driver.send_announcements())
    application.run_in_background(driver.follow_revisions())


@periodic_task("instance list", lambda settings: settings.timers.list_poll_ms)
async def read_list(application):
    """Read the platform's instance list; if that fails, the last one is kept."""
    await application.membership_driver.read_list()


@periodic_task("heartbeat", lambda settings: settings.timers.heartbeat_ms)
async def send_heartbeat(application):
    """Send a heartbeat with the current figures."""
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
    """Read the head row of the document, and the sections that changed."""
    await application.membership_driver.poll_document()


@on_stop(Phase.READINESS)
async def announce_leaving(application):
    """Announce to the members that this instance no longer owns shards."""
    application.membership_driver.leave()
    with contextlib.suppress(TimeoutError):
        async with asyncio.timeout(LEAVE_TIMEOUT_S):
            await application.membership_driver.send_heartbeat()
