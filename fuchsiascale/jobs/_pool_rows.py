"""Restores what an earlier owner stored besides jobs."""

from fuchsiascale.jobs._records import (
    EstimatesRow,
    LeasedWorkersRow,
    LedgerRow,
    decode_row,
    estimates_row_key,
    is_leased_workers_row,
    ledger_row_key,
)

__all__ = ["restore_pool_rows"]


def restore_pool_rows(owner, rows, now_s):
    """Apply the last record, the leased workers and the estimates of earlier owners.

    Parameters
    ----------
    owner : Owner
        The new owner.
    rows : iterable of StoredRow
        All rows of the service's pool.
    now_s : float
        Monotonic time in seconds.
    """
    for row in rows:
        if row.place == ledger_row_key(owner.service):
            owner.recorder.ledger_version = row.version
            owner.inherited_leases.restore_ledger(decode_row(row.value, LedgerRow))
        if is_leased_workers_row(row.place):
            _restore_leased_workers(owner, row, now_s)
        if row.place == estimates_row_key(owner.service):
            _restore_estimates(owner.shard, row)


def _restore_leased_workers(owner, row, now_s):
    leased_workers = decode_row(row.value, LeasedWorkersRow)
    if leased_workers is None:
        owner.log.error("malformed row", extra={"row": row.place.key})
        return
    for entry in owner.recorder.leased_workers.restore(row.place, leased_workers):
        worker = owner.shard.update_worker(entry.worker, now_s)
        worker.in_leased_workers = True
        owner.inherited_leases.add(entry.worker, now_s)


def _restore_estimates(shard, row):
    estimates = decode_row(row.value, EstimatesRow)
    if estimates is not None:
        shard.interference.restore(estimates.slopes)
        shard.run_times.restore(estimates.run_times)
