"""One real process of the system, and many connections of untrusted callers to it."""

import asyncio
import contextlib
import json
import os
import re
import socket
import sys
import tempfile
from pathlib import Path

import aiohttp
from aiohttp import web

from standins.rowstore import RowStoreStandin

__all__ = [
    "HOST",
    "QUEUE",
    "Crowd",
    "Usage",
    "make_head",
    "make_job",
    "serve_node",
]

ROOT = Path(__file__).resolve().parents[3]
HOST = "jobs.example"
QUEUE = "/press/"
HANG_S = 120.0
"""Guard against a hang: a loaded machine needs a fraction of it."""
SETTLE_S = 2.0
"""Time without progress after which the input of a crowd counts as sent: the process
does not read the rest, or has closed the connections."""
POLL_S = 0.05
REQUEST_TIMEOUT_S = 10.0
HIGH_WATER = re.compile(r"^VmHWM:\s+(\d+) kB$", re.MULTILINE)
CONFIGURATION = {
    "version": 1,
    "routes": [
        {
            "name": "press",
            "host": HOST,
            "prefix": QUEUE,
            "service": "pool",
            "target_duration_ms": 1000,
            "max_attempts": 3,
            "stretch": 2.0,
        }
    ],
    "services": [{"name": "pool"}],
    "limits": {
        "max_header_bytes": 16_384,
        "max_body_bytes": 262_144,
        "header_timeout_ms": 3_000,
        "idle_timeout_ms": 15_000,
    },
}


def make_job(payload="p"):
    """Return the body of a job with one small task."""
    job = {"spec": payload, "steps": [{"count": 1, "cpu": 100, "mem_mb": 64}]}
    return json.dumps(job).encode()


def make_head(number, framing, method="POST", prefix=QUEUE):
    """Return the head of a request whose framing is a header line."""
    return (
        f"{method} {prefix}{number:016x} HTTP/1.1\r\nHost: {HOST}\r\n{framing}\r\n\r\n"
    ).encode()


class Usage:
    """Peak of the memory and of the descriptors of a process.

    Parameters
    ----------
    pid : int
        The process.
    """

    def __init__(self, pid):
        self._folder = Path("/proc", str(pid))
        self.peak_fds = 0

    @property
    def peak_mb(self):
        """Return the largest resident set so far, in MB."""
        found = HIGH_WATER.search((self._folder / "status").read_text())
        return int(found.group(1)) / 1024

    def sample(self):
        """Take the number of open descriptors into the peak."""
        count = len(os.listdir(self._folder / "fd"))
        self.peak_fds = max(self.peak_fds, count)


