"""No task is started in a failure domain that an operator evacuates.

Before, owners didn't read evacuations: 1,967 tasks were started in evacuated domains on
one played day.
"""

import asyncio

import logbook
import msgspec
from returns.result import Failure, Success

from fuchsiascale.jobs import (
    Busy,
    EvacuationListing,
    Evacuations,
    Executed,
    HistoryTruncated,
    Inventory,
    OwnerLimits,
    OwnerRow,
    RelayedStore,
    RelayedWorkers,
    RelayReply,
    RowKey,
    StoredRow,
    VersionedRows,
    WorkerListing,
    plan_round,
)
from fuchsiascale.jobs._evacuation_watch import EvacuationWatch
from fuchsiascale.jobs._owner import Owner
from fuchsiascale.jobs._worker_links import WorkerLinks
from fuchsiascale.jobs.tests.test_rounds import (
    drain_starts,
    make_shard,
    make_step,
    submit_job,
)
from fuchsiascale.testing import LoopClock, collect_functions, run_in_virtual_time

load_tests = collect_functions(__name__)

PREFIX = "evacuate/"


def make_row(domain, version=1, value=b"{}"):
    return StoredRow(RowKey("op", "", PREFIX + domain), value, version)


def decode(row):
    return row.place.key.removeprefix(PREFIX) if row.value == b"{}" else None


BOUND_S = 5.0
LISTING = EvacuationListing("op", PREFIX, "evacuate0", decode, BOUND_S)


def make_zoned_shard(*domains, **fields):
    """Return a shard with one worker in each of some domains; none is evacuated."""
    shard = make_shard(workers=len(domains), **fields)
    for worker, domain in zip(shard.workers.values(), domains, strict=True):
        worker.listed = msgspec.structs.replace(worker.listed, domain=domain)
    shard.evacuations = Evacuations(decode)
    evacuate(shard, 1)
    return shard


def evacuate(shard, version, *domains):
    """Let the store show exactly these domains as evacuated."""
    rows = tuple(make_row(domain, version) for domain in domains)
    return shard.evacuations.apply(rows, version, asked_s=0.5)


def list_started_domains(shard, now_s):
    plan_round(shard, now_s)
    return [each.worker.listed.domain for each in drain_starts(shard)]


def test_nothing_starts_in_an_evacuated_domain_until_it_is_returned():
    shard = make_zoned_shard("a", "b")
    evacuate(shard, 2, "a")
    submit_job(shard, make_step(count=6))
    assert list_started_domains(shard, 1.0) == ["b"] * 4
    evacuate(shard, 3)
    assert list_started_domains(shard, 1.1) == ["a"] * 2


def test_several_evacuations_count_each_by_itself():
    shard = make_zoned_shard("a", "b", "c")
    evacuate(shard, 2, "a", "b")
    submit_job(shard, make_step(count=12))
    assert set(list_started_domains(shard, 1.0)) == {"c"}
    evacuate(shard, 3, "b", "c")
    assert set(list_started_domains(shard, 1.1)) == {"a"}


def test_work_waits_while_all_domains_are_evacuated():
    shard = make_zoned_shard("a", "b")
    evacuate(shard, 2, "a", "b")
    job = submit_job(shard, make_step())
    assert list_started_domains(shard, 1.0) == []
    assert not job.state.final
    evacuate(shard, 3, "a")
    assert list_started_domains(shard, 1.1) == ["b"]


def test_nothing_starts_before_the_evacuations_are_known():
    shard = make_zoned_shard("a")
    shard.evacuations = Evacuations(decode)
    submit_job(shard, make_step())
    assert list_started_domains(shard, 1.0) == []
    evacuate(shard, 1)
    assert list_started_domains(shard, 1.1) == ["a"]


def test_workers_are_used_as_before_where_the_operator_evacuates_nothing():
    shard = make_shard(workers=1)
    submit_job(shard, make_step())
    assert list_started_domains(shard, 1.0) == ["a"]


def test_an_older_state_of_the_store_is_ignored():
    # A peer that answers late may have read before the evacuation was written.
    shard = make_zoned_shard("a")
    evacuate(shard, 5, "a")
    assert evacuate(shard, 4) == []
    assert shard.evacuations.domains == {"a"}


