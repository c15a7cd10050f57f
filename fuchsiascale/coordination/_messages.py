"""Messages that instances exchange, independent of the transport."""

from fuchsiascale.coordination._records import DocumentSection
from fuchsiascale.ids import FailureDomainId, InstanceId, RegionId, Revision, ShardId
from fuchsiascale.platform import FencingToken, Message, Resources
from fuchsiascale.states import PeerState

__all__ = [
    "ConfirmReply",
    "EditReply",
    "EditRequest",
    "Heartbeat",
    "HeartbeatReply",
    "PeerDigest",
    "SectionsReply",
    "SectionsRequest",
    "ShardDigest",
]


class ShardDigest(Message, array_like=True):
    """Summary of a shard that its owner spreads.

    Parameters
    ----------
    free : Resources
        Uncommitted resources of all claimed workers.
    waiting : int
        Tasks assigned to the shard and not running.
    shapes : tuple of Resources
        Distinct sizes of its workers, minus reserves.
    """

    shard: ShardId
    token: FencingToken
    free: Resources = Resources()
    waiting: int = 0
    shapes: tuple[Resources, ...] = ()


class PeerDigest(Message, array_like=True):
    """State of one instance; one with a higher incarnation, then beat, is newer.

    Parameters
    ----------
    incarnation : int
        Start time of the process, in milliseconds of wall-clock time.
    beat : int
        Number of heartbeats sent since the start.
    in_flight : int
        Requests in progress at the instance.
    partial : bool
        Whether the shards are omitted; the receiver retains those it has.
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
    partial: bool = False


class Heartbeat(Message):
    """Digest of the sender, followed by those of the most recently seen peers.

    Parameters
    ----------
    news : int
        Number of the sender's announcements, which the reply confirms.
    """

    digests: tuple[PeerDigest, ...]
    news: int = 0


class HeartbeatReply(Message):
    """Digest of the receiver, followed by newer digests that the sender lacks."""

    digests: tuple[PeerDigest, ...]
    news: int = 0


class SectionsRequest(Message):
    """Asks for the sections that changed after a revision."""

    after: Revision


class SectionsReply(Message):
    """Sections changed after the requested revision, and the newest revision.

    Parameters
    ----------
    complete : bool
        Whether the sections are the whole document, because removals after the
        requested revision may no longer be known.
    """

    revision: Revision
    sections: tuple[DocumentSection, ...] = ()
    complete: bool = False


class EditRequest(Message):
    """Replaces the named sections if they still have the revisions read.

    Parameters
    ----------
    text : str
        INI text with the sections to write.
    expected : tuple of DocumentSection
        The sections as they were read; only name and revision are used. A section
        absent here must be new.
    removed : tuple of str
        Names of sections to remove.
    """

    text: str
    expected: tuple[DocumentSection, ...] = ()
    removed: tuple[str, ...] = ()
    author: str = ""
    check_only: bool = False


class EditReply(Message):
    """Whether an edit was accepted; a conflict names both revisions."""

    accepted: bool
    revision: Revision = Revision(0)
    problems: tuple[str, ...] = ()
    conflicts: tuple[str, ...] = ()


class ConfirmReply(Message):
    """Which instances have a revision, or a newer one, in force."""

    revision: Revision
    confirmed: tuple[str, ...] = ()
    missing: tuple[str, ...] = ()
