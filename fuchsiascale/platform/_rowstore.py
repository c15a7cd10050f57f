"""Client of the users' transactional row store."""

import base64
import binascii
import time
from collections.abc import Callable

import aiohttp
import msgspec
from returns.result import Failure, Result, Success

from fuchsiascale.jobs import (
    Busy,
    Change,
    Conflict,
    Expect,
    HistoryTruncated,
    NoAnswer,
    RowKey,
    StoreCall,
    StoredRow,
    StoreError,
    VersionedRows,
)
from fuchsiascale.platform._calls import TRANSFER_TIMEOUT_S

__all__ = ["HttpRowStore"]

LEAST_SILENCE_S = 0.7
"""Time without a byte of an answer, while the store is quick, after which a call is
given up: answers take 4 to 25 ms."""
MOST_SILENCE_S = 1.5
"""The same while it is slow."""
COMMIT_TIMEOUT_S = 2.5
"""Time for the answer to a commit: up to 1 s of them may wait in a partition, each
of which takes 0.3 s while the store is slow. Callers give up earlier if it is not."""
CONNECT_TIMEOUT_S = 0.4
FOLLOW_SLACK_S = 0.7
"""Time without a byte of a feed's answer, beyond the wait that was asked for."""
PAGE_ROWS = 500
REFUSALS = (429, 503, 507)
"""Statuses that say that nothing was done, beside those of a bad request."""


class _Row(msgspec.Struct, omit_defaults=True):
    """A row on the wire."""

    table: str
    part: str
    key: str
    value: str = ""
    version_id: int = 0
    deleted: bool = False


class _Condition(msgspec.Struct):
    table: str
    part: str
    key: str
    version_id: int


class _Transaction(msgspec.Struct):
    expected_rev: list[_Condition]
    write: list[_Row]
    remove: list[_Row]


class _Answer(msgspec.Struct):
    """Any answer about rows; ``version_id`` is the store's newest version."""

    version_id: int = 0
    rows: list[_Row] = []
    has_more: bool = False


