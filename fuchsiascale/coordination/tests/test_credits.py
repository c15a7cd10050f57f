"""Tests of slot credits: ledgers of owners, holders, takeovers and lost messages."""

import os

from hypothesis import HealthCheck, settings
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    invariant,
    precondition,
    rule,
    run_state_machine_as_test,
)
from msgspec.structs import replace

from fuchsiascale.clock import ManualClock
from fuchsiascale.coordination import CreditTerms, HeldClaim, SlotHolder, SlotLedger
from fuchsiascale.coordination._credits import CONFIRMATION_TTL_S
from fuchsiascale.platform import NO_TOKEN, FencingToken, ListedInstance
from fuchsiascale.states import InstanceRole
from fuchsiascale.testing import collect_functions

load_tests = collect_functions(__name__)

SLOTS = 8
NAMES = ("a", "b", "c")
RATES = {"a": 1.0, "b": 0.992, "c": 1.008}
EXAMPLES = int(os.environ.get("FUCHSIASCALE_FUZZ_EXAMPLES", "100"))
DRAIN_S = 2.5
TERMS = CreditTerms(slots=SLOTS, drain_s=DRAIN_S)
RUNNER = ListedInstance(
    instance_id="runner-1",
    role=InstanceRole.RUNNER,
    address="127.0.0.1:1",
    failure_domain="porto",
    region="norte",
    worker="w",
)


class Instance:
    """An instance with its ledger as an owner and its credits as a holder."""

    def __init__(self, name, clock):
        self.name = name
        self.clock = clock
        self.ledger = SlotLedger(clock)
        self.holder = SlotHolder(name, clock)
        self.held_claim = None

    def lend(self, request, members=3):
        held_claims = {"runner-1": self.held_claim} if self.held_claim else {}
        return self.ledger.lend(request, held_claims, {"runner-1": TERMS}, members)


class CreditMachine(RuleBasedStateMachine):
    """Interleaves instances, a fencing worker, and late or lost messages."""

    def __init__(self):
        super().__init__()
        self.instances = {name: Instance(name, ManualClock(100.0)) for name in NAMES}
        self.highest = NO_TOKEN
        self.messages = []
        self.active = []

    @rule(name=st.sampled_from(NAMES), rare=st.integers(0, 7))
    def claim(self, name, rare):
        if rare and self.highest != NO_TOKEN:
            return
        instance = self.instances[name]
        token = FencingToken(counter=self.highest.counter + 1, holder=name)
        now_s = instance.clock.monotonic()
        instance.held_claim = HeldClaim(
            token=token, previous=self.highest, claimed_s=now_s, confirmed_s=now_s
        )
        self.highest = token
        instance.ledger.open("runner-1", instance.held_claim, TERMS)

    @rule(name=st.sampled_from(NAMES))
    def confirm(self, name):
        instance = self.instances[name]
        if instance.held_claim and instance.held_claim.token == self.highest:
            instance.held_claim = replace(
                instance.held_claim, confirmed_s=instance.clock.monotonic()
            )

    @rule(name=st.sampled_from(NAMES))
    def copy_ledger(self, name):
        instance = self.instances[name]
        if instance.held_claim is None:
            return
        before = instance.ledger.find_copy_source("runner-1", instance.held_claim)
        if before is None or before == name:
            return
        copy = self.instances[before].ledger.close(
            "runner-1", instance.held_claim.token
        )
        if copy is not None:
            self.messages.append(("copy", name, copy, None))

    @rule(
        name=st.sampled_from(NAMES),
        owner=st.sampled_from(NAMES),
        extra=st.integers(0, 8),
    )
    def ask(self, name, owner, extra):
        holder = self.instances[name].holder
        request = holder.build_request("porto:r1", [("runner-1", extra)], force=True)
        self.messages.append(("ask", owner, request, name))

    @precondition(lambda self: self.messages)
    @rule(data=st.data(), lost=st.booleans())
    def deliver(self, data, lost):
        number = data.draw(st.integers(0, len(self.messages) - 1))
        kind, target, body, sender = self.messages.pop(number)
        instance = self.instances[target]
        if lost and data.draw(st.booleans()):
            return
        if kind == "ask":
            self.messages.append(("reply", sender, (body, instance.lend(body)), None))
        elif kind == "reply":
            request, reply = body
            instance.holder.apply(request, reply)
        elif instance.held_claim is not None:
            instance.ledger.apply_copy(body, instance.held_claim)

    @rule(
        name=st.sampled_from(NAMES),
        extra=st.sampled_from([0, 3, 8]),
        reply_lost=st.booleans(),
    )
    def exchange(self, name, extra, reply_lost):
        """Send a request to the owner with the highest token and apply its reply."""
        owners = [
            instance for instance in self.instances.values() if instance.held_claim
        ]
        if not owners:
            return
        owner = max(owners, key=lambda instance: instance.held_claim.token)
        holder = self.instances[name].holder
        request = holder.build_request("porto:r1", [("runner-1", extra)], force=True)
        reply = owner.lend(request)
        holder.apply(request, None if reply_lost else reply)

    @rule(owner=st.sampled_from(NAMES), seconds=st.sampled_from([3.0, 8.0]))
    def fill(self, owner, seconds):
        """Serve all holders from one owner; each then uses all its slots."""
        for name in NAMES:
            holder = self.instances[name].holder
            request = holder.build_request("porto:r1", [("runner-1", 8)], force=True)
            holder.apply(request, self.instances[owner].lend(request))
            self.start_requests(name, seconds)

    def start_requests(self, name, seconds):
        instance = self.instances[name]
        end_s = instance.clock.monotonic() + seconds
        while (slot := instance.holder.acquire(RUNNER, end_s)) is not None:
            self.active.append((end_s, instance, slot))

    @rule(name=st.sampled_from(NAMES), seconds=st.sampled_from([1.0, 8.0]))
    def use(self, name, seconds):
        self.start_requests(name, seconds)

    @precondition(lambda self: self.active)
    @rule(data=st.data())
    def finish(self, data):
        number = data.draw(st.integers(0, len(self.active) - 1))
        _, instance, slot = self.active.pop(number)
        instance.holder.release(slot)

    @rule(seconds=st.sampled_from([0.5, 0.5, 2.0, 2.0, 5.0, 13.3, 65.0]))
    def advance(self, seconds):
        for name, instance in self.instances.items():
            instance.clock.advance(seconds * RATES[name])
        for entry in list(self.active):
            end_s, instance, slot = entry
            if instance.clock.monotonic() >= end_s:
                self.active.remove(entry)
                instance.holder.release(slot)

    @rule(name=st.sampled_from(NAMES), rare=st.integers(0, 5))
    def restart(self, name, rare):
        if rare:
            return
        clock = self.instances[name].clock
        clock.advance(0.001)
        self.instances[name] = Instance(name, clock)

    @invariant()
    def never_more_than_the_slots(self):
        assert len(self.active) <= SLOTS


