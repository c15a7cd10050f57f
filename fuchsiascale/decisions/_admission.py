"""Admission of requests to the slots of one pool.

Notes
-----
Waiting tickets stand in shares, one for each team, kind and urgency class.
Free slots go to shares by start-time fair queueing [1]_: each share has a
virtual time that its service divided by its weight moves on, and the share
that is furthest behind is next. A class that holds less than its floor of the
slots comes before that. A share that has nothing waiting does not count, so
its part is lent. Inside a share the earliest deadline is first.

References
----------
.. [1] P. Goyal, H. M. Vin, H. Cheng, "Start-time Fair Queueing", SIGCOMM 1996.
"""

from enum import Enum
from heapq import heapify, heappop, heappush

import msgspec

from fuchsiascale.ids import RequestId, TeamId
from fuchsiascale.platform import Message
from fuchsiascale.states import Refusal, Urgency

__all__ = [
    "MAX_SHARE_QUEUE",
    "AdmissionPool",
    "ClassFloor",
    "ShareKey",
    "Ticket",
    "Verdict",
    "VerdictKind",
    "cancel_ticket",
    "configure_pool",
    "offer_ticket",
    "release_ticket",
    "resize_pool",
]

MAX_SHARE_QUEUE = 256
MIN_RETRY_AFTER_MS = 50.0
MAX_RETRY_AFTER_MS = 10_000.0
SERVICE_GAIN = 0.05
DEFAULT_SERVICE_MS = 20.0
MIN_WEIGHT = 0.001


class VerdictKind(Enum):
    """What becomes of a ticket."""

    ADMITTED = "admitted"
    QUEUED = "queued"
    REFUSED = "refused"


class ShareKey(Message):
    """Names a share: who asks, for what, how urgently."""

    team: TeamId
    kind: str
    urgency: Urgency = Urgency.URGENT


class Ticket(Message, eq=False):
    """A request that asks for a slot; told apart by identity, not by value.

    Parameters
    ----------
    deadline_ms : float
        Monotonic time by which it must have ended, in milliseconds.
    """

    request: RequestId
    share: ShareKey
    deadline_ms: float


class Verdict(Message):
    """What became of a ticket, or became of it now.

    Parameters
    ----------
    retry_after_ms : float
        After how long a refused caller may try again, in milliseconds.
    """

    ticket: Ticket
    kind: VerdictKind
    refusal: Refusal | None = None
    retry_after_ms: float = 0.0


class ClassFloor(Message):
    """Part of the slots that an urgency class gets whenever it has work."""

    urgency: Urgency
    fraction: float


class _Share(msgspec.Struct):
    """Running state of one share."""

    weight: float
    urgency: Urgency
    virtual_ms: float = 0.0
    in_use: int = 0
    service_ms: float = 0.0
    waiting: list = []
    in_turn: bool = False


class _ClassState(msgspec.Struct):
    """Running state of one urgency class."""

    in_use: int = 0
    turns: list = []


class AdmissionPool(msgspec.Struct):
    """Slots that are shared, who holds them and who waits.

    Parameters
    ----------
    capacity : int
        Slots in all.
    floors : dict of Urgency to float
        Part of the slots that each class gets whenever it has work.
    weights : dict of TeamId to float
        Weight of each team; 1 where absent.
    """

    capacity: int
    floors: dict[Urgency, float] = {}
    weights: dict[TeamId, float] = {}
    virtual_ms: float = 0.0
    service_ms: float = DEFAULT_SERVICE_MS
    in_use: int = 0
    queued: int = 0
    queued_weight: float = 0.0
    shares: dict[ShareKey, _Share] = {}
    classes: dict[Urgency, _ClassState] = {}
    held: dict[Ticket, float] = {}
    sequence: int = 0


def configure_pool(pool, floors, weights):
    """Put new floors and team weights in force.

    Parameters
    ----------
    pool : AdmissionPool
    floors : iterable of ClassFloor
    weights : mapping of TeamId to float
    """
    pool.floors = {floor.urgency: floor.fraction for floor in floors}
    pool.weights = dict(weights)
    for key, share in pool.shares.items():
        share.weight = _find_weight(pool, key)
    busy = [share.weight for share in pool.shares.values() if share.waiting]
    pool.queued_weight = sum(busy)


