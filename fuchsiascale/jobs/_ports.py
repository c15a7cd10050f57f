"""Ports of the job service: the store of rows, and the workers."""

from collections.abc import Callable
from enum import Enum
from typing import Protocol

import msgspec
from returns.result import Result

from fuchsiascale.ids import FailureDomainId, ServiceId, TaskId, WorkerId
from fuchsiascale.jobs._model import Resources

__all__ = [
    "Absent",
    "Busy",
    "Change",
    "Conflict",
    "EndKind",
    "EndedAttempt",
    "EvacuationListing",
    "Executed",
    "Expect",
    "HistoryTruncated",
    "Inventory",
    "ListedWorker",
    "NoAnswer",
    "OwnerLimits",
    "Refused",
    "RefusedReason",
    "Rejected",
    "RowKey",
    "RunningAttempt",
    "StartRequest",
    "StoreCall",
    "StoreError",
    "StorePort",
    "StoredRow",
    "VersionedRows",
    "WorkerAddress",
    "WorkerListing",
    "WorkerPort",
    "WorkerReply",
]


class RowKey(msgspec.Struct, frozen=True):
    """Key of a row; a transaction writes rows of one partition."""

    table: str
    partition: str
    key: str


class StoredRow(msgspec.Struct, frozen=True):
    """A row as read; every transaction of the store increases ``version``."""

    place: RowKey
    value: bytes
    version: int
    deleted: bool = False


class Expect(msgspec.Struct, frozen=True):
    """A condition of a transaction; version 0 requires that the row is absent."""

    place: RowKey
    version: int


class Change(msgspec.Struct, frozen=True):
    """A write to a row, or its removal if ``value`` is None."""

    place: RowKey
    value: bytes | None


class VersionedRows(msgspec.Struct, frozen=True):
    """Rows that a read or a poll returned, and the store version they belong to.

    The rows of a poll are those that changed since a version, oldest first;
    ``is_complete`` is False if there may be more of them.
    """

    rows: tuple[StoredRow, ...]
    version: int
    is_complete: bool = True


class Busy(msgspec.Struct, frozen=True):
    """The store refused the call; it had no effect."""

    detail: str = ""


class Rejected(Busy, frozen=True):
    """The store rejected the form of the call; repeating it can't succeed."""


class NoAnswer(msgspec.Struct, frozen=True, tag="no answer"):
    """No complete answer arrived; the call may have taken effect, or still may."""

    detail: str = ""


class Conflict(msgspec.Struct, frozen=True):
    """A condition did not hold; ``rows`` are the current rows of the conditions."""

    rows: tuple[StoredRow, ...] = ()


class HistoryTruncated(msgspec.Struct, frozen=True):
    """The store no longer holds the changes since the requested version."""


StoreError = Busy | NoAnswer


class StoreCall(msgspec.Struct, frozen=True, kw_only=True):
    """One call to the store, for metrics.

    ``outcome`` is ``done``, ``busy``, ``rejected`` or ``no answer``;
    ``received_bytes`` counts the bytes of the answer that arrived, even if it was
    incomplete.
    """

    name: str
    outcome: str
    seconds: float
    received_bytes: int


class OwnerLimits(msgspec.Struct, frozen=True):
    """Limits of the platform that owners keep to.

    Parameters
    ----------
    longest_lease_s : float
        Longest lease of a worker, in seconds.
    max_row_bytes : int
        Largest value that the store accepts for a row, in bytes.
    remote_factor : float
        Multiple of its run time that a task takes away from the rack of its data, and
        a gang spread over racks; 1 where the platform states none.
    entry_lapse_s : float
        Time without a sign of a worker after which the platform removes its entry, in
        seconds; 0 if that is unknown.
    """

    longest_lease_s: float = 6.0
    max_row_bytes: int = 65_536
    remote_factor: float = 1.0
    entry_lapse_s: float = 0.0


class StorePort(Protocol):
    """The platform's transactional store of rows."""

    async def commit(
        self, expected: tuple[Expect, ...], changes: tuple[Change, ...]
    ) -> Result[int, Conflict | StoreError]:
        """Apply all changes or none; return the version written."""

    async def read(
        self, table: str, partition: str, first: str = "", last: str = ""
    ) -> Result[VersionedRows, StoreError]:
        """Read all rows of a partition from key ``first`` up to before ``last``."""

    async def follow(
        self, table: str, after: int, wait_ms: int
    ) -> Result[VersionedRows, HistoryTruncated | StoreError]:
        """Wait up to ``wait_ms`` for changes of a table since version ``after``."""


class ListedWorker(msgspec.Struct, frozen=True, kw_only=True):
    """A worker as listed by the platform.

    ``cold_left_ms`` is how much longer it stays slow after its start, as of the time
    when the entry was written.
    """

    worker: WorkerId
    service: ServiceId
    address: str
    domain: str
    capacity: Resources
    labels: tuple[str, ...]
    draining: bool = False
    remaining_ms: int | None = None
    incarnation: int = 0
    cold_left_ms: int = 0


