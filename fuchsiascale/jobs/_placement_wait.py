"""Decides which tasks wait for room on a wanted rack (delay scheduling).

A task that starts away from the rack of its data takes ``factor`` times as long. The
expected wait follows from the attempts that run on the wanted rack: each frees its room
at its expected end, and tasks that wait already are served first.

Load pattern: six in ten urgent jobs of half a second want one rack of eight workers for
several seconds. Starting all of them far costs up to three times their processor time,
and letting all of them wait for that rack makes most of them late.
"""

import bisect
import heapq
import math
from collections.abc import Mapping
from typing import NamedTuple

from fuchsiascale.jobs._model import Resources

__all__ = [
    "RackForecast",
    "RoomRequest",
    "compute_latest_start_s",
    "estimate_end_s",
]

MAX_WAIT_S = 2.0
"""Longest wait. The platform allows a job to have nothing running for 3 s while there
is room for it, which include noticing the end of its last task and starting one."""
MIN_PERCENT = 10
"""Progress from which an attempt's own speed tells its end: progress is reported in
whole percent, so that the error is a twentieth at most."""
OVERDUE_SHARE = 0.25
"""Time that an attempt beyond its expected end still takes, as a share of the time
that it has run: few tasks are a little late, and those that are long are several times
as long as the others."""
MAX_REFUSALS = 8
"""Requests without room in time that a forecast remembers; the latest are kept."""


class RoomRequest(NamedTuple):
    """What the waiting tasks of a step ask of a rack.

    Parameters
    ----------
    need : Resources
        Resources of a task.
    run_s : float
        Expected run time of a task on the rack, in seconds.
    latest_s : float
        Monotonic time after which starting elsewhere would have been better.
    allowance : mapping of str to int, or None
        Most tasks by worker; a worker that is missing takes none. None for no limit.
    """

    need: Resources
    run_s: float
    latest_s: float
    allowance: Mapping[str, int] | None = None

    def allows(self, worker, count=0):
        """Return whether a worker may take one more task than ``count``."""
        if self.allowance is None:
            return True
        return count < self.allowance.get(worker, 0)


def compute_latest_start_s(now_s, near_s, factor, waited_s, slack_s):
    """Return until when a start on the wanted rack is better than one far away now.

    All of a task's wait counts, so that it never exceeds what a far start costs, nor
    `MAX_WAIT_S`. A job without slack doesn't wait.

    Parameters
    ----------
    now_s : float
        Monotonic time in seconds.
    near_s : float
        Expected run time on the wanted rack, in seconds.
    factor : float
        Multiple of the run time that a task takes elsewhere.
    waited_s : float
        Time in seconds since the task could first have started.
    slack_s : float
        Time in seconds that the task's job can lose and still meet its objective.

    Examples
    --------
    >>> compute_latest_start_s(10.0, 2.0, 1.5, waited_s=0.25, slack_s=3.0)
    10.75
    >>> compute_latest_start_s(10.0, 2.0, 3.0, waited_s=0.0, slack_s=0.5)
    10.5
    >>> compute_latest_start_s(10.0, 2.0, 3.0, waited_s=5.0, slack_s=9.0)
    10.0
    """
    gain_s = (factor - 1.0) * near_s
    bound_s = min(min(gain_s, MAX_WAIT_S) - waited_s, slack_s)
    return now_s + max(0.0, bound_s)


def estimate_end_s(now_s, started_s, expected_s, percent=0, progressed_s=0.0):
    """Return the expected end of a running attempt.

    Progress counts only for an attempt that is slower than expected. A new owner
    doesn't know when an attempt that it found had started, and would take it for a
    quick one.

    Parameters
    ----------
    now_s, started_s : float
        Monotonic times, in seconds.
    expected_s : float
        Expected run time by what is known of its queue, in seconds.
    percent : int
        Progress.
    progressed_s : float
        Monotonic time at which the progress was first seen.

    Examples
    --------
    >>> estimate_end_s(10.4, 10.0, 1.0)
    11.0
    >>> estimate_end_s(11.0, 10.0, 1.0, percent=20, progressed_s=11.0)
    15.0
    >>> estimate_end_s(12.0, 10.0, 1.0)
    12.5
    """
    elapsed_s = now_s - started_s
    left_s = expected_s - elapsed_s
    if percent >= MIN_PERCENT:
        total_s = max(expected_s, (progressed_s - started_s) * 100 / percent)
        left_s = total_s * (100 - percent) / 100 - (now_s - progressed_s)
    return now_s + (left_s if left_s > 0 else OVERDUE_SHARE * elapsed_s)


class _Parcel(NamedTuple):
    """Room that a worker has from a time on; negative for room that was taken."""

    time_s: float
    cpu_millis: int
    memory_mb: int
    accelerators: int


def _make_parcel(time_s, room, sign=1):
    return _Parcel(
        time_s,
        sign * room.cpu_millis,
        sign * room.memory_mb,
        sign * room.accelerators,
    )


