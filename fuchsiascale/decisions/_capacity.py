"""What tasks are taken to need, what teams may take, and what links may carry.

Notes
-----
The demand committed for a task is taken from the use measured of earlier
attempts of its job or kind once there are enough of them, and is the larger of
declared and measured use before. Processor time is bounded by mean and
deviation, since a guard can hold it back; memory by the largest use seen, since
a lack of it kills.
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
    """Use measured of a job's or kind's attempts.

    Parameters
    ----------
    millicores, deviation : float
        Moving mean and mean deviation of processor time, in thousandths of a
        core.
    memory_mb : float
        Largest use of late, in megabytes.
    saturated : float
        Part of the attempts of late that were held at their limit.
    memory_at_limit : bool
        Whether the largest use was at the limit, so that more may be needed.
    samples : int
    """

    millicores: float = 0.0
    deviation: float = 0.0
    memory_mb: float = 0.0
    saturated: float = 0.0
    memory_at_limit: bool = False
    samples: int = 0


class TeamUsage(Message):
    """What a team has committed, and its weight."""

    team: TeamId
    committed: Resources = Resources()
    weight: float = 1.0


class LinkBudget(msgspec.Struct, frozen=True):
    """Token bucket of the bytes that may cross a region link.

    Parameters
    ----------
    bytes_per_s : float
        Rate that the bucket fills at.
    tokens : float
        Bytes that may be sent now.
    at_s : float
        Monotonic time of the last refill, in seconds.
    """

    bytes_per_s: float
    tokens: float = 0.0
    at_s: float = 0.0


def observe_usage(estimate, committed, used):
    """Return the estimate after one more measurement of a running attempt.

    Parameters
    ----------
    estimate : UsageEstimate
    committed : Resources
        What the worker holds the attempt to.
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
        memory_at_limit=_find_memory_held(estimate, committed, used),
        saturated=_update_saturated(estimate.saturated, committed, used),
        samples=estimate.samples + 1,
    )


def register_demand(name):
    """Register a policy of demand estimation under a name.

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
    """Return what to commit for a task.

    Parameters
    ----------
    declared : Resources
    estimate : UsageEstimate or None
        Use measured of earlier attempts of its job or kind.
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
    """Take the declared demand."""
    return declared


@register_demand("larger")
def use_larger_demand(declared, estimate):
    """Take the larger of declared and measured, resource by resource."""
    measured = _bound_use(estimate)
    return Resources(
        millicores=max(declared.millicores, measured.millicores),
        memory_mb=max(declared.memory_mb, measured.memory_mb),
        accelerators=declared.accelerators,
    )


@register_demand("measured")
def use_measured_demand(declared, estimate):
    """Take the measured use once there is enough of it."""
    if estimate.samples < MIN_USAGE_SAMPLES:
        return use_larger_demand(declared, estimate)
    measured = _bound_use(estimate)
    return Resources(
        millicores=max(MIN_MILLICORES, measured.millicores),
        memory_mb=max(MIN_MEMORY_MB, measured.memory_mb),
        accelerators=declared.accelerators,
    )


def measure_dominant_share(committed, capacity):
    """Return the largest part that is committed of any of the three resources.

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
    """Return the team whose task is next: the least weighted dominant share.

    Parameters
    ----------
    usages : iterable of TeamUsage
        Teams that have a task waiting.
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
    """Return whether a team may commit a demand more.

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
    """Return the budget with the bytes of the time that has passed.

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
    passed_s = max(0.0, now_s - budget.at_s)
    limit = budget.bytes_per_s * LINK_BURST_S
    tokens = min(limit, budget.tokens + passed_s * budget.bytes_per_s)
    return LinkBudget(budget.bytes_per_s, tokens, max(now_s, budget.at_s))


def spend_link(budget, size_bytes, reserve_fraction=0.0):
    """Take bytes out of a budget; None where they are not to be had.

    Parameters
    ----------
    budget : LinkBudget
        Refilled up to now.
    size_bytes : float
        Bytes of request and expected answer.
    reserve_fraction : float
        Part of the bucket left for more urgent traffic.

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


def _find_memory_held(estimate, committed, used):
    if used.memory_mb >= SATURATED_FRACTION * committed.memory_mb > 0.0:
        return used.memory_mb >= estimate.memory_mb or estimate.memory_at_limit
    had_room = committed.memory_mb >= MEMORY_MARGIN * estimate.memory_mb
    return estimate.memory_at_limit and not had_room


def charge_link(budget, size_bytes):
    """Take bytes that have crossed already out of a budget.

    Parameters
    ----------
    budget : LinkBudget
    size_bytes : float
        What an answer was longer than expected; the bucket may fall below zero.

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
    held = 1.0 if 0.0 < limit <= used.millicores else 0.0
    return saturated + SATURATED_GAIN * (held - saturated)


def _bound_use(estimate):
    millicores = estimate.millicores + DEVIATIONS * estimate.deviation
    growth = 1.0 + (SATURATED_GROWTH - 1.0) * estimate.saturated
    memory_mb = estimate.memory_mb * MEMORY_MARGIN
    if estimate.memory_at_limit:
        memory_mb *= SATURATED_GROWTH
    return Resources(millicores=int(millicores * growth), memory_mb=int(memory_mb))
