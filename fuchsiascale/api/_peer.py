"""Messages between instances."""

from fuchsiascale.coordination import (
    ClaimRecord,
    CreditGrant,
    CreditReply,
    CreditRequest,
    CreditWish,
    Heartbeat,
    HeartbeatReply,
    LedgerReply,
    LedgerRequest,
    PeerDigest,
    SectionsReply,
    SectionsRequest,
    ServiceLatency,
    ShardDigest,
)
from fuchsiascale.ids import (
    ChunkId,
    InstanceId,
    ShardId,
    TeamId,
)
from fuchsiascale.platform import (
    FencingToken,
    Message,
    UpstreamAnswer,
    UpstreamRequest,
)
from fuchsiascale.states import Outcome, Refusal, Urgency

__all__ = [
    "LatencyReport",
    "LedgerReply",
    "LedgerRequest",
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
    "KeySettleReply",
    "KeySettleRequest",
    "PeerDigest",
    "SectionsReply",
    "SectionsRequest",
    "ShardDigest",
    "ShardHandover",
    "WorkNotice",
]


class KeyClaimRequest(Message):
    """Request to a key's home instance to insert the claim row before the send."""

    record: ClaimRecord


class KeyClaimReply(Message):
    """Whether the claim was granted; if not, the existing record or the refusal."""

    granted: bool
    refusal: Refusal | None = None
    record: ClaimRecord | None = None
    version: int = 0


class KeySettleRequest(Message):
    """Request to record a claimed request's outcome at the version of its claim."""

    record: ClaimRecord
    version: int = 0


class KeySettleReply(Message):
    """Whether the outcome is stored."""

    settled: bool


class ForwardRequest(Message):
    """A request to be sent to the runners of the receiver's failure domain."""

    request: UpstreamRequest
    idempotent: bool
    team: TeamId = TeamId("")
    urgency: Urgency = Urgency.URGENT


class ForwardReply(Message):
    """Outcome of a forwarded request."""

    outcome: Outcome
    refusal: Refusal | None = None
    retry_after_ms: int = 0
    answer: UpstreamAnswer | None = None


class WorkNotice(Message):
    """Notifies a shard's owner that chunk rows of its shard were written."""

    shard: ShardId
    chunks: tuple[ChunkId, ...]


class LatencyReport(Message):
    """Mean latencies of services at workers, for the owner of their shard."""

    latencies: tuple[ServiceLatency, ...]


class ShardHandover(Message):
    """Announces that a stopping owner sends no more commands to a shard."""

    shard: ShardId
    token: FencingToken
    from_instance: InstanceId
