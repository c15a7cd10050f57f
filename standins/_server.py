"""Common server of the stand-ins: two listeners, faults, journal, graceful stop."""

import argparse
import asyncio
import contextlib
import signal
import time

import msgspec
from aiohttp import web

from fuchsiascale.platform import Message
from standins._journal import Event, Journal

__all__ = [
    "MAX_BODY_BYTES",
    "CutCounts",
    "Faults",
    "Standin",
    "decode_body",
    "encode_answer",
    "parse_arguments",
    "parse_endpoint",
    "run_standin",
]

MAX_BODY_BYTES = 16 * 1024 * 1024
STOP_TIMEOUT_S = 5.0


class CutCounts(msgspec.Struct, frozen=True, kw_only=True):
    """Counts of requests to cut, by the point at which the connection is aborted.

    Parameters
    ----------
    before_body, during_body, after_body : int
        Cut before, during or after receipt of the body; the request has no effect.
    after_effect : int
        Cut after the request has taken effect; the answer is lost.
    during_answer : int
        Cut in the middle of the answer.
    """

    before_body: int = 0
    during_body: int = 0
    after_body: int = 0
    after_effect: int = 0
    during_answer: int = 0


class Faults(Message):
    """Faults in force at a stand-in; counts apply to the next requests.

    Parameters
    ----------
    down : bool
        Refuses new connections and aborts the open ones.
    unavailable : bool
        Answers every request with 503 and without effect.
    slow_ms : int
        Delay before a request takes effect, in milliseconds.
    late_answer_ms : int
        Delay between a request's effect and its answer, in milliseconds.
    lag_ms : int
        Age of the listed or measured values, in milliseconds; if negative, the
        stand-in's default applies.
    pause_ms : int
        Blocks the event loop of the process once for this time, in milliseconds.
    cut : CutCounts
        Requests whose connection is aborted.
    crossed_answers : int
        Answers that carry the id and body of another request.
    truncated_answers : int
        Answers that end before their declared length.
    leaving : bool
        The worker or runner announces that it is leaving.
    fail_starts : bool
        Every attempt fails soon after its start.
    refuse_starts : bool
        Every start is refused.
    full : bool
        The runner has no free slot.
    """

    down: bool = False
    unavailable: bool = False
    slow_ms: int = 0
    late_answer_ms: int = 0
    lag_ms: int = -1
    pause_ms: int = 0
    cut: CutCounts = CutCounts()
    crossed_answers: int = 0
    truncated_answers: int = 0
    leaving: bool = False
    fail_starts: bool = False
    refuse_starts: bool = False
    full: bool = False


def parse_arguments(description, add_arguments=None):
    """Parse the arguments common to all stand-ins and those of one stand-in."""
    parser = argparse.ArgumentParser(description=description)
    parser.add_argument("--listen", required=True, help="host:port of the service")
    parser.add_argument("--control", required=True, help="host:port of the faults")
    parser.add_argument("--journal", default="", help="file of JSON lines")
    if add_arguments is not None:
        add_arguments(parser)
    return parser.parse_args()


def parse_endpoint(text):
    """Split ``host:port``.

    Examples
    --------
    >>> parse_endpoint("127.0.0.1:80")
    ('127.0.0.1', 80)
    """
    host, _, port = text.rpartition(":")
    return host, int(port)


async def decode_body(request, message_type):
    """Decode the body of a request as a message; answer 400 if it is malformed."""
    try:
        return msgspec.json.decode(await request.read(), type=message_type)
    except msgspec.MsgspecError as error:
        raise web.HTTPBadRequest(text=str(error)) from error


def encode_answer(message, status=200):
    """Encode a message as a JSON answer."""
    body = msgspec.json.encode(message)
    return web.Response(body=body, status=status, content_type="application/json")


