"""Refused requests must not take effect, whatever happens to their writes.

Writes may be refused, applied without a reply, applied late or never applied.
"""

import asyncio
import itertools
from enum import Enum

from hypothesis import given, settings
from hypothesis import strategies as st
from returns.result import Failure, Success

from fuchsiascale.clock import ManualClock
from fuchsiascale.jobs import (
    Busy,
    Conflict,
    JobRequestHandler,
    JobSpec,
    NoAnswer,
    Outcome,
    OwnerView,
    QueuePolicy,
    RelayedStore,
    RelayReply,
    Resources,
    StepSpec,
    StoredRow,
    VersionedRows,
    encode_commit_result,
)
from fuchsiascale.jobs._records import (
    ACCEPTED,
    AcceptedRow,
    OwnerRow,
    cancel_row_key,
    decode_row,
    encode_row,
    job_row_key,
    owner_row_key,
)
from fuchsiascale.testing import collect_functions, run_in_virtual_time

load_tests = collect_functions(__name__)

SERVICE, NEW_SERVICE = "pool", "new pool"
JOB = "1" * 16
POLICY = QueuePolicy(queue="q", service=SERVICE)
MOVED_POLICY = QueuePolicy(queue="q", service=NEW_SERVICE)
SPEC = JobSpec(payload="", steps=(StepSpec(count=1, need=Resources(cpu_millis=100)),))
OWNER = OwnerRow(token=1, instance="a", incarnation="1", address="10.0.0.1:7000")


class Fate(Enum):
    """What happens to a commit."""

    ANSWERED = "answered"
    REFUSED = "refused"
    ANSWER_LOST = "answer lost"
    LATE = "late"
    NEVER = "never"


class FaultyRows:
    """Rows with conditional writes, each of which has a given fate."""

    def __init__(self, fates):
        self.fates = list(fates)
        self.rows = {}
        self.version = 0
        self.late = []
        for service in (SERVICE, NEW_SERVICE):
            self._write(owner_row_key(service), encode_row(OWNER))

    def _write(self, row_key, value):
        self.version += 1
        if value is None:
            self.rows.pop(row_key, None)
        else:
            self.rows[row_key] = StoredRow(row_key, value, self.version)

    def transact(self, expected, changes):
        """Apply all changes or none."""
        for each in expected:
            row = self.rows.get(each.place)
            if (row.version if row else 0) != each.version:
                row_keys = [condition.place for condition in expected]
                found = [self.rows[key] for key in row_keys if key in self.rows]
                return Failure(Conflict(tuple(found)))
        for change in changes:
            self._write(change.place, change.value)
        return Success(self.version)

    def replace_owner(self):
        """Replace the owner row, as another instance would that takes over."""
        self._write(owner_row_key(SERVICE), encode_row(OWNER))

    def apply_late(self):
        """Apply the late writes whose conditions hold."""
        late, self.late = self.late, []
        for arguments in late:
            self.transact(*arguments)

    async def commit(self, expected, changes):
        """Apply all changes or none; see `StorePort.commit`."""
        fate = self.fates.pop(0) if self.fates else Fate.ANSWERED
        if fate is Fate.REFUSED:
            return Failure(Busy())
        if fate is Fate.LATE:
            self.late.append((expected, changes))
            return Failure(NoAnswer())
        if fate is Fate.NEVER:
            return Failure(NoAnswer())
        reply = self.transact(expected, changes)
        return Failure(NoAnswer()) if fate is Fate.ANSWER_LOST else reply

    async def read(self, table, partition, first="", last=""):
        """Read rows; see `StorePort.read`."""
        rows = [
            row
            for row_key, row in self.rows.items()
            if (row_key.table, row_key.partition) == (table, partition)
            and first <= row_key.key
            and (not last or row_key.key < last)
        ]
        return Success(VersionedRows(tuple(rows), self.version))

    def stored(self, service=SERVICE):
        """Return whether the job is stored and would run."""
        row = self.rows.get(job_row_key(ACCEPTED, service, JOB))
        return row is not None and decode_row(row.value, AcceptedRow).record is not None


class Peers:
    """A peer that can reach the same rows."""

    def __init__(self, rows):
        self.rows = rows

    async def ask(self, address, message, timeout_s):
        if hasattr(message, "changes"):
            reply = await self.rows.commit(message.expected, message.changes)
            return encode_commit_result(reply)
        return RelayReply("busy")


class FakeOwnership:
    """Ownership with the first owner rows cached, until newer ones are seen."""

    def __init__(self, rows, services=(SERVICE,)):
        self.versions = {
            service: rows.rows[owner_row_key(service)].version for service in services
        }
        self.waiting = {}
        self.cancelled = []
        self.early_cancelled = []

    def view(self, service):
        return OwnerView(service, OWNER, self.versions[service])

    def update_view(self, service, owner, version):
        self.versions[service] = version

    def other_services(self, service):
        return tuple(each for each in self.versions if each != service)

    def notify_job(self, service, row):
        pass

    def notify_cancel(self, service, job):
        self.cancelled.append((service, job))

    def notify_early_cancels(self, jobs):
        self.early_cancelled += jobs

    def members(self):
        return []

    async def ask_state(self, service, job):
        return None

    async def ask_waiting(self, service):
        return self.waiting.get(service)


