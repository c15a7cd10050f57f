"""Reading of request bodies by handlers, within the limits of the listener."""

from aiohttp import web
from returns.result import Failure, Result, Success

from fuchsiascale.ingress._connection import BodyRefused, Refusal
from fuchsiascale.ingress._transport import IngressTransport

__all__ = ["BodyRefused", "Refusal", "open_body", "read_body"]


def open_body(request, limit):
    """Admit the body of a request, so that its content can be read.

    Without it, no byte of a body is read that did not come along with the head. No
    effect on a listener without a gate.

    Raises
    ------
    BodyRefused
        If the body is over ``limit`` bytes, or there is no memory for it now.
    """
    transport = request.transport
    if isinstance(transport, IngressTransport):
        transport.connection.open_body(request, limit)


async def read_body(request, limit) -> Result[bytearray, Refusal]:
    """Return the body of a request, or why it is refused.

    Parameters
    ----------
    request : aiohttp.web.BaseRequest
        The request.
    limit : int
        Most bytes of the body, after decompression.
    """
    body = bytearray()
    try:
        open_body(request, limit)
        content = request.content
        if content.is_eof():
            body += content.read_nowait()
            return Success(body) if len(body) <= limit else Failure(Refusal.BODY_SIZE)
        while chunk := await content.readany():
            body += chunk
            if len(body) > limit:
                return Failure(Refusal.BODY_SIZE)
    except BodyRefused as refused:
        return Failure(refused.refusal)
    except web.RequestPayloadError:
        return Failure(Refusal.FRAMING)
    return Success(body)
