"""Exchanges with workers: lease, acknowledgements, stops, evictions, throttles."""

from returns.result import Success

from fuchsiascale.coordination._attempts import parse_task_id
from fuchsiascale.coordination._inventories import apply_inventory
from fuchsiascale.coordination._shard_commands import ExchangeWorker
from fuchsiascale.coordination._shard_state import is_recorded, is_unwanted
from fuchsiascale.coordination._takeover import (
    can_renew_leases,
    finish_call,
    handle_call_failure,
    step_down,
)
from fuchsiascale.platform import AttemptKey, ExchangeRequest

__all__ = [
    "apply_exchange",
    "list_acknowledged",
    "list_exchanges",
    "list_releases",
    "queue_response",
]

PERIOD_GROWTH = 1.5


def list_exchanges(state):
    """Return the exchanges that are due."""
    now_s = state.now_s()
    return [
        _prepare_exchange(state, link, release=False)
        for link in state.links.values()
        if link.claimed and link.pending is None and now_s >= link.due_s
    ]


def list_releases(state):
    """Return exchanges that release every claim and renew the leases once more."""
    return [
        _prepare_exchange(state, link, release=True)
        for link in state.links.values()
        if link.claimed and link.pending is None
    ]


def queue_response(state, worker, response):
    """Queue throttles and checkpoints for a worker's running attempts.

    Parameters
    ----------
    state : ShardState
    worker : WorkerId
    response : WorkerResponse
    """
    link = state.links.get(worker)
    if link is None:
        return
    running = {report.key for report in link.list_reports() if not report.state.ended}
    for throttle in response.throttles:
        key = AttemptKey(task=throttle.task, attempt=throttle.attempt)
        if key in running:
            link.throttles[key] = throttle
    for key in response.checkpoints:
        if key in running:
            link.evictions[key] = None
    if response.throttles or response.checkpoints:
        link.due_s = state.now_s()


def list_acknowledged(state, link):
    """Return the ended attempts whose end is recorded (rule d)."""
    return tuple(
        report.key
        for report in link.list_reports()
        if report.state.ended and is_recorded(state, report)
    )


def _prepare_exchange(state, link, release):
    now_s = state.now_s()
    grants = link.failures == 0 and can_renew_leases(state)
    request = _build_request(state, link, grants, release)
    link.pending = ExchangeWorker(
        worker=link.worker, address=link.entry.address, request=request
    )
    link.sent_s = now_s
    if grants:
        link.lease.record_grant(now_s)
    spread = 0.9 + 0.2 * state.random.random()
    link.due_s = now_s + (link.period_s or state.timing.exchange_s) * spread
    return link.pending


def _build_request(state, link, grants, release):
    running = [report for report in link.list_reports() if not report.state.ended]
    stops = tuple(report.key for report in running if is_unwanted(state, link, report))
    evicted = tuple(
        report.key
        for report in running
        if report.key not in stops and _is_evicted(state, link, report)
    )
    link.evictions = {key: None for key in evicted if key in link.evictions}
    return ExchangeRequest(
        token=link.token,
        lease_ms=_compute_lease_ms(link) if grants else 0,
        until_ms=_compute_until_ms(state, link) if grants else 0,
        acknowledged=list_acknowledged(state, link),
        stops=stops,
        checkpoints=evicted,
        throttles=tuple(link.throttles.values()),
        release=release,
    )


def _is_evicted(state, link, report):
    if report.key in link.evictions:
        return True
    chunk, _ = parse_task_id(report.task)
    if not link.leaving or chunk not in state.chunks:
        return False
    kind = state.kinds.get(report.kind)
    return kind is None or (kind.evictable and kind.checkpointable)


def _compute_lease_ms(link):
    return int(link.lease.duration_s * 1000)


def _compute_until_ms(state, link):
    """Return the end of a grant on the worker's clock, from its last reading."""
    if not link.inventory.clock_ms:
        return 0
    elapsed_ms = int((state.now_s() - link.inventory_s) * 1000)
    return link.inventory.clock_ms + elapsed_ms + _compute_lease_ms(link)


def apply_exchange(state, command, result):
    """Apply the result of an exchange."""
    link = finish_call(state, command)
    if link is None:
        return
    match result:
        case Success(reply) if reply.accepted:
            _apply_reply(state, link, command.request, reply)
        case Success(reply):
            link.highest = max(link.highest, reply.highest)
            step_down(state)
        case _:
            handle_call_failure(state, link, result.failure())


def _apply_reply(state, link, request, reply):
    link.confirmed_s = link.sent_s
    if request.lease_ms == 0:
        # The worker answers again, or renewals will soon be allowed: retry early.
        link.due_s = min(link.due_s, state.now_s() + state.timing.retry_s)
    if link.failures:
        link.failures = 0
        link.due_s = state.now_s()
    for throttle in request.throttles:
        key = AttemptKey(task=throttle.task, attempt=throttle.attempt)
        if link.throttles.get(key) == throttle:
            del link.throttles[key]
    apply_inventory(state, link, reply.inventory, after_claim=False)
    _adapt_period(state, link)


def _adapt_period(state, link):
    """Exchange more often while attempts end, so that their room is soon reused."""
    timing = state.timing
    period_s = link.period_s or timing.exchange_s
    if any(report.state.ended for report in link.list_reports()):
        period_s = max(timing.busy_exchange_s, period_s / 2)
    else:
        period_s *= PERIOD_GROWTH
    link.period_s = min(timing.exchange_s, period_s)
