"""Placement of waiting tasks and the starts of their attempts."""

from returns.result import Success

from fuchsiascale.coordination._attempts import Attempt, AttemptPhase, parse_task_id
from fuchsiascale.coordination._exchanges import queue_response
from fuchsiascale.coordination._live_chunks import list_startable
from fuchsiascale.coordination._records import format_task_id
from fuchsiascale.coordination._shard_commands import StartAttempts
from fuchsiascale.coordination._shard_state import (
    find_attempt,
    remove_attempt,
    store_attempt,
)
from fuchsiascale.coordination._takeover import (
    finish_call,
    handle_call_failure,
    is_read_after_claims,
    step_down,
)
from fuchsiascale.coordination._worker_links import (
    accepts_work,
    compute_allocatable,
    compute_free,
)
from fuchsiascale.decisions import PlacementRequest, WorkerFree
from fuchsiascale.ids import AttemptNumber
from fuchsiascale.platform import (
    AttemptReport,
    Fenced,
    Message,
    Resources,
    StartCommand,
    StartRequest,
    Unavailable,
)
from fuchsiascale.states import AttemptState, Urgency

__all__ = ["MAX_STARTS_A_ROUND", "apply_start", "list_starts"]

MAX_STARTS_A_ROUND = 128
MAX_REFUSALS = 5
URGENCIES = list(Urgency)


class Candidate(Message):
    """A waiting task that may be started now."""

    request: PlacementRequest
    start: StartCommand


def list_starts(state):
    """Return the starts that are due, at most one batch for each worker."""
    if not (state.owner and state.placing) or state.all_claimed_sequence is None:
        return []
    if state.unseen_worker_gone and not state.first_scan_done:
        return []
    now_s = state.now_s()
    links = [link for link in state.links.values() if accepts_work(link, now_s)]
    names = {link.worker for link in links}
    if not links or (now_s < state.place_due_s and names <= state.workers_without_room):
        return []
    workers = [_describe_worker(link) for link in links]
    free = sum((entry.free for entry in workers), start=Resources())
    candidates = list_candidates(state, free)
    if not candidates:
        return []
    requests = [candidate.request for candidate in candidates]
    placements = state.policy.place(workers, requests)
    _queue_evictions(state, state.policy.preempt(workers, requests, placements))
    if not any(placement.worker for placement in placements):
        state.place_due_s = now_s + state.timing.place_retry_s
        state.workers_without_room = names
    return _build_commands(state, candidates, placements)


def _queue_evictions(state, responses):
    """Queue the evictions that make room for urgent tasks."""
    for worker, response in responses.items():
        queue_response(state, worker, response)
        state.links[worker].due_s = state.now_s()


def list_candidates(state, free):
    """Return tasks to place, the most urgent first, rotating between chunks.

    Parameters
    ----------
    state : ShardState
    free : Resources
        Uncommitted resources of all workers; bounds the candidates of a chunk.

    Returns
    -------
    list of Candidate
        At most ``MAX_STARTS_A_ROUND``.
    """
    candidates = []
    for live in _order_chunks(state):
        startable = list_startable(live)
        limit = min(
            _count_fits(free, live.record.spec.demand) + 1,
            MAX_STARTS_A_ROUND - len(candidates),
        )
        candidates += [_describe_task(live, task) for task in startable[:limit]]
        if len(candidates) >= MAX_STARTS_A_ROUND:
            break
    return candidates


def _order_chunks(state):
    """Return the chunks that may be started, by urgency, rotating among equals."""
    ready = [
        live
        for live in state.chunks.values()
        if live.record is not None and is_read_after_claims(state, live)
    ]
    state.turn += 1
    turn = state.turn % max(1, len(ready))
    ready = ready[turn:] + ready[:turn]
    return sorted(ready, key=lambda live: URGENCIES.index(live.record.spec.urgency))


def _count_fits(free, demand):
    counts = [
        max(0, getattr(free, name)) // getattr(demand, name)
        for name in ("millicores", "memory_mb", "accelerators")
        if getattr(demand, name) > 0
    ]
    return min(counts, default=MAX_STARTS_A_ROUND)


def _describe_worker(link):
    return WorkerFree(
        worker=link.worker,
        free=compute_free(link),
        capacity=compute_allocatable(link),
        services=link.entry.services,
    )


def _describe_task(live, task):
    spec = live.record.spec
    name = format_task_id(live.chunk, task.index)
    request = PlacementRequest(
        task=name,
        kind=spec.kind,
        demand=spec.demand,
        job=spec.job,
        team=spec.team,
        urgency=spec.urgency,
    )
    start = StartCommand(
        task=name,
        attempt=AttemptNumber(task.attempt + 1),
        kind=spec.kind,
        demand=spec.demand,
        run_ms=spec.run_ms,
        checkpoint=task.checkpoint,
        payload=spec.payload,
    )
    return Candidate(request=request, start=start)


