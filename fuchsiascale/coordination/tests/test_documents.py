"""Tests of the document replica with an in-memory table service."""

import asyncio
import random

import msgspec
from returns.result import Failure

from fuchsiascale.clock import ManualClock
from fuchsiascale.coordination import (
    DocumentReplica,
    EditConflict,
    EditForbidden,
    EditInvalid,
    EditRequest,
    EditUnavailable,
    EditUncertain,
)
from fuchsiascale.platform.tests.fakes import FakeTables
from fuchsiascale.testing import collect_functions, fixture

load_tests = collect_functions(__name__)

BASE = """
[team hub]
team = admin
[team ledger]
team = admin
[team admin]
team = admin
[service aula-hub]
team = hub
slots = 8
[kind review]
team = hub
"""


async def skip_sleep(seconds):
    return None


def make_replica(tables, name="one", peers=(), history_limit=2_000):
    replicas_by_name = {peer._instance: peer for peer in peers}

    async def fetch(address, request):
        return (
            replicas_by_name[address].build_sections_reply(request)
            if address in replicas_by_name
            else None
        )

    return DocumentReplica(
        name,
        tables,
        fetch,
        ManualClock(),
        random.Random(name),
        sleep=skip_sleep,
        history_limit=history_limit,
    )


@fixture
def tables():
    yield FakeTables()


@fixture
def replica(tables):
    yield make_replica(tables)


async def write_base(replica):
    reply = await replica.edit(EditRequest(text=BASE), "admin", admin=True)
    return reply.unwrap()


async def test_an_edit_applies_at_once_locally_and_after_a_poll_elsewhere(
    tables, replica
):
    assert (await write_base(replica)).revision == 1
    assert replica.fleet().services["aula-hub"].slots == 8
    other = make_replica(tables, "two")
    assert not other.ready()
    assert await other.poll()
    assert other.ready()
    assert other.fleet() == replica.fleet()


async def test_a_poll_of_an_unchanged_document_reads_the_head_row_only(tables, replica):
    await write_base(replica)
    tables.reads.clear()
    await replica.poll()
    assert tables.reads == ["document-head"]


async def test_a_race_for_one_section_is_a_conflict_that_names_both_revisions(
    tables, replica
):
    await write_base(replica)
    read = replica.sections()
    first = EditRequest(text="[kind review]\nteam=hub\nmax_failures=5", expected=read)
    second = EditRequest(text="[kind review]\nteam=hub\nmax_failures=6", expected=read)
    (await replica.edit(first, "hub")).unwrap()
    error = (await make_replica(tables, "two").edit(second, "hub")).failure()
    assert isinstance(error, EditConflict)
    assert "revision 1" in error.conflicts[0]
    assert "revision 2" in error.conflicts[0]


async def test_an_edit_that_conflicts_on_the_head_row_only_is_retried(tables, replica):
    await write_base(replica)
    read = replica.sections()
    other = make_replica(tables, "two")
    review = EditRequest(text="[kind review]\nteam=hub\nmax_failures=5", expected=read)
    hub = EditRequest(text="[service aula-hub]\nteam=hub\nslots=4", expected=read)

    async def edit_between():
        (await other.edit(review, "hub")).unwrap()

    tables.before_transact = edit_between
    assert (await replica.edit(hub, "hub")).unwrap().revision == 3
    assert replica.fleet().kinds["review"].max_failures == 5
    assert replica.fleet().services["aula-hub"].slots == 4


async def test_rejected_edits_change_nothing(replica):
    await write_base(replica)
    read = replica.sections()
    table = (
        ("[kind review]\nteam=ledger", EditForbidden, "[kind review]"),
        ("[kind new]\nteam=hub", EditForbidden, "[kind new]"),
        ("[team mine]\nteam=ledger", EditForbidden, "[team mine]"),
        ("[kind new]\nteam=ledger\nmax_failures=0", EditInvalid, "max_failures"),
        ("[kind new]\nteam=ledger\nfailures=1", EditInvalid, "failures"),
        ("[drawer new]\nteam=ledger", EditInvalid, "[drawer new]"),
        ("[kind new]\nurgency=batch", EditInvalid, "team"),
        ("kind", EditInvalid, "line"),
    )
    for text, kind, named in table:
        result = await replica.edit(EditRequest(text=text, expected=read), "ledger")
        assert isinstance(result, Failure), text
        assert isinstance(result.failure(), kind), (text, result)
        assert named in str(result.failure().problems[0]), (text, result)
    assert replica.revision() == 1


async def test_an_equal_document_is_accepted_without_a_new_revision(replica):
    await write_base(replica)
    assert (await write_base(replica)).revision == 1


async def set_max_failures(replica, count, team="hub"):
    text = f"[kind review]\nteam=hub\nmax_failures={count}"
    request = EditRequest(text=text, expected=replica.sections())
    return await replica.edit(request, team)


async def test_a_lost_reply_is_resolved_by_the_history_row(tables, replica):
    await write_base(replica)
    tables.lost_replies = 1
    assert (await set_max_failures(replica, 5)).unwrap().revision == 2
    assert replica.fleet().kinds["review"].max_failures == 5


async def test_an_overwritten_edit_with_a_lost_reply_is_accepted(tables, replica):
    await write_base(replica)
    other = make_replica(tables, "two")
    tables.lost_replies = 1

    async def overwrite_edit():
        await other.poll()
        (await set_max_failures(other, 9)).unwrap()

    tables.after_lost_reply = overwrite_edit
    assert (await set_max_failures(replica, 5)).unwrap().revision == 2
    await replica.poll()
    assert replica.revision() == 3
    assert replica.fleet().kinds["review"].max_failures == 9


