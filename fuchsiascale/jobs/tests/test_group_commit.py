"""Submissions that share a transaction."""

import asyncio

from returns.result import Failure, Success

from fuchsiascale.clock import ManualClock
from fuchsiascale.jobs import Change, Conflict, Expect, OwnerView, Rejected, RowKey
from fuchsiascale.jobs._group_commit import (
    MAX_GROUP_ENTRIES,
    GroupCommitter,
    PendingWrite,
)
from fuchsiascale.testing import collect_functions

load_tests = collect_functions(__name__)

VIEW = OwnerView("pool", None, 3)


class FakeStore:
    """Accepts writes, but none that holds one of the given keys."""

    def __init__(self, stored_keys=(), rejected_keys=()):
        self.stored_keys = set(stored_keys)
        self.rejected_keys = set(rejected_keys)
        self.groups = []

    async def commit(self, expected, changes):
        await asyncio.sleep(0)
        keys = [change.place.key for change in changes]
        self.groups.append(keys)
        if self.stored_keys & set(keys):
            return Failure(Conflict())
        if self.rejected_keys & set(keys):
            return Failure(Rejected())
        return Success(len(self.groups))


def make_write(key, view=VIEW, conditions=1):
    row_key = RowKey("jobs", "pool", key)
    expected = (Expect(row_key, 0),) * conditions
    return PendingWrite(view, expected, Change(row_key, b"x"))


async def test_submissions_queued_during_a_transaction_share_the_next():
    store = FakeStore()
    committer = GroupCommitter(store, ManualClock())
    replies = await asyncio.gather(
        *(committer.commit(make_write(key)) for key in "abcd")
    )
    assert all(isinstance(reply, Success) for reply in replies)
    assert store.groups == [["a", "b", "c", "d"]]


async def test_a_submission_stored_already_does_not_fail_the_others_of_its_group():
    committer = GroupCommitter(FakeStore(stored_keys="b"), ManualClock())
    replies = await asyncio.gather(
        *(committer.commit(make_write(key)) for key in "abc")
    )
    assert [isinstance(reply, Success) for reply in replies] == [True, False, True]


async def test_a_submission_that_is_rejected_does_not_fail_the_others_of_its_group():
    committer = GroupCommitter(FakeStore(rejected_keys="b"), ManualClock())
    replies = await asyncio.gather(
        *(committer.commit(make_write(key)) for key in "abc")
    )
    assert [isinstance(reply, Success) for reply in replies] == [True, False, True]


async def test_submissions_under_different_owners_are_written_separately():
    store = FakeStore()
    committer = GroupCommitter(store, ManualClock())
    other = OwnerView("pool", None, 4)
    await asyncio.gather(
        committer.commit(make_write("a")), committer.commit(make_write("b", other))
    )
    assert store.groups == [["a"], ["b"]]


async def test_a_transaction_holds_at_most_the_allowed_entries():
    for conditions in (1, 2, 4, 10):
        store = FakeStore()
        committer = GroupCommitter(store, ManualClock())
        largest = MAX_GROUP_ENTRIES // (conditions + 1)
        await asyncio.gather(
            *(
                committer.commit(make_write(str(key), conditions=conditions))
                for key in range(largest + 1)
            )
        )
        assert [len(group) for group in store.groups] == [largest, 1]


async def test_a_submission_with_many_conditions_forms_a_group_of_its_own():
    store = FakeStore()
    committer = GroupCommitter(store, ManualClock())
    writes = [make_write(key, conditions=MAX_GROUP_ENTRIES + 8) for key in "ab"]
    await asyncio.gather(*map(committer.commit, writes))
    assert store.groups == [["a"], ["b"]]


class SlowStore(FakeStore):
    """A store whose transactions take a second."""

    def __init__(self, clock):
        super().__init__()
        self.clock = clock

    async def commit(self, expected, changes):
        self.clock.advance(1.0)
        return await super().commit(expected, changes)


async def test_a_store_counts_as_slow_for_some_seconds_after_a_slow_transaction():
    clock = ManualClock()
    committer = GroupCommitter(SlowStore(clock), clock)
    assert not committer.is_slow()
    await committer.commit(make_write("a"))
    assert committer.is_slow()
    clock.advance(3.1)
    assert not committer.is_slow()


async def test_a_store_counts_as_slow_while_a_transaction_takes_long():
    clock, seen = ManualClock(), []

    class WaitingStore(FakeStore):
        async def commit(self, expected, changes):
            clock.advance(0.2)
            seen.append(committer.is_slow())
            return Success(1)

    committer = GroupCommitter(WaitingStore(), clock)
    await committer.commit(make_write("a"))
    assert seen == [True]
