"""Messages between instances."""

from fuchsiascale.coordination import (
    ClaimRecord,
    CreditGrant,
    CreditReply,
    CreditRequest,
    CreditWish,
    DocumentSection,
    LedgerReply,
    LedgerRequest,
)
from fuchsiascale.ids import (
    ChunkId,
    FailureDomainId,
    InstanceId,
    RegionId,
    Revision,
    ShardId,
)
from fuchsiascale.platform import (
    FencingToken,
    Message,
    Resources,
    UpstreamAnswer,
    UpstreamRequest,
)
from fuchsiascale.states import Outcome, PeerState, Refusal

__all__ = [
    "CreditGrant",
    "CreditReply",
    "CreditRequest",
    "CreditWish",
    "ForwardReply",
    "ForwardRequest",
    "Heartbeat",
    "HeartbeatReply",
    "KeyClaimReply",
    "KeyClaimRequest",
    "KeySettleRequest",
    "LedgerReply",
    "LedgerRequest",
    "PeerDigest",
    "SectionsReply",
    "SectionsRequest",
    "ShardDigest",
    "ShardHandover",
    "WorkNotice",
]


class ShardDigest(Message):
    """What an owner tells of a shard it holds.

    Parameters
    ----------
    free : Resources
        Uncommitted resources over all claimed workers.
    waiting : int
        Tasks assigned to the shard and not running.
    """

    shard: ShardId
    token: FencingToken
    free: Resources = Resources()
    waiting: int = 0


class PeerDigest(Message):
    """What is spread about one instance; a higher incarnation or beat is newer.

    Parameters
    ----------
    incarnation : int
        Start time of the process, in milliseconds of wall-clock time.
    beat : int
        Count of heartbeats sent since the start.
    in_flight : int
        Requests that the instance has in hand.
    """

    instance: InstanceId
    address: str
    failure_domain: FailureDomainId
    region: RegionId
    incarnation: int
    beat: int
    state: PeerState = PeerState.ALIVE
    revision: Revision = Revision(0)
    in_flight: int = 0
    shards: tuple[ShardDigest, ...] = ()
    leaving_upstreams: tuple[str, ...] = ()


class Heartbeat(Message):
    """Digests of the sender and of a few peers, newest known first."""

    digests: tuple[PeerDigest, ...]


class HeartbeatReply(Message):
    """Digests that the receiver holds newer than the sender."""

    digests: tuple[PeerDigest, ...]


class SectionsRequest(Message):
    """Asks for the sections that changed after a revision."""

    after: Revision


class SectionsReply(Message):
    """Sections changed after the asked revision, and the newest revision."""

    revision: Revision
    sections: tuple[DocumentSection, ...] = ()


class KeyClaimRequest(Message):
    """Asks a key's home instance to insert the claim row before the send."""

    record: ClaimRecord


class KeyClaimReply(Message):
    """Whether the claim is the asker's, or the record that stands already."""

    granted: bool
    refusal: Refusal | None = None
    record: ClaimRecord | None = None


class KeySettleRequest(Message):
    """Records the end of a claimed request."""

    record: ClaimRecord


class ForwardRequest(Message):
    """A request that another failure domain's instance sends to its runners."""

    request: UpstreamRequest
    idempotent: bool


class ForwardReply(Message):
    """What became of a forwarded request."""

    outcome: Outcome
    refusal: Refusal | None = None
    retry_after_ms: int = 0
    answer: UpstreamAnswer | None = None


class WorkNotice(Message):
    """Tells a shard's owner that chunk rows of its shard were written."""

    shard: ShardId
    chunks: tuple[ChunkId, ...]


class ShardHandover(Message):
    """A stopping owner's word that it sends no more commands to a shard."""

    shard: ShardId
    token: FencingToken
    from_instance: InstanceId
