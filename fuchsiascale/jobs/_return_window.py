"""When refused callers should return.

The load: a silent store or a shortage refuses all callers of a burst for some seconds.
If all return after the same time, those that have gathered come in one wave as soon as
the service is back, each of them several times while it isn't. They are therefore
spread over the time in which it is expected back. The time stays short: callers repeat
four times at most, and their jobs have objectives of a few seconds.
"""

import math

import msgspec

__all__ = ["ReturnWindow", "pick_return", "window_in_silence"]

MAX_SILENCE_WINDOW_S = 3
"""Latest return while the store is silent. Four returns then cover 8 s on average;
silences last some seconds."""


class ReturnWindow(msgspec.Struct, frozen=True):
    """First and last second after which a refused caller should return."""

    first_s: int = 1
    last_s: int = 2


def window_in_silence(silent_s):
    """Return the window of callers that a silent store has refused.

    A silence that has lasted for some time is likely to last for about as long again.

    Examples
    --------
    >>> window_in_silence(0.9)
    ReturnWindow(first_s=1, last_s=2)
    >>> window_in_silence(5.0)
    ReturnWindow(first_s=1, last_s=3)
    """
    return ReturnWindow(1, min(MAX_SILENCE_WINDOW_S, 1 + max(1, math.ceil(silent_s))))


def pick_return(window, rng):
    """Return a whole number of seconds of a window, each equally often."""
    return rng.randint(window.first_s, max(window.first_s, window.last_s))
