"""Ledger in which a shard's owner records the runner slots that it lends.

Notes
-----
The slots lent never exceed those of the runner. A credit whose reply was lost, or
whose holder is gone, counts until it has certainly expired. An owner lends only while
the worker has recently confirmed its fencing token, and no request starts on a credit
later than ``CONFIRMATION_TTL_S`` after that confirmation. A new owner therefore either
gets the previous owner's ledger, or waits that long plus the time of the longest
request.

Besides short-lived credits, an owner lends each holder a floor: a share of half the
slots on a lease long enough to outlast a change of owner.
"""

import msgspec

from fuchsiascale.coordination._credit_messages import (
    CreditGrant,
    CreditReply,
    CreditRequest,
    HolderCredit,
    LedgerCopy,
)
from fuchsiascale.platform import NO_TOKEN, FencingToken, Message

__all__ = [
    "FLOOR_LEASE_S",
    "CONFIRMATION_TTL_S",
    "CreditTerms",
    "SlotLedger",
    "HeldClaim",
    "share_slots",
]

CONFIRMATION_TTL_S = 10.0
CREDIT_LEASE_S = 6.0
FLOOR_LEASE_S = 60.0
CLOCK_DRIFT = 0.01
MARGIN_S = 0.5
DEMAND_TTL_S = 10.0


class HeldClaim(Message):
    """An owner's claim on the worker of a runner.

    Parameters
    ----------
    token : FencingToken
        Token of the claim.
    previous : FencingToken or None
        Token that the worker had seen before; None if unknown.
    claimed_s : float
        Monotonic time at which the grant of the claim was received, in seconds.
    confirmed_s : float
        Monotonic time at which the last command that the worker accepted was
        sent, in seconds.
    """

    token: FencingToken
    previous: FencingToken | None
    claimed_s: float
    confirmed_s: float


class CreditTerms(Message):
    """Limits on lending a runner's slots.

    Parameters
    ----------
    slots : int
        Slots of the runner.
    drain_s : float
        Time that the longest request may take, in seconds.
    """

    slots: int
    drain_s: float


class LentSlots(msgspec.Struct):
    """A number of slots that counts as lent until a time."""

    slots: int
    until_s: float


class _Holder(msgspec.Struct):
    """Slots lent to one holder: bursts on short leases, floors on longer ones."""

    sequence: int = -1
    wanted: int = 0
    wanted_until_s: float = 0.0
    bursts: list[LentSlots] = []
    floors: list[LentSlots] = []

    def count_slots(self, now_s):
        """Drop expired entries and return the slots that this holder has been lent."""
        self.bursts = [lent for lent in self.bursts if lent.until_s > now_s]
        self.floors = [lent for lent in self.floors if lent.until_s > now_s]
        return max(
            (lent.slots for lent in self.bursts + self.floors),
            default=0,
        )

    def count_floor(self, now_s):
        """Return the slots that this holder has been lent as a floor."""
        self.count_slots(now_s)
        return max((lent.slots for lent in self.floors), default=0)

    def limit_to_kept(self, kept, floor):
        """Reduce the lent slots to those that the holder reports as kept."""
        for lent in self.bursts:
            lent.slots = min(lent.slots, kept)
        for lent in self.floors:
            lent.slots = min(lent.slots, max(kept, floor))


class _RunnerLedger(msgspec.Struct):
    """Ledger of one runner."""

    token: FencingToken
    unknown_until_s: float
    unknown_floors_until_s: float
    holders: dict[str, _Holder] = {}
    closed: bool = False


