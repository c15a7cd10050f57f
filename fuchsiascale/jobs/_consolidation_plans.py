"""Finds where the serving tasks that keep fillers off a worker can go.

A filler is a task that uses only processor time that other tasks leave over.
"""

from typing import NamedTuple

from fuchsiascale.jobs._run_state import FULL_SPEED_PERCENT, AttemptPhase
from fuchsiascale.jobs._worker_selection import (
    HARMLESS_SLOPE,
    estimate_leftover_millis,
    is_suitable,
)

__all__ = [
    "PlanSearch",
    "Split",
    "Tolerance",
    "Transfer",
    "group_serving_attempts",
    "list_splits",
]

MIN_STAY_S = 5.0
"""Least run time before a serving task is moved: each start costs it 0.5 to 1 s."""
MIN_GAIN_MILLIS = 3_000
"""Least gain of a plan: processor time for fillers, in thousandths of a core."""
MIN_GAIN_PER_STOP_MILLIS = 1_000
"""The same for each serving task that is stopped. A second of one is worth a few
core-seconds of fillers, and the room stays open for longer than that."""


class Split(NamedTuple):
    """Serving tasks that would leave a worker so that more fillers can use it.

    ``kept`` are the images that stay; ``gain_millis`` is the processor time that
    waiting fillers could use then, in thousandths of a core.
    """

    gain_millis: float
    worker: object
    kept: frozenset
    leaving: list


class Transfer(NamedTuple):
    """A move of an attempt to a worker, in exchange for another attempt or None."""

    attempt: object
    worker: object
    other: object


class Tolerance:
    """What waiting fillers could use beside serving images.

    Parameters
    ----------
    interference : PairInterference
        Interference between images.
    demand : dict of str to float
        Processor time that fillers lack, by image, in thousandths of a core.
    """

    def __init__(self, interference, demand):
        self._interference = interference
        self._demand = demand
        self._tolerated = {}

    def sum_tolerated(self, images):
        """Return the demand that is known to be harmless to all images of a set."""
        if images not in self._tolerated:
            self._tolerated[images] = sum(
                millis
                for filler, millis in self._demand.items()
                if all(self._is_harmless(image, filler) for image in images)
            )
        return self._tolerated[images]

    def _is_harmless(self, serving, filler):
        return (
            self._interference.known(serving, filler)
            and self._interference.slope(serving, filler) < HARMLESS_SLOPE
        )

    def measure_usable(self, worker, images):
        """Return what fillers could use on a worker with some serving images."""
        return min(self.sum_tolerated(images), _measure_unused_millis(worker))

    def allows(self, images, image):
        """Return whether an image may join others without excluding more fillers."""
        return self.sum_tolerated(images | {image}) >= self.sum_tolerated(images)


class _PlannedRoom:
    """Room of the workers, with the transfers of a plan taken into account."""

    def __init__(self):
        self._changes = {}
        self._joining = set()

    def fits(self, worker, spec, leaving=None):
        """Return whether a task fits on a worker, if another one leaves it or none."""
        cpu, memory = self._changes.get(worker.worker, (0, 0))
        need, capacity = spec.need, worker.listed.capacity
        if leaving is not None:
            cpu -= leaving.task.step.spec.need.cpu_millis
            memory -= leaving.task.step.spec.need.memory_mb
        return (
            worker.cpu_used + cpu + need.cpu_millis <= capacity.cpu_millis
            and worker.memory_used + memory + need.memory_mb <= capacity.memory_mb
            and need.accelerators <= capacity.accelerators - worker.accelerators_used
        )

    def may_join(self, step, worker):
        """Return whether a task of a step may run on a worker, room aside.

        Only one task of a step joins a worker in a plan, so that limits of tasks a
        worker hold.
        """
        is_joining = (worker.worker, step) in self._joining
        return not is_joining and is_suitable(step, worker)

    def add(self, transfer):
        """Take a transfer into account."""
        attempt, worker, other = transfer
        self._move(attempt, worker)
        if other is not None:
            self._move(other, attempt.worker)

    def _move(self, attempt, worker):
        need = attempt.task.step.spec.need
        for each, sign in ((attempt.worker, -1), (worker, 1)):
            cpu, memory = self._changes.get(each.worker, (0, 0))
            self._changes[each.worker] = (
                cpu + sign * need.cpu_millis,
                memory + sign * need.memory_mb,
            )
        self._joining.add((worker.worker, attempt.task.step))


