"""The choice of a worker for a task."""

from fuchsiascale.jobs._runs import FULL_SPEED_PERCENT

__all__ = ["choose_worker", "fill_rate", "list_servings", "wanted_fillers"]

PLACE_HEADROOM = 1.8
"""Headroom of serving tasks that a new filler has to leave: load rises meanwhile."""
LIGHT_SLOPE = 1.6
"""Slope up to which a filler is taken to be harmless; harmful ones have 4 to 12."""
LEAST_RATE = 0.5
"""Speed under which a filler rather waits for a better worker."""
HARM_COST = 0.5
"""Cost of each unit of headroom that a filler takes, against its speed (0 to 1)."""
NEW_IMAGE_COST = 2.0
"""Cost of a serving image that keeps all fillers off a worker, against that of a
fragment (0 to 1)."""
OTHER_IMAGE_COST = 0.2
"""Cost of a further serving image that keeps no further fillers off."""
UNKNOWN_HARM = 0.5
"""Probability that a pair of images does harm, as long as it is not known."""
REMOTE_COST = 10.0
"""Cost of a rack without the task's data."""
LASTING_USE = 0.5
"""Processor time that lasting tasks use, of what they ask for."""
AVOID_COST = 100.0
"""Cost of the worker on which a task's last attempt failed."""


def choose_worker(shard, task, workers):
    """Return the best worker for a task; None where none should run it now."""
    best, best_cost = None, None
    for worker in workers:
        if not _may_run(task.step, worker):
            continue
        cost = _cost(shard, task, worker)
        if cost is None:
            continue
        if task.avoid == worker.worker:
            cost += AVOID_COST
        if best is None or cost < best_cost:
            best, best_cost = worker, cost
    return best


def _may_run(step, worker):
    """Return whether a worker has room and label for one more task of a step."""
    spec = step.spec
    if not worker.fits(spec):
        return False
    if spec.required_label and spec.required_label not in worker.listed.labels:
        return False
    limit = spec.max_per_worker
    return not limit or step.per_worker.get(worker.worker, 0) < limit


def _cost(shard, task, worker):
    """Return how bad a worker is for a task; None where it must not run there."""
    spec = task.step.spec
    capacity = max(1, worker.listed.capacity.cpu_millis)
    remote = spec.data_rack and spec.data_rack not in worker.listed.labels
    penalty = REMOTE_COST if remote else 0.0
    if spec.fills:
        rate = fill_rate(shard, spec, worker)
        if rate < LEAST_RATE:
            return None
        harm = HARM_COST * predict_loss(shard, spec, worker)
        return penalty + harm - rate
    left = (capacity - worker.cpu_used - spec.need.cpu_millis) / capacity
    if spec.tail_target_ms:
        return penalty + _mixing_cost(shard.harm, spec, worker) + left
    return penalty + left


def _mixing_cost(harm, spec, worker):
    """Return the cost of adding a serving image to those of a worker.

    Images that the same fillers harm belong together: the others do no harm there.
    """
    images = {
        attempt.task.step.spec.image
        for attempt in worker.attempts.values()
        if attempt.task.step.spec.tail_target_ms
    }
    if not images:
        return NEW_IMAGE_COST / 2
    if images == {spec.image}:
        return 0.0
    fillers = harm.filling_images()
    if not fillers:
        return NEW_IMAGE_COST * len(images - {spec.image})
    with_it = _count_barred(harm, images | {spec.image}, fillers)
    barred = (with_it - _count_barred(harm, images, fillers)) / len(fillers)
    return OTHER_IMAGE_COST + NEW_IMAGE_COST * barred


def _count_barred(harm, servings, fillers):
    """Return how many filling images are expected to harm one of the serving ones."""
    barred = 0.0
    for filler in fillers:
        harmless = 1.0
        for serving in servings:
            harmless *= 1.0 - _harm_probability(harm, serving, filler)
        barred += 1.0 - harmless
    return barred


def _harm_probability(harm, serving, filler):
    if not harm.known(serving, filler):
        return UNKNOWN_HARM
    return float(harm.slope(serving, filler) >= LIGHT_SLOPE)


def fill_rate(shard, spec, worker):
    """Return the speed, 0 to 1, that a filler is expected to have on a worker."""
    need = max(1, spec.need.cpu_millis)
    room = min(1.0, max(0.0, _leftover(worker) / need))
    share = need / max(1, worker.listed.capacity.cpu_millis)
    allowed = 1.0
    fillers = wanted_fillers(worker)
    for image, job in list_servings(worker):
        slope = shard.harm.slope(image, spec.image)
        if slope < LIGHT_SLOPE:
            continue
        spare = shard.harm.headroom(job) - PLACE_HEADROOM
        spare = max(0.0, spare - shard.harm.loss(image, fillers))
        allowed = min(allowed, spare / (slope * share))
    return room * allowed


def predict_loss(shard, spec, worker):
    """Return the most headroom that a filler at full speed would take from a task."""
    share = spec.need.cpu_millis / max(1, worker.listed.capacity.cpu_millis)
    slopes = [shard.harm.slope(image, spec.image) for image, _ in list_servings(worker)]
    return share * max(slopes, default=0.0)


def list_servings(worker):
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


def wanted_fillers(worker):
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
