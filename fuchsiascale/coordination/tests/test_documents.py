"""Tests of the document keeper on a table service in memory."""

import random

from returns.result import Failure

from fuchsiascale.clock import ManualClock
from fuchsiascale.coordination import (
    DocumentKeeper,
    EditConflict,
    EditForbidden,
    EditInvalid,
    EditRequest,
)
from fuchsiascale.coordination.tests.fakes import MemoryTables
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


async def no_peer(address, request):
    return None


async def no_wait(seconds):
    return None


def make_keeper(tables, name="one", fetch=no_peer):
    return DocumentKeeper(
        name, tables, fetch, ManualClock(), random.Random(7), sleep=no_wait
    )


@fixture
def tables():
    yield MemoryTables()


@fixture
def keeper(tables):
    yield make_keeper(tables)


async def write_base(keeper):
    reply = await keeper.edit(EditRequest(text=BASE), "admin", admin=True)
    return reply.unwrap()


async def test_an_edit_is_in_force_at_once_and_elsewhere_after_a_poll(tables, keeper):
    assert (await write_base(keeper)).revision == 1
    assert keeper.fleet().services["aula-hub"].slots == 8
    other = make_keeper(tables, "two")
    assert not other.ready()
    assert await other.poll()
    assert other.ready()
    assert other.fleet() == keeper.fleet()


async def test_a_poll_of_an_unchanged_document_reads_the_head_row_only(tables, keeper):
    await write_base(keeper)
    tables.reads.clear()
    await keeper.poll()
    assert tables.reads == ["document-head"]


async def test_a_race_for_one_section_is_a_conflict_that_names_both(tables, keeper):
    await write_base(keeper)
    read = keeper.sections()
    first = EditRequest(text="[kind review]\nteam=hub\nmax_failures=5", expected=read)
    second = EditRequest(text="[kind review]\nteam=hub\nmax_failures=6", expected=read)
    (await keeper.edit(first, "hub")).unwrap()
    error = (await make_keeper(tables, "two").edit(second, "hub")).failure()
    assert isinstance(error, EditConflict)
    assert "revision 1" in error.conflicts[0]
    assert "revision 2" in error.conflicts[0]


async def test_an_edit_that_loses_the_head_only_is_tried_again(tables, keeper):
    await write_base(keeper)
    read = keeper.sections()
    other = make_keeper(tables, "two")
    review = EditRequest(text="[kind review]\nteam=hub\nmax_failures=5", expected=read)
    hub = EditRequest(text="[service aula-hub]\nteam=hub\nslots=4", expected=read)

    async def edit_between():
        (await other.edit(review, "hub")).unwrap()

    tables.before_transact = edit_between
    assert (await keeper.edit(hub, "hub")).unwrap().revision == 3
    assert keeper.fleet().kinds["review"].max_failures == 5
    assert keeper.fleet().services["aula-hub"].slots == 4


async def test_refused_edits_change_nothing(keeper):
    await write_base(keeper)
    read = keeper.sections()
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
        result = await keeper.edit(EditRequest(text=text, expected=read), "ledger")
        assert isinstance(result, Failure), text
        assert isinstance(result.failure(), kind), (text, result)
        assert named in str(result.failure().problems[0]), (text, result)
    assert keeper.revision() == 1


async def test_an_equal_document_is_accepted_without_a_new_revision(keeper):
    await write_base(keeper)
    assert (await write_base(keeper)).revision == 1
