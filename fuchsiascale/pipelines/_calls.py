"""Messages that travel through the request pipeline, and the ports it needs."""

from collections.abc import Awaitable, Callable
from random import Random
from typing import Any

import msgspec
from returns.result import Result

from fuchsiascale.clock import Clock
from fuchsiascale.coordination import (
    ClusterView,
    Fleet,
    KeyClaims,
    ServiceSettings,
)
from fuchsiascale.decisions import RetryBudget
from fuchsiascale.ids import IdempotencyKey, RequestId, RunnerId, ServiceId, TeamId
from fuchsiascale.pipelines._hooks import NoMeters, NoTraces
from fuchsiascale.platform import Message, Runners, UpstreamAnswer
from fuchsiascale.states import Outcome, Refusal, Urgency

__all__ = [
    "BodyBudget",
    "BodyError",
    "BodyReader",
    "Call",
    "CallAnswer",
    "CallHeaders",
    "RequestPorts",
    "RetryState",
    "make_answer",
    "make_refusal",
    "refuse",
]

DEFAULT_RETRY_AFTER_MS = 1_000
MAX_HELD_BYTES = 32 * 1024 * 1024


class BodyError(Message):
    """Reason why a request body could not be read completely."""

    refusal: Refusal
    detail: str


BodyReader = Callable[[int, float], Awaitable[Result[bytes, BodyError]]]


class CallHeaders(Message):
    """Headers of the caller interface, as received and not yet checked."""

    request_id: str = ""
    idempotency_key: str = ""
    idempotent: str = ""
    deadline_ms: str = ""
    urgency: str = ""
    team: str = ""
    authorization: str = ""
    content_type: str = "application/octet-stream"
    trace_parent: str = ""


class CallAnswer(Message):
    """Answer to a caller.

    Parameters
    ----------
    outcome : Outcome
        Whether the request was run, was not run, or may have been run.
    status : int
        Status of the upstream; 0 derives it from the outcome and refusal.
    retry_after_ms : int
        Delay after which a request that was not run may be retried, in milliseconds.
    """

    outcome: Outcome
    status: int = 0
    body: bytes = b""
    content_type: str = "application/octet-stream"
    runner: RunnerId = RunnerId("")
    refusal: Refusal | None = None
    detail: str = ""
    retry_after_ms: int = DEFAULT_RETRY_AFTER_MS


class Call(Message):
    """One request on its way through the filters.

    Parameters
    ----------
    received_s : float
        Monotonic time at which the head was received, in seconds.
    deadline_s : float
        Monotonic time after which the answer is no longer awaited, in seconds.
    read_body : callable
        Reads the whole body up to a limit in bytes, within a time in seconds.
    held_bytes : int
        Bytes of the body that are reserved in the body budget.
    claim : object or None
        Handle of the idempotency-key claim that this request holds.
    admission : object or None
        Handle of the admission that this request holds.
    slot : object or None
        Handle of the runner slot that this request holds.
    local_refusal : CallAnswer or None
        Refusal by the local runners, returned unless the request is forwarded.
    span : object or None
        Span of a sampled request.
    answer : CallAnswer or None
        Set by the filter that ends the request.
    """

    service_id: ServiceId
    method: str
    path: str
    headers: CallHeaders
    received_s: float
    read_body: Any
    request_id: RequestId = RequestId("")
    service: ServiceSettings | None = None
    body: bytes = b""
    held_bytes: int = 0
    team: TeamId = TeamId("")
    urgency: Urgency = Urgency.URGENT
    deadline_s: float = 0.0
    idempotent: bool = False
    key: IdempotencyKey | None = None
    claim: Any = None
    admission: Any = None
    slot: Any = None
    local_refusal: CallAnswer | None = None
    span: Any = None
    answer: CallAnswer | None = None


class RetryState(msgspec.Struct):
    """Retry budget of this instance."""

    budget: RetryBudget = RetryBudget()


class BodyBudget(msgspec.Struct):
    """Limits the total size of the request bodies held at once, in bytes.

    Examples
    --------
    >>> budget = BodyBudget(limit=10)
    >>> budget.reserve(8), budget.reserve(8)
    (True, False)
    """

    limit: int = MAX_HELD_BYTES
    held: int = 0

    def reserve(self, amount):
        """Reserve bytes if the limit allows it; return whether it does."""
        if self.held + amount > self.limit:
            return False
        self.held += amount
        return True

    def release(self, amount):
        """Release reserved bytes."""
        self.held -= amount


def ignore_leaving(upstreams):
    """Ignore upstreams that report that they are leaving."""


class RequestPorts(msgspec.Struct, frozen=True, kw_only=True):
    """External dependencies of the request pipeline.

    Parameters
    ----------
    runners : Runners
        Port to the runners.
    view, fleet : callable
        Return the current views.
    clock : Clock
        Source of time.
    random : random.Random
        Source of request ids, jitter and choices.
    dispatcher : Dispatcher
        Admits requests and assigns slots of runners.
    claims : KeyClaims
        Claims of idempotency keys.
    forwarder : Forwarder or None
        Sends requests to other failure domains; None if that is not allowed.
    bodies : BodyBudget
        Limit on the request bodies held at once.
    retries : RetryState
        Retry budget of this instance.
    meters, traces : object
        Record metrics and spans.
    mark_leaving : callable
        Called with the upstreams that reported that they are leaving.
    """

    runners: Runners
    view: Callable[[], ClusterView]
    fleet: Callable[[], Fleet]
    clock: Clock
    random: Random
    dispatcher: Any
    claims: KeyClaims
    forwarder: Any = None
    bodies: BodyBudget = msgspec.field(default_factory=BodyBudget)
    retries: RetryState = msgspec.field(default_factory=RetryState)
    meters: NoMeters = msgspec.field(default_factory=NoMeters)
    traces: NoTraces = msgspec.field(default_factory=NoTraces)
    mark_leaving: Callable[[tuple[str, ...]], None] = ignore_leaving

    def without_forwarder(self):
        """Return the same ports without a forwarder, for forwarded requests."""
        return msgspec.structs.replace(self, forwarder=None)


def make_refusal(refusal, detail="", retry_after_ms=DEFAULT_RETRY_AFTER_MS):
    """Return the answer to a request that was certainly not run.

    Parameters
    ----------
    refusal : Refusal
        The reason.
    detail : str
        Human-readable explanation for the caller.
    retry_after_ms : int
        Delay after which a retry may succeed, in milliseconds.

    Returns
    -------
    CallAnswer
        The answer.
    """
    return CallAnswer(
        outcome=Outcome.NOT_RUN,
        refusal=refusal,
        detail=detail,
        retry_after_ms=int(retry_after_ms),
    )


def refuse(call, refusal, detail="", retry_after_ms=DEFAULT_RETRY_AFTER_MS):
    """Return the call with a refusal as its answer."""
    answer = make_refusal(refusal, detail, retry_after_ms)
    return msgspec.structs.replace(call, answer=answer)


def make_answer(upstream: UpstreamAnswer):
    """Return the answer to a request that a runner answered completely."""
    return CallAnswer(
        outcome=Outcome.DONE,
        status=upstream.status,
        body=upstream.body,
        content_type=upstream.content_type,
        runner=upstream.runner,
    )
