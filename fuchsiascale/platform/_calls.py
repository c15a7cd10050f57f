"""One HTTP call to the platform, its failures sorted by what they prove."""

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
    "call",
    "decode",
    "quote_key",
    "read_body",
]

MAX_RESPONSE_BYTES = 16 * 1024 * 1024
MAX_CONNECT_S = 1.0
CONNECT_SHARE = 0.8
TRANSFER_TIMEOUT_S = 6.0
"""Time for a long answer that goes on arriving: 1 MB, a page of 500 rows, over a link
of 5 Mbit/s that is shared with three others."""

T = TypeVar("T")

CONNECT_FAILURES = (
    aiohttp.ClientConnectorError,
    aiohttp.ConnectionTimeoutError,
)
CALL_FAILURES = (aiohttp.ClientError, asyncio.TimeoutError, OSError)
JSON_HEADERS = {"Content-Type": "application/json"}


class ResponseTooLargeError(aiohttp.ClientError):
    """An answer passes the limit on its size."""


class DuplicateSendError(Exception):
    """The client library was about to send a request a second time."""


class RawResponse(Message):
    """Status, whole body and entity tag of an answer."""

    status: int
    body: bytes
    entity_tag: str = ""


class SingleSend:
    """Client middleware that lets one request pass a single time.

    The client library sends requests of idempotent methods again when a
    pooled connection turns out to be closed; the first copy may have been
    received all the same.
    """

    def __init__(self):
        self._sent = False

    async def __call__(self, request, handler):
        """Pass the request on, or refuse its second sending."""
        if self._sent:
            raise DuplicateSendError
        self._sent = True
        return await handler(request)


def build_timeout(timeout_s: float, transfer_s: float = 0.0) -> aiohttp.ClientTimeout:
    """Return the time limits of a call.

    Parameters
    ----------
    timeout_s : float
        Time without a byte of the answer, in seconds.
    transfer_s : float, optional
        Time for the rest of an answer that goes on arriving, in seconds.

    Returns
    -------
    aiohttp.ClientTimeout
        The time limit to connect is shorter, so that a host which is not there
        is told from one that has received the request.
    """
    connect_s = min(MAX_CONNECT_S, CONNECT_SHARE * timeout_s)
    return aiohttp.ClientTimeout(
        total=timeout_s + transfer_s, connect=connect_s, sock_read=timeout_s
    )


async def read_body(answer: aiohttp.ClientResponse) -> bytes:
    """Read an answer's body up to ``MAX_RESPONSE_BYTES``.

    Parameters
    ----------
    answer : aiohttp.ClientResponse
        An answer whose headers were received.

    Returns
    -------
    bytes
        The whole body.

    Raises
    ------
    aiohttp.ClientError
        Where the body is cut off or too large.
    """
    declared = answer.content_length
    if declared is not None and declared <= MAX_RESPONSE_BYTES:
        return await answer.read()
    body = bytearray()
    async for chunk in answer.content.iter_any():
        body += chunk
        if len(body) > MAX_RESPONSE_BYTES:
            answer.close()
            raise ResponseTooLargeError(
                f"an answer of more than {MAX_RESPONSE_BYTES} bytes"
            )
    return bytes(body)


async def call(
    session: aiohttp.ClientSession,
    method: str,
    url: str,
    timeout_s: float,
    message: Message | None = None,
    params: dict[str, str] | None = None,
    known_tag: str = "",
    transfer_s: float = 0.0,
) -> Result[RawResponse, Unavailable | Uncertain]:
    """Make one call and receive its whole answer.

    Parameters
    ----------
    session : aiohttp.ClientSession
        Shared session.
    method, url : str
        Method and address of the call.
    timeout_s : float
        Time without a byte of the answer, in seconds.
    message : Message, optional
        Sent as the JSON body.
    params : dict of str to str, optional
        Query of the URL.
    known_tag : str, optional
        Entity tag of the answer that the caller has; status 304 where it stands.
    transfer_s : float, optional
        Time for the rest of an answer that goes on arriving, in seconds.

    Returns
    -------
    Result of RawAnswer
        ``Unavailable`` where no byte was sent or the service answered that it
        is unavailable; ``Uncertain`` where the answer was lost.
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
        ) as answer:
            raw = RawResponse(
                status=answer.status,
                body=await read_body(answer),
                entity_tag=answer.headers.get("ETag", ""),
            )
    except CONNECT_FAILURES as error:
        return Failure(Unavailable(detail=repr(error)))
    except (*CALL_FAILURES, DuplicateSendError) as error:
        return Failure(Uncertain(detail=repr(error)))
    if raw.status == 503:
        return Failure(Unavailable(detail="the service answered 503"))
    return Success(raw)


def decode(raw: RawResponse, message_type: type[T]) -> Result[T, Uncertain]:
    """Decode an answer of status 200; anything else is no answer at all."""
    if raw.status != 200:
        return Failure(Uncertain(detail=f"answered with status {raw.status}"))
    try:
        return Success(msgspec.json.decode(raw.body, type=message_type))
    except msgspec.MsgspecError as error:
        return Failure(Uncertain(detail=str(error)))


def quote_key(key: str) -> str:
    """Return a key as a part of a URL; slashes stay.

    Examples
    --------
    >>> quote_key("a/b c?")
    'a/b%20c%3F'
    """
    return quote(key, safe="/")
