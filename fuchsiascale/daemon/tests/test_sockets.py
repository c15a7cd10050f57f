"""Tests of a listening socket that is about to close while connections wait."""

import socket

from fuchsiascale.daemon._sockets import drop_new_connections
from fuchsiascale.testing import collect_functions

load_tests = collect_functions(__name__)

SHORT_S = 0.2


def test_waiting_connections_are_accepted_and_new_ones_dropped():
    with socket.create_server(("127.0.0.1", 0), backlog=16) as listener:
        address = listener.getsockname()
        waiting = [socket.create_connection(address) for _ in range(3)]
        drop_new_connections(listener)
        try:
            socket.create_connection(address, timeout=SHORT_S).close()
        except TimeoutError:
            established = False
        else:
            established = True
        assert not established
        for caller in waiting:
            caller.sendall(b"x")
            accepted, _ = listener.accept()
            with accepted:
                assert accepted.recv(1) == b"x"
            caller.close()