class HttpRowStore:
    """The row store behind HTTP.

    Parameters
    ----------
    session : aiohttp.ClientSession
        Where calls are made.
    address : str
        ``host:port`` of the store.
    note_call : callable, optional
        Called with a `StoreCall` after each call.
    """

    def __init__(
        self,
        session: aiohttp.ClientSession,
        address: str,
        note_call: Callable[[StoreCall], None] | None = None,
    ):
        self._session = session
        self._base = f"http://{address}/fuchsiascale"
        self._note_call = note_call or (lambda call: None)
        self._silence_s = LEAST_SILENCE_S

    async def commit(
        self, expected: tuple[Expect, ...], changes: tuple[Change, ...]
    ) -> Result[int, Conflict | StoreError]:
        """Apply all changes or none.

        Parameters
        ----------
        expected : tuple of Expect
            Versions that rows must have.
        changes : tuple of Change
            Rows to write or to remove.

        Returns
        -------
        Result of int
            The version written.
        """
        body = _Transaction(
            expected_rev=[
                _Condition(*_fields(each.place), each.version) for each in expected
            ],
            write=[
                _Row(*_fields(each.place), base64.b64encode(each.value).decode())
                for each in changes
                if each.value is not None
            ],
            remove=[
                _Row(*_fields(each.place)) for each in changes if each.value is None
            ],
        )
        answered = await self._call(
            "POST",
            "/rows-tx",
            msgspec.json.encode(body),
            silence_s=COMMIT_TIMEOUT_S,
            total_s=COMMIT_TIMEOUT_S,
        )
        if isinstance(answered, Failure):
            return answered
        status, answer = answered.unwrap()
        if status == 412:
            return Failure(Conflict(_decode_rows(answer.rows)))
        return Success(answer.version_id)

    async def read(
        self, table: str, partition: str, first: str = "", last: str = ""
    ) -> Result[VersionedRows, StoreError]:
        """Read all rows of a partition from key ``first`` up to before ``last``."""
        rows, version, start = [], None, first
        while True:
            params = {"table": table, "part": partition, "limit": str(PAGE_ROWS)}
            if start:
                params["from"] = start
            if last:
                params["target"] = last
            answered = await self._call("GET", "/rows-get", params=params)
            if isinstance(answered, Failure):
                return answered
            _, answer = answered.unwrap()
            rows += _decode_rows(answer.rows)
            # Later pages are of later moments: a feed must resume from the first.
            version = answer.version_id if version is None else version
            if not answer.has_more or not answer.rows:
                return Success(VersionedRows(tuple(rows), version))
            start = answer.rows[-1].key + "\0"

    async def follow(
        self, table: str, after: int, wait_ms: int
    ) -> Result[VersionedRows, HistoryTruncated | StoreError]:
        """Wait for changes of a table."""
        params = {"table": table, "after": str(after), "wait_ms": str(wait_ms)}
        answered = await self._call(
            "GET",
            "/rows-feed",
            params=params,
            silence_s=wait_ms / 1000 + FOLLOW_SLACK_S,
        )
        if isinstance(answered, Failure):
            return answered
        status, answer = answered.unwrap()
        if status == 410:
            return Failure(HistoryTruncated())
        return Success(VersionedRows(_decode_rows(answer.rows), answer.version_id))

    async def _call(
        self,
        method,
        path,
        body=None,
        params=None,
        silence_s=None,
        total_s=TRANSFER_TIMEOUT_S,
    ):
        began_s, content = time.monotonic(), bytearray()
        timeout = aiohttp.ClientTimeout(
            total=total_s,
            sock_connect=CONNECT_TIMEOUT_S,
            sock_read=silence_s or self._silence_s,
        )
        reply = await self._exchange(method, path, body, params, timeout, content)
        self._note_call(
            StoreCall(
                name=path.removeprefix("/rows-"),
                outcome=_name_outcome(reply),
                seconds=time.monotonic() - began_s,
                received_bytes=len(content),
            )
        )
        return reply

    async def _exchange(self, method, path, body, params, timeout, content):
        """Make a call; ``content`` takes what is received of the answer."""
        headers = {"Content-Type": "application/json"} if body else None
        try:
            async with self._session.request(
                method,
                self._base + path,
                data=body,
                params=params,
                timeout=timeout,
                headers=headers,
            ) as response:
                async for chunk in response.content.iter_any():
                    content += chunk
        except aiohttp.ClientConnectorError as error:
            return Failure(Busy(f"not connected: {error}"))
        except (aiohttp.ClientError, TimeoutError) as error:
            self._silence_s = min(MOST_SILENCE_S, 2 * self._silence_s)
            return Failure(NoAnswer(f"{error!r} after {len(content)} bytes"))
        self._silence_s = max(LEAST_SILENCE_S, 0.95 * self._silence_s)
        return _read_answer(response.status, bytes(content))


def _read_answer(status, content):
    """Return the status and the decoded body of a whole answer."""
    if status not in (200, 410, 412):
        text = content[:200].decode(errors="replace")
        detail = f"status {status}: {text}" if text else f"status {status}"
        refused = status in REFUSALS or 400 <= status < 500
        return Failure(Busy(detail) if refused else NoAnswer(detail))
    try:
        answer = msgspec.json.decode(content, type=_Answer) if content else _Answer()
    except (msgspec.DecodeError, UnicodeDecodeError) as error:
        return Failure(NoAnswer(f"unreadable answer: {error}"))
    return Success((status, answer))


def _name_outcome(reply):
    if isinstance(reply, Success):
        return "done"
    return "busy" if isinstance(reply.failure(), Busy) else "no answer"


def _fields(place):
    return place.table, place.partition, place.key


def _decode_rows(rows):
    return tuple(
        StoredRow(
            RowKey(row.table, row.part, row.key),
            _decode_value(row.value),
            row.version_id,
            row.deleted,
        )
        for row in rows
    )


def _decode_value(value):
    """Return a row's bytes; what is no base64 reads as empty, which no type matches."""
    try:
        return base64.b64decode(value or "")
    except (binascii.Error, ValueError):
        return b""
