"""Choice of a runner for a request by a registered policy.

Notes
-----
The default policy compares two runners drawn at random. This needs no scan, and
with lagging measurements it avoids sending the requests of every instance to the
same idle runner [1]_. The runners are compared by the expected time to finish,
which grows with the recent latency and with the requests in flight per slot.

References
----------
.. [1] M. Mitzenmacher, "The Power of Two Choices in Randomized Load
   Balancing", IEEE Trans. Parallel Distrib. Syst. 12(10), 2001.
"""

from math import exp

import msgspec

from fuchsiascale.ids import RunnerId
from fuchsiascale.platform import Message

__all__ = [
    "LATENCY_DECAY_S",
    "ROUTING_POLICIES",
    "LatencyEstimate",
    "RunnerLoad",
    "choose_runner",
    "estimate_latency",
    "estimate_finish_ms",
    "is_failing",
    "observe_failure",
    "observe_latency",
    "register_routing",
]

LATENCY_DECAY_S = 10.0
FAILURE_PENALTY_MS = 1_000.0
FAILING_WINDOW_S = 5.0
MIN_CONSECUTIVE_FAILURES = 3
RISE_GAIN = 0.5
FALL_GAIN = 0.1

ROUTING_POLICIES = {}


class RunnerLoad(Message):
    """Load of a candidate runner as the choosing instance sees it.

    Parameters
    ----------
    credits : int
        Maximum number of requests of the instance in flight at the runner.
    in_flight : int
        Requests of the instance in flight at the runner.
    latency_ms : float
        Recent latency, in milliseconds; 0 if there is no measurement.
    distance_ms : float
        One-way network delay, in milliseconds.
    failing : bool
        Whether the last sends all failed; a failing runner is chosen only if all
        candidates are failing.
    """

    runner: RunnerId
    address: str = ""
    credits: int = 0
    in_flight: int = 0
    latency_ms: float = 0.0
    distance_ms: float = 0.0
    failing: bool = False


class LatencyEstimate(msgspec.Struct, frozen=True):
    """Moving average of a runner's latency.

    Parameters
    ----------
    mean_ms : float
        Mean latency, in milliseconds; 0 without samples.
    at_s : float
        Monotonic time of the last sample, in seconds.
    failures : int
        Number of consecutive sends that failed.
    """

    mean_ms: float = 0.0
    at_s: float = 0.0
    failures: int = 0


def observe_latency(estimate, sample_ms, now_s):
    """Return the estimate updated with one sample.

    A rise gets a higher gain than a fall, so that a runner that becomes slow is
    avoided after few requests.

    Parameters
    ----------
    estimate : LatencyEstimate
    sample_ms : float
        Measured latency, in milliseconds.
    now_s : float
        Monotonic time of the sample, in seconds.

    Returns
    -------
    LatencyEstimate

    Examples
    --------
    >>> observe_latency(LatencyEstimate(10.0, 0.0), 30.0, 1.0).mean_ms
    20.0
    """
    if estimate.mean_ms <= 0.0:
        return LatencyEstimate(sample_ms, now_s)
    gain = RISE_GAIN if sample_ms > estimate.mean_ms else FALL_GAIN
    mean_ms = estimate.mean_ms + gain * (sample_ms - estimate.mean_ms)
    return LatencyEstimate(mean_ms, now_s)


def observe_failure(estimate, now_s):
    """Return the estimate updated with a failed send.

    A failure counts as a high latency. Otherwise a runner that refuses immediately
    would appear fast and attract all requests.

    Examples
    --------
    >>> observe_failure(LatencyEstimate(10.0, 0.0), 1.0).mean_ms
    505.0
    """
    mean_ms = observe_latency(estimate, FAILURE_PENALTY_MS, now_s).mean_ms
    return LatencyEstimate(mean_ms, now_s, estimate.failures + 1)


def is_failing(estimate, now_s):
    """Return whether a runner's last sends all failed recently.

    Parameters
    ----------
    estimate : LatencyEstimate
    now_s : float
        Monotonic time, in seconds.

    Returns
    -------
    bool

    Examples
    --------
    >>> estimate = LatencyEstimate(10.0, 0.0, failures=3)
    >>> is_failing(estimate, 1.0), is_failing(estimate, 6.0)
    (True, False)
    """
    recent = now_s - estimate.at_s < FAILING_WINDOW_S
    return recent and estimate.failures >= MIN_CONSECUTIVE_FAILURES


