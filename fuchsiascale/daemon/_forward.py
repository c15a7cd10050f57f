"""Requests between failure domains: the sending and the receiving side."""

from returns.result import Success

from fuchsiascale.api import ForwardReply, ForwardRequest
from fuchsiascale.daemon._peers import PeerRefused, PeerUnreachable
from fuchsiascale.daemon._routes import PEER_ROUTES
from fuchsiascale.ids import TeamId
from fuchsiascale.pipelines import (
    Call,
    CallAnswer,
    CallHeaders,
    make_answer,
    make_refusal,
    make_upstream_request,
)
from fuchsiascale.platform import UpstreamAnswer
from fuchsiascale.states import Outcome, Refusal

__all__ = ["FORWARD_PATH", "make_forward_send"]

FORWARD_PATH = "/peer/v1/forward"
RETRY_AFTER_MS = 1_000


def make_forward_send(call_peer, clock, traces):
    """Return the function with which a Forwarder sends a request.

    Parameters
    ----------
    call_peer : callable
        ``async (address, path, message, reply_type, timeout_s) -> Result``.
    clock : Clock
        Source of time.
    traces : NoTraces
        Formats the trace context to send on.

    Returns
    -------
    callable
        ``async (member, call, timeout_s) -> CallAnswer``.
    """

    async def send(member, call, timeout_s):
        parent = traces.format_parent(call.span, call)
        message = ForwardRequest(
            request=make_upstream_request(call, clock.monotonic(), parent),
            idempotent=call.idempotent,
            team=call.team,
            urgency=call.urgency,
        )
        result = await call_peer(
            member.address, FORWARD_PATH, message, ForwardReply, timeout_s
        )
        if isinstance(result, Success):
            return read_reply(call, result.unwrap())
        return read_error(result.failure())

    return send


def read_reply(call, reply):
    """Return the answer to the caller of a forwarded request."""
    if reply.outcome is Outcome.NOT_RUN:
        refusal = reply.refusal or Refusal.NO_CAPACITY
        detail = "no runner of another failure domain took the request"
        return make_refusal(refusal, detail, reply.retry_after_ms)
    answer = reply.answer
    if reply.outcome is not Outcome.DONE or answer is None:
        return CallAnswer(outcome=Outcome.UNKNOWN)
    if answer.request_id != call.request_id:
        return CallAnswer(outcome=Outcome.UNKNOWN, detail="another request's answer")
    return make_answer(answer)


def read_error(error):
    """Return the answer to the caller of a forwarded request without a reply."""
    refused = isinstance(error, PeerRefused) and 400 <= error.status < 500
    if refused or isinstance(error, PeerUnreachable):
        detail = "the other failure domain can't be reached"
        return make_refusal(Refusal.NO_CAPACITY, detail, RETRY_AFTER_MS)
    return CallAnswer(outcome=Outcome.UNKNOWN, detail=error.detail)


@PEER_ROUTES.route("POST", FORWARD_PATH, ForwardRequest)
async def answer_forward(application, message, request):
    """Run another failure domain's request on the runners of this one."""
    call = build_call(application, message)
    if call is None:
        return ForwardReply(
            outcome=Outcome.NOT_RUN,
            refusal=Refusal.UNKNOWN_SERVICE,
            retry_after_ms=RETRY_AFTER_MS,
        )
    finished_call, answer = await application.forwarded_pipeline.handle(call)
    if answer.outcome is not Outcome.DONE:
        return ForwardReply(
            outcome=answer.outcome,
            refusal=answer.refusal,
            retry_after_ms=answer.retry_after_ms,
        )
    return ForwardReply(
        outcome=Outcome.DONE,
        answer=UpstreamAnswer(
            request_id=finished_call.request_id,
            runner=answer.runner,
            status=answer.status,
            body=answer.body,
            content_type=answer.content_type,
        ),
    )


def build_call(application, message):
    """Return the call of a forwarded request; None for an unknown service."""
    sent = message.request
    service = application.documents.fleet().services.get(sent.service)
    if service is None:
        return None
    now_s = application.clock.monotonic()
    return Call(
        service_id=sent.service,
        method=sent.method,
        path=sent.path,
        headers=CallHeaders(
            content_type=sent.content_type, trace_parent=sent.trace_parent
        ),
        received_s=now_s,
        read_body=None,
        request_id=sent.request_id,
        service=service,
        body=sent.body,
        team=TeamId(message.team),
        urgency=message.urgency,
        deadline_s=now_s + sent.deadline_ms / 1000,
        idempotent=message.idempotent,
        key=sent.idempotency_key or None,
    )
