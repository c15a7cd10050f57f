"""Exit codes of the command-line tool."""

from enum import IntEnum

__all__ = ["Exit"]


class Exit(IntEnum):
    """What an exit code says; each command uses the same ones."""

    OK = 0
    REFUSED = 1
    INVALID = 2
    UNREACHABLE = 3
    CONFLICT = 4
    NOT_FOUND = 5
    UNCONFIRMED = 6