class WorkerListing(msgspec.Struct, frozen=True):
    """Where the platform lists workers, and how an entry is decoded.

    ``decode`` returns None for an entry that is not a usable worker.
    """

    table: str
    decode: Callable[[StoredRow], ListedWorker | None]


class EvacuationListing(msgspec.Struct, frozen=True):
    """Where the operator's evacuations are, and how a row is decoded.

    ``decode`` returns the failure domain, or None for a malformed row. The rows have
    keys from ``first_key`` up to before ``last_key`` in the partition with the empty
    name. ``bound_s`` is the time after the store's acknowledgement of a row from which
    its domain must get no new task.
    """

    table: str
    first_key: str
    last_key: str
    decode: Callable[[StoredRow], FailureDomainId | None]
    bound_s: float


class EndKind(Enum):
    """How an attempt ended."""

    DONE = "done"
    FAILED = "failed"
    STOPPED = "stopped"
    LAPSED = "lapsed"
    BROKEN = "broken"
    ALONE = "alone"


class RunningAttempt(msgspec.Struct, frozen=True, array_like=True):
    """An attempt that a worker runs.

    ``figure`` is the tail response time of a serving task in milliseconds, and the
    processor usage of any other task in thousandths of a core.
    """

    task: TaskId
    attempt: int
    checkpoint: str = ""
    percent: int = 0
    figure: int = 0


class EndedAttempt(msgspec.Struct, frozen=True, array_like=True):
    """An attempt that has ended; ``number`` orders the ends of an incarnation."""

    number: int
    task: TaskId
    attempt: int
    end_kind: EndKind
    checkpoint: str = ""


class Inventory(msgspec.Struct, frozen=True, kw_only=True, tag="inventory"):
    """A worker's answer to an exchange: its attempts, clock and incarnation.

    ``lists_all_ends`` is False if there may be more ends than ``ended`` has room for.
    """

    clock_ms: int
    incarnation: int
    running: tuple[RunningAttempt, ...] = ()
    ended: tuple[EndedAttempt, ...] = ()
    lists_all_ends: bool = True


class RefusedReason(Enum):
    """Why a worker refused a command, which then had no effect."""

    FENCED = "fenced"
    SUPERSEDED = "superseded"
    EXPIRED = "expired"
    NO_ROOM = "no_room"
    NO_TICKET = "no_ticket"
    INVALID = "invalid"
    UNHEALTHY = "unhealthy"
    OTHER_INCARNATION = "other_incarnation"


class Refused(msgspec.Struct, frozen=True, tag="refused"):
    """A worker's refusal, with the time on its clock if it reported that."""

    reason: RefusedReason
    clock_ms: int | None = None


class Executed(msgspec.Struct, frozen=True, tag="executed"):
    """A worker has executed a command."""

    clock_ms: int


class Absent(msgspec.Struct, frozen=True, tag="absent"):
    """Nothing was sent, and nothing will be: the command has had no effect.

    No connection to the worker could be made, or a start was not sent in time.
    """


WorkerReply = Result[Executed, Refused | NoAnswer | Absent]


class WorkerAddress(msgspec.Struct, frozen=True):
    """Id and address of a worker, which is all that a call to it needs."""

    worker: WorkerId
    address: str


class StartRequest(msgspec.Struct, frozen=True, kw_only=True, tag="start"):
    """Request to start one attempt."""

    task: TaskId
    attempt: int
    payload: str
    lease_until_ms: int
    token: int
    checkpoint: str = ""
    ticket: str = ""


class WorkerPort(Protocol):
    """Commands to workers; ``lease_until_ms`` is a time on the worker's own clock."""

    async def exchange(
        self,
        worker: ListedWorker | WorkerAddress,
        token: int,
        acknowledged: int,
        lease_until_ms: int | None,
        wait_ms: int,
    ) -> Result[Inventory, Refused | NoAnswer | Absent]:
        """Renew the lease, acknowledge recorded ends, and return the inventory."""

    async def start(
        self, worker: ListedWorker | WorkerAddress, request: StartRequest
    ) -> WorkerReply:
        """Start an attempt."""

    async def stop(
        self,
        worker: ListedWorker | WorkerAddress,
        task: TaskId,
        attempt: int,
        token: int,
    ) -> WorkerReply:
        """Stop an attempt; a later start of the same attempt has no effect."""

    async def pace(
        self,
        worker: ListedWorker | WorkerAddress,
        task: TaskId,
        attempt: int,
        percent: int,
        token: int,
    ) -> WorkerReply:
        """Throttle an attempt to a percentage of its full speed."""
