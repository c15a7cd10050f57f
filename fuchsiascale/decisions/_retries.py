"""Decisions on whether and when to retry a request.

References
----------
.. [1] M. Brooker, "Exponential Backoff And Jitter", AWS Architecture Blog, 2015.
"""

import msgspec

from fuchsiascale.platform import Message
from fuchsiascale.states import Outcome

__all__ = [
    "BACKOFF_BASE_MS",
    "BACKOFF_CAP_MS",
    "MAX_SENDS",
    "RETRY_RATIO",
    "RetryBudget",
    "RetryPlan",
    "draw_backoff",
    "is_retry_safe",
    "plan_retry",
    "record_request",
]

BACKOFF_BASE_MS = 10.0
BACKOFF_CAP_MS = 1_000.0
MAX_SENDS = 4
RETRY_RATIO = 0.1
MAX_TOKENS = 10.0


class RetryBudget(msgspec.Struct, frozen=True):
    """Token bucket that first sends of requests fill and retries drain.

    Parameters
    ----------
    tokens : float
        Retries that may be sent now.
    limit : float
        Capacity of the bucket.
    """

    tokens: float = 0.0
    limit: float = MAX_TOKENS


class RetryPlan(Message):
    """Decision on a retry, and the retry budget after it.

    Parameters
    ----------
    delay_ms : float
        Time to wait before the retry, in milliseconds.
    reason : str
        Reason why there is no retry; empty if there is one.
    """

    retry: bool
    budget: RetryBudget
    delay_ms: float = 0.0
    reason: str = ""


def record_request(budget, ratio=RETRY_RATIO):
    """Return the budget after the first send of a request.

    Parameters
    ----------
    budget : RetryBudget
    ratio : float
        Tokens added for each request.

    Returns
    -------
    RetryBudget

    Examples
    --------
    >>> record_request(RetryBudget(tokens=0.5)).tokens
    0.6
    """
    tokens = min(budget.limit, budget.tokens + ratio)
    return RetryBudget(tokens, budget.limit)


def is_retry_safe(idempotent, outcome):
    """Return whether a request can safely be sent again.

    Parameters
    ----------
    idempotent : bool
    outcome : Outcome
        Outcome of the last send.

    Returns
    -------
    bool

    Examples
    --------
    >>> is_retry_safe(False, Outcome.NOT_RUN), is_retry_safe(False, Outcome.UNKNOWN)
    (True, False)
    """
    if outcome is Outcome.NOT_RUN:
        return True
    return idempotent and outcome is Outcome.UNKNOWN


def draw_backoff(sends, random, base_ms=BACKOFF_BASE_MS, cap_ms=BACKOFF_CAP_MS):
    """Draw a delay by exponential backoff with full jitter [1]_.

    Parameters
    ----------
    sends : int
        Number of sends so far, at least 1.
    random : random.Random
    base_ms, cap_ms : float
        Upper bounds of the first delay and of all delays, in milliseconds.

    Returns
    -------
    float
        Milliseconds.

    Examples
    --------
    >>> from random import Random
    >>> 0.0 <= draw_backoff(3, Random(1)) <= 40.0
    True
    """
    return random.random() * min(cap_ms, base_ms * 2 ** (sends - 1))


def plan_retry(budget, random, *, idempotent, outcome, sends, left_ms, needed_ms=0.0):
    """Decide whether and when to send a request again.

    Parameters
    ----------
    budget : RetryBudget
    random : random.Random
    idempotent : bool
    outcome : Outcome
        Outcome of the last send.
    sends : int
        Number of sends so far.
    left_ms : float
        Time left until the caller's deadline, in milliseconds.
    needed_ms : float
        Typical duration of a send, in milliseconds.

    Returns
    -------
    RetryPlan

    Examples
    --------
    >>> from random import Random
    >>> plan = plan_retry(
    ...     RetryBudget(tokens=1.0),
    ...     Random(1),
    ...     idempotent=False,
    ...     outcome=Outcome.NOT_RUN,
    ...     sends=1,
    ...     left_ms=500.0,
    ... )
    >>> plan.retry, plan.budget.tokens
    (True, 0.0)
    """
    if not is_retry_safe(idempotent, outcome):
        return RetryPlan(retry=False, budget=budget, reason="not safe to repeat")
    if sends >= MAX_SENDS:
        return RetryPlan(retry=False, budget=budget, reason="sent too often")
    if budget.tokens < 1.0:
        return RetryPlan(retry=False, budget=budget, reason="retry budget spent")
    delay_ms = draw_backoff(sends, random)
    if delay_ms + needed_ms >= left_ms:
        return RetryPlan(retry=False, budget=budget, reason="deadline too near")
    spent = RetryBudget(budget.tokens - 1.0, budget.limit)
    return RetryPlan(retry=True, budget=spent, delay_ms=delay_ms)
