"""One connection of a listener: frames requests and forwards them to aiohttp.

Load: input that exceeds the limits in any way. A connection holds at most an unfinished
head, what came in the same read as a complete head, or a piece of the next request;
everything else stays in the kernel until a handler asks for it.
"""

import asyncio
from enum import Enum

from fuchsiascale.ingress._budget import Charge
from fuchsiascale.ingress._connection_table import Phase
from fuchsiascale.ingress._frames import FrameFollower
from fuchsiascale.ingress._framing import ChunkDecoder, FramingError, read_framing
from fuchsiascale.ingress._transport import IngressTransport

__all__ = [
    "BODY_READ_BYTES",
    "READ_BYTES",
    "WAITING_READ_BYTES",
    "BodyRefused",
    "IngressConnection",
    "Refusal",
]

READ_BYTES = 16_384
"""Bytes of a head read at a time. What follows the head is held until it is wanted."""
BODY_READ_BYTES = 65_536
"""Bytes of a body read at a time."""
WAITING_READ_BYTES = 1_024
"""Bytes read while a request is handled: enough to see that the caller closes."""
HEAD_COST = 2
LINE_COST = 400
"""Memory for each byte and each line of a head, whose fields aiohttp holds raw and as
text."""
BODY_COST = 2
"""Memory for each byte of a body: as received, and decoded."""
CHARGE_STEP_BYTES = 16_384
"""Steps in which a body of unknown length is charged."""
WRITE_BUFFER_BYTES = 16_384
"""Unsent bytes of answers from which no further request of a connection is handled."""
LINGER_S = 2.0
"""Time in which input is discarded after an answer that ends a connection. Closing at
once would reset the connection, and the caller could lose the answer."""
MAX_LINGER_BYTES = 1 << 20
UNSENT_S = 20.0
"""Time in which unsent bytes must become few. A link of 5 Mbit/s carries 12 MB then."""
MAX_RETRY_AFTER_S = 3
MAX_VICTIMS = 8
"""Slow bodies that are given up for one new request."""
REASONS = {
    400: "Bad Request",
    408: "Request Timeout",
    431: "Request Header Fields Too Large",
    503: "Service Unavailable",
}


class Refusal(Enum):
    """Why a request or a connection was refused or given up."""

    CONNECTIONS = "connections"
    HEAD_SIZE = "head-size"
    HEAD_TIME = "head-time"
    FRAMING = "framing"
    MEMORY = "memory"
    SLOW_BODY = "slow-body"
    BODY_SIZE = "body-size"
    UNREAD_ANSWERS = "unread-answers"


class BodyRefused(Exception):
    """Raised to the reader of a body that is not admitted or was given up.

    Parameters
    ----------
    refusal : Refusal
        The reason.
    """

    def __init__(self, refusal):
        super().__init__(refusal.value)
        self.refusal = refusal


class State(Enum):
    """What the next input of a connection is."""

    HEAD = "head"
    HANDLING = "handling"
    BODY = "body"
    RAW = "raw"
    LINGERING = "lingering"


