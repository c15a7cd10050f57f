"""Applies the inventories of workers to an owner's shard.

Functions change the shard and its workers, and do no I/O. The rules that prevent a
task from running twice are in docs/design/platform.md.
"""

from fuchsiascale.jobs._conclusions import (
    end_wait_for_worker,
    forget_orphans,
    mark_lost,
)
from fuchsiascale.jobs._model import JobState
from fuchsiascale.jobs._ports import EndKind
from fuchsiascale.jobs._rack_forecasts import measure_slowdown
from fuchsiascale.jobs._run_state import Attempt, AttemptPhase
from fuchsiascale.jobs._worker_clocks import record_clock_reading
from fuchsiascale.jobs._worker_state import LATE_CALL_S

__all__ = ["apply_inventory"]

PENDING_EXCHANGE_S = 1.0
"""Time after the first answer of a worker in which an exchange with an earlier owner
may still be open there, and show it an end. A worker holds one open for 0.5 s."""

STOP_RETRY_S = 0.6
"""Time after which a stop without an effect is sent again."""
SUSPENSION_JOBS = 2
"""Number of jobs whose tasks fail on a worker, with no success in between, that
suspends it. The failures of a single job may be its own fault."""


def apply_inventory(shard, worker, inventory, sent_s, now_s):
    """Update a shard with the inventory of a worker.

    Parameters
    ----------
    shard : Shard
        Workers and jobs, which are changed.
    worker : WorkerRun
        The worker.
    inventory : Inventory
        What the worker reported.
    sent_s, now_s : float
        Monotonic times of the request and of the reply, in seconds.
    """
    _identify_incarnation(shard, worker, inventory, sent_s, now_s)
    record_clock_reading(worker, inventory.clock_ms, now_s)
    worker.silent = False
    for end in inventory.ended:
        if end.number > worker.last_seen_end:
            worker.last_seen_end = end.number
            _apply_end(shard, worker, end, now_s)
    reported = {}
    is_exclusive = sent_s - worker.claimed_s > PENDING_EXCHANGE_S
    for running in inventory.running:
        reported[running.task] = running.attempt
        _apply_running(shard, worker, running, is_exclusive, now_s)
    absent = [
        attempt
        for attempt in worker.attempts.values()
        if reported.get(attempt.task.name) != attempt.number
    ]
    if inventory.lists_all_ends:
        end_wait_for_worker(shard, worker, now_s)
        for attempt in absent:
            _handle_absence(shard, attempt, sent_s, now_s)
    else:
        _await_more_ends(shard, worker, absent, now_s)
    for name, number in list(worker.orphans.items()):
        if reported.get(name) == number:
            shard.stop_orphan(worker, name, number)
        else:
            del worker.orphans[name]


def _identify_incarnation(shard, worker, inventory, sent_s, now_s):
    """Note which incarnation has answered, and take it over if it is a new one."""
    if inventory.incarnation == worker.incarnation and worker.claimed:
        if worker.doubted_s is not None and sent_s > worker.doubted_s:
            worker.doubted_s = None
            worker.saw_later_clock = False
        if not worker.refuses_former_calls and sent_s >= worker.claimed_s:
            worker.refuses_former_calls = True
            worker.granted_until_ms = inventory.clock_ms + shard.longest_lease_ms
        return
    if inventory.incarnation != worker.incarnation:
        _handle_restart(shard, worker, inventory, sent_s, now_s)
    # A call on the clock of an earlier incarnation, perhaps by an earlier owner, ends
    # far away on this one, so that the worker has taken its longest lease. Until it
    # refuses them, another such call may arrive.
    worker.granted_until_ms = inventory.clock_ms + shard.longest_lease_ms
    if not worker.refuses_former_calls:
        worker.granted_until_ms += int(LATE_CALL_S * 1000)
    shard.note_claimed(worker, now_s)


