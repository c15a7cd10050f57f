"""Stepwise response to batch work that slows services down.

Notes
-----
The response at a worker has four steps with hysteresis: a step is left at a lower
excess slowdown than it was entered at, and the next step is not taken before the
effect of the last one can show in the measurements.
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
    """Response at a worker whose services are slowed down."""

    NONE = 0
    HOLD = 1
    THROTTLE = 2
    EVICT = 3


class PolicyWeights(Message):
    """Weights of the objectives, set by the operators.

    Parameters
    ----------
    tail_latency, throughput, evictions : float
        Only the ratios between them matter.
    """

    tail_latency: float = 1.0
    throughput: float = 1.0
    evictions: float = 1.0


class Thresholds(Message):
    """Excess slowdowns at which the steps are entered, and the time between steps.

    Parameters
    ----------
    hold, throttle, evict : float
        Excess of a service's slowdown over 1.
    settle_s : float
        Time until a step's effect shows in the measurements, in seconds.
    """

    hold: float
    throttle: float
    evict: float
    settle_s: float


class ResponseState(Message):
    """Current step at a worker.

    Parameters
    ----------
    since_s : float
        Monotonic time of the last change, in seconds.
    throttle_permille : int
        Share of their demand that throttled attempts may use, in thousandths.
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
        Excess slowdown that the attempt is expected to cause.
    lost_ms : float
        Run time lost if the attempt is stopped, in milliseconds.
    evictions : int
        Previous evictions of its task.
    """

    task: TaskId
    kind: JobKindId
    excess: float
    lost_ms: float = 0.0
    evictions: int = 0
    evictable: bool = True
    checkpointable: bool = True


def derive_thresholds(weights, lag_s):
    """Return the thresholds that follow from the operators' weights.

    More weight on tail latency lowers all thresholds. More weight on throughput
    raises those of HOLD and THROTTLE, more weight on evictions that of EVICT.

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
    """Return the response after a measurement.

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
    target_step = _choose_target_step(excess, thresholds)
    settled = now_s - state.since_s >= thresholds.settle_s
    if target_step > state.step:
        return _escalate(state, target_step, excess, thresholds, now_s, settled)
    if not settled:
        return msgspec.structs.replace(state, evict=False)
    if excess < RELEASE_FRACTION * _get_entry_excess(state.step, thresholds):
        return _deescalate(state, now_s)
    if target_step is ResponseStep.EVICT:
        return msgspec.structs.replace(state, since_s=now_s, evict=True)
    if target_step is ResponseStep.THROTTLE is state.step:
        return _throttle(state, excess, thresholds, now_s)
    return msgspec.structs.replace(state, evict=False)


def can_place(state, excess):
    """Return whether a worker may get more work of a kind.

    Parameters
    ----------
    state : ResponseState
    excess : float
        Expected excess slowdown by one core of the kind.

    Returns
    -------
    bool
        Always true for work that slows no service of the worker down.

    Examples
    --------
    >>> held = ResponseState(step=ResponseStep.HOLD)
    >>> can_place(held, 0.2), can_place(held, 0.0)
    (False, True)
    """
    return state.step is ResponseStep.NONE or excess <= QUIET_EXCESS


def choose_throttle(excess, target):
    """Return the throttle that reduces an excess slowdown to a target.

    Parameters
    ----------
    excess, target : float
        Present and desired excess slowdown.

    Returns
    -------
    int
        Share of the attempts' demand in thousandths, a multiple of
        ``THROTTLE_STEP_PERMILLE``.

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
    """Return the attempt whose eviction brings the most relief for its cost.

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
    eligible = [entry for entry in candidates if entry.evictable and entry.excess > 0.0]
    return max(
        eligible, key=lambda entry: _score_eviction(entry, weights), default=None
    )


def _choose_target_step(excess, thresholds):
    if excess >= thresholds.evict:
        return ResponseStep.EVICT
    if excess >= thresholds.throttle:
        return ResponseStep.THROTTLE
    if excess >= thresholds.hold:
        return ResponseStep.HOLD
    return ResponseStep.NONE


def _get_entry_excess(step, thresholds):
    return {
        ResponseStep.NONE: 0.0,
        ResponseStep.HOLD: thresholds.hold,
        ResponseStep.THROTTLE: thresholds.throttle,
        ResponseStep.EVICT: thresholds.evict,
    }[step]


def _escalate(state, target_step, excess, thresholds, now_s, settled):
    if state.step >= ResponseStep.THROTTLE and not settled:
        return msgspec.structs.replace(state, evict=False)
    if target_step is ResponseStep.EVICT and state.step < ResponseStep.THROTTLE:
        target_step = ResponseStep.THROTTLE
    if target_step is ResponseStep.THROTTLE:
        return _throttle(state, excess, thresholds, now_s)
    return ResponseState(
        step=target_step,
        since_s=now_s,
        throttle_permille=state.throttle_permille,
        evict=target_step is ResponseStep.EVICT,
    )


def _throttle(state, excess, thresholds, now_s):
    factor = choose_throttle(excess, thresholds.hold)
    share = max(MIN_THROTTLE_PERMILLE, state.throttle_permille * factor // 1000)
    return ResponseState(
        step=ResponseStep.THROTTLE, since_s=now_s, throttle_permille=share
    )


def _deescalate(state, now_s):
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


def _score_eviction(entry, weights):
    lost = entry.lost_ms / 60_000.0
    if entry.checkpointable:
        lost = min(lost, 0.1)
    cost = weights.evictions * (1.0 + entry.evictions) + weights.throughput * lost
    return entry.excess / (0.01 + cost)
