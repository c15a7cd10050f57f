"""Stand-in of the platform's instance list, which shows changes after a lag."""

import hashlib
import time
from pathlib import Path

import msgspec
from aiohttp import web

from fuchsiascale.platform import ListedInstances
from standins._journal import Event
from standins._server import (
    Standin,
    decode_body,
    encode_answer,
    parse_arguments,
    run_standin,
)

__all__ = ["LaggingList", "main"]


class LaggingList:
    """An instance list whose changes become visible only after a lag.

    Parameters
    ----------
    first : ListedInstances
        The list that is visible until the first change is older than the lag.
    """

    def __init__(self, first):
        self._versions = [(float("-inf"), first)]

    def change(self, listed, now_s):
        """Replace the list at the current time."""
        self._versions.append((now_s, listed))

    @property
    def newest(self):
        """The current list, without lag."""
        return self._versions[-1][1]

    def read(self, now_s, lag_s):
        """Return the list as it was ``lag_s`` seconds ago."""
        versions = [listed for at_s, listed in self._versions if at_s <= now_s - lag_s]
        return versions[-1]


class ListingStandin:
    """HTTP interface to a `LaggingList`, which is changed on the control port."""

    def __init__(self, options):
        self.standin = Standin("listing", options)
        self._lag_ms = options.lag_ms
        first = ListedInstances()
        if options.listing:
            text = Path(options.listing).read_bytes()
            first = msgspec.json.decode(text, type=ListedInstances)
        self._list = LaggingList(first)
        self.standin.app.router.add_get("/v1/instances", self._read)
        self.standin.control.router.add_post("/control/instances", self._change)
        self.standin.control.router.add_get("/control/instances", self._show)

    async def _read(self, request):
        lag_ms = self.standin.faults.lag_ms
        if lag_ms < 0:
            lag_ms = self._lag_ms
        answer = encode_answer(self._list.read(time.monotonic(), lag_ms / 1000))
        tag = f'"{hashlib.sha256(answer.body).hexdigest()[:16]}"'
        if request.headers.get("If-None-Match") == tag:
            return web.Response(status=304, headers={"ETag": tag})
        answer.headers["ETag"] = tag
        return answer

    async def _change(self, request):
        listed = await decode_body(request, ListedInstances)
        self._list.change(listed, time.monotonic())
        text = msgspec.json.encode(listed).decode()
        self.standin.journal.record(Event.LISTED, detail=text)
        return encode_answer(listed)

    async def _show(self, request):
        return encode_answer(self._list.newest)


def add_arguments(parser):
    """Add the arguments of this stand-in."""
    parser.add_argument("--listing", default="", help="JSON file of the first list")
    parser.add_argument("--lag-ms", type=int, default=200)


def main():
    """Run the stand-in."""
    run_standin(ListingStandin(parse_arguments(__doc__, add_arguments)).standin)


if __name__ == "__main__":
    main()