def resize_pool(pool, capacity, now_ms):
    """Set the number of slots and hand out those that came free.

    Returns
    -------
    list of Verdict
        Verdicts on tickets that waited.
    """
    pool.capacity = capacity
    return _dispatch(pool, now_ms)


def offer_ticket(pool, ticket, now_ms):
    """Admit, queue or refuse a ticket.

    Parameters
    ----------
    pool : AdmissionPool
    ticket : Ticket
    now_ms : float
        Monotonic time, in milliseconds.

    Returns
    -------
    list of Verdict
        The ticket's own verdict first, then those on tickets that waited.

    Examples
    --------
    >>> key = ShareKey(team="t", kind="k")
    >>> pool = AdmissionPool(capacity=1)
    >>> ticket = Ticket(request="r", share=key, deadline_ms=1000.0)
    >>> [verdict.kind.value for verdict in offer_ticket(pool, ticket, 0.0)]
    ['admitted']
    """
    share = _find_share(pool, ticket.share)
    refusal = _check_ticket(pool, share, ticket, now_ms)
    if refusal is not None:
        return [refusal]
    _enqueue(pool, share, ticket)
    verdicts = _dispatch(pool, now_ms)
    for verdict in verdicts:
        if verdict.ticket is ticket:
            others = [other for other in verdicts if other is not verdict]
            return [verdict, *others]
    return [Verdict(ticket=ticket, kind=VerdictKind.QUEUED), *verdicts]


def release_ticket(pool, ticket, service_ms, now_ms, answered=True):
    """Give back an admitted ticket's slot and hand it on.

    Parameters
    ----------
    pool : AdmissionPool
    ticket : Ticket
    service_ms : float
        How long it held the slot, in milliseconds.
    now_ms : float
        Monotonic time, in milliseconds.
    answered : bool
        Whether that was a service time. The hold of a request that got no answer
        is charged to its share, but says nothing about the next request.

    Returns
    -------
    list of Verdict
        Verdicts on tickets that waited.

    Raises
    ------
    KeyError
        Where the ticket holds no slot.
    """
    charged_ms = pool.held.pop(ticket)
    share = pool.shares[ticket.share]
    share.virtual_ms += (service_ms - charged_ms) / share.weight
    if answered:
        share.service_ms = _average(share.service_ms, service_ms)
        pool.service_ms = _average(pool.service_ms, service_ms)
    share.in_use -= 1
    pool.in_use -= 1
    pool.classes[share.urgency].in_use -= 1
    return _dispatch(pool, now_ms)


def cancel_ticket(pool, ticket):
    """Take back a ticket that waits, as when its caller has gone.

    Returns
    -------
    bool
        Whether it was waiting; an admitted one has to be released.
    """
    share = pool.shares.get(ticket.share)
    if share is None:
        return False
    kept = [entry for entry in share.waiting if entry[2] is not ticket]
    if len(kept) == len(share.waiting):
        return False
    share.waiting[:] = kept
    heapify(share.waiting)
    _count_out(pool, share)
    return True


def _find_weight(pool, key):
    return max(MIN_WEIGHT, pool.weights.get(key.team, 1.0))


def _find_share(pool, key):
    share = pool.shares.get(key)
    if share is None:
        weight = _find_weight(pool, key)
        share = _Share(weight=weight, urgency=key.urgency, waiting=[])
        pool.shares[key] = share
    return share


def _average(mean, sample):
    return sample if mean <= 0.0 else mean + SERVICE_GAIN * (sample - mean)


def _expect_service(pool, share):
    return share.service_ms or pool.service_ms


def _least_left(share, service_ms):
    """Return the time that a ticket must have left to be worth a slot.

    A share with nothing in a slot lets any ticket in: were its estimate above every
    deadline, no request would run and the estimate would stay for ever.
    """
    return service_ms if share.in_use else 0.0