class PlanSearch:
    """Search of a plan by which all tasks of a split leave their worker.

    Parameters
    ----------
    split : Split
        The tasks.
    serving : dict
        Serving attempts by image, by worker; those that may take part.
    tolerance : Tolerance
        What fillers could use beside serving images.
    now_s : float
        Monotonic time in seconds.
    """

    def __init__(self, split, serving, tolerance, now_s):
        self._split = split
        self._serving = serving
        self._tolerance = tolerance
        self._now_s = now_s
        self._room = _PlannedRoom()
        self._taken = set()

    def find(self):
        """Return the transfers; none if a task can't leave, or for too little gain."""
        plan = []
        stops_left = self._split.gain_millis / MIN_GAIN_PER_STOP_MILLIS
        for attempt in sorted(self._split.leaving, key=_get_cpu_millis, reverse=True):
            transfer = self._find_transfer(attempt)
            if transfer is None:
                return []
            stops_left -= 1 + (transfer.other is not None)
            if stops_left < 0:
                return []
            self._room.add(transfer)
            self._taken.add(transfer.other)
            plan.append(transfer)
        return plan

    def _find_transfer(self, attempt):
        """Return where an attempt can move, into free room rather than by exchange."""
        step = attempt.task.step
        exchange = None
        for worker, groups in self._serving.items():
            if worker is self._split.worker or not groups:
                continue
            if not self._tolerance.allows(frozenset(groups), step.spec.image):
                continue
            if not self._room.may_join(step, worker):
                continue
            if self._room.fits(worker, step.spec):
                return Transfer(attempt, worker, None)
            if exchange is None:
                other = self._find_counterpart(attempt, worker, groups)
                exchange = other and Transfer(attempt, worker, other)
        return exchange

    def _find_counterpart(self, attempt, worker, groups):
        """Return an attempt that can change places with one that leaves its worker."""
        home = self._split.worker
        if not self._split.kept:
            return None
        for image, others in groups.items():
            if not self._tolerance.allows(self._split.kept, image):
                continue
            for other in others:
                if (
                    other not in self._taken
                    and _is_movable(other, self._now_s)
                    and self._room.may_join(other.task.step, home)
                    and self._room.fits(worker, attempt.task.step.spec, other)
                    and self._room.fits(home, other.task.step.spec, attempt)
                ):
                    return other
        return None


def group_serving_attempts(worker):
    """Return the serving attempts of a worker by image."""
    groups = {}
    for attempt in worker.attempts.values():
        spec = attempt.task.step.spec
        if spec.tail_target_ms:
            groups.setdefault(spec.image, []).append(attempt)
    return groups


def list_splits(worker, groups, tolerance, now_s):
    """Return the ways to open a worker to more fillers that are worth their stops.

    The images that tolerate the most of what waits are kept.

    Parameters
    ----------
    worker : WorkerRun
        The worker.
    groups : dict
        Its serving attempts by image.
    tolerance : Tolerance
        What fillers could use beside serving images.
    now_s : float
        Monotonic time in seconds.

    Returns
    -------
    list of Split
        One for each number of images that leave.
    """
    images = sorted(
        groups, key=lambda image: tolerance.sum_tolerated(frozenset({image}))
    )
    before = tolerance.measure_usable(worker, frozenset(images))
    splits, leaving = [], []
    for number, image in enumerate(images, 1):
        if not all(_is_movable(attempt, now_s) for attempt in groups[image]):
            break
        leaving = leaving + groups[image]
        kept = frozenset(images[number:])
        gain = tolerance.measure_usable(worker, kept) - before
        if gain >= max(MIN_GAIN_MILLIS, MIN_GAIN_PER_STOP_MILLIS * len(leaving)):
            splits.append(Split(gain, worker, kept, leaving))
    return splits


def _is_movable(attempt, now_s):
    spec = attempt.task.step.spec
    return (
        attempt.phase is AttemptPhase.RUNNING
        and spec.lasting
        and not spec.gang
        and not spec.may_miss
        and now_s - attempt.phase_since_s > MIN_STAY_S
    )


def _get_cpu_millis(attempt):
    return attempt.task.step.spec.need.cpu_millis


def _measure_unused_millis(worker):
    """Return what other tasks leave on a worker, less what fillers use of it."""
    throttled = sum(
        _get_cpu_millis(attempt) * (1.0 - attempt.target_pace / FULL_SPEED_PERCENT)
        for attempt in worker.attempts.values()
        if attempt.task.step.spec.fills
    )
    return max(0.0, estimate_leftover_millis(worker) + throttled)
