"""The choice of a worker for a task."""

import heapq

import msgspec

from fuchsiascale.jobs._run_state import FULL_SPEED_PERCENT

__all__ = [
    "HARMLESS_SLOPE",
    "Candidates",
    "LeftoverCapacity",
    "LeftoverCapacities",
    "estimate_leftover_millis",
    "find_most_leftover",
    "list_serving_tasks",
    "compute_leftover",
    "is_suitable",
    "list_filler_shares",
]

PLACEMENT_HEADROOM = 1.8
"""Headroom of serving tasks that a new filler has to leave: load rises meanwhile."""
HARMLESS_SLOPE = 1.6
"""Slope up to which a filler is taken to be harmless; harmful ones have 4 to 12."""
MIN_RATE = 0.5
"""Speed under which a filler rather waits for a better worker."""
INTERFERENCE_COST = 0.5
"""Cost of each unit of headroom that a filler takes, against its speed (0 to 1)."""
NEW_IMAGE_COST = 2.0
"""Cost of a serving image that keeps all fillers off a worker, against that of a
fragment (0 to 1)."""
OTHER_IMAGE_COST = 0.2
"""Cost of a further serving image that keeps no further fillers off."""
UNKNOWN_INTERFERENCE = 0.5
"""Probability that a pair of images does harm, as long as it is not known."""
REMOTE_COST = 10.0
"""Cost of a rack without the task's data."""
LONG_RUNNING_USE = 0.5
"""Processor time that lasting tasks use, of what they ask for."""
AVOIDED_WORKER_COST = 100.0
"""Cost of the worker on which a task's last attempt failed."""


class LeftoverCapacity(msgspec.Struct, frozen=True):
    """What a filler would find at a worker.

    ``millis`` is the processor time, in thousandths of a core, that is left and harms
    no serving task; ``slope`` the steepest of its pairs with the serving images.
    """

    millis: float
    slope: float

    def rate(self, spec):
        """Return the speed, 0 to 1, that a task would have."""
        return min(1.0, self.millis / max(1, spec.need.cpu_millis))


class LeftoverCapacities:
    """What fillers of each image would find at each worker, kept for one round.

    Parameters
    ----------
    shard : Shard
        Workers and what is known of the harm that images do.
    workers : iterable of WorkerRun
        Workers that take new attempts.
    """

    def __init__(self, shard, workers):
        self._shard = shard
        self._workers = workers
        self._leftovers = {}
        self._max_millis = {}

    def find(self, image, worker):
        """Return the `LeftoverCapacity` of a worker."""
        leftovers = self._leftovers.setdefault(worker.worker, {})
        if image not in leftovers:
            leftovers[image] = compute_leftover(self._shard, image, worker)
        return leftovers[image]

    def max_millis(self, image):
        """Return the most that any worker offered when it was last asked."""
        if image not in self._max_millis:
            self._max_millis[image] = max(
                (self.find(image, worker).millis for worker in self._workers),
                default=0.0,
            )
        return self._max_millis[image]

    def forget(self, worker):
        """Drop the offers of a worker that has been given an attempt."""
        self._leftovers.pop(worker.worker, None)


class Candidates:
    """The workers that may run tasks of a step, the best first.

    Parameters
    ----------
    shard : Shard
        Workers and what is known of the harm that images do.
    step : StepRun
        The step.
    workers : iterable of WorkerRun
        Workers that take new attempts.
    offers : FillOffers
        What fillers would find there.
    """

    def __init__(self, shard, step, workers, leftovers):
        self._shard = shard
        self._step = step
        self._leftovers = leftovers
        self._heap = []
        need_millis = max(1, step.spec.need.cpu_millis)
        if step.spec.fills:
            max_millis = leftovers.max_millis(step.spec.image)
            if max_millis < MIN_RATE * need_millis:
                return
        for number, worker in enumerate(workers):
            cost = self._find_cost(worker)
            if cost is not None:
                self._heap.append((cost, number, worker))
        heapq.heapify(self._heap)

    def _find_cost(self, worker):
        if not _can_run(self._step, worker):
            return None
        return _placement_cost(self._shard, self._step.spec, worker, self._leftovers)

    def _pop_preferred(self, task):
        """Remove and return the entry of the worker that a task was moved to."""
        preferred_worker, task.preferred_worker = task.preferred_worker, None
        for entry in self._heap if preferred_worker else ():
            if entry[2].worker == preferred_worker:
                self._heap.remove(entry)
                heapq.heapify(self._heap)
                return entry
        return None

    def start(self, task, now_s):
        """Start a task on the best worker; returns the attempt, or None."""
        heap = self._heap
        if not heap:
            return None
        entry = self._pop_preferred(task)
        if entry is None:
            entry = heapq.heappop(heap)
            if heap and entry[2].worker == task.avoided_worker:
                entry = heapq.heapreplace(heap, entry)
        _, number, worker = entry
        attempt = self._shard.start_task(task, worker, now_s)
        self._leftovers.forget(worker)
        cost = self._find_cost(worker)
        if cost is not None:
            heapq.heappush(heap, (cost, number, worker))
        return attempt


