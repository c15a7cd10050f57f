"""Learns how much the tasks of one image raise the tail of another's.

A serving task is taken for a queue: its tail grows as ``1 / (1 - load - pressure)``,
so that the inverse of the tail falls linearly with the share of the worker's
processors that each filling image uses beside it. The slopes, one a pair of images,
are the least-squares fit of the differences between the tasks of a job, which share
its load: forward orthogonal deviations (M. Arellano and O. Bover, "Another look at
the instrumental variable estimation of error-components models", 1995), ridge
towards a prior, solved by a coordinate step an observation.
"""

import math
from collections import deque

__all__ = ["PairInterference"]

PRIOR_SLOPE = 3.0
"""Slope of a pair never seen together: lets a single filler be tried beside it."""
MAX_SLOPE = 14.0
"""Largest slope that is believed."""
RIDGE = 0.005
"""Weight of the prior, as squared shares: the variance of the noise, 0.08, over that
of the slopes, 16."""
KNOWN_ENERGY = 0.01
"""Squared shares after which a slope counts as known; a filler on a tenth of the
processors brings this about in one look at a quiet and a disturbed task each."""
LEAST_SHARE = 1e-3
"""Differences of shares under this one are taken to be none."""
FADE_S = 60.0
"""Time in which observations lose the weight ``1 - 1 / e``."""
FADE_PERIOD_S = 1.0
"""Period in which their weights are lowered."""
WINDOW_S = 0.8
"""Age of the looks that tell a job's present load; two of the workers' figures."""
MOST_HEADROOM = 6.0
"""Headroom at which figures are cut: tails of few milliseconds are rough."""
PRIOR_HEADROOM = 1.6
"""Target over tail of a job never seen, without fillers: that of a high load."""
LEAST_HEADROOM = 1.1
"""Least headroom that a job is taken to have without fillers: where all its tasks are
disturbed, none of them shows it."""


class _Fit:
    """Normal equations of one serving image, and the slopes that solve them."""

    def __init__(self, priors):
        self.priors = priors
        self.energies = {}
        self.losses = {}
        self.slopes = {}
        self.faded_s = None

    def add(self, shares, lost, weight):
        """Add an observation, and move the slopes concerned to their best values."""
        for image, share in shares.items():
            row = self.energies.setdefault(image, {})
            for other, other_share in shares.items():
                row[other] = row.get(other, 0.0) + weight * share * other_share
            self.losses[image] = self.losses.get(image, 0.0) + weight * share * lost
            self.slopes.setdefault(image, self.prior(image))
        for image in shares:
            self._solve(image)

    def prior(self, image):
        """Return the slope to expect before anything was observed."""
        return self.priors.get(image, PRIOR_SLOPE)

    def _solve(self, image):
        row = self.energies[image]
        others = sum(
            energy * self.slopes[other]
            for other, energy in row.items()
            if other != image
        )
        left = self.losses[image] + RIDGE * self.prior(image) - others
        self.slopes[image] = min(MAX_SLOPE, max(0.0, left / (row[image] + RIDGE)))

    def fade(self, now_s):
        """Lower the weights of what was observed, by the time that has passed."""
        if self.faded_s is None:
            self.faded_s = now_s
        passed_s = now_s - self.faded_s
        if passed_s < FADE_PERIOD_S:
            return
        self.faded_s = now_s
        kept = math.exp(-passed_s / FADE_S)
        for image, row in self.energies.items():
            self.losses[image] *= kept
            for other in row:
                row[other] *= kept


class _Look:
    """Headroom of one serving task, and the shares of the fillers beside it."""

    __slots__ = ("at_s", "headroom", "shares")

    def __init__(self, at_s, headroom, shares):
        self.at_s = at_s
        self.headroom = headroom
        self.shares = shares