class Standin:
    """Listeners, faults and journal of one stand-in process.

    Parameters
    ----------
    name : str
        Source of the journal entries.
    options : argparse.Namespace
        Result of `parse_arguments`.
    """

    def __init__(self, name, options):
        self.name = name
        self.faults = Faults()
        self.journal = Journal(options.journal, name)
        self._listen = parse_endpoint(options.listen)
        self._control = parse_endpoint(options.control)
        self.app = web.Application(
            middlewares=[self._apply_faults], client_max_size=MAX_BODY_BYTES
        )
        self.control = web.Application(client_max_size=MAX_BODY_BYTES)
        self.control.router.add_post("/control/faults", self._set_faults)
        self.control.router.add_get("/control/faults", self._show_faults)
        self._runner = None
        self._site = None

    @property
    def connections(self):
        """Number of open connections to the service."""
        return len(self._runner.server.connections)

    def consume_cut(self, point):
        """Return whether to cut the current request at a point; count it down if so."""
        remaining = getattr(self.faults.cut, point)
        if remaining <= 0:
            return False
        cut = msgspec.structs.replace(self.faults.cut, **{point: remaining - 1})
        self.faults = msgspec.structs.replace(self.faults, cut=cut)
        self.journal.record(Event.CUT, detail=point)
        return True

    def consume_count(self, name):
        """Return whether a counted fault affects the current request; count it down."""
        remaining = getattr(self.faults, name)
        if remaining <= 0:
            return False
        self.faults = msgspec.structs.replace(self.faults, **{name: remaining - 1})
        return True

    @web.middleware
    async def _apply_faults(self, request, handler):
        """Apply the faults common to all services around a handler."""
        if self.faults.unavailable:
            return web.Response(status=503)
        if self.consume_cut("before_body"):
            return cut_connection(request)
        if self.consume_cut("during_body"):
            await request.content.readany()
            return cut_connection(request)
        body = await request.read()
        if self.consume_cut("after_body"):
            return cut_connection(request)
        if self.faults.slow_ms:
            await asyncio.sleep(self.faults.slow_ms / 1000)
        answer = await handler(request)
        if self.faults.late_answer_ms and body is not None:
            await asyncio.sleep(self.faults.late_answer_ms / 1000)
        if self.consume_cut("after_effect"):
            return cut_connection(request)
        if self.consume_cut("during_answer") or self.consume_count("truncated_answers"):
            return await truncate_answer(request, answer)
        return answer

    async def _set_faults(self, request):
        self.faults = await decode_body(request, Faults)
        self.journal.record(Event.FAULTS, detail=(await request.read()).decode())
        if self.faults.pause_ms:
            seconds = self.faults.pause_ms / 1000
            asyncio.get_running_loop().call_later(0.01, time.sleep, seconds)
        await self._start_or_stop_site()
        return encode_answer(self.faults)

    async def _show_faults(self, request):
        return encode_answer(self.faults)

    async def _start_or_stop_site(self):
        if self.faults.down and self._site is not None:
            site, self._site = self._site, None
            await site.stop()
            for connection in self._runner.server.connections:
                if connection.transport is not None:
                    connection.transport.abort()
        elif not self.faults.down and self._site is None:
            await self._start_site()

    async def _start_site(self):
        self._site = web.TCPSite(self._runner, *self._listen, reuse_address=True)
        await self._site.start()

    async def serve(self):
        """Serve until SIGTERM or SIGINT."""
        stopped = asyncio.Event()
        loop = asyncio.get_running_loop()
        for number in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(number, stopped.set)
        self._runner = web.AppRunner(
            self.app, access_log=None, shutdown_timeout=STOP_TIMEOUT_S
        )
        control = web.AppRunner(self.control, access_log=None, shutdown_timeout=0.1)
        await self._runner.setup()
        await control.setup()
        await self._start_site()
        await web.TCPSite(control, *self._control).start()
        self.journal.record(Event.READY)
        print("ready", flush=True)
        await stopped.wait()
        await self._runner.cleanup()
        await control.cleanup()
        self.journal.close()


def cut_connection(request):
    """Abort the connection of a request; no part of an answer is sent."""
    if request.transport is not None:
        request.transport.abort()
    return web.Response(status=500)


async def truncate_answer(request, answer):
    """Send half of an answer's body with its full length declared, then abort."""
    body = answer.body or b""
    headers = dict(answer.headers)
    headers["Content-Length"] = str(len(body) or 1)
    cut = web.StreamResponse(status=answer.status, headers=headers)
    await cut.prepare(request)
    await cut.write(body[: len(body) // 2])
    return cut_connection(request)


def run_standin(standin):
    """Serve a stand-in in a new event loop until it receives a stop signal."""
    with contextlib.suppress(KeyboardInterrupt):
        asyncio.run(standin.serve())
