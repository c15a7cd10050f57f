"""Table of what is known of each peer, by the newest digest of each."""

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
SPREAD_S = 4.0
SUSPECT_BEATS = 2.5
GONE_BEATS = 10.0
REMOTE_GONE_BEATS = 30.0


class MembershipLimits(msgspec.Struct, frozen=True, kw_only=True):
    """Times after which a silent peer is believed to be worse off.

    Parameters
    ----------
    suspect_s : float
        Seconds without a newer beat until a peer is suspect; one that also failed
        to answer since it was last heard of is gone.
    gone_s : float
        Seconds without a newer beat until any peer is gone.
    remote_gone_s : float
        The same for peers of other failure domains, which are heard less.
    forget_s : float
        Seconds without a newer beat until a peer's entry is dropped.
    listed_s : float
        Seconds for which a list that was read counts as fresh.
    """

    suspect_s: float = 5.0
    gone_s: float = 20.0
    remote_gone_s: float = 60.0
    forget_s: float = 300.0
    listed_s: float = 10.0


DEFAULT_LIMITS = MembershipLimits()


def choose_limits(beat_s):
    """Return limits that fit the time between two heartbeats.

    Parameters
    ----------
    beat_s : float
        Time between two heartbeats, in seconds.

    Returns
    -------
    MembershipLimits
        The default ones at a beat in two seconds.

    Examples
    --------
    >>> choose_limits(2.0) == DEFAULT_LIMITS
    True
    """
    return MembershipLimits(
        suspect_s=SUSPECT_BEATS * beat_s,
        gone_s=GONE_BEATS * beat_s,
        remote_gone_s=REMOTE_GONE_BEATS * beat_s,
    )


class _Peer:
    """Newest digest of a peer, when it was learned, and what it was told."""

    def __init__(self, digest, seen_s):
        self.digest = digest
        self.seen_s = seen_s
        self.told = 0


class PeerTable:
    """Newest digest of each peer.

    Parameters
    ----------
    failure_domain : FailureDomainId
        The own failure domain.
    clock : Clock
        Source of time.
    limits : MembershipLimits
        Times after which a silent peer is believed to be worse off.

    Notes
    -----
    A gap of more than ``PAUSE_S`` seconds between two uses means that this process
    did not run. What was not heard meanwhile speaks against no peer, so all
    ages are taken back by the gap.
    """

    def __init__(self, failure_domain, clock, limits):
        self._failure_domain = failure_domain
        self._clock = clock
        self._limits = limits
        self._peers = {}
        self._failed = {}
        self._used_s = clock.monotonic()

    def is_local(self, placed):
        """Return whether something stands in the own failure domain."""
        return placed.failure_domain == self._failure_domain

    def observe(self, digest) -> bool:
        """Keep a digest; return whether it is newer than the one known."""
        now_s = self._now()
        known = self._peers.get(digest.instance)
        if known is not None and _order(digest) <= _order(known.digest):
            return False
        peer = _Peer(_merge(known, digest), now_s)
        if known is not None and known.digest.incarnation == digest.incarnation:
            peer.told = known.told
        self._peers[digest.instance] = peer
        return True

    def observe_failure(self, address):
        """Note that a peer's address did not answer."""
        self._failed[address] = self._now()

    def failed_lately(self, address):
        """Return whether an address did not answer when it was last tried."""
        idle_since_s = self._now() - self._limits.remote_gone_s
        return self._failed.get(address, idle_since_s) > idle_since_s

    def confirm(self, instance, news):
        """Note up to which announcement a peer was told."""
        peer = self._peers.get(instance)
        if peer is not None:
            peer.told = max(peer.told, news)
            self._failed.pop(peer.digest.address, None)

    def state_of(self, instance) -> PeerState:
        """Return what is believed of a peer."""
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
        """Return whether a peer is silent for too long, or fails when tried."""
        failed = self._failed_since_seen(peer)
        if not self.is_local(peer.digest):
            return failed or age_s > self._limits.remote_gone_s
        if failed and age_s > self._limits.suspect_s:
            return True
        return age_s > self._limits.gone_s

    def digests(self):
        """Return the newest digest of each peer that is not gone, by name."""
        return tuple(
            peer.digest
            for instance, peer in sorted(self._peers.items())
            if self.state_of(instance) is not PeerState.GONE
        )

    def find_untold(self, news):
        """Return members that were not yet told of an announcement."""
        return tuple(
            digest
            for digest in self.digests()
            if self.is_local(digest) and self._peers[digest.instance].told < news
        )

    def find_newest(self, count):
        """Return digests of the members that were heard of last."""
        local = [digest for digest in self.digests() if self.is_local(digest)]
        local.sort(key=lambda digest: -self._peers[digest.instance].seen_s)
        return local[:count]

    def find_stalest(self):
        """Return the member heard of longest ago, of those that did not fail.

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

    def find_newer(self, told):
        """Return digests that are newer than those told."""
        return [
            self._peers[digest.instance].digest
            for digest in told
            if digest.instance in self._peers
            and _order(self._peers[digest.instance].digest) > _order(digest)
        ]

    def newest_revision(self):
        """Return the newest document revision that any peer told of."""
        revisions = (peer.digest.revision for peer in self._peers.values())
        return max(revisions, default=0)

    def find_addresses(self, remote, domain=None):
        """Return peers' addresses on one side, each with whether it is live."""
        return {
            peer.digest.address: self.state_of(instance) is not PeerState.GONE
            for instance, peer in self._peers.items()
            if remote is not self.is_local(peer.digest)
            and domain in (None, peer.digest.failure_domain)
        }

    def forget(self):
        """Drop entries of peers that were not heard of for long."""
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
        """Return whether a peer failed, and was not heard of well after that.

        What is heard shortly after a failure may have been sent before it.
        """
        failed_s = self._failed.get(peer.digest.address)
        return failed_s is not None and peer.seen_s < failed_s + SPREAD_S

    def _now(self):
        """Return the time, after ages were taken back where there was a pause."""
        now_s = self._clock.monotonic()
        gap_s = now_s - self._used_s
        if gap_s > PAUSE_S:
            for peer in self._peers.values():
                peer.seen_s += gap_s
        self._used_s = now_s
        return now_s


def relay_digest(digest):
    """Return a digest as others pass it on: without what only the peer tells."""
    return msgspec.structs.replace(digest, shards=(), partial=True)


def _order(digest):
    return digest.incarnation, digest.beat


def _merge(known, digest):
    """Keep the shards that were told of before, where a digest carries none."""
    if not digest.partial:
        return digest
    same = known is not None and known.digest.incarnation == digest.incarnation
    shards = known.digest.shards if same else ()
    return msgspec.structs.replace(digest, shards=shards, partial=False)