def test_credits_never_exceed_the_slots_in_any_interleaving():
    run_state_machine_as_test(
        CreditMachine,
        settings=settings(
            max_examples=EXAMPLES,
            stateful_step_count=60,
            derandomize=True,
            deadline=None,
            database=None,
            suppress_health_check=list(HealthCheck),
        ),
    )


def claim(instance, counter, previous):
    now_s = instance.clock.monotonic()
    token = FencingToken(counter=counter, holder=instance.name)
    instance.held_claim = HeldClaim(
        token=token, previous=previous, claimed_s=now_s, confirmed_s=now_s
    )
    instance.ledger.open("runner-1", instance.held_claim, TERMS)
    return token


def request_credit(instance, owner, extra=0):
    request = instance.holder.build_request("s", [("runner-1", extra)], force=True)
    instance.holder.apply(request, owner.lend(request))
    end_s = instance.clock.monotonic() + 3.0
    return instance.holder.count_usable("runner-1", end_s)


def make_three():
    clock = ManualClock(100.0)
    return tuple(Instance(name, clock) for name in NAMES), clock


def test_the_first_owner_lends_at_once_and_credits_follow_demand():
    (a, b, _), _ = make_three()
    claim(a, 1, NO_TOKEN)
    assert request_credit(a, a) == 1
    assert request_credit(b, a, extra=7) == 7
    assert request_credit(a, a, extra=7) == 1
    assert request_credit(b, a) == 1
    assert request_credit(a, a, extra=7) == 7


def test_a_takeover_without_the_ledger_waits_out_the_credits():
    (a, b, _), clock = make_three()
    token = claim(a, 1, NO_TOKEN)
    assert request_credit(a, a, extra=7) == 8
    claim(b, 2, token)
    assert request_credit(b, b, extra=7) == 0
    clock.advance(CONFIRMATION_TTL_S + DRAIN_S)
    assert request_credit(b, b, extra=7) == 0
    clock.advance(1.0)
    b.held_claim = replace(b.held_claim, confirmed_s=clock.monotonic())
    assert request_credit(b, b, extra=7) == SLOTS // 2


