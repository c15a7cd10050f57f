"""Learns how much the tasks of one image raise the tail of another's.

A serving task is taken for a queue: its tail grows as ``1 / (1 - load - pressure)``,
so that the inverse of the tail falls linearly with the share of the worker's
processors that each filling image uses beside it. The slopes, one a pair of images,
are learnt by normalised least mean squares (B. Widrow and M. Hoff, "Adaptive
switching circuits", 1960). The serving tasks of a job share their load, so the tail
of a job without pressure is read off its least disturbed tasks.
"""

from collections import deque

__all__ = ["PairHarm"]

PRIOR_SLOPE = 3.0
"""Slope of a pair never seen together: lets a single filler be tried beside it."""
MAX_SLOPE = 14.0
"""Largest slope that is believed."""
STEP = 0.35
"""Share of the error that one observation corrects."""
REGULARISER = 0.004
"""Keeps observations of little load (squared shares) from moving the slopes."""
PRIOR_HEADROOM = 1.6
"""Target over tail of a job never seen, without fillers: that of a high load."""
LEAST_HEADROOM = 1.1
"""Least headroom that a job is taken to have without fillers: where all its tasks are
disturbed, none of them shows it."""
BASE_WINDOW_S = 1.1
"""Age up to which tails tell the undisturbed tail; two of the workers' figures."""
BASE_QUANTILE = 0.2
"""Headrooms above this quantile are taken to be undisturbed."""


class PairHarm:
    """Slopes of pairs of images, and the undisturbed headroom of serving jobs.

    Headroom is the target over the tail: below 1 the target is missed.
    """

    def __init__(self):
        self._slopes = {}
        self._seen = {}
        self._samples = {}
        self._bases = {}

    def slope(self, serving, filling):
        """Return the headroom lost to a worker full of ``filling``."""
        return self._slopes.get((serving, filling), PRIOR_SLOPE)

    def seen(self, serving, filling):
        """Return how often a pair of images was observed."""
        return self._seen.get((serving, filling), 0)

    def headroom(self, job):
        """Return the present headroom of a job's tasks without fillers.

        Examples
        --------
        >>> harm = PairHarm()
        >>> harm.note("job", 0.1, 1.0)
        >>> harm.headroom("job")
        1.1
        """
        return max(LEAST_HEADROOM, self._bases.get(job, PRIOR_HEADROOM))

    def note(self, job, headroom, now_s):
        """Take in the headroom of one task of a job, whatever runs beside it."""
        samples = self._samples.setdefault(job, deque())
        samples.append((now_s, headroom))
        while samples[0][0] < now_s - BASE_WINDOW_S:
            samples.popleft()
        ordered = sorted((value for _, value in samples), reverse=True)
        self._bases[job] = ordered[int(len(ordered) * BASE_QUANTILE)]

    def forget(self, job):
        """Drop what is known of a job that has ended."""
        self._samples.pop(job, None)
        self._bases.pop(job, None)

    def loss(self, serving, fillers):
        """Return the headroom lost to fillers.

        Parameters
        ----------
        serving : str
            Image of the serving task.
        fillers : iterable of tuple
            Image of each filler, and the share of the processors that it uses.

        Examples
        --------
        >>> PairHarm().loss("web", [("scan", 0.5)])
        1.5
        """
        return sum(self.slope(serving, image) * share for image, share in fillers)

    def learn(self, serving, lost, fillers):
        """Correct the slopes by the headroom that one serving task has lost.

        Parameters
        ----------
        serving : str
            Image of the serving task.
        lost : float
            Headroom of its job without fillers, less its own.
        fillers : iterable of tuple
            Image of each filler, and the share of the processors that it uses.

        Examples
        --------
        >>> harm = PairHarm()
        >>> for _ in range(60):
        ...     harm.learn("web", 1.0, [("scan", 0.1)])
        >>> 9.0 < harm.slope("web", "scan") < 11.0
        True
        """
        shares = {}
        for image, share in fillers:
            shares[image] = shares.get(image, 0.0) + share
        error = lost - self.loss(serving, shares.items())
        energy = sum(share * share for share in shares.values()) + REGULARISER
        for image, share in shares.items():
            slope = self.slope(serving, image) + STEP * error * share / energy
            self._slopes[serving, image] = min(MAX_SLOPE, max(0.0, slope))
            self._seen[serving, image] = self.seen(serving, image) + 1
