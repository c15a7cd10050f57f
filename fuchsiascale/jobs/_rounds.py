"""One round of placement and pacing over a shard."""

from fuchsiascale.jobs._runs import FULL_SPEED_PERCENT, AttemptPhase

__all__ = ["plan_round"]

TAIL_LIMIT = 0.85
"""Predicted tail, as a share of the target, up to which fillers are placed."""
TAIL_RELEASE = 0.75
"""Predicted tail up to which paced fillers are sped up."""
TAIL_PACE = 0.95
"""Measured or predicted tail from which fillers are slowed down."""
OVER_STOP_S = 1.5
"""Time over the target after which all fillers of a worker are halted."""
LASTING_USE = 0.5
"""Processor time that lasting tasks use, of what they ask for."""
LATE_FACTOR = 3.0
"""Multiple of its objective after which a finished job earns nothing."""


def plan_round(shard, now_s):
    """Start what may run and set the speed of what disturbs.

    Parameters
    ----------
    shard : Shard
        Workers and jobs; orders are added to it.
    now_s : float
        Monotonic time in seconds.
    """
    workers = [worker for worker in shard.workers.values() if worker.usable(now_s)]
    for worker in shard.workers.values():
        _pace_worker(shard, worker, now_s)
    _drain_workers(shard, now_s)
    workers = [worker for worker in workers if not worker.strays]
    covered = shard.covered()
    for job in _order_jobs(shard, now_s):
        if job.inherited and not covered:
            continue
        for step in job.ready_steps():
            _place_step(shard, step, workers, now_s)


def _order_jobs(shard, now_s):
    jobs = [job for job in shard.jobs.values() if not job.state.final]
    return sorted(jobs, key=lambda job: _rank_job(job, now_s))


def _rank_job(job, now_s):
    if job.lasting:
        return (0, 0, job.accepted_s)
    chain_s = _chain_s(job)
    objective_s = job.policy.stretch * chain_s + job.policy.target_ms / 1000
    age_s = now_s - job.accepted_s
    late = 0 if age_s < objective_s else 1 if age_s < LATE_FACTOR * objective_s else 2
    return (late == 2, job.policy.priority, late, job.accepted_s + objective_s)


def _chain_s(job):
    ends = []
    for step in job.spec.steps:
        before = max((ends[number] for number in step.after), default=0.0)
        ends.append(before + step.estimate_ms / 1000)
    return max(ends)


def _place_step(shard, step, workers, now_s):
    waiting = [task for task in step.tasks if task.waiting]
    if not waiting:
        return
    for task in waiting:
        worker = _choose_worker(shard, task, workers)
        if worker is None:
            return
        shard.start_task(task, worker, now_s)


def _choose_worker(shard, task, workers):
    spec = task.step.spec
    best, best_cost = None, None
    for worker in workers:
        if not worker.fits(spec):
            continue
        if spec.required_label and spec.required_label not in worker.listed.labels:
            continue
        limit = spec.max_per_worker
        if limit and task.step.per_worker.get(worker.worker, 0) >= limit:
            continue
        cost = _cost(shard, task, worker)
        if cost is None:
            continue
        if task.avoid == worker.worker:
            cost += 100.0
        if best is None or cost < best_cost:
            best, best_cost = worker, cost
    return best


def _cost(shard, task, worker):
    spec = task.step.spec
    capacity = max(1, worker.listed.capacity.cpu_millis)
    if spec.data_rack and spec.data_rack not in worker.listed.labels:
        penalty = 10.0
    else:
        penalty = 0.0
    if not spec.fills:
        left = capacity - worker.cpu_used - spec.need.cpu_millis
        return penalty + left / capacity
    left = _leftover(worker) - spec.need.cpu_millis
    if left < -0.3 * spec.need.cpu_millis:
        return None
    share = spec.need.cpu_millis / capacity
    worst = 0.0
    for serving, fillers in _servings(worker):
        tail = shard.harm.predict(
            serving.task.step.spec.image, [*fillers, (spec.image, share)]
        )
        worst = max(worst, tail)
    if worst > TAIL_LIMIT:
        return None
    return penalty + worst - left / capacity


