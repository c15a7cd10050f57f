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
    """Why a request body could not be read whole."""

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
    """What a caller is told.

    Parameters
    ----------
    outcome : Outcome
        Whether the request was run, was not run, or may have been.
    status : int
        The upstream's status; 0 lets the outcome and refusal decide.
    retry_after_ms : int
        When a request that was not run may be tried again, in milliseconds.
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
        Monotonic time after which nobody waits for the answer, in seconds.
    read_body : callable
        Reads the whole body up to a limit in bytes, within a time in seconds.
    held_bytes : int
        Bytes of the body that count in the budget of bodies.
    claim : object or None
        Handle of the idempotency-key claim that this request holds.
    admission : object or None
        Handle of the admission that this request holds.
    slot : object or None
        Handle of the runner slot that this request holds.
    local_refusal : CallAnswer or None
        Why no local runner takes the request.
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
    """The retry budget of this instance, and its fresh traffic."""

    budget: RetryBudget = RetryBudget()


class BodyBudget(msgspec.Struct):
    """Bounds the bytes of bodies that wait or are under way.

    Examples
    --------
    >>> budget = BodyBudget(limit=10)
    >>> budget.reserve(8), budget.reserve(8)
    (True, False)
    """

    limit: int = MAX_HELD_BYTES
    held: int = 0

    def reserve(self, amount):
        """Count bytes in, if there is room; return whether there was."""
        if self.held + amount > self.limit:
            return False
        self.held += amount
        return True

    def release(self, amount):
        """Count bytes out."""
        self.held -= amount


def ignore_leaving(upstreams):
    """Pass no sign of leaving on."""


class RequestPorts(msgspec.Struct, frozen=True, kw_only=True):
    """What the request pipeline needs from outside.

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
        Admission and slots.
    claims : KeyClaims
        Claims of idempotency keys.
    forwarder : Forwarder or None
        Sends requests to other failure domains; None where that is not allowed.
    bodies : BodyBudget
        Bytes of bodies held at once.
    retries : RetryState
        The budget of retries.
    meters, traces : object
        Counters and spans.
    mark_leaving : callable
        Told the upstreams that said themselves that they are leaving.
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
        """Return the same ports, for requests that go no further."""
        return msgspec.structs.replace(self, forwarder=None)


def make_refusal(refusal, detail="", retry_after_ms=DEFAULT_RETRY_AFTER_MS):
    """Return the answer of a request that was surely not run.

    Parameters
    ----------
    refusal : Refusal
        The reason.
    detail : str
        What was wrong, for the caller to read.
    retry_after_ms : int
        When a repeat may succeed, in milliseconds.

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
    """Return the call, ended as surely not run."""
    answer = make_refusal(refusal, detail, retry_after_ms)
    return msgspec.structs.replace(call, answer=answer)


def make_answer(upstream: UpstreamAnswer):
    """Return the answer of a request that a runner answered whole."""
    return CallAnswer(
        outcome=Outcome.DONE,
        status=upstream.status,
        body=upstream.body,
        content_type=upstream.content_type,
        runner=upstream.runner,
    )
