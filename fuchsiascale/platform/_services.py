"""Base class for clients of services that have one address."""

import aiohttp
from returns.result import Result

from fuchsiascale.platform._calls import TRANSFER_TIMEOUT_S, RawResponse, make_call
from fuchsiascale.platform._errors import Unavailable, Uncertain
from fuchsiascale.platform._messages import Message

__all__ = ["HttpService"]


class HttpService:
    """HTTP client of a service of the platform.

    Parameters
    ----------
    session : aiohttp.ClientSession
        Shared session; not closed here.
    base_url : str
        Address of the service, such as ``http://127.0.0.1:7000``.
    timeout_s : float
        Time limit of each call, in seconds; for a read, the read timeout.
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
        """Make one call to a path of the service; see `make_call`."""
        return await make_call(
            self._session,
            method,
            self._base_url + path,
            self._timeout_s,
            message=message,
            params=params,
            known_tag=known_tag,
            transfer_s=TRANSFER_TIMEOUT_S if method == "GET" else 0.0,
        )