class RackForecast:
    """Expected room on a rack's workers, less what waiting tasks are to get.

    Parameters
    ----------
    now_s : float
        Monotonic time in seconds.

    Examples
    --------
    >>> forecast = RackForecast(now_s=10.0)
    >>> core = Resources(cpu_millis=1_000)
    >>> forecast.add_worker("w1", Resources(), [(10.5, core)])
    >>> request = RoomRequest(core, run_s=1.0, latest_s=11.0)
    >>> forecast.reserve(request, avoided=(None, None))
    [10.5, None]
    """

    def __init__(self, now_s):
        self._now_s = now_s
        self._parcels = {}
        self._refusals = []

    def add_worker(self, worker, room, ends):
        """Add a worker.

        Parameters
        ----------
        worker : str
            Its id.
        room : Resources
            Room that no attempt uses.
        ends : iterable of float and Resources
            Expected end of each attempt there, and the room that it frees; attempts
            without an end are left out.
        """
        parcels = [_make_parcel(time_s, freed) for time_s, freed in ends]
        self._parcels[worker] = sorted([_make_parcel(self._now_s, room), *parcels])

    def take(self, worker, taken):
        """Note that room of a worker was taken since it was added."""
        self._parcels[worker].insert(0, _make_parcel(self._now_s, taken, -1))

    def reserve(self, request, avoided):
        """Reserve room for the tasks of a step, as soon as it is expected.

        Parameters
        ----------
        request : RoomRequest
            What each task asks.
        avoided : iterable of str or None
            For each task, the worker on which it must not run.

        Returns
        -------
        list of float or None
            For each task, when it is expected to start; None for one that gets no room
            in time, for which nothing is reserved.
        """
        avoided = list(avoided)
        if self._is_hopeless(request):
            return [None] * len(avoided)
        counts = {}
        ready = [
            (_find_time(parcels, request.need), worker)
            for worker, parcels in self._parcels.items()
            if request.allows(worker)
        ]
        heapq.heapify(ready)
        if ready and request.allowance is None:
            self._note_earliest(request.need, ready[0][0])
        return [
            self._reserve_earliest(request, ready, counts, worker) for worker in avoided
        ]

    def _reserve_earliest(self, request, ready, counts, avoided):
        """Reserve the earliest room outside a worker; returns its time, or None."""
        skipped = None
        if ready and ready[0][1] == avoided:
            skipped = heapq.heappop(ready)
        start_s = None
        if ready and ready[0][0] <= request.latest_s:
            start_s, worker = heapq.heappop(ready)
            self._occupy(worker, request, start_s)
            counts[worker] = counts.get(worker, 0) + 1
            if request.allows(worker, counts[worker]):
                next_s = _find_time(self._parcels[worker], request.need)
                heapq.heappush(ready, (next_s, worker))
        if skipped is not None:
            heapq.heappush(ready, skipped)
        return start_s

    def _is_hopeless(self, request):
        """Return whether a request as small had no room until a later time."""
        return any(
            request.latest_s < earliest_s and _is_as_large(request.need, need)
            for need, earliest_s in self._refusals
        )

    def _note_earliest(self, need, earliest_s):
        """Remember when there is room for a need: reservations only delay it."""
        self._refusals.append((need, earliest_s))
        del self._refusals[:-MAX_REFUSALS]

    def _occupy(self, worker, request, start_s):
        """Take the room of a task from a time on, and free it at its expected end.

        What is left of the room until then counts from that time on, which keeps the
        list short.
        """
        parcels = self._parcels[worker]
        need = request.need
        cpu_millis, memory_mb = -need.cpu_millis, -need.memory_mb
        accelerators = -need.accelerators
        merged = 0
        for parcel in parcels:
            if parcel.time_s > start_s:
                break
            cpu_millis += parcel.cpu_millis
            memory_mb += parcel.memory_mb
            accelerators += parcel.accelerators
            merged += 1
        parcels[:merged] = [_Parcel(start_s, cpu_millis, memory_mb, accelerators)]
        bisect.insort(parcels, _make_parcel(start_s + request.run_s, need))

    def find_gang_time(self, request, count):
        """Return when all members of a gang have room at once; infinity for never."""
        gains = []
        for worker, parcels in self._parcels.items():
            if request.allows(worker):
                gains += _list_gains(worker, parcels, request)
        total = 0
        for time_s, gained in sorted(gains):
            total += gained
            if total >= count:
                return time_s
        return math.inf

    def reserve_gang(self, request, count):
        """Reserve room for a whole gang; returns its start, or None if not in time."""
        start_s = self.find_gang_time(request, count)
        if start_s > request.latest_s:
            return None
        left = count
        for worker, parcels in self._parcels.items():
            slots = sum(
                gained
                for time_s, gained in _list_gains(worker, parcels, request)
                if time_s <= start_s
            )
            for _ in range(min(left, slots)):
                self._occupy(worker, request, start_s)
                left -= 1
        return start_s


def _find_time(parcels, need):
    """Return when the parcels of a worker add up to a need; infinity for never."""
    cpu_millis = memory_mb = accelerators = 0
    for parcel in parcels:
        cpu_millis += parcel.cpu_millis
        memory_mb += parcel.memory_mb
        accelerators += parcel.accelerators
        if (
            cpu_millis >= need.cpu_millis
            and memory_mb >= need.memory_mb
            and accelerators >= need.accelerators
        ):
            return parcel.time_s
    return math.inf


def _list_gains(worker, parcels, request):
    """Return the times at which a worker can hold more tasks at once, and how many."""
    need = request.need
    limit = math.inf
    if request.allowance is not None:
        limit = request.allowance.get(worker, 0)
    gains, slots = [], 0
    cpu_millis = memory_mb = accelerators = 0
    for parcel in parcels:
        cpu_millis += parcel.cpu_millis
        memory_mb += parcel.memory_mb
        accelerators += parcel.accelerators
        held = min(
            limit,
            _count_fitting(cpu_millis, need.cpu_millis),
            _count_fitting(memory_mb, need.memory_mb),
            _count_fitting(accelerators, need.accelerators),
        )
        if held > slots:
            gains.append((parcel.time_s, held - slots))
            slots = held
    return gains


def _count_fitting(room, need):
    return room // need if need > 0 else math.inf


def _is_as_large(need, other):
    return (
        need.cpu_millis >= other.cpu_millis
        and need.memory_mb >= other.memory_mb
        and need.accelerators >= other.accelerators
    )
