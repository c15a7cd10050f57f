"""Messages of the platform's services."""

import msgspec

from fuchsiascale.ids import (
    AttemptNumber,
    CheckpointKey,
    FailureDomainId,
    IdempotencyKey,
    InstanceId,
    JobKindId,
    RackId,
    RegionId,
    RequestId,
    RunnerId,
    ServiceId,
    TaskId,
    WorkerId,
    WriteId,
)
from fuchsiascale.states import AttemptState, InstanceRole, ListedState

__all__ = [
    "NO_TOKEN",
    "AttemptKey",
    "AttemptReport",
    "Check",
    "ClaimReply",
    "ClaimRequest",
    "Delete",
    "ExchangeReply",
    "ExchangeRequest",
    "FencingToken",
    "ListedInstance",
    "ListedInstances",
    "Message",
    "Put",
    "Resources",
    "Row",
    "ScanPage",
    "StartCommand",
    "StartReply",
    "StartRequest",
    "StartResult",
    "Throttle",
    "Transaction",
    "TransactionReply",
    "UpstreamAnswer",
    "UpstreamRequest",
    "WorkerInventory",
]


class Message(msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=False):
    """Base of all messages: immutable, keyword-only, encoded as JSON."""


class Resources(Message):
    """Amounts of the three resources of a worker.

    Parameters
    ----------
    millicores : int
        Processor time, in thousandths of a core.
    memory_mb : int
        Memory, in megabytes.
    accelerators : int
        Whole accelerators.
    """

    millicores: int = 0
    memory_mb: int = 0
    accelerators: int = 0

    def __add__(self, other):
        return Resources(
            millicores=self.millicores + other.millicores,
            memory_mb=self.memory_mb + other.memory_mb,
            accelerators=self.accelerators + other.accelerators,
        )

    def __sub__(self, other):
        return Resources(
            millicores=self.millicores - other.millicores,
            memory_mb=self.memory_mb - other.memory_mb,
            accelerators=self.accelerators - other.accelerators,
        )

    def fits(self, available):
        """Return whether all three amounts are at most the available ones."""
        return (
            self.millicores <= available.millicores
            and self.memory_mb <= available.memory_mb
            and self.accelerators <= available.accelerators
        )


class FencingToken(Message, order=True):
    """Orders the owners of a worker, which accepts only the highest token."""

    counter: int
    holder: InstanceId


NO_TOKEN = FencingToken(counter=0, holder=InstanceId(""))


class Row(Message):
    """A row of the table service; version 0 means that it is absent."""

    table: str
    key: str
    version: int
    write_id: WriteId = WriteId("")
    value: msgspec.Raw = msgspec.Raw(b"null")


class Put(Message):
    """A conditional write of one row; applies only at the expected version."""

    table: str
    key: str
    expected_version: int
    value: msgspec.Raw


class Delete(Message):
    """A conditional removal of one row."""

    table: str
    key: str
    expected_version: int


class Check(Message):
    """A condition on a row that the transaction does not change."""

    table: str
    key: str
    expected_version: int


class Transaction(Message):
    """Conditional writes that are applied atomically."""

    write_id: WriteId
    puts: tuple[Put, ...] = ()
    deletes: tuple[Delete, ...] = ()
    checks: tuple[Check, ...] = ()


class TransactionReply(Message):
    """Whether a transaction was applied, and the rows that prevented it.

    Parameters
    ----------
    versions : tuple of int
        Versions of the rows as written, in the order of the puts.
    """

    applied: bool
    versions: tuple[int, ...] = ()
    conflicts: tuple[Row, ...] = ()


class ScanPage(Message):
    """Rows in key order; ``next_after`` is empty on the last page."""

    rows: tuple[Row, ...] = ()
    next_after: str = ""


class ListedInstance(Message):
    """An entry of the platform's lagging instance list."""

    instance_id: str
    role: InstanceRole
    address: str
    failure_domain: FailureDomainId
    region: RegionId
    rack: RackId = RackId("")
    state: ListedState = ListedState.LIVE
    service: ServiceId = ServiceId("")
    worker: WorkerId = WorkerId("")


class ListedInstances(Message):
    """The platform's lagging instance list."""

    instances: tuple[ListedInstance, ...] = ()


class AttemptKey(Message):
    """Identifies one attempt at one task."""

    task: TaskId
    attempt: AttemptNumber


