"""One round of placement and pacing over a shard."""

from fuchsiascale.jobs._runs import FULL_SPEED_PERCENT, AttemptPhase

__all__ = ["objective_s", "observe_tails", "plan_round"]

PLACE_HEADROOM = 1.4
"""Headroom of serving tasks that a new filler has to leave: load rises meanwhile."""
PACE_HEADROOM = 1.3
"""Headroom of serving tasks that running fillers are slowed down to leave."""
LIGHT_SLOPE = 1.6
"""Slope up to which a filler is taken to be harmless; harmful ones have 4 to 12."""
LEAST_RATE = 0.25
"""Speed under which a filler rather waits for a better worker."""
NEW_IMAGE_COST = 2.0
"""Cost of a further serving image on a worker, against that of a fragment (0 to 1)."""
REMOTE_COST = 10.0
"""Cost of a rack without the task's data."""
PACE_PERIOD_S = 0.25
"""Period in which speeds are set anew."""
PACE_GRAIN = 10
"""Speeds are multiples of this percentage, so that few orders are sent."""
LOOK_PERIOD_S = 0.4
"""Least time between two figures of a worker that are learnt from."""
MOVE_PERIOD_S = 0.2
"""Period in which fillers that hardly progress are looked for."""
MOVES_A_ROUND = 4
"""Fillers moved at once: each changes what is best for the next."""
MOVE_AFTER_S = 0.6
"""Time on a worker before a filler is moved away."""
STUCK_PERCENT = 20
"""Speed up to which a filler is worth moving."""
BETTER_RATE = 0.8
"""Speed that another worker has to offer."""
NEARLY_DONE_PERCENT = 80
"""Progress from which a filler that checkpoints stays where it is."""
BARELY_BEGUN_PERCENT = 20
"""Progress up to which one that doesn't checkpoint may start anew."""
OVER_STOP_S = 2.2
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
    _move_fillers(shard, workers, now_s)
    covered = shard.covered()
    full = set()
    for job in _order_jobs(shard, now_s):
        if job.inherited and not covered:
            continue
        for step in job.ready_steps():
            _place_step(shard, step, workers, full, now_s)


def _order_jobs(shard, now_s):
    jobs = [job for job in shard.jobs.values() if not job.state.final]
    return sorted(jobs, key=lambda job: _rank_job(job, now_s, shard.run_times))


def _rank_job(job, now_s, run_times):
    """Return the place of a job in the order in which tasks are started.

    Within a priority, jobs that can still meet their objective go first, the one
    with the least slack before the others, then those that would only be late.
    """
    if job.lasting:
        return (0, 0, 0, job.accepted_s)
    due_s = objective_s(job, run_times)
    age_s = now_s - job.accepted_s
    left_s = _chain_s(job, run_times, left=True)
    slack_s = due_s - age_s - left_s
    if slack_s >= 0:
        return (0, job.policy.priority, 0, slack_s)
    worthless = age_s + left_s > LATE_FACTOR * due_s
    return (int(worthless), job.policy.priority, 1, left_s)


def objective_s(job, run_times):
    """Return the time in which a job should end, by the run times expected."""
    return job.policy.stretch * _chain_s(job, run_times) + job.policy.target_ms / 1000


def _chain_s(job, run_times, left=False):
    """Return the longest chain of run times of a job, or what is left of it."""
    runs = next(iter(job.occurrences.values()), None)
    ends = []
    for number, step in enumerate(job.spec.steps):
        run_s = run_times.expect(job.policy.queue, step.estimate_ms / 1000)
        if left and runs is not None and runs[number].done:
            run_s = 0.0
        before = max((ends[each] for each in step.after), default=0.0)
        ends.append(before + run_s)
    return max(ends)