def test_floors_reported_by_holders_are_not_reserved_twice():
    (a, b, c), clock = make_three()
    token = claim(a, 1, NO_TOKEN)
    assert request_credit(b, a) == 1
    assert request_credit(c, a) == 1
    claim(b, 2, token)
    clock.advance(CONFIRMATION_TTL_S + DRAIN_S + 1.0)
    b.held_claim = replace(b.held_claim, confirmed_s=clock.monotonic())
    assert request_credit(b, b, extra=7) == SLOTS // 2 + 1
    assert request_credit(c, b) == 1
    assert request_credit(b, b, extra=7) == SLOTS // 2 + 1


def test_a_takeover_with_the_ledger_lends_at_once():
    (a, b, _), _ = make_three()
    token = claim(a, 1, NO_TOKEN)
    assert request_credit(a, a, extra=3) == 4
    claim(b, 2, token)
    assert b.ledger.find_copy_source("runner-1", b.held_claim) == "a"
    b.ledger.apply_copy(a.ledger.close("runner-1", b.held_claim.token), b.held_claim)
    assert request_credit(b, b, extra=7) == 4
    assert request_credit(a, a, extra=7) == 4


def test_a_floor_outlasts_the_owner():
    (a, b, _), clock = make_three()
    claim(a, 1, NO_TOKEN)
    assert request_credit(b, a, extra=5) == 6
    clock.advance(CONFIRMATION_TTL_S)
    assert b.holder.count_usable("runner-1", clock.monotonic() + 3.0) == 1


def use_all_slots(instance, seconds=3.0):
    end_s = instance.clock.monotonic() + seconds
    slots = []
    while (slot := instance.holder.acquire(RUNNER, end_s)) is not None:
        slots.append(slot)
    return slots


def test_credit_released_by_a_request_is_not_used_if_the_reply_is_lost():
    (a, b, _), _ = make_three()
    claim(a, 1, NO_TOKEN)
    request_credit(b, a, extra=7)
    request = b.holder.build_request("s", [("runner-1", 0)], force=True)
    a.lend(request)
    b.holder.apply(request, None)
    request_credit(a, a, extra=7)
    assert len(use_all_slots(a)) + len(use_all_slots(b)) <= SLOTS


def test_an_outdated_request_changes_nothing():
    (a, b, _), _ = make_three()
    claim(a, 1, NO_TOKEN)
    old = b.holder.build_request("s", [("runner-1", 0)], force=True)
    request_credit(b, a, extra=7)
    assert len(use_all_slots(b)) == SLOTS
    assert a.lend(old).grants == ()
    request_credit(a, a, extra=7)
    assert not use_all_slots(a)


def test_an_owner_that_handed_its_ledger_over_lends_no_more():
    (a, b, c), _ = make_three()
    token = claim(a, 1, NO_TOKEN)
    claim(b, 2, token)
    b.ledger.apply_copy(a.ledger.close("runner-1", b.held_claim.token), b.held_claim)
    request_credit(b, b, extra=7)
    request_credit(c, a, extra=7)
    assert len(use_all_slots(b)) + len(use_all_slots(c)) <= SLOTS


def test_requests_in_flight_on_a_floor_that_shrinks_stay_counted():
    (a, b, _), clock = make_three()
    claim(a, 1, NO_TOKEN)
    request = b.holder.build_request("s", [("runner-1", 0)], force=True)
    b.holder.apply(request, a.lend(request, members=1))
    clock.advance(CONFIRMATION_TTL_S)
    a.held_claim = replace(a.held_claim, confirmed_s=clock.monotonic())
    assert len(use_all_slots(b, 20.0)) == SLOTS // 2
    for _ in range(2):
        request = b.holder.build_request("s", [("runner-1", 0)], force=True)
        b.holder.apply(request, a.lend(request, members=4))
    clock.advance(12.0)
    a.held_claim = replace(a.held_claim, confirmed_s=clock.monotonic())
    assert request_credit(a, a, extra=7) == SLOTS // 2


def test_an_owner_that_is_not_confirmed_lends_nothing():
    (a, b, _), clock = make_three()
    claim(a, 1, NO_TOKEN)
    clock.advance(CONFIRMATION_TTL_S)
    assert request_credit(b, a, extra=7) == 0
