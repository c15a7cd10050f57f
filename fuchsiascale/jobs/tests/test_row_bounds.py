"""Rows stay within the store's limits, and a rejected row holds up no other.

With 446 workers the single row of leased workers outgrew the store's limit. It was part
of the transaction that records ends, so no end was recorded any more, and the rejection
was retried without a log line.
"""

import math

from returns.result import Failure, Success

from fuchsiascale.clock import ManualClock
from fuchsiascale.jobs import (
    AcceptedRow,
    EndedAttempt,
    EndKind,
    EstimatesRow,
    Inventory,
    JobRecord,
    JobSpec,
    JobState,
    LeasedWorkersEntry,
    LeasedWorkersRow,
    ListedWorker,
    Owner,
    OwnerLimits,
    OwnerRow,
    QueuePolicy,
    Rejected,
    RelayedWorkers,
    Resources,
    RowKey,
    StepSpec,
    StoredRow,
    VersionedRows,
    WorkerListing,
    decode_row,
    encode_row,
    is_leased_workers_row,
    job_row_key,
    leased_workers_row_key,
    plan_round,
)
from fuchsiascale.jobs._conclusions import confirm_owner
from fuchsiascale.jobs._model import MAX_TASKS_PER_JOB
from fuchsiascale.jobs._record_batches import limit_estimates
from fuchsiascale.jobs._recorder import MAX_REJECTIONS, UNSTORABLE_RETRY_S
from fuchsiascale.testing import collect_functions

load_tests = collect_functions(__name__)

MAX_ROW_BYTES = 65_536
MAX_ENTRIES = 100
MAX_TRANSACTION_BYTES = 1_000_000
WORKERS = 1_000
QUEUES = 2_800
IMAGES = 200


class LimitedStore:
    """A store that rejects what its limits exclude, and keeps everything else.

    Parameters
    ----------
    rejected_keys : iterable of str
        Keys of rows that are rejected whatever their size.
    """

    def __init__(self, rejected_keys=()):
        self.rows = {}
        self.version = 5
        self.rejected_keys = set(rejected_keys)
        self.rejections = 0

    async def commit(self, expected, changes):
        sizes = [len(change.value or b"") for change in changes]
        is_rejected = (
            len(expected) + len(changes) > MAX_ENTRIES
            or max(sizes) > MAX_ROW_BYTES
            or sum(sizes) * 4 / 3 > MAX_TRANSACTION_BYTES
            or any(change.place.key in self.rejected_keys for change in changes)
        )
        if is_rejected:
            self.rejections += 1
            return Failure(Rejected("status 400"))
        self.version += 1
        for change in changes:
            self.rows[change.place] = change.value
        return Success(self.version)

    async def read(self, table, partition, first="", last=""):
        rows = tuple(
            StoredRow(row_key, value, self.version)
            for row_key, value in self.rows.items()
            if row_key.table == table and value is not None
        )
        return Success(VersionedRows(rows, self.version))

    def list_leased_workers(self):
        """Return the ids of the workers in all rows of leased workers."""
        return [
            entry.worker.worker
            for row_key, value in self.rows.items()
            if is_leased_workers_row(row_key) and value is not None
            for entry in decode_row(value, LeasedWorkersRow).workers
        ]


def make_owner(store):
    row = OwnerRow(token=1, instance="a", incarnation="1", address="10.0.0.1:80")
    listing = WorkerListing("servers", lambda row: None)
    limits = OwnerLimits(10.0, MAX_ROW_BYTES)
    workers = RelayedWorkers(None, None, None, ManualClock())
    return Owner(
        "pool",
        row,
        5,
        store,
        workers,
        listing,
        limits,
        ManualClock(),
        lambda owner: None,
    )


def make_worker(number, label="r1-1"):
    return ListedWorker(
        worker=f"i-{number:06}-5c0e7a21",
        service="pool",
        address=f"10.7.{number // 250}.{number % 250}:8123",
        domain="norte-guimaraes",
        capacity=Resources(cpu_millis=32_000, memory_mb=128_000),
        labels=("standard-32", label),
    )


