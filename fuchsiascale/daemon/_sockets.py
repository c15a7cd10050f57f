"""Closing of listening sockets without losing the connections in their backlog."""

import ctypes
import socket
import struct

import logbook

__all__ = ["BACKLOG", "drop_new_connections", "open_listener"]

BACKLOG = 128
"""Connections that may wait to be accepted."""

SO_ATTACH_FILTER = 26
"""Socket option of Linux; the ``socket`` module does not name it."""
RETURN_NOTHING = struct.pack("HBBI", 0x06, 0, 0, 0)
"""A classic packet filter of one instruction, which drops every packet."""

log = logbook.Logger("sockets")


def open_listener(host, port):
    """Return a listening socket of an IP address."""
    family = socket.AF_INET6 if ":" in host else socket.AF_INET
    return socket.create_server((host, port), family=family, backlog=BACKLOG)


def drop_new_connections(listener):
    """Let a listening socket drop the packets of new connections.

    Established connections can still be accepted: closing the socket while some wait
    would reset them after their callers have sent a request. A caller whose packet was
    dropped retries, and is refused once the socket is closed.

    Parameters
    ----------
    listener : socket.socket
        The listening socket.
    """
    instructions = ctypes.create_string_buffer(RETURN_NOTHING)
    program = struct.pack("HP", 1, ctypes.addressof(instructions))
    try:
        listener.setsockopt(socket.SOL_SOCKET, SO_ATTACH_FILTER, program)
    except OSError as error:
        # Without the filter, a connection that arrives now may be reset.
        log.warning(
            "packet filter not attached; new connections may be reset",
            extra={"why": str(error)},
        )