def find_most_leftover(step, workers, leftovers):
    """Return the worker that offers a filler most; None where none has room.

    Where none offers anything, fillers are spread, so that each can work a little.
    """
    image = step.spec.image

    def rank(worker):
        leftover = leftovers.find(image, worker)
        return -leftover.millis, len(list_filler_shares(worker)), leftover.slope

    fitting = [worker for worker in workers if _can_run(step, worker)]
    return min(fitting, key=rank, default=None)


def _can_run(step, worker):
    """Return whether a worker has room and label for one more task of a step."""
    return worker.fits(step.spec) and is_suitable(step, worker)


def is_suitable(step, worker):
    """Return whether a worker may run one more task of a step, if it had room."""
    spec = step.spec
    if spec.required_label and spec.required_label not in worker.listed.labels:
        return False
    limit = spec.max_per_worker
    return not limit or step.attempts_per_worker.get(worker.worker, 0) < limit


def _placement_cost(shard, spec, worker, leftovers):
    """Return how bad a worker is for a task; None where it must not run there."""
    capacity = max(1, worker.listed.capacity.cpu_millis)
    remote = spec.data_rack and spec.data_rack not in worker.listed.labels
    penalty = REMOTE_COST if remote else 0.0
    if spec.fills:
        leftover = leftovers.find(spec.image, worker)
        rate = leftover.rate(spec)
        if rate < MIN_RATE:
            return None
        lost = leftover.slope * spec.need.cpu_millis / capacity
        return penalty + INTERFERENCE_COST * lost - rate
    left = (capacity - worker.cpu_used - spec.need.cpu_millis) / capacity
    if spec.tail_target_ms:
        return penalty + _mixing_cost(shard.harm, spec, worker) + left
    return penalty + left


def _mixing_cost(interference, spec, worker):
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
    fillers = interference.filling_images()
    if not fillers:
        return NEW_IMAGE_COST * len(images - {spec.image})
    with_it = _expect_excluded(interference, images | {spec.image}, fillers)
    excluded = (with_it - _expect_excluded(interference, images, fillers)) / len(
        fillers
    )
    return OTHER_IMAGE_COST + NEW_IMAGE_COST * excluded


def _expect_excluded(interference, servings, fillers):
    """Return how many filling images are expected to harm one of the serving ones."""
    excluded = 0.0
    for filler in fillers:
        harmless = 1.0
        for serving in servings:
            harmless *= 1.0 - _interference_probability(interference, serving, filler)
        excluded += 1.0 - harmless
    return excluded


def _interference_probability(interference, serving, filler):
    if not interference.known(serving, filler):
        return UNKNOWN_INTERFERENCE
    return float(interference.slope(serving, filler) >= HARMLESS_SLOPE)


def compute_leftover(shard, image, worker):
    """Return what a further filler of an image would find at a worker."""
    capacity = worker.listed.capacity.cpu_millis
    millis = max(0.0, estimate_leftover_millis(worker))
    steepest = 0.0
    fillers = list_filler_shares(worker)
    for serving, job in list_serving_tasks(worker):
        slope = shard.harm.slope(serving, image)
        steepest = max(steepest, slope)
        if slope < HARMLESS_SLOPE:
            continue
        spare = shard.harm.headroom(job) - PLACEMENT_HEADROOM
        spare = max(0.0, spare - shard.harm.loss(serving, fillers))
        millis = min(millis, spare / slope * capacity)
    return LeftoverCapacity(millis, steepest)


def list_serving_tasks(worker):
    """Return image and job of the serving tasks of a worker, each once."""
    return {
        (attempt.task.step.spec.image, attempt.task.step.job.job)
        for attempt in worker.attempts.values()
        if attempt.task.step.spec.tail_target_ms
    }


def estimate_leftover_millis(worker):
    """Return the processor time that is expected to be free for fillers."""
    used = 0
    for attempt in worker.attempts.values():
        spec = attempt.task.step.spec
        share = LONG_RUNNING_USE if spec.lasting else 1.0
        used += spec.need.cpu_millis * share
    return worker.listed.capacity.cpu_millis - used


def list_filler_shares(worker):
    """Return image and share of each filler, as its speed is set."""
    capacity = max(1, worker.listed.capacity.cpu_millis)
    return [
        (
            attempt.task.step.spec.image,
            attempt.task.step.spec.need.cpu_millis
            / capacity
            * attempt.target_pace
            / FULL_SPEED_PERCENT,
        )
        for attempt in worker.attempts.values()
        if attempt.task.step.spec.fills
    ]
