"""Cached views for code paths that read them often."""

__all__ = ["VIEW_TTL_S", "CachedView"]

VIEW_TTL_S = 0.1


class CachedView:
    """Returns the same view object until its time to live has passed.

    Parameters
    ----------
    build : callable
        Returns the current view.
    clock : Clock
        Source of time.
    ttl_s : float
        Age at which the view is rebuilt, in seconds.

    Examples
    --------
    >>> from fuchsiascale.clock import ManualClock
    >>> clock = ManualClock()
    >>> view = CachedView(lambda: object(), clock)
    >>> first = view()
    >>> view() is first
    True
    >>> clock.advance(1.0)
    >>> view() is first
    False
    """

    def __init__(self, build, clock, ttl_s=VIEW_TTL_S):
        self._build = build
        self._clock = clock
        self._ttl_s = ttl_s
        self._view = None
        self._until_s = float("-inf")

    def __call__(self):
        """Return the view."""
        now_s = self._clock.monotonic()
        if now_s >= self._until_s:
            self._view = self._build()
            self._until_s = now_s + self._ttl_s
        return self._view