def _check_ticket(pool, share, ticket, now_ms):
    service_ms = _least_left(share, _expect_service(pool, share))
    wait_ms = _expect_wait(pool, share, _expect_service(pool, share))
    left_ms = ticket.deadline_ms - now_ms
    if left_ms < service_ms + wait_ms:
        return _refuse(ticket, Refusal.DEADLINE, service_ms + wait_ms - left_ms)
    if len(share.waiting) >= MAX_SHARE_QUEUE:
        return _refuse(ticket, Refusal.OVER_SHARE, wait_ms)
    return None


def _expect_wait(pool, share, service_ms):
    if pool.in_use < pool.capacity and not pool.queued:
        return 0.0
    weight = pool.queued_weight
    if not share.waiting:
        weight += share.weight
    slots = max(1.0, pool.capacity * share.weight / weight)
    ahead = len(share.waiting) + max(0.0, share.in_use - slots + 1.0)
    return service_ms * ahead / slots


def _refuse(ticket, refusal, retry_after_ms):
    bounded_ms = min(MAX_RETRY_AFTER_MS, max(MIN_RETRY_AFTER_MS, retry_after_ms))
    return Verdict(
        ticket=ticket,
        kind=VerdictKind.REFUSED,
        refusal=refusal,
        retry_after_ms=bounded_ms,
    )


def _enqueue(pool, share, ticket):
    pool.sequence += 1
    if not share.waiting:
        share.virtual_ms = max(share.virtual_ms, pool.virtual_ms)
        pool.queued_weight += share.weight
        _take_turn(pool, ticket.share, share)
    heappush(share.waiting, (ticket.deadline_ms, pool.sequence, ticket))
    pool.queued += 1


def _count_out(pool, share):
    pool.queued -= 1
    if not share.waiting:
        pool.queued_weight -= share.weight
    if not pool.queued:
        pool.queued_weight = 0.0


def _find_class(pool, urgency):
    state = pool.classes.get(urgency)
    if state is None:
        state = pool.classes[urgency] = _ClassState(turns=[])
    return state


def _take_turn(pool, key, share):
    if share.in_turn:
        return
    share.in_turn = True
    turns = _find_class(pool, share.urgency).turns
    heappush(turns, (share.virtual_ms, pool.sequence, key))


def _dispatch(pool, now_ms):
    verdicts = []
    while pool.in_use < pool.capacity and pool.queued:
        key = _choose_share(pool)
        share = pool.shares[key]
        ticket = heappop(share.waiting)[2]
        _count_out(pool, share)
        service_ms = _expect_service(pool, share)
        if ticket.deadline_ms - now_ms < _least_left(share, service_ms):
            verdicts.append(_refuse(ticket, Refusal.DEADLINE, service_ms))
        else:
            _occupy(pool, share, ticket, service_ms)
            verdicts.append(Verdict(ticket=ticket, kind=VerdictKind.ADMITTED))
        if share.waiting:
            pool.sequence += 1
            _take_turn(pool, key, share)
    return verdicts


def _choose_share(pool):
    ranked = []
    for urgency, state in pool.classes.items():
        _settle_turns(pool, state.turns)
        if state.turns:
            owed = _measure_owed(pool, urgency, state)
            ranked.append((owed, state.turns[0][:2], urgency))
    owed, (virtual_ms, _), urgency = min(ranked, key=lambda entry: entry[:2])
    if owed >= 1.0:
        pool.virtual_ms = max(pool.virtual_ms, virtual_ms)
    key = heappop(pool.classes[urgency].turns)[2]
    pool.shares[key].in_turn = False
    return key


def _settle_turns(pool, turns):
    while turns:
        virtual_ms, _, key = turns[0]
        share = pool.shares[key]
        if share.waiting and share.virtual_ms <= virtual_ms:
            return
        heappop(turns)
        share.in_turn = False
        if share.waiting:
            _take_turn(pool, key, share)


def _measure_owed(pool, urgency, state):
    floor = pool.floors.get(urgency, 0.0) * pool.capacity
    return state.in_use / floor if state.in_use < floor else 1.0


def _occupy(pool, share, ticket, service_ms):
    share.virtual_ms += service_ms / share.weight
    share.in_use += 1
    pool.in_use += 1
    pool.held[ticket] = service_ms
    _find_class(pool, share.urgency).in_use += 1