class PairInterference:
    """Slopes of pairs of images, and the undisturbed headroom of serving jobs.

    Headroom is the target over the tail: below 1 the target is missed.
    """

    def __init__(self):
        self._fits = {}
        self._looks = {}
        self._images = {}
        self._bases = {}

    def slope(self, serving, filling):
        """Return the headroom lost to a worker full of ``filling``."""
        fit = self._fits.get(serving)
        if fit is None:
            return PRIOR_SLOPE
        return fit.slopes.get(filling, fit.prior(filling))

    def known(self, serving, filling):
        """Return whether enough of a pair was observed to believe its slope."""
        fit = self._fits.get(serving)
        if fit is None:
            return False
        row = fit.energies.get(filling)
        observed = row is not None and row[filling] >= KNOWN_ENERGY
        return observed or filling in fit.priors

    def filling_images(self):
        """Return the filling images that were seen beside any serving image."""
        return set().union(
            *(fit.slopes.keys() | fit.priors.keys() for fit in self._fits.values())
        )

    def export(self):
        """Return the known slopes: by serving image, those of filling images."""
        return {
            serving: {
                filling: round(self.slope(serving, filling), 2)
                for filling in fit.slopes.keys() | fit.priors.keys()
                if self.known(serving, filling)
            }
            for serving, fit in self._fits.items()
        }

    def adopt(self, slopes):
        """Expect the slopes that an earlier owner has exported.

        Examples
        --------
        >>> harm = PairInterference()
        >>> harm.adopt({"web": {"scan": 8.0}})
        >>> harm.slope("web", "scan"), harm.known("web", "scan")
        (8.0, True)
        """
        for serving, known in slopes.items():
            self._fits[serving] = _Fit(dict(known))

    def headroom(self, job):
        """Return the present headroom of a job's tasks without fillers.

        Examples
        --------
        >>> harm = PairInterference()
        >>> harm.note("web", "job", 0.1, {}, 1.0)
        >>> harm.headroom("job")
        1.1
        """
        if job not in self._bases:
            looks = self._looks.get(job)
            base = self._undisturbed(job, looks) if looks else PRIOR_HEADROOM
            self._bases[job] = max(LEAST_HEADROOM, base)
        return self._bases[job]

    def _undisturbed(self, job, looks):
        """Return the mean headroom of looks, with the losses to fillers added."""
        serving = self._images[job]
        total = sum(
            look.headroom + self.loss(serving, look.shares.items()) for look in looks
        )
        return total / len(looks)

    def note(self, serving, job, headroom, shares, now_s):
        """Take in the headroom of one task of a job.

        Parameters
        ----------
        serving : str
            Image of the task.
        job : str
            Its job, whose tasks share their load.
        headroom : float
            Target over tail.
        shares : dict
            By filling image, the share of the worker's processors in use.
        now_s : float
            Monotonic time in seconds.

        Examples
        --------
        A task that is disturbed beside one that is not tells the slope.

        >>> harm = PairInterference()
        >>> for look in range(20):
        ...     harm.note("web", "job", 2.0, {"scan": 0.1}, float(look))
        ...     harm.note("web", "job", 3.0, {}, float(look))
        >>> 9.0 < harm.slope("web", "scan") < 11.0
        True
        """
        headroom = min(MOST_HEADROOM, headroom)
        fit = self._fits.setdefault(serving, _Fit({}))
        self._images[job] = serving
        looks = self._looks.setdefault(job, deque())
        while looks and looks[0].at_s < now_s - WINDOW_S:
            looks.popleft()
        if looks:
            self._compare(fit, looks, headroom, shares)
        looks.append(_Look(now_s, headroom, shares))
        self._bases.pop(job, None)
        if shares and self._undisturbed(job, looks) < LEAST_HEADROOM:
            fit.add(shares, LEAST_HEADROOM - headroom, 1.0)
        fit.fade(now_s)

    def _compare(self, fit, looks, headroom, shares):
        """Learn from the difference to the other looks at the job."""
        count = len(looks)
        mean = sum(look.headroom for look in looks) / count
        differences = dict(shares)
        for look in looks:
            for image, share in look.shares.items():
                differences[image] = differences.get(image, 0.0) - share / count
        differences = {
            image: share
            for image, share in differences.items()
            if abs(share) >= LEAST_SHARE
        }
        if differences:
            fit.add(differences, mean - headroom, count / (count + 1))

    def forget(self, job):
        """Drop what is known of a job that has ended."""
        self._looks.pop(job, None)
        self._images.pop(job, None)
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
        >>> PairInterference().loss("web", [("scan", 0.5)])
        1.5
        """
        return sum(self.slope(serving, image) * share for image, share in fillers)
