"""Filters that check a request before it is admitted."""

import hashlib
import hmac

from msgspec.structs import replace
from returns.result import Failure

from fuchsiascale.ids import IdempotencyKey, RequestId, TeamId
from fuchsiascale.pipelines._calls import refuse
from fuchsiascale.pipelines._filters import register_filter
from fuchsiascale.states import Refusal, Urgency

__all__ = ["accept", "authenticate", "classify", "set_deadline"]

MAX_ID_CHARACTERS = 128
SAFE_METHODS = frozenset({"GET", "HEAD", "OPTIONS"})
BOOLEANS = {"true": True, "1": True, "false": False, "0": False}
BEARER = "Bearer "


def _is_valid_id(text):
    return len(text) <= MAX_ID_CHARACTERS and text.isascii() and text.isprintable()


@register_filter("accept")
async def accept(call, ports):
    """Set the request id and read the whole body, up to the service's limit."""
    given = call.headers.request_id
    if not _is_valid_id(given):
        return refuse(call, Refusal.BAD_REQUEST, "X-Request-Id is not a valid id")
    request_id = given or f"{ports.random.getrandbits(96):024x}"
    call = replace(call, request_id=RequestId(request_id))
    service = ports.fleet().services.get(call.service_id)
    if service is None:
        return refuse(call, Refusal.UNKNOWN_SERVICE, f"no service {call.service_id}")
    left_s = call.received_s + service.deadline_ms / 1000 - ports.clock.monotonic()
    read = await call.read_body(service.max_body_bytes, left_s)
    if isinstance(read, Failure):
        error = read.failure()
        return refuse(call, error.refusal, error.detail)
    body = read.unwrap()
    if not ports.bodies.reserve(len(body)):
        detail = "too many bytes of request bodies are held"
        return refuse(call, Refusal.NO_CAPACITY, detail)
    return replace(call, service=service, body=body, held_bytes=len(body))


def find_team(fleet, token):
    """Return the team that a bearer token belongs to, or None.

    Parameters
    ----------
    fleet : Fleet
        The document in force.
    token : str
        The bearer token as received.

    Returns
    -------
    TeamId or None
        The team.
    """
    digest = hashlib.sha256(token.encode("utf-8", "surrogateescape")).hexdigest()
    for team in fleet.teams.values():
        if team.token_sha256 and hmac.compare_digest(team.token_sha256, digest):
            return team.team
    return None


@register_filter("authenticate")
async def authenticate(call, ports):
    """Find the team by its bearer token, or by name if it has no token."""
    fleet = ports.fleet()
    authorization = call.headers.authorization
    if authorization:
        token = authorization.removeprefix(BEARER)
        team = find_team(fleet, token) if token != authorization else None
        if team is None:
            return refuse(call, Refusal.UNAUTHORIZED, "no team has this token")
        return replace(call, team=team)
    settings = fleet.teams.get(TeamId(call.headers.team))
    if settings is None or settings.token_sha256:
        return refuse(call, Refusal.UNAUTHORIZED, "a bearer token is needed")
    return replace(call, team=settings.team)


@register_filter("classify")
async def classify(call, ports):
    """Read urgency, idempotence and the idempotency key."""
    headers = call.headers
    key = headers.idempotency_key
    if not _is_valid_id(key):
        return refuse(call, Refusal.BAD_REQUEST, "Idempotency-Key is not a valid key")
    idempotent = BOOLEANS.get(headers.idempotent.lower(), call.method in SAFE_METHODS)
    if headers.idempotent and headers.idempotent.lower() not in BOOLEANS:
        return refuse(call, Refusal.BAD_REQUEST, "X-Idempotent is not true or false")
    urgency = call.service.urgency
    if headers.urgency:
        try:
            urgency = Urgency(headers.urgency.lower())
        except ValueError:
            known = ", ".join(each.value for each in Urgency)
            detail = f"X-Urgency is not one of {known}"
            return refuse(call, Refusal.BAD_REQUEST, detail)
    idempotency_key = IdempotencyKey(key) if key else None
    # A key guarantees at most one run, whatever the method and other headers say.
    idempotent = idempotent and idempotency_key is None
    return replace(call, urgency=urgency, idempotent=idempotent, key=idempotency_key)


@register_filter("deadline")
async def set_deadline(call, ports):
    """Set the deadline to the earlier of the caller's and the service's."""
    text = call.headers.deadline_ms
    limit_ms = call.service.deadline_ms
    if text:
        if not (text.isascii() and text.lstrip("-").isdigit()):
            detail = "X-Deadline-Ms is not a whole number of milliseconds"
            return refuse(call, Refusal.BAD_REQUEST, detail)
        requested_ms = int(text[:MAX_ID_CHARACTERS])
        if requested_ms <= 0:
            detail = "X-Deadline-Ms: the deadline is already past"
            return refuse(call, Refusal.BAD_REQUEST, detail)
        limit_ms = min(limit_ms, requested_ms)
    deadline_s = call.received_s + limit_ms / 1000
    if ports.clock.monotonic() >= deadline_s:
        return refuse(call, Refusal.DEADLINE, "the deadline passed on arrival")
    return replace(call, deadline_s=deadline_s)
