"""Latencies of runners as several instances measure them."""

from fuchsiascale.coordination._shard_policy import ServiceLatency

__all__ = ["LATENCY_AGE_S", "LatencyBoard"]

LATENCY_AGE_S = 10.0


class LatencyBoard:
    """Combines what instances measured of the runners on workers.

    Parameters
    ----------
    clock : Clock

    Examples
    --------
    >>> from fuchsiascale.clock import ManualClock
    >>> board = LatencyBoard(ManualClock())
    >>> board.observe("w1", "hub", "a", 10.0).latency_ms
    10.0
    >>> board.observe("w1", "hub", "b", 30.0).latency_ms
    20.0
    """

    def __init__(self, clock):
        self._clock = clock
        self._measured = {}

    def observe(self, worker, service, instance, latency_ms):
        """Take in one instance's mean; return the mean over all of late.

        Parameters
        ----------
        worker : WorkerId
        service : ServiceId
        instance : InstanceId
        latency_ms : float
            In milliseconds.

        Returns
        -------
        ServiceLatency
        """
        now_s = self._clock.monotonic()
        entries = self._measured.setdefault((worker, service), {})
        entries[instance] = (latency_ms, now_s)
        for name, (_, at_s) in list(entries.items()):
            if now_s - at_s > LATENCY_AGE_S:
                del entries[name]
        mean_ms = sum(value for value, _ in entries.values()) / len(entries)
        return ServiceLatency(worker=worker, service=service, latency_ms=mean_ms)

    def keep(self, workers):
        """Drop what is known of workers other than these."""
        self._measured = {
            key: entries for key, entries in self._measured.items() if key[0] in workers
        }
