"""Evidence that an instance still owns a service.

An owner that is cut off from the store can't see that another has replaced it. The
successor has to wait until the owner has stopped granting leases, so the owner must
stop soon after its last evidence. While only the store is away, peers that still know
it as the owner extend that time.
"""

import math

__all__ = ["ISOLATION_LIMIT_S", "PEER_SUPPORT_S", "OwnershipEvidence"]

STORE_SILENCE_LIMIT_S = 10.0
"""Time without a confirmation by the store after which an owner grants no leases."""
ISOLATION_LIMIT_S = 3.0
"""The same while no peer supports the owner. Polls confirm it every 1.6 s at least, or
2.4 s while the store takes 0.4 s for an answer."""
PEER_SUPPORT_S = 2.0
"""Time for which a peer's answer supports an owner; it asks every 0.5 s."""
SUPPORT_NEEDED_AFTER_S = 1.0
"""Time without a confirmation after which an owner asks its peers."""


class OwnershipEvidence:
    """Times at which this instance was known to own a service.

    All times are those at which the question was sent, since an answer may be late.

    Parameters
    ----------
    clock : Clock
        Source of time.

    Attributes
    ----------
    confirmed_s : float
        Latest time at which the store showed this instance as the owner.
    """

    def __init__(self, clock):
        self._clock = clock
        self.confirmed_s = clock.monotonic()
        self._supported_s = -math.inf
        self._end_s = math.inf

    def confirm(self, asked_s):
        """Note that the store, asked at ``asked_s``, showed this instance as owner."""
        self.confirmed_s = max(self.confirmed_s, asked_s)

    def note_support(self, asked_s):
        """Note that a peer, asked at ``asked_s``, knew no later owner."""
        self._supported_s = max(self._supported_s, asked_s)

    def end_at(self, end_s):
        """Let all evidence end at a time that the successor is told."""
        self._end_s = end_s

    def measure_age_s(self):
        """Return how long ago the store was asked that last confirmed the owner."""
        return self._clock.monotonic() - self.confirmed_s

    def is_supported(self):
        """Return whether a peer has lately known no later owner."""
        return self._clock.monotonic() - self._supported_s < PEER_SUPPORT_S

    def needs_support(self):
        """Return whether peers should be asked."""
        return SUPPORT_NEEDED_AFTER_S < self.measure_age_s() < STORE_SILENCE_LIMIT_S

    def is_valid(self):
        """Return whether this instance may act as the owner."""
        age_s = self.measure_age_s()
        has_ended = self._clock.monotonic() >= self._end_s
        if has_ended or age_s >= STORE_SILENCE_LIMIT_S:
            return False
        return age_s < ISOLATION_LIMIT_S or self.is_supported()
