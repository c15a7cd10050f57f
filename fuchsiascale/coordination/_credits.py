"""Ledger by which a shard's owner lends the slots of its runners.

Notes
-----
For each runner the slots lent never exceed its own, counted so that a credit whose
reply was lost, or whose holder is gone, stays counted until it has surely run out.
An owner lends only while it is confirmed as the holder of the worker's fencing token,
and requests start on no credit later than ``TENURE_S`` after that confirmation. A new
owner therefore either gets the ledger of the one before, or waits that long and for
the longest request.
"""

import msgspec

from fuchsiascale.coordination._credit_messages import (
    CreditGrant,
    CreditReply,
    CreditRequest,
    HolderDebt,
    LedgerCopy,
)
from fuchsiascale.platform import NO_TOKEN, FencingToken, Message

__all__ = [
    "FLOOR_LEASE_S",
    "TENURE_S",
    "LoanTerms",
    "SlotLedger",
    "Tenure",
    "share_slots",
]

TENURE_S = 10.0
CREDIT_LEASE_S = 6.0
FLOOR_LEASE_S = 60.0
CLOCK_DRIFT = 0.01
MARGIN_S = 0.5
WISH_TTL_S = 10.0


class Tenure(Message):
    """An owner's hold on the worker of a runner.

    Parameters
    ----------
    token : FencingToken
        Token of the claim.
    previous : FencingToken or None
        Token that the worker had seen before; None where that is not known.
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


class LoanTerms(Message):
    """How a runner's slots are lent.

    Parameters
    ----------
    slots : int
        Slots of the runner.
    drain_s : float
        Time that the longest request may take, in seconds.
    """

    slots: int
    drain_s: float


class Debt(msgspec.Struct):
    """Slots that count as lent until a time."""

    slots: int
    until_s: float


class _Holder(msgspec.Struct):
    sequence: int = -1
    wanted: int = 0
    wanted_until_s: float = 0.0
    bursts: list[Debt] = []
    floors: list[Debt] = []

    def count(self, now_s):
        """Return the slots that count as lent to this holder."""
        self.bursts = [debt for debt in self.bursts if debt.until_s > now_s]
        self.floors = [debt for debt in self.floors if debt.until_s > now_s]
        return max(
            (debt.slots for debt in self.bursts + self.floors),
            default=0,
        )

    def count_floor(self, now_s):
        """Return the slots that count as lent to this holder as a floor."""
        self.count(now_s)
        return max((debt.slots for debt in self.floors), default=0)

    def clip(self, kept, floor):
        """Count no more than the holder says it keeps."""
        for debt in self.bursts:
            debt.slots = min(debt.slots, kept)
        for debt in self.floors:
            debt.slots = min(debt.slots, max(kept, floor))


class _Runner(msgspec.Struct):
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
        What each holder could use.
    slots : int
        What there is to divide.

    Returns
    -------
    dict of str to int
        Whole shares, none over its wish.

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
    """Lends the slots of the runners whose workers this instance holds.

    Parameters
    ----------
    clock : Clock
        Source of monotonic time.
    """

    def __init__(self, clock):
        self._clock = clock
        self._runners = {}

    def lend(self, request: CreditRequest, tenures, terms, members) -> CreditReply:
        """Answer one ask for credits.

        Parameters
        ----------
        request : CreditRequest
            The ask.
        tenures : mapping of RunnerId to Tenure
            Runners whose worker this instance holds.
        terms : mapping of RunnerId to LoanTerms
            How the slots of each runner are lent.
        members : int
            Number of instances that share the runners.

        Returns
        -------
        CreditReply
            Grants for the runners that are held and whose ask is not outdated.
        """
        now_s = self._clock.monotonic()
        holder = f"{request.instance}#{request.incarnation}"
        grants = []
        for wish in request.wishes:
            tenure = tenures.get(wish.runner)
            loan = terms.get(wish.runner)
            if tenure is None or loan is None:
                continue
            if not self.open(wish.runner, tenure, loan):
                continue
            runner = self._runners[wish.runner]
            state = runner.holders.setdefault(holder, _Holder())
            if request.sequence <= state.sequence:
                continue
            state.sequence = request.sequence
            state.wanted = wish.slots
            state.wanted_until_s = now_s + WISH_TTL_S
            state.clip(wish.kept, wish.floor)
            _note_floor(runner, state, wish.floor, now_s)
            left_s = min(CREDIT_LEASE_S, tenure.confirmed_s + TENURE_S - now_s)
            left_s += loan.drain_s
            grants.append(self._grant(wish.runner, holder, loan.slots, members, left_s))
        return CreditReply(owner=True, grants=tuple(grants))

    def open(self, name, tenure, loan):
        """Open or keep a runner's ledger; tell whether it may lend.

        Parameters
        ----------
        name : RunnerId
            The runner.
        tenure : Tenure
            The hold on its worker.
        loan : LoanTerms
            How its slots are lent.

        Returns
        -------
        bool
            Whether slots may be lent now.
        """
        now_s = self._clock.monotonic()
        runner = self._runners.get(name)
        if runner is not None and runner.token == tenure.token:
            return not runner.closed and now_s < tenure.confirmed_s + TENURE_S
        if runner is not None and runner.token > tenure.token:
            return False
        kept = runner is not None and not runner.closed
        if kept and runner.token == tenure.previous:
            runner.token = tenure.token
        else:
            self._runners[name] = _start_ledger(tenure, loan)
        return now_s < tenure.confirmed_s + TENURE_S

    def needs_copy(self, name, tenure):
        """Return the instance to ask for the ledger before; None for none."""
        now_s = self._clock.monotonic()
        runner = self._runners.get(name)
        if runner is None or runner.token != tenure.token or runner.closed:
            return None
        if now_s >= runner.unknown_floors_until_s or not tenure.previous:
            return None
        return tenure.previous.holder or None

    def close(self, name, token):
        """Close a runner's ledger for a new owner and return what it counts.

        Parameters
        ----------
        name : RunnerId
            The runner.
        token : FencingToken
            Token of the new owner.

        Returns
        -------
        LedgerCopy or None
            None where this instance has no ledger under a lower token.
        """
        runner = self._runners.get(name)
        if runner is None or runner.token >= token:
            return None
        runner.closed = True
        now_s = self._clock.monotonic()
        return LedgerCopy(
            runner=name,
            token=runner.token,
            unknown_ms=_left_ms(runner.unknown_until_s, now_s),
            unknown_floors_ms=_left_ms(runner.unknown_floors_until_s, now_s),
            debts=tuple(
                _copy_debt(holder, state, now_s)
                for holder, state in runner.holders.items()
            ),
        )

    def adopt(self, copy, tenure):
        """Take over the ledger of the owner before, and wait no longer."""
        runner = self._runners.get(copy.runner)
        if runner is None or runner.token != tenure.token:
            return
        now_s = self._clock.monotonic()
        lending = now_s >= runner.unknown_until_s
        if copy.token != tenure.previous or lending:
            return
        runner.unknown_until_s = _end(now_s, copy.unknown_ms)
        runner.unknown_floors_until_s = _end(now_s, copy.unknown_floors_ms)
        for debt in copy.debts:
            state = runner.holders.setdefault(debt.holder, _Holder())
            state.sequence = max(state.sequence, debt.sequence)
            state.bursts = [Debt(debt.slots, _end(now_s, debt.lease_ms))]
            state.floors = [Debt(debt.floor, _end(now_s, debt.floor_lease_ms))]

    def count_open(self):
        """Return the number of ledgers with lent slots that no successor has taken."""
        return sum(
            not runner.closed and self.count_lent(name) > 0
            for name, runner in self._runners.items()
        )

    def count_lent(self, name):
        """Return the slots of a runner that count as lent."""
        runner = self._runners.get(name)
        if runner is None:
            return 0
        now_s = self._clock.monotonic()
        return sum(state.count(now_s) for state in runner.holders.values())

    def _grant(self, name, holder, slots, members, left_s):
        now_s = self._clock.monotonic()
        runner = self._runners[name]
        _drop_idle(runner, now_s)
        state = runner.holders[holder]
        free = slots - _reserve(runner, slots, now_s)
        others = 0
        entitled = 0
        shares = share_slots(
            {key: each.wanted for key, each in runner.holders.items()}, slots
        )
        for key, each in runner.holders.items():
            if key != holder:
                lent = each.count(now_s)
                others += lent
                entitled += max(lent, shares[key])
        free = max(0, free - others)
        wanted = min(state.wanted, max(shares[holder], slots - entitled), free)
        granted = max(0, wanted)
        floor = min(free, _floor(runner, holder, slots, members, now_s))
        if granted:
            _add_debt(state.bursts, granted, _end(now_s, left_s * 1000))
        if floor:
            _add_debt(state.floors, floor, _end(now_s, FLOOR_LEASE_S * 1000))
        return CreditGrant(
            runner=name,
            slots=granted,
            lease_ms=int(left_s * 1000),
            floor=floor,
            floor_lease_ms=int(FLOOR_LEASE_S * 1000),
        )


def _start_ledger(tenure, loan):
    if tenure.previous == NO_TOKEN:
        return _Runner(tenure.token, 0.0, 0.0, {})
    longest_s = TENURE_S + loan.drain_s
    until_s = tenure.claimed_s + longest_s * (1 + 2 * CLOCK_DRIFT) + MARGIN_S
    floors_s = FLOOR_LEASE_S * (1 + 2 * CLOCK_DRIFT) + MARGIN_S
    return _Runner(tenure.token, until_s, until_s + floors_s, {})


def _add_debt(debts, slots, until_s):
    """Add a debt, and drop those that it covers."""
    debts[:] = [debt for debt in debts if debt.slots > slots or debt.until_s > until_s]
    debts.append(Debt(slots, until_s))


def _note_floor(runner, state, floor, now_s):
    """Count the floor that an owner before has lent, as its holder tells of it."""
    unknown = runner.unknown_until_s <= now_s < runner.unknown_floors_until_s
    if unknown and state.count_floor(now_s) < floor:
        _add_debt(state.floors, floor, _end(now_s, FLOOR_LEASE_S * 1000))


def _reserve(runner, slots, now_s):
    """Return the slots that credits of owners before may still be using."""
    if now_s < runner.unknown_until_s:
        return slots
    if now_s < runner.unknown_floors_until_s:
        known = sum(state.count_floor(now_s) for state in runner.holders.values())
        return max(0, slots // 2 - known)
    return 0


def _floor(runner, holder, slots, members, now_s):
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


def _drop_idle(runner, now_s):
    for key, state in list(runner.holders.items()):
        if now_s >= state.wanted_until_s:
            state.wanted = 0
            if not state.count(now_s):
                del runner.holders[key]


def _copy_debt(holder, state, now_s):
    state.count(now_s)
    return HolderDebt(
        holder=holder,
        sequence=state.sequence,
        slots=max((debt.slots for debt in state.bursts), default=0),
        lease_ms=max(
            (_left_ms(each.until_s, now_s) for each in state.bursts), default=0
        ),
        floor=max((debt.slots for debt in state.floors), default=0),
        floor_lease_ms=max(
            (_left_ms(each.until_s, now_s) for each in state.floors), default=0
        ),
    )


def _left_ms(until_s, now_s):
    return max(0, int((until_s - now_s) * 1000) + 1)


def _end(now_s, lease_ms):
    return now_s + lease_ms / 1000 * (1 + 2 * CLOCK_DRIFT)
