"""Ports of the job service: the rows that last, and the workers."""

from collections.abc import Callable
from enum import Enum
from typing import Protocol

import msgspec
from returns.result import Result

from fuchsiascale.ids import ServiceId, TaskId, WorkerId
from fuchsiascale.jobs._model import Resources

__all__ = [
    "Absent",
    "Busy",
    "Change",
    "Conflict",
    "EndKind",
    "EndedAttempt",
    "Executed",
    "Expect",
    "HistoryTruncated",
    "Inventory",
    "ListedWorker",
    "NoAnswer",
    "Refused",
    "RefusedReason",
    "RowKey",
    "RunningAttempt",
    "StartRequest",
    "StoreCall",
    "StoreError",
    "StorePort",
    "StoredRow",
    "VersionedRows",
    "WorkerListing",
    "WorkerPort",
    "WorkerReply",
]


class RowKey(msgspec.Struct, frozen=True):
    """Place of a row; rows of one partition are written in one transaction."""

    table: str
    partition: str
    key: str


class StoredRow(msgspec.Struct, frozen=True):
    """A row as read; ``version`` rises with every transaction of the store."""

    place: RowKey
    value: bytes
    version: int
    deleted: bool = False


class Expect(msgspec.Struct, frozen=True):
    """A condition of a transaction; version 0 says that the row is absent."""

    place: RowKey
    version: int


class Change(msgspec.Struct, frozen=True):
    """A write, or a removal where ``value`` is None."""

    place: RowKey
    value: bytes | None


class VersionedRows(msgspec.Struct, frozen=True):
    """Rows that changed since a version, oldest first."""

    rows: tuple[StoredRow, ...]
    version: int


class Busy(msgspec.Struct, frozen=True):
    """The store refused the call: nothing was done."""

    detail: str = ""


class NoAnswer(msgspec.Struct, frozen=True):
    """No whole answer came: the call may have been, or may yet be, carried out."""

    detail: str = ""


class Conflict(msgspec.Struct, frozen=True):
    """A condition did not hold; ``rows`` are those of the conditions as they are."""

    rows: tuple[StoredRow, ...] = ()


class HistoryTruncated(msgspec.Struct, frozen=True):
    """The store has dropped the history that was asked for."""


StoreError = Busy | NoAnswer


class StoreCall(msgspec.Struct, frozen=True, kw_only=True):
    """One call to the store, for metrics.

    ``outcome`` is ``done``, ``busy`` or ``no answer``; ``received_bytes`` counts what
    came of the answer, whole or not.
    """

    name: str
    outcome: str
    seconds: float
    received_bytes: int


class StorePort(Protocol):
    """The platform's transactional store of rows."""

    async def commit(
        self, expected: tuple[Expect, ...], changes: tuple[Change, ...]
    ) -> Result[int, Conflict | StoreError]:
        """Apply all changes or none; returns the version written."""

    async def read(
        self, table: str, partition: str, first: str = "", last: str = ""
    ) -> Result[VersionedRows, StoreError]:
        """Read all rows of a partition from key ``first`` up to before ``last``."""

    async def follow(
        self, table: str, after: int, wait_ms: int
    ) -> Result[VersionedRows, HistoryTruncated | StoreError]:
        """Wait for changes of a table."""


class ListedWorker(msgspec.Struct, frozen=True, kw_only=True):
    """A worker as the platform lists it."""

    worker: WorkerId
    service: ServiceId
    address: str
    domain: str
    capacity: Resources
    labels: tuple[str, ...]
    draining: bool = False
    remaining_ms: int | None = None
    incarnation: int = 0


class WorkerListing(msgspec.Struct, frozen=True):
    """Where the platform lists workers, and how an entry is decoded.

    ``decode`` returns None for an entry that names no worker to use.
    """

    table: str
    decode: Callable[[StoredRow], ListedWorker | None]


class EndKind(Enum):
    """How an attempt ended."""

    DONE = "done"
    FAILED = "failed"
    STOPPED = "stopped"
    LAPSED = "lapsed"
    BROKEN = "broken"
    ALONE = "alone"


class RunningAttempt(msgspec.Struct, frozen=True):
    """An attempt that a worker runs.

    ``figure`` is the tail response time in milliseconds of a serving task, and
    the processor time in use (thousandths of a core) of any other.
    """

    task: TaskId
    attempt: int
    checkpoint: str = ""
    percent: int = 0
    figure: int = 0


class EndedAttempt(msgspec.Struct, frozen=True):
    """An attempt that has ended; ``number`` orders the ends of an incarnation."""

    number: int
    task: TaskId
    attempt: int
    end_kind: EndKind
    checkpoint: str = ""


class Inventory(msgspec.Struct, frozen=True, kw_only=True):
    """What a worker says of itself in answer to an exchange."""

    clock_ms: int
    incarnation: int
    running: tuple[RunningAttempt, ...] = ()
    ended: tuple[EndedAttempt, ...] = ()


class RefusedReason(Enum):
    """Why a worker refused an order, which it then has not carried out."""

    FENCED = "fenced"
    SUPERSEDED = "superseded"
    EXPIRED = "expired"
    NO_ROOM = "no_room"
    NO_TICKET = "no_ticket"
    INVALID = "invalid"
    UNHEALTHY = "unhealthy"
    OTHER_INCARNATION = "other_incarnation"


class Refused(msgspec.Struct, frozen=True):
    """A worker's refusal, with its clock where it gave one."""

    reason: RefusedReason
    clock_ms: int | None = None


class Executed(msgspec.Struct, frozen=True):
    """A worker has carried out an order."""

    clock_ms: int


class Absent(msgspec.Struct, frozen=True):
    """Nothing listens at the worker's address: the connection was refused."""


WorkerReply = Result[Executed, Refused | NoAnswer | Absent]


class StartRequest(msgspec.Struct, frozen=True, kw_only=True):
    """Order to start one attempt."""

    task: TaskId
    attempt: int
    payload: str
    lease_until_ms: int
    token: int
    checkpoint: str = ""
    ticket: str = ""


class WorkerPort(Protocol):
    """Orders to workers; the lease end is a time on the worker's own clock."""

    async def exchange(
        self,
        worker: ListedWorker,
        token: int,
        acknowledged: int,
        lease_until_ms: int | None,
        wait_ms: int,
    ) -> Result[Inventory, Refused | NoAnswer | Absent]:
        """Renew the lease, acknowledge recorded ends, and read the inventory."""

    async def start(self, worker: ListedWorker, order: StartRequest) -> WorkerReply:
        """Start an attempt."""

    async def stop(
        self, worker: ListedWorker, task: TaskId, attempt: int, token: int
    ) -> WorkerReply:
        """Stop an attempt; one that is not there yet will never start."""

    async def pace(
        self, worker: ListedWorker, task: TaskId, attempt: int, percent: int, token: int
    ) -> WorkerReply:
        """Let an attempt work at a share of its speed."""
