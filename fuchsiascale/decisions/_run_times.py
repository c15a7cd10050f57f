"""Estimates the run times of tasks, since declared ones are often far off.

Load pattern: steps of several dozen tasks whose run times differ by a third. Such a
step takes as long as its longest task, about twice the mean, so that a job judged by
the mean seems to be late, or too late to be worth anything, when it can still be in
time.
"""

import functools
import math
from statistics import NormalDist

__all__ = ["RunTimes", "StepRunTimes"]

DECLARED_WEIGHT = 0.35
"""Weight of the logarithm of the declared run time once a queue's mean is known."""
MIN_GAIN = 0.05
"""Smallest share of the difference by which an observation moves a queue's mean."""
MIN_OBSERVATIONS = 8
"""Observations after which a queue's mean counts as known."""


DEFAULT_VARIANCE = 0.09
"""Variance of the logarithms of the run times in a step before it is known."""
DEFAULT_VARIANCE_WEIGHT = 10
"""Weight of that default, in observations."""
MIN_VARIANCE_GAIN = 0.01
"""Smallest share of the difference by which an observation moves a queue's variance:
single ones vary by more than the variance itself."""


class StepRunTimes:
    """Run times of the tasks of one step, which are alike but for chance.

    Examples
    --------
    >>> step = StepRunTimes()
    >>> step.add(1.0), step.add(2.0)
    (None, 0.5)
    """

    __slots__ = ("_count", "_mean")

    def __init__(self):
        self._count = 0
        self._mean = 0.0

    def add(self, log_run_s):
        """Add the logarithm of a run time.

        Returns
        -------
        float or None
            Estimate of the variance by the difference to the mean of those before;
            None for the first.
        """
        difference = log_run_s - self._mean
        self._count += 1
        self._mean += difference / self._count
        if self._count == 1:
            return None
        return difference**2 * (self._count - 1) / self._count


class RunTimes:
    """Mean run times by queue, combined with declared run times.

    The means are taken of logarithms because the errors of declared run times are
    factors, not differences.
    """

    def __init__(self):
        self._means = {}
        self._counts = {}
        self._variances = {}
        self._variance_weights = {}

    def observe(self, queue, run_s, step=None):
        """Record the run time of a task that completed.

        Parameters
        ----------
        queue : str
            Queue of its job.
        run_s : float
            Run time in seconds.
        step : StepRunTimes, optional
            Run times of the same step, to which it is added.
        """
        value = math.log(max(run_s, 0.01))
        count = self._counts.get(queue, 0) + 1
        self._counts[queue] = count
        gain = max(MIN_GAIN, 1 / count)
        mean = self._means.get(queue, value)
        self._means[queue] = mean + gain * (value - mean)
        observed = step.add(value) if step is not None else None
        if observed is not None:
            self._observe_variance(queue, observed)

    def _observe_variance(self, queue, observed):
        weight = self._variance_weights.get(queue, DEFAULT_VARIANCE_WEIGHT) + 1
        self._variance_weights[queue] = weight
        variance = self._variances.get(queue, DEFAULT_VARIANCE)
        gain = max(MIN_VARIANCE_GAIN, 1 / weight)
        self._variances[queue] = variance + gain * (observed - variance)

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

    def estimate_longest(self, queue, declared_s, count):
        """Return the expected run time of the longest of some tasks of a step.

        The largest of ``count`` normal deviates is at the quantile that G. Blom gives
        in "Statistical estimates and transformed beta-variables", 1958.

        Examples
        --------
        >>> times = RunTimes()
        >>> times.estimate_longest("scan", 3.0, 1)
        3.0
        >>> round(times.estimate_longest("scan", 3.0, 40), 1)
        5.7
        """
        spread = math.sqrt(self._variances.get(queue, DEFAULT_VARIANCE))
        return self.estimate(queue, declared_s) * math.exp(spread * _find_score(count))


@functools.lru_cache(maxsize=1_000)
def _find_score(count):
    """Return the expected largest of ``count`` standard normal deviates."""
    return NormalDist().inv_cdf((count - 0.375) / (count + 0.25))
