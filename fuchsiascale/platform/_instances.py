"""HTTP adapter of the platform's instance list."""

import aiohttp
from returns.result import Failure, Result, Success

from fuchsiascale.platform._calls import decode
from fuchsiascale.platform._errors import Unavailable
from fuchsiascale.platform._messages import ListedInstance, ListedInstances
from fuchsiascale.platform._services import HttpService

__all__ = ["HttpInstanceList"]

NOT_MODIFIED = 304


class HttpInstanceList(HttpService):
    """The instance list behind HTTP; its parameters are those of `HttpService`."""

    def __init__(self, session: aiohttp.ClientSession, base_url: str, timeout_s: float):
        super().__init__(session, base_url, timeout_s)
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
        answered = await self._call("GET", "/v1/instances", known_tag=self._known_tag)
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
