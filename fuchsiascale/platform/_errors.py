"""Errors that the platform ports return as values."""

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
    """Base class of the errors that a platform port returns."""

    detail: str = ""


class Unavailable(PlatformError, frozen=True, kw_only=True):
    """The service did not respond, and the call had no lasting effect."""


class Uncertain(PlatformError, frozen=True, kw_only=True):
    """The call may have taken effect; reading back did not resolve it."""


class Conflict(PlatformError, frozen=True, kw_only=True):
    """A conditional write found rows at other versions."""

    rows: tuple[Row, ...] = ()


class Fenced(PlatformError, frozen=True, kw_only=True):
    """A worker refused the command because it has seen a higher fencing token."""

    highest: FencingToken


class RequestNotRun(PlatformError, frozen=True, kw_only=True):
    """The runner is known not to have run the request."""


class RequestUncertain(PlatformError, frozen=True, kw_only=True):
    """The runner may have run the request; no complete response was received."""