def test_a_domain_without_workers_is_kept_for_those_that_are_listed_later():
    shard = make_zoned_shard("a", "b")
    evacuate(shard, 2, "z")
    worker = shard.workers["w1"]
    listed = msgspec.structs.replace(worker.listed, domain="z")
    shard.update_worker(listed, 0.9)
    assert shard.may_use(shard.workers["w0"], 1.0)
    assert not shard.may_use(worker, 1.0)


def test_a_malformed_row_evacuates_nothing_and_is_decoded_once_a_version():
    decoded = []

    def count(row):
        decoded.append(row.version)
        return decode(row)

    evacuations = Evacuations(count)
    rows = make_row("a", 2, b"{"), make_row("b", 3)
    for version in (3, 4, 5):
        evacuations.apply(rows, version, 1.0)
    assert evacuations.domains == {"b"}
    assert decoded == [2, 3]
    evacuations.apply((make_row("a", 6), rows[1]), 6, 1.0)
    assert evacuations.domains == {"a", "b"}


def test_an_evacuation_whose_row_becomes_malformed_goes_on():
    # Only the removal of the row withdraws the request.
    evacuations = Evacuations(decode)
    evacuations.apply((make_row("a", 2),), 2, 1.0)
    evacuations.apply((make_row("a", 3, b"["),), 3, 1.0)
    assert evacuations.domains == {"a"}
    evacuations.apply((make_row("a", 4, b"]"),), 4, 1.0)
    assert evacuations.domains == {"a"}
    evacuations.apply((), 5, 1.0)
    assert evacuations.domains == frozenset()


def test_changes_have_the_revision_of_the_row_or_of_the_store_after_its_removal():
    shard = make_zoned_shard("a")
    (begun,) = evacuate(shard, 7, "a")
    (ended,) = evacuate(shard, 9)
    assert (begun.domain, begun.is_evacuated, begun.revision) == ("a", True, 7)
    assert (ended.domain, ended.is_evacuated, ended.revision) == ("a", False, 9)


def test_nothing_starts_while_an_evacuation_may_be_unknown_for_longer_than_allowed():
    # The store may fall silent just after it has acknowledged the operator's request.
    shard = make_zoned_shard("a", "b")
    shard.evacuations = Evacuations(decode, bound_s=5.0)
    shard.evacuations.apply((make_row("b"),), 1, asked_s=1.0)
    submit_job(shard, make_step())
    assert list_started_domains(shard, 5.4) == ["a"]
    submit_job(shard, make_step(), job="1" * 16)
    assert list_started_domains(shard, 5.6) == []
    assert shard.evacuations.domains == {"b"}
    shard.evacuations.apply((make_row("b"),), 1, asked_s=5.7)
    assert list_started_domains(shard, 5.8) == ["a"]


def test_a_start_that_is_held_up_on_its_way_is_refused_by_its_worker():
    # It would have been carried out within the lease of 6 s, in a domain that was
    # evacuated 5 s and more before.
    shard = make_zoned_shard("a")
    worker = shard.workers["w0"]
    shard.observe(worker, Inventory(clock_ms=60_000, incarnation=1), 3.0, 3.0)
    assert shard.grant_start_lease(worker, 3.0) == 66_000
    shard.evacuations = Evacuations(decode, bound_s=5.0)
    shard.evacuations.apply((), 1, asked_s=2.8)
    # The worker's clock may be 2% slow.
    assert shard.grant_start_lease(worker, 3.0) == 60_000 + 4_704
    assert shard.grant_lease(worker, 3.0) == 66_000
    shard.evacuations = None
    assert shard.grant_start_lease(worker, 3.0) == 66_000


class RecordingWorkers:
    """Workers that carry out each start."""

    def __init__(self):
        self.starts = []
        self.lease_ends_ms = set()

    async def send_start(self, worker, request):
        self.starts.append(worker.worker)
        self.lease_ends_ms.add(request.lease_until_ms)
        passed_ms = int(1_000 * LoopClock().monotonic())
        return Success(Executed(clock_ms=1_000 + passed_ms)), None


async def send_starts(shard, now_evacuated):
    """Send planned starts just after some domains were evacuated."""
    workers = RecordingWorkers()
    links = WorkerLinks(
        shard, None, workers, LoopClock(), lambda: True, None, lambda: None
    )
    links.send_commands()
    evacuate(shard, 9, *now_evacuated)
    for _ in range(3):
        await asyncio.sleep(0)
    return workers


