"""Exit codes of the command-line tool."""

from enum import IntEnum

__all__ = ["Exit"]


class Exit(IntEnum):
    """Exit codes; their meaning is the same for every command."""

    OK = 0
    REFUSED = 1
    INVALID = 2
    UNREACHABLE = 3
    CONFLICT = 4
    NOT_FOUND = 5
    UNCONFIRMED = 6
