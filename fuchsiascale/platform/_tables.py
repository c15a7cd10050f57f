"""HTTP adapter of the table service."""

import asyncio
from dataclasses import dataclass

import aiohttp
import tenacity
from returns.result import Failure, Result, Success

from fuchsiascale.platform._calls import decode, quote_key
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
    """The table service behind HTTP; its parameters are those of `HttpService`."""

    def __init__(self, session: aiohttp.ClientSession, base_url: str, timeout_s: float):
        super().__init__(session, base_url, timeout_s)
        self._reads = asyncio.Semaphore(MAX_PARALLEL_READS)

    async def get(self, table: str, key: str) -> Result[Row | None, Unavailable]:
        """Read one row.

        Parameters
        ----------
        table, key : str
            Place of the row.

        Returns
        -------
        Result of Row or None
            None where the row is absent.
        """
        answered = await self._call("GET", f"/v1/rows/{table}/{quote_key(key)}")
        if isinstance(answered, Failure):
            return to_unavailable(answered)
        raw = answered.unwrap()
        if raw.status == 404:
            return Success(None)
        return to_unavailable(decode(raw, Row))

    async def scan(
        self, table: str, prefix: str, after: str = "", limit: int = 500
    ) -> Result[ScanPage, Unavailable]:
        """Read rows in key order.

        Parameters
        ----------
        table : str
            Table to read.
        prefix : str
            Start of the keys.
        after : str, optional
            Key after which the page begins.
        limit : int, optional
            Most rows of the page.

        Returns
        -------
        Result of ScanPage
            ``next_after`` is empty on the last page.
        """
        params = {"prefix": prefix, "after": after, "limit": str(limit)}
        answered = await self._call("GET", f"/v1/rows/{table}", params=params)
        if isinstance(answered, Failure):
            return to_unavailable(answered)
        return to_unavailable(decode(answered.unwrap(), ScanPage))

    async def transact(
        self, transaction: Transaction
    ) -> Result[tuple[Row, ...], Conflict | Unavailable | Uncertain]:
        """Apply conditional writes; a lost reply is resolved by reading back.

        Parameters
        ----------
        transaction : Transaction
            Its write id must be new; it names the transaction in every row put.

        Returns
        -------
        Result of tuple of Row
            The rows as written. ``Unavailable`` says that nothing was written.

        Notes
        -----
        After a lost reply the rows are read back. A put row that carries the
        write id proves the whole transaction, its deletes included, since it
        is applied as one. A transaction of deletes alone leaves no such trace:
        it counts as applied when all its rows are absent, whoever removed them.
        """
        send_history = SendHistory()
        retrying = tenacity.AsyncRetrying(
            stop=tenacity.stop_after_attempt(MAX_ATTEMPTS)
            | tenacity.stop_after_delay(MAX_ATTEMPTS * self._timeout_s),
            wait=tenacity.wait_random_exponential(
                multiplier=FIRST_RETRY_WAIT_S, max=MAX_RETRY_WAIT_S
            ),
            retry=tenacity.retry_if_result(is_unsettled),
            retry_error_callback=lambda state: state.outcome.result(),
        )
        settled = await retrying(self._attempt, transaction, send_history)
        if isinstance(settled, Unsettled):
            return Failure(Uncertain(detail=settled.detail))
        return settled

    async def _attempt(self, transaction, send_history):
        """Send the transaction once, unless an earlier copy has settled it."""
        if send_history.uncertain:
            resolved = await self._resolve_by_reading(transaction)
            if not isinstance(resolved, Unsettled) or not resolved.readable:
                return resolved
        answered = await self._call("POST", "/v1/transactions", transaction)
        if isinstance(answered, Success):
            answered = decode(answered.unwrap(), TransactionReply)
        if isinstance(answered, Success):
            return await self._settle(transaction, answered.unwrap(), send_history)
        error = answered.failure()
        if isinstance(error, Unavailable) and not send_history.uncertain:
            return answered
        send_history.uncertain = True
        return await self._resolve_by_reading(transaction)

    async def _settle(self, transaction, reply, send_history):
        """Turn a reply into a result; an own earlier copy is no conflict."""
        if reply.applied and len(reply.versions) == len(transaction.puts):
            return Success(build_rows(transaction, reply.versions))
        if reply.applied:
            return await self._resolve_by_reading(transaction)
        own = any(row.write_id == transaction.write_id for row in reply.conflicts)
        if own or send_history.uncertain:
            return await self._resolve_by_reading(transaction)
        return Failure(Conflict(rows=reply.conflicts))

    async def _resolve_by_reading(self, transaction):
        """Read the rows back and tell what became of the transaction."""
        changes = transaction.puts + transaction.deletes
        read = await asyncio.gather(*(self._read_back(change) for change in changes))
        lost = [result for result in read if isinstance(result, Failure)]
        if lost:
            return Unsettled(readable=False, detail=lost[0].failure().detail)
        return resolve_outcome(transaction, tuple(result.unwrap() for result in read))

    async def _read_back(self, change):
        async with self._reads:
            return await self.get(change.table, change.key)


