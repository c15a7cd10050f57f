"""Submissions that share a transaction."""

import asyncio

from returns.result import Failure, Success

from fuchsiascale.clock import ManualClock
from fuchsiascale.jobs import Change, Conflict, Expect, OwnerView, RowKey
from fuchsiascale.jobs._groups import MAX_WRITES, GroupedWrites, PendingWrite
from fuchsiascale.testing import collect_functions

load_tests = collect_functions(__name__)

VIEW = OwnerView("pool", None, 3)


class FakeStore:
    """Takes writes, but none that holds a given key."""

    def __init__(self, taken=()):
        self.taken = set(taken)
        self.groups = []

    async def commit(self, expected, changes):
        await asyncio.sleep(0)
        keys = [change.place.key for change in changes]
        self.groups.append(keys)
        if self.taken & set(keys):
            return Failure(Conflict())
        return Success(len(self.groups))


def make_write(key, view=VIEW):
    place = RowKey("jobs", "pool", key)
    return PendingWrite(view, (Expect(place, 0),), Change(place, b"x"))


async def test_what_waits_during_a_transaction_shares_the_next():
    store = FakeStore()
    writes = GroupedWrites(store, ManualClock())
    replies = await asyncio.gather(*(writes.commit(make_write(key)) for key in "abcd"))
    assert all(isinstance(reply, Success) for reply in replies)
    assert store.groups == [["a", "b", "c", "d"]]


async def test_a_submission_that_is_there_already_does_not_spoil_the_others():
    writes = GroupedWrites(FakeStore(taken="b"), ManualClock())
    replies = await asyncio.gather(*(writes.commit(make_write(key)) for key in "abc"))
    assert [isinstance(reply, Success) for reply in replies] == [True, False, True]


async def test_submissions_under_different_owners_are_written_apart():
    store = FakeStore()
    writes = GroupedWrites(store, ManualClock())
    other = OwnerView("pool", None, 4)
    await asyncio.gather(
        writes.commit(make_write("a")), writes.commit(make_write("b", other))
    )
    assert store.groups == [["a"], ["b"]]


async def test_a_transaction_holds_no_more_than_it_may():
    store = FakeStore()
    writes = GroupedWrites(store, ManualClock())
    await asyncio.gather(
        *(writes.commit(make_write(str(key))) for key in range(MAX_WRITES + 1))
    )
    assert [len(group) for group in store.groups] == [MAX_WRITES, 1]


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
    writes = GroupedWrites(SlowStore(clock), clock)
    assert not writes.slow()
    await writes.commit(make_write("a"))
    assert writes.slow()
    clock.advance(3.1)
    assert not writes.slow()


async def test_a_store_counts_as_slow_while_a_transaction_takes_long():
    clock, seen = ManualClock(), []

    class WaitingStore(FakeStore):
        async def commit(self, expected, changes):
            clock.advance(0.2)
            seen.append(writes.slow())
            return Success(1)

    writes = GroupedWrites(WaitingStore(), clock)
    await writes.commit(make_write("a"))
    assert seen == [True]
