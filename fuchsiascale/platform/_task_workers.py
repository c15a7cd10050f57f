"""HTTP client of the workers of the users' platform, which calls them runners."""

import asyncio
import contextlib
import math
import weakref

import aiohttp
import msgspec
from returns.result import Failure, Result, Success

from fuchsiascale.clock import BootClock
from fuchsiascale.ids import TaskId
from fuchsiascale.jobs import (
    COMMAND_TIMEOUT_S,
    START_SEND_LIMIT_S,
    Absent,
    EndedAttempt,
    EndKind,
    Executed,
    Inventory,
    LateCommands,
    ListedWorker,
    NoAnswer,
    Refused,
    RefusedReason,
    RunningAttempt,
    StartRequest,
    WorkerReply,
)
from fuchsiascale.json_decoding import decode_json
from fuchsiascale.timeouts import limit_response_time

__all__ = ["HttpTaskWorkers"]

NO_TIMEOUT = aiohttp.ClientTimeout()
"""The session's own timeouts would count time in which this process could not run."""
MAX_LISTED_ENDS = 500
"""Number of ends that a worker returns at most; it lists the earliest ones."""
MAX_CONCURRENT_COMMANDS = 16
"""Commands that one process has open at a worker; each takes a connection. A worker
resets those beyond its limit, 64 from all processes. Connections of processes that lost
power or their network stay open there, so the share of three owners has to fit in."""
NO_LIMIT = contextlib.nullcontext()
INCARNATION_HEADER = "Target-Instance"
REFUSAL_REASONS = {
    "fence": RefusedReason.FENCED,
    "old": RefusedReason.SUPERSEDED,
    "late": RefusedReason.EXPIRED,
    "room": RefusedReason.NO_ROOM,
    "ticket": RefusedReason.NO_TICKET,
}


class _StartBody(msgspec.Struct, omit_defaults=True):
    """Body of a start; in all bodies ``run_id`` is the attempt's number.

    ``spec`` is the task's payload, and ``deadline_ms`` the end of the lease on the
    worker's own clock.
    """

    task: str
    run_id: int
    spec: str
    deadline_ms: int
    fencing_token: int
    checkpoint: str = ""
    ticket: str = ""


class _StopBody(msgspec.Struct):
    task: str
    run_id: int
    fencing_token: int


class _PaceBody(msgspec.Struct):
    task: str
    run_id: int
    percent: int
    fencing_token: int


class _HoldBody(msgspec.Struct, omit_defaults=True):
    """Body of an exchange.

    Ended attempts with numbers up to ``last_seen`` are acknowledged and no longer
    listed; ``deadline_ms`` is the end of the lease on the worker's own clock.
    """

    fencing_token: int
    last_seen: int
    deadline_ms: int | None = None
    wait_ms: int = 0


class _RunningRow(msgspec.Struct, array_like=True):
    """A running attempt; ``saved`` is its checkpoint."""

    task: str
    run_id: int
    saved: str | None = None
    percent: float = 0
    figure: float = 0


class _EndedRow(msgspec.Struct, array_like=True):
    """An ended attempt; ``saved`` is its checkpoint."""

    number: int
    task: str
    run_id: int
    how: EndKind
    saved: str | None = None


class _HoldReply(msgspec.Struct):
    """Inventory of a worker, whose incarnation is ``born``."""

    clock_ms: int = 0
    born: int = 0
    running: list[_RunningRow] = []
    ended: list[_EndedRow] = []


class _CommandReply(msgspec.Struct):
    clock_ms: int | None = None
    reason: str = ""


class _Body(aiohttp.BytesPayload):
    """A body that is written in time or not at all.

    The session writes the headers of a request together with the first bytes of its
    body, and resets the connection if that raises an exception. So nothing was sent of
    a request whose body was not written.

    Parameters
    ----------
    body : msgspec.Struct
        The body, which is sent as JSON.
    clock : Clock
        Source of time.
    send_by_s : float, optional
        Time on the clock after which it is not written.

    Attributes
    ----------
    written_s : float or None
        Time at which the first write began; None if none did.
    """

    def __init__(self, body, clock, send_by_s=math.inf):
        super().__init__(msgspec.json.encode(body), content_type="application/json")
        self.written_s = None
        self._clock = clock
        self._send_by_s = send_by_s

    def withdraw(self):
        """Prevent all further writes; return whether none has begun."""
        self._send_by_s = -math.inf
        return self.written_s is None

    def check(self):
        """Raise an exception if it is too late to write the body."""
        if self._clock.monotonic() > self._send_by_s:
            raise aiohttp.ClientConnectionError("not sent in time")

    async def write_with_length(self, writer, content_length):
        """Write the body unless it is too late."""
        self.check()
        if self.written_s is None:
            self.written_s = self._clock.monotonic()
        await super().write_with_length(writer, content_length)


