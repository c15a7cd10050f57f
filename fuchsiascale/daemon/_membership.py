"""Driver of membership and of the fleet document over the peer interface."""

import asyncio

from returns.result import Failure, Success

from fuchsiascale.api import (
    ConfirmReply,
    Heartbeat,
    HeartbeatReply,
    SectionsReply,
    SectionsRequest,
)
from fuchsiascale.daemon._routes import PEER_ROUTES
from fuchsiascale.states import PeerState

__all__ = ["HEARTBEAT_PATH", "SECTIONS_PATH", "MembershipDriver"]

HEARTBEAT_PATH = "/peer/v1/heartbeat"
SECTIONS_PATH = "/peer/v1/sections"
MAX_CONCURRENT_CALLS = 16
MAX_PULL_PEERS = 3
ANNOUNCEMENT_RETRY_S = 0.5


class MembershipDriver:
    """Sends heartbeats, reads the list and keeps the document up to date.

    Parameters
    ----------
    membership : Membership
        Known peers and upstreams.
    documents : DocumentReplica
        Replica of the fleet document.
    peers : PeerClient
        Client of the peer interface.
    instance_list : InstanceList
        Port to the platform's list.
    sleep : callable, optional
        Coroutine function that waits for some seconds.
    """

    def __init__(
        self, membership, documents, peers, instance_list, sleep=asyncio.sleep
    ):
        self._membership = membership
        self._documents = documents
        self._peers = peers
        self._instance_list = instance_list
        self._sleep = sleep
        self._calls = asyncio.Semaphore(MAX_CONCURRENT_CALLS)
        self._announcement_due = asyncio.Event()
        self._polling = asyncio.Lock()
        self._document_stale = asyncio.Event()

    def observe_heartbeat(self, heartbeat) -> HeartbeatReply:
        """Answer a peer's heartbeat."""
        self._refresh()
        reply = self._membership.observe_heartbeat(heartbeat)
        self._signal_tasks()
        return reply

    async def send_heartbeat(self):
        """Send a heartbeat to a random peer and to those with pending announcements."""
        self._refresh()
        await self._send(self._membership.choose_targets())

    async def announce_start(self):
        """Send one heartbeat to every other instance of the own failure domain."""
        view = self._membership.view()
        entries = self._membership.entries()
        domain_addresses = [
            e.address for e in entries if e.failure_domain == view.failure_domain
        ]
        await self._send(domain_addresses)

    async def send_announcements(self):
        """Send announcements as soon as they are made; run until cancelled."""
        while True:
            await self._announcement_due.wait()
            self._announcement_due.clear()
            self._refresh()
            await self._send(self._membership.list_unconfirmed_addresses())
            if self._membership.list_unconfirmed_addresses():
                await self._sleep(ANNOUNCEMENT_RETRY_S)
                self._announcement_due.set()

    async def follow_revisions(self):
        """Fetch newer revisions that peers report; run until cancelled."""
        while True:
            await self._document_stale.wait()
            self._document_stale.clear()
            if self._documents.store_reachable():
                await self.poll_document()
            else:
                await self._pull_document()

    def announce(self, everywhere=False):
        """Announce the own state and revision to all members at once."""
        self._refresh()
        self._membership.announce(everywhere=everywhere)
        self._announcement_due.set()

    def mark_leaving(self, upstreams):
        """Announce that upstreams reported that they are leaving."""
        self._membership.mark_leaving(upstreams)
        self._signal_tasks()

    def leave(self):
        """Announce to all members that this instance is stopping."""
        self._membership.update(state=PeerState.LEAVING)
        self._announcement_due.set()

    async def read_list(self) -> bool:
        """Read the platform's list; return whether it answered."""
        found = await self._instance_list.fetch()
        if isinstance(found, Success):
            self._membership.observe_list(found.unwrap())
            self._signal_tasks()
        return isinstance(found, Success)

    async def poll_document(self):
        """Read the document from the store, or from peers while that is unreachable."""
        async with self._polling:
            answered = await self._documents.poll()
        self._refresh()
        if not answered:
            await self._pull_document()

    async def _pull_document(self):
        """Read the document from peers, and announce a newer one to the members.

        Does not wait for the store, which is known to be unreachable.
        """
        if await self._documents.pull(self._find_sources()):
            self.announce()

    async def confirm(self, revision) -> ConfirmReply:
        """Ask the instances that have not confirmed a revision; return who has it.

        Parameters
        ----------
        revision : Revision
            The revision that should be in force.
        """
        entries = self._membership.entries()
        behind = self._find_behind(entries, revision)
        await self._send([entry.address for entry in behind])
        missing = {entry.instance for entry in self._find_behind(entries, revision)}
        own = self._membership.digest()
        names = {entry.instance for entry in entries}
        ahead = self._documents.revision() >= revision
        (names if ahead else missing).add(own.instance)
        return ConfirmReply(
            revision=revision,
            confirmed=tuple(sorted(names - missing)),
            missing=tuple(sorted(missing)),
        )

    async def fetch_sections(self, address, request) -> SectionsReply | None:
        """Ask a peer for the sections that changed after a revision."""
        result = await self._peers.call(address, SECTIONS_PATH, request, SectionsReply)
        return result.value_or(None)

    def _refresh(self):
        """Copy the document's revision and cordons to membership."""
        revision = self._documents.revision()
        if revision == self._membership.digest().revision:
            return
        self._membership.update(revision=revision)
        instances = self._documents.fleet().instances
        self._membership.cordon(
            name for name, settings in instances.items() if settings.cordoned
        )

    def _find_behind(self, entries, revision):
        known = {digest.instance: digest for digest in self._membership.digests()}
        return [
            entry
            for entry in entries
            if entry.instance not in known or known[entry.instance].revision < revision
        ]

    def _find_sources(self):
        """Return addresses of peers that hold a newer document, newest first."""
        own = self._documents.revision()
        digests = [
            digest for digest in self._membership.digests() if digest.revision > own
        ]
        digests.sort(key=lambda digest: -digest.revision)
        return [digest.address for digest in digests[:MAX_PULL_PEERS]]

    def _signal_tasks(self):
        """Wake the tasks that have work to do after an observation."""
        if self._membership.list_unconfirmed_addresses():
            self._announcement_due.set()
        if self._membership.newest_revision() > self._documents.revision():
            self._document_stale.set()

    async def _send(self, addresses):
        if not addresses:
            return
        heartbeat = self._membership.heartbeat()
        calls = (self._exchange(address, heartbeat) for address in addresses)
        await asyncio.gather(*calls)
        if self._membership.newest_revision() > self._documents.revision():
            self._document_stale.set()

    async def _exchange(self, address, heartbeat):
        async with self._calls:
            result = await self._peers.call(
                address, HEARTBEAT_PATH, heartbeat, HeartbeatReply
            )
        if isinstance(result, Failure):
            self._membership.observe_failure(address)
        else:
            self._membership.observe_reply(result.unwrap())


@PEER_ROUTES.route("POST", HEARTBEAT_PATH, Heartbeat)
async def answer_heartbeat(application, message, request):
    """Answer a heartbeat of a peer."""
    return application.membership_driver.observe_heartbeat(message)


@PEER_ROUTES.route("POST", SECTIONS_PATH, SectionsRequest)
async def answer_sections(application, message, request):
    """Answer a peer that lacks sections of the document."""
    return application.documents.build_sections_reply(message)