def add_workers(owner, numbers):
    for number in numbers:
        run = owner.shard.update_worker(make_worker(number), 0.0)
        owner.shard.observe(run, Inventory(clock_ms=1, incarnation=1), 0.0, 0.0)


def end_tasks(owner, jobs):
    """Report the only task of each job as done."""
    run = next(iter(owner.shard.workers.values()))
    ended = []
    for number in range(jobs):
        spec = JobSpec(payload="", steps=(StepSpec(count=1),))
        policy = QueuePolicy(queue="q", service="pool")
        job_id = f"{number:016x}"
        record = JobRecord(job=job_id, spec=spec, policy=policy, accepted_ms=0)
        job = owner.shard.add_job(record, 1, 0.0, 0)
        owner.shard.start_task(job.find_task(0, 0, 0), run, 0.1)
        ended.append(
            EndedAttempt(number + 1, f"{job_id}.0.0.0", 1, EndKind.DONE),
        )
    inventory = Inventory(clock_ms=2, incarnation=1, ended=tuple(ended))
    owner.shard.observe(run, inventory, 0.2, 0.2)
    return run


async def test_the_ends_of_a_service_with_a_thousand_workers_are_recorded():
    store = LimitedStore()
    owner = make_owner(store)
    add_workers(owner, range(WORKERS))
    run = end_tasks(owner, 200)
    assert await owner.recorder.flush()
    assert store.rejections == 0
    assert run.last_recorded_end == 200
    assert sorted(store.list_leased_workers()) == sorted(owner.shard.workers)
    assert all(each.in_leased_workers for each in owner.shard.workers.values())


async def test_a_worker_that_joins_or_retires_rewrites_one_row():
    store = LimitedStore()
    owner = make_owner(store)
    add_workers(owner, range(WORKERS))
    assert await owner.recorder.flush()
    before = dict(store.rows)
    add_workers(owner, [WORKERS])
    owner.shard.note_worker_unlisted(make_worker(3).worker)
    owner.shard.drop_worker(make_worker(3).worker)
    assert await owner.recorder.flush()
    changed = [key for key, value in store.rows.items() if before.get(key) != value]
    rows = [key for key in changed if is_leased_workers_row(key)]
    assert len(rows) <= 2
    assert make_worker(3).worker not in store.list_leased_workers()
    assert make_worker(WORKERS).worker in store.list_leased_workers()


async def test_a_new_owner_restores_the_workers_of_all_rows():
    store = LimitedStore()
    owner = make_owner(store)
    add_workers(owner, range(WORKERS))
    assert await owner.recorder.flush()
    successor = make_owner(store)
    assert await successor._load()
    assert set(successor.shard.unconfirmed_workers) == set(owner.shard.workers)
    assert not successor.recorder.is_leased_workers_row_stale()


async def test_the_row_of_the_build_before_is_restored_and_kept():
    store = LimitedStore()
    workers = [make_worker(number) for number in range(24)]
    entries = tuple(LeasedWorkersEntry(worker=each) for each in workers)
    row_key = RowKey("pools", "pool", "roster")
    store.rows[row_key] = encode_row(LeasedWorkersRow(workers=entries))
    owner = make_owner(store)
    assert await owner._load()
    assert set(owner.shard.unconfirmed_workers) == {each.worker for each in workers}
    add_workers(owner, [24])
    assert await owner.recorder.flush()
    assert len(store.list_leased_workers()) == 25


async def test_a_row_without_workers_is_removed():
    store = LimitedStore()
    owner = make_owner(store)
    add_workers(owner, range(2))
    assert await owner.recorder.flush()
    for number in range(2):
        owner.shard.drop_worker(make_worker(number).worker)
    assert await owner.recorder.flush()
    assert store.rows[leased_workers_row_key("pool")] is None


