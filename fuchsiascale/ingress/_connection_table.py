"""Caps on the connections of a listener, in total and by source address.

Load: callers that open connections without end, and leave them idle or in the middle of
a request. Callers behind a balancer share a source address, so its cap lies near the
total, and a full table makes room by closing the oldest connection that is idle or slow
instead of turning away whoever comes next.
"""

import itertools
from enum import Enum

__all__ = ["ConnectionTable", "Phase"]

SLOW_TICKS = 2
"""Age from which an unfinished request counts as slow. Over a link of 5 Mbit/s the
largest body takes less than one tick of 0.5 s."""


class Phase(Enum):
    """What a connection does, as far as it matters to who is closed."""

    IDLE = "idle"
    RECEIVING = "receiving"
    BUSY = "busy"
    SENDING = "sending"


class ConnectionTable:
    """Open connections by phase, each phase in the order in which it was entered.

    Parameters
    ----------
    total : int
        Most connections at a time.
    per_address : int
        Most connections of one source address.
    """

    def __init__(self, total, per_address):
        self.total = total
        self.per_address = per_address
        self._addresses = {}
        self._counts = {}
        self._phases = {phase: {} for phase in Phase}

    def __len__(self):
        return len(self._addresses)

    def __iter__(self):
        return iter(list(self._addresses))

    def add(self, connection, address, tick):
        """Add a connection, as idle."""
        self._addresses[connection] = address
        self._counts[address] = self._counts.get(address, 0) + 1
        self._phases[Phase.IDLE][connection] = tick

    def remove(self, connection):
        """Remove a connection; no effect if it is not in the table."""
        address = self._addresses.pop(connection, None)
        if address is None:
            return
        self._counts[address] -= 1
        if not self._counts[address]:
            del self._counts[address]
        for members in self._phases.values():
            members.pop(connection, None)

    def move(self, connection, before, after, tick):
        """Move a connection to a phase; return False if it was not in the first one."""
        if self._phases[before].pop(connection, None) is None:
            return False
        self._phases[after][connection] = tick
        return True

    def count(self, phase):
        """Return the number of connections in a phase."""
        return len(self._phases[phase])

    def is_full(self, address):
        """Return whether one connection of an address more would exceed a cap."""
        return (
            len(self._addresses) >= self.total
            or self._counts.get(address, 0) >= self.per_address
        )

    def choose_victim(self, address, tick):
        """Return the connection to close for a new one, or None to refuse the new one.

        The oldest slow connection goes first, then the oldest idle one, then the oldest
        incomplete request: an ordinary request is complete within a round trip, so
        whoever comes next is more likely to be ordinary. Last goes the oldest that
        has not read its answer for long. One that is being handled is never closed.
        """
        own = self._counts.get(address, 0) >= self.per_address
        candidates = itertools.chain(
            self.list_slow(tick),
            self._phases[Phase.IDLE],
            self._phases[Phase.RECEIVING],
            self.list_slow(tick, Phase.SENDING),
        )
        for connection in candidates:
            if not own or self._addresses[connection] == address:
                return connection
        return None

    def list_slow(self, tick, phase=Phase.RECEIVING):
        """Yield the connections that have been in a phase for long, oldest first."""
        for connection, since in self._phases[phase].items():
            if tick - since < SLOW_TICKS:
                return
            yield connection
