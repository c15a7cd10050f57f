"""Records that an owner writes, ends that it acknowledges, and leases it grants."""

import asyncio

import msgspec
from returns.result import Failure, Success

from fuchsiascale.clock import ManualClock
from fuchsiascale.jobs import (
    AcceptedRow,
    Busy,
    EndedAttempt,
    EndKind,
    Inventory,
    JobRecord,
    JobSpec,
    LeasedWorkersEntry,
    LeasedWorkersRow,
    LedgerRow,
    ListedWorker,
    Owner,
    OwnerLimits,
    OwnerRow,
    QueuePolicy,
    RelayedWorkers,
    Resources,
    StepSpec,
    StoredRow,
    VersionedRows,
    WorkerListing,
    leased_workers_row_key,
    owner_row_key,
)
from fuchsiascale.jobs._worker_clocks import CLOCK_DRIFT
from fuchsiascale.testing import collect_functions

load_tests = collect_functions(__name__)

JOB = "5c0e7a21d94b36f8"


class BlockingStore:
    """A store whose commits block until the test sets their result."""

    def __init__(self):
        self.commits = []

    async def commit(self, expected, changes):
        done = asyncio.get_running_loop().create_future()
        self.commits.append((changes, done))
        return await done


def make_workers():
    """Return workers that are never called."""
    return RelayedWorkers(None, None, None, ManualClock())


def make_listed(name, incarnation=0):
    return ListedWorker(
        worker=name,
        service="pool",
        address="10.0.0.9:80",
        domain="a",
        capacity=Resources(cpu_millis=4_000, memory_mb=8_000),
        labels=(),
        incarnation=incarnation,
    )


def make_owner(store, token=1, limits=None):
    row = OwnerRow(token=token, instance="a", incarnation="1", address="10.0.0.1:80")
    owner = Owner(
        "pool",
        row,
        5,
        store,
        make_workers(),
        WorkerListing("servers", lambda row: None),
        limits or OwnerLimits(),
        ManualClock(),
        lambda owner: None,
    )
    worker = make_listed("w1")
    run = owner.shard.update_worker(worker, 0.0)
    owner.shard.observe(run, Inventory(clock_ms=1, incarnation=1), 0.0, 0.0)
    row = LeasedWorkersRow(workers=(LeasedWorkersEntry(worker=worker),))
    owner.recorder.leased_workers.restore(leased_workers_row_key("pool"), row)
    run.in_leased_workers = True
    return owner, run


def end_first_task(owner, run):
    """Report the first of a job's two tasks as done."""
    policy = QueuePolicy(queue="q", service="pool")
    spec = JobSpec(payload="", steps=(StepSpec(count=2),))
    record = JobRecord(job=JOB, spec=spec, policy=policy, accepted_ms=0)
    job = owner.shard.add_job(record, 1, 0.0, 0)
    owner.shard.start_task(job.find_task(0, 0, 0), run, 0.1)
    ended = (EndedAttempt(1, f"{JOB}.0.0.0", 1, EndKind.DONE),)
    owner.shard.observe(
        run, Inventory(clock_ms=2, incarnation=1, ended=ended), 0.2, 0.2
    )


async def test_a_second_record_does_not_acknowledge_ends_of_an_unfinished_first():
    store = BlockingStore()
    owner, run = make_owner(store)
    end_first_task(owner, run)
    first = asyncio.create_task(owner.recorder.flush())
    await asyncio.sleep(0)
    second = asyncio.create_task(owner.recorder.flush())
    await asyncio.sleep(0)
    assert run.last_recorded_end == 0
    store.commits[0][1].set_result(Failure(Busy()))
    assert await first is False
    await asyncio.sleep(0)
    assert run.last_recorded_end == 0
    store.commits[1][1].set_result(Success(9))
    assert await second is True
    assert run.last_recorded_end == 1


async def test_a_worker_that_is_listed_again_becomes_usable_again():
    store = BlockingStore()
    owner, run = make_owner(store)
    owner.shard.drop_worker("w1")
    relisted = owner.shard.update_worker(run.listed, 1.0)
    owner.shard.observe(relisted, Inventory(clock_ms=9, incarnation=1), 1.1, 1.1)
    recording = asyncio.create_task(owner.recorder.flush())
    await asyncio.sleep(0)
    assert store.commits
    store.commits[0][1].set_result(Success(9))
    await recording
    assert relisted.in_leased_workers