async def test_a_worker_with_an_entry_larger_than_a_row_is_not_used():
    store = LimitedStore()
    owner = make_owner(store)
    add_workers(owner, range(3))
    large = owner.shard.update_worker(make_worker(7, "r" * MAX_ROW_BYTES), 0.0)
    run = end_tasks(owner, 1)
    assert await owner.recorder.flush()
    assert run.last_recorded_end == 1
    assert not large.in_leased_workers
    assert not owner.recorder.is_leased_workers_row_stale()


async def test_a_rejected_row_does_not_hold_up_the_ends_of_other_jobs():
    rejected_job = f"{3:016x}"
    store = LimitedStore(rejected_keys=[rejected_job])
    owner = make_owner(store)
    add_workers(owner, range(3))
    run = end_tasks(owner, 8)
    for _ in range(MAX_REJECTIONS - 1):
        assert not await owner.recorder.flush()
    assert run.last_recorded_end == 0
    assert await owner.recorder.flush()
    finished = [key.key for key in store.rows if key.table == "finished"]
    assert len(finished) == 7
    assert rejected_job not in finished
    assert owner.recorder.rejected_rows == 3


async def test_ends_of_a_job_that_the_store_rejects_are_not_acknowledged():
    """They were, so that the next owner started tasks again that had ended done."""
    rejected_job = f"{3:016x}"
    store = LimitedStore(rejected_keys=[rejected_job])
    owner = make_owner(store)
    add_workers(owner, range(3))
    run = end_tasks(owner, 8)
    while not await owner.recorder.flush():
        pass
    assert run.last_recorded_end == 3
    assert owner.shard.get_state(rejected_job) is JobState.RUNNING
    owner.clock.advance(UNSTORABLE_RETRY_S)
    while not await owner.recorder.flush():
        pass
    assert run.last_recorded_end == 3
    store.rejected_keys.clear()
    owner.clock.advance(UNSTORABLE_RETRY_S)
    assert await owner.recorder.flush()
    assert run.last_recorded_end == 8
    assert owner.shard.get_state(rejected_job) is JobState.COMPLETED


async def test_nothing_more_of_a_job_that_the_store_rejects_is_started():
    store = LimitedStore(rejected_keys=[LARGE_JOB])
    owner = make_owner(store)
    add_workers(owner, range(1))
    job = add_large_job(owner, StepSpec(count=2))
    end_attempts(owner, job, [job.find_task(0, 0, 0)], EndKind.DONE)
    while not await owner.recorder.flush():
        pass
    confirm_owner(owner.shard, 0.5)
    plan_round(owner.shard, 1.0)
    assert not owner.shard.drain_commands()
    store.rejected_keys.clear()
    owner.clock.advance(UNSTORABLE_RETRY_S)
    assert await owner.recorder.flush()
    plan_round(owner.shard, 2.0)
    assert len(owner.shard.drain_commands()) == 1


LARGE_JOB = "f" * 16


def add_large_job(owner, *steps, **fields):
    policy = QueuePolicy(queue="q", service="pool", max_attempts=9)
    spec = JobSpec(payload="", steps=steps, **fields)
    record = JobRecord(job=LARGE_JOB, spec=spec, policy=policy, accepted_ms=0)
    return owner.shard.add_job(record, 1, 0.0, 0)


def end_attempts(owner, job, tasks, how, checkpoint=""):
    """Report an end of each task."""
    run = next(iter(owner.shard.workers.values()))
    first = run.last_seen_end + 1
    ended = tuple(
        EndedAttempt(first + number, task.name, task.next_number, how, checkpoint)
        for number, task in enumerate(tasks)
    )
    inventory = Inventory(clock_ms=first + 1, incarnation=1, ended=ended)
    owner.shard.observe(run, inventory, 0.2, 0.2)


async def load_successor(store):
    """Return a later owner that has read what the store holds."""
    successor = make_owner(store)
    assert await successor._load()
    return successor


def store_accepted_job(store, job):
    row = AcceptedRow(token=1, write="1", record=job.record)
    store.rows[job_row_key("jobs", "pool", job.job)] = encode_row(row)


