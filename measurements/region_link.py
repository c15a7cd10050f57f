"""Measures the bytes over a region link when a domain loses half its runners."""

from random import Random

from fuchsiascale.decisions import (
    LINK_RESERVES,
    AdmissionPool,
    LinkBudget,
    ShareKey,
    Ticket,
    VerdictKind,
    offer_ticket,
    refill_link,
    release_ticket,
    spend_link,
)
from fuchsiascale.states import Urgency
from measurements._loop import EventLoop, draw_service_ms
from measurements._report import Report, make_figure, register_measurement

LOCAL_SLOTS = 44
SERVICE_MS = 20.0
LINK_BYTES_PER_MS = 1_875.0
BUDGET_FRACTION = 0.8
REQUEST_BYTES = 8_000
LINK_DELAY_MS = 8.0
LOAD_PER_MS = 0.8 * 88 / SERVICE_MS
URGENT_FRACTION = 0.5
DEADLINES_MS = {Urgency.URGENT: 500.0, Urgency.BATCH: 2_000.0}

WARM_UP_MS = 2_000.0
END_MS = 22_000.0
SEED = 5


class Link:
    """A link with limited bandwidth that sends messages one after another."""

    def __init__(self, loop):
        self.loop, self.idle_at_ms, self.sent_bytes = loop, 0.0, 0

    def send(self, size):
        """Send a message of a given size; return its arrival time, in milliseconds."""
        begin_ms = max(self.loop.now_ms, self.idle_at_ms)
        self.idle_at_ms = begin_ms + size / LINK_BYTES_PER_MS
        if self.loop.now_ms >= WARM_UP_MS:
            self.sent_bytes += size
        return self.idle_at_ms + LINK_DELAY_MS


class Model:
    """A domain that lost half its runners, linked to another region."""

    def __init__(self):
        self.loop, self.random = EventLoop(), Random(SEED)
        self.link = Link(self.loop)
        self.offered = dict.fromkeys(DEADLINES_MS, 0)
        self.met = dict.fromkeys(DEADLINES_MS, 0)

    def run(self):
        """Run the simulation; return the model."""
        self._arrive()
        self.loop.run_until(END_MS)
        return self

    def compute_met_fraction(self, urgency):
        """Return the fraction of the requests of an urgency that met their deadline."""
        return self.met[urgency] / self.offered[urgency]

    @property
    def link_usage(self):
        """Bytes sent over the link, as a fraction of its budget."""
        budget = BUDGET_FRACTION * LINK_BYTES_PER_MS * (END_MS - WARM_UP_MS)
        return self.link.sent_bytes / budget

    def _arrive(self):
        urgent = self.random.random() < URGENT_FRACTION
        urgency = Urgency.URGENT if urgent else Urgency.BATCH
        now_ms = self.loop.now_ms
        ticket = Ticket(
            request="r",
            share=ShareKey(team=urgency.value, kind="hub", urgency=urgency),
            deadline_ms=now_ms + DEADLINES_MS[urgency],
        )
        if self._is_counted(ticket):
            self.offered[urgency] += 1
        self.accept(ticket)
        self.loop.call_later(self.random.expovariate(LOAD_PER_MS), self._arrive)

    def _is_counted(self, ticket):
        arrived_ms = ticket.deadline_ms - DEADLINES_MS[ticket.share.urgency]
        return WARM_UP_MS <= arrived_ms < END_MS - 2_000.0

    def record_completion(self, ticket):
        """Count an answered request if it met its deadline."""
        if self._is_counted(ticket) and self.loop.now_ms <= ticket.deadline_ms:
            self.met[ticket.share.urgency] += 1

    def send_remote(self, ticket):
        """Send a request to the other region, which always has a free slot."""
        arrive_ms = self.link.send(REQUEST_BYTES)
        service_ms = draw_service_ms(self.random, SERVICE_MS)
        self.loop.call_at(
            arrive_ms + service_ms + LINK_DELAY_MS,
            self.complete_remote,
            ticket,
            self.loop.now_ms,
        )

    def complete_remote(self, ticket, sent_ms):
        """Process the answer of the other region."""
        self.record_completion(ticket)


