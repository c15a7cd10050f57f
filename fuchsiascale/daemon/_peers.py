"""Client of the peer interface."""

import aiohttp
import msgspec
from returns.result import Failure, Result, Success

from fuchsiascale.daemon._http import JSON_CONTENT_TYPE

__all__ = ["PeerClient", "PeerError", "PeerRefused", "PeerUncertain", "PeerUnreachable"]


class PeerError(msgspec.Struct, frozen=True):
    """Base of the errors of a peer call."""

    detail: str = ""


class PeerUnreachable(PeerError, frozen=True):
    """No connection was established, so the peer has not received the message."""


class PeerUncertain(PeerError, frozen=True):
    """The peer may have processed the message; its answer was not received."""


class PeerRefused(PeerError, frozen=True):
    """The peer answered with an error status."""

    status: int = 0


class PeerClient:
    """Sends typed messages to peers.

    Parameters
    ----------
    session : aiohttp.ClientSession
        Session whose connections are reused.
    token : str
        Bearer token of the peer interface.
    timeout_s : float
        Time limit of a call, in seconds.
    scheme : str
        ``http``, or ``https`` where the peer listeners have certificates.
    """

    def __init__(self, session, token, timeout_s=2.0, scheme="http"):
        self._session = session
        self._headers = {
            "Authorization": f"Bearer {token}",
            "Content-Type": JSON_CONTENT_TYPE,
        }
        self._timeout_s = timeout_s
        self._scheme = scheme

    async def call(
        self, address, path, message, reply_type, timeout_s=None, headers=None
    ) -> Result:
        """Post a message to a peer and decode its reply.

        Returns
        -------
        Result
            The reply, or a `PeerError`.
        """
        timeout = aiohttp.ClientTimeout(total=timeout_s or self._timeout_s)
        try:
            async with self._session.post(
                f"{self._scheme}://{address}{path}",
                data=msgspec.json.encode(message),
                headers={**self._headers, **(headers or {})},
                timeout=timeout,
            ) as response:
                body = await response.read()
        except aiohttp.ClientConnectorError as error:
            return Failure(PeerUnreachable(str(error)))
        except (TimeoutError, aiohttp.ClientError, OSError) as error:
            return Failure(PeerUncertain(str(error) or "timeout"))
        if response.status != 200:
            return Failure(
                PeerRefused(body[:200].decode(errors="replace"), response.status)
            )
        try:
            return Success(msgspec.json.decode(body, type=reply_type))
        except msgspec.DecodeError as error:
            return Failure(PeerUncertain(str(error)))
