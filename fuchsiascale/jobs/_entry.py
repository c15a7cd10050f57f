"""What callers ask for: hand in, state, cancel, count of what waits."""

import asyncio
import uuid
from enum import Enum

import logbook
import msgspec
from returns.result import Failure, Success

from fuchsiascale.jobs._groups import GroupedWrites, PendingWrite
from fuchsiascale.jobs._model import JobRecord, JobState
from fuchsiascale.jobs._offices import OwnerView
from fuchsiascale.jobs._ports import Busy, Change, Conflict, Expect, NoAnswer
from fuchsiascale.jobs._records import (
    ACCEPTED,
    FINISHED,
    PROGRESS,
    AcceptedRow,
    FinishedRow,
    OwnerRow,
    cancel_place,
    decode_row,
    encode_row,
    job_place,
    owner_place,
)
from fuchsiascale.jobs._relay import encode_commit_result

__all__ = ["Entry", "Outcome", "Reply"]

PATIENCE_S = 1.6
"""Time after which a request is answered whatever the store does: callers wait for
3 s, and can ask elsewhere in what is left. Two slow commits take 1.4 s."""
SUBMIT_TRIES = 4
"""Commits of one submission, for conditions that changed meanwhile."""


class Outcome(Enum):
    """What became of a caller's request."""

    DONE = "done"
    NOT_RUN = "not run"
    ABSENT = "absent"
    UNKNOWN = "unknown"


class Reply(msgspec.Struct, frozen=True):
    """The answer to a caller."""

    outcome: Outcome
    state: JobState | None = None
    count: int = 0


class _Found(msgspec.Struct, frozen=True, kw_only=True):
    """What is stored under a job's id.

    ``row`` is missing for a job that has ended, ``withdrawn_version`` is the version
    of a row that blocks a late write of a refused submission.
    """

    known: bool = False
    row: AcceptedRow | None = None
    withdrawn_version: int = 0


DONE = Reply(Outcome.DONE)
NOT_RUN = Reply(Outcome.NOT_RUN)
ABSENT = Reply(Outcome.ABSENT)
UNKNOWN = Reply(Outcome.UNKNOWN)


