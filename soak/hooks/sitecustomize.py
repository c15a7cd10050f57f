"""Routes the connections of a process through the relay, and shifts its time of day.

Python imports this module at the start of each process whose path holds this folder.
"""

import os

RELAY, NAME = os.environ.get("SOAK_RELAY"), os.environ.get("SOAK_NAME")
CLOCK = os.environ.get("SOAK_CLOCK")


def _route_connections():
    from asyncio import selector_events

    host, _, port = RELAY.partition(":")
    connect = selector_events.BaseSelectorEventLoop.sock_connect

    async def sock_connect(self, sock, address):
        await connect(self, sock, (host, int(port)))
        line = f"{NAME} {address[0]} {address[1]}\n"
        await self.sock_sendall(sock, line.encode())
        if await self.sock_recv(sock, 1) != b"+":
            raise ConnectionRefusedError(111, "refused")

    selector_events.BaseSelectorEventLoop.sock_connect = sock_connect


def _shift_time_of_day():
    import mmap
    import struct
    import time

    read_s, read_ns = time.time, time.time_ns
    with open(CLOCK, "rb") as file:
        offset_ms = mmap.mmap(file.fileno(), 8, access=mmap.ACCESS_READ)

    def shift_ns():
        return struct.unpack("<q", offset_ms[:])[0] * 1_000_000

    time.time = lambda: read_s() + shift_ns() / 1e9
    time.time_ns = lambda: read_ns() + shift_ns()


if RELAY:
    _route_connections()
if CLOCK:
    _shift_time_of_day()
