"""Until when workers may run what earlier owners of a service started there."""

import math

from fuchsiascale.jobs._ownership_evidence import STORE_SILENCE_LIMIT_S

__all__ = ["InheritedLeases"]

LEASE_DRIFT_FACTOR = 1.03
"""Longest duration of a lease by the owner's clock, as a multiple of its length: clocks
of workers are up to 2% slow."""
LEASE_MARGIN_S = 0.3
"""Added to that duration for the network latency of the last grant."""


class InheritedLeases:
    """Bounds on the leases that earlier owners granted to a shard's workers.

    A worker that has restarted takes the end of a lease on the clock before for a time
    far away, and shortens it to the longest lease only. A successor that doesn't reach
    it can't know of that, so it reckons with the longest lease of any worker.

    Parameters
    ----------
    shard : Shard
        Its ``unconfirmed_workers`` hold the time at which each lease has expired.
    longest_lease_s : float
        Longest lease that a worker takes.

    Attributes
    ----------
    is_chain_settled : bool
        Whether no owner before the previous one can grant a lease any more.
    """

    def __init__(self, shard, longest_lease_s):
        self._shard = shard
        self._longest_lease_s = longest_lease_s
        self.is_chain_settled = False
        self._predecessor_stopped_s = math.inf
        self._all_stopped_s = math.inf

    def restore_ledger(self, ledger):
        """Apply the last record of an earlier owner, which may be None."""
        self.is_chain_settled = (
            ledger is not None
            and ledger.settled
            and ledger.token == self._shard.token - 1
        )

    def add(self, worker_id, now_s):
        """Add a worker that an earlier owner may have used."""
        until_s = self._compute_end(now_s + STORE_SILENCE_LIMIT_S)
        self._shard.unconfirmed_workers[worker_id] = until_s

    def mark_stopped(self, stopped_s, includes_earlier_owners=False):
        """Note from when on the previous owner grants no leases.

        An owner before it may still grant some unless the previous one had settled
        that, or the time is known to hold for it too.
        """
        if includes_earlier_owners:
            self._all_stopped_s = min(self._all_stopped_s, stopped_s)
        else:
            self._predecessor_stopped_s = min(self._predecessor_stopped_s, stopped_s)
        self.limit()

    def limit(self):
        """Shorten the wait for workers by what is known of earlier owners."""
        stopped_s = self._all_stopped_s
        if self.is_chain_settled:
            stopped_s = min(stopped_s, self._predecessor_stopped_s)
        until_s = self._compute_end(stopped_s)
        unconfirmed = self._shard.unconfirmed_workers
        for worker_id, before_s in unconfirmed.items():
            unconfirmed[worker_id] = min(before_s, until_s)

    def _compute_end(self, stopped_s):
        """Return when all leases of owners that stopped by then have expired."""
        return stopped_s + self._longest_lease_s * LEASE_DRIFT_FACTOR + LEASE_MARGIN_S
