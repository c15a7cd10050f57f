"""A store that peers are asked to reach where this instance can't."""

import asyncio
import random

import logbook
import msgspec
from returns.result import Failure, Success

from fuchsiascale.jobs._peer_messages import RelayCommit, RelayRead, RelayReply
from fuchsiascale.jobs._ports import Busy, Conflict, NoAnswer, VersionedRows

__all__ = [
    "DirectReads",
    "RelayedStore",
    "answer_relay",
    "decode_commit_result",
    "encode_commit_result",
]

FAILURES = 2
"""Direct calls that fail on end before peers are asked instead. One may be due to the
rate limit, which holds for all instances alike."""
RELAY_TIMEOUT_S = 1.5
"""Time for a peer's answer; longer than a call of its own to the store."""
PROBE_PERIOD_S = 0.4
"""Least time between two reads that try the store again where no peer reaches it."""
PROBE_AFTER_S = 0.5
"""Time without an answer to a commit after which a read tells more: reads don't wait
for the commits of a partition."""
SLOW_READ_S = 0.1
"""Time of a read from which the store counts as slow; it mostly takes 5 ms."""
SLOW_COMMIT_S = 2.0
"""Time to wait on for a commit while the store is slow."""
LOST_COMMIT_S = 0.2
"""The same while it is quick: then the answer is lost."""
MAX_PEERS = 2
"""Peers asked for one call."""
CHECK_PERIOD_S = 1.0
"""Time without a direct call after which the store is called to see that it answers."""
LEAST_PAUSE_S = 0.01
"""Time below which a pause is left out; timers are no finer."""
NO_KEY = "~"
"""No row has this key."""


class _Relay(msgspec.Struct, frozen=True):
    """What came of asking peers.

    Parameters
    ----------
    reply : Relayed or None
        The store's answer; None where no peer had one.
    unsure : bool
        Whether the call may have been carried out all the same.
    """

    reply: RelayReply | None
    unsure: bool = False


