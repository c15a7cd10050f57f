"""Group commit: submissions queued during a transaction share the next one."""

import asyncio

import msgspec
from returns.result import Failure, Success

from fuchsiascale.jobs._ports import Busy, Change, Conflict, Expect, Rejected
from fuchsiascale.jobs._records import owner_row_key
from fuchsiascale.jobs._store_silence import StoreSilence

__all__ = ["GroupCommitter", "PendingWrite"]

MAX_GROUP_ENTRIES = 72
"""Entries of a group of submissions in a transaction, which may have 100. A submission
takes three, and two more for each service that its queue may have been sent to."""
SLOW_TRANSACTION_S = 0.15
"""Duration of a transaction above which the store counts as slow; usual are 10 ms."""
SLOW_PERIOD_S = 3.0
"""How long the store counts as slow after such a transaction."""
HOLD_CHECK_S = 0.02
"""Period at which it is checked whether held submissions can be sent."""
MAX_GROUP_BYTES = 500_000
"""Bytes of the values in a transaction; the store allows 1 MB, encoded in base64."""


class PendingWrite(msgspec.Struct, frozen=True):
    """A submission to write, on condition that the owner row is that of ``view``."""

    view: object
    expected: tuple[Expect, ...]
    change: Change


class _Entry:
    """A queued submission, and the future of the store's reply to it."""

    __slots__ = ("reply", "write")

    def __init__(self, write, reply):
        self.write = write
        self.reply = reply


class GroupCommitter:
    """Writes submissions, one transaction at a time.

    A slow store executes only a few commits a second in a partition. Grouping makes
    the number of transactions depend on the speed of the store, and not on the rate
    of submissions.

    Parameters
    ----------
    store : StorePort
        The store.
    clock : Clock
        Source of time.
    silence : StoreSilence, optional
        Whether the store is silent.
    """

    def __init__(self, store, clock, silence=None):
        self._store = store
        self._clock = clock
        self._silence = silence or StoreSilence(clock)
        self._slow_until_s = None
        self._started_s = None
        self._queue = []
        self._task = None

    def is_slow(self):
        """Return whether recent transactions have taken long."""
        now_s = self._clock.monotonic()
        if self._started_s is not None and now_s - self._started_s > SLOW_TRANSACTION_S:
            return True
        return self._slow_until_s is not None and now_s < self._slow_until_s

    def refuse_queued(self, why):
        """Refuse all submissions that are queued and not sent."""
        refused, self._queue = self._queue, []
        for entry in refused:
            _resolve(entry.reply, Failure(Busy(why)))
        return len(refused)

    def _refuse(self, entry, why):
        """Refuse a submission unless it has been sent."""
        if entry in self._queue:
            self._queue.remove(entry)
            _resolve(entry.reply, Failure(Busy(why)))

    async def commit(self, write, max_queued_s=None):
        """Write one submission, and return the store's reply.

        The reply is `Busy` if the submission is still queued after ``max_queued_s``, or
        once the store is taken for silent; it has not been sent then and never will be.
        """
        loop = asyncio.get_running_loop()
        entry = _Entry(write, loop.create_future())
        self._queue.append(entry)
        if self._task is None:
            self._task = asyncio.create_task(self._drain())
        if max_queued_s is None:
            return await entry.reply
        timer = loop.call_later(max_queued_s, self._refuse, entry, "slow")
        try:
            return await entry.reply
        finally:
            timer.cancel()
            # A request that was given up must not be sent later.
            if entry in self._queue:
                self._queue.remove(entry)

    async def _drain(self):
        try:
            while self._queue:
                if self._silence.is_silent:
                    self.refuse_queued("silent")
                elif self._silence.is_suspect():
                    await asyncio.sleep(HOLD_CHECK_S)
                else:
                    await self._write_group(self._pop_group())
        finally:
            self._task = None
            self.refuse_queued("the writer stopped")

    def _pop_group(self):
        """Remove and return queued submissions of one owner row, within the limits.

        Each row is written once: the conditions of a transaction hold for the rows
        before it, so a second write of a row would replace the first unnoticed.
        """
        view = self._queue[0].write.view
        group, size, entries, row_keys = [], 0, 0, set()
        for queued in self._queue:
            write = queued.write
            size += len(write.change.value)
            entries += len(write.expected) + 1
            is_full = size > MAX_GROUP_BYTES or entries > MAX_GROUP_ENTRIES
            is_repeated = write.change.place in row_keys
            if write.view != view or is_repeated or (group and is_full):
                break
            group.append(queued)
            row_keys.add(write.change.place)
        del self._queue[: len(group)]
        return group

    async def _write_group(self, group):
        reply = await self._commit([entry.write for entry in group])
        is_individual = not isinstance(reply, Success) and isinstance(
            reply.failure(), Conflict | Rejected
        )
        if is_individual and len(group) > 1:
            # Some submission's condition failed, or its row was rejected: commit each
            # on its own, so that the failure is reported only for that one.
            for entry in group:
                _resolve(entry.reply, await self._commit([entry.write]))
            return
        for entry in group:
            _resolve(entry.reply, reply)

    async def _commit(self, writes):
        view = writes[0].view
        owner = Expect(owner_row_key(view.service), view.version)
        expected = [condition for write in writes for condition in write.expected]
        changes = tuple(write.change for write in writes)
        started_s = self._started_s = self._clock.monotonic()
        try:
            return await self._store.commit((owner, *expected), changes)
        finally:
            self._started_s = None
            now_s = self._clock.monotonic()
            if now_s - started_s > SLOW_TRANSACTION_S:
                self._slow_until_s = now_s + SLOW_PERIOD_S


def _resolve(future, reply):
    if not future.done():
        future.set_result(reply)
