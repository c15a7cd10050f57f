"""HTTP client of the table service."""

import asyncio
from dataclasses import dataclass

import aiohttp
import tenacity
from returns.result import Failure, Result, Success

from fuchsiascale.platform._calls import decode_response, quote_key
from fuchsiascale.platform._errors import Conflict, Unavailable, Uncertain
from fuchsiascale.platform._messages import (
    Message,
    Put,
    Row,
    ScanPage,
    Transaction,
    TransactionReply,
)
from fuchsiascale.platform._services import HttpService

__all__ = ["HttpTables"]

MAX_ATTEMPTS = 4
FIRST_RETRY_WAIT_S = 0.05
MAX_RETRY_WAIT_S = 1.0
MAX_PARALLEL_READS = 16
ABSENT = 0


class HttpTables(HttpService):
    """HTTP client of the table service, with the parameters of `HttpService`."""

    def __init__(self, session: aiohttp.ClientSession, base_url: str, timeout_s: float):
        super().__init__(session, base_url, timeout_s)
        self._reads = asyncio.Semaphore(MAX_PARALLEL_READS)

    async def get(self, table: str, key: str) -> Result[Row | None, Unavailable]:
        """Read one row.

        Parameters
        ----------
        table, key : str
            Table and key of the row.

        Returns
        -------
        Result of Row or None
            None if the row is absent.
        """
        result = await self._call("GET", f"/v1/rows/{table}/{quote_key(key)}")
        if isinstance(result, Failure):
            return to_unavailable(result)
        raw = result.unwrap()
        if raw.status == 404:
            return Success(None)
        return to_unavailable(decode_response(raw, Row))

    async def scan(
        self, table: str, prefix: str, after: str = "", limit: int = 500
    ) -> Result[ScanPage, Unavailable]:
        """Read rows in key order.

        Parameters
        ----------
        table : str
            Table to read.
        prefix : str
            Prefix of the keys.
        after : str, optional
            Key after which the page starts.
        limit : int, optional
            Maximum number of rows in the page.

        Returns
        -------
        Result of ScanPage
            ``next_after`` is empty on the last page.
        """
        params = {"prefix": prefix, "after": after, "limit": str(limit)}
        result = await self._call("GET", f"/v1/rows/{table}", params=params)
        if isinstance(result, Failure):
            return to_unavailable(result)
        return to_unavailable(decode_response(result.unwrap(), ScanPage))

    async def transact(
        self, transaction: Transaction
    ) -> Result[tuple[Row, ...], Conflict | Unavailable | Uncertain]:
        """Apply conditional writes; a lost reply is resolved by reading the rows back.

        Parameters
        ----------
        transaction : Transaction
            Its write id must be new; every row that it puts carries the id.

        Returns
        -------
        Result of tuple of Row
            The rows as written. ``Unavailable`` means that nothing was written.

        Notes
        -----
        After a lost reply the rows are read back. A put row with the write id
        proves that the whole transaction was applied, including its deletes,
        because it is atomic. A transaction of deletes alone leaves no such
        proof: it counts as applied if all its rows are absent, whichever write
        removed them.
        """
        send_history = SendHistory()
        retrying = tenacity.AsyncRetrying(
            stop=tenacity.stop_after_attempt(MAX_ATTEMPTS)
            | tenacity.stop_after_delay(MAX_ATTEMPTS * self._timeout_s),
            wait=tenacity.wait_random_exponential(
                multiplier=FIRST_RETRY_WAIT_S, max=MAX_RETRY_WAIT_S
            ),
            retry=tenacity.retry_if_result(is_unresolved),
            retry_error_callback=lambda state: state.outcome.result(),
        )
        outcome = await retrying(self._attempt, transaction, send_history)
        if isinstance(outcome, Unresolved):
            return Failure(Uncertain(detail=outcome.detail))
        return outcome

    async def _attempt(self, transaction, send_history):
        """Send the transaction once, unless the outcome of an earlier copy is known."""
        if send_history.uncertain:
            resolved = await self._resolve_by_reading(transaction)
            if not isinstance(resolved, Unresolved) or not resolved.readable:
                return resolved
        result = await self._call("POST", "/v1/transactions", transaction)
        if isinstance(result, Success):
            result = decode_response(result.unwrap(), TransactionReply)
        if isinstance(result, Success):
            return await self._interpret_reply(
                transaction, result.unwrap(), send_history
            )
        error = result.failure()
        if isinstance(error, Unavailable) and not send_history.uncertain:
            return result
        send_history.uncertain = True
        return await self._resolve_by_reading(transaction)

    async def _interpret_reply(self, transaction, reply, send_history):
        """Convert a reply; a conflict with an earlier copy is resolved by reading."""
        if reply.applied and len(reply.versions) == len(transaction.puts):
            return Success(build_rows(transaction, reply.versions))
        if reply.applied:
            return await self._resolve_by_reading(transaction)
        has_own_row = any(
            row.write_id == transaction.write_id for row in reply.conflicts
        )
        if has_own_row or send_history.uncertain:
            return await self._resolve_by_reading(transaction)
        return Failure(Conflict(rows=reply.conflicts))

    async def _resolve_by_reading(self, transaction):
        """Determine the outcome of the transaction from the rows read back."""
        changes = transaction.puts + transaction.deletes
        read = await asyncio.gather(*(self._read_back(change) for change in changes))
        failures = [result for result in read if isinstance(result, Failure)]
        if failures:
            return Unresolved(readable=False, detail=failures[0].failure().detail)
        return resolve_outcome(transaction, tuple(result.unwrap() for result in read))

    async def _read_back(self, change):
        async with self._reads:
            return await self.get(change.table, change.key)


