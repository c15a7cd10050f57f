"""Submissions that wait while one is being written share the next transaction."""

import asyncio

import msgspec
from returns.result import Failure, Success

from fuchsiascale.jobs._ports import Busy, Change, Conflict, Expect
from fuchsiascale.jobs._records import owner_place

__all__ = ["GroupedWrites", "PendingWrite"]

MAX_WRITES = 24
"""Submissions in a transaction; each has three of the 100 entries allowed."""
SLOW_S = 0.15
"""Time of a transaction from which the store counts as slow; it mostly takes 10 ms."""
SLOW_PERIOD_S = 3.0
"""Time for which it counts as slow after that."""
MAX_BYTES = 500_000
"""Bytes of a transaction's values; 1 MB is allowed, in base64."""


class PendingWrite(msgspec.Struct, frozen=True):
    """A submission to be written under the owner that ``view`` shows."""

    view: object
    expected: tuple[Expect, ...]
    change: Change


class GroupedWrites:
    """Writes submissions, one transaction at a time.

    While the store is slow, a partition takes only some commits a second; the number
    of transactions then follows their pace and not that of the submissions.

    Parameters
    ----------
    store : StorePort
        The store.
    clock : Clock
        Source of time.
    """

    def __init__(self, store, clock):
        self._store = store
        self._clock = clock
        self._slow_until_s = None
        self._began_s = None
        self._queue = []
        self._task = None

    def slow(self):
        """Return whether transactions have lately taken long."""
        now_s = self._clock.monotonic()
        if self._began_s is not None and now_s - self._began_s > SLOW_S:
            return True
        return self._slow_until_s is not None and now_s < self._slow_until_s

    def withdraw(self, write):
        """Take back a submission that has not been sent; returns whether it was."""
        for entry in self._queue:
            if entry[0] is write:
                self._queue.remove(entry)
                return True
        return False

    async def commit(self, write):
        """Write one submission; returns what the store says of it."""
        done = asyncio.get_running_loop().create_future()
        self._queue.append((write, done))
        if self._task is None:
            self._task = asyncio.create_task(self._drain())
        return await done

    async def _drain(self):
        try:
            while self._queue:
                await self._write_group(self._take_group())
        finally:
            self._task = None
            for _, done in self._queue:
                _answer(done, Failure(Busy("the writer stopped")))
            self._queue = []

    def _take_group(self):
        """Return submissions under the same owner row, within the limits."""
        view = self._queue[0][0].view
        group, size = [], 0
        for entry in self._queue[:MAX_WRITES]:
            size += len(entry[0].change.value)
            if entry[0].view != view or (group and size > MAX_BYTES):
                break
            group.append(entry)
        del self._queue[: len(group)]
        return group

    async def _write_group(self, group):
        reply = await self._commit([write for write, _ in group])
        changed = not isinstance(reply, Success) and isinstance(
            reply.failure(), Conflict
        )
        if changed and len(group) > 1:
            # One of the conditions failed: only that submission is to hear of it.
            for write, done in group:
                _answer(done, await self._commit([write]))
            return
        for _, done in group:
            _answer(done, reply)

    async def _commit(self, writes):
        view = writes[0].view
        owner = Expect(owner_place(view.service), view.version)
        expected = [condition for write in writes for condition in write.expected]
        changes = tuple(write.change for write in writes)
        began_s = self._began_s = self._clock.monotonic()
        try:
            return await self._store.commit((owner, *expected), changes)
        finally:
            self._began_s = None
            now_s = self._clock.monotonic()
            if now_s - began_s > SLOW_S:
                self._slow_until_s = now_s + SLOW_PERIOD_S


def _answer(done, reply):
    if not done.done():
        done.set_result(reply)
