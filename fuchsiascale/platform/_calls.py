"""HTTP calls to the platform, with failures classified by their possible effect."""

import asyncio
from typing import TypeVar
from urllib.parse import quote

import aiohttp
import msgspec
import yarl
from returns.result import Failure, Result, Success

from fuchsiascale.platform._errors import Unavailable, Uncertain
from fuchsiascale.platform._messages import Message

__all__ = [
    "DuplicateSendError",
    "RawResponse",
    "SingleSend",
    "TRANSFER_TIMEOUT_S",
    "build_timeout",
    "make_call",
    "decode_response",
    "quote_key",
    "read_body",
]

MAX_RESPONSE_BYTES = 16 * 1024 * 1024
MAX_CONNECT_S = 1.0
CONNECT_SHARE = 0.8
TRANSFER_TIMEOUT_S = 6.0
"""Time limit for the body of a long response that keeps arriving: 1 MB, a page of 500
rows, over a link of 5 Mbit/s that is shared with three other transfers."""

T = TypeVar("T")

CONNECT_FAILURES = (
    aiohttp.ClientConnectorError,
    aiohttp.ConnectionTimeoutError,
)
CALL_FAILURES = (aiohttp.ClientError, asyncio.TimeoutError, OSError)
JSON_HEADERS = {"Content-Type": "application/json"}


class ResponseTooLargeError(aiohttp.ClientError):
    """A response exceeds the size limit."""


class DuplicateSendError(Exception):
    """The client library was about to send a request a second time."""


class RawResponse(Message):
    """Status, complete body and entity tag of a response."""

    status: int
    body: bytes
    entity_tag: str = ""


class SingleSend:
    """Client middleware that prevents the re-sending of a request.

    The client library sends requests of idempotent methods again when a
    pooled connection turns out to be closed, although the server may have
    received the first copy.
    """

    def __init__(self):
        self._sent = False

    async def __call__(self, request, handler):
        """Send the request, or raise `DuplicateSendError` the second time."""
        if self._sent:
            raise DuplicateSendError
        self._sent = True
        return await handler(request)


def build_timeout(timeout_s: float, transfer_s: float = 0.0) -> aiohttp.ClientTimeout:
    """Return the timeouts of a call.

    Parameters
    ----------
    timeout_s : float
        Read timeout (time without a received byte), in seconds.
    transfer_s : float, optional
        Additional time for a response that keeps arriving, in seconds.

    Returns
    -------
    aiohttp.ClientTimeout
        The connect timeout is shorter than the read timeout, which separates an
        unreachable host from one that has received the request.
    """
    connect_s = min(MAX_CONNECT_S, CONNECT_SHARE * timeout_s)
    return aiohttp.ClientTimeout(
        total=timeout_s + transfer_s, connect=connect_s, sock_read=timeout_s
    )


async def read_body(response: aiohttp.ClientResponse) -> bytes:
    """Read the body of a response, up to ``MAX_RESPONSE_BYTES``.

    Parameters
    ----------
    response : aiohttp.ClientResponse
        A response whose headers were received.

    Returns
    -------
    bytes
        The complete body.

    Raises
    ------
    aiohttp.ClientError
        If the body is truncated or too large.
    """
    declared = response.content_length
    if declared is not None and declared <= MAX_RESPONSE_BYTES:
        return await response.read()
    body = bytearray()
    async for chunk in response.content.iter_any():
        body += chunk
        if len(body) > MAX_RESPONSE_BYTES:
            response.close()
            raise ResponseTooLargeError(
                f"an answer of more than {MAX_RESPONSE_BYTES} bytes"
            )
    return bytes(body)


async def make_call(
    session: aiohttp.ClientSession,
    method: str,
    url: str,
    timeout_s: float,
    message: Message | None = None,
    params: dict[str, str] | None = None,
    known_tag: str = "",
    transfer_s: float = 0.0,
) -> Result[RawResponse, Unavailable | Uncertain]:
    """Make one call and receive the complete response.

    Parameters
    ----------
    session : aiohttp.ClientSession
        Shared session.
    method, url : str
        Method and URL of the call.
    timeout_s : float
        Read timeout (time without a received byte), in seconds.
    message : Message, optional
        Sent as the JSON body.
    params : dict of str to str, optional
        Query parameters of the URL.
    known_tag : str, optional
        Entity tag of the response that the caller has cached; the status is 304
        while that is current.
    transfer_s : float, optional
        Additional time for a response that keeps arriving, in seconds.

    Returns
    -------
    Result of RawResponse
        ``Unavailable`` if no byte was sent or the service responded with status
        503; ``Uncertain`` if the response was lost.
    """
    body = None if message is None else msgspec.json.encode(message)
    headers = JSON_HEADERS if body is not None else {}
    if known_tag:
        headers = {**headers, "If-None-Match": known_tag}
    try:
        async with session.request(
            method,
            yarl.URL(url, encoded=True).update_query(params or {}),
            data=body,
            headers=headers,
            timeout=build_timeout(timeout_s, transfer_s),
            allow_redirects=False,
            middlewares=(SingleSend(),),
        ) as response:
            raw = RawResponse(
                status=response.status,
                body=await read_body(response),
                entity_tag=response.headers.get("ETag", ""),
            )
    except CONNECT_FAILURES as error:
        return Failure(Unavailable(detail=repr(error)))
    except (*CALL_FAILURES, DuplicateSendError) as error:
        return Failure(Uncertain(detail=repr(error)))
    if raw.status == 503:
        return Failure(Unavailable(detail="the service answered 503"))
    return Success(raw)


def decode_response(raw: RawResponse, message_type: type[T]) -> Result[T, Uncertain]:
    """Decode a response of status 200; any other status leaves the effect uncertain."""
    if raw.status != 200:
        return Failure(Uncertain(detail=f"answered with status {raw.status}"))
    try:
        return Success(msgspec.json.decode(raw.body, type=message_type))
    except msgspec.MsgspecError as error:
        return Failure(Uncertain(detail=str(error)))


def quote_key(key: str) -> str:
    """Percent-encode a key for use in a URL path, except its slashes.

    Examples
    --------
    >>> quote_key("a/b c?")
    'a/b%20c%3F'
    """
    return quote(key, safe="/")
