"""Bounds on a worker's clock, and on when its lease has expired.

A lease ends at a time on the worker's own clock, which may be slow.
"""

__all__ = [
    "CLOCK_DRIFT",
    "compute_lease_expiry",
    "estimate_clock_ms",
    "measure_lease_s",
    "record_clock_reading",
]

CLOCK_DRIFT = 0.02
"""Largest relative slowness of a worker's clock, as the platform documents it."""
LEASE_EXPIRY_MARGIN_S = 0.25
"""Added to the end of a lease before its attempts are treated as lost."""


def compute_lease_expiry(worker):
    """Set the monotonic time at which a worker's lease has expired for certain."""
    if worker.clock_ms is None:
        return
    left_ms = max(0, worker.granted_until_ms - worker.clock_ms)
    worker.lease_expiry_s = worker.clock_read_s + measure_lease_s(left_ms)


def measure_lease_s(length_ms):
    """Return the time in which a lease of a length has expired on any worker."""
    return length_ms / 1000 / (1 - CLOCK_DRIFT) + LEASE_EXPIRY_MARGIN_S


def record_clock_reading(worker, clock_ms, now_s):
    """Record a reading of a worker's clock; ignore older readings."""
    if worker.clock_ms is not None and clock_ms <= worker.clock_ms:
        return
    worker.clock_ms = clock_ms
    worker.clock_read_s = now_s
    compute_lease_expiry(worker)


def estimate_clock_ms(worker, now_s):
    """Return the earliest time that a worker's clock may show now."""
    passed_s = (now_s - worker.clock_read_s) * (1 - CLOCK_DRIFT)
    return worker.clock_ms + int(passed_s * 1000)
