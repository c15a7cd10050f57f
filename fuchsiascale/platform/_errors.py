"""Errors of the platform ports, as values."""

import msgspec

from fuchsiascale.platform._messages import FencingToken, Row

__all__ = [
    "Conflict",
    "Fenced",
    "PlatformError",
    "RequestNotRun",
    "RequestUncertain",
    "Unavailable",
    "Uncertain",
]


class PlatformError(msgspec.Struct, frozen=True, kw_only=True):
    """Base of the errors that a platform port returns."""

    detail: str = ""


class Unavailable(PlatformError, frozen=True, kw_only=True):
    """The service did not answer, and the call had no effect that lasts."""


class Uncertain(PlatformError, frozen=True, kw_only=True):
    """The call may or may not have taken effect, and could not be read back."""


class Conflict(PlatformError, frozen=True, kw_only=True):
    """A conditional write met rows at other versions."""

    rows: tuple[Row, ...] = ()


class Fenced(PlatformError, frozen=True, kw_only=True):
    """A worker has seen a higher token and refused the command."""

    highest: FencingToken


class RequestNotRun(PlatformError, frozen=True, kw_only=True):
    """The runner surely did not run the request."""


class RequestUncertain(PlatformError, frozen=True, kw_only=True):
    """The runner may have run the request; its whole answer was not received."""
