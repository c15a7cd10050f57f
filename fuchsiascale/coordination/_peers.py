"""Table of the peers and the newest digest of each."""

import msgspec

from fuchsiascale.states import PeerState

__all__ = [
    "DEFAULT_LIMITS",
    "MembershipLimits",
    "PeerTable",
    "choose_limits",
    "relay_digest",
]

PAUSE_S = 6.0
RELAY_DELAY_S = 4.0
SUSPECT_BEATS = 2.5
GONE_BEATS = 10.0
REMOTE_GONE_BEATS = 30.0


class MembershipLimits(msgspec.Struct, frozen=True, kw_only=True):
    """Times after which a silent peer counts as suspect or gone.

    Parameters
    ----------
    suspect_s : float
        Seconds without a newer beat until a peer is suspect; if it also failed to
        answer since its last digest, it is gone.
    gone_s : float
        Seconds without a newer beat until any peer is gone.
    remote_gone_s : float
        The same for peers of other failure domains, which send fewer heartbeats.
    forget_s : float
        Seconds without a newer beat until a peer's entry is dropped.
    listed_s : float
        Seconds for which the list counts as fresh after it was read.
    """

    suspect_s: float = 5.0
    gone_s: float = 20.0
    remote_gone_s: float = 60.0
    forget_s: float = 300.0
    listed_s: float = 10.0


DEFAULT_LIMITS = MembershipLimits()


def choose_limits(heartbeat_interval_s):
    """Return limits scaled to the heartbeat interval.

    Parameters
    ----------
    heartbeat_interval_s : float
        Time between two heartbeats, in seconds.

    Returns
    -------
    MembershipLimits
        The default limits for an interval of two seconds.

    Examples
    --------
    >>> choose_limits(2.0) == DEFAULT_LIMITS
    True
    """
    return MembershipLimits(
        suspect_s=SUSPECT_BEATS * heartbeat_interval_s,
        gone_s=GONE_BEATS * heartbeat_interval_s,
        remote_gone_s=REMOTE_GONE_BEATS * heartbeat_interval_s,
    )


class _Peer:
    """Newest digest of a peer, its time of receipt and the announcement confirmed."""

    def __init__(self, digest, seen_s):
        self.digest = digest
        self.seen_s = seen_s
        self.confirmed_announcement = 0


