"""Stand-in of the object store: whole objects by key."""

import xxhash
from aiohttp import web

from standins._journal import Event
from standins._server import Standin, parse_arguments, run_standin

__all__ = ["main"]


class ObjectsStandin:
    """HTTP interface to objects in memory."""

    def __init__(self, options):
        self.standin = Standin("objects", options)
        self._objects = {}
        router = self.standin.app.router
        router.add_get("/v1/objects/{key:.+}", self._get)
        router.add_put("/v1/objects/{key:.+}", self._put)

    async def _get(self, request):
        body = self._objects.get(request.match_info["key"])
        if body is None:
            return web.Response(status=404)
        return web.Response(body=body)

    async def _put(self, request):
        key = request.match_info["key"]
        self._objects[key] = await request.read()
        digest = xxhash.xxh3_64_hexdigest(self._objects[key])
        self.standin.journal.record(Event.STORED, keys=(key,), body_digest=digest)
        return web.Response(status=204)


def main():
    """Run the stand-in."""
    run_standin(ObjectsStandin(parse_arguments(__doc__)).standin)


if __name__ == "__main__":
    main()
