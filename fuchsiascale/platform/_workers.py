"""HTTP client of the workers."""

from typing import TypeVar

import aiohttp
from returns.result import Failure, Result, Success

from fuchsiascale.platform._calls import decode_response, make_call
from fuchsiascale.platform._errors import Fenced, Unavailable, Uncertain
from fuchsiascale.platform._messages import (
    ClaimReply,
    ClaimRequest,
    ExchangeReply,
    ExchangeRequest,
    Message,
    StartReply,
    StartRequest,
)

__all__ = ["HttpWorkers"]

Reply = TypeVar("Reply", ClaimReply, StartReply, ExchangeReply)
WorkerError = Fenced | Unavailable | Uncertain


class HttpWorkers:
    """HTTP client of all workers, each given by its address.

    Parameters
    ----------
    session : aiohttp.ClientSession
        Shared session; not closed here.
    timeout_s : float
        Time limit of each call, in seconds.
    scheme : str, optional
        URL scheme of the calls: ``http`` or ``https``.
    """

    def __init__(
        self, session: aiohttp.ClientSession, timeout_s: float, scheme: str = "http"
    ):
        self._session = session
        self._timeout_s = timeout_s
        self._scheme = scheme

    async def claim(
        self, address: str, request: ClaimRequest
    ) -> Result[ClaimReply, WorkerError]:
        """Claim a worker.

        Parameters
        ----------
        address : str
            The worker's ``host:port``.
        request : ClaimRequest
            Token and lease.

        Returns
        -------
        Result of ClaimReply
            A grant with the inventory; ``Fenced`` if a higher token was seen.
        """
        result = await self._command(address, "claim", request, ClaimReply)
        return result.bind(
            lambda reply: fail_if_fenced(reply, reply.granted, reply.highest)
        )

    async def start(
        self, address: str, request: StartRequest
    ) -> Result[StartReply, WorkerError]:
        """Start attempts.

        Parameters
        ----------
        address : str
            The worker's ``host:port``.
        request : StartRequest
            Token and starts.

        Returns
        -------
        Result of StartReply
            One result per start; ``Uncertain`` if the reply was lost.
        """
        result = await self._command(address, "start", request, StartReply)
        return result.bind(
            lambda reply: fail_if_fenced(reply, reply.accepted, reply.highest)
        )

    async def exchange(
        self, address: str, request: ExchangeRequest
    ) -> Result[ExchangeReply, WorkerError]:
        """Renew the lease, send commands and read the inventory.

        Parameters
        ----------
        address : str
            The worker's ``host:port``.
        request : ExchangeRequest
            Token, lease and commands; each command is idempotent.

        Returns
        -------
        Result of ExchangeReply
            The inventory after the commands; ``Uncertain`` if it was lost.
        """
        result = await self._command(address, "exchange", request, ExchangeReply)
        return result.bind(
            lambda reply: fail_if_fenced(reply, reply.accepted, reply.highest)
        )

    async def _command(self, address, name, request: Message, reply_type: type[Reply]):
        url = f"{self._scheme}://{address}/v1/{name}"
        result = await make_call(self._session, "POST", url, self._timeout_s, request)
        if isinstance(result, Failure):
            return result
        return decode_response(result.unwrap(), reply_type)


def fail_if_fenced(reply: Reply, accepted, highest) -> Result[Reply, Fenced]:
    """Return the reply, or ``Fenced`` if the worker refused the token."""
    if accepted:
        return Success(reply)
    return Failure(Fenced(highest=highest))
