"""Replies to callers while the store does not answer, and while capacity is short."""

import asyncio
from unittest import mock

from returns.result import Failure, Success

from fuchsiascale.clock import ManualClock
from fuchsiascale.jobs import (
    JobRequestHandler,
    JobSpec,
    JobState,
    LoadEstimates,
    NoAnswer,
    Outcome,
    OwnerView,
    QueueEstimate,
    QueuePolicy,
    Resources,
    StepSpec,
    VersionedRows,
)
from fuchsiascale.jobs import _request_handler as handler_module
from fuchsiascale.testing import collect_functions

load_tests = collect_functions(__name__)

POLICY = QueuePolicy(queue="q", service="pool")
SPEC = JobSpec(payload="", steps=(StepSpec(count=1, need=Resources(cpu_millis=100)),))
JOBS = ("1" * 16, "2" * 16)


class SilentStore:
    """A store that accepts calls and never answers."""

    def __init__(self):
        self.keys = []

    def is_unavailable(self):
        return False

    async def commit(self, expected, changes):
        self.keys += [change.place.key for change in changes]
        await asyncio.Event().wait()

    async def read(self, table, partition, first="", last=""):
        await asyncio.Event().wait()


class OwnershipWithoutOwner:
    """Ownership at an instance that knows no owner."""

    def view(self, service):
        return OwnerView(service)

    def other_services(self, service):
        return ()

    def members(self):
        return []

    async def ask_state(self, service, job):
        return None


def make_handler(store):
    return JobRequestHandler(store, OwnershipWithoutOwner(), ManualClock())


async def test_a_submission_is_answered_while_the_store_is_silent():
    store = SilentStore()
    with mock.patch.object(handler_module, "REPLY_TIMEOUT_S", 0.05):
        handler = make_handler(store)
        replies = await asyncio.gather(
            *(handler.submit(POLICY, job, SPEC) for job in JOBS[:1])
        )
    assert [reply.outcome for reply in replies] == [Outcome.UNKNOWN]


async def test_a_submission_that_was_never_sent_is_refused_and_stays_unsent():
    store = SilentStore()
    with mock.patch.object(handler_module, "REPLY_TIMEOUT_S", 0.05):
        handler = make_handler(store)
        first = asyncio.create_task(handler.submit(POLICY, JOBS[0], SPEC))
        await asyncio.sleep(0.01)
        second = asyncio.create_task(handler.submit(POLICY, JOBS[1], SPEC))
        replies = await asyncio.gather(first, second)
    assert [reply.outcome for reply in replies] == [Outcome.UNKNOWN, Outcome.NOT_RUN]
    assert store.keys == [JOBS[0]]


async def test_states_and_cancels_are_answered_while_the_store_is_silent():
    with mock.patch.object(handler_module, "REPLY_TIMEOUT_S", 0.05):
        handler = make_handler(SilentStore())
        state = await handler.state("pool", JOBS[0])
        cancelled = await handler.cancel("pool", JOBS[0])
    assert (state.outcome, cancelled.outcome) == (Outcome.UNKNOWN, Outcome.UNKNOWN)


class OwnershipWithJobs(OwnershipWithoutOwner):
    """Ownership at an instance whose owner knows every job."""

    async def ask_state(self, service, job):
        return JobState.QUEUED


async def test_a_job_known_to_the_owner_is_not_written_again_to_a_slow_store():
    store = SilentStore()
    handler = JobRequestHandler(store, OwnershipWithJobs(), ManualClock())
    with mock.patch.object(handler._committer, "is_slow", lambda: True):
        reply = await handler.submit(POLICY, JOBS[0], SPEC)
    assert reply.outcome is Outcome.DONE
    assert store.keys == []


class AnsweringStore:
    """A store without rows, which records writes; its reads may fail."""

    def __init__(self, read=None):
        self.keys = []
        self.reply = read or Success(VersionedRows((), 1))

    def is_unavailable(self):
        return False

    async def commit(self, expected, changes):
        self.keys += [change.place.key for change in changes]
        return Success(2)

    async def read(self, table, partition, first="", last=""):
        return self.reply


class OwnershipThatTakesNotices(OwnershipWithoutOwner):
    """Ownership that knows some jobs, and takes notices of others."""

    def __init__(self, known=()):
        self.known = known

    async def ask_state(self, service, job):
        return JobState.QUEUED if job in self.known else None

    def notify_job(self, service, row):
        pass


async def submit_when_full(store, known=(), age_s=0.3):
    """Submit a job to a queue that is far too long; return the reply."""
    clock = ManualClock(10.0)
    loads = LoadEstimates(clock)
    loads.note("pool", 1, {"q": QueueEstimate(60.0, 1.0, 1.0)}, 10.0 - age_s)
    handler = JobRequestHandler(
        store, OwnershipThatTakesNotices(known), clock, loads=loads
    )
    return await handler.submit(POLICY, JOBS[0], SPEC), dict(handler.refusals)


async def test_a_job_that_would_be_worthless_is_refused_before_anything_is_written():
    store = AnsweringStore()
    reply, refusals = await submit_when_full(store)
    assert reply.outcome is Outcome.NOT_RUN
    assert store.keys == []
    assert refusals == {"no capacity in time": 1}
    assert reply.window.last_s > reply.window.first_s


async def test_a_repeat_of_a_stored_job_is_accepted_while_capacity_is_short():
    store = AnsweringStore()
    reply, refusals = await submit_when_full(store, known=JOBS[:1])
    assert (reply.outcome, store.keys, refusals) == (Outcome.DONE, [], {})


async def test_a_job_that_may_be_stored_is_not_refused_for_lack_of_capacity():
    store = AnsweringStore(read=Failure(NoAnswer()))
    reply, _ = await submit_when_full(store)
    assert (reply.outcome, store.keys) == (Outcome.DONE, [JOBS[0]])


async def test_a_job_is_accepted_once_the_owner_has_not_been_heard_for_two_seconds():
    reply, _ = await submit_when_full(AnsweringStore(), age_s=2.1)
    assert reply.outcome is Outcome.DONE
