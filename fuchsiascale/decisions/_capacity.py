"""Demand estimates of tasks, shares and quotas of teams, and budgets of links.

Notes
-----
The demand committed for a task is estimated from the measured use of earlier
attempts of its job or kind. Until there are enough measurements, it is the larger of
declared and measured use. Processor time is estimated from the mean and the deviation,
since an attempt that needs more can be throttled. Memory is estimated from the largest
use observed, since an attempt that runs out of memory is killed.
"""

import msgspec

from fuchsiascale.ids import TeamId
from fuchsiascale.platform import Message, Resources
from fuchsiascale.states import Urgency

__all__ = [
    "DEMAND_POLICIES",
    "LINK_BURST_S",
    "LINK_RESERVES",
    "LinkBudget",
    "TeamUsage",
    "UsageEstimate",
    "charge_link",
    "choose_team",
    "estimate_demand",
    "measure_dominant_share",
    "observe_usage",
    "refill_link",
    "register_demand",
    "spend_link",
    "is_within_quota",
]

MIN_USAGE_SAMPLES = 5
USAGE_GAIN = 0.1
DEVIATIONS = 2.0
MEMORY_MARGIN = 1.2
SATURATED_FRACTION = 0.95
SATURATED_GROWTH = 1.5
SATURATED_GAIN = 0.2
MIN_MILLICORES = 50
MIN_MEMORY_MB = 16
LINK_BURST_S = 1.0
LINK_RESERVES = {Urgency.URGENT: 0.0, Urgency.NORMAL: 0.25, Urgency.BATCH: 0.5}

DEMAND_POLICIES = {}


class UsageEstimate(msgspec.Struct, frozen=True):
    """Measured use of the attempts of a job or kind.

    Parameters
    ----------
    millicores, deviation : float
        Moving mean and mean deviation of processor time, in thousandths of a
        core.
    memory_mb : float
        Largest memory use observed, in megabytes.
    saturated : float
        Moving fraction of measurements with processor time at its limit.
    memory_at_limit : bool
        Whether the largest memory use was at its limit, so that more may be needed.
    samples : int
    """

    millicores: float = 0.0
    deviation: float = 0.0
    memory_mb: float = 0.0
    saturated: float = 0.0
    memory_at_limit: bool = False
    samples: int = 0


class TeamUsage(Message):
    """Resources committed for a team, and its weight."""

    team: TeamId
    committed: Resources = Resources()
    weight: float = 1.0


class LinkBudget(msgspec.Struct, frozen=True):
    """Token bucket of the bytes that may cross a region link.

    Parameters
    ----------
    bytes_per_s : float
        Fill rate of the bucket.
    tokens : float
        Bytes that may be sent now; negative if `charge_link` overdrew the budget.
    at_s : float
        Monotonic time of the last refill, in seconds.
    """

    bytes_per_s: float
    tokens: float = 0.0
    at_s: float = 0.0


def observe_usage(estimate, committed, used):
    """Return the estimate updated with one measurement of a running attempt.

    Parameters
    ----------
    estimate : UsageEstimate
    committed : Resources
        Limits that the worker enforces on the attempt.
    used : Resources

    Returns
    -------
    UsageEstimate

    Examples
    --------
    >>> used = Resources(millicores=500, memory_mb=100)
    >>> observe_usage(UsageEstimate(), Resources(millicores=2000), used).millicores
    500.0
    """
    if estimate.samples == 0:
        millicores, deviation = float(used.millicores), used.millicores * 0.25
    else:
        error = used.millicores - estimate.millicores
        millicores = estimate.millicores + USAGE_GAIN * error
        deviation = estimate.deviation
        deviation += USAGE_GAIN * (abs(error) - estimate.deviation)
    return UsageEstimate(
        millicores=millicores,
        deviation=deviation,
        memory_mb=max(used.memory_mb, estimate.memory_mb),
        memory_at_limit=_is_memory_at_limit(estimate, committed, used),
        saturated=_update_saturated(estimate.saturated, committed, used),
        samples=estimate.samples + 1,
    )


def register_demand(name):
    """Register a demand estimation policy under a name.

    Parameters
    ----------
    name : str

    Returns
    -------
    callable
        Decorator of a function ``(declared, estimate) -> Resources``.
    """

    def register(function):
        DEMAND_POLICIES[name] = function
        return function

    return register


def estimate_demand(declared, estimate, policy="measured"):
    """Return the demand to commit for a task.

    Parameters
    ----------
    declared : Resources
    estimate : UsageEstimate or None
        Measured use of earlier attempts of its job or kind.
    policy : str
        Name of a registered policy.

    Returns
    -------
    Resources

    Examples
    --------
    >>> declared = Resources(millicores=4000, memory_mb=4000)
    >>> estimate_demand(declared, None) == declared
    True
    """
    return DEMAND_POLICIES[policy](declared, estimate or UsageEstimate())


@register_demand("declared")
def use_declared_demand(declared, estimate):
    """Return the declared demand."""
    return declared


@register_demand("larger")
def use_larger_demand(declared, estimate):
    """Return the larger of declared and measured use for each resource."""
    measured = _estimate_use(estimate)
    return Resources(
        millicores=max(declared.millicores, measured.millicores),
        memory_mb=max(declared.memory_mb, measured.memory_mb),
        accelerators=declared.accelerators,
    )


