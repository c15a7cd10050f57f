"""Messages between instances."""

import msgspec

from fuchsiascale.jobs._model import JobState
from fuchsiascale.jobs._ports import Change, Expect, StoredRow
from fuchsiascale.jobs._records import AcceptedRow, OwnerRow

__all__ = [
    "Acknowledgement",
    "CancelNotice",
    "ConfigurationFreshness",
    "ConfigurationQuery",
    "ConfigurationReply",
    "Handover",
    "JobNotice",
    "PeerMessage",
    "PeerReply",
    "Ping",
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


class Ping(msgspec.Struct, frozen=True, tag="ping", kw_only=True):
    """Sign of life of an instance, to an owner or another instance.

    ``strength``, 0 to 1, says how well the instance could carry a service. Instances of
    one region share the link to the others.
    """

    instance: str
    incarnation: str
    address: str
    strength: float = 1.0
    region: str = ""


class ConfigurationFreshness(msgspec.Struct, frozen=True, kw_only=True):
    """Which configuration an instance has, and how sure it is that it is the newest.

    Parameters
    ----------
    version : int
        Version of the configuration.
    position : int
        Version of the store up to which changes of the table have been seen.
    age_s : float
        Time since it was known to be the newest.
    """

    version: int
    position: int
    age_s: float


class Pong(msgspec.Struct, frozen=True, tag="pong", kw_only=True):
    """Answer to a ping.

    ``owned`` holds the tokens of the services owned, ``heard_ago_s`` how long ago
    the owner of each other service answered this instance. ``near`` are the members
    in the region of the instance that sent the ping. ``configuration`` is None before
    the first.
    """

    instance: str
    incarnation: str
    owned: dict[str, int] = {}
    heard_ago_s: dict[str, float] = {}
    members: tuple[str, ...] = ()
    near: tuple[str, ...] = ()
    configuration: ConfigurationFreshness | None = None


class ConfigurationQuery(msgspec.Struct, frozen=True, tag="configuration"):
    """Asks for the configuration; ``known`` is the version at hand, 0 for none."""

    known: int


class ConfigurationReply(msgspec.Struct, frozen=True, tag="configuration_reply"):
    """The peer's configuration; None before its first.

    ``packed`` is the change that leads to it, as `pack_change` makes it.
    """

    mark: ConfigurationFreshness | None = None
    packed: bytes = b""


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


class RelayReply(msgspec.Struct, frozen=True, tag="relayed"):
    """What the store answered a peer.

    ``status`` is ``done``, ``changed``, ``busy`` or ``no answer``.
    """

    status: str
    version: int = 0
    rows: tuple[StoredRow, ...] = ()


class Acknowledgement(msgspec.Struct, frozen=True, tag="ok"):
    """A notice was taken in; ``done`` is False where it could not be used."""

    done: bool = True


PeerMessage = (
    Ping
    | ConfigurationQuery
    | JobNotice
    | CancelNotice
    | StateQuery
    | WaitingQuery
    | Handover
    | RelayCommit
    | RelayRead
    | RelayWrite
)
PeerReply = (
    Pong | ConfigurationReply | StateReply | WaitingReply | RelayReply | Acknowledgement
)
