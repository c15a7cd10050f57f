"""Messages between instances."""

import msgspec

from fuchsiascale.jobs._model import JobState
from fuchsiascale.jobs._ports import Change, Expect, StoredRow
from fuchsiascale.jobs._records import AcceptedRow, OwnerRow

__all__ = [
    "CancelNotice",
    "Handover",
    "JobNotice",
    "Ok",
    "PeerMessage",
    "PeerReply",
    "Ping",
    "Pong",
    "RelayCommit",
    "RelayRead",
    "RelayWrite",
    "Relayed",
    "StateQuery",
    "StateReply",
    "WaitingQuery",
    "WaitingReply",
]


class Ping(msgspec.Struct, frozen=True, tag="ping", kw_only=True):
    """Sign of life of an instance, to an owner or another instance.

    ``strength``, 0 to 1, says how well the instance could carry a service.
    """

    instance: str
    incarnation: str
    address: str
    strength: float = 1.0


class Pong(msgspec.Struct, frozen=True, tag="pong", kw_only=True):
    """Answer to a ping.

    ``owned`` holds the tokens of the services owned, ``heard_ago_s`` how long ago
    the owner of each other service answered this instance.
    """

    instance: str
    incarnation: str
    owned: dict[str, int] = {}
    heard_ago_s: dict[str, float] = {}
    members: tuple[str, ...] = ()


class JobNotice(msgspec.Struct, frozen=True, tag="job"):
    """A job that was stored just now."""

    service: str
    row: AcceptedRow


class CancelNotice(msgspec.Struct, frozen=True, tag="cancel"):
    """A cancellation that was stored just now."""

    service: str
    job: str


class StateQuery(msgspec.Struct, frozen=True, tag="state"):
    """Asks an owner for the state of a job."""

    service: str
    job: str


class StateReply(msgspec.Struct, frozen=True, tag="state_reply"):
    """The state; None where this instance can't tell."""

    state: JobState | None


class WaitingQuery(msgspec.Struct, frozen=True, tag="waiting"):
    """Asks an owner how many jobs of each queue wait."""

    service: str


class WaitingReply(msgspec.Struct, frozen=True, tag="waiting_reply"):
    """Counts by queue; None where this instance can't tell."""

    counts: dict[str, int] | None


class Handover(msgspec.Struct, frozen=True, tag="handover"):
    """Asks a peer to take a service over from its owner, which stops."""

    service: str
    row: OwnerRow
    version: int


class RelayCommit(msgspec.Struct, frozen=True, tag="commit"):
    """Asks a peer to commit to the store."""

    expected: tuple[Expect, ...]
    changes: tuple[Change, ...]


class RelayWrite(msgspec.Struct, frozen=True, tag="write"):
    """Asks the owner of a service to commit a submission together with its own.

    ``row`` and ``version`` are the owner row that the submission is made under.
    """

    service: str
    row: OwnerRow
    version: int
    expected: tuple[Expect, ...]
    change: Change


class RelayRead(msgspec.Struct, frozen=True, tag="read"):
    """Asks a peer to read from the store."""

    table: str
    partition: str
    first: str
    last: str


class Relayed(msgspec.Struct, frozen=True, tag="relayed"):
    """What the store answered a peer.

    ``status`` is ``done``, ``changed``, ``busy`` or ``no answer``.
    """

    status: str
    version: int = 0
    rows: tuple[StoredRow, ...] = ()


class Ok(msgspec.Struct, frozen=True, tag="ok"):
    """A notice was taken in; ``done`` is False where it could not be used."""

    done: bool = True


PeerMessage = (
    Ping
    | JobNotice
    | CancelNotice
    | StateQuery
    | WaitingQuery
    | Handover
    | RelayCommit
    | RelayRead
    | RelayWrite
)
PeerReply = Pong | StateReply | WaitingReply | Relayed | Ok
