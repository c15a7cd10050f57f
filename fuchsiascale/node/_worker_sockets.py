"""Sockets for calls to workers, which may not arrive after their caller has gone on."""

import socket
import struct

__all__ = ["open_resetting_socket"]

RESET_ON_CLOSE = struct.pack("ii", 1, 0)
"""Value of ``SO_LINGER``: on, with a time of 0 s."""


def open_resetting_socket(address_info):
    """Return a socket whose connection is reset when it is closed.

    What the network has not delivered by then is dropped. By default the kernel goes on
    sending it, also after a partition has healed or the process has ended: a start that
    had no answer in time would reach its worker many seconds later.

    Parameters
    ----------
    address_info : tuple
        An entry of what `socket.getaddrinfo` returns.
    """
    family, kind, protocol, *_ = address_info
    opened = socket.socket(family, kind, protocol)
    opened.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
    return opened
