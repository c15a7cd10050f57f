"""Timeouts that do not count the time in which this process could not run."""

import asyncio
import contextlib

__all__ = ["limit_response_time"]

TOLERATED_LATENESS_S = 0.05
"""Lateness of a timer up to which the event loop counts as punctual."""
MAX_EXTENSIONS = 20
"""Most extensions of one timeout."""


@contextlib.asynccontextmanager
async def limit_response_time(limit_s):
    """Limit the wait for a response to the time in which it could have been read.

    If the event loop is late, because it is busy or its process was paused, responses
    that have arrived have not been read either. The timeout is then extended by the
    lateness, and by the whole limit at most.

    Parameters
    ----------
    limit_s : float
        Time in seconds.

    Raises
    ------
    TimeoutError
        If the body takes longer.

    Examples
    --------
    >>> async def wait():
    ...     async with limit_response_time(0.01):
    ...         await asyncio.sleep(1.0)
    >>> asyncio.run(wait())
    Traceback (most recent call last):
    TimeoutError
    """
    loop = asyncio.get_running_loop()
    async with asyncio.timeout(None) as timeout:
        timer = _ExtendedTimer(loop, timeout, limit_s)
        try:
            yield
        finally:
            timer.cancel()


class _ExtendedTimer:
    """Expires a timeout after its limit, or later if the event loop is late."""

    def __init__(self, loop, timeout, limit_s):
        self._loop = loop
        self._timeout = timeout
        self._limit_s = limit_s
        self._extensions = 0
        self._schedule(loop.time() + limit_s)

    def _schedule(self, due_s):
        self._handle = self._loop.call_at(due_s, self._check, due_s)

    def _check(self, due_s):
        now_s = self._loop.time()
        late_s = now_s - due_s
        if late_s < TOLERATED_LATENESS_S or self._extensions >= MAX_EXTENSIONS:
            self._timeout.reschedule(now_s)
            return
        self._extensions += 1
        self._schedule(now_s + min(late_s, self._limit_s))

    def cancel(self):
        """Cancel the timer."""
        self._handle.cancel()
