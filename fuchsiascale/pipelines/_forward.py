"""Forwarding of requests to other failure domains."""

from msgspec.structs import replace

from fuchsiascale.decisions import (
    LINK_BURST_S,
    LINK_RESERVES,
    LatencyEstimate,
    LinkBudget,
    charge_link,
    observe_latency,
    refill_link,
    spend_link,
)
from fuchsiascale.pipelines._calls import CallAnswer
from fuchsiascale.pipelines._filters import register_filter
from fuchsiascale.states import Outcome

__all__ = ["Forwarder", "forward"]

DOMAIN_ROUND_TRIP_MS = 5.0
REGION_ROUND_TRIP_MS = 30.0
MESSAGE_OVERHEAD_BYTES = 1_024
BUDGET_FRACTION = 0.5
PAUSE_S = 0.5
DEFAULT_LINK_BYTES_PER_S = 1_875_000


class Forwarder:
    """Chooses instances of other failure domains within the link budgets.

    Parameters
    ----------
    view, fleet : callable
        Return the current views.
    clock : Clock
        Source of time.
    random : random.Random
        Source of choices.
    send : callable
        ``async (member, call, timeout_s) -> CallAnswer``.
    meters : NoMeters
        Counts bytes between regions.
    """

    def __init__(self, view, fleet, clock, random, send, meters):
        self._view = view
        self._fleet = fleet
        self._clock = clock
        self._random = random
        self._send = send
        self._meters = meters
        self._budgets = {}
        self._latencies = {}
        self._paused = {}

    def choose_peer(self, call):
        """Return the instance to forward a request to, or None.

        Parameters
        ----------
        call : Call
            The request.

        Returns
        -------
        Member or None
            One of the same region if possible, else one of another region whose link
            budget has room; None if none is expected to answer before the deadline.
        """
        view = self._view()
        now_s = self._clock.monotonic()
        left_ms = (call.deadline_s - now_s) * 1000
        same_region = []
        other_regions = []
        for peer in view.peers:
            name = peer.failure_domain
            if self._paused.get(name, 0.0) > now_s:
                continue
            if self._estimate_round_trip_ms(peer, view) >= left_ms:
                continue
            (same_region if peer.region == view.region else other_regions).append(peer)
        if same_region:
            return self._random.choice(same_region)
        other_regions = [
            peer for peer in other_regions if self._has_room(peer, view, call, now_s)
        ]
        return self._random.choice(other_regions) if other_regions else None

    async def forward(self, call, peer):
        """Send a request to an instance of another failure domain, once.

        Parameters
        ----------
        call : Call
            The request.
        peer : Member
            The instance.

        Returns
        -------
        CallAnswer
            Outcome of the request; unknown if the reply was lost.
        """
        view = self._view()
        crosses_regions = peer.region != view.region
        sent_bytes = MESSAGE_OVERHEAD_BYTES + len(call.body)
        if crosses_regions:
            self._charge(peer, view, sent_bytes)
        started_s = self._clock.monotonic()
        answer = await self._send(peer, call, call.deadline_s - started_s)
        now_s = self._clock.monotonic()
        if crosses_regions:
            received_bytes = len(answer.body) + MESSAGE_OVERHEAD_BYTES
            self._charge(peer, view, received_bytes)
            self._meters.count_region_bytes(peer.region, sent_bytes + received_bytes)
        self._observe_answer(peer, answer, now_s - started_s, now_s)
        return answer

    def _observe_answer(self, peer, answer, latency_s, now_s):
        name = peer.failure_domain
        if answer.outcome is Outcome.NOT_RUN:
            pause_s = max(PAUSE_S, answer.retry_after_ms / 1000)
            self._paused[name] = now_s + pause_s * self._random.random()
            return
        before = self._latencies.get(name, LatencyEstimate())
        self._latencies[name] = observe_latency(before, latency_s * 1000, now_s)

    def _estimate_round_trip_ms(self, peer, view):
        known = self._latencies.get(peer.failure_domain)
        if known is not None:
            return known.mean_ms
        same_region = peer.region == view.region
        return DOMAIN_ROUND_TRIP_MS if same_region else REGION_ROUND_TRIP_MS

    def _has_room(self, peer, view, call, now_s):
        size_bytes = MESSAGE_OVERHEAD_BYTES + len(call.body)
        budget = self._find_budget(peer, view)
        return spend_link(budget, size_bytes, LINK_RESERVES[call.urgency]) is not None

    def _charge(self, peer, view, size_bytes):
        budget = self._find_budget(peer, view)
        self._budgets[peer.region] = charge_link(budget, size_bytes)

    def _find_budget(self, peer, view):
        """Return the link budget to a peer's region, refilled up to now."""
        now_s = self._clock.monotonic()
        domain = self._fleet().domains.get(view.failure_domain)
        rate = DEFAULT_LINK_BYTES_PER_S if domain is None else domain.link_bytes_per_s
        rate *= BUDGET_FRACTION / max(1, len(view.members))
        before = self._budgets.get(peer.region)
        if before is None:
            return LinkBudget(rate, rate * LINK_BURST_S, now_s)
        return refill_link(LinkBudget(rate, before.tokens, before.at_s), now_s)


@register_filter("forward")
async def forward(call, ports):
    """Forward a request that no local runner accepted to another failure domain."""
    peer = ports.forwarder.choose_peer(call) if ports.forwarder else None
    if peer is None:
        return replace(call, answer=call.local_refusal)
    if call.admission is not None:
        ports.dispatcher.release_admission(call.admission)
        call = replace(call, admission=None)
    span = ports.traces.start_send(call.span, call, peer.instance)
    try:
        answer = await ports.forwarder.forward(replace(call, span=span), peer)
    except BaseException:
        ports.traces.end_send(span, CallAnswer(outcome=Outcome.UNKNOWN))
        raise
    ports.traces.end_send(span, answer)
    return replace(call, answer=answer)
