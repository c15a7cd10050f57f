"""HTTP client of the transactional row store of the users' platform."""

import base64
import binascii
import time
from collections.abc import Callable

import aiohttp
import msgspec
from returns.result import Failure, Result, Success

from fuchsiascale.clock import BootClock
from fuchsiascale.jobs import (
    Busy,
    Change,
    Conflict,
    Expect,
    HistoryTruncated,
    NoAnswer,
    Rejected,
    RowKey,
    StoreCall,
    StoredRow,
    StoreError,
    StoreSilence,
    VersionedRows,
)
from fuchsiascale.json_decoding import decode_json
from fuchsiascale.platform._calls import TRANSFER_TIMEOUT_S

__all__ = ["HttpRowStore"]

MIN_READ_TIMEOUT_S = 0.7
"""Read timeout (time without a received byte) while the store responds quickly;
responses then take 4 to 25 ms."""
MAX_READ_TIMEOUT_S = 1.5
"""Read timeout while the store responds slowly."""
COMMIT_TIMEOUT_S = 2.5
"""Time limit of a commit. Up to 1 s of commits may queue in a partition, each of which
takes 0.3 s while the store is slow. While it is quick, callers abort earlier."""
CONNECT_TIMEOUT_S = 0.4
FOLLOW_TIMEOUT_MARGIN_S = 0.7
"""Read timeout of a feed beyond the requested wait."""
ROWS_PER_PAGE = 500
REFUSED_STATUSES = (429, 503, 507)
"""Statuses of calls that had no effect, in addition to all of 400 to 499."""
REJECTED_STATUSES = (400, 413)
"""Statuses of calls whose form or size the store rejects."""


class _Row(msgspec.Struct, omit_defaults=True):
    """A row on the wire; ``part`` is its partition, ``value`` is base64."""

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


class _Response(msgspec.Struct):
    """Body of all responses; ``version_id`` is the store's newest version."""

    version_id: int = 0
    rows: list[_Row] = []
    has_more: bool = False