class RelayedStore:
    """The store, reached directly or through peers.

    Once direct calls fail, `follow` and `run_checks` go on trying them, and a read now
    and then: a process that starts while the store is away follows nothing yet.

    Parameters
    ----------
    direct : StorePort
        The store itself.
    peers : PeerPort
        Calls to other instances.
    members : callable
        Returns the addresses of peers that are alive.
    clock : Clock
        Source of time.
    """

    def __init__(self, direct, peers, members, clock):
        self.direct = direct
        self.peers = peers
        self.members = members
        self.clock = clock
        self.log = logbook.Logger("store")
        self.reachable = True
        self._failures = 0
        self._probe_s = 0.0
        self._noted_s = 0.0
        self._relayed_s = 0.0
        self._away_since_s = None

    async def commit(self, expected, changes):
        """Apply all changes or none; see `StorePort.commit`.

        After no answer the call is made again through a peer: its conditions
        allow only one of the two to be applied.
        """
        first = None
        if self.reachable:
            first = self._note(await self._commit_directly(expected, changes))
            if not _failed(first) or self.reachable:
                return first
        relayed = await self._relay(RelayCommit(expected, changes))
        if relayed.reply is not None:
            if relayed.reply.status == "done":
                return Success(relayed.reply.version)
            return Failure(Conflict(relayed.reply.rows))
        unsure = first is not None and isinstance(first.failure(), NoAnswer)
        if unsure or relayed.unsure:
            return Failure(NoAnswer("also through peers"))
        return Failure(Busy("also for peers"))

    async def _commit_directly(self, expected, changes):
        """Commit, and find out soon whether the store is silent, slow or neither.

        Sent again, a commit that only waits its turn would make the others wait too.
        """
        commit = asyncio.ensure_future(self.direct.commit(expected, changes))
        try:
            if not await _ends_in(commit, PROBE_AFTER_S):
                patience_s = await self._probe(expected[0].place)
                if not await _ends_in(commit, patience_s):
                    return Failure(NoAnswer("no answer to a commit"))
            return await commit
        finally:
            commit.cancel()

    async def _probe(self, place):
        """Return how much longer to wait for a commit, by how a read is answered."""
        began_s = self.clock.monotonic()
        found = await self.direct.read(
            place.table, place.partition, place.key, place.key + "\0"
        )
        if _failed(found):
            return 0.0
        slow = self.clock.monotonic() - began_s > SLOW_READ_S
        return SLOW_COMMIT_S if slow else LOST_COMMIT_S

    async def read(self, table, partition, first="", last=""):
        """Read rows; see `StorePort.read`."""
        if self.reachable:
            direct = await self.read_directly(table, partition, first, last)
            if not _failed(direct) or self.reachable:
                return direct
        relayed = await self._relay(RelayRead(table, partition, first, last))
        if relayed.reply is not None:
            return Success(VersionedRows(relayed.reply.rows, relayed.reply.version))
        if self.clock.monotonic() < self._probe_s:
            return Failure(Busy("also for peers"))
        self._probe_s = self.clock.monotonic() + PROBE_PERIOD_S
        return await self.read_directly(table, partition, first, last)

    async def read_directly(self, table, partition, first="", last=""):
        """Read rows, without peers."""
        return self._note(await self.direct.read(table, partition, first, last))

    async def follow(self, table, after, wait_ms):
        """Wait for changes; see `StorePort.follow`. Not relayed: callers read."""
        return self._note(await self.direct.follow(table, after, wait_ms))

    async def run_checks(self, table):
        """Find out by reads of nothing whether the store answers, until cancelled.

        Where it doesn't, peers are asked too, so that requests can be refused at once.
        """
        while True:
            failing = self._failures > 0 or not self.reachable
            period_s = PROBE_PERIOD_S if failing else CHECK_PERIOD_S
            rest_s = period_s - (self.clock.monotonic() - self._noted_s)
            if rest_s > LEAST_PAUSE_S:
                await asyncio.sleep(rest_s)
                continue
            await self.read_directly(table, "", NO_KEY, NO_KEY + "\0")
            if not self.reachable and self._peers_are_due():
                await self._relay(RelayRead(table, "", NO_KEY, NO_KEY + "\0"))

    def _peers_are_due(self):
        return self.clock.monotonic() - self._relayed_s >= CHECK_PERIOD_S

    def is_unavailable(self):
        """Return whether neither this instance nor a peer has reached the store."""
        return self._away_since_s is not None

    def _note(self, reply):
        """Take in the reply to a direct call."""
        self._noted_s = self.clock.monotonic()
        if not _failed(reply):
            self._failures = 0
            self._away_since_s = None
            if not self.reachable:
                self.reachable = True
                self.log.warning("store regained", extra={"how": "directly"})
            return reply
        self._failures += 1
        if self.reachable and self._failures >= FAILURES:
            self.reachable = False
            self.log.warning("store lost", extra={"why": reply.failure().detail})
        return reply

    async def _relay(self, message):
        """Ask peers in turn until one has an answer of the store."""
        self._relayed_s = self.clock.monotonic()
        members = self.members()
        random.shuffle(members)
        unsure = False
        for address in members[:MAX_PEERS]:
            found = await self.peers.ask(address, message, RELAY_TIMEOUT_S)
            if isinstance(found, RelayReply) and found.status in ("done", "changed"):
                self._away_since_s = None
                return _Relay(found)
            # A peer that doesn't answer may have passed the call on.
            unsure |= not isinstance(found, RelayReply) or found.status != "busy"
        if self._away_since_s is None:
            self._away_since_s = self.clock.monotonic()
            self.log.warning("store away for peers too", extra={"unsure": unsure})
        return _Relay(None, unsure)


class DirectReads:
    """The reads of a relayed store, without peers, for rows that peers tell otherwise.

    Parameters
    ----------
    store : RelayedStore
        The store, which learns from these calls whether it is reached.
    """

    def __init__(self, store):
        self.read = store.read_directly
        self.follow = store.follow


async def _ends_in(task, patience_s):
    """Return whether a task ends within some time."""
    await asyncio.wait({task}, timeout=patience_s)
    return task.done()


def _failed(reply):
    return isinstance(reply, Failure) and isinstance(reply.failure(), Busy | NoAnswer)


async def answer_relay(store, message):
    """Return what the store says to a peer's call; the call is not passed on."""
    if isinstance(message, RelayCommit):
        return encode_commit_result(
            await store.commit(message.expected, message.changes)
        )
    reply = await store.read(
        message.table, message.partition, message.first, message.last
    )
    if isinstance(reply, Success):
        return RelayReply("done", reply.unwrap().version, reply.unwrap().rows)
    return _describe_error(reply.failure())


def encode_commit_result(reply):
    """Return the message that tells a peer what became of a commit."""
    if isinstance(reply, Success):
        return RelayReply("done", reply.unwrap())
    return _describe_error(reply.failure())


def decode_commit_result(relayed):
    """Return what became of a commit by a peer's message; None where it had none."""
    if not isinstance(relayed, RelayReply):
        return Failure(NoAnswer("the peer did not answer"))
    if relayed.status == "done":
        return Success(relayed.version)
    if relayed.status == "changed":
        return Failure(Conflict(relayed.rows))
    if relayed.status == "busy":
        return Failure(Busy("for the peer"))
    return Failure(NoAnswer("for the peer"))


def _describe_error(error):
    if isinstance(error, Conflict):
        return RelayReply("changed", 0, error.rows)
    return RelayReply("busy" if isinstance(error, Busy) else "no answer")
