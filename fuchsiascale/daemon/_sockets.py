"""Closing of listening sockets without losing connections that wait there."""

import ctypes
import socket
import struct

import logbook

__all__ = ["drop_new_connections", "open_listener"]

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

    Those that are established already can still be accepted: closing the socket while
    some wait would reset them after their callers have sent a request. A caller whose
    packet was dropped tries again, and is refused once the socket is closed.

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
        # Without the filter a connection that comes this moment may be reset.
        log.warning("no filter on a listener", extra={"why": str(error)})