@dataclass
class SendHistory:
    """Whether a copy of the transaction may have been applied unseen."""

    uncertain: bool = False


class Unsettled(Message):
    """Not known to have been applied; to be tried again.

    Parameters
    ----------
    readable : bool
        Whether the rows were read back, and stand as before the transaction.
    """

    readable: bool
    detail: str = ""


def is_unsettled(result):
    """Return whether a transaction is to be tried again."""
    return isinstance(result, Unsettled)


def to_unavailable(result):
    """Turn the failure of a read into ``Unavailable``; a read has no effect."""
    return result.alt(lambda error: Unavailable(detail=error.detail))


def resolve_outcome(
    transaction: Transaction, read: tuple[Row | None, ...]
) -> Result[tuple[Row, ...], Conflict | Uncertain] | Unsettled:
    """Tell from the rows read back what became of a transaction.

    Parameters
    ----------
    transaction : Transaction
        The transaction whose reply was lost.
    read : tuple of Row or None
        The rows of its puts, then of its deletes, None where absent.

    Returns
    -------
    Result of tuple of Row, or Unsettled
        ``Conflict`` only where the transaction can no longer be applied and
        never was; ``Uncertain`` where later writes hide what happened.

    Notes
    -----
    Versions of a row grow by one with each write, also over its removal.
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
    stands = [get_version(row) == change.expected_version for change, row in pairs]
    if all(stands):
        return Unsettled(readable=True, detail="not applied so far")
    moved = tuple(row for row in read if row is not None)
    if any(proves_foreign_write(change, row) for change, row in pairs):
        return Failure(Conflict(rows=moved))
    return Failure(Uncertain(detail="later writes hide whether it was applied"))


def proves_foreign_write(change, row):
    """Return whether a row shows that no write of ours followed the expected one."""
    version = get_version(row)
    if change.expected_version != ABSENT and version == change.expected_version:
        return True
    return isinstance(change, Put) and version == change.expected_version + 1


def get_version(row):
    """Return a row's version; 0 where it is absent."""
    return ABSENT if row is None else row.version


def restore_written_row(put, row, write_id):
    """Return the row as the transaction wrote it, though it may have moved on."""
    if row is not None and row.write_id == write_id:
        return row
    return build_row(put, write_id, put.expected_version + 1)


def build_rows(transaction, versions):
    """Return the rows that an applied transaction put."""
    written = zip(transaction.puts, versions, strict=True)
    return tuple(
        build_row(put, transaction.write_id, version) for put, version in written
    )


def build_row(put, write_id, version):
    """Return the row that a put has made."""
    return Row(
        table=put.table,
        key=put.key,
        version=version,
        write_id=write_id,
        value=put.value,
    )
