"""A peer's side of the relay of calls to workers."""

import asyncio

import logbook
import msgspec

from fuchsiascale.jobs._late_commands import (
    RELAYED_FOR,
    LateCommands,
    describe_command,
)
from fuchsiascale.jobs._ports import Absent, NoAnswer, StartRequest
from fuchsiascale.jobs._relayed_workers import START_SEND_LIMIT_S
from fuchsiascale.jobs._worker_calls import (
    STOPPING,
    ExchangeRequest,
    PaceRequest,
    RelayedCall,
    RelayedReply,
    StopRequest,
)

__all__ = ["WorkerRelay"]

FLUSH_DELAY_S = 0.004
"""Time for which replies are collected before they are sent."""
TICK_S = 0.1
"""Period in which the relay notes that the process runs."""
MAX_PAUSE_S = 0.6
"""Pause of the process after which calls are dropped: they may be old."""


class WorkerRelay:
    """Makes the calls that owners send, and returns the replies.

    Parameters
    ----------
    workers : WorkerPort
        The workers.
    clock : Clock
        Source of time, which includes suspensions.
    late_commands : LateCommands, optional
        Counts the commands that are dropped.
    """

    def __init__(self, workers, clock, late_commands=None):
        self.workers = workers
        self.clock = clock
        self.late_commands = late_commands or LateCommands(clock)
        self.log = logbook.Logger("relay")
        self._sessions = set()
        self._ran_at_s = clock.monotonic()

    async def run(self):
        """Note regularly that the process runs, until cancelled."""
        while True:
            self._ran_at_s = self.clock.monotonic()
            await asyncio.sleep(TICK_S)

    def was_paused(self):
        """Return whether the process has just resumed after a pause."""
        return self.clock.monotonic() - self._ran_at_s > MAX_PAUSE_S

    async def serve(self, connection, owner=""):
        """Serve an owner's connection until it ends; see `RelayChannel`.

        ``owner`` is the address of the owner, and empty if it is unknown.
        """
        RELAYED_FOR.set(owner)
        session = _Session(self.workers, connection, self.clock, self.late_commands)
        self._sessions.add(session)
        try:
            while (content := await connection.receive()) is not None:
                if self.was_paused():
                    connection.abort()
                    self._note_dropped(session.decode_calls(content), owner)
                    return
                session.handle_calls(content)
        except msgspec.DecodeError as error:
            self.log.error("malformed calls", extra={"why": str(error)})
            connection.abort()
        finally:
            self._sessions.discard(session)
            session.cancel()

    def _note_dropped(self, calls, owner):
        paused_s = self.clock.monotonic() - self._ran_at_s
        self.log.warning(
            "calls dropped after a pause of the process",
            extra={
                "owner": owner,
                "calls": len(calls),
                "paused_s": round(paused_s, 3),
            },
        )
        for call in calls:
            if not isinstance(call.request, ExchangeRequest):
                command = describe_command(call.worker, call.request)
                self.late_commands.note(command, paused_s, is_sent=False)

    def stop(self):
        """Ask all owners to send no further calls; those in flight are finished."""
        for session in self._sessions:
            session.announce_stop()


class _Session:
    """Calls in flight of one connection, and replies to send."""

    def __init__(self, workers, connection, clock, late_commands):
        self._workers = workers
        self._connection = connection
        self._clock = clock
        self._late_commands = late_commands
        self._tasks = set()
        self._outbox = []
        self._decoder = msgspec.json.Decoder(list[RelayedCall])

    def decode_calls(self, content):
        """Return the calls of a message."""
        return self._decoder.decode(content)

    def handle_calls(self, content):
        """Start the calls of a message."""
        arrived_s = self._clock.monotonic()
        for call in self.decode_calls(content):
            task = asyncio.create_task(self._make_call(call, arrived_s))
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)

    async def _make_call(self, call, arrived_s):
        waited_s = self._clock.monotonic() - arrived_s
        if isinstance(call.request, StartRequest) and waited_s > START_SEND_LIMIT_S:
            # The process was paused between the arrival and this task's first step.
            command = describe_command(call.worker, call.request)
            self._late_commands.note(command, waited_s, is_sent=False)
            self._reply(call.number, Absent())
            return
        result = await self._dispatch(call.worker, call.request)
        reply = result.value_or(None)
        self._reply(call.number, result.failure() if reply is None else reply)

    async def _dispatch(self, worker, request):
        match request:
            case ExchangeRequest():
                return await self._workers.exchange(
                    worker,
                    request.token,
                    request.acknowledged,
                    request.lease_until_ms,
                    request.wait_ms,
                )
            case StopRequest():
                return await self._workers.stop(
                    worker, request.task, request.attempt, request.token
                )
            case PaceRequest():
                return await self._workers.pace(
                    worker,
                    request.task,
                    request.attempt,
                    request.percent,
                    request.token,
                )
            case _:
                return await self._workers.start(worker, request)

    def _reply(self, number, reply):
        self._outbox.append(RelayedReply(number, reply))
        if len(self._outbox) == 1:
            asyncio.get_running_loop().call_later(FLUSH_DELAY_S, self._flush)

    def _flush(self):
        replies, self._outbox = self._outbox, []
        self._connection.send(msgspec.json.encode(replies))

    def announce_stop(self):
        """Announce that no further calls are relayed."""
        self._reply(STOPPING, NoAnswer("stopping"))

    def cancel(self):
        """Cancel the calls in flight."""
        for task in self._tasks:
            task.cancel()
