"""The choice of a worker for a task."""

import heapq

import msgspec

from fuchsiascale.jobs._run_state import FULL_SPEED_PERCENT

__all__ = [
    "LIGHT_SLOPE",
    "Candidates",
    "FillOffer",
    "FillOffers",
    "leftover_millis",
    "find_least_harmed",
    "list_servings",
    "offer_fill",
    "suits",
    "wanted_fillers",
]

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


class FillOffer(msgspec.Struct, frozen=True):
    """What a filler would find at a worker.

    ``millis`` is the processor time, in thousandths of a core, that is left and harms
    no serving task; ``slope`` the steepest of its pairs with the serving images.
    """

    millis: float
    slope: float

    def rate(self, spec):
        """Return the speed, 0 to 1, that a task would have."""
        return min(1.0, self.millis / max(1, spec.need.cpu_millis))


class FillOffers:
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
        self._offers = {}
        self._most = {}

    def find(self, image, worker):
        """Return the `FillOffer` of a worker."""
        offers = self._offers.setdefault(worker.worker, {})
        if image not in offers:
            offers[image] = offer_fill(self._shard, image, worker)
        return offers[image]

    def most_millis(self, image):
        """Return the most that any worker offered when it was last asked."""
        if image not in self._most:
            self._most[image] = max(
                (self.find(image, worker).millis for worker in self._workers),
                default=0.0,
            )
        return self._most[image]

    def forget(self, worker):
        """Drop the offers of a worker that has been given an attempt."""
        self._offers.pop(worker.worker, None)


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

    def __init__(self, shard, step, workers, offers):
        self._shard = shard
        self._step = step
        self._offers = offers
        self._heap = []
        need_millis = max(1, step.spec.need.cpu_millis)
        if step.spec.fills:
            most_millis = offers.most_millis(step.spec.image)
            if most_millis < LEAST_RATE * need_millis:
                return
        for number, worker in enumerate(workers):
            cost = self._rate(worker)
            if cost is not None:
                self._heap.append((cost, number, worker))
        heapq.heapify(self._heap)

    def _rate(self, worker):
        if not _may_run(self._step, worker):
            return None
        return _cost(self._shard, self._step.spec, worker, self._offers)

    def _take_wanted(self, task):
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
        entry = self._take_wanted(task)
        if entry is None:
            entry = heapq.heappop(heap)
            if heap and entry[2].worker == task.avoided_worker:
                entry = heapq.heapreplace(heap, entry)
        _, number, worker = entry
        attempt = self._shard.start_task(task, worker, now_s)
        self._offers.forget(worker)
        cost = self._rate(worker)
        if cost is not None:
            heapq.heappush(heap, (cost, number, worker))
        return attempt


def find_least_harmed(step, workers, offers):
    """Return the worker that offers a filler most; None where none has room.

    Where none offers anything, fillers are spread, so that each can work a little.
    """
    image = step.spec.image

    def rank(worker):
        offer = offers.find(image, worker)
        return -offer.millis, len(wanted_fillers(worker)), offer.slope

    fitting = [worker for worker in workers if _may_run(step, worker)]
    return min(fitting, key=rank, default=None)


def _may_run(step, worker):
    """Return whether a worker has room and label for one more task of a step."""
    return worker.fits(step.spec) and suits(step, worker)


def suits(step, worker):
    """Return whether a worker may run one more task of a step, if it had room."""
    spec = step.spec
    if spec.required_label and spec.required_label not in worker.listed.labels:
        return False
    limit = spec.max_per_worker
    return not limit or step.attempts_per_worker.get(worker.worker, 0) < limit


def _cost(shard, spec, worker, offers):
    """Return how bad a worker is for a task; None where it must not run there."""
    capacity = max(1, worker.listed.capacity.cpu_millis)
    remote = spec.data_rack and spec.data_rack not in worker.listed.labels
    penalty = REMOTE_COST if remote else 0.0
    if spec.fills:
        offer = offers.find(spec.image, worker)
        rate = offer.rate(spec)
        if rate < LEAST_RATE:
            return None
        lost = offer.slope * spec.need.cpu_millis / capacity
        return penalty + HARM_COST * lost - rate
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


def offer_fill(shard, image, worker):
    """Return what a further filler of an image would find at a worker."""
    capacity = worker.listed.capacity.cpu_millis
    millis = max(0.0, leftover_millis(worker))
    steepest = 0.0
    fillers = wanted_fillers(worker)
    for serving, job in list_servings(worker):
        slope = shard.harm.slope(serving, image)
        steepest = max(steepest, slope)
        if slope < LIGHT_SLOPE:
            continue
        spare = shard.harm.headroom(job) - PLACE_HEADROOM
        spare = max(0.0, spare - shard.harm.loss(serving, fillers))
        millis = min(millis, spare / slope * capacity)
    return FillOffer(millis, steepest)


def list_servings(worker):
    """Return image and job of the serving tasks of a worker, each once."""
    return {
        (attempt.task.step.spec.image, attempt.task.step.job.job)
        for attempt in worker.attempts.values()
        if attempt.task.step.spec.tail_target_ms
    }


def leftover_millis(worker):
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
            * attempt.target_pace
            / FULL_SPEED_PERCENT,
        )
        for attempt in worker.attempts.values()
        if attempt.task.step.spec.fills
    ]
