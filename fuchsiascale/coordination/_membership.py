"""Membership: heartbeats that spread digests, beside the platform's lagging list."""

import msgspec

from fuchsiascale.coordination._messages import Heartbeat, HeartbeatReply, PeerDigest
from fuchsiascale.coordination._view import ClusterView, Member
from fuchsiascale.ids import Revision
from fuchsiascale.states import InstanceRole, ListedState, PeerState

__all__ = ["Membership", "MembershipLimits"]

SPREAD_DIGESTS = 3


class MembershipLimits(msgspec.Struct, frozen=True, kw_only=True):
    """Times after which a silent peer is believed to be worse off.

    Parameters
    ----------
    suspect_s : float
        Seconds without a newer beat until a peer is suspect.
    gone_s : float
        Seconds without a newer beat until a peer is gone.
    remote_factor : float
        Factor on both for peers of other failure domains.
    forget_s : float
        Seconds without a newer beat until a peer's entry is dropped.
    listed_s : float
        Seconds for which a list that was read counts as fresh.
    """

    suspect_s: float = 4.0
    gone_s: float = 8.0
    remote_factor: float = 5.0
    forget_s: float = 120.0
    listed_s: float = 10.0


DEFAULT_LIMITS = MembershipLimits()


class _Peer:
    """Newest digest of a peer and when it was learned."""

    def __init__(self, digest, seen_s):
        self.digest = digest
        self.seen_s = seen_s


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
        Peer addresses to contact while no peer is known.

    Notes
    -----
    Performs no input or output: the driver sends what :meth:`heartbeat`
    returns and passes the answers in.
    """

    def __init__(self, member, clock, random, limits=DEFAULT_LIMITS, seeds=()):
        self._member = member
        self._clock = clock
        self._random = random
        self._limits = limits
        self._seeds = tuple(seeds)
        self._peers = {}
        self._listed = ()
        self._listed_s = None
        self._marks = set()
        self._own = PeerDigest(
            instance=member.instance,
            address=member.address,
            failure_domain=member.failure_domain,
            region=member.region,
            incarnation=clock.wall_ms(),
            beat=0,
        )

    def update(self, **changes):
        """Replace fields of the own digest: state, revision, in_flight, shards."""
        self._own = msgspec.structs.replace(self._own, **changes)

    def mark_leaving(self, upstreams):
        """Note upstreams that said themselves that they are leaving."""
        self._marks.update(upstreams)

    def digest(self) -> PeerDigest:
        """Return the own digest as it stands."""
        return msgspec.structs.replace(
            self._own, leaving_upstreams=tuple(sorted(self._marks))
        )

    def heartbeat(self) -> Heartbeat:
        """Count one beat and return the message for the chosen peer."""
        self.update(beat=self._own.beat + 1)
        peers = sorted(self._peers.values(), key=lambda peer: -peer.seen_s)
        spread = tuple(peer.digest for peer in peers[:SPREAD_DIGESTS])
        return Heartbeat(digests=(self.digest(), *spread))

    def observe_heartbeat(self, heartbeat) -> HeartbeatReply:
        """Take in a peer's heartbeat and return what it knows less of."""
        for digest in heartbeat.digests:
            self._observe(digest)
        return HeartbeatReply(digests=(self.digest(),))

    def observe_reply(self, reply):
        """Take in the answer to a heartbeat."""
        for digest in reply.digests:
            self._observe(digest)

    def observe_list(self, listed):
        """Take in the platform's list, as it was read just now."""
        self._listed = tuple(listed)
        self._listed_s = self._clock.monotonic()

    def choose_peer(self) -> str | None:
        """Return the peer address to send the next heartbeat to, if any."""
        addresses = {
            entry.address for entry in self._listed if entry.role is InstanceRole.ENTRY
        }
        addresses.update(peer.digest.address for peer in self._peers.values())
        addresses.update(self._seeds)
        addresses.discard(self._member.address)
        return self._random.choice(sorted(addresses)) if addresses else None

    def state_of(self, instance) -> PeerState:
        """Return what is believed of a peer."""
        peer = self._peers.get(instance)
        if peer is None:
            return PeerState.GONE
        age_s = self._clock.monotonic() - peer.seen_s
        local = peer.digest.failure_domain == self._member.failure_domain
        factor = 1.0 if local else self._limits.remote_factor
        if age_s > self._limits.gone_s * factor:
            return PeerState.GONE
        if peer.digest.state is PeerState.LEAVING:
            return PeerState.LEAVING
        if age_s > self._limits.suspect_s * factor:
            return PeerState.SUSPECT
        return PeerState.ALIVE

    def digests(self) -> tuple[PeerDigest, ...]:
        """Return the newest digest of each peer that is not gone."""
        return tuple(
            peer.digest
            for instance, peer in sorted(self._peers.items())
            if self.state_of(instance) is not PeerState.GONE
        )

    def newest_revision(self) -> Revision:
        """Return the newest document revision that any peer told of."""
        return max((peer.digest.revision for peer in self._peers.values()), default=0)

    def view(self) -> ClusterView:
        """Return what is believed of the fleet at this moment."""
        own_domain = self._member.failure_domain
        members, peers = [self._member], []
        for digest in self.digests():
            state = self.state_of(digest.instance)
            if state not in (PeerState.ALIVE, PeerState.SUSPECT):
                continue
            member = Member(
                instance=digest.instance,
                address=digest.address,
                failure_domain=digest.failure_domain,
                region=digest.region,
            )
            local = digest.failure_domain == own_domain
            (members if local else peers).append(member)
        return ClusterView(
            instance=self._member.instance,
            failure_domain=own_domain,
            region=self._member.region,
            members=tuple(sorted(members, key=lambda member: member.instance)),
            peers=tuple(peers),
            upstreams=tuple(
                entry for entry in self._listed if entry.role is not InstanceRole.ENTRY
            ),
            leaving=frozenset(self._leaving()),
            listed=self._is_listed(),
        )

    def _leaving(self):
        yield from self._marks
        for entry in self._listed:
            if entry.state is ListedState.LEAVING:
                yield entry.instance_id
        for digest in self.digests():
            yield from digest.leaving_upstreams

    def _is_listed(self):
        if self._listed_s is None:
            return False
        age_s = self._clock.monotonic() - self._listed_s
        return age_s <= self._limits.listed_s

    def _observe(self, digest):
        if digest.instance == self._member.instance:
            return
        known = self._peers.get(digest.instance)
        if known is None or _order(digest) > _order(known.digest):
            self._peers[digest.instance] = _Peer(digest, self._clock.monotonic())


def _order(digest):
    return digest.incarnation, digest.beat