def estimate_latency(estimate, typical_ms, now_s):
    """Return a runner's latency, decaying to the typical one without new samples.

    Without the decay, a runner that was once slow would get no requests, hence no
    samples, and would count as slow permanently.

    Parameters
    ----------
    estimate : LatencyEstimate
    typical_ms : float
        Latency of the other runners, in milliseconds.
    now_s : float
        Monotonic time, in seconds.

    Returns
    -------
    float
        Milliseconds.

    Examples
    --------
    >>> estimate_latency(LatencyEstimate(100.0, 0.0), 10.0, 0.0)
    100.0
    >>> round(estimate_latency(LatencyEstimate(100.0, 0.0), 10.0, 60.0))
    10
    """
    if estimate.mean_ms <= 0.0:
        return typical_ms
    decay = exp(-max(0.0, now_s - estimate.at_s) / LATENCY_DECAY_S)
    return typical_ms + decay * (estimate.mean_ms - typical_ms)


def estimate_finish_ms(load):
    """Return a score of the time that one more request would take at a runner.

    Parameters
    ----------
    load : RunnerLoad

    Returns
    -------
    float
        Milliseconds; meant for comparing runners, not as a prediction.
    """
    utilization = (load.in_flight + 1) / max(1, load.credits)
    return load.latency_ms * (1.0 + utilization) + 2.0 * load.distance_ms


def register_routing(name):
    """Register a routing policy under a name.

    Parameters
    ----------
    name : str

    Returns
    -------
    callable
        Decorator of a function ``(candidates, random, turn) -> RunnerLoad`` that is
        called with at least one candidate.
    """

    def register(function):
        ROUTING_POLICIES[name] = function
        return function

    return register


def choose_runner(candidates, random, policy="two_choices", turn=0):
    """Choose the runner of a request among those with a free credit.

    Parameters
    ----------
    candidates : sequence of RunnerLoad
    random : random.Random
        Source of random draws.
    policy : str
        Name of a registered policy.
    turn : int
        Number of the request, for round-robin policies.

    Returns
    -------
    RunnerLoad or None
        None if no candidate has a free credit.

    Examples
    --------
    >>> from random import Random
    >>> busy = RunnerLoad(runner="a", credits=8, in_flight=7, latency_ms=5.0)
    >>> idle = RunnerLoad(runner="b", credits=8, in_flight=1, latency_ms=5.0)
    >>> choose_runner((busy, idle), Random(1)).runner
    'b'
    """
    free = [load for load in candidates if load.in_flight < load.credits]
    if not free:
        return None
    free = [load for load in free if not load.failing] or free
    if len(free) == 1:
        return free[0]
    return ROUTING_POLICIES[policy](free, random, turn)


@register_routing("two_choices")
def choose_better_of_two(candidates, random, turn):
    """Return the better of two distinct runners drawn at random."""
    first = int(random.random() * len(candidates))
    second = int(random.random() * (len(candidates) - 1))
    if second >= first:
        second += 1
    return _choose_better(candidates[first], candidates[second])


@register_routing("round_robin")
def choose_round_robin(candidates, random, turn):
    """Return each runner in turn."""
    return candidates[turn % len(candidates)]


@register_routing("nearest")
def choose_nearest(candidates, random, turn):
    """Return the runner with the least sum of network delay and latency."""
    return min(candidates, key=lambda load: load.distance_ms + load.latency_ms)


@register_routing("random")
def choose_at_random(candidates, random, turn):
    """Return a runner drawn at random."""
    return random.choice(candidates)


def _choose_better(first, second):
    if first.latency_ms <= 0.0 or second.latency_ms <= 0.0:
        return (
            first
            if _measure_utilization(first) <= _measure_utilization(second)
            else second
        )
    return first if estimate_finish_ms(first) <= estimate_finish_ms(second) else second


def _measure_utilization(load):
    return (load.in_flight / load.credits, load.distance_ms)
