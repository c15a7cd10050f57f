"""Measures what the other kinds of requests keep during a flood of one kind.

Compares the admission decision with a single queue.
"""

from collections import deque
from random import Random

from fuchsiascale.decisions import (
    AdmissionPool,
    ShareKey,
    Ticket,
    VerdictKind,
    offer_ticket,
    release_ticket,
)
from fuchsiascale.states import Urgency
from measurements._loop import EventLoop, LatencyRecorder, draw_service_ms
from measurements._report import Report, make_figure, register_measurement

SLOTS = 88
SERVICE_MS = 20.0
DEADLINE_MS = 2_000.0
QUEUE_LIMIT = 20_000
CAPACITY_PER_MS = SLOTS / SERVICE_MS
FLOOD_FACTOR = 10.0
WARM_UP_MS = 2_000.0
END_MS = 12_000.0
SEED = 5

KINDS = {
    "match": (ShareKey(team="norte", kind="match", urgency=Urgency.URGENT), 0.2),
    "count": (ShareKey(team="waco", kind="count", urgency=Urgency.URGENT), 0.2),
    "review": (ShareKey(team="sul", kind="review", urgency=Urgency.NORMAL), 0.15),
    "watch": (ShareKey(team="austin", kind="watch", urgency=Urgency.BATCH), 0.15),
}
FLOORS = {Urgency.URGENT: 0.2, Urgency.NORMAL: 0.1, Urgency.BATCH: 0.1}


class FairPool:
    """Assigns slots by the admission decision."""

    def __init__(self):
        self.pool = AdmissionPool(capacity=SLOTS, floors=FLOORS)

    def offer(self, ticket, now_ms):
        """Offer a ticket; return the tickets that start now."""
        return _list_admitted(offer_ticket(self.pool, ticket, now_ms))

    def release(self, ticket, service_ms, now_ms):
        """Release a slot; return the tickets that start now."""
        return _list_admitted(release_ticket(self.pool, ticket, service_ms, now_ms))


class FifoQueue:
    """Assigns slots first come, first served."""

    def __init__(self):
        self.waiting, self.busy_slots = deque(), 0

    def offer(self, ticket, now_ms):
        """Offer a ticket; return the tickets that start now."""
        if len(self.waiting) < QUEUE_LIMIT:
            self.waiting.append(ticket)
        return self._start()

    def release(self, ticket, service_ms, now_ms):
        """Release a slot; return the tickets that start now."""
        self.busy_slots -= 1
        return self._start()

    def _start(self):
        started = []
        while self.waiting and self.busy_slots < SLOTS:
            self.busy_slots += 1
            started.append(self.waiting.popleft())
        return started


def _list_admitted(verdicts):
    return [entry.ticket for entry in verdicts if entry.kind is VerdictKind.ADMITTED]


class Model:
    """Simulates Poisson arrivals of several kinds at one pool of slots."""

    def __init__(self, pool, flooded=None):
        self.loop, self.random, self.pool = EventLoop(), Random(SEED), pool
        self.latencies = {name: LatencyRecorder() for name in KINDS}
        self.met = dict.fromkeys(KINDS, 0)
        self.offered = dict.fromkeys(KINDS, 0)
        self.useful_service_ms = 0.0
        for name, (share, load) in KINDS.items():
            rate_per_ms = CAPACITY_PER_MS * (FLOOD_FACTOR if name == flooded else load)
            self._arrive(name, share, rate_per_ms)

    def run(self):
        """Run the simulation; return the model."""
        self.loop.run_until(END_MS)
        return self

    def compute_met_fraction(self, name):
        """Return the fraction of a kind's offered requests that met their deadline."""
        return self.met[name] / max(1, self.offered[name])

    @property
    def goodput(self):
        """Fraction of the slots' time spent on requests that met their deadline."""
        return self.useful_service_ms / (SLOTS * (END_MS - WARM_UP_MS))

    def _arrive(self, name, share, rate_per_ms):
        now_ms = self.loop.now_ms
        ticket = Ticket(request=name, share=share, deadline_ms=now_ms + DEADLINE_MS)
        if WARM_UP_MS <= now_ms < END_MS - DEADLINE_MS:
            self.offered[name] += 1
        self._start_service(self.pool.offer(ticket, now_ms))
        delay_ms = self.random.expovariate(rate_per_ms)
        self.loop.call_later(delay_ms, self._arrive, name, share, rate_per_ms)

    def _start_service(self, tickets):
        for ticket in tickets:
            service_ms = draw_service_ms(self.random, SERVICE_MS)
            self.loop.call_later(service_ms, self._end_service, ticket, service_ms)

    def _end_service(self, ticket, service_ms):
        now_ms = self.loop.now_ms
        arrived_ms = ticket.deadline_ms - DEADLINE_MS
        if now_ms <= ticket.deadline_ms and now_ms >= WARM_UP_MS:
            self.useful_service_ms += service_ms
        if WARM_UP_MS <= arrived_ms < END_MS - DEADLINE_MS:
            self.latencies[ticket.request].record(now_ms - arrived_ms)
            self.met[ticket.request] += now_ms <= ticket.deadline_ms
        self._start_service(self.pool.release(ticket, service_ms, now_ms))


def list_flood_figures(flooded, without_flood):
    """Return the figures of a flood of one kind."""
    fair = Model(FairPool(), flooded).run()
    queue = Model(FifoQueue(), flooded).run()
    figures = []
    for name in KINDS:
        if name == flooded:
            continue
        fair_fraction = fair.compute_met_fraction(name)
        figures.append(
            make_figure(
                f"flood of {flooded}: part of its fair share that {name} keeps",
                fair_fraction,
                baseline=queue.compute_met_fraction(name),
                at_least=0.9,
            )
        )
        usual_p99_ms = without_flood.latencies[name].quantile(99)
        figures.append(
            make_figure(
                f"flood of {flooded}: p99 of {name} to that without the flood",
                fair.latencies[name].quantile(99) / usual_p99_ms,
                baseline=queue.latencies[name].quantile(99) / usual_p99_ms,
                at_most=2.0,
            )
        )
    figures.append(
        make_figure(
            f"flood of {flooded}: goodput to capacity",
            fair.goodput,
            baseline=queue.goodput,
            at_least=0.95,
        )
    )
    return figures


@register_measurement("flood", "Floods at ten times capacity")
def run():
    """Flood the least urgent kind, then the most urgent."""
    without_flood = Model(FairPool()).run()
    figures = list_flood_figures("watch", without_flood) + list_flood_figures(
        "match", without_flood
    )
    return Report(
        baseline=f"one queue of {QUEUE_LIMIT:,}, first come, first served",
        setting=f"{SLOTS} slots, mean service {SERVICE_MS:.0f} ms, deadline "
        f"{DEADLINE_MS:.0f} ms, four kinds of 0.15 to 0.2 of capacity, one floods at "
        f"{FLOOD_FACTOR:.0f} times capacity, 10 s, seed {SEED}",
        figures=tuple(figures),
        notes=(
            "Each kind asks for less than its fair share of a quarter, so its fair "
            "share is what it asks for. Refusing costs no slot here; what it costs "
            "in processor time is part of `request_cost`.",
        ),
    )
