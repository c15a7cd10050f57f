"""Contract tests of the tables port, with a table of faults."""

import aiohttp
import msgspec
from returns.result import Success

from fuchsiascale.ids import WriteId
from fuchsiascale.platform import (
    Conflict,
    Delete,
    HttpTables,
    Put,
    Row,
    Transaction,
    Unavailable,
    Uncertain,
)
from fuchsiascale.platform._tables import Unresolved, resolve_outcome
from fuchsiascale.platform.tests._standins import TIMEOUT_S, set_faults
from fuchsiascale.testing import collect_functions
from standins._journal import Event

load_tests = collect_functions(__name__)

VALUE = msgspec.Raw(b'{"n":1}')
OURS = WriteId("ours")
THEIRS = WriteId("theirs")

# name, faults, result of a write under them, number of commits
WRITE_FAULTS = (
    ("none", {}, Success, 1),
    ("down", {"down": True}, Unavailable, 0),
    ("responds with 503", {"unavailable": True}, Unavailable, 0),
    ("slow within the timeout", {"slow_ms": 100}, Success, 1),
    ("reply lost", {"cut": {"after_effect": 1}}, Success, 1),
    ("reply lost, then the next one too", {"cut": {"after_effect": 2}}, Success, 1),
    ("reply truncated", {"truncated_answers": 1}, Success, 1),
    ("request lost", {"cut": {"before_body": 1}}, Success, 1),
    ("request lost in its body", {"cut": {"during_body": 1}}, Success, 1),
    ("request lost after its body", {"cut": {"after_body": 2}}, Success, 1),
    ("every reply lost", {"cut": {"after_effect": 99}}, Uncertain, 1),
)


def put(key, expected_version=0, value=VALUE):
    return Put(table="jobs", key=key, expected_version=expected_version, value=value)


def delete(key, expected_version):
    return Delete(table="jobs", key=key, expected_version=expected_version)


def row(key, version, write_id=THEIRS):
    return Row(table="jobs", key=key, version=version, write_id=write_id, value=VALUE)


def write(write_id, *puts, deletes=()):
    return Transaction(write_id=WriteId(write_id), puts=puts, deletes=deletes)


def classify_result(result):
    return Success if isinstance(result, Success) else type(result.failure())


async def test_rows_are_read_as_written(tables_standin):
    async with aiohttp.ClientSession() as session:
        tables = HttpTables(session, tables_standin.base_url, TIMEOUT_S)
        assert await tables.get("jobs", "a") == Success(None)
        keys = ("a/1", "a/2", "a/..", "a/%2F?#", "b")
        written = await tables.transact(write("w", *map(put, keys)))
        assert [found.key for found in written.unwrap()] == list(keys)
        for key in keys:
            found = (await tables.get("jobs", key)).unwrap()
            assert (found.version, found.write_id, found.value) == (1, "w", VALUE)
        first = (await tables.scan("jobs", "a/", limit=3)).unwrap()
        last = (await tables.scan("jobs", "a/", after=first.next_after)).unwrap()
        assert [r.key for r in first.rows + last.rows] == sorted(keys)[:4]
        assert last.next_after == ""


async def test_conflicts_change_nothing(tables_standin):
    async with aiohttp.ClientSession() as session:
        tables = HttpTables(session, tables_standin.base_url, TIMEOUT_S)
        await tables.transact(write("w1", put("a"), put("b")))
        both = write("w2", put("a", 1), put("b", 7))
        refused = (await tables.transact(both)).failure()
        assert isinstance(refused, Conflict)
        assert [(r.key, r.version) for r in refused.rows] == [("b", 1)]
        assert (await tables.get("jobs", "a")).unwrap().version == 1
        removal = write("w3", put("a", 1), deletes=(delete("b", 1),))
        assert classify_result(await tables.transact(removal)) is Success
        assert await tables.get("jobs", "b") == Success(None)
        again = (await tables.transact(write("w4", put("b")))).unwrap()
        assert again[0].version > 1


async def test_writes_under_faults(tables_standin):
    for name, faults, expected, commits in WRITE_FAULTS:
        async with aiohttp.ClientSession() as session:
            tables = HttpTables(session, tables_standin.base_url, TIMEOUT_S)
            await set_faults(tables_standin, **faults)
            result = await tables.transact(write(name, put(name)))
            await set_faults(tables_standin)
            found = (await tables.get("jobs", name)).unwrap()
        assert classify_result(result) is expected, (name, result)
        assert (found is not None) == bool(commits), name
        committed = [
            entry
            for entry in tables_standin.read_journal()
            if entry.event is Event.COMMITTED and entry.write_id == name
        ]
        assert len(committed) == commits, name


async def test_deletes_with_a_lost_reply(tables_standin):
    async with aiohttp.ClientSession() as session:
        tables = HttpTables(session, tables_standin.base_url, TIMEOUT_S)
        await tables.transact(write("w1", put("a"), put("b")))
        await set_faults(tables_standin, cut={"after_effect": 1})
        mixed = write("w2", put("a", 1), deletes=(delete("b", 1),))
        assert (await tables.transact(mixed)).unwrap()[0].version == 2
        await set_faults(tables_standin, cut={"after_effect": 1})
        alone = write("w3", deletes=(delete("a", 2),))
        assert await tables.transact(alone) == Success(())
        assert (await tables.scan("jobs", "")).unwrap().rows == ()


def test_rows_read_back_resolve_the_outcome():
    update = write(OURS, put("a", 3), put("b", 5))
    insert = write(OURS, put("a"))
    removal = write(OURS, deletes=(delete("a", 3),))
    cases = (
        (update, (row("a", 4, OURS), row("b", 6, OURS)), Success),
        (update, (row("a", 9), row("b", 6, OURS)), Success),
        (update, (row("a", 3), row("b", 5)), Unresolved),
        (update, (row("a", 4), row("b", 5)), Conflict),
        (update, (row("a", 9), row("b", 5)), Conflict),
        (update, (row("a", 9), row("b", 9)), Uncertain),
        (update, (None, None), Uncertain),
        (insert, (None,), Unresolved),
        (insert, (row("a", 1),), Conflict),
        (insert, (row("a", 2),), Uncertain),
        (removal, (None,), Success),
        (removal, (row("a", 3),), Unresolved),
        (removal, (row("a", 9),), Uncertain),
    )
    for transaction, read, expected in cases:
        found = resolve_outcome(transaction, read)
        if expected is Unresolved:
            assert found.readable, (transaction, read)
        else:
            assert classify_result(found) is expected, (transaction, read, found)


async def test_reads_under_faults(tables_standin):
    for faults in (
        {"down": True},
        {"unavailable": True},
        {"slow_ms": 900},
        {"truncated_answers": 1},
    ):
        async with aiohttp.ClientSession() as session:
            tables = HttpTables(session, tables_standin.base_url, TIMEOUT_S)
            await set_faults(tables_standin, **faults)
            got = await tables.get("jobs", "a")
            await set_faults(tables_standin, **faults)
            scanned = await tables.scan("jobs", "")
            await set_faults(tables_standin)
        assert isinstance(got.failure(), Unavailable), faults
        assert isinstance(scanned.failure(), Unavailable), faults