async def test_a_start_that_is_planned_is_not_sent_into_a_domain_evacuated_since():
    shard = make_zoned_shard("a", "b")
    job = submit_job(shard, make_step(count=8))
    plan_round(shard, 1.0)
    workers = await send_starts(shard, ("a",))
    assert workers.starts == ["w1"] * 4
    assert shard.workers["w0"].cpu_used == 0
    assert sum(task.waiting for task in job.find_ready_steps()[0].tasks) == 4
    assert shard.events["start withheld: evacuated"] == 4
    # The worker isn't to blame: it takes starts at once when the domain returns.
    evacuate(shard, 10)
    assert list_started_domains(shard, 1.1) == ["a"] * 4


def test_the_lease_of_a_start_that_is_sent_ends_with_the_bound():
    shard = make_zoned_shard("a")
    shard.evacuations = Evacuations(decode, bound_s=5.0)
    evacuate(shard, 2)
    submit_job(shard, make_step())
    plan_round(shard, 1.0)
    workers = run_in_virtual_time(send_starts(shard, ()))
    (end_ms,) = workers.lease_ends_ms
    assert 1_000 + 4_900 < end_ms < 1_000 + 5_500


class EvacuationStore:
    """A store that answers reads of evacuations.

    Attributes
    ----------
    rows : tuple of StoredRow or None
        What it answers; None while it refuses.
    """

    def __init__(self, rows=()):
        self.rows = rows
        self.version = 1
        self.reads = []

    async def read(self, table, partition, first="", last=""):
        self.reads.append((table, partition, first, last))
        await asyncio.sleep(0.004)
        if self.rows is None:
            return Failure(Busy("status 503"))
        if table == "op":
            return Success(VersionedRows(self.rows, self.version))
        return Success(VersionedRows((), self.version))

    async def follow(self, table, after, wait_ms):
        await asyncio.sleep(wait_ms / 1_000)
        return Success(VersionedRows((), self.version))

    async def commit(self, expected, changes):
        self.version += 1
        return Success(self.version)


def make_owner(store, evacuations=LISTING):
    row = OwnerRow(token=1, instance="a", incarnation="1", address="10.0.0.1:80")
    return Owner(
        "pool",
        row,
        5,
        store,
        RelayedWorkers(None, None, None, LoopClock()),
        WorkerListing("servers", lambda row: None),
        OwnerLimits(),
        LoopClock(),
        lambda owner: None,
        evacuations,
    )


def test_a_new_owner_reads_the_evacuations_before_it_starts_anything():
    async def run():
        store = EvacuationStore(rows=None)
        owner = make_owner(store)
        (worker,) = make_zoned_shard("a").workers.values()

        def is_evacuated():
            return owner.shard.is_evacuated(worker, owner.clock.monotonic())

        starting = asyncio.create_task(owner.start())
        await asyncio.sleep(3.0)
        assert is_evacuated()
        store.rows = (make_row("b"),)
        await asyncio.sleep(1.0)
        assert not is_evacuated()
        store.rows, store.version = (make_row("a"),), 2
        await asyncio.sleep(0.6)
        assert is_evacuated()
        await starting
        await owner.stop()

    run_in_virtual_time(run())


def test_an_owner_makes_no_call_for_evacuations_where_there_are_none():
    async def run():
        store = EvacuationStore()
        owner = make_owner(store, evacuations=None)
        await owner.start()
        await asyncio.sleep(3.0)
        assert "op" not in {read[0] for read in store.reads}
        await owner.stop()

    run_in_virtual_time(run())


def test_evacuations_are_seen_though_the_store_has_dropped_its_history():
    class ForgetfulStore(EvacuationStore):
        """A store that never holds the changes that a feed asks for."""

        async def follow(self, table, after, wait_ms):
            return Failure(HistoryTruncated())

    async def run():
        store = ForgetfulStore((make_row("a"),))
        owner = make_owner(store)
        await owner.start()
        await asyncio.sleep(1.0)
        assert owner.shard.evacuations.domains == {"a"}
        store.rows, store.version = (make_row("b", 2),), 2
        await asyncio.sleep(1.0)
        assert owner.shard.evacuations.domains == {"b"}
        await owner.stop()

    run_in_virtual_time(run())