def _handle_restart(shard, worker, inventory, sent_s, now_s):
    """Reset what is known of a worker that has a new incarnation.

    Starts that may have reached the new one, or still may, are looked up in later
    inventories. The new one knows nothing of the stops that the one before answered,
    so a start that may still take effect is stopped there too.
    """
    lost = []
    for attempt in worker.attempts.values():
        if attempt.is_start_in_doubt:
            attempt.stop_sent_s = attempt.stop_answered_s = None
        elif (
            attempt.phase in (AttemptPhase.RUNNING, AttemptPhase.STOPPING)
            and attempt.phase_since_s < sent_s
        ):
            lost.append(attempt)
    if worker.incarnation:
        shard.events["worker restarted"] += 1
        shard.log.warning(
            "worker restarted",
            extra={
                "worker": worker.worker,
                "lost": len(lost),
                "in_doubt": sum(
                    attempt.is_start_in_doubt for attempt in worker.attempts.values()
                ),
                "acknowledged_end": worker.last_recorded_end,
                "token": shard.token,
            },
        )
    worker.incarnation = inventory.incarnation
    for attempt in lost:
        mark_lost(shard, attempt, now_s, "worker restarted")
    forget_orphans(shard, worker, now_s)
    for name, number in worker.list_late_starts(now_s):
        if name not in worker.attempts:
            shard.stop_orphan(worker, name, number)
    if worker.claimed:
        # Before its first answer, this owner has sent it neither starts nor leases.
        worker.advance_fence()
        worker.refuses_former_calls = False
    worker.last_seen_end = worker.last_recorded_end = 0
    worker.clock_ms = None
    worker.doubted_s = None
    worker.saw_later_clock = False


def _apply_running(shard, worker, running, is_exclusive, now_s):
    """Update, or adopt, an attempt that an inventory lists as running.

    ``is_exclusive`` tells that no earlier owner can learn of its end.
    """
    attempt = worker.attempts.get(running.task)
    if attempt is None or attempt.number != running.attempt:
        attempt = _adopt_attempt(shard, worker, running, now_s)
        if attempt is None:
            return
    attempt.is_start_in_doubt = False
    if is_exclusive:
        attempt.task.mark_located()
    if attempt.phase in (AttemptPhase.STARTING, AttemptPhase.IN_DOUBT):
        attempt.enter_phase(AttemptPhase.RUNNING, now_s)
    if running.checkpoint:
        attempt.checkpoint = running.checkpoint
    if running.percent > attempt.percent:
        attempt.progressed_at_s = now_s
    attempt.percent = running.percent
    attempt.figure = running.figure
    needs_stop = attempt.phase is AttemptPhase.STOPPING and (
        attempt.stop_sent_s is None or now_s - attempt.stop_sent_s > STOP_RETRY_S
    )
    if needs_stop:
        shard.send_stop(attempt, now_s)


def _adopt_attempt(shard, worker, running, now_s):
    """Adopt the latest attempt of an earlier owner, or mark another as an orphan."""
    task = shard.find_task(running.task)
    is_known = task is not None and not task.done and not task.step.job.state.final
    if not is_known or running.attempt < task.latest_number:
        if shard.loaded and worker.orphans.get(running.task) != running.attempt:
            shard.log.warning(
                "stopping an unknown attempt",
                extra={
                    "task": running.task,
                    "attempt": running.attempt,
                    "worker": worker.worker,
                },
            )
            worker.orphans[running.task] = running.attempt
        return None
    if task.attempt is not None:
        # The earlier owner started this one after the other had ended.
        mark_lost(shard, task.attempt, now_s, "a later attempt runs")
    attempt = Attempt(task, worker, running.attempt, AttemptPhase.RUNNING, now_s)
    task.attempt = attempt
    task.latest_number = running.attempt
    task.next_number = max(task.next_number, running.attempt + 1)
    worker.occupy(attempt)
    shard.mark_running(task.step.job)
    return attempt


