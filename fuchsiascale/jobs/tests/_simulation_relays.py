"""Connections of owners to the peers that relay their calls to workers."""

import asyncio
import contextvars
from collections import deque

from fuchsiascale.jobs import WorkerRelay
from fuchsiascale.jobs.tests._simulation_network import SLOW_DELAY_S, USUAL_DELAY_S
from fuchsiascale.jobs.tests._simulation_worker import WorkerClient

__all__ = ["Relays"]

_OWNER = contextvars.ContextVar("owner")
"""Name of the instance for which a peer makes a call."""


class _End:
    """One side of a connection, as the product sees it; see `RelayChannel`.

    Messages arrive in order. They wait while the link is cut, and are lost where the
    side that sent them resets the connection. A reset is lost on a cut link; the other
    side learns of it once a message of its own arrives.

    Parameters
    ----------
    network : Network
        What carries the messages.
    address : str
        Endpoint of this side.
    """

    def __init__(self, network, address):
        self.address = address
        self.is_closed = False
        self.other = None
        self._network = network
        self._arrived = asyncio.Queue()
        self._in_flight = deque()
        self._last_due_s = 0.0
        self._carrier = None
        self._tasks = set()

    def send(self, content):
        """Send a message without waiting; a closed connection ends `receive`.

        ``content`` may be a function that is called right before the message leaves,
        and returns None for none.
        """
        task = asyncio.create_task(self._send(content))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _send(self, content):
        if callable(content):
            content = content()
        if content is None or self.is_closed:
            return
        network, where = self._network, (self.address, self.other.address)
        # A segment that is lost is sent again.
        is_slow = network.happens("slow", *where) or network.happens("lost", *where)
        delay_s = network.draw(SLOW_DELAY_S if is_slow else USUAL_DELAY_S)
        now_s = asyncio.get_running_loop().time()
        self._last_due_s = max(self._last_due_s, now_s + delay_s)
        self._in_flight.append((self._last_due_s, content))
        if self._carrier is None or self._carrier.done():
            self._carrier = network.spawn(self._carry())

    async def receive(self):
        """Return the next message; None at the end."""
        content = await self._arrived.get()
        if content is None:
            self._arrived.put_nowait(None)
        return content

    def abort(self):
        """Reset the connection; what has not left this side is lost."""
        if not self.is_closed:
            in_flight = list(self._in_flight)
            self._close()
            self._network.spawn(self._reset_other(in_flight))

    def _close(self):
        self.is_closed = True
        self._in_flight.clear()
        if self._carrier is not None:
            self._carrier.cancel()
        self._arrived.put_nowait(None)

    async def _carry(self):
        loop, where = asyncio.get_running_loop(), (self.address, self.other.address)
        while self._in_flight:
            due_s, _ = self._in_flight[0]
            await asyncio.sleep(due_s - loop.time())
            await self._network.wait_until_open(*where)
            _, content = self._in_flight.popleft()
            self.other._take(content)

    async def _reset_other(self, in_flight):
        """Carry what an open link delivers at once, and a reset behind it."""
        loop = asyncio.get_running_loop()
        last_s = loop.time() + USUAL_DELAY_S[1]
        due = [each for each in in_flight if each[0] <= last_s]
        for due_s, content in (*due, (last_s, None)):
            await asyncio.sleep(due_s - loop.time())
            if not self._network.is_open(self.address, self.other.address):
                return
            self.other._take(content)

    def _take(self, content):
        """Take a message, or a reset if it is None."""
        if content is None:
            if not self.is_closed:
                self._close()
        elif self.is_closed:
            self._network.spawn(self._reset_other([]))
        else:
            self._arrived.put_nowait(content)


class _RelayingClient(WorkerClient):
    """The workers as called by a peer; runs tell for which owner it called."""

    def name_sender(self, token):
        """See `WorkerClient.name_sender`."""
        return f"{_OWNER.get()} token {token} via {self._name}"


class Relays:
    """Relayed calls of an instance: those that it sends, and those that it makes.

    Parameters
    ----------
    simulation : Simulation
        What it is part of.
    address : str
        Address of the instance.
    name : str
        Name of its process.
    clock : Clock
        Source of time.
    """

    def __init__(self, simulation, address, name, clock):
        self.worker_relay = WorkerRelay(
            _RelayingClient(simulation, address, name), clock
        )
        self._simulation = simulation
        self._address = address
        self._name = name
        self._opened = []
        self._accepted = []

    async def connect(self, address):
        """Return a connection to a peer; see `RelayChannel`."""
        network = self._simulation.network
        own, other = _End(network, self._address), _End(network, address)
        own.other, other.other = other, own
        self._opened.append(own)

        async def accept():
            peer = self._simulation.instances.get(address)
            if peer is None:
                return "refused"
            return await peer.process.spawn(peer.relays.accept(other, self._name))

        try:
            reply = await network.call(self._address, address, accept)
        except asyncio.CancelledError:
            own.abort()
            raise
        if reply == "refused":
            own.abort()
            raise ConnectionRefusedError(address)
        return own

    async def accept(self, end, owner):
        """Serve a connection of an owner."""
        self._accepted.append(end)
        context = contextvars.copy_context()
        context.run(_OWNER.set, owner)
        served = asyncio.create_task(self.worker_relay.serve(end), context=context)
        served.add_done_callback(lambda task: self._finish(task, end))
        return "accepted"

    def _finish(self, served, end):
        end.abort()
        if not served.cancelled() and served.exception() is not None:
            error = served.exception()
            self.worker_relay.log.error("connection failed: {!r}", error)

    def list_peers(self):
        """Return the addresses of the peers to which connections are open."""
        return sorted({end.other.address for end in self._opened if not end.is_closed})

    def reset(self):
        """Reset all connections, as the end of the process does."""
        for end in (*self._opened, *self._accepted):
            end.abort()
