"""Stand-in of a network link: relays TCP with delay, bandwidth limit and faults."""

import asyncio
import contextlib
import time
from enum import Enum

from fuchsiascale.platform import Message
from standins._server import (
    Standin,
    decode_body,
    encode_answer,
    parse_arguments,
    parse_endpoint,
    run_standin,
)

__all__ = ["LinkCounts", "LinkSettings", "LinkState", "Schedule", "main"]

CHUNK_BYTES = 16_384
MAX_QUEUED_CHUNKS = 64


class LinkState(Enum):
    """State of a link."""

    UP = "up"
    SILENT = "silent"
    RESET = "reset"


class LinkSettings(Message):
    """Settings of a link, which apply to each direction.

    Parameters
    ----------
    state : LinkState
        ``SILENT`` delays all bytes until the link is up again, as a network partition
        does; ``RESET`` aborts connections and refuses new ones.
    delay_ms : float
        One-way delay, in milliseconds.
    bytes_per_s : int
        Bandwidth limit over all connections; 0 for none.
    """

    state: LinkState = LinkState.UP
    delay_ms: float = 0.0
    bytes_per_s: int = 0


class LinkCounts(Message):
    """Bytes and connections that a link has carried."""

    forward_bytes: int = 0
    backward_bytes: int = 0
    connections: int = 0


class Schedule:
    """Computes when bytes leave a link with a bandwidth limit.

    Examples
    --------
    >>> schedule = Schedule()
    >>> schedule.reserve(500, 1000, now_s=0.0)
    0.5
    >>> schedule.reserve(500, 1000, now_s=0.1)
    1.0
    """

    def __init__(self):
        self._free_s = 0.0

    def reserve(self, count, bytes_per_s, now_s):
        """Return the time at which ``count`` bytes have left the link."""
        if bytes_per_s <= 0:
            return now_s
        self._free_s = max(self._free_s, now_s) + count / bytes_per_s
        return self._free_s


class Direction:
    """Schedule and byte count of one direction of the link."""

    def __init__(self):
        self.schedule = Schedule()
        self.bytes = 0


class RelayStandin:
    """Relays from listeners to targets over one shared link."""

    def __init__(self, options):
        self.standin = Standin("relay", options)
        self.link = LinkSettings(
            delay_ms=options.delay_ms, bytes_per_s=options.bytes_per_s
        )
        self._routes = [route.split("=") for route in options.route]
        self._forward = Direction()
        self._backward = Direction()
        self._connections = 0
        self._link_open = asyncio.Event()
        self._link_open.set()
        self._writers = set()
        self._tasks = set()
        router = self.standin.control.router
        router.add_post("/control/link", self._change)
        router.add_get("/control/link", self._show)
        self.standin.app.cleanup_ctx.append(self._listen)

    async def _listen(self, app):
        servers = [
            await asyncio.start_server(
                self._accept(target), *parse_endpoint(listen), limit=CHUNK_BYTES
            )
            for listen, target in self._routes
        ]
        yield
        for server in servers:
            server.close()
        self._abort_all()
        for task in tuple(self._tasks):
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    def _accept(self, target):
        async def relay(reader, writer):
            task = asyncio.current_task()
            self._tasks.add(task)
            try:
                await self._relay(reader, writer, target)
            finally:
                self._tasks.discard(task)

        return relay

    async def _relay(self, reader, writer, target):
        if self.link.state is LinkState.RESET:
            writer.transport.abort()
            return
        self._connections += 1
        await self._link_open.wait()
        try:
            target_reader, target_writer = await asyncio.open_connection(
                *parse_endpoint(target), limit=CHUNK_BYTES
            )
        except OSError:
            writer.transport.abort()
            return
        self._writers |= {writer, target_writer}
        try:
            await asyncio.gather(
                self._relay_direction(reader, target_writer, self._forward),
                self._relay_direction(target_reader, writer, self._backward),
            )
        finally:
            self._writers -= {writer, target_writer}
            writer.transport.abort()
            target_writer.transport.abort()

    async def _relay_direction(self, reader, writer, direction):
        """Relay one direction of a connection until its end."""
        queue = asyncio.Queue(MAX_QUEUED_CHUNKS)
        await asyncio.gather(
            self._queue_chunks(reader, queue, direction),
            self._write_chunks(queue, writer),
        )

    async def _queue_chunks(self, reader, queue, direction):
        while True:
            chunk = await read_chunk(reader)
            now_s = time.monotonic()
            sent_s = direction.schedule.reserve(
                len(chunk), self.link.bytes_per_s, now_s
            )
            direction.bytes += len(chunk)
            await queue.put((sent_s + self.link.delay_ms / 1000, chunk))
            if not chunk:
                return

    async def _write_chunks(self, queue, writer):
        while True:
            due_s, chunk = await queue.get()
            await asyncio.sleep(max(0.0, due_s - time.monotonic()))
            await self._link_open.wait()
            with contextlib.suppress(OSError, RuntimeError):
                if not chunk:
                    writer.write_eof()
                    return
                writer.write(chunk)
                await writer.drain()

    def _abort_all(self):
        for writer in self._writers:
            writer.transport.abort()

    async def _change(self, request):
        self.link = await decode_body(request, LinkSettings)
        if self.link.state is LinkState.SILENT:
            self._link_open.clear()
        else:
            self._link_open.set()
        if self.link.state is LinkState.RESET:
            self._abort_all()
        return encode_answer(self.link)

    async def _show(self, request):
        counts = LinkCounts(
            forward_bytes=self._forward.bytes,
            backward_bytes=self._backward.bytes,
            connections=self._connections,
        )
        return encode_answer(counts)


async def read_chunk(reader):
    """Return the next bytes, or none at the end or after a reset."""
    try:
        return await reader.read(CHUNK_BYTES)
    except OSError:
        return b""


def add_arguments(parser):
    """Add the arguments of this stand-in."""
    parser.add_argument(
        "--route", action="append", default=[], help="host:port=host:port, repeated"
    )
    parser.add_argument("--delay-ms", type=float, default=0.0)
    parser.add_argument("--bytes-per-s", type=int, default=0)


def main():
    """Run the stand-in."""
    run_standin(RelayStandin(parse_arguments(__doc__, add_arguments)).standin)


if __name__ == "__main__":
    main()
