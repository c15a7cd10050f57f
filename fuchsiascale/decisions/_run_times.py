"""Learns how long tasks run, since declared run times are far off."""

import math

__all__ = ["RunTimes"]

DECLARED_WEIGHT = 0.35
"""Weight of the declared run time, in logarithms, once a queue is known."""
STEP = 0.05
"""Share of the difference by which one observation moves a queue's mean."""
KNOWN_AFTER = 8
"""Observations after which a queue counts as known."""


class RunTimes:
    """Mean run times by queue, combined with what is declared.

    Means are of logarithms: errors of estimates are factors, not differences.
    """

    def __init__(self):
        self._means = {}
        self._counts = {}

    def observe(self, queue, run_s):
        """Take in the run time of a task that ended as done, in seconds."""
        value = math.log(max(run_s, 0.01))
        count = self._counts.get(queue, 0) + 1
        self._counts[queue] = count
        mean = self._means.get(queue, value)
        self._means[queue] = mean + max(STEP, 1 / count) * (value - mean)

    def export(self):
        """Return the mean logarithm and the count of each queue."""
        return {
            queue: (round(mean, 3), self._counts[queue])
            for queue, mean in self._means.items()
        }

    def adopt(self, learnt):
        """Take over what an earlier owner has exported.

        Examples
        --------
        >>> times = RunTimes()
        >>> times.adopt({"scan": (0.0, 20)})
        >>> times.export()
        {'scan': (0.0, 20)}
        """
        for queue, (mean, count) in learnt.items():
            self._means[queue] = mean
            self._counts[queue] = count

    def expect(self, queue, declared_s):
        """Return the run time to expect of a task, in seconds.

        Examples
        --------
        >>> times = RunTimes()
        >>> times.expect("scan", 3.0)
        3.0
        >>> for _ in range(20):
        ...     times.observe("scan", 1.0)
        >>> 1.0 < times.expect("scan", 3.0) < 2.0
        True
        """
        declared_s = max(declared_s, 0.01)
        if self._counts.get(queue, 0) < KNOWN_AFTER:
            return declared_s
        mixed = DECLARED_WEIGHT * math.log(declared_s)
        return math.exp(mixed + (1 - DECLARED_WEIGHT) * self._means[queue])
