"""Selects a worker for a task.

A filler is a task that uses only processor time that other tasks leave over. Its
interference with a serving task is a slope: the headroom (target over tail latency)
that the serving task loses to a worker full of fillers of one image.
"""

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
"""Headroom that a new filler has to leave to serving tasks, as their load may rise."""
HARMLESS_SLOPE = 1.6
"""Slope below which interference is neglected; harmful fillers have 4 to 12."""
MIN_RATE = 0.5
"""Least speed, 0 to 1, at which a filler is started instead of left waiting."""
INTERFERENCE_COST = 0.5
"""Cost per unit of headroom that a filler takes, relative to its speed (0 to 1)."""
NEW_IMAGE_COST = 2.0
"""Cost of a serving image that excludes all fillers from a worker, relative to the
share of the worker that stays unused (0 to 1)."""
OTHER_IMAGE_COST = 0.2
"""Cost of another serving image that excludes no more fillers from the worker."""
UNKNOWN_INTERFERENCE = 0.5
"""Assumed probability that a pair of images with an unknown slope interferes."""
REMOTE_COST = 10.0
"""Cost of a worker outside the rack of the task's data. It exceeds the other costs, so
that workers near the data come first; whether a task waits for one is decided by
`_placement_wait`."""
COLD_COST = 5.0
"""Cost of a worker that is slow after its start. It comes after warm ones that are as
suitable, but before one outside of the rack of the task's data."""
LONG_RUNNING_USE = 0.5
"""Share of the requested processor time that long-running tasks are expected to use."""
LEFTOVER_MAX_AGE_S = 0.4
"""Time for which a leftover capacity is used: the period of the load figures behind
it."""


class LeftoverCapacity(msgspec.Struct, frozen=True):
    """Capacity that a worker has left for fillers of one image.

    ``millis`` is the processor time, in thousandths of a core, that a filler can use
    without harm to a serving task; ``slope`` is the steepest slope of the filler's
    image with the serving images.
    """

    millis: float
    slope: float

    def rate(self, spec):
        """Return the speed, 0 to 1, at which a task of a step would run."""
        return min(1.0, self.millis / max(1, spec.need.cpu_millis))


class LeftoverCapacities:
    """Leftover capacity by worker and filler image, as of a scheduling round.

    Values are kept for `LEFTOVER_MAX_AGE_S` unless a worker's attempts change.

    Parameters
    ----------
    shard : Shard
        Workers and the interference between images.
    workers : iterable of WorkerRun
        Workers that accept new attempts.
    now_s : float
        Monotonic time in seconds.
    """

    def __init__(self, shard, workers, now_s):
        self._shard = shard
        self._workers = workers
        self.now_s = now_s
        self._max_millis = {}

    def find(self, image, worker):
        """Return the `LeftoverCapacity` of a worker."""
        cached = worker.leftovers.get(image)
        if cached is not None and self.now_s < cached[1]:
            return cached[0]
        leftover = compute_leftover(self._shard, image, worker)
        worker.leftovers[image] = (leftover, self.now_s + LEFTOVER_MAX_AGE_S)
        return leftover

    def max_millis(self, image):
        """Return the most processor time that any worker had left, when first asked."""
        if image not in self._max_millis:
            self._max_millis[image] = max(
                (self.find(image, worker).millis for worker in self._workers),
                default=0.0,
            )
        return self._max_millis[image]


