"""Filters that admit a request, find a slot and send it upstream."""

import asyncio

from msgspec.structs import replace
from returns.result import Success

from fuchsiascale.decisions import plan_retry, record_request
from fuchsiascale.pipelines._calls import (
    CallAnswer,
    make_answer,
    make_refusal,
    refuse,
)
from fuchsiascale.pipelines._dispatch import RUNNER_GRACE_S, Admission
from fuchsiascale.pipelines._filters import register_filter
from fuchsiascale.platform import RequestNotRun, UpstreamRequest
from fuchsiascale.states import Outcome, Refusal

__all__ = ["admit", "make_upstream_request", "route", "send"]

NO_CAPACITY_RETRY_MS = 200
REFUSAL_DETAILS = {
    Refusal.DEADLINE: "the request can't be run before its deadline",
    Refusal.OVER_SHARE: "too many requests of this share are waiting",
    Refusal.NO_UPSTREAM: "no runner of the service is live",
}


@register_filter("admit")
async def admit(call, ports):
    """Wait for admission; refuse a request that can't meet its deadline."""
    if ports.clock.monotonic() >= call.deadline_s:
        return refuse(call, Refusal.DEADLINE, "the deadline passed before the send")
    admission = await ports.dispatcher.request_admission(call)
    if isinstance(admission, Admission):
        return replace(call, admission=admission)
    local_refusal = make_refusal(
        admission.refusal, REFUSAL_DETAILS[admission.refusal], admission.retry_after_ms
    )
    if ports.forwarder is None or ports.forwarder.choose_peer(call) is None:
        return replace(call, answer=local_refusal)
    return replace(call, local_refusal=local_refusal)


@register_filter("route")
async def route(call, ports):
    """Acquire a slot of a runner in this failure domain."""
    if call.admission is None:
        return call
    if ports.clock.monotonic() >= call.deadline_s:
        return refuse(call, Refusal.DEADLINE, "the deadline passed before the send")
    slot = ports.dispatcher.acquire_slot(call)
    if slot is not None:
        return replace(call, slot=slot)
    detail = "no slot of any runner is free"
    local_refusal = make_refusal(Refusal.NO_CAPACITY, detail, NO_CAPACITY_RETRY_MS)
    if ports.forwarder is None:
        return replace(call, answer=local_refusal)
    return replace(call, local_refusal=local_refusal)


def make_upstream_request(call, now_s, trace_parent=""):
    """Return the request to send upstream, with the remaining time as deadline."""
    return UpstreamRequest(
        request_id=call.request_id,
        service=call.service_id,
        method=call.method,
        path=call.path,
        deadline_ms=max(1, int((call.deadline_s - now_s) * 1000)),
        body=call.body,
        content_type=call.headers.content_type,
        trace_parent=trace_parent,
        idempotency_key=call.key or "",
    )


@register_filter("send")
async def send(call, ports):
    """Send the request; retry it if that is safe and within the retry budget."""
    if call.slot is None:
        return call
    retries = ports.retries
    retries.budget = record_request(retries.budget, ports.fleet().policy.retry_budget)
    tried = set()
    uncertain = None
    while True:
        tried.add(call.slot.runner.instance_id)
        answer = await _send_once(call, ports)
        if answer.outcome is Outcome.DONE:
            break
        if answer.outcome is Outcome.UNKNOWN:
            uncertain = answer
        retried_call = await _prepare_retry(call, ports, answer, tried)
        if retried_call is None:
            break
        ports.meters.count_retry(call.service_id)
        call = retried_call
    if answer.outcome is Outcome.NOT_RUN and uncertain is not None:
        # An earlier send may have run although the last one was refused.
        answer = uncertain
    if answer.outcome is Outcome.NOT_RUN and ports.forwarder is not None:
        return replace(call, local_refusal=answer)
    return replace(call, answer=answer)


async def _prepare_retry(call, ports, answer, tried):
    retries = ports.retries
    left_s = call.deadline_s - ports.clock.monotonic()
    plan = plan_retry(
        retries.budget,
        ports.random,
        idempotent=call.idempotent,
        outcome=answer.outcome,
        sends=len(tried),
        left_ms=left_s * 1000,
        needed_ms=ports.dispatcher.estimate_duration_ms(call.admission),
    )
    if not plan.retry:
        return None
    slot = ports.dispatcher.acquire_slot(call, frozenset(tried))
    if slot is None:
        return None
    retries.budget = plan.budget
    try:
        await asyncio.sleep(plan.delay_ms / 1000)
    except asyncio.CancelledError:
        ports.dispatcher.release_slot(call.admission, slot)
        raise
    return replace(call, slot=slot)


async def _send_once(call, ports):
    """Send the request once, in a task that continues if the caller disconnects.

    The slot stays in use until the upstream has answered or refused the request,
    or until ``RUNNER_GRACE_S`` after the deadline.
    """
    now_s = ports.clock.monotonic()
    slot = call.slot
    span = ports.traces.start_send(call.span, call, slot.runner.instance_id)
    parent = ports.traces.format_parent(span, call)
    request = make_upstream_request(call, now_s, parent)
    slot.released_by_exchange = True
    exchange = ports.dispatcher.spawn(_exchange(call, ports, slot, request))
    left_s = call.deadline_s - now_s
    done, _ = await asyncio.wait({exchange}, timeout=left_s)
    if done:
        answer = exchange.result()
    else:
        detail = "no answer before the deadline"
        answer = CallAnswer(outcome=Outcome.UNKNOWN, detail=detail)
    ports.traces.end_send(span, answer)
    return answer


async def _exchange(call, ports, slot, request):
    started_s = ports.clock.monotonic()
    dispatcher = ports.dispatcher
    result = None
    try:
        result = await ports.runners.send(slot.runner.address, request)
    finally:
        if isinstance(result, Success):
            latency_s = ports.clock.monotonic() - started_s
            dispatcher.observe(call.admission, slot, latency_s)
        else:
            dispatcher.observe_failure(call.admission, slot)
        if _has_ended(result):
            dispatcher.release_slot(call.admission, slot)
        else:
            left_s = call.deadline_s + RUNNER_GRACE_S - ports.clock.monotonic()
            asyncio.get_running_loop().call_later(
                max(0.0, left_s), dispatcher.release_slot, call.admission, slot
            )
    if isinstance(result, Success):
        _report_leaving(ports, slot, result.unwrap())
        return make_answer(result.unwrap())
    error = result.failure()
    if isinstance(error, RequestNotRun):
        detail = error.detail or "the runner refused the request"
        return make_refusal(Refusal.NO_UPSTREAM, detail, NO_CAPACITY_RETRY_MS)
    return CallAnswer(outcome=Outcome.UNKNOWN, detail=error.detail)


def _report_leaving(ports, slot, answer):
    name = slot.runner.instance_id
    if answer.leaving and name not in ports.view().leaving:
        ports.mark_leaving((name,))


def _has_ended(result):
    """Return whether the upstream has certainly finished or refused the request."""
    if result is None:
        return False
    return isinstance(result, Success) or isinstance(result.failure(), RequestNotRun)
