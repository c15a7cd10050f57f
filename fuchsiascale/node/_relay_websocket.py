"""Connections for relayed calls to workers: WebSockets between instances."""

import asyncio

import aiohttp
from aiohttp import web

from fuchsiascale.node._worker_sockets import open_resetting_socket

__all__ = ["RELAY_PATH", "RelayConnector", "make_relay_handler"]

RELAY_PATH = "/peer/v2/workers"
MAX_MESSAGE_BYTES = 4 << 20


class _ClientSocket(aiohttp.ClientWebSocketResponse):
    """A client's WebSocket whose connection can be reset."""

    def abort(self):
        """Reset the connection without sending what is buffered."""
        connection = self._response.connection
        if connection is not None and connection.transport is not None:
            connection.transport.abort()


class _Connection:
    """A connection over a WebSocket; see `RelayChannel`.

    Parameters
    ----------
    socket : aiohttp.ClientWebSocketResponse or aiohttp.web.WebSocketResponse
        The WebSocket.
    abort : callable
        Resets the connection, so that unsent messages are never delivered.
    """

    def __init__(self, socket, abort):
        self.abort = abort
        self._socket = socket
        self._tasks = set()

    def send(self, content):
        """Send a message without waiting; a closed connection ends `receive`.

        Parameters
        ----------
        content : bytes or callable
            The message, or a function that returns it, or None for none, and is called
            right before the message is written.
        """
        task = asyncio.ensure_future(self._send(content))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _send(self, content):
        if callable(content):
            content = content()
            if content is None:
                return
        try:
            await self._socket.send_bytes(content)
        except (OSError, RuntimeError, aiohttp.ClientError):
            # The other side learns it from the reset, and this one from `receive`.
            self.abort()

    async def receive(self):
        """Return the next message; None at the end."""
        message = await self._socket.receive()
        return message.data if message.type is aiohttp.WSMsgType.BINARY else None


class RelayConnector:
    """Opens connections to peers; owns their session."""

    def __init__(self):
        self._session = aiohttp.ClientSession(
            connector=aiohttp.TCPConnector(
                limit=0, socket_factory=open_resetting_socket
            ),
            ws_response_class=_ClientSocket,
            cookie_jar=aiohttp.DummyCookieJar(),
        )

    async def connect(self, address):
        """Return a connection to a peer.

        Raises
        ------
        OSError
            If the peer can't be reached or does not relay calls.
        """
        try:
            socket = await self._session.ws_connect(
                f"http://{address}{RELAY_PATH}", max_msg_size=MAX_MESSAGE_BYTES
            )
        except aiohttp.ClientError as error:
            raise ConnectionError(str(error)) from error
        return _Connection(socket, socket.abort)

    async def close(self):
        """Close all connections."""
        await self._session.close()


def make_relay_handler(relay):
    """Return the aiohttp handler that serves relayed calls.

    Parameters
    ----------
    relay : WorkerRelay
        Makes the calls.
    """

    async def handle(request):
        socket = web.WebSocketResponse(compress=False, max_msg_size=MAX_MESSAGE_BYTES)
        await socket.prepare(request)

        def abort():
            if request.transport is not None:
                request.transport.abort()

        await relay.serve(_Connection(socket, abort), request.remote or "")
        return socket

    return handle