def _place_step(shard, step, workers, full, now_s):
    """Start the waiting tasks of a step; ``full`` holds what found no room before."""
    waiting = [task for task in step.tasks if task.waiting]
    spec = step.spec
    kind = (spec.need, spec.fills, spec.image, spec.required_label)
    if not waiting or kind in full:
        return
    started = 0
    for task in waiting:
        worker = _choose_worker(shard, task, workers)
        if worker is None:
            if not spec.max_per_worker:
                full.add(kind)
            break
        shard.start_task(task, worker, now_s)
        started += 1
    if started:
        shard.log.info(
            "tasks started",
            extra={
                "job": step.job.job,
                "step": f"{step.occurrence}.{step.number}",
                "started": started,
                "of": len(waiting),
            },
        )


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
    """Return how bad a worker is for a task; None where it must not run there."""
    spec = task.step.spec
    capacity = max(1, worker.listed.capacity.cpu_millis)
    remote = spec.data_rack and spec.data_rack not in worker.listed.labels
    penalty = REMOTE_COST if remote else 0.0
    if spec.fills:
        rate = _fill_rate(shard, spec, worker)
        return None if rate < LEAST_RATE else penalty - rate
    left = (capacity - worker.cpu_used - spec.need.cpu_millis) / capacity
    if spec.tail_target_ms:
        return penalty + _mixing_cost(spec, worker) + left
    return penalty + left


def _mixing_cost(spec, worker):
    """Return the cost of adding a serving image to those of a worker.

    Few serving images a worker leave more fillers that harm none of them.
    """
    images = {
        attempt.task.step.spec.image
        for attempt in worker.attempts.values()
        if attempt.task.step.spec.tail_target_ms
    }
    if not images:
        return NEW_IMAGE_COST / 2
    return (
        0.0 if images == {spec.image} else NEW_IMAGE_COST * len(images - {spec.image})
    )


def _fill_rate(shard, spec, worker):
    """Return the speed, 0 to 1, that a filler is expected to have on a worker."""
    need = max(1, spec.need.cpu_millis)
    room = min(1.0, max(0.0, _leftover(worker) / need))
    share = need / max(1, worker.listed.capacity.cpu_millis)
    allowed = 1.0
    fillers = _wanted_fillers(worker)
    for image, job in _servings(worker):
        slope = shard.harm.slope(image, spec.image)
        if slope < LIGHT_SLOPE:
            continue
        spare = shard.harm.headroom(job) - PLACE_HEADROOM
        spare = max(0.0, spare - shard.harm.loss(image, fillers))
        allowed = min(allowed, spare / (slope * share))
    return room * allowed


def _servings(worker):
    """Return image and job of the serving tasks of a worker, each once."""
    return {
        (attempt.task.step.spec.image, attempt.task.step.job.job)
        for attempt in worker.attempts.values()
        if attempt.task.step.spec.tail_target_ms
    }


def _leftover(worker):
    """Return the processor time that is expected to be free for fillers."""
    used = 0
    for attempt in worker.attempts.values():
        spec = attempt.task.step.spec
        share = LASTING_USE if spec.lasting else 1.0
        used += spec.need.cpu_millis * share
    return worker.listed.capacity.cpu_millis - used


def _wanted_fillers(worker):
    """Return image and share of each filler, as its speed is set."""
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


def observe_tails(shard, worker, now_s):
    """Learn from the figures of an inventory just taken in."""
    if now_s < worker.next_look_s:
        return
    worker.next_look_s = now_s + LOOK_PERIOD_S
    capacity = max(1, worker.listed.capacity.cpu_millis)
    fillers = [
        (attempt.task.step.spec.image, attempt.figure / capacity)
        for attempt in worker.attempts.values()
        if attempt.task.step.spec.fills and attempt.figure
    ]
    for attempt in worker.attempts.values():
        spec = attempt.task.step.spec
        at_work = attempt.percent == FULL_SPEED_PERCENT and attempt.figure
        if not spec.tail_target_ms or not at_work:
            continue
        headroom = spec.tail_target_ms / attempt.figure
        job = attempt.task.step.job.job
        shard.harm.note(job, headroom, now_s)
        if fillers:
            lost = shard.harm.headroom(job) - headroom
            shard.harm.learn(spec.image, lost, fillers)


