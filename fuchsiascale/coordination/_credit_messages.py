"""Messages for lending runner slots as credits that expire."""

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
    """The slots of a runner that an instance requests, and those that it keeps.

    Parameters
    ----------
    slots : int
        Slots that it could use.
    kept : int
        Slots of its present credit that it still uses; the rest is released.
    floor : int
        Slots of its present floor.
    """

    runner: RunnerId
    slots: int
    kept: int = 0
    floor: int = 0


class CreditRequest(Message):
    """Request to the owner of a shard for credits on its runners.

    Parameters
    ----------
    incarnation : int
        Start time of the requesting process, in milliseconds of wall-clock time.
    sequence : int
        Grows with each request of the process; the owner ignores outdated ones.
    """

    instance: InstanceId
    shard: ShardId
    wishes: tuple[CreditWish, ...]
    incarnation: int = 0
    sequence: int = 0


class CreditGrant(Message, array_like=True):
    """Slots of a runner for a short lease, and a floor for a longer one."""

    runner: RunnerId
    slots: int
    lease_ms: int
    floor: int = 0
    floor_lease_ms: int = 0


class CreditReply(Message):
    """Grants for one instance; ``owner`` is false if the replier is not the owner."""

    owner: bool
    grants: tuple[CreditGrant, ...] = ()


class HolderCredit(Message):
    """Credit of one holder on a runner's slots, as the ledger records it.

    Parameters
    ----------
    lease_ms, floor_lease_ms : int
        Time until the slots and the floor have certainly expired, in milliseconds.
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
        Time for which unknown credits of earlier owners may still be in use, in
        milliseconds.
    unknown_floors_ms : int
        The same for floors.
    """

    runner: RunnerId
    token: FencingToken = NO_TOKEN
    unknown_ms: int = 0
    unknown_floors_ms: int = 0
    debts: tuple[HolderCredit, ...] = ()


class LedgerClaim(Message):
    """A runner and the token of its new owner."""

    runner: RunnerId
    token: FencingToken


class LedgerRequest(Message):
    """Request to the previous owner to close its ledgers and hand them over."""

    claims: tuple[LedgerClaim, ...]


class LedgerReply(Message):
    """Copies of ledgers that are now closed; runners without one are left out."""

    copies: tuple[LedgerCopy, ...] = ()
