"""A refusal is true whatever becomes of the writes that led to it."""

import itertools
from enum import Enum

from hypothesis import given, settings
from hypothesis import strategies as st
from returns.result import Failure, Success

from fuchsiascale.clock import ManualClock
from fuchsiascale.jobs import (
    Busy,
    Conflict,
    Entry,
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
    cancel_place,
    decode_row,
    encode_row,
    job_place,
    owner_place,
)
from fuchsiascale.testing import collect_functions, run_in_virtual_time

load_tests = collect_functions(__name__)

SERVICE = "pool"
JOB = "1" * 16
POLICY = QueuePolicy(queue="q", service=SERVICE)
SPEC = JobSpec(payload="", steps=(StepSpec(count=1, need=Resources(cpu_millis=100)),))
OWNER = OwnerRow(token=1, instance="a", incarnation="1", address="10.0.0.1:7000")


class Fate(Enum):
    """What becomes of a commit."""

    ANSWERED = "answered"
    REFUSED = "refused"
    ANSWER_LOST = "answer lost"
    LATE = "late"
    NEVER = "never"


class Rows:
    """Rows behind conditional writes, each of which meets its fate."""

    def __init__(self, fates):
        self.fates = list(fates)
        self.rows = {}
        self.version = 0
        self.late = []
        self._write(owner_place(SERVICE), encode_row(OWNER))

    def _write(self, place, value):
        self.version += 1
        self.rows[place] = StoredRow(place, value, self.version)

    def transact(self, expected, changes):
        """Apply all changes or none."""
        for each in expected:
            row = self.rows.get(each.place)
            if (row.version if row else 0) != each.version:
                places = [condition.place for condition in expected]
                found = [self.rows[at] for at in places if at in self.rows]
                return Failure(Conflict(tuple(found)))
        for change in changes:
            self._write(change.place, change.value)
        return Success(self.version)

    def replace_owner(self):
        """Let another instance take the service over."""
        self._write(owner_place(SERVICE), encode_row(OWNER))

    def apply_late(self):
        """Carry out the writes that are late, if their conditions hold."""
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
            for place, row in self.rows.items()
            if (place.table, place.partition) == (table, partition)
            and first <= place.key < last
        ]
        return Success(VersionedRows(tuple(rows), self.version))

    def stored(self):
        """Return whether the job is stored and would be run."""
        row = self.rows.get(job_place(ACCEPTED, SERVICE, JOB))
        return row is not None and decode_row(row.value, AcceptedRow).record is not None


class Peers:
    """A peer that reaches the same rows."""

    def __init__(self, rows):
        self.rows = rows

    async def ask(self, address, message, timeout_s):
        if hasattr(message, "changes"):
            reply = await self.rows.commit(message.expected, message.changes)
            return encode_commit_result(reply)
        return RelayReply("busy")


class FakeOffices:
    """An instance that knows the owner row as it first was, until it learns more."""

    def __init__(self, rows):
        self.row = rows.rows[owner_place(SERVICE)]

    def view(self, service):
        return OwnerView(service, OWNER, self.row.version)

    def learn(self, service, owner, version):
        self.row = StoredRow(self.row.place, b"", version)

    def tell_job(self, service, row):
        pass

    def tell_cancel(self, service, job):
        pass

    async def ask_state(self, service, job):
        return None


async def hand_in(fates, relayed, attempts=4, late_after=-1, owner_after=-1):
    """Hand a job in until it is accepted; return the outcomes and whether it is stored.

    Late writes are applied, and the owner is replaced, after the attempts named.
    """
    rows = Rows(fates)
    entries = []
    for _ in range(2):
        store = RelayedStore(rows, Peers(rows), lambda: ["b"], ManualClock())
        store.reachable = not relayed
        store.is_unavailable = lambda: False
        entries.append(Entry(store, FakeOffices(rows), ManualClock()))
    outcomes = []
    for attempt in range(attempts):
        reply = await entries[attempt % 2].submit(POLICY, JOB, SPEC)
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
    """Cancel a stored job; return the outcome and whether it is cancelled after all."""
    rows = Rows([])
    store = RelayedStore(rows, Peers(rows), list, ManualClock())
    entry = Entry(store, FakeOffices(rows), ManualClock())
    await entry.submit(POLICY, JOB, SPEC)
    rows.fates = list(fates)
    reply = await entry.cancel(SERVICE, JOB)
    rows.apply_late()
    return reply.outcome, cancel_place(SERVICE, JOB) in rows.rows


def test_a_cancel_says_that_it_was_not_done_only_if_it_never_will_be():
    for fates in itertools.product(Fate, repeat=2):
        outcome, cancelled = run_in_virtual_time(cancel(fates))
        assert not (outcome is Outcome.NOT_RUN and cancelled), fates
        assert cancelled or outcome is not Outcome.DONE, fates


FATES = st.lists(st.sampled_from([Fate.ANSWERED] * 3 + list(Fate)), max_size=10)
"""Most writes are answered, so that a hand-in gets far enough to go wrong."""


def test_a_job_is_not_stored_after_refusals_whatever_becomes_of_five_writes():
    for relayed in (False, True):
        for fates in itertools.product(Fate, repeat=5):
            outcomes, stored = run_in_virtual_time(hand_in(fates, relayed, attempts=2))
            refused = all(outcome is Outcome.NOT_RUN for outcome in outcomes)
            assert not (refused and stored), (relayed, fates)


def test_a_job_whose_every_hand_in_was_refused_is_not_stored():
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
            hand_in(fates, relayed, attempts, late_after, owner_after)
        )
        refused = all(outcome is Outcome.NOT_RUN for outcome in outcomes)
        assert not (refused and stored), outcomes

    check()


def test_an_accepted_job_is_stored():
    @settings(max_examples=1000, derandomize=True, deadline=None)
    @given(FATES, st.booleans())
    def check(fates, relayed):
        outcomes, stored = run_in_virtual_time(hand_in(fates, relayed))
        assert stored or outcomes[-1] is not Outcome.DONE

    check()
