"""Messages of the operator interface."""

from fuchsiascale.api._caller import TaskExplanation
from fuchsiascale.coordination import (
    ConfirmReply,
    DocumentSection,
    EditReply,
    EditRequest,
    HistoryEntry,
)
from fuchsiascale.ids import InstanceId, JobId, Revision, ShardId, TeamId
from fuchsiascale.platform import FencingToken, Message, Resources

__all__ = [
    "ConfirmReply",
    "DocumentReply",
    "DrainRequest",
    "EditReply",
    "EditRequest",
    "Explanation",
    "HistoryReply",
    "InstanceStatus",
    "InstancesReply",
    "ShardStatus",
    "ShardsReply",
    "StatusReply",
]


class DocumentReply(Message):
    """The document in force at the answering instance."""

    revision: Revision
    sections: tuple[DocumentSection, ...]
    text: str


class HistoryReply(Message):
    """Accepted edits, newest first."""

    entries: tuple[HistoryEntry, ...]


class InstanceStatus(Message):
    """State of an instance or upstream as known to the answering instance."""

    instance: str
    role: str
    address: str
    failure_domain: str
    region: str
    state: str
    revision: Revision = Revision(0)
    in_flight: int = 0


class InstancesReply(Message):
    """All instances and upstreams known to the answering instance."""

    instances: tuple[InstanceStatus, ...]


class DrainRequest(Message):
    """Request to stop an instance gracefully or to give an upstream no new work."""

    instance: str


class ShardStatus(Message):
    """State of a shard as known to the answering instance."""

    shard: ShardId
    owner: InstanceId
    token: FencingToken
    workers: int = 0
    capacity: Resources = Resources()
    committed: Resources = Resources()
    waiting: int = 0
    running: int = 0
    in_doubt: int = 0


class ShardsReply(Message):
    """All shards known to the answering instance."""

    shards: tuple[ShardStatus, ...]


class Explanation(Message):
    """Per task, why it waits or where it was placed."""

    job: JobId
    state: str
    tasks: tuple[TaskExplanation, ...] = ()


class StatusReply(Message):
    """Summary of the answering instance."""

    instance: InstanceId
    team: TeamId = TeamId("")
    failure_domain: str = ""
    ready: bool = False
    stopping: bool = False
    revision: Revision = Revision(0)
    store_reachable: bool = True
    in_flight: int = 0
    shards_held: int = 0
    version: str = ""
