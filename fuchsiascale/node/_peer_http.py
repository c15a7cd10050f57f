"""Messages between instances over HTTP: client and server."""

import aiohttp
import logbook
import msgspec
from aiohttp import web
from returns.result import Failure

from fuchsiascale.clock import BootClock
from fuchsiascale.ingress import Refusal, read_body
from fuchsiascale.jobs import (
    ConfigurationQuery,
    PeerMessage,
    PeerReply,
    RelayRead,
)

__all__ = ["PeerClient", "make_peer_application"]

PATH = "/peer/v2"
MAX_BODY_BYTES = 4 << 20
CONNECT_TIMEOUT_S = 0.4
LONG_ANSWERS = (ConfigurationQuery, RelayRead)
"""Messages whose replies may take long to transfer."""
TRANSFER_TIMEOUT_S = 4.0
"""Additional time to transfer such a reply: 1 MB over 5 Mbit/s takes 1.6 s."""


class PeerClient:
    """Client for calls to other instances.

    Parameters
    ----------
    session : aiohttp.ClientSession
        HTTP session for the calls.
    on_reply : callable, optional
        Called with each reply, the peer's address and the time of the call.
    clock : Clock, optional
        Source of that time.
    """

    def __init__(self, session, on_reply=None, clock=None):
        self._session = session
        self._on_reply = on_reply or (lambda reply, address, asked_s: None)
        self._clock = clock or BootClock()
        self._decoder = msgspec.json.Decoder(PeerReply)
        self.log = logbook.Logger("peers")

    async def ask(self, address, message, timeout_s):
        """Return a peer's reply; None if none arrived in time.

        Parameters
        ----------
        address : str
            ``host:port`` of the peer.
        message : PeerMessage
            Query or notice to send.
        timeout_s : float
            Timeout of the reply in seconds; for a long reply, of each read of it.
        """
        asked_s = self._clock.monotonic()
        reply = await self._ask(address, message, _make_timeout(message, timeout_s))
        if reply is not None:
            self._on_reply(reply, address, asked_s)
        return reply

    async def _ask(self, address, message, timeout):
        try:
            async with self._session.post(
                f"http://{address}{PATH}",
                data=msgspec.json.encode(message),
                timeout=timeout,
            ) as response:
                content = await response.read()
                if response.status != 200:
                    self._log_failure(address, message, f"status {response.status}")
                    return None
                return self._decoder.decode(content)
        except (aiohttp.ClientError, TimeoutError, msgspec.DecodeError) as error:
            self._log_failure(address, message, repr(error))
            return None

    def _log_failure(self, address, message, why):
        self.log.debug(
            "peer did not answer",
            extra={"peer": address, "what": type(message).__name__, "why": why},
        )


def _make_timeout(message, timeout_s):
    transfer_s = TRANSFER_TIMEOUT_S if isinstance(message, LONG_ANSWERS) else 0.0
    return aiohttp.ClientTimeout(
        total=timeout_s + transfer_s,
        sock_connect=CONNECT_TIMEOUT_S,
        sock_read=timeout_s,
    )


def make_peer_application(answer):
    """Return the aiohttp application that answers peers.

    Parameters
    ----------
    answer : callable
        Coroutine function from a message to its reply.
    """
    decoder = msgspec.json.Decoder(PeerMessage)

    async def handle(request):
        read = await read_body(request, MAX_BODY_BYTES)
        if isinstance(read, Failure):
            status = 413 if read.failure() is Refusal.BODY_SIZE else 503
            return web.Response(status=status, text=read.failure().value)
        try:
            message = decoder.decode(read.unwrap())
        except (msgspec.DecodeError, UnicodeDecodeError) as error:
            return web.Response(status=400, text=str(error))
        reply = await answer(message)
        return web.Response(
            body=msgspec.json.encode(reply), content_type="application/json"
        )

    application = web.Application()
    application.router.add_post(PATH, handle)
    return application