class Entry:
    """Requests of callers at one instance.

    Parameters
    ----------
    store : StorePort
        The store.
    offices : Offices
        Who owns which service.
    clock : Clock
        Source of time.
    """

    def __init__(self, store, offices, clock):
        self.store = store
        self.clock = clock
        self.offices = offices
        self.log = logbook.Logger("entry")
        self._writes = GroupedWrites(store, clock)
        self._final = {}

    # Submission ----------------------------------------------------------------

    async def submit(self, policy, job, spec):
        """Accept a job, or say that it was not accepted and never runs."""
        waiting = []
        try:
            async with asyncio.timeout(PATIENCE_S):
                return await self._submit(policy, job, spec, waiting)
        except TimeoutError:
            if waiting and self._writes.withdraw(waiting[-1]):
                self.log.info("refused", extra={"job": job, "why": "store: slow"})
                return NOT_RUN
            self.log.warning("outcome unknown", extra={"job": job, "why": "store slow"})
            return UNKNOWN

    async def _submit(self, policy, job, spec, waiting):
        """Accept or refuse a job; ``waiting`` takes the writes as they are made."""
        service = policy.service
        if self.store.is_unavailable():
            self.log.info("refused", extra={"job": job, "why": "store away"})
            return NOT_RUN
        if self._writes.slow() and await self.offices.ask_state(service, job):
            # The owner knows only jobs that are stored; a write would hold up others.
            return self._accept(service, None, "known to the owner", job)
        record = JobRecord(
            job=job, spec=spec, policy=policy, accepted_ms=self.clock.wall_ms()
        )
        mark = uuid.uuid4().hex[:12]
        version = 0
        for _ in range(SUBMIT_TRIES):
            view = self.offices.view(service)
            row = AcceptedRow(token=view.token, write=mark, record=record)
            write = _write_job(view, row, job, version)
            waiting.append(write)
            reply = await self._commit(write)
            if isinstance(reply, Success):
                return self._accept(service, row, "stored", job)
            error = reply.failure()
            if isinstance(error, Busy):
                self.log.info(
                    "refused", extra={"job": job, "why": f"store: {error.detail}"}
                )
                return NOT_RUN
            if isinstance(error, NoAnswer):
                return await self._settle(service, job, row, version)
            found = self._find_job(service, job, error.rows, view)
            if found.known:
                return self._accept(service, found.row, "stored before", job)
            version = found.withdrawn_version
        self.log.info("refused", extra={"job": job, "why": "conditions changed"})
        return NOT_RUN

    async def _commit(self, write):
        """Commit a submission; while the store is slow, together with the owner's.

        A partition carries out one transaction after the other: the fewer writers
        there are, the less each waits.
        """
        if self._writes.slow():
            reply = await self.offices.write_through_owner(write)
            if reply is not None:
                return reply
        return await self._writes.commit(write)

    async def commit_for_peer(self, message):
        """Return what became of a submission that a peer has passed on."""
        view = OwnerView(message.service, message.row, message.version)
        write = PendingWrite(view, message.expected, message.change)
        return encode_commit_result(await self._writes.commit(write))

    def _find_job(self, service, job, rows, view):
        """Return what the rows of a submission's conditions say of a job."""
        found = _Found()
        for row in rows:
            if row.place == owner_place(service):
                owner = decode_row(row.value, OwnerRow)
                self.offices.learn(service, owner, row.version)
            elif row.place == job_place(FINISHED, service, job) and row.version:
                found = _Found(known=True)
            elif row.place == job_place(ACCEPTED, service, job) and row.version:
                accepted = decode_row(row.value, AcceptedRow)
                if accepted is None or accepted.record is None:
                    found = _Found(withdrawn_version=row.version)
                else:
                    found = _Found(known=True, row=accepted)
        return found

    def _accept(self, service, row, how, job):
        self.log.info("accepted", extra={"job": job, "how": how})
        if row is not None:
            self.offices.tell_job(service, row)
        return DONE

    async def _settle(self, service, job, row, version):
        """Find out what became of a write without an answer, or withdraw it.

        The write expects ``version`` of the job's row. It is blocked for good once
        that row has another one.
        """
        # A read is not held up by the commits that wait, and is mostly enough.
        seen = await self.store.read(ACCEPTED, service, job, job + "\0")
        if isinstance(seen, Success) and seen.unwrap().rows:
            view = self.offices.view(service)
            found = self._find_job(service, job, seen.unwrap().rows, view)
            if found.known:
                return self._accept(service, found.row, "found stored", job)
        withdrawn = AcceptedRow(token=row.token, write=row.write)
        view = self.offices.view(service)
        reply = await self._writes.commit(_write_job(view, withdrawn, job, version))
        if isinstance(reply, Success):
            return self._refuse_withdrawn(job, "this hand-in")
        error = reply.failure()
        if isinstance(error, Conflict):
            view = self.offices.view(service)
            found = self._find_job(service, job, error.rows, view)
            if found.known:
                return self._accept(service, found.row, "found stored", job)
            if found.withdrawn_version not in (0, version):
                return self._refuse_withdrawn(job, "another hand-in")
        self.log.warning("outcome unknown", extra={"job": job, "why": repr(error)})
        return UNKNOWN

    def _refuse_withdrawn(self, job, whose):
        self.log.info(
            "refused", extra={"job": job, "why": "store: withdrawn", "by": whose}
        )
        return NOT_RUN

    # State ---------------------------------------------------------------------

    async def state(self, service, job):
        """Return the state of a job."""
        return await _answer_in_time(self._state(service, job))

    async def _state(self, service, job):
        if job in self._final:
            return Reply(Outcome.DONE, self._final[job])
        told = await self.offices.ask_state(service, job)
        if told is None:
            told = await self._read_state(service, job)
        if isinstance(told, JobState):
            if told.final:
                self._final[job] = told
            return Reply(Outcome.DONE, told)
        return told

    async def _read_state(self, service, job):
        """Read a job's state from the store."""
        for table, kind in ((ACCEPTED, AcceptedRow), (FINISHED, FinishedRow)):
            found = await self.store.read(table, service, job, job + "\0")
            if isinstance(found, Failure):
                return UNKNOWN
            for row in found.unwrap().rows:
                value = decode_row(row.value, kind)
                if isinstance(value, FinishedRow):
                    return value.state
                if isinstance(value, AcceptedRow) and value.record is not None:
                    self.offices.tell_job(service, value)
                    return await self._read_progress(service, job)
        return ABSENT

    async def _read_progress(self, service, job):
        found = await self.store.read(PROGRESS, service, job, job + "\0")
        if isinstance(found, Success) and found.unwrap().rows:
            return JobState.RUNNING
        return JobState.QUEUED

    async def cancel(self, service, job):
        """Cancel a job; a job that has ended stays as it is."""
        return await _answer_in_time(self._cancel(service, job))

    async def _cancel(self, service, job):
        told = await self._state(service, job)
        if told.outcome is not Outcome.DONE:
            return told
        if told.state.final:
            return DONE
        expected = (
            Expect(cancel_place(service, job), 0),
            Expect(job_place(FINISHED, service, job), 0),
        )
        change = Change(cancel_place(service, job), b"{}")
        reply = await self.store.commit(expected, (change,))
        unsure = _is_unanswered(reply)
        if unsure:
            reply = await self.store.commit(expected, (change,))
        if isinstance(reply, Success) or isinstance(reply.failure(), Conflict):
            self.log.info("cancelled", extra={"job": job})
            self.offices.tell_cancel(service, job)
            return DONE
        unsure = unsure or _is_unanswered(reply)
        self.log.info(
            "cancel not done",
            extra={"job": job, "why": repr(reply.failure()), "unsure": unsure},
        )
        return UNKNOWN if unsure else NOT_RUN

    async def waiting(self, policy):
        """Return how many jobs of a queue wait for their first start."""
        counts = await self.offices.ask_waiting(policy.service)
        if counts is None:
            return NOT_RUN
        return Reply(Outcome.DONE, count=counts.get(policy.queue, 0))


def _is_unanswered(reply):
    return isinstance(reply, Failure) and isinstance(reply.failure(), NoAnswer)


async def _answer_in_time(answer):
    """Return an answer that may take long, or that the outcome is unknown."""
    try:
        async with asyncio.timeout(PATIENCE_S):
            return await answer
    except TimeoutError:
        return UNKNOWN


def _write_job(view, row, job, version):
    """Return the write of a job's row, in place of the given version of it."""
    place = job_place(ACCEPTED, view.service, job)
    expected = (
        Expect(place, version),
        Expect(job_place(FINISHED, view.service, job), 0),
    )
    return PendingWrite(view, expected, Change(place, encode_row(row)))
