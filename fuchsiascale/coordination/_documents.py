"""The fleet document: stored by section, edited conditionally, forward only."""

import asyncio

import msgspec
from returns.result import Failure, Result, Success

from fuchsiascale.coordination._edits import (
    EditConflict,
    EditError,
    EditUnavailable,
    EditUncertain,
    plan_edit,
)
from fuchsiascale.coordination._messages import EditReply, SectionsReply
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
from fuchsiascale.coordination._schema import amend_fleet, format_sections
from fuchsiascale.coordination._view import Fleet
from fuchsiascale.ids import Revision, WriteId
from fuchsiascale.platform import Conflict, Put, Transaction, Uncertain

__all__ = ["DocumentKeeper", "format_history_key"]

EDIT_TRIES = 16
RETRY_DELAY_S = 0.02
MAX_RETRY_DELAY_S = 0.5
HISTORY_KEPT = 2_000


def format_history_key(revision):
    """Return the key of a history row; keys order as revisions do.

    Examples
    --------
    >>> format_history_key(7)
    '000000000007'
    """
    return f"{revision:012d}"


class DocumentKeeper:
    """Keeps the newest document that one instance has got hold of.

    Parameters
    ----------
    instance : InstanceId
        The instance itself, for write ids.
    tables : Tables
        Port to the table service.
    fetch : callable
        Coroutine function of a peer's address and a SectionsRequest that
        returns a SectionsReply, or None where the peer did not answer.
    clock : Clock
        Source of time, for history entries.
    random : random.Random
        Source of write ids and of retry delays.
    sleep : callable
        Coroutine function that waits for some seconds.
    """

    def __init__(self, instance, tables, fetch, clock, random, sleep=asyncio.sleep):
        self._instance = instance
        self._tables = tables
        self._fetch = fetch
        self._clock = clock
        self._random = random
        self._sleep = sleep
        self._sections = {}
        self._fleet = Fleet()
        self._ready = False
        self._store_reachable = False
        self._editing = asyncio.Lock()

    def fleet(self) -> Fleet:
        """Return the document in force."""
        return self._fleet

    def revision(self) -> Revision:
        """Return the revision of the document in force."""
        return self._fleet.revision

    def ready(self) -> bool:
        """Return whether a document, or the lack of one, is known."""
        return self._ready

    def store_reachable(self) -> bool:
        """Return whether the last call to the store was answered."""
        return self._store_reachable

    def sections(self, after=NO_REVISION) -> tuple[DocumentSection, ...]:
        """Return the sections that changed after a revision, by name."""
        return tuple(
            section
            for _, section in sorted(self._sections.items())
            if section.revision > after
        )

    def text(self) -> str:
        """Return the document in force as INI text."""
        return format_sections(
            section for section in self.sections() if not section.removed
        )

    def reply_sections(self, request) -> SectionsReply:
        """Answer a peer that asks for what it lacks."""
        return SectionsReply(
            revision=self.revision(), sections=self.sections(request.after)
        )

    async def poll(self) -> bool:
        """Read the head row, and what changed where it is newer.

        Returns
        -------
        bool
            Whether the store answered.
        """
        head = await self._read_head()
        if isinstance(head, Failure):
            return False
        _, revision = head.unwrap()
        while revision > self.revision():
            read = await self._read_changes()
            if isinstance(read, Failure):
                return False
        self._ready = True
        return True

    async def edit(self, request, team, admin=False) -> Result[EditReply, EditError]:
        """Check an edit against the whole document and write it.

        Parameters
        ----------
        request : EditRequest
            The sections to write and to remove.
        team : TeamId
            Team of the operator.
        admin : bool
            Whether the operator may edit sections of every team.

        Returns
        -------
        Result of EditReply or EditError
            The revision that the edit made, or why it changed nothing.
        """
        async with self._editing:
            for number in range(EDIT_TRIES):
                result = await self._try_edit(request, team, admin)
                if result is not None:
                    return result
                limit_s = min(RETRY_DELAY_S * 2**number, MAX_RETRY_DELAY_S)
                await self._sleep(self._random.uniform(0, limit_s))
        detail = f"lost the race for the head row {EDIT_TRIES} times"
        return Failure(EditConflict(conflicts=(detail,)))

    async def _try_edit(self, request, team, admin):
        """Try once; None where other edits won the race for the head row."""
        head = await self._read_head()
        if isinstance(head, Failure) or not await self.poll():
            return Failure(EditUnavailable(detail="the table service did not answer"))
        version, revision = head.unwrap()
        if revision != self.revision():
            return None
        plan = plan_edit(self._fleet, self._sections, request, team, admin)
        if isinstance(plan, Failure) or request.check_only or not plan.unwrap():
            return plan.map(lambda _: self._accept())
        return await self._write(version, plan.unwrap(), team, request.author)

    async def _write(self, head_version, changed, team, author):
        revision = Revision(self.revision() + 1)
        sections = tuple(
            msgspec.structs.replace(section, revision=revision) for section in changed
        )
        entry = HistoryEntry(
            revision=revision,
            team=team,
            author=author,
            at_ms=self._clock.wall_ms(),
            sections=sections,
        )
        puts = await self._build_puts(head_version, entry)
        if puts is None:
            return Failure(EditUnavailable(detail="the table service did not answer"))
        write_id = WriteId(f"{self._instance}-{self._random.getrandbits(64):016x}")
        written = await self._tables.transact(Transaction(write_id=write_id, puts=puts))
        if isinstance(written, Success):
            self._apply(sections, revision)
            return Success(self._accept())
        error = written.failure()
        if isinstance(error, Conflict):
            return None
        if isinstance(error, Uncertain):
            return Failure(EditUncertain(revision=revision, detail=error.detail))
        return Failure(EditUnavailable(detail=error.detail))

    async def _build_puts(self, head_version, entry):
        puts = [
            _put(
                DOCUMENT_HEAD_TABLE,
                DOCUMENT_HEAD_KEY,
                head_version,
                DocumentHead(revision=entry.revision),
            ),
            _put(DOCUMENT_HISTORY_TABLE, format_history_key(entry.revision), 0, entry),
        ]
        for section in entry.sections:
            found = await self._tables.get(DOCUMENT_TABLE, section.name)
            if isinstance(found, Failure):
                return None
            row = found.unwrap()
            version = row.version if row else 0
            puts.append(_put(DOCUMENT_TABLE, section.name, version, section))
        return tuple(puts)

    async def _read_head(self):
        """Return the version of the head row and the revision in it."""
        found = await self._tables.get(DOCUMENT_HEAD_TABLE, DOCUMENT_HEAD_KEY)
        self._store_reachable = isinstance(found, Success)
        return found.map(_decode_head)

    async def _read_changes(self):
        after = format_history_key(self.revision())
        found = await self._tables.scan(DOCUMENT_HISTORY_TABLE, "", after=after)
        if isinstance(found, Failure):
            return found
        entries = [
            msgspec.json.decode(row.value, type=HistoryEntry)
            for row in found.unwrap().rows
        ]
        for entry in entries:
            self._apply(entry.sections, entry.revision)
        return found

    def _accept(self):
        return EditReply(accepted=True, revision=self.revision())

    def _apply(self, sections, revision):
        """Put newer sections into force; older revisions are passed over."""
        if revision <= self.revision():
            return
        amended = amend_fleet(self._fleet, sections, revision)
        self._fleet = amended.unwrap()
        self._sections.update((section.name, section) for section in sections)


def _decode_head(row):
    if row is None:
        return 0, NO_REVISION
    return row.version, msgspec.json.decode(row.value, type=DocumentHead).revision


def _put(table, key, version, record):
    return Put(
        table=table,
        key=key,
        expected_version=version,
        value=msgspec.Raw(msgspec.json.encode(record)),
    )
