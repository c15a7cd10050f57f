"""HTTP client of the runners."""

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
    """HTTP client of all runners, each given by its address.

    Parameters
    ----------
    session : aiohttp.ClientSession
        Shared session; not closed here.
    timeout_s : float
        Time limit of each request, in seconds, unless its deadline is shorter.
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
        """Send a request once and receive the complete response.

        Parameters
        ----------
        address : str
            The runner's ``host:port``.
        request : UpstreamRequest
            The request; a deadline of 0 means none.

        Returns
        -------
        Result of UpstreamAnswer
            ``RequestNotRun`` only if no connection was made or the runner
            reported that it did not run the request; ``RequestUncertain`` if a
            byte may have been sent and no complete response was received.
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
            ) as response:
                return validate_response(request, response, await read_body(response))
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
    """Return the middlewares; the client library sends some methods again."""
    return () if method in METHODS_NOT_RESENT else (SingleSend(),)


def build_headers(request):
    """Return the HTTP headers of a request to a runner."""
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


def validate_response(request, response, body):
    """Return the response if it is complete and belongs to the request."""
    response_id = response.headers.get(REQUEST_ID_HEADER, "")
    if response_id != request.request_id:
        response.close()
        detail = "the answer carries another request's id"
        return Failure(RequestUncertain(detail=detail))
    refused = response.headers.get(RUN_STATE_HEADER) == NOT_RUN
    if response.status == NOT_RUN_STATUS and refused:
        return Failure(RequestNotRun(detail="the runner did not run the request"))
    if not is_complete(request, response, body):
        response.close()
        return Failure(RequestUncertain(detail="the answer is not whole"))
    return Success(
        UpstreamAnswer(
            request_id=request.request_id,
            runner=RunnerId(response.headers.get(RUNNER_HEADER, "")),
            status=response.status,
            body=body,
            content_type=response.headers.get(
                "Content-Type", "application/octet-stream"
            ),
            leaving=response.headers.get(LEAVING_HEADER) == LEAVING,
        )
    )


def is_complete(request, response, body):
    """Return whether a body has the length that its response declares.

    A chunked response ends with a marker that the client library checks. A
    response with neither length nor chunks ends when its connection closes, so
    truncation would go unnoticed.
    """
    if request.method == "HEAD":
        return True
    length = response.headers.get("Content-Length")
    if length is not None:
        return len(body) == int(length)
    return "chunked" in response.headers.get("Transfer-Encoding", "").lower()
