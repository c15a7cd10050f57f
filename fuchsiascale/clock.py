"""Clocks, which are passed as arguments so that tests can control the time."""

import time
from typing import Protocol

__all__ = ["BootClock", "Clock", "ManualClock", "SystemClock"]


class Clock(Protocol):
    """Source of monotonic and wall-clock time."""

    def monotonic(self) -> float:
        """Return monotonic time in seconds; for leases and timeouts."""

    def wall_ms(self) -> int:
        """Return milliseconds since the epoch; for records and logs only."""


class SystemClock:
    """The clock of the operating system."""

    def monotonic(self):
        """Return the system's monotonic time in seconds."""
        return time.monotonic()

    def wall_ms(self):
        """Return the system's wall-clock time in milliseconds."""
        return time.time_ns() // 1_000_000


class BootClock(SystemClock):
    """The operating system's clock that keeps running while the machine is suspended.

    The age of cached information includes suspensions, which the monotonic clock omits.
    """

    def monotonic(self):
        """Return the time since boot in seconds, including suspensions."""
        return time.clock_gettime(time.CLOCK_BOOTTIME)


class ManualClock:
    """A clock that only moves when `advance` is called.

    Examples
    --------
    >>> clock = ManualClock()
    >>> clock.advance(2.5)
    >>> clock.monotonic()
    2.5
    """

    def __init__(self, start_s=0.0, wall_start_ms=0):
        self._now_s = start_s
        self._wall_offset_ms = wall_start_ms - int(start_s * 1000)

    def advance(self, seconds):
        """Move the clock forward."""
        self._now_s += seconds

    def monotonic(self):
        """Return the set monotonic time in seconds."""
        return self._now_s

    def wall_ms(self):
        """Return the set wall-clock time in milliseconds."""
        return self._wall_offset_ms + int(self._now_s * 1000)
