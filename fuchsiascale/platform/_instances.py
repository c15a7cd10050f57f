"""HTTP adapter of the platform's instance list."""

import aiohttp
from returns.result import Failure, Result

from fuchsiascale.platform._calls import call, decode
from fuchsiascale.platform._errors import Unavailable
from fuchsiascale.platform._messages import ListedInstance, ListedInstances

__all__ = ["HttpInstanceList"]


class HttpInstanceList:
    """The instance list behind HTTP.

    Parameters
    ----------
    session : aiohttp.ClientSession
        Shared session; not closed here.
    base_url : str
        Address of the list, such as ``http://127.0.0.1:7002``.
    timeout_s : float
        Bound of each call, in seconds.
    """

    def __init__(self, session: aiohttp.ClientSession, base_url: str, timeout_s: float):
        self._session = session
        self._url = base_url.rstrip("/") + "/v1/instances"
        self._timeout_s = timeout_s

    async def fetch(self) -> Result[tuple[ListedInstance, ...], Unavailable]:
        """Read the whole list.

        Returns
        -------
        Result of tuple of ListedInstance
            The list as of some moments ago.
        """
        answered = await call(self._session, "GET", self._url, self._timeout_s)
        if not isinstance(answered, Failure):
            answered = decode(answered.unwrap(), ListedInstances)
        return answered.map(lambda listed: listed.instances).alt(
            lambda error: Unavailable(detail=error.detail)
        )
