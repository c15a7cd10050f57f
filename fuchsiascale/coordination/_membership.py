"""Membership: heartbeats that spread digests, beside the platform's lagging list.

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
    """What one instance knows of its peers and of the upstreams.

    Parameters
    ----------
    member : Member
        The instance itself.
    clock : Clock
        Source of time.
    random : random.Random
        Source of the choice of peers.
    limits : MembershipLimits
        Times after which a silent peer is believed to be worse off.
    seeds : tuple of str
        Peer addresses to contact beside the listed ones.

    Notes
    -----
    Performs no input or output. The driver sends what :meth:`heartbeat`
    returns to what :meth:`choose_targets` returns, and passes answers and
    failures in.
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
        self._own = PeerDigest(
            instance=member.instance,
            address=member.address,
            failure_domain=member.failure_domain,
            region=member.region,
            incarnation=clock.wall_ms(),
            beat=0,
        )

    def update(self, **changes):
        """Replace fields of the own digest: state, revision, in_flight, shards.

        A change of the state is news that all members are told at once.
        """
        before = self._own
        self._own = msgspec.structs.replace(before, **changes)
        if self._own.state is not before.state:
            self.announce()

    def announce(self, everywhere=False):
        """Owe the own digest to every member, and to one peer a failure domain.

        Parameters
        ----------
        everywhere : bool
            Whether the other failure domains are told too.
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
        """Note upstreams that said themselves that they are leaving."""
        if self._leaving.mark(upstreams):
            self.announce()
            self._invalidate_view()

    def clear_leaving(self, upstreams):
        """Note upstreams that were seen to be back."""
        self._leaving.clear(upstreams)
        self._invalidate_view()

    def cordon(self, upstreams):
        """Set which upstreams get no new work by the operators' wish."""
        self._cordoned = frozenset(upstreams)
        self._invalidate_view()

    def digest(self) -> PeerDigest:
        """Return the own digest as it stands."""
        leaving = self._leaving.list_recent()
        return msgspec.structs.replace(self._own, leaving_upstreams=leaving)

    def _build_outgoing_digest(self):
        """Return the own digest, with the shards in some messages only."""
        self._sent_count += 1
        digest = self.digest()
        return (
            digest
            if self._sent_count % SHARDS_INTERVAL_MESSAGES == 1
            else relay_digest(digest)
        )

    def heartbeat(self) -> Heartbeat:
        """Count one beat and return the message for the chosen peers."""
        self._own = msgspec.structs.replace(self._own, beat=self._own.beat + 1)
        newest = self._peers.find_newest(RELAYED_DIGESTS)
        spread = tuple(relay_digest(digest) for digest in newest)
        return Heartbeat(
            digests=(self._build_outgoing_digest(), *spread), news=self._announcement
        )

    def observe_heartbeat(self, heartbeat) -> HeartbeatReply:
        """Take in a peer's heartbeat and return what the peer knows less of."""
        received = {digest.instance for digest in heartbeat.digests}
        newer = self._peers.find_newer(heartbeat.digests)
        for digest in heartbeat.digests:
            self._observe(digest)
        newest = self._peers.find_newest(RELAYED_DIGESTS + len(received))
        newer += [digest for digest in newest if digest.instance not in received]
        relayed = tuple(relay_digest(digest) for digest in newer[:RELAYED_DIGESTS])
        digests = (self._build_outgoing_digest(), *relayed)
        return HeartbeatReply(digests=digests, news=heartbeat.news)

    def observe_reply(self, reply):
        """Take in the answer to a heartbeat; the first digest is the peer's own."""
        for digest in reply.digests:
            self._observe(digest)
        answered = reply.digests[0]
        self._peers.confirm(answered.instance, reply.news)
        self._unconfirmed_domains.pop(answered.failure_domain, None)

    def observe_failure(self, address):
        """Note that a peer's address did not answer."""
        self._peers.observe_failure(address)

    def observe_list(self, listed):
        """Take in the platform's list, as it was read just now."""
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
        """Return the peer address to send the next heartbeat to, if any."""
        remote = self._own.beat % REMOTE_INTERVAL_BEATS == REMOTE_INTERVAL_BEATS - 1
        stalest = None if remote else self._peers.find_stalest()
        if stalest is not None and self._should_try(stalest):
            return stalest.address
        for wanted in (remote, not remote):
            address = self._choose_address(self._find_addresses(wanted))
            if address is not None:
                return address
        return None

    def choose_targets(self) -> tuple[str, ...]:
        """Return the addresses for this beat: one at random, and those owed news."""
        chosen = self.choose_peer()
        targets = [] if chosen is None else [chosen]
        targets += [
            address
            for address in self.list_unconfirmed_addresses()
            if address != chosen
        ]
        return tuple(targets)

    def list_unconfirmed_addresses(self) -> tuple[str, ...]:
        """Return the addresses of peers that have not confirmed the last news."""
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
        """Return whether a newer process runs under the own instance's name."""
        return self._superseded

    def state_of(self, instance) -> PeerState:
        """Return what is believed of a peer."""
        return self._peers.state_of(instance)

    def digests(self) -> tuple[PeerDigest, ...]:
        """Return the newest digest of each peer that is not gone."""
        return self._peers.digests()

    def newest_revision(self) -> Revision:
        """Return the newest document revision that any peer told of."""
        return Revision(self._peers.newest_revision())

    def view(self) -> ClusterView:
        """Return what is believed of the fleet at this moment.

        Returns
        -------
        ClusterView
            The same object as before for as long as nothing has changed.
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
            listed=self._is_listed(),
        )

    def _find_leaving(self):
        """Return what is marked or cordoned, with the runners on such workers."""
        marked = self._leaving.names() | self._cordoned
        if not marked:
            return marked
        return marked | {
            entry.instance_id for entry in self._upstreams if entry.worker in marked
        }

    def _invalidate_view(self):
        """Let the next view be built anew."""
        self._view_until_s = 0.0

    def entries(self) -> tuple[Member, ...]:
        """Return every other instance that is listed or was heard of lately."""
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
        """Return listed instances of other domains that did not fail lately."""
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
        """Return addresses on one side, each with whether a live peer has it."""
        seeds = () if remote else self._seeds
        found = dict.fromkeys(seeds, False)
        for entry in self._listed_entries(remote):
            if domain in (None, entry.failure_domain):
                found[entry.address] = False
        found.update(self._peers.find_addresses(remote, domain))
        found.pop(self._member.address, None)
        return found

    def _should_try(self, stalest):
        """Return whether to try the member heard of longest ago, not any other.

        A suspect is tried for certain: it answers, or is known to fail.
        """
        suspect = self.state_of(stalest.instance) is PeerState.SUSPECT
        return suspect or self._random.random() < STALEST_PROBABILITY

    def _choose_address(self, found):
        """Choose a live address mostly, and now and then one that is not."""
        live = sorted(address for address, is_live in found.items() if is_live)
        rest = sorted(address for address, is_live in found.items() if not is_live)
        probe = not live or self._random.random() < PROBE_PROBABILITY
        chosen = rest if rest and probe else live
        return self._random.choice(chosen) if chosen else None

    def _is_listed(self):
        if self._listed_s is None:
            return False
        age_s = self._clock.monotonic() - self._listed_s
        return age_s <= self._limits.listed_s

    def _observe(self, digest):
        if digest.instance == self._member.instance:
            self._observe_self(digest)
            return
        digest = self._use_listed_address(digest)
        if self._peers.observe(digest) and self._peers.is_local(digest):
            self._leaving.mark_reported(digest.leaving_upstreams)
            self._invalidate_view()

    def _use_listed_address(self, digest):
        """Prefer the list's address: a link may translate the peer's own."""
        address = self._remote_addresses.get(digest.instance, digest.address)
        return msgspec.structs.replace(digest, address=address)

    def _observe_self(self, digest):
        """Outbid an earlier process of the same name, or note a later one."""
        if digest.incarnation <= self._own.incarnation:
            return
        if self._own.beat > ESTABLISHED_BEATS:
            self._superseded = True
            return
        incarnation = digest.incarnation + 1
        self._own = msgspec.structs.replace(self._own, incarnation=incarnation)


def _build_member(placed, instance):
    return Member(
        instance=instance,
        address=placed.address,
        failure_domain=placed.failure_domain,
        region=placed.region,
    )
