"""Takeover of a shard by an owner, its claims, and stepping down.

Notes
-----
The shard's row in the store does not elect the owner; the workers' tokens do.
The row fences what tokens cannot: actions of an owner that has been replaced and
does not know it yet (adding a worker, moving a chunk, treating a lease as expired).
"""

import msgspec
from returns.result import Success

from fuchsiascale.coordination._attempts import AttemptPhase
from fuchsiascale.coordination._inventories import apply_inventory
from fuchsiascale.coordination._leases import Lease
from fuchsiascale.coordination._ownership import increment_token
from fuchsiascale.coordination._records import ShardRecord
from fuchsiascale.coordination._shard_commands import ClaimWorker, ReadShard, WriteShard
from fuchsiascale.coordination._shard_state import (
    can_call_store,
    end_attempt,
    is_recorded,
    record_store_result,
)
from fuchsiascale.coordination._worker_links import WorkerEntry, WorkerLink
from fuchsiascale.platform import ClaimRequest, Conflict, Fenced, Unavailable

__all__ = [
    "apply_claim",
    "apply_shard_row",
    "apply_shard_write",
    "check_all_claimed",
    "end_expired_attempts",
    "finish_call",
    "has_claimed_all",
    "is_read_after_claims",
    "list_claims",
    "list_row_commands",
    "can_renew_leases",
    "handle_call_failure",
    "observe_workers",
    "require_fresh_rows",
    "restart_takeover",
    "step_down",
]

MAX_BACKOFF_DOUBLINGS = 6


def observe_workers(state, entries, listed):
    """Apply the workers that the list contains.

    Parameters
    ----------
    state : ShardState
    entries : iterable of WorkerEntry
    listed : bool
        Whether an absent worker is known to be absent from the list.
    """
    present = {entry.worker: entry for entry in entries}
    for worker, entry in present.items():
        link = state.links.get(worker)
        if link is None:
            link = state.links[worker] = _build_link(state, entry)
        link.entry = entry
        link.listed = True
        link.absent_since_s = None
    if not listed:
        return
    for link in list(state.links.values()):
        if link.worker not in present:
            _observe_absence(state, link)
    check_all_claimed(state)


def _build_link(state, entry):
    lease = Lease(duration_s=state.timing.lease_s)
    return WorkerLink(entry=entry, lease=lease, attempts={}, evictions={}, throttles={})


def _observe_absence(state, link):
    now_s = state.now_s()
    if link.absent_since_s is None:
        link.absent_since_s = now_s
    timing = state.timing
    needed_s = timing.gone_s if link.listed else timing.unlisted_s
    if now_s - link.absent_since_s < needed_s:
        return
    if _may_hold_unknown_attempts(state, link):
        state.unseen_worker_gone = True
    for attempt in link.attempts.values():
        if not attempt.has_ended:
            end_attempt(state, attempt, "the worker is gone")
    state.policy.forget_worker(link.worker)
    del state.links[link.worker]


def _may_hold_unknown_attempts(state, link):
    """Return whether a worker may have run attempts that no chunk here records.

    That is the case if its inventory was never received, or if the chunk rows that
    belong to its inventory could not be read yet.
    """
    if link.inventory is None:
        return link.in_shard_row
    return any(
        report.key not in link.attempts and not is_recorded(state, report)
        for report in link.list_reports()
    )


def list_claims(state):
    """Return the claims that are due; a claim does not change the worker's lease."""
    if not state.owner:
        return []
    now_s = state.now_s()
    commands = []
    for link in state.links.values():
        absent = link.absent_since_s is not None
        if link.claimed or link.pending or now_s < link.due_s or absent:
            continue
        request = ClaimRequest(
            token=increment_token(link.highest, state.instance), lease_ms=0
        )
        link.pending = ClaimWorker(
            worker=link.worker, address=link.entry.address, request=request
        )
        link.sent_s = now_s
        commands.append(link.pending)
    return commands


