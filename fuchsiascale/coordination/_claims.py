"""Claims of idempotency keys, which send a keyed request upstream at most once.

Notes
-----
The claim row is inserted before the request is sent. If several instances claim a
key, the conditional insert in the table service succeeds for only one of them. Each
claim carries a nonce, which distinguishes a claim whose reply was lost from the claim
of another request.
"""

import asyncio
import hashlib

import msgspec
from msgspec.structs import replace
from returns.result import Failure, Result, Success

from fuchsiascale.coordination._records import CLAIMS_TABLE, ClaimRecord
from fuchsiascale.ids import WriteId
from fuchsiascale.platform import (
    Conflict,
    Delete,
    Message,
    Put,
    Transaction,
    Unavailable,
    Uncertain,
)
from fuchsiascale.states import Outcome

__all__ = [
    "MAX_PENDING_OUTCOMES",
    "ClaimError",
    "ClaimExists",
    "ClaimGranted",
    "ClaimUnavailable",
    "KeyClaims",
    "RowCommitter",
    "format_claim_key",
    "generate_nonce",
]

MAX_GROUP_ROWS = 64
MAX_PENDING_OUTCOMES = 4_096
KEY_PREFIX_COUNT = 256
MAX_EXPIRED_DELETES = 64


class ClaimGranted(Message):
    """The claim row is stored and belongs to this request."""

    record: ClaimRecord
    version: int


class ClaimError(Message):
    """Base class of the reasons why a claim was not granted."""


class ClaimExists(ClaimError):
    """An earlier request holds the key; its row contains the known outcome."""

    record: ClaimRecord


class ClaimUnavailable(ClaimError):
    """The store did not confirm the claim; the request must not be sent.

    Parameters
    ----------
    may_exist : bool
        Whether the row may exist, or may still be written.
    """

    detail: str = ""
    may_exist: bool = False


def format_claim_key(team, key):
    """Return the row key of a team's idempotency key.

    Examples
    --------
    >>> len(format_claim_key("schools", "booking-7"))
    40
    """
    return hashlib.sha1(f"{team}\0{key}".encode(), usedforsecurity=False).hexdigest()


def generate_nonce(random):
    """Return a nonce that identifies one claim."""
    return f"{random.getrandbits(96):024x}"


class RowCommitter:
    """Combines single-row writes of concurrent callers into transactions.

    Parameters
    ----------
    tables : Tables
        The platform's table service.
    random : random.Random
        Source of write ids.

    Notes
    -----
    Rows that arrive while a transaction is in progress share the next one. A row
    with a conflict is removed from its group, and the rest of the group is retried.
    """

    def __init__(self, tables, random):
        self._tables = tables
        self._random = random
        self._queue = []
        self._task = None

    async def write(self, put):
        """Write one row.

        Parameters
        ----------
        put : Put
            The conditional write.

        Returns
        -------
        Result of int
            The row's new version, or the error of the tables port.
        """
        future = asyncio.get_running_loop().create_future()
        self._queue.append((put, future))
        if self._task is None:
            self._task = asyncio.ensure_future(self._drain())
        return await future

    async def _drain(self):
        try:
            while self._queue:
                group = self._take_group()
                await self._commit(group)
        finally:
            self._task = None

    def _take_group(self):
        """Take the next group of rows with distinct keys off the queue."""
        group = {}
        remaining = []
        for put, future in self._queue:
            if put.key in group or len(group) >= MAX_GROUP_ROWS:
                remaining.append((put, future))
            else:
                group[put.key] = (put, future)
        self._queue = remaining
        return group

    async def _commit(self, group):
        while group:
            try:
                result = await self._transact(group)
            except Exception as error:
                result = Failure(Uncertain(detail=repr(error)))
            if isinstance(result, Success):
                _resolve_all(group, result.unwrap())
                return
            error = result.failure()
            conflicting = [
                row for row in getattr(error, "rows", ()) if row.key in group
            ]
            if not isinstance(error, Conflict) or not conflicting:
                for _, future in group.values():
                    _resolve(future, result)
                return
            for row in conflicting:
                _, future = group.pop(row.key)
                _resolve(future, Failure(Conflict(rows=(row,))))

    async def _transact(self, group):
        transaction = Transaction(
            write_id=WriteId(generate_nonce(self._random)),
            puts=tuple(put for put, _ in group.values()),
        )
        return await self._tables.transact(transaction)


