"""Reconciliation of worker inventories with the owner's state."""

from fuchsiascale.coordination._attempts import Attempt, AttemptPhase, parse_task_id
from fuchsiascale.coordination._shard_state import (
    end_attempt,
    handle_end,
    is_recorded,
    remove_attempt,
    require_read,
    store_attempt,
)
from fuchsiascale.platform import AttemptReport
from fuchsiascale.states import AttemptState

__all__ = ["reconcile_chunk", "apply_inventory"]


def apply_inventory(state, link, inventory, after_claim):
    """Apply a worker's inventory to the owner's state.

    Parameters
    ----------
    state : ShardState
    link : WorkerLink
    inventory : WorkerInventory
    after_claim : bool
        Whether it answers a claim, which fences all starts sent earlier.
    """
    link.inventory = inventory
    link.dropped = {}
    link.inventory_s = state.now_s()
    link.lease.observe_remaining(link.inventory_s, inventory.lease_ms / 1000)
    state.policy.observe_inventory(link.worker, link.entry.services, inventory)
    reported = {report.key for report in inventory.attempts}
    for key, attempt in list(link.attempts.items()):
        if key not in reported and not attempt.has_ended:
            _resolve_unreported(state, attempt, after_claim)
    for report in inventory.attempts:
        _reconcile_report(state, link, report)


def _resolve_unreported(state, attempt, after_claim):
    if attempt.phase is AttemptPhase.RUNNING:
        end_attempt(state, attempt, "the worker lost the attempt")
    elif after_claim:
        task = attempt.report.task
        state.policy.record_end(attempt.worker, task, AttemptState.STOPPED)
        remove_attempt(state, attempt)


def reconcile_chunk(state, live):
    """Apply the workers' last reports about the tasks of a chunk."""
    for link in state.links.values():
        for report in link.list_reports():
            if parse_task_id(report.task)[0] == live.chunk:
                _reconcile_report(state, link, report)
    if live.chunk in state.possibly_started:
        state.possibly_started.discard(live.chunk)
        state.chunks_with_ends.add(live.chunk)
        _skip_possible_attempts(live)


def _skip_possible_attempts(live):
    """End the next attempt of each task that may have run on an unseen worker.

    The worker is gone and may have run attempts that this owner does not know, so
    the number of that attempt must not be used again.
    """
    for task in live.record.tasks:
        if task.state.final or task.index in live.attempts:
            continue
        report = AttemptReport(
            task=f"{live.chunk}.{task.index}",
            attempt=task.attempt + 1,
            kind=live.record.spec.kind,
            state=AttemptState.STOPPED,
            demand=live.record.spec.demand,
            detail="may have run on a worker that is gone",
        )
        live.attempts[task.index] = Attempt(
            worker=task.worker, phase=AttemptPhase.ENDED, report=report
        )


def _reconcile_report(state, link, report):
    chunk, index = parse_task_id(report.task)
    live = state.chunks.get(chunk)
    if live is None:
        if chunk not in state.foreign:
            require_read(state, chunk)
        return
    if live.record is None or is_recorded(state, report):
        return
    attempt = live.attempts.get(index)
    if attempt is None or attempt.report.attempt < report.attempt:
        attempt = Attempt(worker=link.worker, phase=AttemptPhase.RUNNING, report=report)
        store_attempt(state, link, live, index, attempt)
    elif attempt is not link.attempts.get(report.key):
        return
    if not attempt.has_ended:
        _update_attempt(state, attempt, report)


def _update_attempt(state, attempt, report):
    attempt.report = report
    if not report.state.ended:
        attempt.phase = AttemptPhase.RUNNING
        return
    attempt.phase = AttemptPhase.ENDED
    handle_end(state, attempt)
