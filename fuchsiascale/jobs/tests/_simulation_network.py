"""Calls between processes over links that are slow, lose messages or are cut."""

import asyncio
from collections import Counter

import logbook
import msgspec

__all__ = ["SLOW_DELAY_S", "USUAL_DELAY_S", "LinkFaults", "Network"]

USUAL_DELAY_S = (0.0005, 0.004)
SLOW_DELAY_S = (0.02, 0.4)
LATE_DELAY_S = (0.8, 8.0)
"""Delay of a call that is carried out after its caller has given up."""
CONTACT_S = 5.0
"""Time without a disturbance after which an instance has to keep all rules."""


class LinkFaults(msgspec.Struct):
    """Shares of the messages to and from an endpoint that are harmed.

    ``late`` holds for calls only: for these it is the share that is carried out seconds
    later.
    """

    lost: float = 0.0
    late: float = 0.0
    slow: float = 0.0


class Network:
    """Links between endpoints, which are named by texts.

    Parameters
    ----------
    rng : random.Random
        Source of the delays and losses.
    """

    def __init__(self, rng):
        self.log = logbook.Logger("network")
        self._rng = rng
        self._cuts = Counter()
        self._healed = asyncio.Event()
        self._carriers = set()
        self._disturbed_s = {}
        self.usual = LinkFaults()
        self.faults = {}

    def cut(self, pairs):
        """Cut links in one direction each, until `heal`; cuts may overlap."""
        self._cuts.update(pairs)

    def heal(self, pairs):
        """End a cut of these links."""
        self._cuts.subtract(pairs)
        self.disturb({name for pair in pairs for name in pair})
        self._healed.set()
        self._healed = asyncio.Event()

    def is_open(self, source, target):
        """Return whether messages pass in one direction."""
        return self._cuts[source, target] <= 0

    def connects(self, one, other):
        """Return whether messages pass in both directions."""
        return self.is_open(one, other) and self.is_open(other, one)

    def disturb(self, endpoints):
        """Note that endpoints, or links of theirs, have been disturbed until now."""
        now_s = asyncio.get_running_loop().time()
        self._disturbed_s.update(dict.fromkeys(endpoints, now_s))

    def is_calm(self, endpoint):
        """Return whether nothing has disturbed an endpoint or its links lately."""
        since_s = asyncio.get_running_loop().time() - CONTACT_S
        is_cut = any(
            count > 0 and endpoint in pair for pair, count in self._cuts.items()
        )
        return (
            not is_cut
            and endpoint not in self.faults
            and self._disturbed_s.get(endpoint, 0.0) <= since_s
        )

    def happens(self, fault, one, other):
        """Draw whether a fault of `LinkFaults` happens to a message."""
        shares = [
            getattr(faults, fault)
            for faults in (self.usual, self.faults.get(one), self.faults.get(other))
            if faults is not None
        ]
        return self.is_likely(max(shares))

    def is_likely(self, share):
        """Draw whether an event of a probability happens."""
        return self._rng.random() < share

    def draw(self, bounds):
        """Draw a duration between two bounds, in seconds."""
        return self._rng.uniform(*bounds)

    async def call(self, source, target, execute, timeout_s=None, resets=False):
        """Have a call carried out at another endpoint, and return its reply.

        Parameters
        ----------
        source, target : str
            The endpoints.
        execute : callable
            Coroutine function that carries the call out; its reply is None if none is
            sent.
        timeout_s : float or None, optional
            Time after which None is returned. The call may be carried out all the same.
        resets : bool, optional
            Whether the caller resets the connection when it gives the call up, so that
            a call that waits on a cut is lost then.
        """
        reply = asyncio.get_running_loop().create_future()
        self.spawn(self._carry(source, target, execute, reply, resets))
        try:
            async with asyncio.timeout(timeout_s):
                return await reply
        except TimeoutError:
            return None

    def bind(self, context):
        """Set the context in which calls are carried, which is that of no process."""
        self._context = context

    def spawn(self, coroutine):
        """Run a coroutine in that context; returns its task.

        An error is logged, which breaks a rule: what is carried must not get lost by a
        fault of the simulation.
        """
        carrier = asyncio.create_task(coroutine, context=self._context)
        self._carriers.add(carrier)
        carrier.add_done_callback(self._finish)
        return carrier

    def _finish(self, carrier):
        self._carriers.discard(carrier)
        if not carrier.cancelled() and carrier.exception() is not None:
            self.log.error("carrier failed: {!r}", carrier.exception())

    async def wait_until_open(self, source, target):
        """Wait until messages pass in one direction, and those that waited arrive."""
        if self.is_open(source, target):
            return
        while not self.is_open(source, target):
            await self._healed.wait()
        await asyncio.sleep(self.draw(SLOW_DELAY_S))

    async def _carry(self, source, target, execute, reply, resets):
        if self.happens("late", source, target):
            await asyncio.sleep(self.draw(LATE_DELAY_S))
        is_cut = not self.is_open(source, target)
        if not await self._transfer(source, target):
            return
        if is_cut and resets and reply.done():
            return
        found = await execute()
        if found is None or not await self._transfer(target, source):
            return
        if not reply.done():
            reply.set_result(found)

    async def _transfer(self, source, target):
        """Wait until a message has arrived; return False if it never does."""
        if self.happens("lost", source, target):
            return False
        is_slow = self.happens("slow", source, target)
        await asyncio.sleep(self.draw(SLOW_DELAY_S if is_slow else USUAL_DELAY_S))
        if not self.is_open(source, target):
            # The sender's kernel repeats what it has taken, and may give up.
            if self.is_likely(0.5):
                return False
            await self.wait_until_open(source, target)
        return True