def _pace_worker(shard, worker, now_s):
    """Set the speed of the fillers of a worker by the harm that is predicted."""
    fillers = [
        attempt
        for attempt in worker.attempts.values()
        if attempt.task.step.spec.fills and attempt.phase is AttemptPhase.RUNNING
    ]
    if not fillers or now_s < worker.next_pace_s:
        return
    worker.next_pace_s = now_s + PACE_PERIOD_S
    _note_over(worker, now_s)
    over_s = now_s - worker.over_since_s if worker.over_since_s is not None else 0.0
    paces = _choose_paces(shard, worker, fillers)
    if over_s > OVER_STOP_S:
        paces = dict.fromkeys(fillers, 0.0)
    for attempt, pace in paces.items():
        percent = int(pace * FULL_SPEED_PERCENT / PACE_GRAIN) * PACE_GRAIN
        shard.set_pace(attempt, percent)


def _note_over(worker, now_s):
    """Keep since when a serving task of a worker misses its target."""
    over = any(
        attempt.figure > attempt.task.step.spec.tail_target_ms
        for attempt in worker.attempts.values()
        if attempt.task.step.spec.tail_target_ms
    )
    if not over:
        worker.over_since_s = None
    elif worker.over_since_s is None:
        worker.over_since_s = now_s


def _choose_paces(shard, worker, fillers):
    capacity = max(1, worker.listed.capacity.cpu_millis)
    paces = dict.fromkeys(fillers, 1.0)
    shares = {
        attempt: attempt.task.step.spec.need.cpu_millis / capacity
        for attempt in fillers
    }
    for image, job in _servings(worker):
        slopes = {
            attempt: shard.harm.slope(image, attempt.task.step.spec.image)
            for attempt in fillers
        }
        spare = max(0.0, shard.harm.headroom(job) - PACE_HEADROOM)
        excess = -spare + sum(
            slopes[each] * shares[each] * paces[each] for each in fillers
        )
        for attempt in sorted(fillers, key=lambda each: -slopes[each]):
            if excess <= 0:
                break
            if slopes[attempt] < LIGHT_SLOPE:
                break
            cost = slopes[attempt] * shares[attempt]
            cut = min(paces[attempt], excess / cost)
            paces[attempt] -= cut
            excess -= cut * cost
    return paces


def _move_fillers(shard, workers, now_s):
    """Move fillers that hardly progress to workers where they would."""
    if now_s < shard.next_move_s:
        return
    shard.next_move_s = now_s + MOVE_PERIOD_S
    moved = 0
    for worker in shard.workers.values():
        for attempt in list(worker.attempts.values()):
            if moved >= MOVES_A_ROUND:
                return
            if _is_stuck(attempt, now_s) and _find_better(shard, attempt, workers):
                shard.log.info(
                    "moving a slowed task",
                    extra={
                        "task": attempt.task.name,
                        "worker": worker.worker,
                        "pace": attempt.pace,
                        "percent": attempt.percent,
                    },
                )
                shard.stop_attempt(attempt, now_s)
                moved += 1


def _is_stuck(attempt, now_s):
    spec = attempt.task.step.spec
    if not spec.fills or attempt.phase is not AttemptPhase.RUNNING:
        return False
    if attempt.pace_wanted > STUCK_PERCENT or now_s - attempt.since_s < MOVE_AFTER_S:
        return False
    latest = NEARLY_DONE_PERCENT if spec.checkpoints else BARELY_BEGUN_PERCENT
    return attempt.percent < latest


def _find_better(shard, attempt, workers):
    spec = attempt.task.step.spec
    return any(
        worker is not attempt.worker
        and worker.fits(spec)
        and _fill_rate(shard, spec, worker) >= BETTER_RATE
        for worker in workers
    )


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