async def test_an_edit_with_an_unknown_result_names_its_revision(tables, replica):
    await write_base(replica)
    tables.lost_replies = 1

    async def stop_tables():
        tables.down = True

    tables.after_lost_reply = stop_tables
    error = (await set_max_failures(replica, 5)).failure()
    assert isinstance(error, EditUncertain)
    assert error.revision == 2
    tables.down = False
    assert (await set_max_failures(replica, 5)).unwrap().revision == 2


async def test_an_edit_during_an_outage_changes_nothing(tables, replica):
    await write_base(replica)
    tables.down = True
    error = (await set_max_failures(replica, 5)).failure()
    assert isinstance(error, EditUnavailable)
    assert replica.revision() == 1
    assert not replica.store_reachable()


async def test_a_new_instance_reads_the_newest_document_from_peers_in_an_outage(tables):
    first, second = make_replica(tables, "one"), make_replica(tables, "two")
    await write_base(first)
    await second.poll()
    (await set_max_failures(first, 5)).unwrap()
    tables.down = True
    new = make_replica(tables, "new", (first, second))
    assert not await new.poll()
    assert not new.ready()
    assert await new.pull(["two", "absent", "one"])
    assert new.ready()
    assert new.fleet() == first.fleet()
    assert not await new.pull(["two"])
    assert new.revision() == 2


async def test_a_replica_never_returns_to_an_older_revision(tables, replica):
    await write_base(replica)
    old = make_replica(tables, "two")
    await old.poll()
    (await set_max_failures(replica, 5)).unwrap()
    reader = make_replica(tables, "three", (old, replica))
    await reader.poll()
    await reader.pull(["two"])
    assert reader.revision() == 2


async def test_racing_edits_of_many_sections_are_all_accepted(tables, replica):
    await write_base(replica)
    replicas = [make_replica(tables, f"racer-{number}") for number in range(8)]

    async def create(number):
        text = f"[kind race-{number}]\nteam=hub"
        return await replicas[number].edit(EditRequest(text=text), "hub")

    replies = await asyncio.gather(*(create(number) for number in range(8)))
    assert sorted(reply.unwrap().revision for reply in replies) == list(range(2, 10))
    await replica.poll()
    assert len(replica.fleet().kinds) == 9


async def test_a_removed_section_is_removed_from_every_replica(tables, replica):
    await write_base(replica)
    other = make_replica(tables, "two")
    await other.poll()
    request = EditRequest(
        text="", removed=("kind review",), expected=replica.sections()
    )
    (await replica.edit(request, "hub")).unwrap()
    await other.poll()
    assert other.fleet().kinds == {}
    assert "kind review" not in other.text()
    again = EditRequest(text="[kind review]\nteam=hub")
    (await other.edit(again, "hub")).unwrap()
    assert set(other.fleet().kinds) == {"review"}


async def test_compaction_deletes_old_history_and_removed_sections(tables):
    replica = make_replica(tables, history_limit=5)
    await write_base(replica)
    late, behind = (
        make_replica(tables, "late"),
        make_replica(tables, "behind", (replica,)),
    )
    await late.poll()
    await behind.poll()
    request = EditRequest(
        text="", removed=("service aula-hub",), expected=replica.sections()
    )
    (await replica.edit(request, "hub")).unwrap()
    for count in range(10, 30):
        (await set_max_failures(replica, count)).unwrap()
    assert await replica.compact()
    tables_of_rows = [table for table, _ in tables.rows]
    assert tables_of_rows.count("document-history") == 5
    assert ("document", "service aula-hub") not in tables.rows
    await late.poll()
    assert late.fleet() == replica.fleet()
    tables.down = True
    await behind.pull(["one"])
    assert behind.fleet() == replica.fleet()


async def test_history_lists_the_last_edits_newest_first(tables, replica):
    await write_base(replica)
    (await set_max_failures(replica, 5)).unwrap()
    (await set_max_failures(replica, 6)).unwrap()
    entries = (await replica.history(limit=2)).unwrap()
    assert [entry.revision for entry in entries] == [3, 2]


async def test_an_unreadable_document_leaves_the_last_one_in_force(tables, replica):
    await write_base(replica)
    other = make_replica(tables, "two")
    await other.poll()
    (await set_max_failures(replica, 5)).unwrap()
    for key, row in tables.rows.items():
        value = bytes(row.value).replace(b"max_failures", b"max_mistakes")
        tables.rows[key] = msgspec.structs.replace(row, value=msgspec.Raw(value))
    assert await other.poll()
    assert other.revision() == 1
    assert "max_mistakes" in str(other.problems()[0])


async def test_a_check_only_edit_writes_nothing(tables, replica):
    await write_base(replica)
    request = EditRequest(text="[kind new]\nteam=hub", check_only=True)
    assert (await replica.edit(request, "hub")).unwrap().accepted
    assert replica.revision() == 1
    assert len([key for key in tables.rows if key[0] == "document-history"]) == 1


async def test_a_slow_read_does_not_revert_a_newer_document_from_a_peer(
    tables, replica
):
    await write_base(replica)
    late = make_replica(tables, "late", (replica,))
    scan = tables.scan

    async def scan_while_a_peer_is_ahead(*arguments, **options):
        found = await scan(*arguments, **options)
        if late.revision() == 0:
            (await set_max_failures(replica, 5)).unwrap()
            assert await late.pull(["one"])
        return found

    tables.scan = scan_while_a_peer_is_ahead
    assert await late.poll()
    assert late.revision() == 2
    assert late.fleet() == replica.fleet()
