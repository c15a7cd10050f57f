"""HTTP adapter of the object store."""

import aiohttp
from returns.result import Failure, Result, Success

from fuchsiascale.ids import CheckpointKey
from fuchsiascale.platform._calls import call, quote_key
from fuchsiascale.platform._errors import Unavailable

__all__ = ["HttpObjects"]


class HttpObjects:
    """The object store behind HTTP.

    Parameters
    ----------
    session : aiohttp.ClientSession
        Shared session; not closed here.
    base_url : str
        Address of the store, such as ``http://127.0.0.1:7001``.
    timeout_s : float
        Bound of each call, in seconds.
    """

    def __init__(self, session: aiohttp.ClientSession, base_url: str, timeout_s: float):
        self._session = session
        self._base_url = base_url.rstrip("/")
        self._timeout_s = timeout_s

    async def exists(self, key: CheckpointKey) -> Result[bool, Unavailable]:
        """Tell whether an object is stored.

        Parameters
        ----------
        key : CheckpointKey
            Name of the object.

        Returns
        -------
        Result of bool
            True where the object is stored whole.
        """
        url = f"{self._base_url}/v1/objects/{quote_key(key)}"
        answered = await call(self._session, "HEAD", url, self._timeout_s)
        if isinstance(answered, Failure):
            return answered.alt(lambda error: Unavailable(detail=error.detail))
        status = answered.unwrap().status
        if status in (200, 204):
            return Success(True)
        if status == 404:
            return Success(False)
        return Failure(Unavailable(detail=f"answered with status {status}"))
