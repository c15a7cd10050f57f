"""The limits of one listener in force: budget, connections, time, and what is reported.

Load: see the modules of the decisions. Refusals are counted one by one and logged at
most once per reason in `LOG_PERIOD_S`, since untrusted callers cause them.
"""

import asyncio
import socket
import time
from asyncio import sslproto

import logbook
from aiohttp import web

from fuchsiascale.ingress._budget import MemoryBudget
from fuchsiascale.ingress._connection import (
    BODY_READ_BYTES,
    READ_BYTES,
    WAITING_READ_BYTES,
    IngressConnection,
    Refusal,
)
from fuchsiascale.ingress._connection_table import ConnectionTable, Phase
from fuchsiascale.ingress._heap import find_trim
from fuchsiascale.ingress._transport import IngressTransport

__all__ = ["Gate", "IngressSite"]

TICK_S = 0.5
"""Period of the checks of time. Ages are counted in ticks: after a pause of the whole
process no caller seems slow."""
LOG_PERIOD_S = 10.0
TRIM_PERIOD_TICKS = 4
TRIM_AFTER_BYTES = 4_000_000
"""Free memory is returned to the system while, and after, a listener holds that much.
It takes 2 ms with 40 MB to return."""
STREAM_BYTES = 16_384
"""Limit of aiohttp's stream of a body: reading stops at twice as much."""
TLS_BUFFER_BYTES = 32_768
"""Read buffer of a TLS connection. asyncio takes 256 KB for each by default, idle ones
included; a TLS record has at most 16 KB."""
ACCEPTS_AT_ONCE = 64
"""Connections accepted before those are closed that made room for them."""


class _BoundedErrors:
    """Logger for aiohttp: malformed requests are counted, other errors logged."""

    def __init__(self, gate):
        self._gate = gate

    def debug(self, *args, **kwargs):
        """Ignore details."""

    warning = info = error = debug

    def exception(self, message, *args, exc_info=None, **kwargs):
        """Count a malformed request, or log another error."""
        if _is_malformed(exc_info):
            self._gate.count(Refusal.FRAMING)
            return
        self._gate.log.error("{}", message % args, exc_info=exc_info)


def _is_malformed(error):
    # aiohttp's errors of its parser carry the status 400 as `code`.
    return getattr(error, "code", None) == 400


