"""Handlers of the caller interface for services."""

import asyncio
import http
from functools import partial

import logbook
import msgspec
from aiohttp import ClientPayloadError, web
from returns.result import Failure as Failed
from returns.result import Success

from fuchsiascale.api import (
    DEADLINE_HEADER,
    IDEMPOTENCY_KEY_HEADER,
    IDEMPOTENT_HEADER,
    OUTCOME_HEADER,
    REASON_HEADER,
    REQUEST_ID_HEADER,
    TEAM_HEADER,
    URGENCY_HEADER,
    Failure,
)
from fuchsiascale.daemon._http import convert_body_refusal
from fuchsiascale.daemon._logs import bind_ids
from fuchsiascale.ids import ServiceId
from fuchsiascale.ingress import BodyRefused, open_body
from fuchsiascale.pipelines import BodyError, Call, CallHeaders
from fuchsiascale.states import Outcome, Refusal

__all__ = ["RUNNER_HEADER", "make_caller_routes", "make_response"]

RUNNER_HEADER = "X-Runner"
TRACE_PARENT_HEADER = "traceparent"
TRACE_PARENT_PARTS = 4
RETRY_AFTER_HEADER = "Retry-After"
DEFAULT_CONTENT_TYPE = "application/octet-stream"

REFUSAL_STATUS = {
    Refusal.BAD_REQUEST: http.HTTPStatus.BAD_REQUEST,
    Refusal.UNAUTHORIZED: http.HTTPStatus.UNAUTHORIZED,
    Refusal.UNKNOWN_SERVICE: http.HTTPStatus.NOT_FOUND,
    Refusal.TOO_LARGE: http.HTTPStatus.REQUEST_ENTITY_TOO_LARGE,
    Refusal.OVER_SHARE: http.HTTPStatus.TOO_MANY_REQUESTS,
    Refusal.KEY_CONFLICT: http.HTTPStatus.UNPROCESSABLE_ENTITY,
}

log = logbook.Logger("requests")


def make_caller_routes(pipeline, clock):
    """Return the routes of the caller interface for services.

    Parameters
    ----------
    pipeline : RequestPipeline
        Runs the requests.
    clock : Clock
        Source of the arrival times.

    Returns
    -------
    list of aiohttp.web.RouteDef
        Routes to add to the caller listener.
    """

    async def handle(request):
        call = _read_head(request, clock)
        finished_call, answer = await pipeline.handle(call)
        if answer.outcome is Outcome.UNKNOWN:
            log_unknown_outcome(finished_call, answer)
        return make_response(finished_call.request_id, answer)

    return [web.route("*", "/v1/services/{service}/{path:.*}", handle)]


def log_unknown_outcome(call, answer):
    """Log a request that may or may not have run, with its ids."""
    trace_parent = call.headers.trace_parent.split("-")
    trace_id = trace_parent[1] if len(trace_parent) == TRACE_PARENT_PARTS else ""
    with bind_ids(request=call.request_id, trace=trace_id):
        log.warning("{}: outcome unknown: {}", call.service_id, answer.detail)


def _read_head(request, clock):
    headers = request.headers
    return Call(
        service_id=ServiceId(request.match_info["service"]),
        method=request.method,
        path=request.path_qs.split("/", 4)[4],
        received_s=clock.monotonic(),
        read_body=partial(_read_body, request),
        headers=CallHeaders(
            request_id=headers.get(REQUEST_ID_HEADER, ""),
            idempotency_key=headers.get(IDEMPOTENCY_KEY_HEADER, ""),
            idempotent=headers.get(IDEMPOTENT_HEADER, ""),
            deadline_ms=headers.get(DEADLINE_HEADER, ""),
            urgency=headers.get(URGENCY_HEADER, ""),
            team=headers.get(TEAM_HEADER, ""),
            authorization=headers.get("Authorization", ""),
            content_type=headers.get("Content-Type", DEFAULT_CONTENT_TYPE),
            trace_parent=headers.get(TRACE_PARENT_HEADER, ""),
        ),
    )


async def _read_body(request, limit, timeout_s):
    declared = request.content_length
    if not request.body_exists:
        return Success(b"")
    if declared is not None and declared > limit:
        return _refuse_large(limit)
    body = bytearray()
    try:
        open_body(request, limit)
        if request.content.is_eof():
            return _check_body(request.content.read_nowait(), declared, limit)
        async with asyncio.timeout(timeout_s):
            async for chunk in request.content.iter_any():
                body += chunk
                if len(body) > limit:
                    return _refuse_large(limit)
    except BodyRefused as refused:
        _, reason, detail = convert_body_refusal(refused.refusal)
        return Failed(BodyError(refusal=reason, detail=detail))
    except TimeoutError:
        detail = "the body did not arrive before the deadline"
        return Failed(BodyError(refusal=Refusal.DEADLINE, detail=detail))
    except (ClientPayloadError, web.RequestPayloadError, ConnectionError) as error:
        return _refuse_body(str(error) or "the body ended early")
    return _check_body(bytes(body), declared, limit)


def _check_body(body, declared, limit):
    if len(body) > limit:
        return _refuse_large(limit)
    if declared is not None and declared != len(body):
        return _refuse_body(f"{len(body)} bytes of {declared} were received")
    return Success(body)


def _refuse_large(limit):
    detail = f"the body is over {limit} bytes"
    return Failed(BodyError(refusal=Refusal.TOO_LARGE, detail=detail))


def _refuse_body(detail):
    return Failed(BodyError(refusal=Refusal.BAD_REQUEST, detail=detail))


def make_response(request_id, answer):
    """Return the HTTP response for the outcome of a request.

    Parameters
    ----------
    request_id : RequestId
        The request.
    answer : CallAnswer
        Outcome of the request.

    Returns
    -------
    aiohttp.web.Response
        The response.
    """
    headers = {REQUEST_ID_HEADER: request_id, OUTCOME_HEADER: answer.outcome.value}
    if answer.outcome is Outcome.DONE:
        headers["Content-Type"] = answer.content_type
        if answer.runner:
            headers[RUNNER_HEADER] = answer.runner
        return web.Response(status=answer.status, body=answer.body, headers=headers)
    if answer.refusal is not None:
        headers[REASON_HEADER] = answer.refusal.value
    status = http.HTTPStatus.GATEWAY_TIMEOUT
    if answer.outcome is Outcome.NOT_RUN:
        status = REFUSAL_STATUS.get(answer.refusal, http.HTTPStatus.SERVICE_UNAVAILABLE)
        headers[RETRY_AFTER_HEADER] = str(-(-answer.retry_after_ms // 1000))
    failure = Failure(
        outcome=answer.outcome,
        reason=answer.refusal,
        detail=answer.detail,
        request=request_id,
    )
    headers["Content-Type"] = "application/json"
    return web.Response(
        status=status, body=msgspec.json.encode(failure), headers=headers
    )