def _await_more_ends(shard, worker, absent, now_s):
    """Wait for the ends that an inventory had no room for.

    An attempt that is not listed may have ended, as may one of an earlier owner. If
    the worker is lost before it lists them, they don't count.
    """
    for attempt in absent:
        attempt.progressed_at_s = now_s
    if worker.worker in shard.unconfirmed_workers:
        shard.unconfirmed_workers[worker.worker] = max(
            shard.unconfirmed_workers[worker.worker], worker.lease_expiry_s
        )


def _handle_absence(shard, attempt, sent_s, now_s):
    """Mark an attempt as lost, or stop it again, where an inventory lacks it."""
    if sent_s <= attempt.phase_since_s:
        return
    if attempt.phase is AttemptPhase.STARTING:
        return
    if attempt.stop_answered_s is not None:
        if sent_s > attempt.stop_answered_s:
            mark_lost(shard, attempt, now_s, "not there after its stop")
        return
    is_due = attempt.stop_sent_s is None or now_s - attempt.stop_sent_s > STOP_RETRY_S
    if is_due:
        # A start that is still in flight must not take effect after this inventory.
        shard.send_stop(attempt, now_s)


def _apply_end(shard, worker, end, now_s):
    """Apply an end that an inventory lists for the first time."""
    worker.orphans.pop(end.task, None)
    shard.events[f"ended: {end.end_kind.value}"] += 1
    attempt = worker.attempts.get(end.task)
    if attempt is not None and attempt.number == end.attempt:
        if end.end_kind is EndKind.DONE:
            worker.failed_jobs.clear()
            worker.suspensions = 0
        was_warm = attempt.phase_since_s >= worker.cold_until_s
        if end.end_kind is EndKind.DONE and attempt.has_full_run_time and was_warm:
            step = attempt.task.step
            run_s = now_s - attempt.phase_since_s
            run_s /= measure_slowdown(shard, attempt)
            shard.run_times.observe(step.job.policy.queue, run_s, step.run_times)
        worker.release(attempt)
        attempt.task.attempt = None
    task = shard.find_task(end.task)
    if task is None or task.done:
        return
    job = task.step.job
    shard.dirty[job.job] = job
    job.unrecorded_ends.setdefault((worker.worker, worker.incarnation), end.number)
    if end.end_kind is EndKind.FAILED:
        _count_failure(shard, worker, job, task, end, now_s)
    if task.attempt is not None or end.attempt < task.latest_number:
        return
    task.latest_number = end.attempt
    task.next_number = max(task.next_number, end.attempt + 1)
    if end.checkpoint:
        task.checkpoint = end.checkpoint
    if end.end_kind is EndKind.DONE and not task.step.spec.lasting:
        _mark_done(shard, job, task, now_s)


def _count_failure(shard, worker, job, task, end, now_s):
    """Count a failed attempt once, however often its end is reported."""
    if end.attempt in task.failed:
        return
    task.failed.add(end.attempt)
    task.avoided_worker = worker.worker
    worker.failed_jobs.add(job.job)
    if len(worker.failed_jobs) >= SUSPENSION_JOBS:
        shard.suspend(worker, now_s)
    shard.log.info(
        "attempt failed",
        extra={
            "task": task.name,
            "attempt": end.attempt,
            "worker": worker.worker,
            "failures": len(task.failed),
        },
    )
    exhausted = len(task.failed) >= job.policy.max_attempts
    if exhausted and not task.step.spec.lasting and not job.state.final:
        shard.finish_job(job, JobState.FAILED, now_s)


def _mark_done(shard, job, task, now_s):
    """Mark a task, or its whole gang, as done; complete the job after the last one."""
    members = task.step.tasks if task.step.spec.gang else [task]
    for member in members:
        member.mark_done()
    if task.step.done:
        task.step.done_s = now_s
    if job.is_complete() and not job.state.final:
        shard.finish_job(job, JobState.COMPLETED, now_s)