class HttpRowStore:
    """HTTP client of the row store.

    Parameters
    ----------
    session : aiohttp.ClientSession
        Session for the calls; not closed here.
    address : str
        ``host:port`` of the store.
    record_call : callable, optional
        Called with a `StoreCall` after each call.
    silence : StoreSilence, optional
        Told of each call, of each part of an answer, and of the end.
    """

    def __init__(
        self,
        session: aiohttp.ClientSession,
        address: str,
        record_call: Callable[[StoreCall], None] | None = None,
        silence: StoreSilence | None = None,
    ):
        self._session = session
        self._base = f"http://{address}/fuchsiascale"
        self._record_call = record_call or (lambda call: None)
        self._silence = silence or StoreSilence(BootClock())
        self._read_timeout_s = MIN_READ_TIMEOUT_S

    async def commit(
        self, expected: tuple[Expect, ...], changes: tuple[Change, ...]
    ) -> Result[int, Conflict | StoreError]:
        """Apply all changes atomically, or none.

        Parameters
        ----------
        expected : tuple of Expect
            Versions that rows must have for the changes to apply.
        changes : tuple of Change
            Rows to write; rows whose value is None are removed.

        Returns
        -------
        Result of int
            The version at which the changes were written.
        """
        body = _Transaction(
            expected_rev=[
                _Condition(*_split_row_key(each.place), each.version)
                for each in expected
            ],
            write=[
                _Row(*_split_row_key(each.place), base64.b64encode(each.value).decode())
                for each in changes
                if each.value is not None
            ],
            remove=[
                _Row(*_split_row_key(each.place))
                for each in changes
                if each.value is None
            ],
        )
        result = await self._call(
            "POST",
            "/rows-tx",
            msgspec.json.encode(body),
            read_timeout_s=COMMIT_TIMEOUT_S,
            total_s=COMMIT_TIMEOUT_S,
            is_judged=False,
        )
        if isinstance(result, Failure):
            return result
        status, response = result.unwrap()
        if status == 412:
            return Failure(Conflict(_decode_rows(response.rows)))
        return Success(response.version_id)

    async def read(
        self, table: str, partition: str, first: str = "", last: str = ""
    ) -> Result[VersionedRows, StoreError]:
        """Read the rows of a partition from key ``first`` to ``last`` (exclusive)."""
        rows, version, start = [], None, first
        while True:
            params = {"table": table, "part": partition, "limit": str(ROWS_PER_PAGE)}
            if start:
                params["from"] = start
            if last:
                params["target"] = last
            result = await self._call("GET", "/rows-get", params=params)
            if isinstance(result, Failure):
                return result
            _, response = result.unwrap()
            rows += _decode_rows(response.rows)
            # Later pages are read at newer versions. A feed must resume from the
            # version of the first page, or it would miss changes between the pages.
            version = response.version_id if version is None else version
            if not response.has_more or not response.rows:
                return Success(VersionedRows(tuple(rows), version))
            start = response.rows[-1].key + "\0"

    async def follow(
        self, table: str, after: int, wait_ms: int
    ) -> Result[VersionedRows, HistoryTruncated | StoreError]:
        """Return the changes after a version; wait up to ``wait_ms`` for one."""
        params = {"table": table, "after": str(after), "wait_ms": str(wait_ms)}
        result = await self._call(
            "GET",
            "/rows-feed",
            params=params,
            read_timeout_s=wait_ms / 1000 + FOLLOW_TIMEOUT_MARGIN_S,
            held_s=wait_ms / 1000,
        )
        if isinstance(result, Failure):
            return result
        status, response = result.unwrap()
        if status == 410:
            return Failure(HistoryTruncated())
        rows = _decode_rows(response.rows)
        if response.has_more and rows:
            return Success(VersionedRows(rows, rows[-1].version, is_complete=False))
        return Success(VersionedRows(rows, response.version_id))

    async def _call(
        self,
        method,
        path,
        body=None,
        params=None,
        read_timeout_s=None,
        total_s=TRANSFER_TIMEOUT_S,
        held_s=0.0,
        is_judged=True,
    ):
        started_s, content = time.monotonic(), bytearray()
        timeout = aiohttp.ClientTimeout(
            total=total_s,
            sock_connect=CONNECT_TIMEOUT_S,
            sock_read=read_timeout_s or self._read_timeout_s,
        )
        call = self._silence.note_call(held_s, is_judged)
        try:
            reply = await self._exchange(
                method, path, body, params, timeout, content, call
            )
        finally:
            self._silence.note_end(call)
        self._record_call(
            StoreCall(
                name=path.removeprefix("/rows-"),
                outcome=_classify_outcome(reply),
                seconds=time.monotonic() - started_s,
                received_bytes=len(content),
            )
        )
        return reply

    async def _exchange(self, method, path, body, params, timeout, content, call):
        """Make a call and append the bytes received to ``content``."""
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
                self._silence.note_answer(call)
                async for chunk in response.content.iter_any():
                    self._silence.note_answer(call)
                    content += chunk
        except aiohttp.ClientConnectorError as error:
            return Failure(Busy(f"connection failed: {error}"))
        except (aiohttp.ClientError, TimeoutError) as error:
            self._read_timeout_s = min(MAX_READ_TIMEOUT_S, 2 * self._read_timeout_s)
            return Failure(NoAnswer(f"{error!r} after {len(content)} bytes"))
        self._read_timeout_s = max(MIN_READ_TIMEOUT_S, 0.95 * self._read_timeout_s)
        return _decode_response(response.status, bytes(content))


def _decode_response(status, content):
    """Return the status and decoded body of a complete response."""
    if status not in (200, 410, 412):
        text = content[:200].decode(errors="replace")
        detail = f"status {status}: {text}" if text else f"status {status}"
        if status in REFUSED_STATUSES:
            return Failure(Busy(detail))
        if status in REJECTED_STATUSES:
            return Failure(Rejected(detail))
        return Failure(Busy(detail) if 400 <= status < 500 else NoAnswer(detail))
    if not content:
        return Success((status, _Response()))
    decoded = decode_json(content, _Response)
    if isinstance(decoded, Failure):
        return Failure(NoAnswer(f"malformed response: {decoded.failure()}"))
    return Success((status, decoded.unwrap()))


def _classify_outcome(reply):
    if isinstance(reply, Success):
        return "done"
    error = reply.failure()
    if isinstance(error, Rejected):
        return "rejected"
    return "busy" if isinstance(error, Busy) else "no answer"


def _split_row_key(row_key):
    return row_key.table, row_key.partition, row_key.key


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
    """Decode a value; invalid base64 yields empty bytes, which no type accepts."""
    try:
        return base64.b64decode(value or "")
    except (binascii.Error, ValueError):
        return b""