class Gate:
    """Stands between the sockets of a listener and its aiohttp application.

    Parameters
    ----------
    name : str
        Name of the listener.
    limits : IngressLimits
        Its limits.
    """

    tick_s = TICK_S

    def __init__(self, name, limits):
        self.name = name
        self.limits = limits
        self.budget = MemoryBudget(
            limits.budget_bytes, limits.reserved_bytes, limits.small_bytes
        )
        self.table = ConnectionTable(limits.connections, limits.connections_per_address)
        self.refusals = dict.fromkeys(Refusal, 0)
        self.tick = 0
        self.buffer = memoryview(bytearray(BODY_READ_BYTES))
        self.head_buffer = self.buffer[:READ_BYTES]
        self.waiting_buffer = self.buffer[:WAITING_READ_BYTES]
        self.log = logbook.Logger("ingress")
        self._logged = {}
        self._server = None
        self._timer = None
        self._trim = find_trim()
        self._was_loaded = False

    def make_runner(self, application, upgrades=False, **options):
        """Return the aiohttp runner of an application behind this gate.

        Parameters
        ----------
        application : aiohttp.web.Application
            The application, whose handlers call `open_body` or `read_body`.
        upgrades : bool
            Whether it has WebSockets.
        **options
            Options of the runner.
        """
        application.middlewares.insert(0, _release_after_handling)
        if upgrades:
            application.on_response_prepare.append(_note_upgrade)
        application.on_shutdown.append(self._close)
        return web.AppRunner(
            application,
            access_log=None,
            logger=_BoundedErrors(self),
            max_line_size=self.limits.max_head_bytes,
            max_field_size=self.limits.max_head_bytes,
            lingering_time=0,
            read_bufsize=STREAM_BYTES,
            **options,
        )

    def start(self, server):
        """Begin to admit connections for an aiohttp server."""
        self._server = server
        if self._timer is None:
            self._schedule()

    def _schedule(self):
        loop = asyncio.get_running_loop()
        self._timer = loop.call_later(TICK_S, self._check_time)

    def _check_time(self):
        self.tick += 1
        self._schedule()
        for connection in self.table:
            connection.check_time(self.tick)
        if self.tick % TRIM_PERIOD_TICKS == 0:
            self._return_memory()

    def _return_memory(self):
        is_loaded = self.budget.held >= TRIM_AFTER_BYTES
        if self._trim is not None and (is_loaded or self._was_loaded):
            self._trim()
        self._was_loaded = is_loaded

    async def _close(self, application):
        """Close the connections that have no request."""
        if self._timer is not None:
            self._timer.cancel()
        for connection in self.table:
            if connection.handler is None:
                connection.transport.close()

    def make_handler(self):
        """Return an aiohttp protocol for a connection."""
        return self._server()

    def admit(self, connection, address):
        """Take a new connection into the table, or return False."""
        table = self.table
        if table.is_full(address):
            self.count(Refusal.CONNECTIONS)
            victim = table.choose_victim(address, self.tick)
            if victim is None:
                return False
            victim.evict()
        table.add(connection, address, self.tick)
        return True

    def remove(self, connection):
        """Remove a connection that is closed."""
        self.table.remove(connection)

    def count(self, refusal):
        """Count a refusal, and log it if its reason was not logged for long."""
        self.refusals[refusal] += 1
        now_s = time.monotonic()
        logged_s, before = self._logged.get(refusal, (None, 0))
        if logged_s is not None and now_s - logged_s < LOG_PERIOD_S:
            return
        total = self.refusals[refusal]
        self._logged[refusal] = now_s, total
        self.log.warning(
            "requests or connections refused",
            extra={
                "listener": self.name,
                "reason": refusal.value,
                "count": total - before,
                "connections": len(self.table),
                "held_bytes": self.budget.held,
            },
        )

    def count_connections(self):
        """Return the number of connections by phase."""
        return {phase.value: self.table.count(phase) for phase in Phase}


class IngressSite(web.BaseSite):
    """Listening address of an aiohttp runner behind a gate.

    Parameters
    ----------
    gate : Gate
        The gate.
    runner : aiohttp.web.AppRunner
        The runner, after its set-up.
    listener : socket.socket
        The bound socket.
    ssl_context : ssl.SSLContext, optional
        Of a listener with TLS.
    backlog : int
        Connections that may wait to be accepted.
    """

    def __init__(self, gate, runner, listener, *, ssl_context=None, backlog=128):
        super().__init__(runner, ssl_context=ssl_context, backlog=backlog)
        self._gate = gate
        self._listener = listener

    @property
    def name(self):
        """URL of the listener."""
        host, port = self._listener.getsockname()[:2]
        return f"http://{host}:{port}"

    async def start(self):
        """Begin to listen."""
        await super().start()
        self._gate.start(self._runner.server)
        for option, size in (
            (socket.SO_RCVBUF, self._gate.limits.receive_buffer_bytes),
            (socket.SO_SNDBUF, self._gate.limits.send_buffer_bytes),
        ):
            self._listener.setsockopt(socket.SOL_SOCKET, option, size)
        handshake_s = None
        if self._ssl_context is not None:
            sslproto.SSLProtocol.max_size = TLS_BUFFER_BYTES
            handshake_s = self._gate.limits.head_timeout_s
        self._server = await asyncio.get_running_loop().create_server(
            lambda: IngressConnection(self._gate),
            sock=self._listener,
            ssl=self._ssl_context,
            ssl_handshake_timeout=handshake_s,
            backlog=ACCEPTS_AT_ONCE,
        )
        self._listener.listen(self._backlog)


@web.middleware
async def _release_after_handling(request, handler):
    response = None
    try:
        response = await handler(request)
    except web.HTTPException as error:
        response = error
        raise
    finally:
        transport = request.transport
        if isinstance(transport, IngressTransport):
            transport.connection.finish()
            if response is not None and transport.connection.has_unread_body:
                response.force_close()
    return response


async def _note_upgrade(request, response):
    transport = request.transport
    if response.status == 101 and isinstance(transport, IngressTransport):
        transport.connection.enter_raw()
