"""Access to the store, through peers where this instance can't reach it."""

import asyncio
import random

import logbook
import msgspec
from returns.result import Failure, Success

from fuchsiascale.jobs._peer_messages import RelayCommit, RelayRead, RelayReply
from fuchsiascale.jobs._ports import Busy, Conflict, NoAnswer, Rejected, VersionedRows
from fuchsiascale.jobs._store_silence import StoreSilence

__all__ = [
    "DirectReads",
    "RelayedStore",
    "answer_relay",
    "decode_commit_result",
    "encode_commit_result",
]

FAILURES_BEFORE_RELAY = 2
"""Consecutive failures of direct calls before calls are relayed through peers. A single
failure may be due to the rate limit, which applies to all instances alike."""
RELAY_TIMEOUT_S = 1.5
"""Timeout of a call to a peer; longer than the peer's own call to the store."""
PROBE_PERIOD_S = 0.4
"""Minimum time between two direct reads while no peer reaches the store either."""
PROBE_AFTER_S = 0.5
"""Time without an answer to a commit after which the store is probed with a read. Reads
don't queue behind the commits of a partition."""
SLOW_READ_S = 0.1
"""Duration of a read above which the store counts as slow; usually it is 5 ms."""
SLOW_COMMIT_WAIT_S = 2.0
"""Additional time to wait for a commit while the store is slow."""
LOST_COMMIT_WAIT_S = 0.2
"""The same while reads are fast: the answer to the commit was probably lost."""
MAX_PEERS = 2
"""Maximum number of peers asked for one call."""
CHECK_PERIOD_S = 1.0
"""Time without a direct call after which a check reads from the store."""
MIN_SLEEP_S = 0.01
"""Shorter sleeps are skipped, as timers are no finer."""
ANSWERED = ("done", "changed", "rejected")
"""States of a relayed call that the store has answered."""
UNUSED_KEY = "~"
"""A key that no row has."""


class _RelayResult(msgspec.Struct, frozen=True):
    """Result of relaying a call through peers.

    Parameters
    ----------
    reply : RelayReply or None
        The store's answer; None if no peer obtained one.
    uncertain : bool
        Whether the store may have executed the call although no answer arrived.
    """

    reply: RelayReply | None
    uncertain: bool = False


