"""Requests of callers: submit, get the state, cancel, count waiting jobs."""

import asyncio
import uuid
from collections import Counter
from enum import Enum
from typing import NamedTuple

import logbook
import msgspec
from returns.result import Failure, Success

from fuchsiascale.jobs._admission import LoadEstimates, decide_admission
from fuchsiascale.jobs._cancellations import EarlyCancelWriter, write_cancellation
from fuchsiascale.jobs._group_commit import GroupCommitter, PendingWrite
from fuchsiascale.jobs._model import JobRecord, JobState
from fuchsiascale.jobs._owner_views import OwnerView
from fuchsiascale.jobs._ports import Busy, Conflict, NoAnswer
from fuchsiascale.jobs._records import (
    ACCEPTED,
    FINISHED,
    PROGRESS,
    AcceptedRow,
    FinishedRow,
    OwnerRow,
    decode_row,
    owner_row_key,
)
from fuchsiascale.jobs._return_window import ReturnWindow, window_in_silence
from fuchsiascale.jobs._store_relay import encode_commit_result
from fuchsiascale.jobs._store_silence import StoreSilence
from fuchsiascale.jobs._stored_jobs import inspect_job_rows, make_submission

__all__ = ["JobRequestHandler", "Outcome", "Reply"]

REPLY_TIMEOUT_S = 1.6
"""Time within which a request is answered even if the store does not reply. Callers
wait for 3 s and can ask another instance in the rest. Two slow commits take 1.4 s."""
SETTLE_TIMEOUT_S = 2.7
"""The same for a submission whose write was sent: the outcome is settled if an answer
comes by then. A caller that is told an unknown outcome may not be able to repeat."""
PEER_QUEUE_S = 1.0
"""Time after which a peer's submission that is not sent yet is refused; the peer waits
for 1.3 s, and could not tell a queued submission from one that was sent."""
SETTLE_PAUSE_S = 0.1
"""Pause between two attempts to settle the outcome of a write."""
MAX_UNSETTLED = 1000
"""Jobs with an unknown outcome that are remembered."""
MAX_SUBMIT_TRIES = 4
"""Commits tried for one submission while its conditions keep changing."""


class Outcome(Enum):
    """Outcome of a caller's request."""

    DONE = "done"
    NOT_RUN = "not run"
    ABSENT = "absent"
    UNKNOWN = "unknown"


class Reply(msgspec.Struct, frozen=True):
    """Reply to a caller; a refusal has a reason, and when to return."""

    outcome: Outcome
    state: JobState | None = None
    count: int = 0
    window: ReturnWindow = ReturnWindow()
    why: str = "the store is away"


class _Found(NamedTuple):
    """Where a job was found, or could not be looked up, and what is known of it."""

    service: str
    reply: Reply


DONE = Reply(Outcome.DONE)
NOT_RUN = Reply(Outcome.NOT_RUN)
ABSENT = Reply(Outcome.ABSENT)
UNKNOWN = Reply(Outcome.UNKNOWN)


