"""Messages between instances."""

import msgspec

from fuchsiascale.ids import FailureDomainId, JobId
from fuchsiascale.jobs._admission import ServiceLoad
from fuchsiascale.jobs._members import Member
from fuchsiascale.jobs._model import JobRecord, JobState
from fuchsiascale.jobs._placement_explanation import PlacementExplanation
from fuchsiascale.jobs._ports import Change, Expect, StoredRow
from fuchsiascale.jobs._records import AcceptedRow, OwnerRow
from fuchsiascale.jobs._store_silence import StoreReport

__all__ = [
    "PING_PERIOD_S",
    "PING_TIMEOUT_S",
    "Acknowledgement",
    "CancelNotice",
    "ConfigurationFreshness",
    "ConfigurationQuery",
    "ConfigurationReply",
    "EarlyCancelNotice",
    "Handover",
    "JobNotice",
    "OwnerNotice",
    "OwnerQuery",
    "OwnerReply",
    "PeerMessage",
    "PeerReply",
    "Ping",
    "PlacementQuery",
    "PlacementReply",
    "Pong",
    "RelayCommit",
    "RelayRead",
    "RelayReply",
    "RelayWrite",
    "StateQuery",
    "StateReply",
    "WaitingQuery",
    "WaitingReply",
]


PING_PERIOD_S = 0.3
"""Period of pings to the owner of a service."""
PING_TIMEOUT_S = 0.5
"""Timeout of a ping or a query."""


class Ping(msgspec.Struct, frozen=True, tag="ping", kw_only=True):
    """Heartbeat of an instance to an owner or another instance.

    See `Member` for the location and strength. ``known_members`` is the digest of the
    members that the instance knows already. ``store`` is what the instance has seen of
    the store; None from one of an earlier version.
    """

    instance: str
    incarnation: str
    address: str
    strength: float = 1.0
    region: str = ""
    domain: FailureDomainId = FailureDomainId("")
    known_members: str = ""
    store: StoreReport | None = None


class ConfigurationFreshness(msgspec.Struct, frozen=True, kw_only=True):
    """Configuration version of an instance, and when it was known to be the newest.

    Parameters
    ----------
    version : int
        Version of the configuration.
    position : int
        Version of the store up to which changes of the table were received.
    age_s : float
        Time since the version was last known to be the newest.
    """

    version: int
    position: int
    age_s: float


class Pong(msgspec.Struct, frozen=True, tag="pong", kw_only=True):
    """Answer to a ping.

    ``owned`` holds the fencing tokens of the services that this instance owns.
    ``heard_ago_s`` is the time since the owner of each other service last answered this
    instance. ``live_members`` are all live instances; None if the instance that sent
    the ping knows them already, by their digest. ``configuration`` is None before the
    first version. ``store`` is what this instance has seen of the store; None from one
    of an earlier version. ``loads`` are the services that it owns in which jobs wait.
    """

    instance: str
    incarnation: str
    owned: dict[str, int] = {}
    heard_ago_s: dict[str, float] = {}
    live_members: tuple[Member, ...] | None = None
    members_digest: str = ""
    configuration: ConfigurationFreshness | None = None
    store: StoreReport | None = None
    loads: tuple[ServiceLoad, ...] = ()


class ConfigurationQuery(msgspec.Struct, frozen=True, tag="configuration"):
    """Asks for the configuration; ``known`` is the sender's version, 0 for none."""

    known: int


class ConfigurationReply(msgspec.Struct, frozen=True, tag="configuration_reply"):
    """The freshness of the peer's configuration, and the change that leads to it.

    ``mark`` is None if the peer has no configuration yet. ``packed`` is the change as
    encoded by `pack_change`; it is empty if the sender already has the version.
    """

    mark: ConfigurationFreshness | None = None
    packed: bytes = b""


class JobNotice(msgspec.Struct, frozen=True, tag="job"):
    """Reports a job that was just stored."""

    service: str
    row: AcceptedRow


class CancelNotice(msgspec.Struct, frozen=True, tag="cancel"):
    """Reports a cancellation that was just stored."""

    service: str
    job: str


class EarlyCancelNotice(msgspec.Struct, frozen=True, tag="early_cancel"):
    """Reports cancellations that were just stored of jobs that were not found."""

    jobs: tuple[JobId, ...]


class StateQuery(msgspec.Struct, frozen=True, tag="state"):
    """Asks an owner for the state of a job."""

    service: str
    job: str


class StateReply(msgspec.Struct, frozen=True, tag="state_reply"):
    """The state of a job; None if this instance doesn't know it."""

    state: JobState | None


class WaitingQuery(msgspec.Struct, frozen=True, tag="waiting"):
    """Asks an owner for the number of waiting jobs in each queue."""

    service: str


class WaitingReply(msgspec.Struct, frozen=True, tag="waiting_reply"):
    """Number of waiting jobs by queue; None if this instance doesn't know it."""

    counts: dict[str, int] | None


class PlacementQuery(msgspec.Struct, frozen=True, tag="placement"):
    """Asks an owner where a job that is not handed in would start."""

    record: JobRecord


class PlacementReply(msgspec.Struct, frozen=True, tag="placement_reply"):
    """Where a job would start.

    ``explanation`` is None if this instance doesn't own the service, has not loaded it,
    or has explained another job a moment ago.
    """

    explanation: PlacementExplanation | None


class Handover(msgspec.Struct, frozen=True, tag="handover"):
    """Asks a peer to take over a service from its owner, which is stopping."""

    service: str
    row: OwnerRow
    version: int


class OwnerNotice(msgspec.Struct, frozen=True, tag="owner"):
    """Reports the owner row that an instance has just written."""

    service: str
    row: OwnerRow
    version: int


class OwnerQuery(msgspec.Struct, frozen=True, tag="owner_query"):
    """Asks which owner of a service an instance knows and supports."""

    service: str


class OwnerReply(msgspec.Struct, frozen=True, tag="owner_reply"):
    """Version of the owner row that an instance supports; 0 for none."""

    version: int


class RelayCommit(msgspec.Struct, frozen=True, tag="commit"):
    """Asks a peer to commit a transaction to the store."""

    expected: tuple[Expect, ...]
    changes: tuple[Change, ...]


class RelayWrite(msgspec.Struct, frozen=True, tag="write"):
    """Asks the owner of a service to commit a submission along with its own writes.

    ``row`` and ``version`` identify the owner row that the submission is based on.
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


class RelayReply(msgspec.Struct, frozen=True, tag="relayed"):
    """The store's answer to a relayed call.

    ``status`` is ``done``, ``changed``, ``rejected``, ``busy`` or ``no answer``;
    ``detail`` is why a call was rejected.
    """

    status: str
    version: int = 0
    rows: tuple[StoredRow, ...] = ()
    detail: str = ""


class Acknowledgement(msgspec.Struct, frozen=True, tag="ok"):
    """Acknowledges a notice or handover; ``done`` is False if it had no effect."""

    done: bool = True


PeerMessage = (
    Ping
    | ConfigurationQuery
    | JobNotice
    | CancelNotice
    | EarlyCancelNotice
    | StateQuery
    | WaitingQuery
    | PlacementQuery
    | Handover
    | OwnerNotice
    | OwnerQuery
    | RelayCommit
    | RelayRead
    | RelayWrite
)
PeerReply = (
    Pong
    | ConfigurationReply
    | StateReply
    | WaitingReply
    | PlacementReply
    | OwnerReply
    | RelayReply
    | Acknowledgement
)
