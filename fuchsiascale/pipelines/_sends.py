"""Filters that admit a request, find a slot and send the request upstream."""

import asyncio

from msgspec.structs import replace
from returns.result import Success

from fuchsiascale.pipelines._calls import CallAnswer, complete, refuse
from fuchsiascale.pipelines._filters import register_filter
from fuchsiascale.platform import RequestNotRun, UpstreamRequest
from fuchsiascale.states import Outcome, Refusal

__all__ = ["admit", "route", "send"]

NO_CAPACITY_RETRY_MS = 200


@register_filter("admit")
async def admit(call, ports):
    """Let a request in that can still make its deadline."""
    if ports.clock.monotonic() >= call.deadline_s:
        return refuse(call, Refusal.DEADLINE, "the deadline passed before the send")
    return call


@register_filter("route")
async def route(call, ports):
    """Take a slot of a runner in this failure domain."""
    view = ports.view()
    slot = ports.slots.acquire(view, call.service_id, call.service.slots)
    if slot is not None:
        return replace(call, slot=slot)
    detail = "no slot of any runner is free"
    return refuse(call, Refusal.NO_CAPACITY, detail, NO_CAPACITY_RETRY_MS)


def make_upstream_request(call, now_s):
    """Return the request as sent upstream, with what is left of the deadline."""
    return UpstreamRequest(
        request_id=call.request_id,
        service=call.service_id,
        method=call.method,
        path=call.path,
        deadline_ms=max(1, int((call.deadline_s - now_s) * 1000)),
        body=call.body,
        content_type=call.headers.content_type,
        trace_parent=call.headers.trace_parent,
    )


@register_filter("send")
async def send(call, ports):
    """Send the request once and receive its whole answer.

    The exchange runs in a task of its own: a caller that goes away or a deadline
    that passes ends the wait, while the slot stays taken until the upstream ends.
    """
    now_s = ports.clock.monotonic()
    request = make_upstream_request(call, now_s)
    exchange = asyncio.ensure_future(
        ports.runners.send(call.slot.runner.address, request)
    )
    slot = call.slot
    exchange.add_done_callback(lambda _: ports.slots.release(slot))
    call = replace(call, slot=None)
    done, _ = await asyncio.wait({exchange}, timeout=call.deadline_s - now_s)
    if not done:
        return replace(call, answer=CallAnswer(outcome=Outcome.UNKNOWN))
    result = exchange.result()
    if isinstance(result, Success):
        return complete(call, result.unwrap())
    error = result.failure()
    if isinstance(error, RequestNotRun):
        detail = error.detail or "the runner refused the request"
        return refuse(call, Refusal.NO_UPSTREAM, detail, NO_CAPACITY_RETRY_MS)
    return replace(
        call, answer=CallAnswer(outcome=Outcome.UNKNOWN, detail=error.detail)
    )
