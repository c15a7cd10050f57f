"""Messages by which slots of runners are lent as expiring credits."""

from fuchsiascale.ids import InstanceId, RunnerId, ShardId
from fuchsiascale.platform import NO_TOKEN, FencingToken, Message

__all__ = [
    "CreditGrant",
    "CreditReply",
    "CreditRequest",
    "CreditWish",
    "HolderCredit",
    "LedgerClaim",
    "LedgerCopy",
    "LedgerReply",
    "LedgerRequest",
]


class CreditWish(Message, array_like=True):
    """What an instance could use of a runner, and what it still counts on.

    Parameters
    ----------
    slots : int
        Slots that it could use.
    kept : int
        Slots of its present credit that it goes on using; it has given up the rest.
    floor : int
        Slots of its present floor.
    """

    runner: RunnerId
    slots: int
    kept: int = 0
    floor: int = 0


class CreditRequest(Message):
    """Asks the owner of a shard for credits on its runners.

    Parameters
    ----------
    incarnation : int
        Start time of the asking process, in milliseconds of wall-clock time.
    sequence : int
        Grows with each ask of the process; an owner passes over older ones.
    """

    instance: InstanceId
    shard: ShardId
    wishes: tuple[CreditWish, ...]
    incarnation: int = 0
    sequence: int = 0


class CreditGrant(Message, array_like=True):
    """Slots of a runner for some milliseconds, and a floor for longer."""

    runner: RunnerId
    slots: int
    lease_ms: int
    floor: int = 0
    floor_lease_ms: int = 0


class CreditReply(Message):
    """Grants for one instance; not the owner when ``owner`` is false."""

    owner: bool
    grants: tuple[CreditGrant, ...] = ()


class HolderCredit(Message):
    """What a ledger counts for one holder of a runner's slots.

    Parameters
    ----------
    lease_ms, floor_lease_ms : int
        Time until the slots and the floor are surely given up, in milliseconds.
    """

    holder: str
    sequence: int
    slots: int = 0
    lease_ms: int = 0
    floor: int = 0
    floor_lease_ms: int = 0


class LedgerCopy(Message):
    """The closed ledger of one runner.

    Parameters
    ----------
    token : FencingToken
        Token under which the closed ledger lent the slots.
    unknown_ms : int
        Time for which credits of an owner before may still be in use.
    unknown_floors_ms : int
        The same for floors.
    """

    runner: RunnerId
    token: FencingToken = NO_TOKEN
    unknown_ms: int = 0
    unknown_floors_ms: int = 0
    debts: tuple[HolderCredit, ...] = ()


class LedgerClaim(Message):
    """Names a runner and the token of its new owner."""

    runner: RunnerId
    token: FencingToken


class LedgerRequest(Message):
    """Asks the owner before to close its ledgers and to hand them over."""

    claims: tuple[LedgerClaim, ...]


class LedgerReply(Message):
    """Ledgers that are closed now; a runner without one is left out."""

    copies: tuple[LedgerCopy, ...] = ()