class Node:
    """A process of the system with its own store."""

    def __init__(self, folder, settings):
        self._folder = Path(folder)
        self._extra = settings
        self.process = None
        self.usage = None

    async def start(self):
        """Start the store and the process, and wait until it accepts a job."""
        store = RowStoreStandin()
        self._store = web.AppRunner(
            store.make_application(), access_log=None, shutdown_timeout=0.1
        )
        await self._store.setup()
        site = web.TCPSite(self._store, "127.0.0.1", 0)
        await site.start()
        store_host, store_port = self._store.addresses[0]
        store.put("op", "", "config", CONFIGURATION)
        ports = _find_ports(3)
        self.callers, self.ready, self.peers = (("127.0.0.1", port) for port in ports)
        settings = self._folder / "node.conf"
        lines = {
            "node_name": "entry-1",
            "zone": "a",
            "region": "north",
            "listen.front": f"127.0.0.1:{ports[0]}",
            "listen.ready": f"127.0.0.1:{ports[1]}",
            "listen.control": f"127.0.0.1:{ports[2]}",
            "seeds": f"127.0.0.1:{ports[2]}",
            "platform.address": f"{store_host}:{store_port}",
            "limits.cpu_share": "0.5",
            "limits.cpu_cores": "1",
            **self._extra,
        }
        settings.write_text("".join(f"{key}={lines[key]}\n" for key in lines))
        self._log = (self._folder / "node.log").open("ab")
        self.process = await asyncio.create_subprocess_exec(
            sys.executable,
            "-m",
            "fuchsiascale.node",
            cwd=ROOT,
            env={
                **os.environ,
                "FUCHSIASCALE_BOOT": str(settings),
                "PYTHONDONTWRITEBYTECODE": "1",
            },
            stdout=self._log,
            stderr=self._log,
        )
        self.usage = Usage(self.process.pid)
        await self.submit_job(1)

    async def submit_job(self, number, payload="p"):
        """Hand in a job, over a new connection for each try, until it is accepted."""
        url = f"http://{self.callers[0]}:{self.callers[1]}{QUEUE}{number:016x}"
        timeout = aiohttp.ClientTimeout(REQUEST_TIMEOUT_S)
        async with asyncio.timeout(HANG_S):
            while self.process.returncode is None:
                with contextlib.suppress(aiohttp.ClientError, OSError, TimeoutError):
                    async with aiohttp.request(
                        "POST",
                        url,
                        data=make_job(payload),
                        headers={"Host": HOST},
                        timeout=timeout,
                    ) as response:
                        if response.status == 200:
                            return
                await asyncio.sleep(POLL_S)
        raise AssertionError(f"the process has ended: {self.process.returncode}")

    async def stop(self):
        """Kill the process, and stop the store."""
        if self.process is not None:
            if self.process.returncode is None:
                self.process.kill()
            await self.process.wait()
            self._log.close()
        await self._store.cleanup()


@contextlib.asynccontextmanager
async def serve_node(**settings):
    """Run a process; the names of its settings have ``__`` for a dot."""
    extra = {key.replace("__", "."): str(value) for key, value in settings.items()}
    with tempfile.TemporaryDirectory(prefix="callers-") as folder:
        node = Node(folder, extra)
        try:
            await node.start()
            yield node
        finally:
            await node.stop()


class Crowd:
    """Connections that send their input and then stay open without reading.

    Parameters
    ----------
    usage : Usage
        Of the process; its descriptors are counted meanwhile.
    address : tuple of str and int
        The listener to connect to.
    count : int
        Number of connections.
    """

    def __init__(self, usage, address, count):
        self._usage = usage
        self._address = address
        self._sockets = [_open_socket() for _ in range(count)]
        self._sent = 0

    async def send(self, make_input):
        """Send each connection's input as far as it is accepted.

        Parameters
        ----------
        make_input : callable
            Returns the pieces that the connection of a number sends.
        """
        tasks = [
            asyncio.create_task(self._feed(connection, make_input(number)))
            for number, connection in enumerate(self._sockets)
        ]
        await self._wait_for_progress_to_end(tasks)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    async def _feed(self, connection, pieces):
        loop = asyncio.get_running_loop()
        with contextlib.suppress(OSError):
            await loop.sock_connect(connection, self._address)
            self._sent += 1
            for piece in pieces:
                await loop.sock_sendall(connection, piece)
                self._sent += len(piece)
                # Gives the other connections their turn: all send at the same time.
                await asyncio.sleep(0)

    async def _wait_for_progress_to_end(self, tasks):
        loop = asyncio.get_running_loop()
        before, changed_s = -1, loop.time()
        async with asyncio.timeout(HANG_S):
            while any(not task.done() for task in tasks):
                self._usage.sample()
                if self._sent != before:
                    before, changed_s = self._sent, loop.time()
                if loop.time() - changed_s > SETTLE_S:
                    return
                await asyncio.sleep(POLL_S)

    def close(self):
        """Close all connections."""
        for connection in self._sockets:
            connection.close()


def _open_socket():
    connection = socket.socket()
    connection.setblocking(False)
    # Small buffers, so that what is sent or not read waits in the process.
    connection.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
    connection.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 16_384)
    return connection


def _find_ports(count):
    probes = [socket.socket() for _ in range(count)]
    try:
        for probe in probes:
            probe.bind(("127.0.0.1", 0))
        return [probe.getsockname()[1] for probe in probes]
    finally:
        for probe in probes:
            probe.close()