def share_slots(wishes, slots):
    """Divide slots by max-min fairness.

    Parameters
    ----------
    wishes : mapping of str to int
        Slots that each holder could use.
    slots : int
        Slots to divide.

    Returns
    -------
    dict of str to int
        Integer shares; none exceeds what its holder could use.

    Examples
    --------
    >>> share_slots({"a": 8, "b": 1, "c": 8}, 8)
    {'b': 1, 'a': 3, 'c': 4}
    """
    shares = {}
    left = slots
    ordered = sorted(wishes, key=lambda holder: (wishes[holder], holder))
    for position, holder in enumerate(ordered):
        share = min(wishes[holder], left // (len(ordered) - position))
        shares[holder] = share
        left -= share
    return shares


class SlotLedger:
    """Lends the slots of the runners whose workers this instance has claimed.

    Parameters
    ----------
    clock : Clock
        Source of monotonic time.
    """

    def __init__(self, clock):
        self._clock = clock
        self._runners = {}

    def lend(self, request: CreditRequest, held_claims, terms, members) -> CreditReply:
        """Answer one request for credits.

        Parameters
        ----------
        request : CreditRequest
            The request.
        held_claims : mapping of RunnerId to HeldClaim
            Claims that this instance holds on the workers of runners.
        terms : mapping of RunnerId to CreditTerms
            Limits on lending the slots of each runner.
        members : int
            Number of instances that share the runners.

        Returns
        -------
        CreditReply
            Grants for the runners whose worker is claimed, unless the request is
            outdated.
        """
        now_s = self._clock.monotonic()
        holder = f"{request.instance}#{request.incarnation}"
        grants = []
        for wanted_credit in request.wishes:
            held_claim = held_claims.get(wanted_credit.runner)
            runner_terms = terms.get(wanted_credit.runner)
            if held_claim is None or runner_terms is None:
                continue
            if not self.open(wanted_credit.runner, held_claim, runner_terms):
                continue
            runner = self._runners[wanted_credit.runner]
            state = runner.holders.setdefault(holder, _Holder())
            if request.sequence <= state.sequence:
                continue
            state.sequence = request.sequence
            state.wanted = wanted_credit.slots
            state.wanted_until_s = now_s + DEMAND_TTL_S
            state.limit_to_kept(wanted_credit.kept, wanted_credit.floor)
            _record_reported_floor(runner, state, wanted_credit.floor, now_s)
            left_s = min(
                CREDIT_LEASE_S, held_claim.confirmed_s + CONFIRMATION_TTL_S - now_s
            )
            left_s += runner_terms.drain_s
            grants.append(
                self._build_grant(
                    wanted_credit.runner, holder, runner_terms.slots, members, left_s
                )
            )
        return CreditReply(owner=True, grants=tuple(grants))

    def open(self, name, held_claim, runner_terms):
        """Open a runner's ledger unless it is open; tell whether it may lend.

        Parameters
        ----------
        name : RunnerId
            The runner.
        held_claim : HeldClaim
            The claim on its worker.
        runner_terms : CreditTerms
            Limits on lending its slots.

        Returns
        -------
        bool
            Whether slots may be lent now.
        """
        now_s = self._clock.monotonic()
        runner = self._runners.get(name)
        if runner is not None and runner.token == held_claim.token:
            return (
                not runner.closed
                and now_s < held_claim.confirmed_s + CONFIRMATION_TTL_S
            )
        if runner is not None and runner.token > held_claim.token:
            return False
        is_open = runner is not None and not runner.closed
        if is_open and runner.token == held_claim.previous:
            runner.token = held_claim.token
        else:
            self._runners[name] = _start_ledger(held_claim, runner_terms)
        return now_s < held_claim.confirmed_s + CONFIRMATION_TTL_S

    def find_copy_source(self, name, held_claim):
        """Return the instance that may have the previous ledger; None for none."""
        now_s = self._clock.monotonic()
        runner = self._runners.get(name)
        if runner is None or runner.token != held_claim.token or runner.closed:
            return None
        if now_s >= runner.unknown_floors_until_s or not held_claim.previous:
            return None
        return held_claim.previous.holder or None

    def close(self, name, token):
        """Close a runner's ledger for a new owner and return a copy of it.

        Parameters
        ----------
        name : RunnerId
            The runner.
        token : FencingToken
            Token of the new owner.

        Returns
        -------
        LedgerCopy or None
            None if this instance has no ledger under a lower token.
        """
        runner = self._runners.get(name)
        if runner is None or runner.token >= token:
            return None
        runner.closed = True
        now_s = self._clock.monotonic()
        return LedgerCopy(
            runner=name,
            token=runner.token,
            unknown_ms=_compute_remaining_ms(runner.unknown_until_s, now_s),
            unknown_floors_ms=_compute_remaining_ms(
                runner.unknown_floors_until_s, now_s
            ),
            debts=tuple(
                _copy_credit(holder, state, now_s)
                for holder, state in runner.holders.items()
            ),
        )

    def apply_copy(self, copy, held_claim):
        """Apply the ledger of the previous owner, which ends the wait for it."""
        runner = self._runners.get(copy.runner)
        if runner is None or runner.token != held_claim.token:
            return
        now_s = self._clock.monotonic()
        lending = now_s >= runner.unknown_until_s
        if copy.token != held_claim.previous or lending:
            return
        runner.unknown_until_s = _compute_end_s(now_s, copy.unknown_ms)
        runner.unknown_floors_until_s = _compute_end_s(now_s, copy.unknown_floors_ms)
        for debt in copy.debts:
            state = runner.holders.setdefault(debt.holder, _Holder())
            state.sequence = max(state.sequence, debt.sequence)
            state.bursts = [LentSlots(debt.slots, _compute_end_s(now_s, debt.lease_ms))]
            state.floors = [
                LentSlots(debt.floor, _compute_end_s(now_s, debt.floor_lease_ms))
            ]

    def count_open(self):
        """Return how many ledgers with lent slots have no successor yet."""
        return sum(
            not runner.closed and self.count_lent(name) > 0
            for name, runner in self._runners.items()
        )

    def count_lent(self, name):
        """Return how many slots of a runner count as lent."""
        runner = self._runners.get(name)
        if runner is None:
            return 0
        now_s = self._clock.monotonic()
        return sum(state.count_slots(now_s) for state in runner.holders.values())

    def _build_grant(self, name, holder, slots, members, left_s):
        now_s = self._clock.monotonic()
        runner = self._runners[name]
        _drop_idle_holders(runner, now_s)
        state = runner.holders[holder]
        free = slots - _count_reserved(runner, slots, now_s)
        others = 0
        entitled = 0
        shares = share_slots(
            {key: other.wanted for key, other in runner.holders.items()}, slots
        )
        for key, other in runner.holders.items():
            if key != holder:
                lent = other.count_slots(now_s)
                others += lent
                entitled += max(lent, shares[key])
        free = max(0, free - others)
        wanted = min(state.wanted, max(shares[holder], slots - entitled), free)
        granted = max(0, wanted)
        floor = min(free, _compute_floor(runner, holder, slots, members, now_s))
        if granted:
            _add_lent_slots(state.bursts, granted, _compute_end_s(now_s, left_s * 1000))
        if floor:
            _add_lent_slots(
                state.floors, floor, _compute_end_s(now_s, FLOOR_LEASE_S * 1000)
            )
        return CreditGrant(
            runner=name,
            slots=granted,
            lease_ms=int(left_s * 1000),
            floor=floor,
            floor_lease_ms=int(FLOOR_LEASE_S * 1000),
        )


def _start_ledger(held_claim, runner_terms):
    if held_claim.previous == NO_TOKEN:
        return _RunnerLedger(held_claim.token, 0.0, 0.0, {})
    longest_s = CONFIRMATION_TTL_S + runner_terms.drain_s
    until_s = held_claim.claimed_s + longest_s * (1 + 2 * CLOCK_DRIFT) + MARGIN_S
    floors_s = FLOOR_LEASE_S * (1 + 2 * CLOCK_DRIFT) + MARGIN_S
    return _RunnerLedger(held_claim.token, until_s, until_s + floors_s, {})


def _add_lent_slots(entries, slots, until_s):
    """Add lent slots, and drop the entries that they cover."""
    entries[:] = [
        entry for entry in entries if entry.slots > slots or entry.until_s > until_s
    ]
    entries.append(LentSlots(slots, until_s))


def _record_reported_floor(runner, state, floor, now_s):
    """Record a floor that an earlier owner lent, as reported by its holder."""
    unknown = runner.unknown_until_s <= now_s < runner.unknown_floors_until_s
    if unknown and state.count_floor(now_s) < floor:
        _add_lent_slots(
            state.floors, floor, _compute_end_s(now_s, FLOOR_LEASE_S * 1000)
        )


def _count_reserved(runner, slots, now_s):
    """Return how many slots unknown credits of earlier owners may still use."""
    if now_s < runner.unknown_until_s:
        return slots
    if now_s < runner.unknown_floors_until_s:
        known = sum(state.count_floor(now_s) for state in runner.holders.values())
        return max(0, slots // 2 - known)
    return 0


def _compute_floor(runner, holder, slots, members, now_s):
    share = max(1, slots // 2 // max(1, members))
    if now_s < runner.unknown_until_s:
        return 0
    if now_s < runner.unknown_floors_until_s:
        return min(share, runner.holders[holder].count_floor(now_s))
    taken = sum(
        state.count_floor(now_s)
        for key, state in runner.holders.items()
        if key != holder
    )
    return max(0, min(share, slots // 2 - taken))


def _drop_idle_holders(runner, now_s):
    for key, state in list(runner.holders.items()):
        if now_s >= state.wanted_until_s:
            state.wanted = 0
            if not state.count_slots(now_s):
                del runner.holders[key]


def _copy_credit(holder, state, now_s):
    state.count_slots(now_s)
    return HolderCredit(
        holder=holder,
        sequence=state.sequence,
        slots=max((lent.slots for lent in state.bursts), default=0),
        lease_ms=max(
            (_compute_remaining_ms(lent.until_s, now_s) for lent in state.bursts),
            default=0,
        ),
        floor=max((lent.slots for lent in state.floors), default=0),
        floor_lease_ms=max(
            (_compute_remaining_ms(lent.until_s, now_s) for lent in state.floors),
            default=0,
        ),
    )


def _compute_remaining_ms(until_s, now_s):
    return max(0, int((until_s - now_s) * 1000) + 1)


def _compute_end_s(now_s, lease_ms):
    return now_s + lease_ms / 1000 * (1 + 2 * CLOCK_DRIFT)
