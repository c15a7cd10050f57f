"""Claims of idempotency keys and the recording of their outcomes."""

import asyncio
import hashlib

from msgspec.structs import replace
from returns.result import Success

from fuchsiascale.coordination import ClaimRecord, ClaimUnavailable, generate_nonce
from fuchsiascale.pipelines._calls import CallAnswer, refuse
from fuchsiascale.pipelines._filters import register_filter
from fuchsiascale.states import Outcome, Refusal

__all__ = ["claim_key", "digest_request", "record_key_outcome"]

CLAIM_TTL_MS = 86_400_000
MAX_RECORDED_BYTES = 65_536
RECORD_WAIT_S = 0.25


def digest_request(call):
    """Return the digest that a repeated request with the same key must match.

    Parameters
    ----------
    call : Call
        The request.

    Returns
    -------
    str
        Digest of service, method, path, content type and body.
    """
    head = (call.service_id, call.method, call.path, call.headers.content_type)
    digest = hashlib.sha256("\0".join(head).encode())
    digest.update(b"\0")
    digest.update(call.body)
    return digest.hexdigest()


@register_filter("claim")
async def claim_key(call, ports):
    """Claim the idempotency key, or answer from its existing claim."""
    if call.key is None:
        return call
    record = ClaimRecord(
        key=call.key,
        team=call.team,
        request=call.request_id,
        holder=ports.view().instance,
        body_digest=digest_request(call),
        expires_ms=ports.clock.wall_ms() + CLAIM_TTL_MS,
        nonce=generate_nonce(ports.random),
    )
    result = await _claim_in_time(call, ports, record)
    if result is None:
        ports.meters.count_claim("unavailable")
        detail = "the key could not be claimed before the deadline"
        return refuse(call, Refusal.STORE_UNAVAILABLE, detail)
    if isinstance(result, Success):
        ports.meters.count_claim("granted")
        return replace(call, claim=result.unwrap())
    error = result.failure()
    unavailable = isinstance(error, ClaimUnavailable)
    ports.meters.count_claim("unavailable" if unavailable else "repeat")
    if unavailable:
        detail = error.detail or "the claim could not be recorded"
        return refuse(call, Refusal.STORE_UNAVAILABLE, detail)
    return _answer_repeat(call, record, error.record)


async def _claim_in_time(call, ports, record):
    """Return the result of a claim, or None at the deadline.

    A claim whose caller no longer waits is recorded as not run once it is granted.
    """
    claiming = ports.dispatcher.spawn(ports.claims.claim(record))
    left_s = max(0.0, call.deadline_s - ports.clock.monotonic())
    try:
        done, _ = await asyncio.wait({claiming}, timeout=left_s)
    except asyncio.CancelledError:
        ports.dispatcher.spawn(_undo_claim(claiming, ports))
        raise
    if done:
        return claiming.result()
    ports.dispatcher.spawn(_undo_claim(claiming, ports))
    return None


async def _undo_claim(claiming, ports):
    result = await claiming
    if isinstance(result, Success):
        granted = result.unwrap()
        not_run = replace(granted.record, outcome=Outcome.NOT_RUN)
        await ports.claims.record_outcome(granted, not_run)


def _answer_repeat(call, requested, existing):
    if existing.body_digest != requested.body_digest:
        detail = "the idempotency key was used for another request"
        return refuse(call, Refusal.KEY_CONFLICT, detail)
    if not existing.settled or existing.outcome is not Outcome.DONE:
        detail = "the outcome of the key's first request is not known"
        unknown = CallAnswer(
            outcome=Outcome.UNKNOWN, refusal=Refusal.KEY_IN_PROGRESS, detail=detail
        )
        return replace(call, answer=unknown)
    recorded = CallAnswer(
        outcome=Outcome.DONE,
        status=existing.status,
        body=existing.answer,
        content_type=existing.content_type,
    )
    return replace(call, answer=recorded)


async def record_key_outcome(call, ports):
    """Record the outcome of a claimed request and its answer.

    If the answer is larger than ``MAX_RECORDED_BYTES``, it is not stored and the
    outcome is recorded as unknown.
    """
    answer = call.answer
    record = replace(call.claim.record, outcome=answer.outcome)
    if answer.outcome is Outcome.DONE and len(answer.body) <= MAX_RECORDED_BYTES:
        record = replace(
            record,
            status=answer.status,
            answer=answer.body,
            content_type=answer.content_type,
        )
    elif answer.outcome is Outcome.DONE:
        record = replace(record, outcome=Outcome.UNKNOWN)
    recording = ports.dispatcher.spawn(ports.claims.record_outcome(call.claim, record))
    await asyncio.wait({recording}, timeout=RECORD_WAIT_S)
