"""Admission of requests to the slots of one pool.

Notes
-----
A share is the queue of one team, kind and urgency class. Free slots go to
shares by start-time fair queueing [1]_: the service time of each ticket,
divided by the share's weight, advances the share's virtual time, and the share
with the least virtual time is next. An urgency class that uses fewer slots than
its floor takes precedence. The slots of a share without waiting tickets are
available to the others. Within a share, the ticket with the earliest deadline
is first.

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
    """Result of the admission of a ticket."""

    ADMITTED = "admitted"
    QUEUED = "queued"
    REFUSED = "refused"


class ShareKey(Message):
    """Key of a share: the team, the kind and the urgency of its requests."""

    team: TeamId
    kind: str
    urgency: Urgency = Urgency.URGENT


class Ticket(Message, eq=False):
    """Request for a slot; compared by identity, not by value.

    Parameters
    ----------
    deadline_ms : float
        Monotonic time by which the request must have ended, in milliseconds.
    """

    request: RequestId
    share: ShareKey
    deadline_ms: float


class Verdict(Message):
    """Decision on a ticket.

    Parameters
    ----------
    refusal : Refusal or None
        Reason of a refusal.
    retry_after_ms : float
        Time after which a refused caller may retry, in milliseconds.
    """

    ticket: Ticket
    kind: VerdictKind
    refusal: Refusal | None = None
    retry_after_ms: float = 0.0


class ClassFloor(Message):
    """Fraction of the slots guaranteed to an urgency class with waiting tickets."""

    urgency: Urgency
    fraction: float


class _Share(msgspec.Struct):
    """State of one share."""

    weight: float
    urgency: Urgency
    virtual_ms: float = 0.0
    in_use: int = 0
    service_ms: float = 0.0
    waiting: list = []
    in_heap: bool = False


class _ClassState(msgspec.Struct):
    """State of one urgency class; ``turns`` is a heap of its shares by virtual time."""

    in_use: int = 0
    turns: list = []


class AdmissionPool(msgspec.Struct):
    """Slots of a pool, the tickets that hold them and the tickets that wait.

    Parameters
    ----------
    capacity : int
        Total number of slots.
    floors : dict of Urgency to float
        Fraction of the slots guaranteed to each class with waiting tickets.
    weights : dict of TeamId to float
        Weight of each team; 1 if absent.
    held : dict of Ticket to float
        Service time charged to each ticket that holds a slot, in milliseconds.
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
    """Apply new floors and team weights.

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
    queued = [share.weight for share in pool.shares.values() if share.waiting]
    pool.queued_weight = sum(queued)


def resize_pool(pool, capacity, now_ms):
    """Set the number of slots and assign the free ones to waiting tickets.

    Returns
    -------
    list of Verdict
        Verdicts on tickets that were waiting.
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
        The ticket's own verdict first, then those on tickets that were waiting.

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
    """Release the slot of an admitted ticket and assign it to a waiting one.

    Parameters
    ----------
    pool : AdmissionPool
    ticket : Ticket
    service_ms : float
        Time for which the ticket held the slot, in milliseconds.
    now_ms : float
        Monotonic time, in milliseconds.
    answered : bool
        Whether the request was answered. If not, the time is charged to its share
        but doesn't enter the estimates of the service time.

    Returns
    -------
    list of Verdict
        Verdicts on tickets that were waiting.

    Raises
    ------
    KeyError
        If the ticket holds no slot.
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
    """Remove a waiting ticket, for example after its caller has disconnected.

    Returns
    -------
    bool
        Whether the ticket was waiting; an admitted one has to be released.
    """
    share = pool.shares.get(ticket.share)
    if share is None:
        return False
    remaining = [entry for entry in share.waiting if entry[2] is not ticket]
    if len(remaining) == len(share.waiting):
        return False
    share.waiting[:] = remaining
    heapify(share.waiting)
    _count_dequeued(pool, share)
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


def _estimate_service(pool, share):
    return share.service_ms or pool.service_ms


def _get_required_ms(share, service_ms):
    """Return the time that a ticket must have left to be admitted.

    It is zero for a share without a slot in use. Otherwise, an estimate above every
    deadline would refuse all requests, and no sample could correct it.
    """
    return service_ms if share.in_use else 0.0


def _check_ticket(pool, share, ticket, now_ms):
    service_ms = _get_required_ms(share, _estimate_service(pool, share))
    wait_ms = _estimate_wait(pool, share, _estimate_service(pool, share))
    remaining_ms = ticket.deadline_ms - now_ms
    if remaining_ms < service_ms + wait_ms:
        return _refuse(ticket, Refusal.DEADLINE, service_ms + wait_ms - remaining_ms)
    if len(share.waiting) >= MAX_SHARE_QUEUE:
        return _refuse(ticket, Refusal.OVER_SHARE, wait_ms)
    return None


def _estimate_wait(pool, share, service_ms):
    if pool.in_use < pool.capacity and not pool.queued:
        return 0.0
    weight = pool.queued_weight
    if not share.waiting:
        weight += share.weight
    slots = max(1.0, pool.capacity * share.weight / weight)
    ahead = len(share.waiting) + max(0.0, share.in_use - slots + 1.0)
    return service_ms * ahead / slots


def _refuse(ticket, refusal, retry_after_ms):
    clamped_ms = min(MAX_RETRY_AFTER_MS, max(MIN_RETRY_AFTER_MS, retry_after_ms))
    return Verdict(
        ticket=ticket,
        kind=VerdictKind.REFUSED,
        refusal=refusal,
        retry_after_ms=clamped_ms,
    )


def _enqueue(pool, share, ticket):
    pool.sequence += 1
    if not share.waiting:
        share.virtual_ms = max(share.virtual_ms, pool.virtual_ms)
        pool.queued_weight += share.weight
        _push_turn(pool, ticket.share, share)
    heappush(share.waiting, (ticket.deadline_ms, pool.sequence, ticket))
    pool.queued += 1


def _count_dequeued(pool, share):
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


def _push_turn(pool, key, share):
    if share.in_heap:
        return
    share.in_heap = True
    turns = _find_class(pool, share.urgency).turns
    heappush(turns, (share.virtual_ms, pool.sequence, key))


def _dispatch(pool, now_ms):
    verdicts = []
    while pool.in_use < pool.capacity and pool.queued:
        key = _choose_share(pool)
        share = pool.shares[key]
        ticket = heappop(share.waiting)[2]
        _count_dequeued(pool, share)
        service_ms = _estimate_service(pool, share)
        if ticket.deadline_ms - now_ms < _get_required_ms(share, service_ms):
            verdicts.append(_refuse(ticket, Refusal.DEADLINE, service_ms))
        else:
            _occupy(pool, share, ticket, service_ms)
            verdicts.append(Verdict(ticket=ticket, kind=VerdictKind.ADMITTED))
        if share.waiting:
            pool.sequence += 1
            _push_turn(pool, key, share)
    return verdicts


def _choose_share(pool):
    ranked = []
    for urgency, state in pool.classes.items():
        _discard_stale_turns(pool, state.turns)
        if state.turns:
            floor_use = _measure_floor_use(pool, urgency, state)
            ranked.append((floor_use, state.turns[0][:2], urgency))
    floor_use, (virtual_ms, _), urgency = min(ranked, key=lambda entry: entry[:2])
    if floor_use >= 1.0:
        pool.virtual_ms = max(pool.virtual_ms, virtual_ms)
    key = heappop(pool.classes[urgency].turns)[2]
    pool.shares[key].in_heap = False
    return key


def _discard_stale_turns(pool, turns):
    while turns:
        virtual_ms, _, key = turns[0]
        share = pool.shares[key]
        if share.waiting and share.virtual_ms <= virtual_ms:
            return
        heappop(turns)
        share.in_heap = False
        if share.waiting:
            _push_turn(pool, key, share)


def _measure_floor_use(pool, urgency, state):
    floor = pool.floors.get(urgency, 0.0) * pool.capacity
    return state.in_use / floor if state.in_use < floor else 1.0


def _occupy(pool, share, ticket, service_ms):
    share.virtual_ms += service_ms / share.weight
    share.in_use += 1
    pool.in_use += 1
    pool.held[ticket] = service_ms
    _find_class(pool, share.urgency).in_use += 1