class JobRequestHandler:
    """Serves the requests of callers at one instance.

    Parameters
    ----------
    store : StorePort
        The store.
    ownership : OwnershipManager
        Owners of services, and messages to them.
    clock : Clock
        Source of time.
    joins_partitions : bool, optional
        Whether a transaction of the store may cover several partitions.
    silence : StoreSilence, optional
        Whether the store is silent.
    loads : LoadEstimates, optional
        How long jobs would have to wait, by the owners of services.

    Attributes
    ----------
    refusals : Counter
        Number of submissions that were not accepted, by reason.
    """

    def __init__(
        self,
        store,
        ownership,
        clock,
        joins_partitions=True,
        silence=None,
        loads=None,
    ):
        self.store = store
        self.silence = silence or StoreSilence(clock)
        self.loads = loads or LoadEstimates(clock)
        self.refusals = Counter()
        self.clock = clock
        self.ownership = ownership
        self._joins_partitions = joins_partitions
        self.log = logbook.Logger("entry")
        self._committer = GroupCommitter(store, clock, self.silence)
        self._early_cancels = EarlyCancelWriter(store, ownership, clock)
        self._final_states = {}
        self._unsettled = {}

    # Submission ----------------------------------------------------------------

    async def submit(self, policy, job, spec):
        """Accept a job, or reply that it was not accepted and will never run."""
        try:
            async with asyncio.timeout(SETTLE_TIMEOUT_S):
                reply = await self._submit(policy, job, spec)
        except TimeoutError:
            reply = self._report_unknown(job, "store slow")
        if reply.outcome is Outcome.UNKNOWN:
            self._remember_unsettled(job)
        else:
            self._unsettled.pop(job, None)
        return reply

    def refuse_queued(self):
        """Refuse all submissions that are not sent, as the store is silent."""
        return self._committer.refuse_queued("silent")

    def _remember_unsettled(self, job):
        self._unsettled.pop(job, None)
        self._unsettled[job] = None
        if len(self._unsettled) > MAX_UNSETTLED:
            del self._unsettled[next(iter(self._unsettled))]

    def _refuse(self, job, why, window=None, **details):
        self.refusals[why.partition(":")[0]] += 1
        window = window or window_in_silence(self.silence.silent_for_s())
        self.log.info(
            "refused",
            extra={"job": job, "why": why, "return_s": window.last_s, **details},
        )
        return Reply(Outcome.NOT_RUN, window=window, why=why)

    def _report_unknown(self, job, why):
        self.refusals["unknown"] += 1
        self.log.warning("outcome unknown", extra={"job": job, "why": why})
        return UNKNOWN

    async def _refuse_unsent(self, service, job):
        """Answer a submission that can't be written now; a stored job is accepted."""
        states = await asyncio.gather(
            *(
                self.ownership.ask_state(each, job)
                for each in self._list_services(service)
            )
        )
        if any(states):
            return self._accept(service, None, "known to the owner", job)
        if job in self._unsettled:
            # An earlier write of this job may still be applied.
            return self._report_unknown(job, "store silent after an earlier write")
        if not self.silence.is_silent:
            return self._refuse(job, "store unreachable")
        return self._refuse(
            job,
            "store silent",
            silent_s=round(self.silence.silent_for_s(), 3),
            evidence=self.silence.evidence,
        )

    async def _submit(self, policy, job, spec):
        """Accept or refuse a job."""
        service = policy.service
        unsent_until_s = asyncio.get_running_loop().time() + REPLY_TIMEOUT_S
        if self.silence.is_silent or self.store.is_unavailable():
            return await self._refuse_unsent(service, job)
        if self._committer.is_slow() and await self.ownership.ask_state(service, job):
            # The owner knows only stored jobs; another write would delay the others.
            return self._accept(service, None, "known to the owner", job)
        refusal = decide_admission(self.loads.find(service, policy.queue), policy, spec)
        if refusal is not None and job not in self._unsettled:
            reply = await self._refuse_worthless(policy, job, refusal)
            if reply is not None:
                return reply
        others = self.ownership.other_services(service)
        if others and not self._joins_partitions:
            found = await self._find_job(others, job)
            if found.reply.outcome is not Outcome.ABSENT:
                return self._answer_found(found, job)
            others = ()
        record = JobRecord(
            job=job, spec=spec, policy=policy, accepted_ms=self.clock.wall_ms()
        )
        return await self._write_submission(record, others, unsent_until_s)

    async def _refuse_worthless(self, policy, job, refusal):
        """Refuse a job that would end too late; return None if it may be stored.

        A repeat of a stored job is accepted. If that can't be found out, the job is
        written like any other.
        """
        found = await self._find_job(self._list_services(policy.service), job)
        if found.reply.outcome is Outcome.DONE:
            return self._accept(found.service, None, "found stored", job)
        if found.reply.outcome is not Outcome.ABSENT:
            return None
        return self._refuse(
            job,
            "no capacity in time",
            refusal.window,
            queue=policy.queue,
            start_s=refusal.start_s,
            path_s=refusal.path_s,
            objective_s=refusal.objective_s,
            age_s=refusal.age_s,
        )

    async def _write_submission(self, record, others, unsent_until_s):
        """Write a job's row unless some service holds the job already."""
        service, job = record.policy.service, record.job
        write_id = uuid.uuid4().hex[:12]
        versions = {}
        for _ in range(MAX_SUBMIT_TRIES):
            view = self.ownership.view(service)
            row = AcceptedRow(token=view.token, write=write_id, record=record)
            write = make_submission(view, row, job, others, versions)
            reply = await self._commit(write, unsent_until_s)
            if isinstance(reply, Success):
                return self._accept(service, row, "stored", job)
            error = reply.failure()
            if isinstance(error, Busy) and job in self._unsettled:
                return self._report_unknown(job, "refused after an earlier write")
            if isinstance(error, Busy):
                return self._refuse(job, f"store: {error.detail}")
            if isinstance(error, NoAnswer):
                return await self._resolve_unanswered(job, row, others, versions, view)
            found = self._inspect_rows(service, job, error.rows)
            if found.known:
                return self._accept(found.service, found.row, "already stored", job)
            versions = found.withdrawn_versions
        return self._refuse(job, "conditions changed")

    async def _commit(self, write, unsent_until_s):
        """Commit a submission; while the store is slow, through the owner.

        A partition executes its transactions one by one: the fewer writers there
        are, the shorter each waits.
        """
        if self._committer.is_slow():
            reply = await self.ownership.write_through_owner(write)
            if reply is not None:
                return reply
        left_s = unsent_until_s - asyncio.get_running_loop().time()
        return await self._committer.commit(write, max(0.0, left_s))

    async def commit_for_peer(self, message):
        """Commit a submission for a peer, and return the reply to send."""
        view = OwnerView(message.service, message.row, message.version)
        write = PendingWrite(view, message.expected, message.change)
        reply = await self._committer.commit(write, PEER_QUEUE_S)
        return encode_commit_result(reply)

    def _inspect_rows(self, service, job, rows):
        """Return what the rows of a submission's conditions show of a job.

        An owner row among them updates the cached owner.
        """
        for row in rows:
            if row.place == owner_row_key(service):
                owner = decode_row(row.value, OwnerRow)
                self.ownership.update_view(service, owner, row.version)
        return inspect_job_rows(job, rows)

    def _answer_found(self, found, job):
        """Return the reply to a submission whose job was looked up beforehand."""
        if found.reply.outcome is Outcome.DONE:
            return self._accept(found.service, None, "found in another service", job)
        return self._report_unknown(job, "lookup failed")

    def _accept(self, service, row, how, job):
        self.log.info("accepted", extra={"job": job, "how": how})
        if row is not None:
            self.ownership.notify_job(service, row)
        return DONE

    async def _resolve_unanswered(self, job, row, others, versions, view):
        """Find out whether an unanswered write was applied, or withdraw it.

        It is tried until the caller's time is over, since the store may answer again at
        any moment. While it is silent, only the owner is asked.
        """
        while True:
            if self.silence.is_suspect():
                reply = await self._ask_owner(view.service, job)
            else:
                reply = await self._settle(job, row, others, versions, view)
            if reply is not None:
                return reply
            await asyncio.sleep(SETTLE_PAUSE_S)

    async def _ask_owner(self, service, job):
        """Accept a job that its owner knows, as it only knows stored jobs."""
        if await self.ownership.ask_state(service, job):
            return self._accept(service, None, "known to the owner", job)
        return None

    async def _settle(self, job, row, others, versions, view):
        """Try once to settle an unanswered write; return None if that failed.

        The write expects one of ``versions`` of the job's row. It is blocked
        permanently once that row has another version.
        """
        service = view.service
        # Reads do not wait for queued commits, and mostly settle the question.
        seen = await self.store.read(ACCEPTED, service, job, job + "\0")
        if isinstance(seen, Success):
            found = inspect_job_rows(job, seen.unwrap().rows)
            if found.known:
                return self._accept(service, found.row, "found stored", job)
        withdrawn = AcceptedRow(token=row.token, write=row.write)
        view = self.ownership.view(service)
        reply = await self._committer.commit(
            make_submission(view, withdrawn, job, others, versions)
        )
        if isinstance(reply, Success):
            return self._refuse_withdrawn(job, "this submission")
        error = reply.failure()
        if isinstance(error, Conflict):
            found = self._inspect_rows(service, job, error.rows)
            if found.known:
                return self._accept(found.service, found.row, "found stored", job)
            version = found.withdrawn_versions.get(service, 0)
            if version not in (0, versions.get(service, 0)):
                return self._refuse_withdrawn(job, "another submission")
        self.log.info("outcome not settled", extra={"job": job, "why": repr(error)})
        return None

    def _refuse_withdrawn(self, job, whose):
        return self._refuse(job, "store: withdrawn", by=whose)

    # State ---------------------------------------------------------------------

    async def state(self, service, job):
        """Return the state of a job of a queue that ``service`` serves now."""
        return await _limit_time(self._state(service, job))

    async def _state(self, service, job):
        if job in self._final_states:
            return Reply(Outcome.DONE, self._final_states[job])
        return (await self._find_job(self._list_services(service), job)).reply

    def _list_services(self, service):
        """Return all services that may hold a job, the one given first."""
        return (service, *self.ownership.other_services(service))

    async def _find_job(self, services, job):
        """Look a job up in each service until one holds it.

        The reply is that it is absent only if every service said so.
        """
        return await self._search_services(self._look_up, services, job)

    async def _find_stored_job(self, services, job):
        """Look a job up in the store alone, like `_find_job`."""
        return await self._search_services(self._look_up_stored, services, job)

    async def _search_services(self, look_up, services, job):
        found = _Found(services[0], ABSENT)
        for service in services:
            reply = await look_up(service, job)
            if reply.outcome is Outcome.DONE:
                return _Found(service, reply)
            if reply.outcome is not Outcome.ABSENT:
                found = _Found(service, reply)
        return found

    async def _look_up(self, service, job):
        """Return the state of a job in one service."""
        state = await self.ownership.ask_state(service, job)
        if state is None:
            return await self._look_up_stored(service, job)
        return self._make_state_reply(job, state)

    async def _look_up_stored(self, service, job):
        """Return the state of a job as stored in one service."""
        found = await self._read_state(service, job)
        if not isinstance(found, JobState):
            return found
        return self._make_state_reply(job, found)

    def _make_state_reply(self, job, state):
        """Return the reply that holds a job's state, and keep a final one."""
        if state.final:
            self._final_states[job] = state
        return Reply(Outcome.DONE, state)

    async def _read_state(self, service, job):
        """Return a job's state as stored, or a reply that holds none."""
        for table, kind in ((ACCEPTED, AcceptedRow), (FINISHED, FinishedRow)):
            found = await self.store.read(table, service, job, job + "\0")
            if isinstance(found, Failure):
                return UNKNOWN
            for row in found.unwrap().rows:
                value = decode_row(row.value, kind)
                if isinstance(value, FinishedRow):
                    return value.state
                if isinstance(value, AcceptedRow) and value.record is not None:
                    self.ownership.notify_job(service, value)
                    return await self._read_progress(service, job)
        return ABSENT

    async def _read_progress(self, service, job):
        found = await self.store.read(PROGRESS, service, job, job + "\0")
        if isinstance(found, Success) and found.unwrap().rows:
            return JobState.RUNNING
        return JobState.QUEUED

    # Cancellation --------------------------------------------------------------

    async def cancel(self, service, job):
        """Cancel a job; a job that has ended keeps its state.

        A job is absent only if its submission can't be stored and run later either.
        """
        try:
            async with asyncio.timeout(SETTLE_TIMEOUT_S):
                return await self._cancel(service, job)
        except TimeoutError:
            return UNKNOWN

    async def _cancel(self, service, job):
        if job in self._final_states:
            return DONE
        services = self._list_services(service)
        found = await self._ask_owners(services, job)
        if found is not None:
            return await self._cancel_found(found, job)
        # The submission may be under way. What is stored before the early cancellation
        # is found by the look-up after it, and what is stored later is cancelled.
        early = await self._cancel_early(job)
        found = await self._find_stored_job(services, job)
        if found.reply.outcome is Outcome.DONE:
            reply = await self._cancel_found(found, job)
            # The early cancellation may have an effect though this one has none.
            has_effect = early.outcome is not Outcome.NOT_RUN
            return UNKNOWN if reply.outcome is Outcome.NOT_RUN and has_effect else reply
        self.log.info(
            "cancelled job not found",
            extra={
                "job": job,
                "early": early.outcome.value,
                "outcome": found.reply.outcome.value,
            },
        )
        if early.outcome is Outcome.DONE and found.reply.outcome is Outcome.ABSENT:
            return ABSENT
        return early

    async def _ask_owners(self, services, job):
        """Return which owner knows a job, and its state; None if none does."""
        states = await asyncio.gather(
            *(self.ownership.ask_state(each, job) for each in services)
        )
        for service, state in zip(services, states, strict=True):
            if state is not None:
                return _Found(service, self._make_state_reply(job, state))
        return None

    async def _cancel_found(self, found, job):
        """Cancel a job that is stored in a service."""
        if found.reply.state.final:
            return DONE
        result = await write_cancellation(self.store, found.service, job)
        if isinstance(result, Success):
            self.log.info("cancelled", extra={"job": job})
            self.ownership.notify_cancel(found.service, job)
            return DONE
        return self._report_cancel_failure(job, result.failure())

    async def _cancel_early(self, job):
        """Cancel a job that no owner knows, wherever its submission is stored."""
        if self.silence.is_silent:
            return self._report_cancel_failure(job, Busy("the store is silent"))
        try:
            async with asyncio.timeout(REPLY_TIMEOUT_S):
                result = await self._early_cancels.write(job)
        except TimeoutError:
            result = Failure(NoAnswer("the store is slow"))
        if isinstance(result, Success):
            return DONE
        return self._report_cancel_failure(job, result.failure())

    def _report_cancel_failure(self, job, error):
        is_uncertain = isinstance(error, NoAnswer)
        self.log.info(
            "cancel failed",
            extra={"job": job, "why": repr(error), "unsure": is_uncertain},
        )
        if is_uncertain:
            return UNKNOWN
        window = window_in_silence(self.silence.silent_for_s())
        return Reply(Outcome.NOT_RUN, window=window, why=f"cancel: {error.detail}")

    # Waiting jobs --------------------------------------------------------------

    async def waiting(self, policy):
        """Return the number of jobs of a queue that wait for their first start."""
        # The queue may have jobs in a service that served it earlier.
        counts = await asyncio.gather(
            *map(self.ownership.ask_waiting, self._list_services(policy.service))
        )
        if None in counts:
            return NOT_RUN
        count = sum(each.get(policy.queue, 0) for each in counts)
        return Reply(Outcome.DONE, count=count)


async def _limit_time(request):
    """Await a reply for a limited time; return an unknown outcome after that."""
    try:
        async with asyncio.timeout(REPLY_TIMEOUT_S):
            return await request
    except TimeoutError:
        return UNKNOWN
