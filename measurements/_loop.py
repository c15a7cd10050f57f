"""A discrete-event loop and a latency recorder for queueing models."""

from heapq import heappop, heappush

from hdrh.histogram import HdrHistogram

__all__ = ["EventLoop", "LatencyRecorder", "draw_service_ms"]

MAX_LATENCY_US = 600_000_000


class EventLoop:
    """Runs callbacks in the order of their scheduled times.

    Attributes
    ----------
    now_ms : float
        Current simulated time, in milliseconds.
    """

    def __init__(self):
        self.now_ms = 0.0
        self._events = []
        self._sequence = 0

    def call_at(self, at_ms, callback, *arguments):
        """Schedule a callback at a simulated time."""
        self._sequence += 1
        heappush(self._events, (at_ms, self._sequence, callback, arguments))

    def call_later(self, delay_ms, callback, *arguments):
        """Schedule a callback after a delay."""
        self.call_at(self.now_ms + delay_ms, callback, *arguments)

    def run_until(self, end_ms):
        """Run all callbacks that are scheduled up to a time."""
        while self._events and self._events[0][0] <= end_ms:
            self.now_ms, _, callback, arguments = heappop(self._events)
            callback(*arguments)
        self.now_ms = end_ms


class LatencyRecorder:
    """Records latencies in milliseconds."""

    def __init__(self):
        self._histogram = HdrHistogram(1, MAX_LATENCY_US, 3)

    def record(self, latency_ms):
        """Record one latency."""
        self._histogram.record_value(max(1, int(latency_ms * 1000)))

    def quantile(self, percent):
        """Return a percentile, in milliseconds."""
        return self._histogram.get_value_at_percentile(percent) / 1000

    @property
    def count(self):
        """Number of recorded latencies."""
        return self._histogram.get_total_count()


def draw_service_ms(random, mean_ms, sigma=0.5):
    """Draw a service time from a lognormal distribution with a given mean."""
    return mean_ms * random.lognormvariate(-sigma * sigma / 2.0, sigma)
