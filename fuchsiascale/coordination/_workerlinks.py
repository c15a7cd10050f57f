"""What a shard's owner knows of one worker, and its dealings with it."""

import msgspec

from fuchsiascale.coordination._attempts import Attempt
from fuchsiascale.coordination._credits import Tenure
from fuchsiascale.coordination._leases import Lease
from fuchsiascale.ids import ServiceId, WorkerId
from fuchsiascale.platform import (
    NO_TOKEN,
    AttemptKey,
    FencingToken,
    Message,
    Resources,
    WorkerInventory,
)

__all__ = ["WorkerLink", "compute_committed", "compute_free"]


class WorkerLink(msgspec.Struct):
    """One worker of a shard, as its owner sees it.

    Parameters
    ----------
    highest : FencingToken
        Highest token that the worker is known to have seen.
    token : FencingToken or None
        Token of the own claim; None until a claim is granted.
    pending : Message or None
        The one command in flight, so that inventories and starts keep order.
    due_s : float
        Monotonic time of the next exchange or claim, in seconds.
    failures : int
        Calls in a row that got no answer.
    absent_since_s : float or None
        Since when the instance list lacks the worker.
    attempts : dict
        Attempts placed here whose end is not recorded.
    previous : FencingToken or None
        Token that the worker had seen before the own claim, where it said so.
    claimed_s : float
        Monotonic time at which the claim's grant was received, in seconds.
    confirmed_s : float
        Monotonic time at which the last accepted command was sent, in seconds.
    """

    worker: WorkerId
    address: str
    services: tuple[ServiceId, ...] = ()
    reserve: Resources = Resources()
    leaving: bool = False
    highest: FencingToken = NO_TOKEN
    token: FencingToken | None = None
    pending: Message | None = None
    due_s: float = 0.0
    failures: int = 0
    absent_since_s: float | None = None
    inventory: WorkerInventory | None = None
    lease: Lease = msgspec.field(default_factory=Lease)
    attempts: dict[AttemptKey, Attempt] = {}
    previous: FencingToken | None = None
    claimed_s: float = 0.0
    confirmed_s: float = 0.0

    @property
    def claimed(self):
        """Whether the worker takes commands under the own token."""
        return self.token is not None

    @property
    def tenure(self):
        """The hold on the worker, or None."""
        if self.token is None:
            return None
        return Tenure(
            token=self.token,
            previous=self.previous,
            claimed_s=self.claimed_s,
            confirmed_s=self.confirmed_s,
        )

    def list_reports(self):
        """Return the attempts of the last inventory."""
        return () if self.inventory is None else self.inventory.attempts


def compute_committed(link):
    """Return the sum of demands that a worker holds or may hold.

    Running attempts of its inventory count, known here or not, and attempts
    that are being started or in doubt.
    """
    demands = {
        report.key: report.demand
        for report in link.list_reports()
        if not report.state.ended
    }
    ended = {report.key for report in link.list_reports() if report.state.ended}
    for key, attempt in link.attempts.items():
        if key not in ended and not attempt.over:
            demands.setdefault(key, attempt.report.demand)
    return sum(demands.values(), start=Resources())


def compute_free(link):
    """Return what a worker has left for new attempts; may be negative."""
    inventory = link.inventory
    reserved = inventory.reserved + link.reserve
    return inventory.capacity - reserved - compute_committed(link)