def _leftover(worker):
    """Return the processor time that is expected to be free for fillers."""
    used = 0
    for attempt in worker.attempts.values():
        spec = attempt.task.step.spec
        share = LASTING_USE if spec.lasting else 1.0
        used += spec.need.cpu_millis * share
    return worker.listed.capacity.cpu_millis - used


def _servings(worker):
    """Yield each serving attempt with the fillers beside it as asked for."""
    fillers = _wanted_fillers(worker)
    for attempt in worker.attempts.values():
        if attempt.task.step.spec.tail_target_ms:
            yield attempt, fillers


def _wanted_fillers(worker):
    capacity = max(1, worker.listed.capacity.cpu_millis)
    return [
        (
            attempt.task.step.spec.image,
            attempt.task.step.spec.need.cpu_millis
            / capacity
            * attempt.pace_wanted
            / FULL_SPEED_PERCENT,
        )
        for attempt in worker.attempts.values()
        if attempt.task.step.spec.fills
    ]


def observe_tails(shard, worker):
    """Learn from the figures of an inventory just taken in."""
    capacity = max(1, worker.listed.capacity.cpu_millis)
    fillers = [
        (attempt.task.step.spec.image, attempt.figure / capacity)
        for attempt in worker.attempts.values()
        if attempt.task.step.spec.fills
    ]
    for attempt in worker.attempts.values():
        spec = attempt.task.step.spec
        if spec.tail_target_ms and attempt.figure:
            tail = attempt.figure / spec.tail_target_ms
            shard.harm.observe(spec.image, fillers, tail)


def _pace_worker(shard, worker, now_s):
    fillers = [
        attempt
        for attempt in worker.attempts.values()
        if attempt.task.step.spec.fills and attempt.phase is AttemptPhase.RUNNING
    ]
    if not fillers or now_s < worker.next_pace_s:
        return
    worker.next_pace_s = now_s + 0.5
    measured = predicted = 0.0
    worst = None
    for serving, shares in _servings(worker):
        spec = serving.task.step.spec
        tail = serving.figure / spec.tail_target_ms
        expected = shard.harm.predict(spec.image, shares)
        if max(tail, expected) > max(measured, predicted):
            worst = spec.image
        measured, predicted = max(measured, tail), max(predicted, expected)
    if worst is None:
        for attempt in fillers:
            shard.set_pace(attempt, FULL_SPEED_PERCENT)
        return
    if measured < 1.0:
        worker.over_since_s = None
    elif worker.over_since_s is None:
        worker.over_since_s = now_s
    if worker.over_since_s is not None and now_s - worker.over_since_s > OVER_STOP_S:
        for attempt in fillers:
            shard.set_pace(attempt, 0)
        return
    if max(measured, predicted) > TAIL_PACE:
        _slow_down(shard, worst, worker, fillers)
    elif max(measured, predicted) < TAIL_RELEASE:
        _speed_up(shard, worst, fillers)


def _slow_down(shard, serving, worker, fillers):
    """Cut the filler that adds most to the tail."""
    capacity = max(1, worker.listed.capacity.cpu_millis)

    def harm(attempt):
        spec = attempt.task.step.spec
        weight = shard.harm.weight(serving, spec.image)
        return weight * spec.need.cpu_millis / capacity * attempt.pace_wanted

    most = max(fillers, key=harm)
    shard.set_pace(most, int(most.pace_wanted * 0.4) if most.pace_wanted > 8 else 0)


def _speed_up(shard, serving, fillers):
    slowed = [each for each in fillers if each.pace_wanted < FULL_SPEED_PERCENT]
    if not slowed:
        return
    least = min(
        slowed,
        key=lambda each: shard.harm.weight(serving, each.task.step.spec.image),
    )
    shard.set_pace(least, min(FULL_SPEED_PERCENT, least.pace_wanted + 25))


def _drain_workers(shard, now_s):
    """Move what checkpoints or lasts away from workers that leave."""
    for worker in shard.workers.values():
        if not worker.draining:
            continue
        for attempt in list(worker.attempts.values()):
            spec = attempt.task.step.spec
            movable = spec.lasting or spec.checkpoints
            if movable and attempt.phase is AttemptPhase.RUNNING:
                shard.stop_attempt(attempt, now_s)
