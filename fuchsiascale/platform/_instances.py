"""HTTP adapter of the platform's instance list."""

import aiohttp
from returns.result import Failure, Result, Success

from fuchsiascale.platform._calls import call, decode
from fuchsiascale.platform._errors import Unavailable
from fuchsiascale.platform._messages import ListedInstance, ListedInstances

__all__ = ["HttpInstanceList"]

NOT_MODIFIED = 304


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
        self._known = ListedInstances()
        self._known_tag = ""

    async def fetch(self) -> Result[tuple[ListedInstance, ...], Unavailable]:
        """Read the whole list.

        Returns
        -------
        Result of tuple of ListedInstance
            The list as of some moments ago; it is transferred only where it has
            changed since the last read, if the service gives entity tags.
        """
        answered = await call(
            self._session,
            "GET",
            self._url,
            self._timeout_s,
            known_tag=self._known_tag,
        )
        if isinstance(answered, Failure):
            return Failure(Unavailable(detail=answered.failure().detail))
        raw = answered.unwrap()
        if self._known_tag and raw.status == NOT_MODIFIED:
            return Success(self._known.instances)
        listed = decode(raw, ListedInstances)
        if isinstance(listed, Failure):
            return Failure(Unavailable(detail=listed.failure().detail))
        self._known, self._known_tag = listed.unwrap(), raw.entity_tag
        return Success(self._known.instances)
