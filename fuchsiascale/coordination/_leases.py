"""Worker leases, tracked by the granting owner on its own monotonic clock."""

import msgspec

__all__ = ["CLOCK_DRIFT", "LEASE_MARGIN_S", "LEASE_S", "Lease"]

LEASE_S = 15.0
LEASE_MARGIN_S = 1.0
CLOCK_DRIFT = 0.01


class Lease(msgspec.Struct):
    """A worker's lease, as tracked by the owner that has claimed the worker.

    Parameters
    ----------
    duration_s : float
        Duration of one grant, in seconds.
    sent_s : float or None
        Monotonic time at which this owner sent its last grant, in seconds.
    end_s : float or None
        Monotonic time after which the lease has certainly expired, in seconds.

    Notes
    -----
    A grant states its end on the worker's clock, computed from the last reading of
    that clock. A grant that arrives late therefore does not extend the lease beyond
    ``sent_s + duration_s``, apart from the drift between the two clocks.

    Examples
    --------
    >>> lease = Lease(duration_s=10.0)
    >>> lease.has_expired(0.0)
    False
    >>> lease.record_grant(0.0)
    >>> lease.has_expired(10.5), lease.has_expired(11.2)
    (False, True)
    """

    duration_s: float = LEASE_S
    sent_s: float | None = None
    end_s: float | None = None

    def record_grant(self, now_s):
        """Record that a grant is sent now."""
        self.sent_s = now_s
        self.observe_remaining(now_s, self.duration_s)

    def observe_remaining(self, now_s, left_s):
        """Record how much may be left of any grant, also of an earlier owner's."""
        end_s = now_s + left_s * (1 + CLOCK_DRIFT) + LEASE_MARGIN_S
        self.end_s = end_s if self.end_s is None else max(self.end_s, end_s)

    def has_expired(self, now_s):
        """Return whether the lease has certainly expired at the worker.

        Clock drift is allowed for. A lease that was never observed never counts as
        expired, because another owner may have granted one.
        """
        return now_s > self.expiry_s()

    def expiry_s(self):
        """Return the monotonic time at which the lease expires, in seconds."""
        return float("inf") if self.end_s is None else self.end_s

    def is_fresh(self, now_s):
        """Return whether at least half of this owner's last grant is left."""
        if self.sent_s is None:
            return False
        return now_s - self.sent_s < self.duration_s / 2