def test_an_owner_that_is_replaced_before_it_starts_reads_nothing():
    async def run():
        store = EvacuationStore()
        owner = make_owner(store)
        owner.relinquish("the owner row has changed")
        await owner.start()
        await asyncio.sleep(3.0)
        assert store.reads == []

    run_in_virtual_time(run())


async def watch_for(store, seconds, evacuations):
    """Run a watch for some time."""
    watch = EvacuationWatch(store, LISTING, evacuations, LoopClock(), {})
    running = asyncio.create_task(watch.run())
    await asyncio.sleep(seconds)
    running.cancel()
    await asyncio.wait([running])


def test_the_range_is_read_twice_a_second():
    store = EvacuationStore()
    run_in_virtual_time(watch_for(store, 9.9, Evacuations(decode)))
    assert store.reads == [("op", "", PREFIX, "evacuate0")] * 20


def test_the_last_known_evacuations_stay_in_force_while_the_store_is_away():
    evacuations = Evacuations(decode)
    evacuations.apply((make_row("a"),), 1, 0.0)
    run_in_virtual_time(watch_for(EvacuationStore(rows=None), 9.9, evacuations))
    assert evacuations.domains == {"a"}


def test_a_read_without_an_answer_does_not_hold_up_the_next():
    class HalfSilentStore(EvacuationStore):
        """A store of which each second read gets no answer."""

        async def read(self, *key_range):
            if len(self.reads) % 2 == 0:
                self.reads.append(key_range)
                await asyncio.sleep(60.0)
            return await super().read(*key_range)

    evacuations = Evacuations(decode)
    store = HalfSilentStore((make_row("a"),))
    run_in_virtual_time(watch_for(store, 1.0, evacuations))
    assert evacuations.domains == {"a"}


class Peers:
    """Peers that the store answers; every second one is itself not reached."""

    def __init__(self, *rows):
        self.rows = rows
        self.asked = 0

    async def ask(self, address, message, timeout_s):
        self.asked += 1
        if self.asked % 2:
            await asyncio.sleep(timeout_s)
            return None
        await asyncio.sleep(0.004)
        return RelayReply("done", 7, self.rows)


def test_a_peer_reads_for_an_owner_that_the_store_turns_away():
    direct = EvacuationStore(rows=None)
    peers = Peers(make_row("a"))
    store = RelayedStore(direct, peers, lambda: ["b", "c", "d"], LoopClock())
    evacuations = Evacuations(decode)
    run_in_virtual_time(watch_for(store, 3.0, evacuations))
    assert evacuations.domains == {"a"}


def test_a_slow_store_does_not_make_what_was_read_too_old():
    class SlowStore(EvacuationStore):
        """A store that answers after 1.5 s."""

        async def read(self, *key_range):
            await asyncio.sleep(1.5)
            return await super().read(*key_range)

    async def run():
        evacuations, clock = Evacuations(decode, BOUND_S), LoopClock()
        watching = asyncio.create_task(watch_for(SlowStore(), 20.0, evacuations))
        await asyncio.sleep(2.0)
        while not watching.done():
            assert evacuations.are_known(clock.monotonic())
            assert clock.monotonic() - evacuations.read_s < 2.1
            await asyncio.sleep(0.1)

    run_in_virtual_time(run())


def watch_and_list_lines(store, seconds, bound_s=BOUND_S):
    """Run a watch for some time, and return its log lines."""
    with logbook.TestHandler() as handler:
        evacuations = Evacuations(decode, bound_s)
        run_in_virtual_time(watch_for(store, seconds, evacuations))
    return handler.records


def test_each_change_is_logged_once_with_domain_revision_and_age():
    store = EvacuationStore((make_row("a", 3),))
    (line,) = watch_and_list_lines(store, 3.0)
    assert line.message == "domain evacuated"
    assert line.extra == {"domain": "a", "revision": 3, "age_s": None}


def test_a_store_that_is_away_is_logged_once_and_so_is_the_wait_of_starts():
    lines = watch_and_list_lines(EvacuationStore(rows=None), 9.9)
    assert [line.message for line in lines] == [
        "evacuations not read",
        "evacuations unknown; starts wait",
    ]


def test_thousands_of_rows_are_logged_in_a_bounded_number_of_lines():
    rows = tuple(make_row(f"z{number}") for number in range(5_000))
    lines = watch_and_list_lines(EvacuationStore(rows), 3.0)
    assert len(lines) < 30
    assert lines[-1].extra == {"changes": 5_000}
