"""Replica of the fleet document, stored by section and edited conditionally."""

import asyncio

import msgspec
from returns.result import Failure, Result, Success

from fuchsiascale.coordination._document_rows import (
    delete_history,
    delete_sections,
    read_entries,
    read_head,
    read_sections,
    write_entry,
)
from fuchsiascale.coordination._edits import (
    EditConflict,
    EditError,
    EditUnavailable,
    EditUncertain,
    plan_edit,
)
from fuchsiascale.coordination._messages import (
    EditReply,
    SectionsReply,
    SectionsRequest,
)
from fuchsiascale.coordination._records import (
    NO_REVISION,
    DocumentSection,
    HistoryEntry,
)
from fuchsiascale.coordination._schema import (
    amend_fleet,
    build_fleet,
    format_sections,
)
from fuchsiascale.coordination._view import Fleet
from fuchsiascale.ids import Revision, WriteId
from fuchsiascale.options import OptionProblem
from fuchsiascale.platform import Conflict, Uncertain

__all__ = ["DocumentReplica"]

MAX_EDIT_ATTEMPTS = 16
RETRY_DELAY_S = 0.02
MAX_RETRY_DELAY_S = 0.5
HISTORY_LIMIT = 2_000
COMPACTION_INTERVAL_EDITS = 50
STORE_UNREACHABLE_DETAIL = "the table service did not answer"


