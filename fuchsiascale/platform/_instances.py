"""HTTP client of the platform's instance list."""

import aiohttp
from returns.result import Failure, Result, Success

from fuchsiascale.platform._calls import decode_response
from fuchsiascale.platform._errors import Unavailable
from fuchsiascale.platform._messages import ListedInstance, ListedInstances
from fuchsiascale.platform._services import HttpService

__all__ = ["HttpInstanceList"]

NOT_MODIFIED = 304


class HttpInstanceList(HttpService):
    """HTTP client of the instance list, with the parameters of `HttpService`."""

    def __init__(self, session: aiohttp.ClientSession, base_url: str, timeout_s: float):
        super().__init__(session, base_url, timeout_s)
        self._known = ListedInstances()
        self._known_tag = ""

    async def fetch(self) -> Result[tuple[ListedInstance, ...], Unavailable]:
        """Read the whole list.

        Returns
        -------
        Result of tuple of ListedInstance
            The list, which lags. If the service sends entity tags, the list is
            transferred only if it has changed since the last read.
        """
        result = await self._call("GET", "/v1/instances", known_tag=self._known_tag)
        if isinstance(result, Failure):
            return Failure(Unavailable(detail=result.failure().detail))
        raw = result.unwrap()
        if self._known_tag and raw.status == NOT_MODIFIED:
            return Success(self._known.instances)
        listed = decode_response(raw, ListedInstances)
        if isinstance(listed, Failure):
            return Failure(Unavailable(detail=listed.failure().detail))
        self._known, self._known_tag = listed.unwrap(), raw.entity_tag
        return Success(self._known.instances)