class HttpTaskWorkers:
    """HTTP client of the workers.

    Parameters
    ----------
    session : aiohttp.ClientSession
        Session for the calls; not closed here.
    clock : Clock, optional
        Source of time, which includes suspensions.

    Attributes
    ----------
    late_commands : LateCommands
        Notes the commands that were sent late.
    """

    def __init__(self, session: aiohttp.ClientSession, clock=None):
        self._session = session
        self._clock = clock or BootClock()
        self.late_commands = LateCommands(self._clock)
        self._command_limits = weakref.WeakValueDictionary()

    async def exchange(
        self,
        worker: ListedWorker,
        token: int,
        acknowledged: int,
        lease_until_ms: int | None,
        wait_ms: int,
    ) -> Result[Inventory, Refused | NoAnswer | Absent]:
        """Renew the lease, acknowledge recorded ends and return the inventory."""
        hold = _HoldBody(token, acknowledged, lease_until_ms, wait_ms)
        body = _Body(hold, self._clock)
        result = await self._call(
            worker, "hold", body, COMMAND_TIMEOUT_S + wait_ms / 1000
        )
        if isinstance(result, Failure):
            return result
        decoded = decode_json(result.unwrap(), _HoldReply)
        if isinstance(decoded, Failure):
            return Failure(NoAnswer(f"malformed inventory: {decoded.failure()}"))
        return Success(_convert_inventory(decoded.unwrap()))

    async def start(self, worker: ListedWorker, request: StartRequest) -> WorkerReply:
        """Start an attempt; the reply is `Absent` if it was not sent in time."""
        body = _StartBody(
            request.task,
            request.attempt,
            request.payload,
            request.lease_until_ms,
            request.token,
            request.checkpoint,
            request.ticket,
        )
        return await self._command(worker, "run-start", body, START_SEND_LIMIT_S)

    async def stop(
        self, worker: ListedWorker, task: TaskId, attempt: int, token: int
    ) -> WorkerReply:
        """Stop an attempt; a start of it that arrives later is refused."""
        body = _StopBody(task, attempt, token)
        return await self._command(worker, "run-stop", body)

    async def pace(
        self, worker: ListedWorker, task: TaskId, attempt: int, percent: int, token: int
    ) -> WorkerReply:
        """Throttle an attempt to a percentage of its full speed."""
        body = _PaceBody(task, attempt, percent, token)
        return await self._command(worker, "pace", body)

    async def _command(self, worker, name, body, limit_s=math.inf):
        """Send a command once few enough are open at the worker; return the reply.

        A command with a limit is not sent later than that.
        """
        called_s = self._clock.monotonic()
        limit = self._command_limits.get(worker.address)
        if limit is None:
            limit = asyncio.Semaphore(MAX_CONCURRENT_COMMANDS)
            self._command_limits[worker.address] = limit
        content = _Body(body, self._clock, called_s + limit_s)
        result = await self._call(worker, name, content, COMMAND_TIMEOUT_S, limit)
        if limit_s < math.inf and _is_unanswered(result) and content.withdraw():
            result = Failure(Absent())
        self._note_wait(worker, name, body, called_s, content.written_s)
        return _decode_command_reply(result)

    def _note_wait(self, worker, name, body, called_s, written_s):
        until_s = self._clock.monotonic() if written_s is None else written_s
        command = {
            "command": name.removeprefix("run-"),
            "task": body.task,
            "attempt": body.run_id,
            "worker": worker.worker,
            "token": body.fencing_token,
        }
        self.late_commands.note(command, until_s - called_s, written_s is not None)

    async def _call(self, worker, name, body, timeout_s, limit=NO_LIMIT):
        """Send a request and return the body of a response with status 200."""
        try:
            async with limit_response_time(timeout_s), limit:
                body.check()
                async with self._session.post(
                    f"http://{worker.address}/fuchsiascale/{name}",
                    data=body,
                    timeout=NO_TIMEOUT,
                    headers={
                        "Content-Type": "application/json",
                        INCARNATION_HEADER: worker.worker,
                    },
                ) as response:
                    content = await response.read()
        except aiohttp.ClientConnectorError:
            # There was no connection yet, so nothing has been sent.
            return Failure(Absent())
        except (aiohttp.ClientError, TimeoutError) as error:
            return Failure(NoAnswer(repr(error)))
        if response.status == 200:
            return Success(content)
        return Failure(_decode_refusal(response.status, content))


def _decode_refusal(status, content):
    reply = _decode_command_body(content)
    if status == 421:
        return Refused(RefusedReason.OTHER_INCARNATION, reply.clock_ms)
    if status in (429, 503):
        return Refused(RefusedReason.UNHEALTHY, reply.clock_ms)
    if status == 409:
        reason = REFUSAL_REASONS.get(reply.reason, RefusedReason.INVALID)
        return Refused(reason, reply.clock_ms)
    if status == 400:
        return Refused(RefusedReason.INVALID, reply.clock_ms)
    return NoAnswer(f"status {status}")


def _is_unanswered(result):
    return isinstance(result, Failure) and isinstance(result.failure(), NoAnswer)


def _decode_command_reply(result):
    if isinstance(result, Failure):
        return result
    reply = _decode_command_body(result.unwrap())
    return Success(Executed(reply.clock_ms or 0))


def _decode_command_body(content):
    """Return the body of a reply to a command; an empty one if it is malformed."""
    return decode_json(content, _CommandReply).value_or(_CommandReply())


def _convert_inventory(inventory):
    running = tuple(
        RunningAttempt(
            TaskId(row.task),
            row.run_id,
            row.saved or "",
            int(row.percent),
            int(row.figure),
        )
        for row in inventory.running
    )
    ended = tuple(
        EndedAttempt(row.number, TaskId(row.task), row.run_id, row.how, row.saved or "")
        for row in inventory.ended
    )
    return Inventory(
        clock_ms=inventory.clock_ms,
        incarnation=inventory.born,
        running=running,
        ended=ended,
        lists_all_ends=len(ended) < MAX_LISTED_ENDS,
    )
