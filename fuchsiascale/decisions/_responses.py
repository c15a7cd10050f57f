"""Steps against batch work that slows services down.

Notes
-----
The response at a worker has four steps with hysteresis: what was entered at
one excess is left at a lower one, and no step follows another before its
effect can have shown in the measurements.
"""

from enum import IntEnum

import msgspec

from fuchsiascale.decisions._free_index import QUIET_EXCESS
from fuchsiascale.ids import JobKindId, TaskId
from fuchsiascale.platform import Message

__all__ = [
    "PolicyWeights",
    "ResponseState",
    "ResponseStep",
    "Thresholds",
    "VictimCandidate",
    "choose_step",
    "choose_throttle",
    "choose_victim",
    "derive_thresholds",
    "can_place",
]

RELEASE_FRACTION = 0.5
MIN_THROTTLE_PERMILLE = 200
THROTTLE_STEP_PERMILLE = 100
THROTTLE_RELEASE_PERMILLE = 300


class ResponseStep(IntEnum):
    """What is done at a worker whose services are slowed down."""

    NONE = 0
    HOLD = 1
    THROTTLE = 2
    EVICT = 3


class PolicyWeights(Message):
    """The operators' weights of what is measured.

    Parameters
    ----------
    tail_latency, throughput, evictions : float
        Only the ratios between them count.
    """

    tail_latency: float = 1.0
    throughput: float = 1.0
    evictions: float = 1.0


class Thresholds(Message):
    """Excess slowdowns at which the steps begin, and the wait between steps.

    Parameters
    ----------
    hold, throttle, evict : float
        Excess over 1 of a service's slowdown.
    settle_s : float
        Time for a step's effect to show, in seconds.
    """

    hold: float
    throttle: float
    evict: float
    settle_s: float


class ResponseState(Message):
    """Step in force at a worker, and since when (monotonic seconds).

    Parameters
    ----------
    evict : bool
        Whether one attempt is to be evicted now.
    """

    step: ResponseStep = ResponseStep.NONE
    since_s: float = 0.0
    throttle_permille: int = 1000
    evict: bool = False


class VictimCandidate(Message):
    """An attempt that could be throttled or evicted.

    Parameters
    ----------
    excess : float
        Slowdown that it is expected to cause.
    lost_ms : float
        Run time that is lost by stopping it, in milliseconds.
    evictions : int
        How often its task has been evicted already.
    """

    task: TaskId
    kind: JobKindId
    excess: float
    lost_ms: float = 0.0
    evictions: int = 0
    evictable: bool = True
    checkpointable: bool = True


def derive_thresholds(weights, lag_s):
    """Return the thresholds that the operators' weights ask for.

    More weight on tail latency lowers all of them; more on throughput raises
    those of holding and throttling, more on evictions that of evicting.

    Parameters
    ----------
    weights : PolicyWeights
    lag_s : float
        Lag of the measurements, in seconds.

    Returns
    -------
    Thresholds

    Examples
    --------
    >>> derive_thresholds(PolicyWeights(), 5.0).hold
    0.1
    >>> derive_thresholds(PolicyWeights(tail_latency=2.0), 5.0).hold
    0.05
    """
    latency = max(0.01, weights.tail_latency)
    throughput = max(0.01, weights.throughput) / latency
    evictions = max(0.01, weights.evictions) / latency
    hold = 0.1 * throughput
    throttle = max(1.2 * hold, 0.2 * throughput)
    return Thresholds(
        hold=hold,
        throttle=throttle,
        evict=max(1.5 * throttle, 0.8 * evictions),
        settle_s=2.0 * lag_s,
    )


def choose_step(state, slowdown, thresholds, now_s):
    """Return the step in force after a measurement.

    Parameters
    ----------
    state : ResponseState
    slowdown : float
        Worst measured slowdown of the worker's services.
    thresholds : Thresholds
    now_s : float
        Monotonic time, in seconds.

    Returns
    -------
    ResponseState

    Examples
    --------
    >>> thresholds = derive_thresholds(PolicyWeights(), 5.0)
    >>> state = choose_step(ResponseState(), 1.15, thresholds, 0.0)
    >>> state.step.name
    'HOLD'
    >>> choose_step(state, 1.08, thresholds, 60.0).step.name
    'HOLD'
    >>> choose_step(state, 1.01, thresholds, 60.0).step.name
    'NONE'
    """
    excess = slowdown - 1.0
    wanted = _find_step(excess, thresholds)
    settled = now_s - state.since_s >= thresholds.settle_s
    if wanted > state.step:
        return _escalate(state, wanted, excess, thresholds, now_s, settled)
    if not settled:
        return msgspec.structs.replace(state, evict=False)
    if excess < RELEASE_FRACTION * _find_entry(state.step, thresholds):
        return _relax(state, now_s)
    if wanted is ResponseStep.EVICT:
        return msgspec.structs.replace(state, since_s=now_s, evict=True)
    if wanted is ResponseStep.THROTTLE is state.step:
        return _throttle(state, excess, thresholds, now_s)
    return msgspec.structs.replace(state, evict=False)


