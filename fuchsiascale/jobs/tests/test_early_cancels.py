"""Cancels of jobs whose submissions are not stored yet.

The failure that it guards against: a caller leaves, cancels its job while the store
still has the submission, is told that there is no such job, and the job runs.
"""

import asyncio
import itertools
from types import SimpleNamespace

from returns.result import Failure, Success

from fuchsiascale.clock import ManualClock
from fuchsiascale.jobs import (
    Busy,
    Expect,
    HistoryTruncated,
    JobRequestHandler,
    JobState,
    NoAnswer,
    Outcome,
    Owner,
    OwnerLimits,
    RelayedStore,
    RelayedWorkers,
    StoredRow,
    WorkerListing,
    early_cancels_row_key,
    job_row_key,
    owner_row_key,
)
from fuchsiascale.jobs._cancellations import (
    MAX_BATCHES_PER_S,
    MAX_JOBS_PER_S,
    EarlyCancelWriter,
    plan_batches,
)
from fuchsiascale.jobs._expiring_rows import RETENTION_S, ExpiringRows
from fuchsiascale.jobs._pending_cancels import PendingCancels
from fuchsiascale.jobs._records import (
    ACCEPTED,
    EARLY_CANCELS,
    AcceptedRow,
    decode_row,
)
from fuchsiascale.jobs.tests.test_refusals import (
    JOB,
    MOVED_POLICY,
    NEW_SERVICE,
    OWNER,
    POLICY,
    SERVICE,
    SPEC,
    FakeOwnership,
    Fate,
    FaultyRows,
    Peers,
)
from fuchsiascale.testing import LoopClock, collect_functions, run_in_virtual_time

load_tests = collect_functions(__name__)

SERVICES = (SERVICE, NEW_SERVICE)
ACKNOWLEDGED = (Outcome.DONE, Outcome.ABSENT)
OTHER_JOB = "2" * 16


def make_handler(rows, joins_partitions=True):
    store = RelayedStore(rows, Peers(rows), list, ManualClock())
    store.is_unavailable = lambda: False
    ownership = FakeOwnership(rows, SERVICES)
    return JobRequestHandler(store, ownership, ManualClock(), joins_partitions)


def make_owner(rows, service=SERVICE, clock=None):
    """Return an owner of a service that has not loaded it yet."""
    return Owner(
        service,
        OWNER,
        rows.rows[owner_row_key(service)].version,
        rows,
        RelayedWorkers(None, None, None, ManualClock()),
        WorkerListing("servers", lambda row: None),
        OwnerLimits(),
        clock or ManualClock(),
        lambda owner: None,
    )


async def load_owner(rows, service=SERVICE, clock=None):
    """Return an owner that has loaded a service."""
    owner = make_owner(rows, service, clock)
    assert await owner._load()
    return owner


async def find_runnable(rows):
    """Return the services whose next owner would run the job."""
    found = []
    for service in SERVICES:
        job = (await load_owner(rows, service)).shard.jobs.get(JOB)
        if job is not None and not job.state.final:
            found.append(service)
    return found


def list_early_rows(rows):
    return [key for key in rows.rows if key.partition == EARLY_CANCELS]


async def cancel_between_submissions(fates, late_after, policies, joins_partitions):
    """Submit a job, cancel it elsewhere, and submit it again at a third instance.

    Late writes are applied after step ``late_after`` of these, and at the end. Returns
    the outcome of the cancel and the services that would run the job.
    """
    rows = FaultyRows(fates)
    handlers = [make_handler(rows, joins_partitions) for _ in range(3)]
    steps = (
        lambda: handlers[0].submit(policies[0], JOB, SPEC),
        lambda: handlers[1].cancel(SERVICE, JOB),
        lambda: handlers[2].submit(policies[1], JOB, SPEC),
    )
    outcomes = []
    for number, step in enumerate(steps):
        outcomes.append((await step()).outcome)
        if number == late_after:
            rows.apply_late()
    rows.apply_late()
    return outcomes[1], await find_runnable(rows)


def test_a_job_does_not_run_whose_cancel_was_answered_for_any_fates_of_its_writes():
    """Guards against a submission that is stored after its cancel was answered."""
    all_policies = itertools.product((POLICY, MOVED_POLICY), repeat=2)
    for policies, joins in itertools.product(all_policies, (True, False)):
        for fates in itertools.product(Fate, repeat=4):
            for late_after in (0, 1):
                outcome, services = run_in_virtual_time(
                    cancel_between_submissions(fates, late_after, policies, joins)
                )
                case = (policies, joins, fates, late_after, outcome, services)
                assert outcome not in ACKNOWLEDGED or not services, case


async def test_a_submission_that_is_stored_after_its_cancel_is_shown_as_cancelled():
    rows = FaultyRows([])
    handler, owner = make_handler(rows), await load_owner(rows)
    assert (await handler.cancel(SERVICE, JOB)).outcome is Outcome.ABSENT
    assert handler.ownership.early_cancelled == [JOB]
    assert (await handler.submit(POLICY, JOB, SPEC)).outcome is Outcome.DONE
    owner._apply_changes((await owner._read_jobs()).unwrap(), 0.0)
    assert owner.shard.jobs[JOB].state is JobState.CANCELLED
    owner.clock.advance(1.0)
    assert await owner.recorder.flush()
    assert (await handler.state(SERVICE, JOB)).state is JobState.CANCELLED