@dataclass
class SendHistory:
    """Whether a copy of the transaction with a lost reply may have been applied."""

    uncertain: bool = False


class Unresolved(Message):
    """The outcome is not known yet; the transaction is retried.

    Parameters
    ----------
    readable : bool
        Whether the rows were read back and are unchanged.
    """

    readable: bool
    detail: str = ""


def is_unresolved(result):
    """Return whether a transaction must be retried."""
    return isinstance(result, Unresolved)


def to_unavailable(result):
    """Convert the failure of a read to ``Unavailable``; a read has no effect."""
    return result.alt(lambda error: Unavailable(detail=error.detail))


def resolve_outcome(
    transaction: Transaction, read: tuple[Row | None, ...]
) -> Result[tuple[Row, ...], Conflict | Uncertain] | Unresolved:
    """Determine the outcome of a transaction from the rows read back.

    Parameters
    ----------
    transaction : Transaction
        The transaction whose reply was lost.
    read : tuple of Row or None
        The rows of its puts, then of its deletes; None for an absent row.

    Returns
    -------
    Result of tuple of Row, or Unresolved
        ``Conflict`` only if the transaction was not applied and can no longer
        be; ``Uncertain`` if later writes hide whether it was applied.

    Notes
    -----
    The version of a row grows by one with each write, also across its removal.
    """
    put_rows = read[: len(transaction.puts)]
    if any(row and row.write_id == transaction.write_id for row in put_rows):
        written = zip(transaction.puts, put_rows, strict=True)
        return Success(
            tuple(
                restore_written_row(put, row, transaction.write_id)
                for put, row in written
            )
        )
    if not transaction.puts and not any(read):
        return Success(())
    changes = transaction.puts + transaction.deletes
    pairs = tuple(zip(changes, read, strict=True))
    unchanged = [get_version(row) == change.expected_version for change, row in pairs]
    if all(unchanged):
        return Unresolved(readable=True, detail="not applied so far")
    present = tuple(row for row in read if row is not None)
    if any(proves_not_applied(change, row) for change, row in pairs):
        return Failure(Conflict(rows=present))
    return Failure(Uncertain(detail="later writes hide whether it was applied"))


def proves_not_applied(change, row):
    """Return whether a row read back proves that the transaction was not applied.

    Either the row still has the expected version, or a write with another id made
    the version that follows. An absent row proves nothing, since it may have been
    written and removed.
    """
    version = get_version(row)
    if change.expected_version != ABSENT and version == change.expected_version:
        return True
    return isinstance(change, Put) and version == change.expected_version + 1


def get_version(row):
    """Return the version of a row; 0 if it is absent."""
    return ABSENT if row is None else row.version


def restore_written_row(put, row, write_id):
    """Return the row as the transaction wrote it, even if overwritten since."""
    if row is not None and row.write_id == write_id:
        return row
    return build_row(put, write_id, put.expected_version + 1)


def build_rows(transaction, versions):
    """Return the rows that an applied transaction wrote."""
    written = zip(transaction.puts, versions, strict=True)
    return tuple(
        build_row(put, transaction.write_id, version) for put, version in written
    )


def build_row(put, write_id, version):
    """Return the row that a put wrote."""
    return Row(
        table=put.table,
        key=put.key,
        version=version,
        write_id=write_id,
        value=put.value,
    )