def apply_claim(state, command, result):
    """Apply the result of a claim."""
    link = finish_call(state, command)
    if link is None:
        return
    match result:
        case Success(reply) if reply.granted and _may_have_changed_owner(link, reply):
            link.highest = command.request.token
            if reply.previous is None or reply.previous.holder == state.instance:
                restart_takeover(state)
            else:
                step_down(state)
        case Success(reply) if reply.granted:
            link.highest = link.token = link.granted = command.request.token
            link.failures = 0
            link.due_s = link.claimed_s = state.now_s()
            link.confirmed_s = link.sent_s
            link.previous = reply.previous
            apply_inventory(state, link, reply.inventory, after_claim=True)
            check_all_claimed(state)
        case Success(reply):
            _handle_higher_token(state, link, reply.highest)
        case _:
            handle_call_failure(state, link, result.failure())


def _may_have_changed_owner(link, reply):
    """Return whether another owner may have held a worker since this owner's claim.

    It may then have started attempts at other workers, so the state here is out of
    date. A token in between belongs to another owner, or to a claim of this owner
    whose reply was lost and that may have fenced another owner.
    """
    return link.granted is not None and reply.previous != link.granted


def list_row_commands(state):
    """Return the read or write of the shard's row that is due."""
    if not state.owner or state.row_pending or not can_call_store(state):
        return []
    if state.now_s() < state.row_due_s:
        return []
    if state.record is not None:
        wanted = _list_row_workers(state)
        if wanted != state.record.workers or _needs_confirmation(state):
            return [_write_row(state, wanted)]
        return []
    if not state.row_read:
        state.row_pending = ReadShard(shard=state.shard)
        return [state.row_pending]
    return [_write_row(state, tuple(sorted(state.links)))]


def _write_row(state, workers):
    record = ShardRecord(shard=state.shard, owner=state.instance, workers=workers)
    state.row_pending = WriteShard(
        record=record, expected_version=state.version, sent_s=state.now_s()
    )
    return state.row_pending


def _list_row_workers(state):
    """Return the workers that may be used or may hold attempts.

    A worker that is gone stays in the row until the ends of its attempts are
    recorded, so that the next owner also knows of it.
    """
    names = {
        link.worker
        for link in state.links.values()
        if link.in_shard_row or link.claimed or link.attempts
    }
    scan_missing = state.unseen_worker_gone and not state.first_scan_done
    if scan_missing or state.possibly_started or state.chunks_with_ends:
        names.update(state.record.workers)
    return tuple(sorted(names))


def _needs_confirmation(state):
    """Return whether the row must be written to confirm an expired lease.

    Attempts under an expired lease may be ended only if this owner still held the
    shard's row after the lease expired.
    """
    now_s = state.now_s()
    return any(
        any(not attempt.has_ended for attempt in link.attempts.values())
        for link in state.links.values()
        if now_s > link.lease.expiry_s() > state.confirmed_s
    )


def apply_shard_row(state, command, result):
    """Apply the shard's row that was read for a takeover."""
    if state.row_pending is not command:
        return
    state.row_pending = None
    record_store_result(state, result)
    if not isinstance(result, Success):
        return
    row = result.unwrap()
    state.row_read = True
    state.version = 0 if row is None else row.version
    if row is None:
        return
    record = msgspec.json.decode(row.value, type=ShardRecord)
    if state.all_claimed_sequence is not None and record.owner != state.instance:
        step_down(state)
        return
    _apply_row_workers(state, record)


def _apply_row_workers(state, record):
    for worker in record.workers:
        link = state.links.get(worker)
        if link is None:
            entry = WorkerEntry(worker=worker, address="")
            link = state.links[worker] = _build_link(state, entry)
            link.absent_since_s = state.now_s()
        link.in_shard_row = True


def apply_shard_write(state, command, result):
    """Apply the result of writing the shard's row."""
    if state.row_pending is not command:
        return
    state.row_pending = None
    record_store_result(state, result)
    if isinstance(result, Success):
        state.record = command.record
        state.version = result.unwrap()
        state.confirmed_s = command.sent_s
        for worker in command.record.workers:
            if worker in state.links:
                _admit_worker(state, state.links[worker])
        check_all_claimed(state)
        return
    error = result.failure()
    if isinstance(error, Conflict) and state.record is not None:
        step_down(state)
        return
    jitter = 0.5 + state.random.random()
    state.row_due_s = state.now_s() + state.timing.retry_s * jitter
    if not isinstance(error, Unavailable):
        # The write may have been applied; reading the row again resolves that.
        state.record = None
        state.row_read = False


