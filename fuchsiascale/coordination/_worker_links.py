"""Link of a shard's owner to one worker: claim, lease, inventory and commands."""

import msgspec

from fuchsiascale.coordination._attempts import Attempt
from fuchsiascale.coordination._credits import HeldClaim
from fuchsiascale.coordination._leases import Lease
from fuchsiascale.ids import ServiceId, WorkerId
from fuchsiascale.platform import (
    NO_TOKEN,
    AttemptKey,
    FencingToken,
    Message,
    Resources,
    Throttle,
    WorkerInventory,
)

__all__ = [
    "WorkerEntry",
    "WorkerLink",
    "accepts_work",
    "compute_committed",
    "compute_free",
    "compute_allocatable",
]


class WorkerEntry(Message):
    """A worker of the shard, from the instance list and the fleet document.

    Parameters
    ----------
    leaving : bool
        Whether its attempts must be moved to other workers.
    cordoned : bool
        Whether it gets no new work.
    """

    worker: WorkerId
    address: str
    services: tuple[ServiceId, ...] = ()
    reserve: Resources = Resources()
    leaving: bool = False
    cordoned: bool = False


class WorkerLink(msgspec.Struct):
    """One worker of a shard, as its owner sees it.

    Parameters
    ----------
    entry : WorkerEntry
        Its entry from the list and the fleet document.
    listed : bool
        Whether the list has ever contained the worker at this owner.
    absent_since_s : float or None
        Monotonic time since which the list lacks the worker, in seconds.
    highest : FencingToken
        Highest token that the worker is known to have seen.
    token : FencingToken or None
        Token of this owner's claim; None until a claim is granted.
    granted : FencingToken or None
        Token of this owner's last claim that is known to have been granted.
    pending : Message or None
        The command in flight; only one, so that inventories and starts stay in
        order.
    due_s : float
        Monotonic time of the next exchange or claim, in seconds.
    period_s : float
        Present period of the exchanges, in seconds; 0 for the longest.
    failures : int
        Consecutive calls without an answer.
    refusals : int
        Consecutive batches of starts in which the worker refused at least one.
    place_due_s : float
        Monotonic time before which it gets no starts, in seconds.
    inventory : WorkerInventory or None
        The last inventory; None before the first claim.
    inventory_s : float
        Monotonic time at which the last inventory arrived, in seconds.
    in_shard_row : bool
        Whether the shard's row names the worker, so that it may be used.
    attempts : dict
        Attempts placed here whose end is not recorded.
    dropped : dict
        Demands of attempts that were dropped with their chunk since the last
        inventory and may still run.
    previous : FencingToken or None
        Token that the worker had seen before this owner's claim, if reported.
    sent_s : float
        Monotonic time at which the pending claim or exchange was sent, in seconds.
    claimed_s : float
        Monotonic time at which the grant of the claim was received, in seconds.
    confirmed_s : float
        Monotonic time at which the last accepted command was sent, in seconds.
    evictions : dict
        Attempts to be checkpointed, as an ordered set.
    throttles : dict
        Throttles that the worker has not confirmed yet.
    """

    entry: WorkerEntry
    listed: bool = False
    absent_since_s: float | None = None
    highest: FencingToken = NO_TOKEN
    token: FencingToken | None = None
    granted: FencingToken | None = None
    pending: Message | None = None
    due_s: float = 0.0
    period_s: float = 0.0
    failures: int = 0
    refusals: int = 0
    place_due_s: float = 0.0
    inventory: WorkerInventory | None = None
    inventory_s: float = 0.0
    in_shard_row: bool = False
    lease: Lease = msgspec.field(default_factory=Lease)
    attempts: dict[AttemptKey, Attempt] = {}
    dropped: dict[AttemptKey, Resources] = {}
    previous: FencingToken | None = None
    sent_s: float = 0.0
    claimed_s: float = 0.0
    confirmed_s: float = 0.0
    evictions: dict[AttemptKey, None] = {}
    throttles: dict[AttemptKey, Throttle] = {}

    @property
    def worker(self) -> WorkerId:
        """The worker's id."""
        return self.entry.worker

    @property
    def claimed(self) -> bool:
        """Whether the worker accepts commands under this owner's token."""
        return self.token is not None

    @property
    def held_claim(self):
        """The claim on the worker, or None."""
        if self.token is None:
            return None
        return HeldClaim(
            token=self.token,
            previous=self.previous,
            claimed_s=self.claimed_s,
            confirmed_s=self.confirmed_s,
        )

    @property
    def leaving(self) -> bool:
        """Whether the worker's attempts must be moved to other workers."""
        reported = self.inventory is not None and self.inventory.leaving
        return self.entry.leaving or reported

    def list_reports(self):
        """Return the attempts of the last inventory."""
        return () if self.inventory is None else self.inventory.attempts


def accepts_work(link, now_s):
    """Return whether a worker may be sent starts now."""
    return (
        link.claimed
        and link.pending is None
        and link.inventory is not None
        and link.in_shard_row
        and link.failures == 0
        and now_s >= link.place_due_s
        and link.absent_since_s is None
        and link.lease.is_fresh(now_s)
        and not link.leaving
        and not link.entry.cordoned
    )


def compute_committed(link):
    """Return the sum of the demands that a worker holds or may hold.

    It includes all running attempts of its inventory, whether or not their chunk is
    known here, attempts that are starting or in doubt, and those dropped with their
    chunk.
    """
    reports = link.list_reports()
    demands = {report.key: report.demand for report in reports}
    for key, attempt in link.attempts.items():
        if not attempt.has_ended:
            demands.setdefault(key, attempt.report.demand)
    for key, demand in link.dropped.items():
        demands.setdefault(key, demand)
    for report in reports:
        if report.state.ended:
            del demands[report.key]
    return sum(demands.values(), start=Resources())


def compute_allocatable(link):
    """Return the resources of a worker that attempts may use in total."""
    inventory = link.inventory
    return inventory.capacity - inventory.reserved - link.entry.reserve


def compute_free(link):
    """Return the resources left for new attempts; may be negative."""
    return compute_allocatable(link) - compute_committed(link)
