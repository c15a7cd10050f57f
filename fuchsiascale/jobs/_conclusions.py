"""What an owner concludes without a worker's report, and when it may act on that.

An owner that has been replaced and doesn't know it may conclude what its successor
contradicts. So nothing follows from a conclusion before the store, asked afterwards,
has shown the owner as such. Functions change the shard and do no I/O.
"""

from fuchsiascale.jobs._worker_clocks import measure_lease_s

__all__ = [
    "confirm_owner",
    "end_wait_for_worker",
    "forget_orphans",
    "mark_all_lost",
    "mark_lost",
    "needs_confirmation",
]


def confirm_owner(shard, confirmed_s):
    """Note that this was the owner at a time, and conclude what follows from it.

    Attempts are lost on workers whose lease has expired; a later owner may have
    extended the leases that end after that time. Unconfirmed workers whose last
    lease from an earlier owner has expired count as confirmed.
    """
    shard.confirmed_s = confirmed_s
    for worker in shard.workers.values():
        if worker.lease_expiry_s is not None and confirmed_s > worker.lease_expiry_s:
            _mark_expired(shard, worker, confirmed_s)
    for worker_id, until_s in list(shard.unconfirmed_workers.items()):
        if confirmed_s > until_s:
            _log_unreached(shard, worker_id)
            del shard.unconfirmed_workers[worker_id]


def needs_confirmation(shard, now_s):
    """Return whether something waits until the store confirms the owner.

    That is a conclusion since the last confirmation, or the end of a lease that
    matters.
    """
    then_s = shard.confirmed_s
    if shard.concluded_s >= then_s:
        return True
    expiries_s = []
    for worker in shard.workers.values():
        if worker.lease_expiry_s is not None and (worker.attempts or worker.orphans):
            expiries_s.append(worker.lease_expiry_s)
            if worker.has_restarted:
                attempts = worker.attempts.values()
                expiries_s += [_compute_expiry(shard, attempt) for attempt in attempts]
    expiries_s += shard.unconfirmed_workers.values()
    return any(then_s <= expiry_s < now_s for expiry_s in expiries_s)


def _mark_expired(shard, worker, confirmed_s):
    """Mark the attempts on a worker as lost whose lease had expired at a time."""
    for attempt in list(worker.attempts.values()):
        expiry_s = _compute_expiry(shard, attempt)
        if confirmed_s > expiry_s:
            mark_lost(shard, attempt, expiry_s, "lease over")
    forget_orphans(shard, worker, worker.lease_expiry_s)


def _compute_expiry(shard, attempt):
    """Return the monotonic time at which an attempt's lease has expired for certain.

    A start that was sent to an earlier incarnation of the worker gives the one that
    carries it out the longest lease.
    """
    worker = attempt.worker
    if not (attempt.is_start_in_doubt and worker.has_restarted):
        return worker.lease_expiry_s
    longest_s = measure_lease_s(shard.longest_lease_ms)
    return max(worker.lease_expiry_s, attempt.start_until_s + longest_s)


def end_wait_for_worker(shard, worker, now_s):
    """Note that it is known what earlier owners started on a worker.

    That holds once the owner is confirmed later than ``now_s``: what a later owner
    has seen there may be gone with an incarnation of the worker.
    """
    until_s = shard.unconfirmed_workers.get(worker.worker)
    if until_s is None:
        return
    if now_s < shard.confirmed_s:
        del shard.unconfirmed_workers[worker.worker]
    else:
        shard.unconfirmed_workers[worker.worker] = min(until_s, now_s)


def mark_all_lost(shard, worker, now_s, why):
    """Mark all attempts on a worker as lost, with those that are being stopped."""
    for attempt in list(worker.attempts.values()):
        mark_lost(shard, attempt, now_s, why)
    forget_orphans(shard, worker, now_s)


def mark_lost(shard, attempt, now_s, why):
    """Mark an attempt as ended without a reported end; its task waits again.

    ``now_s`` is the monotonic time at which this was known. The task may start
    again once the owner has been confirmed later than that.
    """
    shard.events[f"lost: {why}"] += 1
    attempt.worker.release(attempt)
    task = attempt.task
    _note_lost(shard, task, now_s)
    if task.attempt is attempt:
        task.attempt = None
        task.checkpoint = attempt.checkpoint or task.checkpoint
    shard.log.info(
        "attempt lost",
        extra={
            **attempt.describe_start(),
            "why": why,
            "token": shard.token,
            "awaits_confirmation": task.lost_s >= shard.confirmed_s,
            "start_in_doubt": attempt.is_start_in_doubt,
            "worker_claimed_ago_s": attempt.worker.measure_claimed_s(now_s),
        },
    )


def forget_orphans(shard, worker, now_s):
    """Note that attempts that were being stopped on a worker are lost."""
    for name in worker.orphans:
        task = shard.find_task(name)
        if task is not None:
            _note_lost(shard, task, now_s)
    worker.orphans.clear()


def _note_lost(shard, task, now_s):
    """Note that a task has lost an attempt whose end nobody has reported."""
    task.lost_s = max(task.lost_s, now_s)
    shard.concluded_s = max(shard.concluded_s, now_s)


def _log_unreached(shard, worker_id):
    worker = shard.workers.get(worker_id)
    if worker is not None and not worker.claimed:
        shard.log.warning(
            "worker not reached before its last lease expired",
            extra={
                "worker": worker_id,
                "token": shard.token,
                "listed_incarnation": worker.listed.incarnation,
            },
        )
