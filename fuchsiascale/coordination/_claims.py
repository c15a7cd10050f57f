"""Claims of idempotency keys: a keyed request is sent upstream once at most."""

import hashlib

import msgspec
from msgspec.structs import replace
from returns.result import Failure, Result, Success

from fuchsiascale.coordination._records import CLAIMS_TABLE, ClaimRecord
from fuchsiascale.ids import WriteId
from fuchsiascale.platform import (
    Conflict,
    Message,
    Put,
    Transaction,
    Unavailable,
)
from fuchsiascale.states import Outcome

__all__ = [
    "ClaimError",
    "ClaimGranted",
    "ClaimStands",
    "ClaimUnavailable",
    "KeyClaims",
    "format_claim_key",
]


class ClaimGranted(Message):
    """The claim row is in the store and names this request."""

    record: ClaimRecord
    version: int


class ClaimError(Message):
    """Base of the reasons why a claim was not granted."""


class ClaimStands(ClaimError):
    """An earlier request holds the key; its row says what became of it."""

    record: ClaimRecord


class ClaimUnavailable(ClaimError):
    """The store did not confirm the claim; the request must not be sent."""

    detail: str = ""


def format_claim_key(team, key):
    """Return the row key of a team's idempotency key.

    Examples
    --------
    >>> len(format_claim_key("schools", "booking-7"))
    40
    """
    return hashlib.sha1(f"{team}\0{key}".encode(), usedforsecurity=False).hexdigest()


class KeyClaims:
    """Inserts and settles claim rows, with the store as the arbiter.

    Parameters
    ----------
    tables : Tables
        The platform's table service.
    random : random.Random
        Source of write ids.
    """

    def __init__(self, tables, random):
        self._tables = tables
        self._random = random

    async def claim(self, record: ClaimRecord) -> Result[ClaimGranted, ClaimError]:
        """Insert the claim row, or return what stands in its place.

        Parameters
        ----------
        record : ClaimRecord
            The row to insert, not settled.

        Returns
        -------
        Result
            The granted claim, or why the request must not be sent.
        """
        written = await self._write(record, 0)
        if isinstance(written, Success):
            return written
        error = written.failure()
        if not isinstance(error, Conflict):
            return Failure(ClaimUnavailable(detail=error.detail))
        standing = await self._read(record, error)
        if isinstance(standing, ClaimUnavailable):
            return Failure(standing)
        old, version = standing
        if not (old.settled and old.outcome is Outcome.NOT_RUN):
            return Failure(ClaimStands(record=old))
        if old.body_digest != record.body_digest:
            return Failure(ClaimStands(record=old))
        return (await self._write(record, version)).alt(
            lambda problem: ClaimUnavailable(detail=problem.detail)
        )

    async def settle(self, granted, record):
        """Record the end of a claimed request.

        Parameters
        ----------
        granted : ClaimGranted
            The claim.
        record : ClaimRecord
            The row with its outcome and answer.

        Returns
        -------
        Result
            The row as written, or the store's error.
        """
        return await self._write(replace(record, settled=True), granted.version)

    async def _read(self, record, conflict):
        key = format_claim_key(record.team, record.key)
        for row in conflict.rows:
            if row.key == key and row.version:
                return msgspec.json.decode(row.value, type=ClaimRecord), row.version
        found = await self._tables.get(CLAIMS_TABLE, key)
        if isinstance(found, Failure) or found.unwrap() is None:
            return ClaimUnavailable(detail="the standing claim could not be read")
        row = found.unwrap()
        return msgspec.json.decode(row.value, type=ClaimRecord), row.version

    async def _write(self, record, expected_version):
        put = Put(
            table=CLAIMS_TABLE,
            key=format_claim_key(record.team, record.key),
            expected_version=expected_version,
            value=msgspec.Raw(msgspec.json.encode(record)),
        )
        write_id = WriteId(f"{self._random.getrandbits(96):024x}")
        result = await self._tables.transact(
            Transaction(write_id=write_id, puts=(put,))
        )
        if isinstance(result, Failure):
            return result
        for row in result.unwrap():
            if row.key == put.key:
                return Success(ClaimGranted(record=record, version=row.version))
        return Failure(Unavailable(detail="the store did not return the row"))
