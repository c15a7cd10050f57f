"""Loopback ports for processes under test, that no other test run picks."""

import contextlib
import random
import socket

__all__ = ["LOOPBACK", "PortBlocks"]

LOOPBACK = "127.0.0.1"
BLOCK_PORTS = 500
FIRST_PORTS = range(12_000, 32_000, BLOCK_PORTS)


class PortBlocks:
    """Hands out free ports, each once, from blocks that this process holds.

    Notes
    -----
    A block is held by listening on its first port, so that test runs side by side
    take different ones; a port that is free when it is picked is then still free when
    the process that it is meant for binds it. All ports lie below the range that the
    system gives to outgoing connections.
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
            Where every block is held.
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