class Candidates:
    """Workers that can run tasks of a step, best first.

    Parameters
    ----------
    shard : Shard
        Workers and the interference between images.
    step : StepRun
        The step.
    workers : iterable of WorkerRun
        Workers that accept new attempts.
    leftovers : LeftoverCapacities
        Capacity of the workers for fillers.
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
        """Remove and return the entry of the worker that a task is to move to."""
        preferred, task.preferred_worker = task.preferred_worker, None
        for entry in self._heap if preferred else ():
            if entry[2].worker == preferred:
                self._heap.remove(entry)
                heapq.heapify(self._heap)
                return entry
        return None

    @property
    def is_empty(self):
        """Whether no worker has room."""
        return not self._heap

    def offers_other_than(self, worker_id):
        """Return whether a worker has room besides the one of an id."""
        heap = self._heap
        return len(heap) > 1 or (bool(heap) and heap[0][2].worker != worker_id)

    def start(self, task, now_s):
        """Start a task on the best worker; returns None where none has room."""
        heap = self._heap
        if not heap:
            return None
        preferred = task.preferred_worker
        entry = self._pop_preferred(task)
        if preferred:
            how = "elsewhere" if entry is None else "as planned"
            self._shard.events[f"moved {how}"] += 1
        if entry is None:
            entry = heapq.heappop(heap)
            if heap and entry[2].worker == task.avoided_worker:
                entry = heapq.heapreplace(heap, entry)
        _, number, worker = entry
        attempt = self._shard.start_task(task, worker, now_s)
        cost = self._find_cost(worker)
        if cost is not None:
            heapq.heappush(heap, (cost, number, worker))
        return attempt


def find_most_leftover(step, workers, leftovers):
    """Return the worker with the most leftover capacity for a filler, if any has room.

    Where no worker has any left, fillers are spread so that each makes some progress.
    """
    image = step.spec.image

    def rank(worker):
        leftover = leftovers.find(image, worker)
        return (
            -leftover.millis,
            worker.is_cold(leftovers.now_s),
            len(list_filler_shares(worker)),
            leftover.slope,
        )

    fitting = [worker for worker in workers if _can_run(step, worker)]
    return min(fitting, key=rank, default=None)


def _can_run(step, worker):
    """Return whether a worker has room for, and may run, one more task of a step."""
    return worker.fits(step.spec) and is_suitable(step, worker)


def is_suitable(step, worker):
    """Return whether a worker may run one more task of a step, room aside."""
    spec = step.spec
    if spec.required_label and spec.required_label not in worker.listed.labels:
        return False
    limit = spec.max_per_worker
    return not limit or step.attempts_per_worker.get(worker.worker, 0) < limit


def _placement_cost(shard, spec, worker, leftovers):
    """Return the cost of a worker for a task; None where the task must not run."""
    capacity = max(1, worker.listed.capacity.cpu_millis)
    remote = spec.data_rack and spec.data_rack not in worker.listed.labels
    penalty = REMOTE_COST if remote else 0.0
    if worker.is_cold(leftovers.now_s):
        penalty += COLD_COST
    if spec.fills:
        leftover = leftovers.find(spec.image, worker)
        rate = leftover.rate(spec)
        if rate < MIN_RATE:
            return None
        lost = leftover.slope * spec.need.cpu_millis / capacity
        return penalty + INTERFERENCE_COST * lost - rate
    left = (capacity - worker.cpu_used - spec.need.cpu_millis) / capacity
    if spec.tail_target_ms:
        return penalty + _mixing_cost(shard.interference, spec, worker) + left
    return penalty + left


def _mixing_cost(interference, spec, worker):
    """Return the cost of adding a serving image to those of a worker.

    Serving images that suffer from the same fillers are best placed together, since
    all other fillers can run beside them.
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
    fillers = interference.list_filler_images()
    if not fillers:
        return NEW_IMAGE_COST * len(images - {spec.image})
    with_image = _count_excluded_fillers(interference, images | {spec.image}, fillers)
    excluded = (
        with_image - _count_excluded_fillers(interference, images, fillers)
    ) / len(fillers)
    return OTHER_IMAGE_COST + NEW_IMAGE_COST * excluded


def _count_excluded_fillers(interference, serving_images, fillers):
    """Return the expected number of filler images that harm a serving image."""
    excluded = 0.0
    for filler in fillers:
        harmless = 1.0
        for serving in serving_images:
            harmless *= 1.0 - _interference_probability(interference, serving, filler)
        excluded += 1.0 - harmless
    return excluded


def _interference_probability(interference, serving, filler):
    if not interference.known(serving, filler):
        return UNKNOWN_INTERFERENCE
    return float(interference.slope(serving, filler) >= HARMLESS_SLOPE)


def compute_leftover(shard, image, worker):
    """Return the capacity that a worker has left for another filler of an image."""
    capacity = worker.listed.capacity.cpu_millis
    millis = max(0.0, estimate_leftover_millis(worker))
    steepest = 0.0
    fillers = list_filler_shares(worker)
    for serving, job in list_serving_tasks(worker):
        slope = shard.interference.slope(serving, image)
        steepest = max(steepest, slope)
        if slope < HARMLESS_SLOPE:
            continue
        spare = shard.interference.estimate_headroom(job) - PLACEMENT_HEADROOM
        spare = max(0.0, spare - shard.interference.estimate_loss(serving, fillers))
        millis = min(millis, spare / slope * capacity)
    return LeftoverCapacity(millis, steepest)


def list_serving_tasks(worker):
    """Return the distinct pairs of image and job of a worker's serving tasks."""
    if worker.serving_tasks is None:
        worker.serving_tasks = {
            (attempt.task.step.spec.image, attempt.task.step.job.job)
            for attempt in worker.attempts.values()
            if attempt.task.step.spec.tail_target_ms
        }
    return worker.serving_tasks


def estimate_leftover_millis(worker):
    """Return the processor time that is expected to be free for fillers."""
    if worker.leftover_millis is None:
        used = 0
        for attempt in worker.attempts.values():
            spec = attempt.task.step.spec
            share = LONG_RUNNING_USE if spec.lasting else 1.0
            used += spec.need.cpu_millis * share
        worker.leftover_millis = worker.listed.capacity.cpu_millis - used
    return worker.leftover_millis


def list_filler_shares(worker):
    """Return each filler's image and its share of the worker at its target speed."""
    if worker.filler_shares is None:
        capacity = max(1, worker.listed.capacity.cpu_millis)
        worker.filler_shares = [
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
    return worker.filler_shares
