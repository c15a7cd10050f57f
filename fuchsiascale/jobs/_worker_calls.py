"""Messages between an owner and the peers that relay its calls to workers.

A message is a list: of calls from the owner, of replies from the peer. A reply that the
peer sends on its own account, that it is stopping, has the number `STOPPING`.
"""

import msgspec

from fuchsiascale.ids import TaskId
from fuchsiascale.jobs._ports import (
    Absent,
    Executed,
    Inventory,
    NoAnswer,
    Refused,
    StartRequest,
    WorkerAddress,
)

__all__ = [
    "STOPPING",
    "ExchangeRequest",
    "PaceRequest",
    "RelayedCall",
    "RelayedReply",
    "StopRequest",
    "WorkerRequest",
]

STOPPING = 0
"""Number of the reply with which a peer announces that it relays no further calls."""


class ExchangeRequest(msgspec.Struct, frozen=True, tag="exchange"):
    """Arguments of `WorkerPort.exchange`."""

    token: int
    acknowledged: int
    lease_until_ms: int | None
    wait_ms: int


class StopRequest(msgspec.Struct, frozen=True, tag="stop"):
    """Arguments of `WorkerPort.stop`."""

    task: TaskId
    attempt: int
    token: int


class PaceRequest(msgspec.Struct, frozen=True, tag="pace"):
    """Arguments of `WorkerPort.pace`."""

    task: TaskId
    attempt: int
    percent: int
    token: int


WorkerRequest = ExchangeRequest | StartRequest | StopRequest | PaceRequest


class RelayedCall(msgspec.Struct, frozen=True, array_like=True):
    """A call to a worker; ``number`` identifies it on its connection."""

    number: int
    worker: WorkerAddress
    request: WorkerRequest


class RelayedReply(msgspec.Struct, frozen=True, array_like=True):
    """The reply to a call."""

    number: int
    reply: Inventory | Executed | Refused | NoAnswer | Absent