def can_place(state, excess):
    """Return whether a worker under a response takes more of a kind.

    Parameters
    ----------
    state : ResponseState
    excess : float
        Expected excess slowdown by one core of the kind.

    Returns
    -------
    bool
        Work that disturbs no service of the worker goes on being placed.

    Examples
    --------
    >>> held = ResponseState(step=ResponseStep.HOLD)
    >>> can_place(held, 0.2), can_place(held, 0.0)
    (False, True)
    """
    return state.step is ResponseStep.NONE or excess <= QUIET_EXCESS


def choose_throttle(excess, target):
    """Return the share of their demand that brings an excess to a target.

    Parameters
    ----------
    excess, target : float
        Present and wanted excess slowdown.

    Returns
    -------
    int
        Thousandths, in steps of ``THROTTLE_STEP_PERMILLE``.

    Examples
    --------
    >>> choose_throttle(0.4, 0.2)
    500
    """
    if excess <= target:
        return 1000
    share = int(1000 * target / excess)
    rounded = share - share % THROTTLE_STEP_PERMILLE
    return max(MIN_THROTTLE_PERMILLE, rounded)


def choose_victim(candidates, weights):
    """Return the attempt whose eviction relieves most for what it costs.

    Parameters
    ----------
    candidates : iterable of VictimCandidate
    weights : PolicyWeights

    Returns
    -------
    VictimCandidate or None

    Examples
    --------
    >>> loud = VictimCandidate(task="a", kind="k", excess=0.5)
    >>> often = VictimCandidate(task="b", kind="k", excess=0.5, evictions=3)
    >>> choose_victim((often, loud), PolicyWeights()).task
    'a'
    """
    possible = [entry for entry in candidates if entry.evictable and entry.excess > 0.0]
    return max(
        possible, key=lambda entry: _value_eviction(entry, weights), default=None
    )


def _find_step(excess, thresholds):
    if excess >= thresholds.evict:
        return ResponseStep.EVICT
    if excess >= thresholds.throttle:
        return ResponseStep.THROTTLE
    if excess >= thresholds.hold:
        return ResponseStep.HOLD
    return ResponseStep.NONE


def _find_entry(step, thresholds):
    return {
        ResponseStep.NONE: 0.0,
        ResponseStep.HOLD: thresholds.hold,
        ResponseStep.THROTTLE: thresholds.throttle,
        ResponseStep.EVICT: thresholds.evict,
    }[step]


def _escalate(state, wanted, excess, thresholds, now_s, settled):
    if state.step >= ResponseStep.THROTTLE and not settled:
        return msgspec.structs.replace(state, evict=False)
    if wanted is ResponseStep.EVICT and state.step < ResponseStep.THROTTLE:
        wanted = ResponseStep.THROTTLE
    if wanted is ResponseStep.THROTTLE:
        return _throttle(state, excess, thresholds, now_s)
    return ResponseState(
        step=wanted,
        since_s=now_s,
        throttle_permille=state.throttle_permille,
        evict=wanted is ResponseStep.EVICT,
    )


def _throttle(state, excess, thresholds, now_s):
    factor = choose_throttle(excess, thresholds.hold)
    share = max(MIN_THROTTLE_PERMILLE, state.throttle_permille * factor // 1000)
    return ResponseState(
        step=ResponseStep.THROTTLE, since_s=now_s, throttle_permille=share
    )


def _relax(state, now_s):
    if state.step is ResponseStep.NONE:
        return state
    share = min(1000, state.throttle_permille + THROTTLE_RELEASE_PERMILLE)
    if state.step is ResponseStep.THROTTLE and share < 1000:
        step = ResponseStep.THROTTLE
    else:
        step = ResponseStep(state.step - 1)
    if step < ResponseStep.THROTTLE:
        share = 1000
    return ResponseState(step=step, since_s=now_s, throttle_permille=share)


def _value_eviction(entry, weights):
    lost = entry.lost_ms / 60_000.0
    if entry.checkpointable:
        lost = min(lost, 0.1)
    cost = weights.evictions * (1.0 + entry.evictions) + weights.throughput * lost
    return entry.excess / (0.01 + cost)
