"""What an owner concludes from the inventory of a worker.

Functions change the shard and its workers, and do no I/O. The rules that keep a task
from running twice are in docs/design/platform.md.
"""

from fuchsiascale.jobs._model import JobState, split_task
from fuchsiascale.jobs._ports import EndKind
from fuchsiascale.jobs._runs import Attempt, AttemptPhase
from fuchsiascale.jobs._workerclocks import read_clock

__all__ = ["take_inventory"]

STOP_RETRY_S = 0.6
"""Time after which an unanswered stop is sent again."""
HOLD_JOBS = 2
"""Jobs whose tasks fail on a worker, with no success between, before it is held back.
One job may be at fault itself."""


def take_inventory(shard, worker, inventory, sent_s, now_s):
    """Take in an inventory of a worker.

    Parameters
    ----------
    shard : Shard
        Changed by what the inventory shows.
    worker : WorkerRun
        The worker.
    inventory : Inventory
        What it says of itself.
    sent_s, now_s : float
        Monotonic times of the question and of the answer, in seconds.
    """
    if inventory.incarnation != worker.incarnation:
        _note_restart(shard, worker, inventory, now_s)
    if not worker.claimed:
        # The owner before may have granted its lease just now.
        worker.granted_ms = inventory.clock_ms + shard.lease_ms
    read_clock(worker, inventory.clock_ms, now_s)
    worker.claimed = True
    worker.silent = False
    shard.uncovered.pop(worker.worker, None)
    for end in inventory.ended:
        if end.number > worker.seen:
            worker.seen = end.number
            _take_end(shard, worker, end, now_s)
    shown = {}
    for running in inventory.running:
        shown[running.task] = running.attempt
        _take_running(shard, worker, running, now_s)
    for attempt in list(worker.attempts.values()):
        if shown.get(attempt.task.name) != attempt.number:
            _take_absence(shard, attempt, sent_s, now_s)
    for name, number in list(worker.strays.items()):
        if shown.get(name) == number:
            shard.stop_stray(worker, name, number)
        else:
            del worker.strays[name]


def _note_restart(shard, worker, inventory, now_s):
    if worker.incarnation:
        shard.log.warning(
            "worker restarted",
            extra={"worker": worker.worker, "lost": len(worker.attempts)},
        )
    worker.incarnation = inventory.incarnation
    shard.lose_all(worker, now_s, "worker restarted")
    worker.strays.clear()
    worker.seen = worker.recorded = 0
    worker.claimed = False
    worker.clock_ms = None


def _take_running(shard, worker, running, now_s):
    attempt = worker.attempts.get(running.task)
    if attempt is None or attempt.number != running.attempt:
        attempt = _adopt(shard, worker, running, now_s)
        if attempt is None:
            return
    if attempt.phase in (AttemptPhase.STARTING, AttemptPhase.IN_DOUBT):
        attempt.enter(AttemptPhase.RUNNING, now_s)
    if running.checkpoint:
        attempt.checkpoint = running.checkpoint
    if running.percent > attempt.percent:
        attempt.progress_s = now_s
    attempt.percent = running.percent
    attempt.figure = running.figure
    stuck = attempt.phase is AttemptPhase.STOPPING and (
        attempt.stop_sent_s is None or now_s - attempt.stop_sent_s > STOP_RETRY_S
    )
    if stuck:
        shard.order_stop(attempt, now_s)


def _adopt(shard, worker, running, now_s):
    """Take over an attempt that an earlier owner has started, or stop it."""
    place = split_task(running.task)
    job = shard.jobs.get(place[0]) if place else None
    task = job.find_task(*place[1:]) if job else None
    fits = task is not None and task.waiting and not job.state.final
    if not fits or running.attempt < task.latest:
        if shard.loaded and worker.strays.get(running.task) != running.attempt:
            shard.log.warning(
                "stopping an unknown attempt",
                extra={
                    "task": running.task,
                    "attempt": running.attempt,
                    "worker": worker.worker,
                },
            )
            worker.strays[running.task] = running.attempt
        return None
    attempt = Attempt(task, worker, running.attempt, AttemptPhase.RUNNING, now_s)
    task.attempt = attempt
    task.latest = running.attempt
    task.next_number = max(task.next_number, running.attempt + 1)
    worker.occupy(attempt)
    shard.mark_running(job)
    return attempt


def _take_absence(shard, attempt, sent_s, now_s):
    """Decide on an attempt that an inventory does not show."""
    if sent_s <= attempt.since_s:
        return
    if attempt.phase is AttemptPhase.STARTING:
        return
    if attempt.stop_answered_s is not None:
        if sent_s > attempt.stop_answered_s:
            shard.lose_attempt(attempt, now_s, "not there after its stop")
        return
    retry = attempt.stop_sent_s is None or now_s - attempt.stop_sent_s > STOP_RETRY_S
    if retry:
        # A start that is still under way must not come true after this look.
        shard.order_stop(attempt, now_s)


def _take_end(shard, worker, end, now_s):
    place = split_task(end.task)
    job = shard.jobs.get(place[0]) if place else None
    worker.strays.pop(end.task, None)
    shard.events[f"ended: {end.end_kind.value}"] += 1
    attempt = worker.attempts.get(end.task)
    if attempt is not None and attempt.number == end.attempt:
        if end.end_kind is EndKind.DONE:
            worker.failed_jobs.clear()
            worker.holds = 0
        if end.end_kind is EndKind.DONE and attempt.whole:
            queue = attempt.task.step.job.policy.queue
            shard.run_times.observe(queue, now_s - attempt.since_s)
        worker.release(attempt)
        attempt.task.attempt = None
    task = job.find_task(*place[1:]) if job else None
    if task is None or task.done:
        return
    shard.dirty[job.job] = job
    if end.end_kind is EndKind.FAILED:
        _count_failure(shard, worker, job, task, end, now_s)
    if task.attempt is not None or end.attempt < task.latest:
        return
    task.latest = end.attempt
    task.next_number = max(task.next_number, end.attempt + 1)
    if end.checkpoint:
        task.checkpoint = end.checkpoint
    if end.end_kind is EndKind.DONE and not task.step.spec.lasting:
        _note_done(shard, job, task, now_s)


def _count_failure(shard, worker, job, task, end, now_s):
    """Count a failed attempt, once however often its end is seen."""
    if end.attempt in task.failed:
        return
    task.failed.add(end.attempt)
    task.avoid = worker.worker
    worker.failed_jobs.add(job.job)
    if len(worker.failed_jobs) >= HOLD_JOBS:
        shard.hold_back(worker, now_s)
    shard.log.info(
        "attempt failed",
        extra={
            "task": task.name,
            "attempt": end.attempt,
            "worker": worker.worker,
            "failures": len(task.failed),
        },
    )
    spent = len(task.failed) >= job.policy.max_attempts
    if spent and not task.step.spec.lasting and not job.state.final:
        shard.finish_job(job, JobState.FAILED, now_s)


def _note_done(shard, job, task, now_s):
    members = task.step.tasks if task.step.spec.gang else [task]
    for member in members:
        member.done = True
    if job.complete() and not job.state.final:
        shard.finish_job(job, JobState.COMPLETED, now_s)
