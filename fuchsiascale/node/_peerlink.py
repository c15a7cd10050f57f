"""Messages between instances over HTTP."""

import aiohttp
import logbook
import msgspec
from aiohttp import web

from fuchsiascale.jobs import PeerMessage, PeerReply

__all__ = ["PeerLink", "make_peer_application"]

PATH = "/peer/v2"
CONNECT_TIMEOUT_S = 0.4


class PeerLink:
    """Calls to other instances.

    Parameters
    ----------
    session : aiohttp.ClientSession
        Where calls are made.
    """

    def __init__(self, session):
        self._session = session
        self._decoder = msgspec.json.Decoder(PeerReply)
        self.log = logbook.Logger("peers")

    async def ask(self, address, message, timeout_s):
        """Return a peer's reply; None where none came in time.

        Parameters
        ----------
        address : str
            ``host:port`` of the peer.
        message : PeerMessage
            What to ask or to tell.
        timeout_s : float
            Time for the reply in seconds.
        """
        timeout = aiohttp.ClientTimeout(total=timeout_s, sock_connect=CONNECT_TIMEOUT_S)
        try:
            async with self._session.post(
                f"http://{address}{PATH}",
                data=msgspec.json.encode(message),
                timeout=timeout,
            ) as response:
                content = await response.read()
                if response.status != 200:
                    self._note(address, message, f"status {response.status}")
                    return None
                return self._decoder.decode(content)
        except (aiohttp.ClientError, TimeoutError, msgspec.DecodeError) as error:
            self._note(address, message, repr(error))
            return None

    def _note(self, address, message, why):
        self.log.debug(
            "peer did not answer",
            extra={"peer": address, "what": type(message).__name__, "why": why},
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
        try:
            message = decoder.decode(await request.read())
        except (msgspec.DecodeError, UnicodeDecodeError) as error:
            return web.Response(status=400, text=str(error))
        reply = await answer(message)
        return web.Response(
            body=msgspec.json.encode(reply), content_type="application/json"
        )

    application = web.Application(client_max_size=4 << 20)
    application.router.add_post(PATH, handle)
    return application