async def test_a_worker_that_has_never_answered_is_not_recorded():
    # Its entry may name an address that nobody has; a later owner would wait for it.
    store = BlockingStore()
    owner, run = make_owner(store)
    listed = msgspec.structs.replace(run.listed, worker="w2")
    silent = owner.shard.update_worker(listed, 1.0)
    assert await record_workers(owner, store) == {"w1"}
    owner.shard.observe(silent, Inventory(clock_ms=9, incarnation=1), 1.1, 1.1)
    assert not silent.is_usable(1.1)
    assert await record_workers(owner, store) == {"w1", "w2"}
    assert silent.is_usable(1.2)


async def record_workers(owner, store):
    """Record all changes, and return the ids of the recorded workers."""
    before = len(store.commits)
    recording = asyncio.create_task(owner.recorder.flush())
    await asyncio.sleep(0)
    if len(store.commits) > before:
        store.commits[-1][1].set_result(Success(9 + before))
    await recording
    return owner.recorder.leased_workers.worker_ids


async def test_a_draining_worker_is_removed_from_the_record_once_nothing_runs_on_it():
    store = BlockingStore()
    owner, run = make_owner(store)
    end_first_task(owner, run)
    second = owner.shard.jobs[JOB].find_task(0, 0, 1)
    attempt = owner.shard.start_task(second, run, 0.3)
    draining = msgspec.structs.replace(run.listed, draining=True)
    owner.shard.update_worker(draining, 0.4)
    assert await record_workers(owner, store) == {"w1"}
    run.release(attempt)
    assert await record_workers(owner, store) == frozenset()
    assert not run.in_leased_workers
    owner.shard.update_worker(msgspec.structs.replace(draining, draining=False), 0.5)
    assert not run.is_usable(0.5)
    assert await record_workers(owner, store) == {"w1"}
    assert run.is_usable(0.6)


async def test_a_predecessor_known_to_have_stopped_shortens_the_wait_for_its_workers():
    owner, _ = make_owner(BlockingStore())
    owner.shard.unconfirmed_workers["w2"] = 16.5
    owner.inherited_leases.restore_ledger(LedgerRow(token=0, write="", settled=True))
    owner.inherited_leases.mark_stopped(2.0)
    assert 8.0 < owner.shard.unconfirmed_workers["w2"] < 9.0


def make_successor():
    """Return the leases at a successor, with a worker that it doesn't reach."""
    limits = OwnerLimits(longest_lease_s=10.0, entry_lapse_s=1.5)
    owner, _ = make_owner(BlockingStore(), limits=limits)
    leases = owner.inherited_leases
    leases.restore_ledger(LedgerRow(token=0, write="", settled=True))
    owner.shard.update_worker(make_listed("w2", 1), 0.0)
    leases.add(make_listed("w2", 1), 0.0)
    return owner.shard, leases


async def test_a_successor_waits_for_the_longest_lease_of_a_restarted_worker():
    # A worker that restarted under the earlier owner took a lease longer than granted.
    for is_listed_before in (False, True):
        shard, leases = make_successor()
        if is_listed_before:
            leases.note_list(0.1)
        leases.mark_stopped(2.0)
        shard.update_worker(make_listed("w2", 2), 0.3)
        leases.note_list(0.3)
        assert shard.unconfirmed_workers["w2"] > 2.0 + 10.0 / (1 - CLOCK_DRIFT)


async def test_a_worker_with_more_ends_than_it_could_list_is_waited_for():
    # It has answered, so that its lease is the successor's, whatever the list shows.
    shard, leases = make_successor()
    leases.mark_stopped(2.0)
    worker = shard.workers["w2"]
    inventory = Inventory(clock_ms=1_000, incarnation=1, lists_all_ends=False)
    shard.observe(worker, inventory, 5.0, 5.0)
    until_s = shard.unconfirmed_workers["w2"]
    assert until_s >= worker.lease_expiry_s
    leases.note_list(5.1)
    assert shard.unconfirmed_workers["w2"] == until_s


async def test_a_successor_waits_for_the_longest_lease_until_it_knows_the_list():
    shard, leases = make_successor()
    leases.mark_stopped(2.0)
    assert shard.unconfirmed_workers["w2"] > 2.0 + 10.0 / (1 - CLOCK_DRIFT)


async def test_a_worker_that_has_not_restarted_is_waited_for_no_longer_than_granted():
    # A lost worker held up inherited tasks, also lasting ones, for 4 s more.
    shard, leases = make_successor()
    leases.mark_stopped(2.0)
    leases.note_list(0.1)
    assert 2.0 + 6.0 / (1 - CLOCK_DRIFT) < shard.unconfirmed_workers["w2"] < 9.0


