"""Estimates how much tasks of one image raise the tail latency of another's.

A serving task has a target for its tail latency. A filler is a task that runs on the
processor time that the tasks of a worker leave over.

A serving task is modelled as a queue: its tail latency grows as
``1 / (1 - load - pressure)``, so the inverse of the tail falls linearly with the
share of the worker's processors that each filler image uses beside it. There is one
slope for each pair of images. The slopes are a least-squares fit of the differences
between tasks of the same job, which share its load: forward orthogonal deviations
(M. Arellano and O. Bover, "Another look at the instrumental variable estimation of
error-components models", 1995) with a ridge penalty towards a prior, solved by one
coordinate descent step for each observation.
"""

import math
from collections import deque

__all__ = ["PairInterference"]

PRIOR_SLOPE = 3.0
"""Slope of a pair that was never observed; low enough to try a single filler."""
MAX_SLOPE = 14.0
"""Upper bound of estimated slopes."""
RIDGE = 0.005
"""Weight of the prior in squared shares: the variance of the noise, 0.08, divided by
that of the slopes, 16."""
KNOWN_SQUARED_SHARE = 0.01
"""Sum of squared shares from which a slope counts as known. One observation each of a
disturbed and an undisturbed task reaches it if the filler uses a tenth of the
processors."""
MIN_SHARE_DIFFERENCE = 1e-3
"""Smaller differences of shares count as zero."""
DECAY_TIME_S = 60.0
"""Time constant of the exponential decay of the weights of observations."""
DECAY_PERIOD_S = 1.0
"""Minimum time between two decays of the weights."""
WINDOW_S = 0.8
"""Maximum age of the samples that show a job's present load; it covers two reports of
the workers."""
MAX_UPDATES_PER_S = 100
"""Observations of a serving image that are added to its fit in a second, on average and
in one burst. Each costs some 0.1 ms, and several hundred workers report thousands a
second."""
MAX_HEADROOM = 6.0
"""Cap of measured headroom, since tails of few milliseconds are imprecise."""
PRIOR_HEADROOM = 1.6
"""Undisturbed headroom of a job without samples: that of a high load."""
MIN_HEADROOM = 1.1
"""Lower bound of a job's undisturbed headroom. If all its tasks are disturbed, no
sample shows the undisturbed value."""


class _SlopeFit:
    """Normal equations of one serving image, and the slopes that solve them."""

    def __init__(self, priors):
        self.priors = priors
        self.gram_matrix = {}
        self.cross_products = {}
        self.slopes = {}
        self.decayed_s = None
        self._updates_left = MAX_UPDATES_PER_S
        self._refilled_s = None

    def add(self, shares, headroom_loss, weight):
        """Add an observation and update the slopes of its images."""
        for image, share in shares.items():
            row = self.gram_matrix.setdefault(image, {})
            for other, other_share in shares.items():
                row[other] = row.get(other, 0.0) + weight * share * other_share
            self.cross_products[image] = (
                self.cross_products.get(image, 0.0) + weight * share * headroom_loss
            )
            self.slopes.setdefault(image, self.prior(image))
        for image in shares:
            self._solve(image)

    def prior(self, image):
        """Return the slope expected of an image without observations."""
        return self.priors.get(image, PRIOR_SLOPE)

    def slope(self, image):
        """Return the slope of an image."""
        slope = self.slopes.get(image)
        return self.prior(image) if slope is None else slope

    def take_update(self, now_s):
        """Return whether an observation may be added now, and count it.

        Updates are limited by a token bucket.
        """
        if self._refilled_s is not None:
            refill = (now_s - self._refilled_s) * MAX_UPDATES_PER_S
            self._updates_left = min(MAX_UPDATES_PER_S, self._updates_left + refill)
        self._refilled_s = now_s
        if self._updates_left < 1:
            return False
        self._updates_left -= 1
        return True

    def _solve(self, image):
        row = self.gram_matrix[image]
        explained = sum(
            product * self.slopes[other]
            for other, product in row.items()
            if other != image
        )
        residual = self.cross_products[image] + RIDGE * self.prior(image) - explained
        self.slopes[image] = min(MAX_SLOPE, max(0.0, residual / (row[image] + RIDGE)))

    def decay(self, now_s):
        """Reduce the weights of past observations by the elapsed time."""
        if self.decayed_s is None:
            self.decayed_s = now_s
        elapsed_s = now_s - self.decayed_s
        if elapsed_s < DECAY_PERIOD_S:
            return
        self.decayed_s = now_s
        factor = math.exp(-elapsed_s / DECAY_TIME_S)
        for image, row in self.gram_matrix.items():
            self.cross_products[image] *= factor
            for other in row:
                row[other] *= factor


