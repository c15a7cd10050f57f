"""Membership by heartbeats that spread digests, besides the platform's lagging list.

References
----------
.. [1] A. Das, I. Gupta, A. Motivala, "SWIM: Scalable Weakly-consistent
   Infection-style Process Group Membership Protocol", DSN 2002.
"""

import msgspec

from fuchsiascale.coordination._leaving import LeavingMarks
from fuchsiascale.coordination._messages import Heartbeat, HeartbeatReply, PeerDigest
from fuchsiascale.coordination._peers import (
    DEFAULT_LIMITS,
    MembershipLimits,
    PeerTable,
    choose_limits,
    relay_digest,
)
from fuchsiascale.coordination._view import ClusterView, Member
from fuchsiascale.ids import Revision
from fuchsiascale.states import InstanceRole, ListedState, PeerState

__all__ = ["Membership", "MembershipLimits", "choose_limits"]

RELAYED_DIGESTS = 4
REMOTE_INTERVAL_BEATS = 5
PROBE_PROBABILITY = 0.2
STALEST_PROBABILITY = 0.7
SHARDS_INTERVAL_MESSAGES = 4
ESTABLISHED_BEATS = 10
DOMAIN_NOTICE_S = 10.0
MAX_VIEW_AGE_S = 0.25


class Membership:
    """Tracks the peers and upstreams that one instance knows.

    Parameters
    ----------
    member : Member
        This instance.
    clock : Clock
        Source of time.
    random : random.Random
        Source of randomness in the choice of peers.
    limits : MembershipLimits
        Times after which a silent peer counts as suspect or gone.
    seeds : tuple of str
        Peer addresses to contact besides the listed ones.

    Notes
    -----
    Performs no input or output. The driver sends the message that
    :meth:`heartbeat` returns to the addresses that :meth:`choose_targets` returns,
    and passes in the replies and failures.
    """

    def __init__(self, member, clock, random, limits=DEFAULT_LIMITS, seeds=()):
        self._member = member
        self._clock = clock
        self._random = random
        self._limits = limits
        self._seeds = frozenset(seeds)
        self._peers = PeerTable(member.failure_domain, clock, limits)
        self._leaving = LeavingMarks(clock)
        self._listed = ()
        self._listed_s = None
        self._remote_addresses = {}
        self._announcement = 0
        self._unconfirmed_domains = {}
        self._superseded = False
        self._cordoned = frozenset()
        self._sent_count = 0
        self._upstreams = ()
        self._view = None
        self._view_until_s = 0.0
        self._own_digest = PeerDigest(
            instance=member.instance,
            address=member.address,
            failure_domain=member.failure_domain,
            region=member.region,
            incarnation=clock.wall_ms(),
            beat=0,
        )

    def update(self, **changes):
        """Update the state, revision, in_flight or shards in this instance's digest.

        A change of the state is announced to all members at once.
        """
        before = self._own_digest
        self._own_digest = msgspec.structs.replace(before, **changes)
        if self._own_digest.state is not before.state:
            self.announce()

    def announce(self, everywhere=False):
        """Announce this instance's digest, which every member then has to confirm.

        Parameters
        ----------
        everywhere : bool
            Whether to announce it to one peer of each other failure domain too.
        """
        self._announcement += 1
        if not everywhere:
            return
        until_s = self._clock.monotonic() + DOMAIN_NOTICE_S
        placed = [*self._listed_entries(True), *self._peers.digests()]
        self._unconfirmed_domains = {
            item.failure_domain: until_s
            for item in placed
            if not self._peers.is_local(item)
        }

    def mark_leaving(self, upstreams):
        """Mark upstreams that reported that they are leaving."""
        if self._leaving.mark(upstreams):
            self.announce()
            self._invalidate_view()

    def clear_leaving(self, upstreams):
        """Remove the leaving marks of upstreams that are back."""
        self._leaving.clear(upstreams)
        self._invalidate_view()

    def cordon(self, upstreams):
        """Set the upstreams that get no new work at the request of operators."""
        self._cordoned = frozenset(upstreams)
        self._invalidate_view()

    def digest(self) -> PeerDigest:
        """Return the current digest of this instance."""
        leaving = self._leaving.list_recent()
        return msgspec.structs.replace(self._own_digest, leaving_upstreams=leaving)

    def _build_outgoing_digest(self):
        """Return this instance's digest, with the shards in some messages only."""
        self._sent_count += 1
        digest = self.digest()
        return (
            digest
            if self._sent_count % SHARDS_INTERVAL_MESSAGES == 1
            else relay_digest(digest)
        )

    def heartbeat(self) -> Heartbeat:
        """Advance the beat counter and return the message for the chosen peers."""
        self._own_digest = msgspec.structs.replace(
            self._own_digest, beat=self._own_digest.beat + 1
        )
        newest = self._peers.find_newest(RELAYED_DIGESTS)
        relayed = tuple(relay_digest(digest) for digest in newest)
        return Heartbeat(
            digests=(self._build_outgoing_digest(), *relayed), news=self._announcement
        )

    def observe_heartbeat(self, heartbeat) -> HeartbeatReply:
        """Process a peer's heartbeat and return newer digests that the peer lacks."""
        received = {digest.instance for digest in heartbeat.digests}
        newer = self._peers.find_newer(heartbeat.digests)
        for digest in heartbeat.digests:
            self._apply_digest(digest)
        newest = self._peers.find_newest(RELAYED_DIGESTS + len(received))
        newer += [digest for digest in newest if digest.instance not in received]
        relayed = tuple(relay_digest(digest) for digest in newer[:RELAYED_DIGESTS])
        digests = (self._build_outgoing_digest(), *relayed)
        return HeartbeatReply(digests=digests, news=heartbeat.news)

    def observe_reply(self, reply):
        """Process the reply to a heartbeat; the first digest is that of the peer."""
        for digest in reply.digests:
            self._apply_digest(digest)
        answered = reply.digests[0]
        self._peers.confirm(answered.instance, reply.news)
        self._unconfirmed_domains.pop(answered.failure_domain, None)

    def observe_failure(self, address):
        """Record that a peer's address did not answer."""
        self._peers.observe_failure(address)

    def observe_list(self, listed):
        """Process the platform's list, which was read just now."""
        listed = tuple(listed)
        if listed != self._listed:
            self._listed = listed
            self._upstreams = tuple(
                entry for entry in listed if entry.role is not InstanceRole.ENTRY
            )
        self._listed_s = self._clock.monotonic()
        self._remote_addresses = {
            entry.instance_id: entry.address for entry in self._listed_entries(True)
        }
        leaving = [
            entry.instance_id
            for entry in self._upstreams
            if entry.state is ListedState.LEAVING
        ]
        if self._leaving.observe_list(leaving):
            self.announce()
        self._leaving.drop_expired()
        self._peers.drop_expired()
        self._invalidate_view()

    def choose_peer(self) -> str | None:
        """Return the peer address for the next heartbeat, or None if there is none."""
        remote = (
            self._own_digest.beat % REMOTE_INTERVAL_BEATS == REMOTE_INTERVAL_BEATS - 1
        )
        stalest = None if remote else self._peers.find_stalest()
        if stalest is not None and self._should_try(stalest):
            return stalest.address
        for is_remote in (remote, not remote):
            address = self._choose_address(self._find_addresses(is_remote))
            if address is not None:
                return address
        return None

    def choose_targets(self) -> tuple[str, ...]:
        """Return the addresses for this beat: one chosen and all unconfirmed ones."""
        chosen = self.choose_peer()
        targets = [] if chosen is None else [chosen]
        targets += [
            address
            for address in self.list_unconfirmed_addresses()
            if address != chosen
        ]
        return tuple(targets)

    def list_unconfirmed_addresses(self) -> tuple[str, ...]:
        """Return addresses that have not confirmed the last announcement.

        For other failure domains, this is one address of each unconfirmed domain.
        """
        addresses = [
            digest.address
            for digest in self._peers.find_unconfirmed(self._announcement)
        ]
        now_s = self._clock.monotonic()
        for domain, until_s in sorted(self._unconfirmed_domains.items()):
            address = self._choose_address(self._find_addresses(True, domain))
            if address is not None and now_s < until_s:
                addresses.append(address)
        return tuple(addresses)

    def superseded(self) -> bool:
        """Return whether a newer process runs under this instance's name."""
        return self._superseded

    def state_of(self, instance) -> PeerState:
        """Return the assumed state of a peer."""
        return self._peers.state_of(instance)

    def digests(self) -> tuple[PeerDigest, ...]:
        """Return the newest digest of each peer that is not gone."""
        return self._peers.digests()

    def newest_revision(self) -> Revision:
        """Return the newest document revision that any peer reported."""
        return Revision(self._peers.newest_revision())

    def view(self) -> ClusterView:
        """Return the current view of the fleet.

        Returns
        -------
        ClusterView
            The same object as before while nothing has changed.
        """
        now_s = self._clock.monotonic()
        if self._view is None or now_s >= self._view_until_s:
            view = self._build_view()
            if view != self._view:
                self._view = view
            self._view_until_s = now_s + MAX_VIEW_AGE_S
        return self._view

    def _build_view(self):
        members = [self._member]
        peers = self._listed_peers()
        for digest in self._peers.digests():
            member = _build_member(digest, digest.instance)
            if digest.state is PeerState.LEAVING:
                peers.pop(member.instance, None)
            elif self._peers.is_local(digest):
                members.append(member)
            else:
                peers[member.instance] = member
        return ClusterView(
            instance=self._member.instance,
            failure_domain=self._member.failure_domain,
            region=self._member.region,
            members=tuple(sorted(members, key=lambda member: member.instance)),
            peers=tuple(peers[instance] for instance in sorted(peers)),
            upstreams=self._upstreams,
            leaving=self._find_leaving(),
            listed=self._is_list_fresh(),
        )

    def _find_leaving(self):
        """Return marked and cordoned upstreams, and the runners on such workers."""
        marked = self._leaving.names() | self._cordoned
        if not marked:
            return marked
        return marked | {
            entry.instance_id for entry in self._upstreams if entry.worker in marked
        }

    def _invalidate_view(self):
        """Make the next call of :meth:`view` rebuild the view."""
        self._view_until_s = 0.0

    def entries(self) -> tuple[Member, ...]:
        """Return every other instance that is listed or not gone."""
        found = {
            entry.instance_id: _build_member(entry, entry.instance_id)
            for remote in (True, False)
            for entry in self._listed_entries(remote)
        }
        for digest in self._peers.digests():
            found[digest.instance] = _build_member(digest, digest.instance)
        found.pop(self._member.instance, None)
        return tuple(found[instance] for instance in sorted(found))

    def _listed_peers(self):
        """Return live listed instances of other domains without a recent failure."""
        return {
            entry.instance_id: _build_member(entry, entry.instance_id)
            for entry in self._listed_entries(True)
            if entry.state is ListedState.LIVE
            and not self._peers.has_failed_recently(entry.address)
        }

    def _listed_entries(self, remote):
        return [
            entry
            for entry in self._listed
            if entry.role is InstanceRole.ENTRY
            and remote is not self._peers.is_local(entry)
        ]

    def _find_addresses(self, remote, domain=None):
        """Map local or remote addresses to whether a live peer has them."""
        seeds = () if remote else self._seeds
        found = dict.fromkeys(seeds, False)
        for entry in self._listed_entries(remote):
            if domain in (None, entry.failure_domain):
                found[entry.address] = False
        found.update(self._peers.find_addresses(remote, domain))
        found.pop(self._member.address, None)
        return found

    def _should_try(self, stalest):
        """Return whether to contact the stalest member rather than a random one.

        A suspect is always contacted: it either answers or is known to fail.
        """
        suspect = self.state_of(stalest.instance) is PeerState.SUSPECT
        return suspect or self._random.random() < STALEST_PROBABILITY

    def _choose_address(self, found):
        """Choose a live address usually, and sometimes one that is not live."""
        live = sorted(address for address, is_live in found.items() if is_live)
        not_live = sorted(address for address, is_live in found.items() if not is_live)
        probe = not live or self._random.random() < PROBE_PROBABILITY
        chosen = not_live if not_live and probe else live
        return self._random.choice(chosen) if chosen else None

    def _is_list_fresh(self):
        if self._listed_s is None:
            return False
        age_s = self._clock.monotonic() - self._listed_s
        return age_s <= self._limits.listed_s

    def _apply_digest(self, digest):
        if digest.instance == self._member.instance:
            self._check_incarnation(digest)
            return
        digest = self._use_listed_address(digest)
        if self._peers.observe(digest) and self._peers.is_local(digest):
            self._leaving.mark_reported(digest.leaving_upstreams)
            self._invalidate_view()

    def _use_listed_address(self, digest):
        """Use the listed address, since a link may translate the peer's own."""
        address = self._remote_addresses.get(digest.instance, digest.address)
        return msgspec.structs.replace(digest, address=address)

    def _check_incarnation(self, digest):
        """Exceed the incarnation of an earlier process, or detect a later process.

        Both are processes under this instance's name.
        """
        if digest.incarnation <= self._own_digest.incarnation:
            return
        if self._own_digest.beat > ESTABLISHED_BEATS:
            self._superseded = True
            return
        incarnation = digest.incarnation + 1
        self._own_digest = msgspec.structs.replace(
            self._own_digest, incarnation=incarnation
        )


def _build_member(placed, instance):
    return Member(
        instance=instance,
        address=placed.address,
        failure_domain=placed.failure_domain,
        region=placed.region,
    )
