"""HTTP adapter of the runners."""

import aiohttp
from returns.result import Failure, Result, Success

from fuchsiascale.ids import RunnerId
from fuchsiascale.platform._calls import (
    CALL_FAILURES,
    CONNECT_FAILURES,
    DuplicateSendError,
    SingleSend,
    build_timeout,
    read_body,
)
from fuchsiascale.platform._errors import RequestNotRun, RequestUncertain
from fuchsiascale.platform._messages import UpstreamAnswer, UpstreamRequest

__all__ = ["HttpRunners"]

REQUEST_ID_HEADER = "X-Request-Id"
DEADLINE_HEADER = "X-Deadline-Ms"
IDEMPOTENCY_KEY_HEADER = "Idempotency-Key"
TRACE_PARENT_HEADER = "traceparent"
RUNNER_HEADER = "X-Runner"
RUN_STATE_HEADER = "X-Run-State"
NOT_RUN = "not-run"
LEAVING_HEADER = "X-Leaving"
LEAVING = "true"
NOT_RUN_STATUS = 503
METHODS_NOT_RESENT = frozenset({"POST", "PATCH"})


class HttpRunners:
    """All runners behind HTTP, each by its address.

    Parameters
    ----------
    session : aiohttp.ClientSession
        Shared session; not closed here.
    timeout_s : float
        Bound of each request, in seconds; a shorter deadline goes first.
    scheme : str, optional
        URL scheme of the calls: ``http`` or ``https``.
    """

    def __init__(
        self, session: aiohttp.ClientSession, timeout_s: float, scheme: str = "http"
    ):
        self._session = session
        self._timeout_s = timeout_s
        self._scheme = scheme

    async def send(
        self, address: str, request: UpstreamRequest
    ) -> Result[UpstreamAnswer, RequestNotRun | RequestUncertain]:
        """Send one request once and receive its whole answer.

        Parameters
        ----------
        address : str
            The runner's ``host:port``.
        request : UpstreamRequest
            The request; a deadline of 0 means none.

        Returns
        -------
        Result of UpstreamAnswer
            ``RequestNotRun`` only where no connection was made or the runner
            said that it did not run the request; ``RequestUncertain`` once a
            byte may have been sent and no whole answer of this request came.
        """
        url = f"{self._scheme}://{address}/v1/services/{request.service}/{request.path}"
        try:
            async with self._session.request(
                request.method,
                url,
                data=request.body,
                headers=build_headers(request),
                timeout=self._build_timeout(request),
                allow_redirects=False,
                auto_decompress=False,
                middlewares=_list_middlewares(request.method),
            ) as answer:
                return validate_response(request, answer, await read_body(answer))
        except CONNECT_FAILURES as error:
            return Failure(RequestNotRun(detail=repr(error)))
        except (*CALL_FAILURES, DuplicateSendError) as error:
            return Failure(RequestUncertain(detail=repr(error)))

    def _build_timeout(self, request):
        seconds = self._timeout_s
        if request.deadline_ms > 0:
            seconds = min(seconds, request.deadline_ms / 1000)
        return build_timeout(seconds)


def _list_middlewares(method):
    """Return the middleware for methods that the client library sends again."""
    return () if method in METHODS_NOT_RESENT else (SingleSend(),)


def build_headers(request):
    """Return the headers of a request to a runner."""
    headers = {
        "Content-Type": request.content_type,
        REQUEST_ID_HEADER: request.request_id,
        DEADLINE_HEADER: str(request.deadline_ms),
    }
    if request.trace_parent:
        headers[TRACE_PARENT_HEADER] = request.trace_parent
    if request.idempotency_key:
        headers[IDEMPOTENCY_KEY_HEADER] = request.idempotency_key
    return headers


def validate_response(request, answer, body):
    """Return the answer if it is whole and of this request."""
    found = answer.headers.get(REQUEST_ID_HEADER, "")
    if found != request.request_id:
        answer.close()
        detail = "the answer carries another request's id"
        return Failure(RequestUncertain(detail=detail))
    refused = answer.headers.get(RUN_STATE_HEADER) == NOT_RUN
    if answer.status == NOT_RUN_STATUS and refused:
        return Failure(RequestNotRun(detail="the runner did not run the request"))
    if not is_complete(request, answer, body):
        answer.close()
        return Failure(RequestUncertain(detail="the answer is not whole"))
    return Success(
        UpstreamAnswer(
            request_id=request.request_id,
            runner=RunnerId(answer.headers.get(RUNNER_HEADER, "")),
            status=answer.status,
            body=body,
            content_type=answer.headers.get("Content-Type", "application/octet-stream"),
            leaving=answer.headers.get(LEAVING_HEADER) == LEAVING,
        )
    )


def is_complete(request, answer, body):
    """Return whether a body is as long as its answer declares.

    A chunked answer ends with a marker that the client library checks; an
    answer with neither mark ends wherever its connection does.
    """
    if request.method == "HEAD":
        return True
    length = answer.headers.get("Content-Length")
    if length is not None:
        return len(body) == int(length)
    return "chunked" in answer.headers.get("Transfer-Encoding", "").lower()