class RelayedStore:
    """A store that is called directly or, if that fails, through peers.

    While direct calls fail, `follow` and `run_checks` keep retrying them. `read` also
    does so occasionally, because a process that starts while the store is unavailable
    doesn't follow any table yet.

    Parameters
    ----------
    direct : StorePort
        The store itself, without relaying.
    peers : PeerClient
        Calls to other instances.
    members : callable
        Returns the addresses of live peers.
    clock : Clock
        Source of time.
    silence : StoreSilence, optional
        What this instance and its peers have seen of the store.
    """

    def __init__(self, direct, peers, members, clock, silence=None):
        self.direct = direct
        self.peers = peers
        self.members = members
        self.clock = clock
        self.silence = silence or StoreSilence(clock)
        self.log = logbook.Logger("store")
        self.reachable = True
        self._failures = 0
        self._next_probe_s = 0.0
        self._last_reply_s = 0.0
        self._last_relay_s = 0.0
        self._unavailable_since_s = None

    async def commit(self, expected, changes):
        """Apply all changes or none; see `StorePort.commit`.

        A commit without an answer is sent again through a peer. Its conditions ensure
        that only one of the two is applied. It isn't while the store is silent for the
        peers too.
        """
        first = None
        if self.reachable:
            first = self._record_reply(await self._commit_directly(expected, changes))
            if not _is_store_error(first) or self.reachable:
                return first
        if self.silence.is_silent:
            return first or Failure(Busy("the store is silent"))
        result = await self._relay(RelayCommit(expected, changes))
        if result.reply is not None:
            return decode_commit_result(result.reply)
        uncertain = first is not None and isinstance(first.failure(), NoAnswer)
        if uncertain or result.uncertain:
            return Failure(NoAnswer("no answer directly or through peers"))
        return Failure(Busy("refused through peers too"))

    async def _commit_directly(self, expected, changes):
        """Commit; without an early answer, probe whether the store is slow or silent.

        A commit that is merely queued in a slow store must not be sent again, as that
        would delay the other commits too.
        """
        commit = asyncio.ensure_future(self.direct.commit(expected, changes))
        try:
            if not await _finishes_within(commit, PROBE_AFTER_S):
                wait_s = await self._probe(expected[0].place)
                if not await _finishes_within(commit, wait_s):
                    return Failure(NoAnswer("no answer to a commit"))
            return await commit
        finally:
            commit.cancel()

    async def _probe(self, row_key):
        """Return how much longer to wait for a commit, judged by the time of a read."""
        began_s = self.clock.monotonic()
        found = await self.direct.read(
            row_key.table, row_key.partition, row_key.key, row_key.key + "\0"
        )
        if _is_store_error(found):
            return 0.0
        slow = self.clock.monotonic() - began_s > SLOW_READ_S
        return SLOW_COMMIT_WAIT_S if slow else LOST_COMMIT_WAIT_S

    async def read(self, table, partition, first="", last=""):
        """Read rows; see `StorePort.read`."""
        if self.reachable:
            direct = await self.read_directly(table, partition, first, last)
            if not _is_store_error(direct) or self.reachable:
                return direct
        result = await self._relay(RelayRead(table, partition, first, last))
        if result.reply is not None and result.reply.status == "rejected":
            return Failure(Rejected(result.reply.detail))
        if result.reply is not None:
            return Success(VersionedRows(result.reply.rows, result.reply.version))
        if self.clock.monotonic() < self._next_probe_s:
            return Failure(Busy("no answer through peers"))
        self._next_probe_s = self.clock.monotonic() + PROBE_PERIOD_S
        return await self.read_directly(table, partition, first, last)

    async def read_directly(self, table, partition, first="", last=""):
        """Read rows, without peers."""
        return self._record_reply(await self.direct.read(table, partition, first, last))

    async def probe(self, table):
        """Read from the store directly; only an answer updates its reachability."""
        reply = await self.direct.read(table, "", UNUSED_KEY, UNUSED_KEY + "\0")
        if not _is_store_error(reply):
            self._record_reply(reply)

    async def follow(self, table, after, wait_ms):
        """Wait for changes; see `StorePort.follow`.

        This call is not relayed; on failure, callers read the table instead.
        """
        return self._record_reply(await self.direct.follow(table, after, wait_ms))

    async def run_checks(self, table):
        """Check with empty reads whether the store answers, until cancelled.

        If it doesn't, peers are asked too, so that requests can be refused immediately
        while the store is unavailable.
        """
        while True:
            failing = self._failures > 0 or not self.reachable
            period_s = PROBE_PERIOD_S if failing else CHECK_PERIOD_S
            remaining_s = period_s - (self.clock.monotonic() - self._last_reply_s)
            if remaining_s > MIN_SLEEP_S:
                await asyncio.sleep(remaining_s)
                continue
            await self.read_directly(table, "", UNUSED_KEY, UNUSED_KEY + "\0")
            if not self.reachable and self._is_peer_check_due():
                await self._relay(RelayRead(table, "", UNUSED_KEY, UNUSED_KEY + "\0"))

    def _is_peer_check_due(self):
        return self.clock.monotonic() - self._last_relay_s >= CHECK_PERIOD_S

    def is_unavailable(self):
        """Return whether the store is reachable neither directly nor through peers."""
        return self._unavailable_since_s is not None

    def _record_reply(self, reply):
        """Update the reachability of the store by the reply to a direct call."""
        self._last_reply_s = self.clock.monotonic()
        if not _is_store_error(reply):
            self._failures = 0
            self._unavailable_since_s = None
            if not self.reachable:
                self.reachable = True
                self.log.warning("store reachable again", extra={"how": "directly"})
            return reply
        self._failures += 1
        if self.reachable and self._failures >= FAILURES_BEFORE_RELAY:
            self.reachable = False
            self.log.warning(
                "store unreachable; relaying calls through peers",
                extra={"why": reply.failure().detail},
            )
        return reply

    async def _relay(self, message):
        """Ask peers in turn until one returns an answer of the store."""
        self._last_relay_s = self.clock.monotonic()
        members = self.members()
        random.shuffle(members)
        uncertain = False
        for address in members[:MAX_PEERS]:
            asked_s = self.clock.monotonic()
            found = await self.peers.ask(address, message, RELAY_TIMEOUT_S)
            if isinstance(found, RelayReply) and found.status in ANSWERED:
                self.silence.note_relayed_answer(address, asked_s)
                self._unavailable_since_s = None
                return _RelayResult(found)
            # A peer that doesn't answer may have forwarded the call.
            uncertain |= not isinstance(found, RelayReply) or found.status != "busy"
        # The store may have answered directly while peers were asked.
        if self._unavailable_since_s is None and not self.reachable:
            self._unavailable_since_s = self.clock.monotonic()
            self.log.warning(
                "store unreachable through peers too", extra={"unsure": uncertain}
            )
        return _RelayResult(None, uncertain)


class DirectReads:
    """The reads of a relayed store without the relay.

    They serve rows that instances also exchange by other messages.

    Parameters
    ----------
    store : RelayedStore
        The store, which updates its reachability by these calls.
    """

    def __init__(self, store):
        self.read = store.read_directly
        self.follow = store.follow


async def _finishes_within(task, timeout_s):
    """Return whether a task is done after at most ``timeout_s``."""
    await asyncio.wait({task}, timeout=timeout_s)
    return task.done()


def _is_store_error(reply):
    """Return whether a call failed for a reason that a repeat may not have."""
    error = reply.failure() if isinstance(reply, Failure) else None
    return isinstance(error, Busy | NoAnswer) and not isinstance(error, Rejected)


async def answer_relay(store, message):
    """Return the store's answer to a peer's call; the call is not relayed further."""
    if isinstance(message, RelayCommit):
        return encode_commit_result(
            await store.commit(message.expected, message.changes)
        )
    reply = await store.read(
        message.table, message.partition, message.first, message.last
    )
    if isinstance(reply, Success):
        return RelayReply("done", reply.unwrap().version, reply.unwrap().rows)
    return _encode_error(reply.failure())


def encode_commit_result(reply):
    """Return the message that reports the result of a commit to a peer."""
    if isinstance(reply, Success):
        return RelayReply("done", reply.unwrap())
    return _encode_error(reply.failure())


def decode_commit_result(reply):
    """Return the result of a commit that a peer reported; its reply may be None."""
    if not isinstance(reply, RelayReply):
        return Failure(NoAnswer("the peer did not answer"))
    if reply.status == "done":
        return Success(reply.version)
    if reply.status == "changed":
        return Failure(Conflict(reply.rows))
    if reply.status == "rejected":
        return Failure(Rejected(reply.detail))
    if reply.status == "busy":
        return Failure(Busy("refused to the peer"))
    return Failure(NoAnswer("the store did not answer the peer"))


def _encode_error(error):
    if isinstance(error, Conflict):
        return RelayReply("changed", 0, error.rows)
    if isinstance(error, Rejected):
        return RelayReply("rejected", detail=error.detail)
    return RelayReply("busy" if isinstance(error, Busy) else "no answer")
