"""Estimates the run times of tasks, since declared ones are often far off."""

import math

__all__ = ["RunTimes"]

DECLARED_WEIGHT = 0.35
"""Weight of the logarithm of the declared run time once a queue's mean is known."""
MIN_GAIN = 0.05
"""Smallest share of the difference by which an observation moves a queue's mean."""
MIN_OBSERVATIONS = 8
"""Observations after which a queue's mean counts as known."""


class RunTimes:
    """Mean run times by queue, combined with declared run times.

    The means are taken of logarithms because the errors of declared run times are
    factors, not differences.
    """

    def __init__(self):
        self._means = {}
        self._counts = {}

    def observe(self, queue, run_s):
        """Record the run time in seconds of a task that completed."""
        value = math.log(max(run_s, 0.01))
        count = self._counts.get(queue, 0) + 1
        self._counts[queue] = count
        mean = self._means.get(queue, value)
        self._means[queue] = mean + max(MIN_GAIN, 1 / count) * (value - mean)

    def export(self):
        """Return the mean logarithm and the number of observations of each queue."""
        return {
            queue: (round(mean, 3), self._counts[queue])
            for queue, mean in self._means.items()
        }

    def restore(self, exported):
        """Load the means that a previous owner exported.

        Examples
        --------
        >>> times = RunTimes()
        >>> times.restore({"scan": (0.0, 20)})
        >>> times.export()
        {'scan': (0.0, 20)}
        """
        for queue, (mean, count) in exported.items():
            self._means[queue] = mean
            self._counts[queue] = count

    def estimate(self, queue, declared_s):
        """Return the expected run time of a task in seconds.

        Examples
        --------
        >>> times = RunTimes()
        >>> times.estimate("scan", 3.0)
        3.0
        >>> for _ in range(20):
        ...     times.observe("scan", 1.0)
        >>> 1.0 < times.estimate("scan", 3.0) < 2.0
        True
        """
        declared_s = max(declared_s, 0.01)
        if self._counts.get(queue, 0) < MIN_OBSERVATIONS:
            return declared_s
        weighted = DECLARED_WEIGHT * math.log(declared_s)
        return math.exp(weighted + (1 - DECLARED_WEIGHT) * self._means[queue])