class AttemptReport(Message):
    """State of an attempt as its worker reports it.

    Parameters
    ----------
    demand : Resources
        Resources committed to the attempt while it runs.
    used : Resources
        Lagging measurement of the resources that the attempt uses.
    """

    task: TaskId
    attempt: AttemptNumber
    kind: JobKindId
    state: AttemptState
    demand: Resources
    used: Resources = Resources()
    checkpoint: CheckpointKey | None = None
    detail: str = ""

    @property
    def key(self):
        """Return the key of the attempt."""
        return AttemptKey(task=self.task, attempt=self.attempt)


class WorkerInventory(Message):
    """Capacity and attempts of a worker: running and unacknowledged ended ones.

    Parameters
    ----------
    capacity : Resources
        Total capacity of the worker.
    reserved : Resources
        Part of the capacity that its runners use.
    lease_ms : int
        Remaining lease of the owner, in milliseconds; attempts stop at zero.
    clock_ms : int
        Reading of the worker's own monotonic clock, in milliseconds.
    """

    worker: WorkerId
    token: FencingToken
    capacity: Resources
    reserved: Resources = Resources()
    attempts: tuple[AttemptReport, ...] = ()
    lease_ms: int = 0
    clock_ms: int = 0
    leaving: bool = False


class ClaimRequest(Message):
    """Asks a worker to accept commands only under this token.

    Parameters
    ----------
    lease_ms : int
        Lease from receipt, in milliseconds. It never shortens the current lease;
        0 leaves it unchanged.
    """

    token: FencingToken
    lease_ms: int


class ClaimReply(Message):
    """A worker's reply to a claim; refused if a higher token was seen.

    Parameters
    ----------
    previous : FencingToken or None
        Highest token seen before a granted claim; None if it is not reported.
    """

    granted: bool
    highest: FencingToken
    inventory: WorkerInventory | None = None
    previous: FencingToken | None = None


class StartCommand(Message):
    """Starts one attempt, from a checkpoint if one is given."""

    task: TaskId
    attempt: AttemptNumber
    kind: JobKindId
    demand: Resources
    run_ms: int
    checkpoint: CheckpointKey | None = None
    payload: str = ""


class StartRequest(Message):
    """A batch of starts under one token."""

    token: FencingToken
    starts: tuple[StartCommand, ...]


class StartResult(Message):
    """Whether one attempt was started, and the reason if not."""

    task: TaskId
    attempt: AttemptNumber
    started: bool
    reason: str = ""


class StartReply(Message):
    """A worker's reply to a batch of starts."""

    accepted: bool
    highest: FencingToken
    results: tuple[StartResult, ...] = ()


class Throttle(Message):
    """Limits an attempt to a share of its demand, in thousandths."""

    task: TaskId
    attempt: AttemptNumber
    share_permille: int


class ExchangeRequest(Message):
    """Renews the lease and carries all commands to a worker except starts.

    Parameters
    ----------
    acknowledged : tuple of AttemptKey
        Ended attempts whose end is recorded; the worker deletes them.
    checkpoints : tuple of AttemptKey
        Attempts to checkpoint and evict; each ends as ``CHECKPOINTED``.
    release : bool
        Whether to release the claim; the lease continues to run down.
    until_ms : int
        Latest end of the lease on the worker's own clock, so that a renewal that
        arrives late does not extend it; 0 for none.
    """

    token: FencingToken
    lease_ms: int
    until_ms: int = 0
    acknowledged: tuple[AttemptKey, ...] = ()
    stops: tuple[AttemptKey, ...] = ()
    checkpoints: tuple[AttemptKey, ...] = ()
    throttles: tuple[Throttle, ...] = ()
    release: bool = False


class ExchangeReply(Message):
    """A worker's state after an exchange; refused under a lower token."""

    accepted: bool
    highest: FencingToken
    inventory: WorkerInventory | None = None


class UpstreamRequest(Message):
    """A request to a runner."""

    request_id: RequestId
    service: ServiceId
    method: str
    path: str
    deadline_ms: int
    body: bytes = b""
    content_type: str = "application/octet-stream"
    trace_parent: str = ""
    idempotency_key: IdempotencyKey = IdempotencyKey("")


class UpstreamAnswer(Message):
    """A runner's complete response, validated by its length and request id.

    Parameters
    ----------
    leaving : bool
        Whether the runner reports that it is leaving and accepts no new work.
    """

    request_id: RequestId
    runner: RunnerId
    status: int
    body: bytes = b""
    content_type: str = "application/octet-stream"
    leaving: bool = False
