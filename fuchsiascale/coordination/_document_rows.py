"""Rows of the fleet document in the table service."""

import msgspec
from returns.result import Failure, Result, Success

from fuchsiascale.coordination._records import (
    DOCUMENT_HEAD_KEY,
    DOCUMENT_HEAD_TABLE,
    DOCUMENT_HISTORY_TABLE,
    DOCUMENT_TABLE,
    NO_REVISION,
    DocumentHead,
    DocumentSection,
    HistoryEntry,
)
from fuchsiascale.ids import Revision
from fuchsiascale.platform import (
    Conflict,
    Delete,
    Message,
    Put,
    Transaction,
    Unavailable,
    Uncertain,
)

__all__ = [
    "HeadRow",
    "delete_history",
    "delete_sections",
    "format_history_key",
    "read_entries",
    "read_head",
    "read_sections",
    "write_entry",
]

MAX_WRITE_ATTEMPTS = 5
WRITE_RETRY_DELAY_S = 0.2
MAX_DELETES = 200


class HeadRow(Message):
    """Version of the head row in the store and the revision it contains."""

    version: int = 0
    revision: Revision = NO_REVISION


def format_history_key(revision):
    """Return the key of a history row; keys sort in the order of revisions.

    Examples
    --------
    >>> format_history_key(7)
    '000000000007'
    """
    return f"{revision:012d}"


async def read_head(tables) -> Result[HeadRow, Unavailable]:
    """Read the head row; both numbers are zero if no document was ever written."""
    found = await tables.get(DOCUMENT_HEAD_TABLE, DOCUMENT_HEAD_KEY)
    return found.map(_decode_head)


async def read_entries(
    tables, after, limit=500
) -> Result[tuple[HistoryEntry, ...], Unavailable]:
    """Read one page of the history after a revision, oldest first."""
    found = await tables.scan(
        DOCUMENT_HISTORY_TABLE, "", after=format_history_key(after), limit=limit
    )
    return found.map(
        lambda page: tuple(
            msgspec.json.decode(row.value, type=HistoryEntry) for row in page.rows
        )
    )


async def read_sections(tables) -> Result[tuple[DocumentSection, ...], Unavailable]:
    """Read all section rows, page by page."""
    sections, after = [], ""
    while True:
        found = await tables.scan(DOCUMENT_TABLE, "", after=after)
        if isinstance(found, Failure):
            return found
        page = found.unwrap()
        sections += [
            msgspec.json.decode(row.value, type=DocumentSection) for row in page.rows
        ]
        after = page.next_after
        if not after:
            return Success(tuple(sections))


async def write_entry(
    tables, head_version, entry, write_id, sleep
) -> Result[HistoryEntry, Conflict | Unavailable | Uncertain]:
    """Write the head, section and history rows of one edit atomically.

    Parameters
    ----------
    tables : Tables
        Port to the table service.
    head_version : int
        Version of the head row that the edit was checked against.
    entry : HistoryEntry
        The edit, with its new revision.
    write_id : WriteId
        Id of this write.
    sleep : callable
        Coroutine function that waits for some seconds.

    Returns
    -------
    Result of HistoryEntry or error
        A Conflict if another edit was written first; Uncertain if the store
        remained unreachable after a reply was lost.

    Notes
    -----
    Later edits overwrite the head and section rows, so these can't show whether a
    write whose reply was lost succeeded. The history row is immutable: under the key
    of this revision it holds the id of this write or that of the edit that won.
    """
    puts = await _build_puts(tables, head_version, entry)
    if isinstance(puts, Failure):
        return puts
    transaction = Transaction(write_id=write_id, puts=puts.unwrap())
    uncertain = None
    for number in range(MAX_WRITE_ATTEMPTS):
        written = await tables.transact(transaction)
        if isinstance(written, Success):
            return Success(entry)
        error = written.failure()
        if isinstance(error, Unavailable) and uncertain is None:
            return written
        found = await tables.get(
            DOCUMENT_HISTORY_TABLE, format_history_key(entry.revision)
        )
        row = found.unwrap() if isinstance(found, Success) else None
        if row is not None:
            won = row.write_id == write_id
            return Success(entry) if won else Failure(Conflict(rows=(row,)))
        if isinstance(error, Conflict):
            return written
        uncertain = Failure(Uncertain(detail=error.detail))
        await sleep(WRITE_RETRY_DELAY_S * 2**number)
    return uncertain


async def delete_history(tables, before) -> bool:
    """Delete the oldest history rows up to a revision; return whether it succeeded."""
    found = await tables.scan(DOCUMENT_HISTORY_TABLE, "", limit=MAX_DELETES)
    if isinstance(found, Failure):
        return False
    last_key = format_history_key(before)
    rows = [row for row in found.unwrap().rows if row.key <= last_key]
    return await _delete_rows(tables, rows, f"history-{before}")


async def delete_sections(tables, names, before) -> bool:
    """Delete rows of sections removed up to a revision; return whether it succeeded."""
    rows = []
    for name in names[:MAX_DELETES]:
        found = await tables.get(DOCUMENT_TABLE, name)
        row = found.unwrap() if isinstance(found, Success) else None
        if row is None:
            continue
        section = msgspec.json.decode(row.value, type=DocumentSection)
        if section.removed and section.revision <= before:
            rows.append(row)
    return await _delete_rows(tables, rows, f"sections-{before}")


async def _delete_rows(tables, rows, write_id):
    if not rows:
        return True
    deletes = tuple(
        Delete(table=row.table, key=row.key, expected_version=row.version)
        for row in rows
    )
    written = await tables.transact(Transaction(write_id=write_id, deletes=deletes))
    return isinstance(written, Success)


async def _build_puts(tables, head_version, entry):
    head = DocumentHead(revision=entry.revision)
    history_key = format_history_key(entry.revision)
    puts = [
        _build_put(DOCUMENT_HEAD_TABLE, DOCUMENT_HEAD_KEY, head_version, head),
        _build_put(DOCUMENT_HISTORY_TABLE, history_key, 0, entry),
    ]
    for section in entry.sections:
        found = await tables.get(DOCUMENT_TABLE, section.name)
        if isinstance(found, Failure):
            return found
        row = found.unwrap()
        version = row.version if row else 0
        puts.append(_build_put(DOCUMENT_TABLE, section.name, version, section))
    return Success(tuple(puts))


def _decode_head(row):
    if row is None:
        return HeadRow()
    head = msgspec.json.decode(row.value, type=DocumentHead)
    return HeadRow(version=row.version, revision=head.revision)


def _build_put(table, key, version, record):
    value = msgspec.Raw(msgspec.json.encode(record))
    return Put(table=table, key=key, expected_version=version, value=value)