async def test_a_job_that_is_noticed_before_its_early_cancellation_is_cancelled():
    rows = FaultyRows([])
    handler, owner = make_handler(rows), await load_owner(rows)
    await handler.submit(POLICY, JOB, SPEC)
    accepted = decode_row(
        rows.rows[job_row_key(ACCEPTED, SERVICE, JOB)].value, AcceptedRow
    )
    owner._loaded.set()
    owner.add_job(accepted)
    assert not owner.shard.jobs[JOB].state.final
    owner.cancel_jobs((JOB, OTHER_JOB))
    assert owner.shard.jobs[JOB].state is JobState.CANCELLED


async def test_an_unknown_job_is_absent_only_once_its_early_cancellation_is_stored():
    for fates, outcome in (
        ((Fate.ANSWERED,), Outcome.ABSENT),
        ((Fate.REFUSED,), Outcome.NOT_RUN),
        ((Fate.ANSWER_LOST,), Outcome.ABSENT),
        ((Fate.LATE,), Outcome.ABSENT),
        ((Fate.LATE, Fate.REFUSED), Outcome.UNKNOWN),
        ((Fate.NEVER, Fate.NEVER), Outcome.UNKNOWN),
    ):
        rows = FaultyRows(fates)
        assert (await make_handler(rows).cancel(SERVICE, JOB)).outcome is outcome, fates
        assert bool(list_early_rows(rows)) is (outcome is Outcome.ABSENT), fates


async def test_a_cancel_is_refused_at_once_while_the_store_is_silent():
    rows = FaultyRows([])
    handler = make_handler(rows)
    handler.silence = SimpleNamespace(is_silent=True, silent_for_s=lambda: 1.0)
    rows.fates = [Fate.NEVER] * 4
    rows.read = fail_to_read
    reply = await handler.cancel(SERVICE, JOB)
    assert (reply.outcome, len(rows.fates)) == (Outcome.NOT_RUN, 4)


async def fail_to_read(*arguments):
    return Failure(NoAnswer())


async def test_a_stored_early_cancellation_is_acknowledged_though_no_read_succeeds():
    rows = FaultyRows([])
    handler = make_handler(rows)
    rows.read = fail_to_read
    assert (await handler.cancel(SERVICE, JOB)).outcome is Outcome.DONE
    assert list_early_rows(rows)


async def test_an_unknown_job_stays_absent_after_its_cancel():
    """Guards against jobs that are shown though nobody has submitted them."""
    handler = make_handler(FaultyRows([]))
    await handler.cancel(SERVICE, JOB)
    assert (await handler.state(SERVICE, JOB)).outcome is Outcome.ABSENT
    assert (await handler.cancel(SERVICE, JOB)).outcome is Outcome.ABSENT


async def test_an_owner_that_missed_the_feed_reads_early_cancellations_again():
    rows = FaultyRows([])
    owner = await load_owner(rows)
    await make_handler(rows).cancel(SERVICE, JOB)
    assert await owner._reload_jobs(HistoryTruncated())
    assert JOB in owner.shard.pending_cancels


class RowsWrittenBetweenReads(FaultyRows):
    """Rows among which one is written right after the first read of a partition."""

    def __init__(self, partition):
        super().__init__([])
        self.partition = partition

    async def read(self, table, partition, first="", last=""):
        found = await super().read(table, partition, first, last)
        if partition == self.partition:
            self.partition = None
            self._write(early_cancels_row_key("row"), b'{"jobs":[]}')
        return found


async def test_the_feed_repeats_what_is_written_while_an_owner_loads():
    """Guards against a cancellation between the reads that no owner ever sees."""
    for partition in (SERVICE, EARLY_CANCELS):
        rows = RowsWrittenBetweenReads(partition)
        owner = await load_owner(rows)
        written = rows.rows[early_cancels_row_key("row")].version
        is_loaded = len(owner.shard.early_cancel_rows) == 1
        assert is_loaded or owner.feed_version < written, partition


# Rows and memory --------------------------------------------------------------------


async def test_rows_of_early_cancellations_are_deleted_after_their_retention():
    rows, clock = FaultyRows([]), ManualClock(100.0)
    await make_handler(rows).cancel(SERVICE, JOB)
    owners = [await load_owner(rows, service, clock) for service in SERVICES]
    clock.advance(RETENTION_S - 1.0)
    await owners[0]._delete_expired_rows()
    assert list_early_rows(rows)
    clock.advance(2.0)
    for owner in owners:
        await owner._delete_expired_rows()
        assert not len(owner.shard.pending_cancels)
        assert not len(owner.shard.early_cancel_rows)
    assert not list_early_rows(rows)


