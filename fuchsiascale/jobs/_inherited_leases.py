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
    far away, and shortens it to the longest lease only. The list of workers shows that
    it has, unless its entry has lapsed meanwhile.

    Parameters
    ----------
    shard : Shard
        Its ``unconfirmed_workers`` hold the time at which each lease has expired.
    lease_s : float
        Length of the leases that owners grant.
    longest_lease_s : float
        Longest lease that a worker takes.
    entry_lapse_s : float, optional
        See `OwnerLimits`.

    Attributes
    ----------
    is_chain_settled : bool
        Whether no owner before the previous one can grant a lease any more.
    """

    def __init__(self, shard, lease_s, longest_lease_s, entry_lapse_s=0.0):
        self._shard = shard
        self._usual_s = _measure_expiry_s(lease_s)
        self._longest_s = _measure_expiry_s(longest_lease_s)
        self._entry_lapse_s = entry_lapse_s
        self.is_chain_settled = False
        self._predecessor_stopped_s = math.inf
        self._all_stopped_s = math.inf
        self._added = {}
        self._listed_s = None
        self._restarted = set()

    def restore_ledger(self, ledger):
        """Apply the last record of an earlier owner, which may be None."""
        self.is_chain_settled = (
            ledger is not None
            and ledger.settled
            and ledger.token == self._shard.token - 1
        )

    def add(self, listed, now_s):
        """Add a worker that an earlier owner may have used, with its stored entry."""
        self._added[listed.worker] = (listed.incarnation, now_s)
        until_s = now_s + STORE_SILENCE_LIMIT_S + self._longest_s
        self._shard.unconfirmed_workers[listed.worker] = until_s

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

    def note_list(self, now_s):
        """Note that the workers' entries are those of the platform's list."""
        if self._listed_s is None:
            self._listed_s = now_s
        self.limit()

    def limit(self):
        """Bound the wait for workers by what is known of them and of earlier owners.

        Workers that have answered are waited for as long as they have ends to list.
        """
        unconfirmed = self._shard.unconfirmed_workers
        for worker_id, before_s in unconfirmed.items():
            worker = self._shard.workers.get(worker_id)
            if worker is not None and worker.claimed:
                continue
            until_s = self._compute_end(worker_id)
            if self._has_restarted(worker_id) and worker_id not in self._restarted:
                # The wait was shorter while the list showed the incarnation before.
                self._restarted.add(worker_id)
                unconfirmed[worker_id] = until_s
            else:
                unconfirmed[worker_id] = min(before_s, until_s)

    def _has_restarted(self, worker_id):
        """Return whether the list shows another incarnation than the stored entry."""
        worker = self._shard.workers.get(worker_id)
        if worker is None or worker_id not in self._added:
            return False
        return worker.listed.incarnation != self._added[worker_id][0]

    def _compute_end(self, worker_id):
        """Return when all leases that earlier owners granted a worker have expired."""
        stopped_s = self._all_stopped_s
        if self.is_chain_settled:
            stopped_s = min(stopped_s, self._predecessor_stopped_s)
        if worker_id in self._added:
            _, added_s = self._added[worker_id]
            stopped_s = min(stopped_s, added_s + STORE_SILENCE_LIMIT_S)
        worker = self._shard.workers.get(worker_id)
        longest_s = stopped_s + self._longest_s
        is_unknown = self._listed_s is None or worker is None
        if is_unknown or self._has_restarted(worker_id):
            return longest_s
        if worker.is_listed:
            return stopped_s + self._usual_s
        # It may have restarted before it was cut off; its entry lapsed after that.
        lapsed_s = self._listed_s - self._entry_lapse_s + self._longest_s
        return min(longest_s, max(stopped_s + self._usual_s, lapsed_s))


def _measure_expiry_s(lease_s):
    """Return the time from a grant until the lease has expired on any worker."""
    return lease_s * LEASE_DRIFT_FACTOR + LEASE_MARGIN_S
