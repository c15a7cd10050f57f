"""Messages that coordination parts exchange, whatever carries them."""

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
    """What an owner tells of a shard it holds.

    Parameters
    ----------
    free : Resources
        Uncommitted resources over all claimed workers.
    waiting : int
        Tasks assigned to the shard and not running.
    shapes : tuple of Resources
        Distinct sizes of its workers, less reserves.
    """

    shard: ShardId
    token: FencingToken
    free: Resources = Resources()
    waiting: int = 0
    shapes: tuple[Resources, ...] = ()


class PeerDigest(Message, array_like=True):
    """What is spread about one instance; a higher incarnation or beat is newer.

    Parameters
    ----------
    incarnation : int
        Start time of the process, in milliseconds of wall-clock time.
    beat : int
        Count of heartbeats sent since the start.
    in_flight : int
        Requests that the instance has in hand.
    partial : bool
        Whether the shards are left out, as told before.
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
    """Digests of the sender, first, and of a few peers, newest known first.

    Parameters
    ----------
    news : int
        Count of the sender's announcements, which the reply confirms.
    """

    digests: tuple[PeerDigest, ...]
    news: int = 0


class HeartbeatReply(Message):
    """The receiver's own digest, first, and those that it holds newer."""

    digests: tuple[PeerDigest, ...]
    news: int = 0


class SectionsRequest(Message):
    """Asks for the sections that changed after a revision."""

    after: Revision


class SectionsReply(Message):
    """Sections changed after the asked revision, and the newest revision.

    Parameters
    ----------
    complete : bool
        Whether the sections are the whole document, since what was removed
        after the asked revision is no longer known.
    """

    revision: Revision
    sections: tuple[DocumentSection, ...] = ()
    complete: bool = False


class EditRequest(Message):
    """Replaces the named sections, each at the revision it was read at.

    Parameters
    ----------
    text : str
        INI text that holds the sections to write.
    expected : tuple of DocumentSection
        The sections as they were read; only name and revision count. A section
        absent from it must be new.
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