def _resolve_all(group, rows):
    versions = {row.key: row.version for row in rows}
    for put, future in group.values():
        version = versions.get(put.key)
        if version is None:
            _resolve(future, Failure(Uncertain(detail="the row was not returned")))
        else:
            _resolve(future, Success(version))


def _resolve(future, result):
    if not future.done():
        future.set_result(result)


class KeyClaims:
    """Inserts claim rows and records their outcomes by conditional writes.

    Parameters
    ----------
    tables : Tables
        The platform's table service.
    random : random.Random
        Source of write ids and of the key prefixes to clean up.
    """

    def __init__(self, tables, random):
        self._tables = tables
        self._random = random
        self._committer = RowCommitter(tables, random)
        self._pending_outcomes = {}

    @property
    def pending(self):
        """Number of claims whose outcome is not recorded yet."""
        return len(self._pending_outcomes)

    async def claim(
        self, record: ClaimRecord, may_exist=False, remote=False
    ) -> Result[ClaimGranted, ClaimError]:
        """Insert the claim row, or return why the claim was not granted.

        Parameters
        ----------
        record : ClaimRecord
            The row to insert, not settled, with a unique nonce.
        may_exist : bool
            Whether another instance may have inserted the same row already.
        remote : bool
            Whether another instance holds the claim and is responsible for
            abandoning it.

        Returns
        -------
        Result
            The granted claim, or why the request must not be sent.

        Notes
        -----
        A claim that the store did not confirm is never used. Its row may exist or
        may still be written, so it is recorded as not run once the store is
        reachable again; until then a repeated request finds it unsettled.
        """
        if len(self._pending_outcomes) >= MAX_PENDING_OUTCOMES:
            detail = "too many claims wait for the store"
            return Failure(ClaimUnavailable(detail=detail))
        claimed = await self._claim(record)
        if isinstance(claimed, Failure):
            error = claimed.failure()
            unsent = isinstance(error, ClaimUnavailable) and not remote
            if unsent and (may_exist or error.may_exist):
                self.abandon(record)
        return claimed

    def abandon(self, record):
        """Queue a claim to be recorded as not run, since its request is never sent."""
        not_run = replace(record, outcome=Outcome.NOT_RUN, settled=True)
        self._pending_outcomes[record.nonce] = not_run

    async def _claim(self, record):
        written = await self._write(record, 0)
        if isinstance(written, Success):
            return written
        if not isinstance(written.failure(), Conflict):
            return Failure(_make_unavailable(written.failure()))
        found = await self._read(record, written.failure())
        if isinstance(found, Failure):
            return Failure(_make_unavailable(found.failure()))
        return await self._resolve_conflict(record, found.unwrap())

    async def _resolve_conflict(self, record, existing):
        """Return the result of a claim whose insert found an existing row."""
        if existing is None:
            return Failure(ClaimUnavailable(detail="the claim row was removed"))
        current = existing.record
        if current.nonce == record.nonce:
            return (
                Failure(ClaimExists(record=current))
                if current.settled
                else Success(existing)
            )
        not_run = current.settled and current.outcome is Outcome.NOT_RUN
        if not not_run or current.body_digest != record.body_digest:
            return Failure(ClaimExists(record=current))
        written = await self._write(record, existing.version)
        if isinstance(written, Success):
            return written
        error = written.failure()
        if not isinstance(error, Conflict):
            return Failure(_make_unavailable(error))
        found = await self._read(record, error)
        reread = found.value_or(None)
        if reread is None:
            return Failure(
                ClaimUnavailable(detail="the claim row changed", may_exist=True)
            )
        if reread.record.nonce == record.nonce and not reread.record.settled:
            return Success(reread)
        return Failure(ClaimExists(record=reread.record))

    async def record_outcome(self, granted, record):
        """Record the outcome of a claimed request, now or once the store is reachable.

        Parameters
        ----------
        granted : ClaimGranted
            The claim.
        record : ClaimRecord
            The row with its outcome and answer.

        Returns
        -------
        bool
            Whether the outcome is stored already.
        """
        record = replace(record, settled=True)
        written = await self._write(record, granted.version)
        if isinstance(written, Success):
            return True
        self._pending_outcomes[record.nonce] = record
        return False

    async def record_pending_outcomes(self):
        """Retry recording the outcomes that the store has not accepted.

        Returns
        -------
        int
            Number of outcomes that are still not recorded.
        """
        for nonce, record in list(self._pending_outcomes.items()):
            if not await self._record_pending_outcome(record):
                break
            self._pending_outcomes.pop(nonce, None)
        return len(self._pending_outcomes)

    async def delete_expired(self, now_ms):
        """Delete expired rows in a randomly chosen part of the table.

        Parameters
        ----------
        now_ms : int
            Wall-clock time, in milliseconds.

        Returns
        -------
        int
            Number of deleted rows.
        """
        prefix = f"{self._random.randrange(KEY_PREFIX_COUNT):02x}"
        page = await self._tables.scan(CLAIMS_TABLE, prefix)
        if isinstance(page, Failure):
            return 0
        expired = [
            Delete(table=CLAIMS_TABLE, key=row.key, expected_version=row.version)
            for row in page.unwrap().rows
            if _decode(row).record.expires_ms < now_ms
        ][:MAX_EXPIRED_DELETES]
        if not expired:
            return 0
        write_id = WriteId(generate_nonce(self._random))
        transaction = Transaction(write_id=write_id, deletes=tuple(expired))
        removed = await self._tables.transact(transaction)
        return len(expired) if isinstance(removed, Success) else 0

    async def _record_pending_outcome(self, record):
        found = await self._get(record)
        if isinstance(found, Failure):
            return False
        existing = found.unwrap()
        if existing is None and record.outcome is not Outcome.NOT_RUN:
            return True
        if existing is not None and existing.record.nonce != record.nonce:
            return await self._fence(existing)
        if existing is not None and existing.record.settled:
            return True
        version = 0 if existing is None else existing.version
        return isinstance(await self._write(record, version), Success)

    async def _fence(self, existing):
        """Rewrite a row that is not run, so that its version changes.

        A claim still in progress then fails to replace the row.
        """
        current = existing.record
        if not current.settled or current.outcome is not Outcome.NOT_RUN:
            return True
        return isinstance(await self._write(current, existing.version), Success)

    async def _read(self, record, conflict):
        key = format_claim_key(record.team, record.key)
        for row in conflict.rows:
            if row.key == key and row.version:
                return Success(_decode(row))
        return await self._get(record)

    async def _get(self, record):
        key = format_claim_key(record.team, record.key)
        found = await self._tables.get(CLAIMS_TABLE, key)
        return found.map(lambda row: None if row is None else _decode(row))

    async def _write(self, record, expected_version):
        put = Put(
            table=CLAIMS_TABLE,
            key=format_claim_key(record.team, record.key),
            expected_version=expected_version,
            value=msgspec.Raw(msgspec.json.encode(record)),
        )
        written = await self._committer.write(put)
        return written.map(lambda version: ClaimGranted(record=record, version=version))


def _decode(row):
    record = msgspec.json.decode(row.value, type=ClaimRecord)
    return ClaimGranted(record=record, version=row.version)


def _make_unavailable(error):
    may_exist = not isinstance(error, Unavailable)
    return ClaimUnavailable(detail=error.detail, may_exist=may_exist)
