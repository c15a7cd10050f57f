"""Marks on upstreams that are leaving, reported by any source."""

__all__ = ["LeavingMarks"]

GOSSIP_S = 15.0
MIN_MARK_S = 60.0


class LeavingMarks:
    """Upstreams that are leaving and get no new work.

    Parameters
    ----------
    clock : Clock
        Source of time.

    Notes
    -----
    A mark is removed no sooner than ``MIN_MARK_S`` seconds after the last signal of
    leaving, and only once the list was read after that, so a list that lags or
    can't be read removes no mark. Heartbeats include new marks for ``GOSSIP_S``
    seconds only. Every member has received them by then, and a failure domain that
    leaves as a whole does not enlarge each heartbeat permanently.
    """

    def __init__(self, clock):
        self._clock = clock
        self._last_signal_s = {}
        self._marked_s = {}
        self._listed_s = None

    def mark(self, upstreams):
        """Mark upstreams that this instance saw leaving; return whether any is new."""
        now_s = self._clock.monotonic()
        new = [
            upstream for upstream in upstreams if upstream not in self._last_signal_s
        ]
        self._last_signal_s.update((upstream, now_s) for upstream in upstreams)
        self._marked_s.update((upstream, now_s) for upstream in new)
        return bool(new)

    def mark_reported(self, upstreams):
        """Mark upstreams that a peer reported as leaving."""
        now_s = self._clock.monotonic()
        self._last_signal_s.update((upstream, now_s) for upstream in upstreams)

    def clear(self, upstreams):
        """Remove the marks of upstreams."""
        for upstream in upstreams:
            self._last_signal_s.pop(upstream, None)
            self._marked_s.pop(upstream, None)

    def observe_list(self, leaving):
        """Mark upstreams that the list shows as leaving; return whether any is new."""
        self._listed_s = self._clock.monotonic()
        return self.mark(leaving)

    def list_recent(self):
        """Return the recently marked upstreams, to be included in heartbeats."""
        since_s = self._clock.monotonic() - GOSSIP_S
        return tuple(
            sorted(name for name, at_s in self._marked_s.items() if at_s >= since_s)
        )

    def names(self):
        """Return all marked upstreams."""
        return frozenset(self._last_signal_s)

    def drop_expired(self):
        """Remove marks last signalled ``MIN_MARK_S`` before the last list read."""
        if self._listed_s is None:
            return
        before_s = self._listed_s - MIN_MARK_S
        self.clear(
            [name for name, at_s in self._last_signal_s.items() if at_s < before_s]
        )