class IngressConnection(asyncio.BufferedProtocol):
    """Frames the input of one connection; see the module.

    Parameters
    ----------
    gate : Gate
        Limits, budget and connections of the listener.
    """

    __slots__ = (
        "_charge",
        "_decoder",
        "_discarded",
        "_frames",
        "_framing",
        "_gate",
        "_input_paused",
        "_left",
        "_limit",
        "_lingers",
        "_message",
        "_received",
        "_request",
        "_since",
        "_skipped",
        "_state",
        "_tail",
        "_unread",
        "_write_since",
        "flow_paused",
        "handler",
        "transport",
    )

    def __init__(self, gate):
        self._gate = gate
        self._state = State.HEAD
        self._charge = Charge()
        self._tail = b""
        self._skipped = 0
        self._since = gate.tick
        self._input_paused = False
        self._framing = None
        self._decoder = self._frames = None
        self._message = 0
        self._unread = False
        self._request = None
        self._left = self._limit = self._received = self._discarded = 0
        self._lingers = True
        self._write_since = None
        self.flow_paused = False
        self.handler = None
        self.transport = None

    def connection_made(self, transport):
        """Admit the connection, or close it if there is no room."""
        self.transport = transport
        peer = transport.get_extra_info("peername")
        if not self._gate.admit(self, peer[0] if peer else ""):
            transport.abort()
            return
        transport.set_write_buffer_limits(WRITE_BUFFER_BYTES)

    def connection_lost(self, exc):
        """Release what the connection holds."""
        self._gate.remove(self)
        self._gate.budget.resize(self._charge, 0)
        self._tail, self._request = b"", None
        self._release_handler(exc)

    def _release_handler(self, exc):
        """Tell aiohttp that the connection is closed, so that it drops its state."""
        handler, self.handler = self.handler, None
        if handler is not None:
            handler.connection_lost(exc)

    def pause_writing(self):
        """Note that the caller does not read its answers, and charge what is unsent."""
        table, tick = self._gate.table, self._gate.tick
        self._write_since = tick
        size = self.transport.get_write_buffer_size()
        if not self._admit(size + BODY_COST * self._message, Phase.SENDING):
            self._give_up_answer()
        elif not table.move(self, Phase.IDLE, Phase.SENDING, tick):
            table.move(self, Phase.BUSY, Phase.SENDING, tick)
        if self.handler is not None:
            self.handler.pause_writing()

    def resume_writing(self):
        """Go on with the next request once the answers were sent."""
        self._write_since = None
        self._gate.budget.resize(self._charge, BODY_COST * self._message)
        after = Phase.IDLE if self._state is State.HEAD else Phase.BUSY
        self._gate.table.move(self, Phase.SENDING, after, self._gate.tick)
        if self.handler is not None:
            self.handler.resume_writing()
        if self._state is State.HEAD and self._input_paused:
            self._start_next()

    def eof_received(self):
        """Close the connection, as aiohttp does."""
        if self.handler is not None:
            self.handler.eof_received()

    def get_buffer(self, sizehint):
        """Return the read buffer, which all connections share."""
        if self._state is State.HEAD:
            return self._gate.head_buffer
        if self._state is State.HANDLING:
            return self._gate.waiting_buffer
        return self._gate.buffer

    def buffer_updated(self, nbytes):
        """Process what was read into the buffer."""
        state = self._state
        if state is State.LINGERING:
            self._discarded += nbytes
            if self._discarded > MAX_LINGER_BYTES:
                self.transport.abort()
            return
        data = bytes(self._gate.buffer[:nbytes])
        if state is State.HEAD:
            self._read_head(data)
        elif state is State.BODY:
            self._read_body(data)
        elif state is State.RAW:
            self._forward_raw(data)
        else:
            self._tail += data
            self._input_paused = True
            self.transport.pause_reading()

    def _read_head(self, data):
        if self._tail:
            # Starts again a little earlier, where the end may have been cut in two.
            start = max(0, len(self._tail) - 3)
            data = self._tail + data
        else:
            start = 0
        if data[0] in b"\r\n":
            length = len(data)
            data = data.lstrip(b"\r\n")
            self._skipped += length - len(data)
            start = 0
        end = data.find(b"\r\n\r\n", start)
        size = (len(data) if end < 0 else end + 4) + self._skipped
        if size > self._gate.limits.max_head_bytes:
            self._refuse(431, Refusal.HEAD_SIZE)
        elif end < 0:
            self._hold_head(data)
        else:
            self._tail, self._skipped = b"", 0
            self._start_request(data[: end + 4], data[end + 4 :])

    def _hold_head(self, data):
        tick = self._gate.tick
        if self._gate.table.move(self, Phase.IDLE, Phase.RECEIVING, tick):
            self._since = tick
        self._tail = data
        if not self._admit(HEAD_COST * len(data)):
            self._refuse(503, Refusal.MEMORY)

    def _start_request(self, head, rest):
        try:
            framing = read_framing(head)
        except FramingError:
            self._refuse(400, Refusal.FRAMING)
            return
        cost = HEAD_COST * len(head) + LINE_COST * head.count(b"\n")
        expands = framing.encoded and framing.length
        whole = not (framing.chunked or expands) and framing.length <= len(rest)
        if whole:
            cost += BODY_COST * framing.length
        if not self._admit(cost):
            self._refuse(503, Refusal.MEMORY)
            return
        self._enter_handling()
        if whole:
            self._framing, self._unread = None, False
            self._tail = rest[framing.length :]
            head += rest[: framing.length]
        else:
            self._framing, self._unread = framing, True
            self._tail = rest
        if self._tail:
            self._input_paused = True
            self.transport.pause_reading()
        if self.handler is None:
            self.handler = self._gate.make_handler()
            self.handler.connection_made(IngressTransport(self, self.transport))
        self.handler.data_received(head)

    def _enter_handling(self):
        self._state = State.HANDLING
        table, tick = self._gate.table, self._gate.tick
        if not table.move(self, Phase.IDLE, Phase.BUSY, tick):
            table.move(self, Phase.RECEIVING, Phase.BUSY, tick)

    def _admit(self, cost, phase=Phase.RECEIVING):
        """Charge the connection; give up others that are slow in a phase if need be."""
        budget = self._gate.budget
        if budget.resize(self._charge, cost):
            return True
        slow = self._gate.table.list_slow(self._gate.tick, phase)
        victims = [each for each, _ in zip(slow, range(MAX_VICTIMS), strict=False)]
        for victim in victims:
            if victim is not self:
                victim.shed()
                if budget.resize(self._charge, cost):
                    return True
        return False

    def open_body(self, request, limit):
        """Read the body of the request that is being handled.

        Parameters
        ----------
        request : aiohttp.web.BaseRequest
            The request, whose content receives the body.
        limit : int
            Most bytes of the body.

        Raises
        ------
        BodyRefused
            If the body is too long, or there is no memory for it now.
        """
        framing = self._framing
        if framing is None or self._state is not State.HANDLING:
            return
        if not framing.chunked and framing.length > limit:
            raise BodyRefused(Refusal.BODY_SIZE)
        size = CHARGE_STEP_BYTES if framing.chunked else framing.length
        size = limit if framing.encoded else size
        self._limit = limit
        if not self._admit(self._charge.size + BODY_COST * size):
            self._gate.count(Refusal.MEMORY)
            raise BodyRefused(Refusal.MEMORY)
        self._request, self._framing = request, None
        self._state, self._since = State.BODY, self._gate.tick
        self._gate.table.move(self, Phase.BUSY, Phase.RECEIVING, self._gate.tick)
        self._decoder = ChunkDecoder() if framing.chunked else None
        self._left, self._received = framing.length, 0
        tail, self._tail = self._tail, b""
        if tail:
            self._read_body(tail)
        if self._state is State.BODY:
            self._set_input_paused(False)

    def _read_body(self, data):
        self._received += len(data)
        if self._decoder is not None:
            self._read_chunks(data)
            return
        part = data[: self._left]
        self._left -= len(part)
        if not self._left:
            self._end_body(data[len(part) :])
        self.handler.data_received(part)

    def _read_chunks(self, data):
        decoder = self._decoder
        before = self._left
        try:
            part, used = decoder.feed(data)
        except FramingError:
            self._give_up_body(Refusal.FRAMING)
            return
        # `_left` counts the decoded bytes here.
        self._left += len(part)
        if self._left > self._limit:
            self._give_up_body(Refusal.BODY_SIZE)
            return
        steps = self._left // CHARGE_STEP_BYTES - before // CHARGE_STEP_BYTES
        if steps and not self._admit(
            self._charge.size + steps * BODY_COST * CHARGE_STEP_BYTES
        ):
            self._give_up_body(Refusal.MEMORY)
            return
        # One chunk for what was read at a time, however small the caller's chunks are.
        if part:
            self.handler.data_received(b"%x\r\n%b\r\n" % (len(part), part))
        if decoder.done:
            self._end_body(data[used:])
            self.handler.data_received(b"0\r\n\r\n")

    def _end_body(self, rest):
        self._state, self._unread, self._request = State.HANDLING, False, None
        self._decoder = None
        self._gate.table.move(self, Phase.RECEIVING, Phase.BUSY, self._gate.tick)
        if rest:
            self._tail = rest
            self._set_input_paused(True)

    def _give_up_body(self, refusal):
        """Let the handler answer that the body was refused, and read no more of it.

        The charge stays until the handler has ended: it still holds what it has read.
        """
        self._gate.count(refusal)
        request, self._request = self._request, None
        self._state, self._decoder = State.HANDLING, None
        self._gate.table.move(self, Phase.RECEIVING, Phase.BUSY, self._gate.tick)
        self._set_input_paused(True)
        request.content.set_exception(BodyRefused(refusal))

    def _give_up_answer(self):
        self._gate.count(Refusal.UNREAD_ANSWERS)
        self.transport.abort()

    def shed(self):
        """Give up an incomplete request, so that others get its memory."""
        if self._write_since is not None:
            self._give_up_answer()
            self._gate.budget.resize(self._charge, 0)
        elif self._state is State.BODY:
            self._give_up_body(Refusal.MEMORY)
            self._gate.budget.resize(self._charge, 0)
        elif self._state is State.HEAD and self._tail:
            self._refuse(503, Refusal.MEMORY)
        else:
            self.transport.close()

    def evict(self):
        """Close a connection whose request is incomplete, so that another gets in.

        Its descriptor is wanted at once, so no input is discarded first.
        """
        self._lingers = False
        if self._state is State.BODY:
            self._give_up_body(Refusal.CONNECTIONS)
            return
        self._gate.remove(self)
        # With unsent bytes, closing would wait for a caller that does not read.
        if self._state is State.LINGERING or self.transport.get_write_buffer_size():
            self.transport.abort()
        elif self._state is State.HEAD and self._tail:
            self._refuse(503, Refusal.CONNECTIONS)
        else:
            self.transport.close()

    def finish(self):
        """Release a handled request; its answer is about to be written."""
        self._gate.budget.resize(self._charge, 0)
        if self._state is State.BODY:
            self._state, self._request = State.HANDLING, None
            self._gate.table.move(self, Phase.RECEIVING, Phase.BUSY, self._gate.tick)
            self._set_input_paused(True)
        if self._state is not State.HANDLING or self._unread:
            return
        self._state, self._since = State.HEAD, self._gate.tick
        self._gate.table.move(self, Phase.BUSY, Phase.IDLE, self._gate.tick)
        if self._input_paused:
            asyncio.get_running_loop().call_soon(self._start_next)

    @property
    def has_unread_body(self):
        """Whether a part of the request's body was not read."""
        return self._unread

    def _start_next(self):
        if self._state is not State.HEAD or self._write_since is not None:
            return
        if self.transport.is_closing():
            return
        tail, self._tail = self._tail, b""
        if tail:
            self._read_head(tail)
        if self._state is State.HEAD:
            self._set_input_paused(False)

    def _set_input_paused(self, paused):
        self._input_paused = paused
        self._update_reading()

    def set_flow_paused(self, paused):
        """Stop or resume reading on behalf of the handler."""
        if paused is not self.flow_paused:
            self.flow_paused = paused
            self._update_reading()

    def _update_reading(self):
        if self._input_paused or self.flow_paused:
            self.transport.pause_reading()
        else:
            self.transport.resume_reading()

    def set_handler(self, handler):
        """Change the protocol that receives the input."""
        self.handler = handler

    def enter_raw(self):
        """Forward all further input unframed, after a change of the protocol."""
        self._state, self._framing, self._unread = State.RAW, None, False
        self._gate.budget.resize(self._charge, 0)
        self._frames = FrameFollower()
        tail, self._tail = self._tail, b""
        if tail:
            self._forward_raw(tail)
        self._set_input_paused(False)

    def _forward_raw(self, data):
        message = self._frames.feed(data)
        change, self._message = message - self._message, message
        size = self._charge.size + BODY_COST * change
        if not self._admit(size):
            self._gate.count(Refusal.MEMORY)
            self.transport.abort()
            return
        self.handler.data_received(data)

    def _refuse(self, status, refusal):
        """Answer in place of a handler, and close the connection."""
        self._gate.count(refusal)
        self._tail = b""
        self._gate.budget.resize(self._charge, 0)
        # Spread, so that refused callers don't return in one wave.
        retry_s = 1 + self._gate.refusals[refusal] % MAX_RETRY_AFTER_S
        retry = f"Retry-After: {retry_s}\r\n" if status == 503 else ""
        self.transport.write(
            f"HTTP/1.1 {status} {REASONS[status]}\r\nContent-Length: 0\r\n"
            f"{retry}Connection: close\r\n\r\n".encode()
        )
        self._unread = True
        self.close()

    def close(self):
        """Close after what was written; discard input for a while if more may come."""
        if not self.transport.is_closing():
            self._since = self._gate.tick
        if self._state is State.LINGERING or not self._unread:
            self.transport.close()
            return
        self._state, self._since = State.LINGERING, self._gate.tick
        self._request, self._tail = None, b""
        # Not from within the handler, which is about to end.
        asyncio.get_running_loop().call_soon(self._release_handler, None)
        table, tick = self._gate.table, self._gate.tick
        table.move(self, Phase.BUSY, Phase.RECEIVING, tick)
        table.move(self, Phase.IDLE, Phase.RECEIVING, tick)
        if not self._lingers or not self.transport.can_write_eof():
            self.transport.close()
            return
        self.transport.write_eof()
        self.flow_paused = False
        self._set_input_paused(False)

    def check_time(self, tick):
        """Close or refuse what has taken too long; called once a tick."""
        limits = self._gate.limits
        seconds = (tick - self._since) * self._gate.tick_s
        if self.transport.is_closing() or self._write_since is not None:
            since = self._since if self._write_since is None else self._write_since
            if (tick - since) * self._gate.tick_s > UNSENT_S:
                self._give_up_answer()
            return
        if self._state is State.HEAD:
            self._check_head_time(seconds)
        elif self._state is State.BODY:
            needed = (seconds - limits.body_grace_s) * limits.min_body_rate
            if self._received < needed:
                self._give_up_body(Refusal.SLOW_BODY)
        elif self._state is State.LINGERING and seconds > LINGER_S:
            self.transport.abort()

    def _check_head_time(self, seconds):
        limits = self._gate.limits
        if self._tail or self._skipped:
            if seconds > limits.head_timeout_s:
                self._refuse(408, Refusal.HEAD_TIME)
        elif seconds > limits.idle_timeout_s:
            self.transport.close()
