"""Learns how much the tasks of one image raise the tail of another's.

The tail of a serving task, as a share of its target, is taken to be a base of its
own plus, for each task that fills beside it, a weight of the pair of images times
the share of the worker's processors that the filler uses. The weights are learnt
by normalised least mean squares (B. Widrow and M. Hoff, "Adaptive switching
circuits", 1960); a pair that was rarely seen together takes the filler's mean.
"""

__all__ = ["PairHarm"]

PRIOR_WEIGHT = 0.8
"""Weight of a filler never seen: between harmless (0 to 0.4) and harmful (1 to 2.5)."""
PRIOR_BASE = 0.4
"""Tail of a serving task never seen, without fillers, as a share of its target."""
STEP = 0.25
"""Share of the error that one observation corrects."""
BASE_STEP = 0.05
"""Share of the error that one observation moves the base by."""
REGULARISER = 0.02
"""Keeps observations of little load from moving the weights."""
PAIR_CONFIDENCE = 6.0
"""Observations after which a pair's own weight counts as much as the image's mean."""
MAX_WEIGHT = 8.0
"""Largest weight that is believed; the tail is a noisy figure."""


class PairHarm:
    """Weights of pairs of images, and bases of serving images."""

    def __init__(self):
        self._image = {}
        self._pair = {}
        self._base = {}

    def weight(self, serving, filling):
        """Return how many targets a worker full of ``filling`` adds to the tail."""
        mean, _ = self._image.get(filling, (PRIOR_WEIGHT, 0))
        own, seen = self._pair.get((serving, filling), (mean, 0))
        trust = seen / (seen + PAIR_CONFIDENCE)
        return trust * own + (1 - trust) * mean

    def base(self, serving):
        """Return the tail without fillers, as a share of the target."""
        return self._base.get(serving, PRIOR_BASE)

    def predict(self, serving, fillers):
        """Return the expected tail as a share of the target.

        Parameters
        ----------
        serving : str
            Image of the serving task.
        fillers : iterable of tuple
            Image of each filler, and the share of the processors that it uses.

        Examples
        --------
        >>> PairHarm().predict("web", [("scan", 0.5)])
        0.8
        """
        added = sum(self.weight(serving, image) * share for image, share in fillers)
        return self.base(serving) + added

    def observe(self, serving, fillers, tail):
        """Learn from one measured tail, as a share of the target.

        Examples
        --------
        >>> harm = PairHarm()
        >>> for _ in range(50):
        ...     harm.observe("web", [("scan", 0.5)], 1.4)
        ...     harm.observe("web", [], 0.4)
        >>> 1.7 < harm.weight("web", "scan") < 2.3
        True
        """
        fillers = [(image, share) for image, share in fillers if share > 0]
        error = tail - self.predict(serving, fillers)
        energy = sum(share * share for _, share in fillers) + REGULARISER
        base_step = BASE_STEP if fillers else 4 * BASE_STEP
        self._base[serving] = max(0.05, self.base(serving) + base_step * error)
        for image, share in fillers:
            change = STEP * error * share / energy
            mean, seen = self._image.get(image, (PRIOR_WEIGHT, 0))
            self._image[image] = (_clamp(mean + change / 2), seen + 1)
            own, together = self._pair.get((serving, image), (mean, 0))
            self._pair[serving, image] = (_clamp(own + change), together + 1)

    def known(self, filling):
        """Return how often a filling image was observed."""
        return self._image.get(filling, (PRIOR_WEIGHT, 0))[1]


def _clamp(weight):
    return min(MAX_WEIGHT, max(0.0, weight))
