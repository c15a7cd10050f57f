"""Typed JSON routes of the peer, operator and caller listeners."""

from collections.abc import Awaitable, Callable

import msgspec
from aiohttp import web
from returns.result import Success

from fuchsiascale import ingress
from fuchsiascale.api import Failure
from fuchsiascale.platform import Message
from fuchsiascale.states import Outcome, Refusal

__all__ = [
    "APPLICATION_KEY",
    "JSON_CONTENT_TYPE",
    "Refused",
    "RouteTable",
    "encode_reply",
    "convert_body_refusal",
    "read_message",
]

APPLICATION_KEY = web.AppKey("application", object)
JSON_CONTENT_TYPE = "application/json"
MAX_BODY_BYTES = 16 * 1024 * 1024
BODY_REFUSALS = {
    ingress.Refusal.BODY_SIZE: (413, Refusal.TOO_LARGE),
    ingress.Refusal.SLOW_BODY: (408, Refusal.DEADLINE),
    ingress.Refusal.FRAMING: (400, Refusal.BAD_REQUEST),
}
"""Status and reason of a body that is refused; others lack memory for now."""


class Refused(Exception):
    """Raised by a handler to answer with an error.

    Parameters
    ----------
    status : int
        HTTP status.
    reason : Refusal or None
        Why the request was not run.
    detail : str
        Description of the error.
    outcome : Outcome, optional
        Outcome of the request.
    """

    def __init__(self, status, reason, detail, outcome=Outcome.NOT_RUN):
        super().__init__(detail)
        self.status = status
        self.reason = reason
        self.detail = detail
        self.outcome = outcome


class Route(msgspec.Struct, frozen=True):
    """One route with the type of its request body (None for no body)."""

    method: str
    path: str
    request_type: type | None
    handler: Callable[..., Awaitable[Message]]


class RouteTable:
    """Routes that decorated handler functions register.

    A handler takes the application, the decoded message and the aiohttp
    request. It returns a message, or a response if the status is not 200.
    """

    def __init__(self):
        self._routes = []

    def route(self, method, path, request_type=None):
        """Register the decorated coroutine function under a path."""

        def register(handler):
            self._routes.append(Route(method, path, request_type, handler))
            return handler

        return register

    def add_to(self, web_application):
        """Add all registered routes to an aiohttp application."""
        for entry in self._routes:
            web_application.router.add_route(
                entry.method, entry.path, _adapt_handler(entry)
            )


def _adapt_handler(entry):
    async def handle(request):
        application = request.app[APPLICATION_KEY]
        try:
            message = await read_message(request, entry.request_type)
            reply = await entry.handler(application, message, request)
        except Refused as refused:
            failure = Failure(
                outcome=refused.outcome, reason=refused.reason, detail=refused.detail
            )
            return encode_reply(failure, refused.status)
        if isinstance(reply, web.StreamResponse):
            return reply
        return encode_reply(reply)

    return handle


async def read_message(request, message_type):
    """Decode a JSON request body; raise Refused if it is malformed."""
    if message_type is None:
        return None
    read = await ingress.read_body(request, MAX_BODY_BYTES)
    if not isinstance(read, Success):
        status, reason, detail = convert_body_refusal(read.failure())
        raise Refused(status, reason, detail)
    try:
        return msgspec.json.decode(read.unwrap(), type=message_type)
    except (msgspec.DecodeError, UnicodeDecodeError) as error:
        raise Refused(400, Refusal.BAD_REQUEST, str(error)) from error


def convert_body_refusal(refusal):
    """Return status, reason and description for a body that a gate has refused."""
    status, reason = BODY_REFUSALS.get(refusal, (503, Refusal.NO_CAPACITY))
    return status, reason, f"the body was refused: {refusal.value}"


def encode_reply(message, status=200):
    """Return an aiohttp response that carries a message as JSON."""
    return web.Response(
        body=msgspec.json.encode(message),
        status=status,
        content_type=JSON_CONTENT_TYPE,
    )
