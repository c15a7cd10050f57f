"""Tests of admission."""

from hypothesis import given, seed, settings
from hypothesis import strategies as st

from fuchsiascale.decisions import (
    MAX_SHARE_QUEUE,
    AdmissionPool,
    ShareKey,
    Ticket,
    VerdictKind,
    cancel_ticket,
    offer_ticket,
    release_ticket,
    resize_pool,
)
from fuchsiascale.states import Refusal, Urgency
from fuchsiascale.testing import collect_functions

load_tests = collect_functions(__name__)

FAR_MS = 1e9


def make_ticket(number, team="a", urgency=Urgency.URGENT, deadline_ms=FAR_MS):
    share = ShareKey(team=team, kind="k", urgency=urgency)
    return Ticket(request=f"r{number}", share=share, deadline_ms=deadline_ms)


def release_repeatedly(pool, held, rounds, refill=()):
    """Release the oldest held ticket each round; count admissions by share."""
    counts = {}
    now_ms = 0.0
    for _ in range(rounds):
        now_ms += 10.0
        verdicts = release_ticket(pool, held.pop(0), 20.0, now_ms)
        for make_refill in refill:
            verdicts += offer_ticket(pool, make_refill(), now_ms)
        for verdict in verdicts:
            if verdict.kind is VerdictKind.ADMITTED:
                held.append(verdict.ticket)
                key = (verdict.ticket.share.team, verdict.ticket.share.urgency)
                counts[key] = counts.get(key, 0) + 1
    return counts


def offer_tickets(pool, count, **kind):
    admitted = []
    for number in range(count):
        for verdict in offer_ticket(pool, make_ticket(number, **kind), 0.0):
            if verdict.kind is VerdictKind.ADMITTED:
                admitted.append(verdict.ticket)
    return admitted


def test_slots_of_idle_classes_are_available_to_others():
    pool = AdmissionPool(capacity=8, floors={Urgency.URGENT: 0.5})
    assert len(offer_tickets(pool, 20, urgency=Urgency.BATCH)) == 8


def test_slots_are_divided_by_team_weight():
    pool = AdmissionPool(capacity=4, weights={"a": 3.0, "b": 1.0})
    held = offer_tickets(pool, 200, team="a")
    held += offer_tickets(pool, 200, team="b")
    counts = release_repeatedly(pool, held, 160)
    share = counts[("a", Urgency.URGENT)] / 160
    assert 0.9 * 0.75 <= share <= 1.1 * 0.75


def test_class_floor_is_kept_against_many_shares():
    pool = AdmissionPool(capacity=10, floors={Urgency.URGENT: 0.4})
    held = []
    for team in "bcdefghijklmnop":
        held += offer_tickets(pool, 60, team=team, urgency=Urgency.BATCH)
    held += offer_tickets(pool, 200, team="a")
    counts = release_repeatedly(pool, held, 300)
    assert counts[("a", Urgency.URGENT)] >= 0.9 * 0.4 * 300


def test_earliest_deadline_is_first_within_a_share():
    pool = AdmissionPool(capacity=1)
    first = make_ticket(0)
    offer_ticket(pool, first, 0.0)
    offer_ticket(pool, make_ticket("late", deadline_ms=9e8), 0.0)
    offer_ticket(pool, make_ticket("early", deadline_ms=8e8), 0.0)
    verdicts = release_ticket(pool, first, 20.0, 20.0)
    assert [verdict.ticket.request for verdict in verdicts] == ["rearly"]


def test_refusal_reasons():
    table = (
        ("deadline past", 0, -1.0, Refusal.DEADLINE),
        ("cannot be met behind the queue", 10, 100.0, Refusal.DEADLINE),
        ("queue full", MAX_SHARE_QUEUE, FAR_MS, Refusal.OVER_SHARE),
    )
    for name, waiting, deadline_ms, refusal in table:
        pool = AdmissionPool(capacity=1)
        offer_tickets(pool, waiting + 1)
        verdict = offer_ticket(pool, make_ticket("x", deadline_ms=deadline_ms), 0.0)[0]
        assert verdict.kind is VerdictKind.REFUSED, name
        assert verdict.refusal is refusal, name
        assert verdict.retry_after_ms > 0.0, name


