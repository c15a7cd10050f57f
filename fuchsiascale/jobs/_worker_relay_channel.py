"""An owner's side of a connection to a peer that relays calls to workers."""

import asyncio
import math

import logbook
import msgspec

from fuchsiascale.jobs._ports import NoAnswer
from fuchsiascale.jobs._worker_calls import STOPPING, RelayedCall, RelayedReply

__all__ = ["RelayChannel"]

CONNECT_TIMEOUT_S = 0.5
REPLY_MARGIN_S = 0.4
"""Time for a reply beyond the peer's own timeout of the call."""
SWEEP_PERIOD_S = 0.1
"""Period of the search for calls that have timed out."""


class RelayChannel:
    """Sends calls over one connection, and matches the replies.

    All calls of one pass of the event loop are sent in one message.

    Parameters
    ----------
    connect : callable
        Coroutine function from the peer's address to a connection, with methods
        ``send``, ``receive``, which returns None at the end, and ``abort``. ``send``
        takes a function that returns the message, or None for none, and calls it when
        it writes the message.
    address : str
        Address of the peer.
    clock : Clock
        Source of time, which includes suspensions.
    """

    def __init__(self, connect, address, clock):
        self.address = address
        self._clock = clock
        self.usable = True
        self.log = logbook.Logger("relay")
        self._connect = connect
        self._connection = None
        self._pending = {}
        self._outbox = []
        self._next_number = STOPPING + 1
        self._decoder = msgspec.json.Decoder(list[RelayedReply])
        self._task = asyncio.create_task(self._run())

    async def call(self, worker, request, timeout_s, send_by_s=math.inf):
        """Return the reply to a call; None if it was not sent.

        Parameters
        ----------
        worker : WorkerAddress
            The worker.
        request : WorkerRequest
            The call.
        timeout_s : float
            The peer's own timeout of the call, in seconds.
        send_by_s : float, optional
            Time on the clock after which the call is not sent.
        """
        loop = asyncio.get_running_loop()
        number, self._next_number = self._next_number, self._next_number + 1
        future = loop.create_future()
        self._pending[number] = (future, loop.time() + timeout_s + REPLY_MARGIN_S)
        self._outbox.append((RelayedCall(number, worker, request), send_by_s))
        if self._connection is not None and len(self._outbox) == 1:
            loop.call_soon(self._flush)
        try:
            return await future
        finally:
            self._pending.pop(number, None)

    def _flush(self):
        if self._connection is not None and self._outbox:
            self._connection.send(self._take_calls)

    def _take_calls(self):
        """Return the message with the calls to send; None if none is left."""
        outbox, self._outbox = self._outbox, []
        now_s = self._clock.monotonic()
        calls = []
        for call, send_by_s in outbox:
            if now_s <= send_by_s:
                calls.append(call)
            else:
                self._set_unsent(call.number)
        return msgspec.json.encode(calls) if calls else None

    def _set_unsent(self, number):
        future, _ = self._pending.get(number, (None, None))
        if future is not None and not future.done():
            future.set_result(None)

    async def _run(self):
        sweep = None
        why = "the connection failed"
        try:
            async with asyncio.timeout(CONNECT_TIMEOUT_S):
                self._connection = await self._connect(self.address)
            self._flush()
            sweep = asyncio.create_task(self._sweep())
            while (content := await self._connection.receive()) is not None:
                self._handle_replies(self._decoder.decode(content))
            why = "the peer closed the connection"
        except (OSError, TimeoutError, msgspec.DecodeError) as error:
            why = repr(error)
        finally:
            if sweep is not None:
                sweep.cancel()
            self._end(why)

    def _handle_replies(self, replies):
        for each in replies:
            if each.number == STOPPING:
                self.usable = False
                continue
            future, _ = self._pending.get(each.number, (None, None))
            if future is not None and not future.done():
                future.set_result(each.reply)

    async def _sweep(self):
        """Close the connection once a call has timed out at the peer and here."""
        loop = asyncio.get_running_loop()
        while True:
            due_s = loop.time() + SWEEP_PERIOD_S
            await asyncio.sleep(SWEEP_PERIOD_S)
            late_s = loop.time() - due_s
            if late_s > SWEEP_PERIOD_S:
                # Replies that arrived while this process could not run come first.
                self._extend(late_s)
                continue
            if any(due_s < loop.time() for _, due_s in self._pending.values()):
                self.log.warning(
                    "peer does not relay calls", extra={"peer": self.address}
                )
                self.close()
                return

    def _extend(self, seconds):
        self._pending = {
            number: (future, due_s + seconds)
            for number, (future, due_s) in self._pending.items()
        }

    def is_busy(self):
        """Return whether calls are in flight."""
        return bool(self._pending)

    def close(self):
        """Close the connection; calls in flight count as unanswered."""
        self._task.cancel()

    def _end(self, why):
        self.usable = False
        unsent = {call.number for call, _ in self._outbox}
        self._outbox = []
        for number, (future, _) in self._pending.items():
            if not future.done():
                future.set_result(None if number in unsent else NoAnswer(why))
        if self._connection is not None:
            self._connection.abort()