class NearestByLatency(Model):
    """Sends each request to the place with the lowest expected latency."""

    def __init__(self):
        super().__init__()
        self.busy_slots, self.waiting, self.remote_ms = (
            0,
            [],
            2 * LINK_DELAY_MS + SERVICE_MS,
        )

    def accept(self, ticket):
        """Queue locally, or send over the link if its measured latency is lower."""
        local_ms = SERVICE_MS * (1.0 + len(self.waiting) / LOCAL_SLOTS)
        if local_ms > self.remote_ms:
            self.send_remote(ticket)
            return
        self.waiting.append(ticket)
        self._start()

    def complete_remote(self, ticket, sent_ms):
        """Process the answer and update the measured latency."""
        super().complete_remote(ticket, sent_ms)
        self.remote_ms += 0.1 * (self.loop.now_ms - sent_ms - self.remote_ms)

    def _start(self):
        while self.waiting and self.busy_slots < LOCAL_SLOTS:
            self.busy_slots += 1
            service_ms = draw_service_ms(self.random, SERVICE_MS)
            self.loop.call_later(service_ms, self._complete_local, self.waiting.pop(0))

    def _complete_local(self, ticket):
        self.busy_slots -= 1
        self.record_completion(ticket)
        self._start()


class Budgeted(Model):
    """Admits locally; sends over the link if its budget and the deadline allow it."""

    def __init__(self):
        super().__init__()
        floors = {Urgency.URGENT: 0.7, Urgency.BATCH: 0.1}
        self.pool = AdmissionPool(capacity=LOCAL_SLOTS, floors=floors)
        rate = BUDGET_FRACTION * LINK_BYTES_PER_MS * 1_000
        self.budget = LinkBudget(rate)

    def accept(self, ticket):
        """Offer to the local pool, or send over the link if the pool is full."""
        if self.pool.in_use >= self.pool.capacity and self._can_cross(ticket):
            self.send_remote(ticket)
            return
        self._start_admitted(offer_ticket(self.pool, ticket, self.loop.now_ms))

    def _can_cross(self, ticket):
        left_ms = ticket.deadline_ms - self.loop.now_ms
        if left_ms < 2 * LINK_DELAY_MS + 3 * SERVICE_MS:
            return False
        budget = refill_link(self.budget, self.loop.now_ms / 1_000)
        reserve = LINK_RESERVES[ticket.share.urgency]
        spent = spend_link(budget, REQUEST_BYTES, reserve)
        self.budget = spent or budget
        return spent is not None

    def _start_admitted(self, verdicts):
        for verdict in verdicts:
            if verdict.kind is VerdictKind.ADMITTED:
                service_ms = draw_service_ms(self.random, SERVICE_MS)
                self.loop.call_later(
                    service_ms, self._complete_local, verdict.ticket, service_ms
                )

    def _complete_local(self, ticket, service_ms):
        self.record_completion(ticket)
        now_ms = self.loop.now_ms
        self._start_admitted(release_ticket(self.pool, ticket, service_ms, now_ms))


@register_measurement(
    "region_link", "Bytes over the region link, half a domain's runners lost"
)
def run():
    """Compare the choice by latency with the budgeted choice."""
    nearest, budgeted = NearestByLatency().run(), Budgeted().run()
    return Report(
        baseline="nearest by measured latency",
        setting=f"{LOCAL_SLOTS} of 88 local slots left, load 80% of 88, link "
        f"15 Mbit/s of which {BUDGET_FRACTION:.0%} is budget, {REQUEST_BYTES:,} "
        f"bytes a request, half of them urgent, 20 s, seed {SEED}",
        figures=(
            make_figure(
                "bytes over the link to its budget",
                budgeted.link_usage,
                baseline=nearest.link_usage,
                at_most=1.0,
            ),
            make_figure(
                "part of urgent deadlines met",
                budgeted.compute_met_fraction(Urgency.URGENT),
                baseline=nearest.compute_met_fraction(Urgency.URGENT),
                at_least=nearest.compute_met_fraction(Urgency.URGENT),
            ),
            make_figure(
                "part of batch deadlines met",
                budgeted.compute_met_fraction(Urgency.BATCH),
                baseline=nearest.compute_met_fraction(Urgency.BATCH),
            ),
        ),
    )