async def submit_until_accepted(
    fates, relayed, attempts=4, late_after=-1, owner_after=-1
):
    """Submit a job until it is accepted; return the outcomes and whether it is stored.

    Late writes are applied after attempt ``late_after``, and the owner is replaced
    after attempt ``owner_after``.
    """
    rows = FaultyRows(fates)
    handlers = []
    for _ in range(2):
        store = RelayedStore(rows, Peers(rows), lambda: ["b"], ManualClock())
        store.reachable = not relayed
        store.is_unavailable = lambda: False
        handlers.append(JobRequestHandler(store, FakeOwnership(rows), ManualClock()))
    outcomes = []
    for attempt in range(attempts):
        reply = await handlers[attempt % 2].submit(POLICY, JOB, SPEC)
        outcomes.append(reply.outcome)
        if reply.outcome is Outcome.DONE:
            break
        if attempt == owner_after:
            rows.replace_owner()
        if attempt == late_after:
            rows.apply_late()
    rows.apply_late()
    return outcomes, rows.stored()


async def cancel(fates):
    """Cancel a stored job; return the outcome and whether a cancellation is stored."""
    rows = FaultyRows([])
    store = RelayedStore(rows, Peers(rows), list, ManualClock())
    handler = JobRequestHandler(store, FakeOwnership(rows), ManualClock())
    await handler.submit(POLICY, JOB, SPEC)
    rows.fates = list(fates)
    reply = await handler.cancel(SERVICE, JOB)
    rows.apply_late()
    return reply.outcome, cancel_row_key(SERVICE, JOB) in rows.rows


def test_a_cancel_never_contradicts_its_reply():
    for fates in itertools.product(Fate, repeat=2):
        outcome, cancelled = run_in_virtual_time(cancel(fates))
        assert not (outcome is Outcome.NOT_RUN and cancelled), fates
        assert cancelled or outcome is not Outcome.DONE, fates


FATES = st.lists(st.sampled_from([Fate.ANSWERED] * 3 + list(Fate)), max_size=10)
"""Most writes are answered, so that submissions reach the later, riskier writes."""


def test_a_refused_job_is_not_stored_for_any_fates_of_five_writes():
    for relayed in (False, True):
        for fates in itertools.product(Fate, repeat=5):
            outcomes, stored = run_in_virtual_time(
                submit_until_accepted(fates, relayed, attempts=2)
            )
            refused = all(outcome is Outcome.NOT_RUN for outcome in outcomes)
            assert not (refused and stored), (relayed, fates)


def test_a_job_is_not_stored_if_all_its_submissions_were_refused():
    @settings(max_examples=3000, derandomize=True, deadline=None)
    @given(
        FATES,
        st.booleans(),
        st.integers(1, 4),
        st.integers(-1, 3),
        st.integers(-1, 3),
    )
    def check(fates, relayed, attempts, late_after, owner_after):
        outcomes, stored = run_in_virtual_time(
            submit_until_accepted(fates, relayed, attempts, late_after, owner_after)
        )
        refused = all(outcome is Outcome.NOT_RUN for outcome in outcomes)
        assert not (refused and stored), outcomes

    check()


def test_an_accepted_job_is_stored():
    @settings(max_examples=1000, derandomize=True, deadline=None)
    @given(FATES, st.booleans())
    def check(fates, relayed):
        outcomes, stored = run_in_virtual_time(submit_until_accepted(fates, relayed))
        assert stored or outcomes[-1] is not Outcome.DONE

    check()


class SlowRows(FaultyRows):
    """Rows whose reads and writes take a while."""

    async def commit(self, expected, changes):
        await asyncio.sleep(0.1)
        return await super().commit(expected, changes)

    async def read(self, table, partition, first="", last=""):
        await asyncio.sleep(0.07)
        return await super().read(table, partition, first, last)


async def submit_again_before_withdrawal(again_after_s):
    """Submit a job again while its first write, which has no answer, is settled.

    Another job's write is under way meanwhile, so that the second submission and the
    withdrawal of the first are both queued behind it.
    """
    rows = SlowRows([Fate.NEVER])
    store = RelayedStore(rows, Peers(rows), list, ManualClock())
    handler = JobRequestHandler(store, FakeOwnership(rows), ManualClock())

    async def submit(job, after_s):
        await asyncio.sleep(after_s)
        return (await handler.submit(POLICY, job, SPEC)).outcome

    first, _, second = await asyncio.gather(
        submit(JOB, 0.0), submit("2" * 16, 0.05), submit(JOB, again_after_s)
    )
    return first, second, rows.stored()


def test_a_job_accepted_again_is_not_withdrawn_by_its_first_submission():
    # The withdrawal is queued after 0.17 s.
    for again_after_s, first in ((0.15, Outcome.DONE), (0.18, Outcome.NOT_RUN)):
        result = run_in_virtual_time(submit_again_before_withdrawal(again_after_s))
        assert result == (first, Outcome.DONE, True), again_after_s