def _admit_worker(state, link):
    """Allow the use of a worker; its lease is renewed first unless it is fresh."""
    if not link.lease.is_fresh(state.now_s()):
        link.due_s = state.now_s()
    link.in_shard_row = True


def has_claimed_all(state):
    """Return whether no other owner can start tasks in the shard (rule b)."""
    return state.record is not None and all(
        link.claimed for link in state.links.values() if link.in_shard_row
    )


def check_all_claimed(state):
    """Record when all workers are first claimed; only rows read later count."""
    if state.all_claimed_sequence is not None or not has_claimed_all(state):
        return
    state.all_claimed_sequence = state.sequence
    state.all_claimed_s = state.now_s()
    require_fresh_rows(state)


def require_fresh_rows(state):
    """Mark all rows that were read before the claims as stale (rule c)."""
    for live in state.chunks.values():
        live.stale = True
        live.stale_after_write = False


def is_read_after_claims(state, live):
    """Return whether a chunk's row was read after all claims (rule c)."""
    return live.sequence > state.all_claimed_sequence


def can_renew_leases(state):
    """Return whether leases may be renewed.

    An owner that has been replaced may treat a lease as expired by its own clock
    and start the task at another worker. The new owner renews no lease until that
    is impossible: because it has written the shard's row, or because it has claimed
    every worker.
    """
    if state.record is not None:
        return True
    return all(link.claimed for link in state.links.values())


def end_expired_attempts(state):
    """End the attempts whose lease has certainly expired some time ago.

    They no longer run, but may have finished, which a worker that becomes reachable
    again reports. They therefore stay in doubt for some time before they run again.
    """
    now_s = state.now_s()
    doubt_s = state.timing.doubt_leases * state.timing.lease_s
    for link in state.links.values():
        expiry_s = link.lease.expiry_s()
        if now_s < expiry_s + doubt_s or state.confirmed_s < expiry_s:
            continue
        for attempt in link.attempts.values():
            if attempt.phase is not AttemptPhase.ENDED:
                end_attempt(state, attempt, "the worker's lease ran out")


def finish_call(state, command):
    """Return the link of a command and clear it; None if it is no longer pending."""
    link = state.links.get(command.worker)
    if link is None or link.pending is not command:
        return None
    link.pending = None
    return link


def handle_call_failure(state, link, error):
    """Handle a failed call: step down if fenced, otherwise schedule a retry."""
    if isinstance(error, Fenced):
        _handle_higher_token(state, link, error.highest)
        return
    delay_s = state.timing.retry_s * 2 ** min(link.failures, MAX_BACKOFF_DOUBLINGS)
    link.failures += 1
    link.due_s = state.now_s() + min(delay_s, state.timing.max_retry_s)


def _handle_higher_token(state, link, highest):
    """Handle the refusal of a token because the worker has seen a higher one.

    A first claim is refused if an earlier owner used a higher counter; it is
    repeated with a higher token. Any later refusal means another owner.
    """
    link.highest = max(link.highest, highest)
    if link.claimed:
        step_down(state)
    elif link.inventory is None or highest.holder == state.instance:
        link.due_s = state.now_s()
    else:
        step_down(state)


def step_down(state):
    """Relinquish a shard that another owner may hold, and back off."""
    timing = state.timing
    if state.now_s() - state.all_claimed_s > timing.max_step_down_s:
        state.step_downs = 0
    doublings = min(state.step_downs, MAX_BACKOFF_DOUBLINGS)
    delay_s = min(timing.step_down_s * 2**doublings, timing.max_step_down_s)
    state.step_downs += 1
    state.backoff_until_s = state.now_s() + delay_s * (0.5 + state.random.random())
    restart_takeover(state)


def restart_takeover(state):
    """Drop all state of the shard except its workers and their tokens."""
    links = state.links
    state.reset()
    state.links = {}
    for worker, link in links.items():
        if not link.listed:
            continue
        new_link = _build_link(state, link.entry)
        new_link.highest = link.highest
        new_link.listed = True
        new_link.absent_since_s = link.absent_since_s
        state.links[worker] = new_link
