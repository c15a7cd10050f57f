"""Client of the users' workers, which they call runners."""

from typing import Any

import aiohttp
import msgspec
from returns.result import Failure, Result, Success

from fuchsiascale.ids import TaskId
from fuchsiascale.jobs import (
    Absent,
    EndedAttempt,
    EndKind,
    Executed,
    Inventory,
    ListedWorker,
    NoAnswer,
    Refused,
    RefusedReason,
    RunningAttempt,
    StartRequest,
    WorkerReply,
)

__all__ = ["HttpTaskWorkers"]

ORDER_TIMEOUT_S = 0.8
"""Workers answer orders within some milliseconds."""
CONNECT_TIMEOUT_S = 0.5
INCARNATION_HEADER = "Target-Instance"
REASONS = {
    "fence": RefusedReason.FENCED,
    "old": RefusedReason.SUPERSEDED,
    "late": RefusedReason.EXPIRED,
    "room": RefusedReason.NO_ROOM,
    "ticket": RefusedReason.NO_TICKET,
}


class _Start(msgspec.Struct, omit_defaults=True):
    task: str
    run_id: int
    spec: str
    deadline_ms: int
    fencing_token: int
    checkpoint: str = ""
    ticket: str = ""


class _Stop(msgspec.Struct):
    task: str
    run_id: int
    fencing_token: int


class _Pace(msgspec.Struct):
    task: str
    run_id: int
    percent: int
    fencing_token: int


class _Hold(msgspec.Struct, omit_defaults=True):
    """``last_seen`` is the last end that need not be listed any more."""

    fencing_token: int
    last_seen: int
    deadline_ms: int | None = None
    wait_ms: int = 0


class _Lists(msgspec.Struct):
    """Rows of ``running``: task, run, saved, percent and a figure of the load."""

    clock_ms: int = 0
    born: int = 0
    running: list[list[Any]] = []
    ended: list[list[Any]] = []


class _Reply(msgspec.Struct):
    clock_ms: int | None = None
    reason: str = ""


class HttpTaskWorkers:
    """Orders to workers over HTTP.

    Parameters
    ----------
    session : aiohttp.ClientSession
        Where calls are made.
    """

    def __init__(self, session: aiohttp.ClientSession):
        self._session = session

    async def exchange(
        self,
        worker: ListedWorker,
        token: int,
        acknowledged: int,
        lease_until_ms: int | None,
        wait_ms: int,
    ) -> Result[Inventory, Refused | NoAnswer | Absent]:
        """Renew the lease, acknowledge recorded ends, and read the inventory."""
        body = _Hold(token, acknowledged, lease_until_ms, wait_ms)
        answered = await self._call(
            worker, "hold", body, ORDER_TIMEOUT_S + wait_ms / 1000
        )
        if isinstance(answered, Failure):
            return answered
        try:
            return Success(_decode_inventory(answered.unwrap()))
        except (
            msgspec.DecodeError,
            UnicodeDecodeError,
            ValueError,
            IndexError,
        ) as error:
            return Failure(NoAnswer(f"unreadable inventory: {error}"))

    async def start(self, worker: ListedWorker, order: StartRequest) -> WorkerReply:
        """Start an attempt."""
        body = _Start(
            order.task,
            order.attempt,
            order.payload,
            order.lease_until_ms,
            order.token,
            order.checkpoint,
            order.ticket,
        )
        return _read_order(await self._call(worker, "run-start", body))

    async def stop(
        self, worker: ListedWorker, task: TaskId, attempt: int, token: int
    ) -> WorkerReply:
        """Stop an attempt; one that is not there yet will never start."""
        body = _Stop(task, attempt, token)
        return _read_order(await self._call(worker, "run-stop", body))

    async def pace(
        self, worker: ListedWorker, task: TaskId, attempt: int, percent: int, token: int
    ) -> WorkerReply:
        """Let an attempt work at a share of its speed."""
        body = _Pace(task, attempt, percent, token)
        return _read_order(await self._call(worker, "pace", body))

    async def _call(self, worker, name, body, timeout_s=ORDER_TIMEOUT_S):
        """Return the content of an answer with status 200."""
        timeout = aiohttp.ClientTimeout(total=timeout_s, sock_connect=CONNECT_TIMEOUT_S)
        try:
            async with self._session.post(
                f"http://{worker.address}/fuchsiascale/{name}",
                data=msgspec.json.encode(body),
                timeout=timeout,
                headers={
                    "Content-Type": "application/json",
                    INCARNATION_HEADER: worker.worker,
                },
            ) as response:
                content = await response.read()
        except aiohttp.ClientConnectorError as error:
            return Failure(Absent() if _is_refused(error) else NoAnswer(repr(error)))
        except (aiohttp.ClientError, TimeoutError) as error:
            return Failure(NoAnswer(repr(error)))
        if response.status == 200:
            return Success(content)
        return Failure(_decode_refusal(response.status, content))


def _is_refused(error):
    return isinstance(error.os_error, ConnectionRefusedError)


def _decode_refusal(status, content):
    try:
        reply = msgspec.json.decode(content, type=_Reply) if content else _Reply()
    except (msgspec.DecodeError, UnicodeDecodeError):
        reply = _Reply()
    if status == 421:
        return Refused(RefusedReason.OTHER_INCARNATION, reply.clock_ms)
    if status in (429, 503):
        return Refused(RefusedReason.UNHEALTHY, reply.clock_ms)
    if status == 409:
        reason = REASONS.get(reply.reason, RefusedReason.INVALID)
        return Refused(reason, reply.clock_ms)
    if status == 400:
        return Refused(RefusedReason.INVALID, reply.clock_ms)
    return NoAnswer(f"status {status}")


def _read_order(answered):
    if isinstance(answered, Failure):
        return answered
    try:
        reply = msgspec.json.decode(answered.unwrap(), type=_Reply)
    except (msgspec.DecodeError, UnicodeDecodeError):
        reply = _Reply()
    return Success(Executed(reply.clock_ms or 0))


def _decode_inventory(content):
    lists = msgspec.json.decode(content, type=_Lists)
    running = tuple(
        RunningAttempt(
            TaskId(row[0]),
            row[1],
            row[2] or "",
            row[3],
            int(row[4]) if len(row) > 4 else 0,
        )
        for row in lists.running
    )
    ended = tuple(
        EndedAttempt(row[0], TaskId(row[1]), row[2], EndKind(row[3]), row[4] or "")
        for row in lists.ended
    )
    return Inventory(
        clock_ms=lists.clock_ms,
        incarnation=lists.born,
        running=running,
        ended=ended,
    )
