"""Marks on upstreams that are leaving, from any source, until they are back."""

__all__ = ["LeavingMarks"]

SPREAD_S = 15.0
HOLD_S = 60.0


class LeavingMarks:
    """Upstreams that get no new work.

    Parameters
    ----------
    clock : Clock
        Source of time.

    Notes
    -----
    A mark is dropped no sooner than ``HOLD_S`` seconds after the last sign of
    leaving, and only once the list was read after that; so a list that lags or
    can't be read lifts no mark. Marks are spread for ``SPREAD_S`` seconds
    only, by which time every member holds them, so that a failure domain
    that leaves as a whole does not weigh on each heartbeat.
    """

    def __init__(self, clock):
        self._clock = clock
        self._signs = {}
        self._spread = {}
        self._listed_s = None

    def mark(self, upstreams):
        """Note signs of the upstreams themselves; return whether any is new."""
        now_s = self._clock.monotonic()
        new = [upstream for upstream in upstreams if upstream not in self._signs]
        self._signs.update((upstream, now_s) for upstream in upstreams)
        self._spread.update((upstream, now_s) for upstream in new)
        return bool(new)

    def learn(self, upstreams):
        """Note signs that a peer saw."""
        now_s = self._clock.monotonic()
        self._signs.update((upstream, now_s) for upstream in upstreams)

    def clear(self, upstreams):
        """Drop marks of upstreams that were seen to be back."""
        for upstream in upstreams:
            self._signs.pop(upstream, None)
            self._spread.pop(upstream, None)

    def observe_list(self, leaving):
        """Note what the list shows as leaving; return whether any is new."""
        self._listed_s = self._clock.monotonic()
        return self.mark(leaving)

    def to_spread(self):
        """Return the upstreams to tell peers of."""
        idle_since_s = self._clock.monotonic() - SPREAD_S
        return tuple(
            sorted(name for name, at_s in self._spread.items() if at_s >= idle_since_s)
        )

    def names(self):
        """Return all marked upstreams."""
        return frozenset(self._signs)

    def forget(self):
        """Drop marks that are past their time, unless the list is unreachable."""
        if self._listed_s is None:
            return
        before_s = self._listed_s - HOLD_S
        self.clear([name for name, at_s in self._signs.items() if at_s < before_s])
