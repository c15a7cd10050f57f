"""Base of the adapters whose service has one address."""

import aiohttp
from returns.result import Result

from fuchsiascale.platform._calls import TRANSFER_TIMEOUT_S, RawResponse, call
from fuchsiascale.platform._errors import Unavailable, Uncertain
from fuchsiascale.platform._messages import Message

__all__ = ["HttpService"]


class HttpService:
    """A service of the platform behind HTTP.

    Parameters
    ----------
    session : aiohttp.ClientSession
        Shared session; not closed here.
    base_url : str
        Address of the service, such as ``http://127.0.0.1:7000``.
    timeout_s : float
        Bound of each call, in seconds; for a read, time without a byte of the answer.
    """

    def __init__(self, session: aiohttp.ClientSession, base_url: str, timeout_s: float):
        self._session = session
        self._base_url = base_url.rstrip("/")
        self._timeout_s = timeout_s

    async def _call(
        self,
        method: str,
        path: str,
        message: Message | None = None,
        params: dict[str, str] | None = None,
        known_tag: str = "",
    ) -> Result[RawResponse, Unavailable | Uncertain]:
        """Make one call to a path of the service; see `call`."""
        return await call(
            self._session,
            method,
            self._base_url + path,
            self._timeout_s,
            message=message,
            params=params,
            known_tag=known_tag,
            transfer_s=TRANSFER_TIMEOUT_S if method == "GET" else 0.0,
        )