class _Sample:
    """Headroom of one serving task, and the shares of the fillers beside it."""

    __slots__ = ("at_s", "headroom", "shares")

    def __init__(self, at_s, headroom, shares):
        self.at_s = at_s
        self.headroom = headroom
        self.shares = shares


class _RecentSamples:
    """Samples of a job's tasks in the last `WINDOW_S`, and their sums.

    Load pattern: a job of several dozen tasks, each of which is sampled several times
    in the window. The sums make the cost of a sample independent of their number.
    """

    __slots__ = ("_samples", "headroom_sum", "share_sums")

    def __init__(self):
        self._samples = deque()
        self._clear_sums()

    def _clear_sums(self):
        self.headroom_sum = 0.0
        self.share_sums = {}

    def __len__(self):
        return len(self._samples)

    def add(self, sample):
        """Add a sample."""
        self._samples.append(sample)
        self._count(sample, 1)

    def expire(self, before_s):
        """Remove the samples that were taken before a time."""
        samples = self._samples
        while samples and samples[0].at_s < before_s:
            self._count(samples.popleft(), -1)
        if not samples:
            # Rounding errors of the sums would add up otherwise.
            self._clear_sums()

    def _count(self, sample, sign):
        self.headroom_sum += sign * sample.headroom
        sums = self.share_sums
        for image, share in sample.shares.items():
            sums[image] = sums.get(image, 0.0) + sign * share