class DocumentReplica:
    """Holds the newest version of the document that one instance has received.

    Parameters
    ----------
    instance : InstanceId
        Id of this instance, used in write ids.
    tables : Tables
        Port to the table service.
    fetch : callable
        Coroutine function that takes a peer's address and a SectionsRequest, and
        returns a SectionsReply, or None if the peer did not answer.
    clock : Clock
        Source of time, for history entries.
    random : random.Random
        Source of write ids and of retry delays.
    sleep : callable
        Coroutine function that waits for some seconds.
    history_limit : int
        Number of edits to retain in the history.

    Notes
    -----
    The revision never decreases.
    """

    def __init__(
        self,
        instance,
        tables,
        fetch,
        clock,
        random,
        sleep=asyncio.sleep,
        history_limit=HISTORY_LIMIT,
    ):
        self._instance = instance
        self._tables = tables
        self._fetch = fetch
        self._clock = clock
        self._random = random
        self._sleep = sleep
        self._history_limit = history_limit
        self._sections = {}
        self._fleet = Fleet()
        self._ready = False
        self._store_reachable = False
        self._problems = ()
        self._unreadable_revision = NO_REVISION
        self._edits_since_compaction = 0
        self._editing = asyncio.Lock()
        self._reading = asyncio.Lock()

    def fleet(self) -> Fleet:
        """Return the document in force."""
        return self._fleet

    def revision(self) -> Revision:
        """Return the revision of the document in force."""
        return self._fleet.revision

    def ready(self) -> bool:
        """Return whether the document was read, or is known not to exist."""
        return self._ready

    def store_reachable(self) -> bool:
        """Return whether the last call to the store was answered."""
        return self._store_reachable

    def problems(self) -> tuple[OptionProblem, ...]:
        """Return why a newer document could not be applied, empty if none failed."""
        return self._problems

    def sections(self, after=NO_REVISION) -> tuple[DocumentSection, ...]:
        """Return the sections that changed after a revision, sorted by name."""
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

    def build_sections_reply(self, request) -> SectionsReply:
        """Build the reply with the sections that a peer lacks."""
        complete = request.after <= self._history_horizon()
        sections = self.sections(NO_REVISION if complete else request.after)
        return SectionsReply(
            revision=self.revision(), sections=sections, complete=complete
        )

    async def poll(self) -> bool:
        """Read the head row, and the changes if it is newer.

        Returns
        -------
        bool
            Whether the store answered.
        """
        async with self._reading:
            head = await read_head(self._tables)
            self._store_reachable = isinstance(head, Success)
            if not self._store_reachable:
                return False
            if head.unwrap().revision > max(self.revision(), self._unreadable_revision):
                read = await self._read_changes(head.unwrap().revision)
                self._store_reachable = isinstance(read, Success)
            self._ready = self._ready or self._store_reachable
            return self._store_reachable

    async def pull(self, addresses) -> bool:
        """Fetch newer sections from peers while the store is unreachable.

        Parameters
        ----------
        addresses : iterable of str
            Addresses of the peers, each asked once.

        Returns
        -------
        bool
            Whether the revision increased.
        """
        before = self.revision()
        for address in addresses:
            request = SectionsRequest(after=self.revision())
            reply = await self._fetch(address, request)
            if reply is None or reply.revision <= self.revision():
                continue
            if reply.complete:
                self._replace_document(reply.sections, reply.revision)
            else:
                self._apply_sections(reply.sections, reply.revision)
        self._ready = self._ready or self.revision() > NO_REVISION
        return self.revision() > before

    async def history(
        self, limit=50
    ) -> Result[tuple[HistoryEntry, ...], EditUnavailable]:
        """Return the most recent accepted edits, newest first."""
        head = await read_head(self._tables)
        if isinstance(head, Failure):
            return Failure(EditUnavailable(detail=STORE_UNREACHABLE_DETAIL))
        after = max(0, head.unwrap().revision - limit)
        found = await read_entries(self._tables, after, limit)
        if isinstance(found, Failure):
            return Failure(EditUnavailable(detail=STORE_UNREACHABLE_DETAIL))
        return Success(found.unwrap()[::-1])

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
            The revision that the edit created, or why it was not accepted.
        """
        async with self._editing:
            for number in range(MAX_EDIT_ATTEMPTS):
                result = await self._try_edit(request, team, admin)
                if result is not None:
                    return result
                limit_s = min(RETRY_DELAY_S * 2**number, MAX_RETRY_DELAY_S)
                await self._sleep(self._random.uniform(0, limit_s))
        detail = f"lost the race for the head row {MAX_EDIT_ATTEMPTS} times"
        return Failure(EditConflict(conflicts=(detail,)))

    def is_compaction_due(self) -> bool:
        """Return whether enough edits were accepted since the last compaction."""
        return self._edits_since_compaction >= COMPACTION_INTERVAL_EDITS

    async def compact(self) -> bool:
        """Delete history rows and rows of removed sections beyond the history limit."""
        self._edits_since_compaction = 0
        horizon = self._history_horizon()
        if horizon <= NO_REVISION:
            return True
        names = [
            section.name
            for section in self._sections.values()
            if section.removed and section.revision <= horizon
        ]
        deleted = await delete_sections(self._tables, names, horizon)
        for name in names if deleted else ():
            del self._sections[name]
        return await delete_history(self._tables, horizon) and deleted

    async def _try_edit(self, request, team, admin):
        """Try an edit once; return None if another edit changed the head row first."""
        if not await self.poll():
            return Failure(EditUnavailable(detail=STORE_UNREACHABLE_DETAIL))
        head = await read_head(self._tables)
        if isinstance(head, Failure):
            return Failure(EditUnavailable(detail=STORE_UNREACHABLE_DETAIL))
        if head.unwrap().revision != self.revision():
            return None
        plan = plan_edit(self._fleet, self._sections, request, team, admin)
        if isinstance(plan, Failure) or request.check_only or not plan.unwrap():
            return plan.map(lambda _: self._build_reply())
        entry = self._build_entry(plan.unwrap(), team, request.author)
        return await self._write(head.unwrap().version, entry)

    def _build_entry(self, changed, team, author):
        revision = Revision(self.revision() + 1)
        return HistoryEntry(
            revision=revision,
            team=team,
            author=author,
            at_ms=self._clock.wall_ms(),
            sections=tuple(
                msgspec.structs.replace(section, revision=revision)
                for section in changed
            ),
        )

    async def _write(self, head_version, entry):
        write_id = WriteId(f"{self._instance}-{self._random.getrandbits(64):016x}")
        written = await write_entry(
            self._tables, head_version, entry, write_id, self._sleep
        )
        if isinstance(written, Success):
            self._apply_sections(entry.sections, entry.revision)
            self._edits_since_compaction += 1
            return Success(self._build_reply(entry.revision))
        error = written.failure()
        if isinstance(error, Conflict):
            return None
        if isinstance(error, Uncertain):
            return Failure(EditUncertain(revision=entry.revision, detail=error.detail))
        return Failure(EditUnavailable(detail=error.detail or STORE_UNREACHABLE_DETAIL))

    def _build_reply(self, revision=None):
        return EditReply(accepted=True, revision=revision or self.revision())

    async def _read_changes(self, newest):
        """Read the history after the current revision, or else all sections."""
        while self.revision() < newest:
            before = self.revision()
            found = await read_entries(self._tables, before)
            if isinstance(found, Failure):
                return found
            if self._apply_entries(found.unwrap()):
                continue
            found = await self._read_all()
            if isinstance(found, Failure):
                return found
            if self.revision() == before:
                self._unreadable_revision = newest
                break
        return Success(self.revision())

    def _apply_entries(self, entries):
        """Apply entries in order; return whether all were present and valid."""
        if not entries or entries[0].revision > self.revision() + 1:
            return False
        return all(
            self._apply_sections(entry.sections, entry.revision) for entry in entries
        )

    async def _read_all(self):
        """Read all section rows.

        The head is read first, so that the rows include at least its revision.
        """
        head = await read_head(self._tables)
        found = await read_sections(self._tables)
        if isinstance(head, Failure) or isinstance(found, Failure):
            return head if isinstance(head, Failure) else found
        self._replace_document(found.unwrap(), head.unwrap().revision)
        return found

    def _apply_sections(self, sections, revision):
        """Apply changed sections, ignoring those older than the current ones."""
        if revision <= self.revision():
            return True
        newer = [
            section
            for section in sections
            if section.revision > self._revision_of(section.name)
        ]
        sections_by_name = {**self._sections}
        sections_by_name.update((section.name, section) for section in newer)
        amended = amend_fleet(self._fleet, newer, revision)
        return self._activate(amended, sections_by_name)

    def _replace_document(self, sections, revision):
        """Replace the whole document, unless the new one is older."""
        if revision <= self.revision():
            return True
        sections_by_name = {section.name: section for section in sections}
        return self._activate(build_fleet(sections, revision), sections_by_name)

    def _activate(self, result, sections):
        if isinstance(result, Failure):
            self._problems = result.failure()
            return False
        self._problems = ()
        self._fleet = result.unwrap()
        self._sections = sections
        return True

    def _revision_of(self, name):
        section = self._sections.get(name)
        return NO_REVISION if section is None else section.revision

    def _history_horizon(self):
        """Return the newest revision whose history is no longer retained."""
        return max(NO_REVISION, self.revision() - self._history_limit)
