"""HTTP client of the object store."""

from returns.result import Failure, Result, Success

from fuchsiascale.ids import CheckpointKey
from fuchsiascale.platform._calls import quote_key
from fuchsiascale.platform._errors import Unavailable
from fuchsiascale.platform._services import HttpService

__all__ = ["HttpObjects"]


class HttpObjects(HttpService):
    """HTTP client of the object store, with the parameters of `HttpService`."""

    async def exists(self, key: CheckpointKey) -> Result[bool, Unavailable]:
        """Return whether an object is stored.

        Parameters
        ----------
        key : CheckpointKey
            Key of the object.

        Returns
        -------
        Result of bool
            True if the object is stored completely.
        """
        result = await self._call("HEAD", f"/v1/objects/{quote_key(key)}")
        if isinstance(result, Failure):
            return result.alt(lambda error: Unavailable(detail=error.detail))
        status = result.unwrap().status
        if status in (200, 204):
            return Success(True)
        if status == 404:
            return Success(False)
        return Failure(Unavailable(detail=f"answered with status {status}"))