def test_queued_ticket_past_its_deadline_is_refused():
    pool = AdmissionPool(capacity=1)
    first = make_ticket(0)
    offer_ticket(pool, first, 0.0)
    offer_ticket(pool, make_ticket(1, deadline_ms=100.0), 0.0)
    verdicts = release_ticket(pool, first, 500.0, 500.0)
    assert [verdict.refusal for verdict in verdicts] == [Refusal.DEADLINE]
    assert pool.in_use == 0


def test_cancelled_ticket_is_not_admitted():
    pool = AdmissionPool(capacity=1)
    first, second = make_ticket(0), make_ticket(1)
    offer_ticket(pool, first, 0.0)
    offer_ticket(pool, second, 0.0)
    assert cancel_ticket(pool, second)
    assert not cancel_ticket(pool, first)
    assert release_ticket(pool, first, 20.0, 20.0) == []


@seed(5)
@settings(max_examples=100, deadline=None, database=None)
@given(st.lists(st.tuples(st.integers(0, 4), st.integers(0, 5)), max_size=80))
def test_capacity_is_never_exceeded_and_never_idle_while_tickets_wait(steps):
    pool = AdmissionPool(capacity=3, floors={Urgency.URGENT: 0.3})
    held, waiting, now_ms = [], [], 0.0
    kinds = list(Urgency)
    for number, (action, choice) in enumerate(steps):
        now_ms += 5.0
        verdicts = []
        if action <= 1:
            ticket = make_ticket(number, str(choice % 2), kinds[choice % 3])
            waiting.append(ticket)
            verdicts = offer_ticket(pool, ticket, now_ms)
        elif action == 2 and held:
            verdicts = release_ticket(pool, held.pop(choice % len(held)), 10.0, now_ms)
        elif action == 3 and waiting:
            assert cancel_ticket(pool, waiting.pop(choice % len(waiting)))
        elif action == 4:
            verdicts = resize_pool(pool, choice, now_ms)
        for verdict in verdicts:
            if verdict.kind is not VerdictKind.QUEUED:
                waiting.remove(verdict.ticket)
            if verdict.kind is VerdictKind.ADMITTED:
                held.append(verdict.ticket)
                assert len(held) <= pool.capacity
        assert pool.in_use == len(held)
        assert pool.queued == len(waiting)
        assert not waiting or len(held) >= pool.capacity


def test_estimate_above_every_deadline_admits_one_request_to_correct_it():
    pool = AdmissionPool(capacity=4)
    first = make_ticket(0)
    offer_ticket(pool, first, 0.0)
    release_ticket(pool, first, 5_000.0, 5_000.0)
    probe = make_ticket(1, deadline_ms=7_000.0)
    verdict = offer_ticket(pool, probe, 5_000.0)[0]
    assert verdict.kind is VerdictKind.ADMITTED
    verdict = offer_ticket(pool, make_ticket(2, deadline_ms=7_000.0), 5_000.0)[0]
    assert verdict.refusal is Refusal.DEADLINE
    release_ticket(pool, probe, 10.0, 5_010.0)
    past = offer_ticket(pool, make_ticket(3, deadline_ms=5_000.0), 5_010.0)[0]
    assert past.refusal is Refusal.DEADLINE


def test_unanswered_request_does_not_change_the_service_time_estimate():
    pool = AdmissionPool(capacity=4)
    first = make_ticket(0)
    offer_ticket(pool, first, 0.0)
    before_ms = pool.service_ms
    release_ticket(pool, first, 2_500.0, 2_500.0, answered=False)
    assert pool.service_ms == before_ms
    for number in (1, 2):
        ticket = make_ticket(number, deadline_ms=4_500.0)
        assert offer_ticket(pool, ticket, 2_500.0)[0].kind is VerdictKind.ADMITTED