@register_demand("measured")
def use_measured_demand(declared, estimate):
    """Return the measured use once there are enough samples."""
    if estimate.samples < MIN_USAGE_SAMPLES:
        return use_larger_demand(declared, estimate)
    measured = _estimate_use(estimate)
    return Resources(
        millicores=max(MIN_MILLICORES, measured.millicores),
        memory_mb=max(MIN_MEMORY_MB, measured.memory_mb),
        accelerators=declared.accelerators,
    )


def measure_dominant_share(committed, capacity):
    """Return the largest committed fraction of any of the three resources.

    Examples
    --------
    >>> committed = Resources(millicores=100, memory_mb=600)
    >>> measure_dominant_share(committed, Resources(millicores=1000, memory_mb=1000))
    0.6
    """
    return max(
        committed.millicores / max(1, capacity.millicores),
        committed.memory_mb / max(1, capacity.memory_mb),
        committed.accelerators / max(1, capacity.accelerators),
    )


def choose_team(usages, capacity):
    """Return the team with the least weighted dominant share.

    Parameters
    ----------
    usages : iterable of TeamUsage
        Teams with a waiting task.
    capacity : Resources

    Returns
    -------
    TeamUsage or None

    Notes
    -----
    This is dominant resource fairness (A. Ghodsi et al., NSDI 2011).

    Examples
    --------
    >>> first = TeamUsage(team="a", committed=Resources(millicores=500))
    >>> second = TeamUsage(team="b", committed=Resources(millicores=800), weight=2.0)
    >>> choose_team((first, second), Resources(millicores=1000)).team
    'b'
    """
    return min(
        usages,
        key=lambda usage: (
            measure_dominant_share(usage.committed, capacity) / usage.weight,
            usage.team,
        ),
        default=None,
    )


def is_within_quota(committed, demand, quota):
    """Return whether a further demand fits a team's quota.

    Parameters
    ----------
    committed, demand : Resources
    quota : Resources or None
        None for no quota.

    Returns
    -------
    bool

    Examples
    --------
    >>> quota = Resources(millicores=1000)
    >>> is_within_quota(Resources(millicores=600), Resources(millicores=500), quota)
    False
    """
    return quota is None or (committed + demand).fits(quota)


def refill_link(budget, now_s):
    """Return the budget refilled for the time since its last refill.

    Parameters
    ----------
    budget : LinkBudget
    now_s : float
        Monotonic time, in seconds.

    Returns
    -------
    LinkBudget

    Examples
    --------
    >>> refill_link(LinkBudget(1000.0, 0.0, 0.0), 0.5).tokens
    500.0
    """
    elapsed_s = max(0.0, now_s - budget.at_s)
    limit = budget.bytes_per_s * LINK_BURST_S
    tokens = min(limit, budget.tokens + elapsed_s * budget.bytes_per_s)
    return LinkBudget(budget.bytes_per_s, tokens, max(now_s, budget.at_s))


def spend_link(budget, size_bytes, reserve_fraction=0.0):
    """Return the budget after taking bytes out of it, or None if too few are left.

    Parameters
    ----------
    budget : LinkBudget
        Refilled up to now.
    size_bytes : float
        Bytes of the request and its expected answer.
    reserve_fraction : float
        Fraction of the bucket reserved for more urgent traffic.

    Returns
    -------
    LinkBudget or None

    Examples
    --------
    >>> spend_link(LinkBudget(1000.0, 600.0, 0.0), 500).tokens
    100.0
    >>> spend_link(LinkBudget(1000.0, 600.0, 0.0), 500, reserve_fraction=0.5) is None
    True
    """
    reserve = reserve_fraction * budget.bytes_per_s * LINK_BURST_S
    if budget.tokens - size_bytes < reserve:
        return None
    return LinkBudget(budget.bytes_per_s, budget.tokens - size_bytes, budget.at_s)


def _is_memory_at_limit(estimate, committed, used):
    if used.memory_mb >= SATURATED_FRACTION * committed.memory_mb > 0.0:
        return used.memory_mb >= estimate.memory_mb or estimate.memory_at_limit
    had_room = committed.memory_mb >= MEMORY_MARGIN * estimate.memory_mb
    return estimate.memory_at_limit and not had_room


def charge_link(budget, size_bytes):
    """Return the budget after deducting bytes that have already been sent.

    Parameters
    ----------
    budget : LinkBudget
    size_bytes : float
        Bytes sent. Since an answer may be longer than expected, the budget may fall
        below zero.

    Returns
    -------
    LinkBudget

    Examples
    --------
    >>> charge_link(LinkBudget(1000.0, 600.0, 0.0), 700).tokens
    -100.0
    """
    return LinkBudget(budget.bytes_per_s, budget.tokens - size_bytes, budget.at_s)


def _update_saturated(saturated, committed, used):
    limit = SATURATED_FRACTION * committed.millicores
    at_limit = 1.0 if 0.0 < limit <= used.millicores else 0.0
    return saturated + SATURATED_GAIN * (at_limit - saturated)


def _estimate_use(estimate):
    millicores = estimate.millicores + DEVIATIONS * estimate.deviation
    growth = 1.0 + (SATURATED_GROWTH - 1.0) * estimate.saturated
    memory_mb = estimate.memory_mb * MEMORY_MARGIN
    if estimate.memory_at_limit:
        memory_mb *= SATURATED_GROWTH
    return Resources(millicores=int(millicores * growth), memory_mb=int(memory_mb))
