"""Stand-in of a runner: executes requests in a bounded number of slots."""

import asyncio

import msgspec
import xxhash
from aiohttp import web

from standins._journal import Event
from standins._server import Standin, parse_arguments, run_standin

__all__ = ["main"]

REQUEST_ID_HEADER = "X-Request-Id"
RUNNER_HEADER = "X-Runner"
RUN_STATE_HEADER = "X-Run-State"
LEAVING_HEADER = "X-Leaving"
IDEMPOTENCY_KEY_HEADER = "Idempotency-Key"
NOT_RUN = "not-run"


class RequestScript(msgspec.Struct, frozen=True, kw_only=True):
    """Service of a request, as its JSON body prescribes it.

    Parameters
    ----------
    service_ms : float or None
        Service time of this request, in milliseconds; None for the runner's default.
    """

    service_ms: float | None = None


class RunnerStandin:
    """Echoes bodies after a service time, with one slot per request."""

    def __init__(self, options):
        self.standin = Standin(options.runner_id, options)
        self._options = options
        self._busy_slots = 0
        self._previous_answer = None
        path = "/v1/services/{service}/{path:.*}"
        self.standin.app.router.add_route("*", path, self._serve)

    async def _serve(self, request):
        refusal = self._find_refusal(request)
        if refusal:
            return self._refuse(request, refusal)
        self._busy_slots += 1
        try:
            return await self._execute(request)
        finally:
            self._busy_slots -= 1

    def _find_refusal(self, request):
        if request.match_info["service"] != self._options.service:
            return "another service"
        if self.standin.faults.full or self._busy_slots >= self._options.slots:
            return "all slots are busy"
        if self.standin.connections > self._options.connections:
            return "too many connections"
        return ""

    def _refuse(self, request, refusal):
        self._record(Event.NOT_RUN, request, detail=refusal)
        headers = self._build_headers(request) | {RUN_STATE_HEADER: NOT_RUN}
        return web.Response(status=503, text=refusal, headers=headers)

    async def _execute(self, request):
        body = await request.read()
        digest = xxhash.xxh3_64_hexdigest(body)
        self._record(Event.EXECUTED, request, body_digest=digest)
        service_ms = read_script(body).service_ms
        if service_ms is None:
            service_ms = self._options.service_ms
        await asyncio.sleep(service_ms / 1000)
        headers = self._build_headers(request)
        answer = (headers, body, request.content_type)
        if (
            self.standin.consume_count("crossed_answers")
            and self._previous_answer is not None
        ):
            answer, self._previous_answer = self._previous_answer, answer
        else:
            self._previous_answer = answer
        headers, body, content_type = answer
        self._record(Event.ANSWERED, request, body_digest=digest, status=200)
        return web.Response(body=body, headers=headers, content_type=content_type)

    def _build_headers(self, request):
        headers = {
            REQUEST_ID_HEADER: request.headers.get(REQUEST_ID_HEADER, ""),
            RUNNER_HEADER: self._options.runner_id,
        }
        if self.standin.faults.leaving:
            headers[LEAVING_HEADER] = "true"
        return headers

    def _record(self, event, request, **fields):
        self.standin.journal.record(
            event,
            request=request.headers.get(REQUEST_ID_HEADER, ""),
            idempotency_key=request.headers.get(IDEMPOTENCY_KEY_HEADER, ""),
            method=request.method,
            path=request.path,
            **fields,
        )


def read_script(body):
    """Return the script in the body of a request, or an empty one if there is none."""
    try:
        return msgspec.json.decode(body, type=RequestScript)
    except msgspec.MsgspecError:
        return RequestScript()


def add_arguments(parser):
    """Add the arguments of this stand-in."""
    parser.add_argument("--runner-id", required=True)
    parser.add_argument("--service", required=True)
    parser.add_argument("--slots", type=int, default=8)
    parser.add_argument("--connections", type=int, default=64)
    parser.add_argument("--service-ms", type=float, default=5.0)


def main():
    """Run the stand-in."""
    run_standin(RunnerStandin(parse_arguments(__doc__, add_arguments)).standin)


if __name__ == "__main__":
    main()
