"""Relay of all connections that the processes open, which applies faults to them."""

import asyncio
import contextlib
from dataclasses import dataclass
from enum import Enum

__all__ = ["STORE", "Effect", "Relay", "Rule", "pair_both_ways"]

STORE = "store"
"""Name of the platform's store as an end of a link."""
CHUNK_BYTES = 65_536


class Effect(Enum):
    """What a rule does to the links that it names."""

    CUT = "cut"
    """Bytes from the first end to the second wait until the rule is removed."""
    DELAY = "delay"
    """Bytes from the first end to the second arrive later."""
    HOLD = "hold"
    """Requests of the first end to the second are delivered seconds later."""
    LOSE = "lose"
    """Requests of the first end reach the second; nothing more is answered there."""
    RESET = "reset"
    """Connections of the first end to the second are reset at a request."""


@dataclass(frozen=True, eq=False)
class Rule:
    """A fault that is in force on some links.

    Parameters
    ----------
    effect : Effect
        What happens.
    links : frozenset of (str, str)
        Pairs of names of ends.
    share : float
        Share of the chunks, on average, that are affected.
    seconds : (float, float)
        Bounds of the delay, in seconds.
    """

    effect: Effect
    links: frozenset
    share: float = 1.0
    seconds: tuple = (0.0, 0.0)


def pair_both_ways(names, others):
    """Return the links between two groups of ends, in both directions.

    Examples
    --------
    >>> sorted(pair_both_ways(["a"], ["b"]))
    [('a', 'b'), ('b', 'a')]
    """
    pairs = {(a, b) for a in names for b in others if a != b}
    return frozenset(pairs | {(b, a) for a, b in pairs})


class _Connection:
    """A connection from one end to another.

    Attributes
    ----------
    silent : bool
        Whether all further bytes are dropped, in both directions.
    unanswered : bool
        Whether all further answers are dropped.
    used_s : float
        Time of the event loop at which the caller sent something last.
    """

    def __init__(self, caller, target, writer, upstream):
        self.ends = caller, target
        self.writers = writer, upstream
        self.silent = False
        self.unanswered = False
        self.used_s = asyncio.get_running_loop().time()

    @property
    def is_reset(self):
        """Whether the caller, or the relay, has reset the connection."""
        return self.writers[0].transport.is_closing()

    def abort(self):
        """Reset both sides."""
        for writer in self.writers:
            writer.transport.abort()


class Relay:
    """Forwards connections, subject to the rules in force.

    Parameters
    ----------
    rng : random.Random
        Selects the chunks that a rule affects.
    """

    def __init__(self, rng):
        self.names = {}
        self.rules = set()
        self.connections = set()
        self.address = ""
        self._rng = rng
        self._changed = asyncio.Event()
        self._server = None
        self._tasks = set()

    async def start(self):
        """Listen on a loopback address."""
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        self.address = f"127.0.0.1:{self._server.sockets[0].getsockname()[1]}"

    async def stop(self):
        """Stop listening, and reset all connections."""
        self._server.close()
        for connection in list(self.connections):
            connection.abort()
        tasks = list(self._tasks)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    def add(self, rule):
        """Bring a rule into force."""
        self.rules.add(rule)

    def remove(self, rule):
        """Remove a rule."""
        self.rules.discard(rule)
        self._changed.set()
        self._changed = asyncio.Event()

    def heal(self):
        """Remove all rules."""
        for rule in list(self.rules):
            self.remove(rule)

    def list_connections(self, links):
        """Return the open connections whose caller and target form one of the links."""
        return [each for each in self.connections if each.ends in links]

    def list_callers(self, targets, since_s):
        """Return the names of those that have sent something to any of the targets.

        Parameters
        ----------
        targets : iterable of str
            Names of ends.
        since_s : float
            Time of the event loop since when.
        """
        targets = set(targets)
        return {
            each.ends[0]
            for each in self.connections
            if each.ends[1] in targets and each.used_s >= since_s
        }

    def _find_rule(self, effect, link):
        for rule in self.rules:
            is_there = rule.effect is effect and link in rule.links
            if is_there and (rule.share >= 1 or self._rng.random() < rule.share):
                return rule
        return None

    async def _wait_open(self, *links):
        while any(self._find_rule(Effect.CUT, link) for link in links):
            await self._changed.wait()

    async def _serve(self, reader, writer):
        task = asyncio.current_task()
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        try:
            with contextlib.suppress(OSError, ValueError):
                await self._forward(reader, writer)
        finally:
            writer.transport.abort()

    async def _forward(self, reader, writer):
        caller, host, port = (await reader.readline()).decode().split()
        target = self.names.get(f"{host}:{port}") or self.names.get(host, STORE)
        await self._wait_open((caller, target), (target, caller))
        try:
            source, upstream = await asyncio.open_connection(host, int(port))
        except OSError:
            writer.write(b"-")
            await writer.drain()
            writer.close()
            await writer.wait_closed()
            return
        connection = _Connection(caller, target, writer, upstream)
        self.connections.add(connection)
        writer.write(b"+")
        try:
            await asyncio.gather(
                self._copy_requests(reader, upstream, connection),
                self._copy_answers(source, writer, connection),
            )
        finally:
            self.connections.discard(connection)
            connection.abort()

    async def _copy_requests(self, source, target, connection):
        """Copy requests; those that were read arrive even if the caller has gone.

        What a cut holds back is lost if the caller resets the connection meanwhile.
        """
        link = connection.ends
        with contextlib.suppress(OSError):
            while content := await source.read(CHUNK_BYTES):
                connection.used_s = asyncio.get_running_loop().time()
                if self._find_rule(Effect.RESET, link):
                    connection.abort()
                    return
                if self._find_rule(Effect.LOSE, link):
                    connection.unanswered = True
                await self._pause(Effect.HOLD, link)
                is_cut = self._find_rule(Effect.CUT, link) is not None
                await self._wait_open(link)
                if is_cut and connection.is_reset:
                    connection.abort()
                    return
                await self._deliver(content, target, connection, link)
        await self._wait_open(link)
        target.close()

    async def _copy_answers(self, source, target, connection):
        link = connection.ends[::-1]
        try:
            while content := await source.read(CHUNK_BYTES):
                if not connection.unanswered:
                    await self._deliver(content, target, connection, link)
        except OSError:
            await self._wait_open(link)
            target.transport.abort()
        else:
            await self._wait_open(link)
            target.close()

    async def _pause(self, effect, link):
        rule = self._find_rule(effect, link)
        if rule is not None:
            await asyncio.sleep(self._rng.uniform(*rule.seconds))

    async def _deliver(self, content, target, connection, link):
        await self._pause(Effect.DELAY, link)
        await self._wait_open(link)
        if not connection.silent and not target.is_closing():
            target.write(content)
            with contextlib.suppress(OSError):
                await target.drain()