async def test_a_row_stays_until_the_end_of_its_job_is_recorded():
    """Guards against a successor that runs a job whose cancellation was deleted."""
    rows, clock = FaultyRows([]), ManualClock(100.0)
    handler = make_handler(rows)
    await handler.cancel(SERVICE, JOB)
    await handler.submit(POLICY, JOB, SPEC)
    owner = await load_owner(rows, clock=clock)
    clock.advance(RETENTION_S + 1.0)
    await owner._delete_expired_rows()
    assert list_early_rows(rows)
    assert await owner.recorder.flush()
    await owner._delete_expired_rows()
    assert not list_early_rows(rows)
    assert await find_runnable(rows) == []


async def test_rows_are_kept_in_mind_if_they_could_not_be_deleted():
    rows, clock = FaultyRows([]), ManualClock(100.0)
    await make_handler(rows).cancel(SERVICE, JOB)
    owner = await load_owner(rows, clock=clock)
    clock.advance(RETENTION_S + 1.0)
    rows.fates = [Fate.REFUSED]
    await owner._delete_expired_rows()
    assert len(owner.shard.early_cancel_rows) == 1
    await owner._delete_expired_rows()
    assert not list_early_rows(rows)


def test_a_repeated_cancel_is_kept_for_longer():
    pending = PendingCancels()
    pending.add(JOB, 0.0)
    pending.add(OTHER_JOB, 1.0)
    pending.add(JOB, 30.0)
    pending.expire(RETENTION_S + 1.0)
    assert (JOB in pending, OTHER_JOB in pending) == (True, False)


def test_rows_of_unrecorded_jobs_and_newer_versions_do_not_expire():
    rows, row_key = ExpiringRows(), early_cancels_row_key("row")
    rows.note(StoredRow(row_key, b"", 7), 0.0, (JOB,))
    assert rows.list_expired(RETENTION_S, {JOB: None}) == []
    assert rows.list_expired(RETENTION_S) == [Expect(row_key, 7)]
    rows.note(StoredRow(row_key, b"", 7), 9.0, (JOB,))
    assert rows.list_expired(RETENTION_S) == [Expect(row_key, 7)]
    rows.note(StoredRow(row_key, b"", 8), 9.0, (JOB,))
    assert rows.list_expired(RETENTION_S) == []


async def test_rows_of_withdrawn_submissions_are_deleted_after_their_retention():
    """Guards against rows of refused submissions that nobody ever removed."""
    row_key = job_row_key(ACCEPTED, SERVICE, JOB)
    for submits_again in (False, True):
        rows, clock = FaultyRows([Fate.LATE]), ManualClock(100.0)
        handler = make_handler(rows)
        assert (await handler.submit(POLICY, JOB, SPEC)).outcome is Outcome.NOT_RUN
        owner = await load_owner(rows, clock=clock)
        clock.advance(RETENTION_S - 1.0)
        await owner._delete_expired_rows()
        assert row_key in rows.rows
        if submits_again:
            await handler.submit(POLICY, JOB, SPEC)
        clock.advance(2.0)
        await owner._delete_expired_rows()
        assert not len(owner.shard.withdrawn_rows)
        assert rows.stored() is submits_again
        assert (row_key in rows.rows) is submits_again


class CountingRows:
    """A store that counts commits, which take a time and succeed."""

    def __init__(self):
        self.written = []

    async def commit(self, expected, changes):
        self.written.append(changes)
        return Success(1)


class OwnershipWithMembers(FakeOwnership):
    """Ownership at an instance with two live peers."""

    def __init__(self):
        self.early_cancelled = []

    def members(self):
        return ["b", "c"]


async def cancel_many(count, seconds):
    """Let callers cancel unknown jobs at a rate; return the results and the rows."""
    store = CountingRows()
    writer = EarlyCancelWriter(store, OwnershipWithMembers(), LoopClock())
    loop = asyncio.get_running_loop()
    tasks = []
    for number in range(count):
        tasks.append(loop.create_task(writer.write(f"{number:016x}")))
        await asyncio.sleep(seconds / count)
    return await asyncio.gather(*tasks), store.written


def test_cancels_of_unknown_jobs_take_a_bounded_rate_of_writes():
    """Guards against callers whose cancels use up the write rate of the store."""
    period_s, max_jobs = plan_batches(3)
    most_writes = 2 + round(1.0 / period_s)
    results, rows = run_in_virtual_time(cancel_many(300, 1.0))
    assert all(isinstance(each, Success) for each in results)
    assert len(rows) <= most_writes
    results, rows = run_in_virtual_time(cancel_many(3_000, 1.0))
    refused = [each for each in results if isinstance(each, Failure)]
    assert len(rows) <= most_writes
    assert len(results) - len(refused) <= most_writes * max_jobs
    assert refused and all(isinstance(each.failure(), Busy) for each in refused)


def test_all_instances_together_keep_within_the_rates_of_batches_and_jobs():
    for instances in (1, 3, 8, 36, 97):
        period_s, max_jobs = plan_batches(instances)
        assert round(instances / period_s, 6) <= MAX_BATCHES_PER_S
        assert round(max_jobs * instances / period_s, 6) <= MAX_JOBS_PER_S
        assert max_jobs >= 10
