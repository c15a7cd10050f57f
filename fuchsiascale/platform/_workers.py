"""HTTP adapter of the workers."""

from typing import TypeVar

import aiohttp
from returns.result import Failure, Result, Success

from fuchsiascale.platform._calls import call, decode
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
    """All workers behind HTTP, each by its address.

    Parameters
    ----------
    session : aiohttp.ClientSession
        Shared session; not closed here.
    timeout_s : float
        Bound of each call, in seconds.
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
            A grant with the inventory; ``Fenced`` where a higher token was seen.
        """
        replied = await self._command(address, "claim", request, ClaimReply)
        return replied.bind(
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
            One result a start; ``Uncertain`` where the reply was lost.
        """
        replied = await self._command(address, "start", request, StartReply)
        return replied.bind(
            lambda reply: fail_if_fenced(reply, reply.accepted, reply.highest)
        )

    async def exchange(
        self, address: str, request: ExchangeRequest
    ) -> Result[ExchangeReply, WorkerError]:
        """Renew the lease, pass commands, and read the inventory.

        Parameters
        ----------
        address : str
            The worker's ``host:port``.
        request : ExchangeRequest
            Token, lease and commands; each command is idempotent.

        Returns
        -------
        Result of ExchangeReply
            The inventory after the commands; ``Uncertain`` where it was lost.
        """
        replied = await self._command(address, "exchange", request, ExchangeReply)
        return replied.bind(
            lambda reply: fail_if_fenced(reply, reply.accepted, reply.highest)
        )

    async def _command(self, address, name, request: Message, reply_type: type[Reply]):
        url = f"{self._scheme}://{address}/v1/{name}"
        answered = await call(self._session, "POST", url, self._timeout_s, request)
        if isinstance(answered, Failure):
            return answered
        return decode(answered.unwrap(), reply_type)


def fail_if_fenced(reply: Reply, accepted, highest) -> Result[Reply, Fenced]:
    """Return the reply, or ``Fenced`` where the worker refused the token."""
    if accepted:
        return Success(reply)
    return Failure(Fenced(highest=highest))