def _build_commands(state, candidates, placements):
    by_worker = {}
    for candidate, placement in zip(candidates, placements, strict=True):
        chunk, index = parse_task_id(placement.task)
        live = state.chunks[chunk]
        live.reasons[index] = placement.reason
        if placement.worker is None:
            continue
        link = state.links[placement.worker]
        start = _fix_demand(candidate.start, placement)
        store_attempt(state, link, live, index, _build_attempt(link, start, placement))
        by_worker.setdefault(placement.worker, []).append(start)
    return [
        _prepare_starts(state, state.links[worker], starts)
        for worker, starts in by_worker.items()
    ]


def _prepare_starts(state, link, starts):
    for start in starts:
        state.policy.record_start(link.worker, start.task)
    link.pending = StartAttempts(
        worker=link.worker,
        address=link.entry.address,
        request=StartRequest(token=link.token, starts=tuple(starts)),
    )
    return link.pending


def _fix_demand(start, placement):
    return StartCommand(
        task=start.task,
        attempt=start.attempt,
        kind=start.kind,
        demand=placement.demand,
        run_ms=start.run_ms,
        checkpoint=start.checkpoint,
        payload=start.payload,
    )


def _build_attempt(link, start, placement):
    report = AttemptReport(
        task=start.task,
        attempt=start.attempt,
        kind=start.kind,
        state=AttemptState.RUNNING,
        demand=start.demand,
    )
    figures = (
        f"slowdown={placement.slowdown:.2f}",
        f"spare_millicores={placement.spare_millicores}",
    )
    return Attempt(
        worker=link.worker,
        phase=AttemptPhase.STARTING,
        report=report,
        figures=figures,
    )


def apply_start(state, command, result):
    """Apply the result of a batch of starts."""
    link = finish_call(state, command)
    if link is None:
        return
    starts = command.request.starts
    match result:
        case Success(reply) if reply.accepted:
            _apply_results(state, link, starts, reply.results)
        case Success(reply):
            link.highest = max(link.highest, reply.highest)
            step_down(state)
        case _:
            _handle_start_failure(state, link, starts, result.failure())


def _apply_results(state, link, starts, results):
    by_task = {result.task: result for result in results}
    refused = False
    for start in starts:
        attempt = find_attempt(state, start.task)
        if attempt is None or attempt is not link.attempts.get(attempt.key):
            continue
        result = by_task.get(start.task)
        if result is not None and result.started:
            attempt.phase = AttemptPhase.RUNNING
            state.meters.count_start(start.kind)
            _schedule_exchange_at_end(state, link, start)
            continue
        refused = True
        attempt.phase = AttemptPhase.IN_DOUBT
        reason = "the worker gave no result" if result is None else result.reason
        _record_reason(state, start.task, f"{link.worker}: {reason}")
    if refused:
        _handle_refusal(state, link)
    else:
        link.refusals = 0


def _handle_refusal(state, link):
    """Reclaim a worker that refused a start, and pause placement there.

    A duplicate of the request might arrive later and be accepted; a higher token
    fences it before the same attempt is started elsewhere.
    """
    delay_s = state.timing.step_down_s * 2 ** min(link.refusals, MAX_REFUSALS)
    link.refusals += 1
    link.place_due_s = state.now_s() + delay_s
    link.token = None
    link.due_s = state.now_s()


def _schedule_exchange_at_end(state, link, start):
    """Schedule the next exchange no later than the declared end of an attempt."""
    run_s = max(state.timing.busy_exchange_s, start.run_ms / 1000)
    link.due_s = min(link.due_s, state.now_s() + run_s)


def _handle_start_failure(state, link, starts, error):
    without_effect = isinstance(error, Unavailable | Fenced)
    for start in starts:
        attempt = find_attempt(state, start.task)
        if attempt is None or attempt is not link.attempts.get(attempt.key):
            continue
        if without_effect:
            _withdraw_start(state, attempt, f"{link.worker} did not answer")
        else:
            attempt.phase = AttemptPhase.IN_DOUBT
    handle_call_failure(state, link, error)
    if not without_effect:
        # Only a higher token fences a start request that may still arrive.
        link.token = None
        link.due_s = state.now_s()


def _withdraw_start(state, attempt, reason):
    state.policy.record_end(attempt.worker, attempt.report.task, AttemptState.STOPPED)
    remove_attempt(state, attempt)
    _record_reason(state, attempt.report.task, reason)


def _record_reason(state, task, reason):
    chunk, index = parse_task_id(task)
    state.chunks[chunk].reasons[index] = reason