async def test_the_largest_progress_is_divided_into_rows_and_read_back():
    store = LimitedStore()
    owner = make_owner(store)
    add_workers(owner, range(1))
    job = add_large_job(owner, StepSpec(count=MAX_TASKS_PER_JOB, checkpoints=True))
    tasks = job.occurrences[0][0].tasks
    for _ in range(2):
        end_attempts(owner, job, tasks[1:], EndKind.FAILED, "c" * 16)
    end_attempts(owner, job, tasks[:1], EndKind.DONE)
    assert await owner.recorder.flush()
    assert store.rejections == 0
    rows = [key for key in store.rows if key.table == "progress"]
    size = len(encode_row(job.export_progress()))
    assert size > MAX_ROW_BYTES
    assert len(rows) == math.ceil(size / MAX_ROW_BYTES)
    store_accepted_job(store, job)
    restored = (await load_successor(store)).shard.jobs[LARGE_JOB]
    assert restored.export_progress() == job.export_progress()
    assert restored.progress_rows == len(rows)
    owner.shard.cancel_job(LARGE_JOB, 1.0)
    assert await owner.recorder.flush()
    assert all(store.rows[key] is None for key in rows)


async def test_the_progress_of_a_job_with_many_occurrences_stays_small():
    """It grew with each one, until the store rejected it."""
    store = LimitedStore()
    owner = make_owner(store)
    add_workers(owner, range(1))
    steps = [StepSpec(count=1) for _ in range(5)]
    job = add_large_job(owner, *steps, occurrences=10_000, interval_ms=1)
    for occurrence in range(2_000):
        tasks = [job.find_task(occurrence, step, 0) for step in range(5)]
        end_attempts(owner, job, tasks, EndKind.DONE)
        job.find_ready_steps()
    assert await owner.recorder.flush()
    assert store.rejections == 0
    assert len(encode_row(job.export_progress())) < 200
    assert job.find_task(7, 0, 0) is None
    store_accepted_job(store, job)
    restored = (await load_successor(store)).shard.jobs[LARGE_JOB]
    assert restored.find_task(1_999, 4, 0) is None
    assert not restored.find_task(2_000, 0, 0).done


def test_occurrences_that_are_all_overdue_are_opened_a_few_at_a_time():
    owner = make_owner(LimitedStore())
    add_workers(owner, range(1))
    job = add_large_job(
        owner, StepSpec(count=1_000), occurrences=1_000_000, interval_ms=1
    )
    job.open_due_occurrences(1.0, 10**9)
    assert list(job.occurrences) == [0, 1, 2, 3, 4]
    for task in job.occurrences[2][0].tasks:
        task.mark_done()
    job.find_ready_steps()
    job.open_due_occurrences(2.0, 10**9)
    assert list(job.occurrences) == [0, 1, 3, 4, 5]


async def test_no_end_is_acknowledged_while_the_store_rejects_every_record():
    store = LimitedStore(rejected_keys=["ledger"])
    owner = make_owner(store)
    add_workers(owner, range(3))
    run = end_tasks(owner, 8)
    for _ in range(MAX_REJECTIONS - 1):
        assert not await owner.recorder.flush()
    store.rejected_keys.clear()
    assert run.last_recorded_end == 0
    assert await owner.recorder.flush()
    assert run.last_recorded_end == 8
    assert owner.recorder.rejected_rows == 0


def test_estimates_of_many_images_and_queues_fit_in_a_row():
    row = EstimatesRow(
        slopes={
            f"serving-image-{serving}": {
                f"filler-image-{filler}": 12.34 for filler in range(IMAGES)
            }
            for serving in range(IMAGES)
        },
        run_times={f"queue-{number}": (-0.123, 1000) for number in range(QUEUES)},
    )
    assert len(encode_row(row)) > MAX_ROW_BYTES
    limited = limit_estimates(row, MAX_ROW_BYTES)
    assert 0 < len(encode_row(limited)) <= MAX_ROW_BYTES
    assert f"serving-image-{IMAGES - 1}" in limited.slopes
    assert f"queue-{QUEUES - 1}" in limited.run_times
