"""Loopback ports for processes under test, distinct between test runs."""

import contextlib
import random
import socket

__all__ = ["LOOPBACK", "PortBlocks"]

LOOPBACK = "127.0.0.1"
BLOCK_PORTS = 500
FIRST_PORTS = range(12_000, 32_000, BLOCK_PORTS)


class PortBlocks:
    """Allocates free ports, each once, from blocks that this process reserves.

    Notes
    -----
    A block is reserved by listening on its first port, so that concurrent test runs
    use different blocks; a port that is free when it is picked is then still free when
    the process under test binds it. All ports lie below the range that the system
    assigns to outgoing connections.
    """

    def __init__(self):
        self._block_sockets = []
        self._ports = []

    def pick(self):
        """Return a free port.

        Returns
        -------
        int
            The port.

        Raises
        ------
        RuntimeError
            If every block is reserved.
        """
        while True:
            while self._ports:
                port = self._ports.pop()
                if _is_free(port):
                    return port
            self._reserve_block()

    def _reserve_block(self):
        for first in random.SystemRandom().sample(FIRST_PORTS, k=len(FIRST_PORTS)):
            block_socket = socket.socket()
            try:
                block_socket.bind((LOOPBACK, first))
                block_socket.listen()
            except OSError:
                block_socket.close()
                continue
            self._block_sockets.append(block_socket)
            self._ports = list(range(first + 1, first + BLOCK_PORTS))
            return
        raise RuntimeError("no block of free ports is left")


def _is_free(port):
    with socket.socket() as probe, contextlib.suppress(OSError):
        probe.bind((LOOPBACK, port))
        return True
    return False