class PeerTable:
    """Newest digest of each peer.

    Parameters
    ----------
    failure_domain : FailureDomainId
        Failure domain of this instance.
    clock : Clock
        Source of time.
    limits : MembershipLimits
        Times after which a silent peer counts as suspect or gone.

    Notes
    -----
    A gap of more than ``PAUSE_S`` seconds between two uses means that this process
    was paused. Peers can't be blamed for silence during the pause, so the gap is
    subtracted from all ages.
    """

    def __init__(self, failure_domain, clock, limits):
        self._failure_domain = failure_domain
        self._clock = clock
        self._limits = limits
        self._peers = {}
        self._failed = {}
        self._last_used_s = clock.monotonic()

    def is_local(self, placed):
        """Return whether an item is in the failure domain of this instance."""
        return placed.failure_domain == self._failure_domain

    def observe(self, digest) -> bool:
        """Store a digest if it is newer than the known one; return whether it is."""
        now_s = self._now()
        known = self._peers.get(digest.instance)
        if known is not None and _version(digest) <= _version(known.digest):
            return False
        peer = _Peer(_restore_shards(known, digest), now_s)
        if known is not None and known.digest.incarnation == digest.incarnation:
            peer.confirmed_announcement = known.confirmed_announcement
        self._peers[digest.instance] = peer
        return True

    def observe_failure(self, address):
        """Record that a peer's address did not answer."""
        self._failed[address] = self._now()

    def has_failed_recently(self, address):
        """Return whether an address recently failed to answer and has not since."""
        since_s = self._now() - self._limits.remote_gone_s
        return self._failed.get(address, since_s) > since_s

    def confirm(self, instance, announcement):
        """Record the last announcement that a peer has confirmed."""
        peer = self._peers.get(instance)
        if peer is not None:
            peer.confirmed_announcement = max(peer.confirmed_announcement, announcement)
            self._failed.pop(peer.digest.address, None)

    def state_of(self, instance) -> PeerState:
        """Return the assumed state of a peer."""
        peer = self._peers.get(instance)
        if peer is None:
            return PeerState.GONE
        age_s = self._now() - peer.seen_s
        if self._is_gone(peer, age_s):
            return PeerState.GONE
        if peer.digest.state is PeerState.LEAVING:
            return PeerState.LEAVING
        if age_s > self._limits.suspect_s and self.is_local(peer.digest):
            return PeerState.SUSPECT
        return PeerState.ALIVE

    def _is_gone(self, peer, age_s):
        """Return whether a peer was silent for too long or did not answer."""
        failed = self._failed_since_seen(peer)
        if not self.is_local(peer.digest):
            return failed or age_s > self._limits.remote_gone_s
        if failed and age_s > self._limits.suspect_s:
            return True
        return age_s > self._limits.gone_s

    def digests(self):
        """Return the newest digest of each peer that is not gone, sorted by name."""
        return tuple(
            peer.digest
            for instance, peer in sorted(self._peers.items())
            if self.state_of(instance) is not PeerState.GONE
        )

    def find_unconfirmed(self, announcement):
        """Return digests of members that have not confirmed an announcement."""
        return tuple(
            digest
            for digest in self.digests()
            if self.is_local(digest)
            and self._peers[digest.instance].confirmed_announcement < announcement
        )

    def find_newest(self, count):
        """Return digests of the members with the most recent beats."""
        local = [digest for digest in self.digests() if self.is_local(digest)]
        local.sort(key=lambda digest: -self._peers[digest.instance].seen_s)
        return local[:count]

    def find_stalest(self):
        """Return the member with the oldest beat among those that did not fail.

        Returns
        -------
        PeerDigest or None
            Its digest.
        """
        local = [
            digest
            for digest in self.digests()
            if self.is_local(digest)
            and not self._failed_since_seen(self._peers[digest.instance])
        ]
        local.sort(key=lambda digest: self._peers[digest.instance].seen_s)
        return local[0] if local else None

    def find_newer(self, digests):
        """Return the known digests that are newer than the given ones."""
        return [
            self._peers[digest.instance].digest
            for digest in digests
            if digest.instance in self._peers
            and _version(self._peers[digest.instance].digest) > _version(digest)
        ]

    def newest_revision(self):
        """Return the newest document revision that any peer reported."""
        revisions = (peer.digest.revision for peer in self._peers.values())
        return max(revisions, default=0)

    def find_addresses(self, remote, domain=None):
        """Map addresses of local or remote peers to whether each is live."""
        return {
            peer.digest.address: self.state_of(instance) is not PeerState.GONE
            for instance, peer in self._peers.items()
            if remote is not self.is_local(peer.digest)
            and domain in (None, peer.digest.failure_domain)
        }

    def drop_expired(self):
        """Drop entries of peers without a newer beat for ``forget_s`` seconds."""
        oldest_s = self._now() - self._limits.forget_s
        self._peers = {
            instance: peer
            for instance, peer in self._peers.items()
            if peer.seen_s >= oldest_s
        }
        self._failed = {
            address: failed_s
            for address, failed_s in self._failed.items()
            if failed_s >= oldest_s
        }

    def _failed_since_seen(self, peer):
        """Return whether a peer failed and no newer beat arrived well after that.

        A beat received shortly after the failure may have been sent before it.
        """
        failed_s = self._failed.get(peer.digest.address)
        return failed_s is not None and peer.seen_s < failed_s + RELAY_DELAY_S

    def _now(self):
        """Return the time, after a pause has been subtracted from all ages."""
        now_s = self._clock.monotonic()
        gap_s = now_s - self._last_used_s
        if gap_s > PAUSE_S:
            for peer in self._peers.values():
                peer.seen_s += gap_s
        self._last_used_s = now_s
        return now_s


def relay_digest(digest):
    """Return a digest without shards, which only the peer itself sends."""
    return msgspec.structs.replace(digest, shards=(), partial=True)


def _version(digest):
    return digest.incarnation, digest.beat


def _restore_shards(known, digest):
    """Add the shards received before to a digest that omits them."""
    if not digest.partial:
        return digest
    same = known is not None and known.digest.incarnation == digest.incarnation
    shards = known.digest.shards if same else ()
    return msgspec.structs.replace(digest, shards=shards, partial=False)