class PairInterference:
    """Slopes of pairs of images, and the undisturbed headroom of serving jobs.

    Headroom is the target divided by the measured tail latency; below 1 the target is
    missed. Undisturbed headroom is what a job's tasks would have without fillers.
    """

    def __init__(self):
        self._fits = {}
        self._samples = {}
        self._serving_images = {}
        self._headrooms = {}

    def slope(self, serving_image, filler_image):
        """Return the headroom lost if the filler uses all processors of a worker."""
        fit = self._fits.get(serving_image)
        return PRIOR_SLOPE if fit is None else fit.slope(filler_image)

    def known(self, serving_image, filler_image):
        """Return whether a pair has enough observations for a reliable slope."""
        fit = self._fits.get(serving_image)
        if fit is None:
            return False
        row = fit.gram_matrix.get(filler_image)
        observed = row is not None and row[filler_image] >= KNOWN_SQUARED_SHARE
        return observed or filler_image in fit.priors

    def list_filler_images(self):
        """Return the filler images observed beside any serving image."""
        return set().union(
            *(fit.slopes.keys() | fit.priors.keys() for fit in self._fits.values())
        )

    def export(self):
        """Return the known slopes by serving image, then by filler image."""
        return {
            serving_image: {
                filler_image: round(self.slope(serving_image, filler_image), 2)
                for filler_image in fit.slopes.keys() | fit.priors.keys()
                if self.known(serving_image, filler_image)
            }
            for serving_image, fit in self._fits.items()
        }

    def restore(self, slopes):
        """Use the slopes that a previous owner exported as priors.

        Examples
        --------
        >>> interference = PairInterference()
        >>> interference.restore({"web": {"scan": 8.0}})
        >>> interference.slope("web", "scan"), interference.known("web", "scan")
        (8.0, True)
        """
        for serving_image, known in slopes.items():
            self._fits[serving_image] = _SlopeFit(dict(known))

    def estimate_headroom(self, job):
        """Return the present undisturbed headroom of a job.

        Examples
        --------
        >>> interference = PairInterference()
        >>> interference.observe("web", "job", 0.1, {}, 1.0)
        >>> interference.estimate_headroom("job")
        1.1
        """
        if job not in self._headrooms:
            samples = self._samples.get(job)
            mean = self._average(job, samples) if samples else PRIOR_HEADROOM
            self._headrooms[job] = max(MIN_HEADROOM, mean)
        return self._headrooms[job]

    def _average(self, job, samples):
        """Return the mean headroom of samples, each with its estimated loss added."""
        serving_image = self._serving_images[job]
        loss = self.estimate_loss(serving_image, samples.share_sums.items())
        return (samples.headroom_sum + loss) / len(samples)

    def observe(self, serving_image, job, headroom, shares, now_s):
        """Record the measured headroom of one task of a job.

        Parameters
        ----------
        serving_image : str
            Image of the task.
        job : str
            Job of the task; the tasks of a job share its load.
        headroom : float
            Target divided by the tail latency.
        shares : dict of str to float
            Share of the worker's processors that each filler image uses.
        now_s : float
            Monotonic time in seconds.

        Examples
        --------
        The slope follows from the difference between a disturbed and an undisturbed
        task.

        >>> interference = PairInterference()
        >>> for second in range(20):
        ...     interference.observe("web", "job", 2.0, {"scan": 0.1}, float(second))
        ...     interference.observe("web", "job", 3.0, {}, float(second))
        >>> 9.0 < interference.slope("web", "scan") < 11.0
        True
        """
        headroom = min(MAX_HEADROOM, headroom)
        fit = self._fits.setdefault(serving_image, _SlopeFit({}))
        self._serving_images[job] = serving_image
        samples = self._samples.setdefault(job, _RecentSamples())
        samples.expire(now_s - WINDOW_S)
        may_update = fit.take_update(now_s)
        if samples and may_update:
            self._compare(fit, samples, headroom, shares)
        samples.add(_Sample(now_s, headroom, shares))
        self._headrooms.pop(job, None)
        if may_update and shares and self._average(job, samples) < MIN_HEADROOM:
            fit.add(shares, MIN_HEADROOM - headroom, 1.0)
        fit.decay(now_s)

    def _compare(self, fit, samples, headroom, shares):
        """Add the difference to the mean of the job's other samples to the fit."""
        count = len(samples)
        mean = samples.headroom_sum / count
        differences = dict(shares)
        for image, share_sum in samples.share_sums.items():
            differences[image] = differences.get(image, 0.0) - share_sum / count
        differences = {
            image: share
            for image, share in differences.items()
            if abs(share) >= MIN_SHARE_DIFFERENCE
        }
        if differences:
            fit.add(differences, mean - headroom, count / (count + 1))

    def forget(self, job):
        """Discard the samples of a job that has ended."""
        self._samples.pop(job, None)
        self._serving_images.pop(job, None)
        self._headrooms.pop(job, None)

    def estimate_loss(self, serving_image, fillers):
        """Return the headroom that a serving task loses to fillers.

        Parameters
        ----------
        serving_image : str
            Image of the serving task.
        fillers : iterable of tuple
            Image of each filler, and the share of the processors that it uses.

        Examples
        --------
        >>> PairInterference().estimate_loss("web", [("scan", 0.5)])
        1.5
        """
        fit = self._fits.get(serving_image)
        if fit is None:
            return PRIOR_SLOPE * sum(share for _, share in fillers)
        return sum([fit.slope(image) * share for image, share in fillers])
