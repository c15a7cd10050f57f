"""Views of the fleet document and of the cluster, on which decisions are based."""

from fuchsiascale.ids import (
    FailureDomainId,
    InstanceId,
    JobKindId,
    RackId,
    RegionId,
    Revision,
    ServiceId,
    ShardId,
    TeamId,
)
from fuchsiascale.platform import ListedInstance, Message, Resources
from fuchsiascale.states import Urgency

__all__ = [
    "ClusterView",
    "DomainSettings",
    "Fleet",
    "InstanceSettings",
    "KindSettings",
    "Member",
    "PolicySettings",
    "ServiceSettings",
    "TeamSettings",
    "format_shard_id",
    "parse_shard_id",
]


class ServiceSettings(Message):
    """Section ``[service NAME]`` of the fleet document."""

    service: ServiceId
    team: TeamId
    slots: int = 8
    connections: int = 64
    urgency: Urgency = Urgency.URGENT
    deadline_ms: int = 2_000
    max_body_bytes: int = 1_048_576
    reserve: Resources = Resources()


class KindSettings(Message):
    """Section ``[kind NAME]`` of the fleet document: a kind of batch job."""

    kind: JobKindId
    team: TeamId
    urgency: Urgency = Urgency.BATCH
    max_failures: int = 3
    evictable: bool = True
    checkpointable: bool = True


class TeamSettings(Message):
    """Section ``[team NAME]`` of the fleet document."""

    team: TeamId
    owner: TeamId = TeamId("")
    weight: float = 1.0
    quota: Resources | None = None
    token_sha256: str = ""


class DomainSettings(Message):
    """Section ``[domain NAME]`` of the fleet document: a failure domain."""

    failure_domain: FailureDomainId
    team: TeamId
    region: RegionId
    link_bytes_per_s: int = 1_875_000


class InstanceSettings(Message):
    """Section ``[instance NAME]`` of the fleet document: one worker or runner."""

    instance: str
    team: TeamId
    cordoned: bool = False
    failure_domain: FailureDomainId = FailureDomainId("")
    rack: RackId = RackId("")
    capacity: Resources = Resources()


class PolicySettings(Message):
    """Section ``[policy]`` of the fleet document: weights of the objectives."""

    team: TeamId = TeamId("")
    tail_latency_weight: float = 1.0
    throughput_weight: float = 1.0
    eviction_weight: float = 1.0
    urgent_floor: float = 0.2
    normal_floor: float = 0.1
    batch_floor: float = 0.1
    retry_budget: float = 0.1


class Fleet(Message):
    """The fleet document in force, parsed and checked."""

    revision: Revision = Revision(0)
    services: dict[ServiceId, ServiceSettings] = {}
    kinds: dict[JobKindId, KindSettings] = {}
    teams: dict[TeamId, TeamSettings] = {}
    domains: dict[FailureDomainId, DomainSettings] = {}
    instances: dict[str, InstanceSettings] = {}
    policy: PolicySettings = PolicySettings()


class Member(Message):
    """An instance of the system."""

    instance: InstanceId
    address: str
    failure_domain: FailureDomainId
    region: RegionId


class ClusterView(Message):
    """State of the cluster as last known to one instance.

    Parameters
    ----------
    members : tuple of Member
        Instances of this failure domain that may own shards, including this one.
    peers : tuple of Member
        Live instances of other failure domains.
    upstreams : tuple of ListedInstance
        Known workers and runners, including leaving ones.
    leaving : frozenset of str
        Upstreams that get no new work.
    listed : bool
        Whether the instance list was read recently.
    """

    instance: InstanceId
    failure_domain: FailureDomainId
    region: RegionId
    members: tuple[Member, ...] = ()
    peers: tuple[Member, ...] = ()
    upstreams: tuple[ListedInstance, ...] = ()
    leaving: frozenset[str] = frozenset()
    listed: bool = True


def format_shard_id(failure_domain, rack):
    """Return the id of the shard for the workers of a rack."""
    return ShardId(f"{failure_domain}:{rack}")


def parse_shard_id(shard):
    """Return the failure domain and the rack of a shard id.

    Examples
    --------
    >>> parse_shard_id("norte-porto:r1")
    ('norte-porto', 'r1')
    """
    failure_domain, _, rack = shard.partition(":")
    return FailureDomainId(failure_domain), RackId(rack)