async def test_a_worker_whose_entry_has_lapsed_may_have_restarted_before():
    shard, leases = make_successor()
    leases.mark_stopped(2.0)
    shard.note_worker_unlisted("w2")
    leases.note_list(0.1)
    expected_s = 0.1 - 1.5 + 10.0 / (1 - CLOCK_DRIFT)
    assert expected_s < shard.unconfirmed_workers["w2"] < expected_s + 0.5


async def test_an_earlier_owner_that_may_still_grant_leases_is_waited_for():
    # The previous owner was gone before it had reached all workers of the one before.
    for ledger in (None, LedgerRow(token=0, write=""), LedgerRow(token=-1, write="")):
        owner, _ = make_owner(BlockingStore())
        leases = owner.inherited_leases
        leases.restore_ledger(ledger)
        leases.add(make_listed("w2"), 0.0)
        leases.mark_stopped(2.0)
        assert 16.0 < owner.shard.unconfirmed_workers["w2"] < 17.0
        leases.mark_stopped(3.0, includes_earlier_owners=True)
        assert 9.0 < owner.shard.unconfirmed_workers["w2"] < 10.0


async def test_a_time_that_is_known_before_the_workers_are_loaded_holds_for_them():
    owner, _ = make_owner(BlockingStore())
    leases = owner.inherited_leases
    leases.mark_stopped(2.0)
    leases.restore_ledger(LedgerRow(token=0, write="", settled=True))
    leases.add(make_listed("w2"), 1.0)
    leases.limit()
    assert 8.0 < owner.shard.unconfirmed_workers["w2"] < 9.0


async def test_an_owner_that_hands_over_grants_no_lease_after_the_announced_time():
    owner, _ = make_owner(BlockingStore())
    owner.stop_granting_at(owner.clock.monotonic() + 1.0)
    assert owner.can_grant_leases()
    owner.clock.advance(1.0)
    assert not owner.can_grant_leases()


async def test_a_late_notice_does_not_bring_back_a_job_that_an_earlier_owner_finished():
    # An instance read the job's row before the last record of the earlier owner.
    store = BlockingStore()
    owner, _ = make_owner(store, token=3)
    owner._loaded.set()
    policy = QueuePolicy(queue="q", service="pool")
    spec = JobSpec(payload="", steps=(StepSpec(count=1),))
    for token, expected in ((2, []), (4, []), (3, [JOB])):
        record = JobRecord(job=JOB, spec=spec, policy=policy, accepted_ms=0)
        owner.add_job(AcceptedRow(token=token, write="1", record=record))
        assert list(owner.shard.jobs) == expected


class OwnerRowStore:
    """A store that answers reads of the owner row, and nothing else."""

    def __init__(self):
        self.version = None

    async def read(self, table, partition, first="", last=""):
        if self.version is None:
            return Failure(Busy("down"))
        row = StoredRow(owner_row_key("pool"), b"", self.version)
        return Success(VersionedRows((row,), self.version))


async def test_no_attempt_counts_as_lost_before_the_store_has_confirmed_the_owner():
    # A later owner that reaches the worker may have extended its lease.
    for version, is_lost in ((None, False), (5, True), (6, False)):
        store = OwnerRowStore()
        owner, run = make_owner(store)
        owner.links.sync = lambda: None
        store.version = version
        end_first_task(owner, run)
        second = owner.shard.jobs[JOB].find_task(0, 0, 1)
        owner.shard.start_task(second, run, 0.3)
        owner.shard.drain_commands()
        owner.shard.grant_lease(run, 0.3)
        owner.shard.note_silence(run, 0.4)
        owner.clock.advance(9.0)
        owner._run_round()
        assert run.attempts
        await asyncio.sleep(0)
        await asyncio.sleep(0)
        owner._run_round()
        assert bool(run.attempts) is not is_lost, version
        assert owner.lost is (version == 6)
        await owner.stop()


async def test_a_feed_that_is_cut_short_does_not_confirm_the_owner():
    # The row of a later owner may be among the changes that are left.
    for is_complete, confirmed_s in ((False, 0.0), (True, 8.0)):
        owner, _ = make_owner(BlockingStore())
        owner._apply_changes(VersionedRows((), 9, is_complete=is_complete), 8.0)
        assert owner.evidence.confirmed_s == confirmed_s
