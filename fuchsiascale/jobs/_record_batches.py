"""Groups the changes of a record into transactions within the store's limits."""

import msgspec

from fuchsiascale.jobs._leased_workers import LeasedWorkersUpdate
from fuchsiascale.jobs._model import JobState
from fuchsiascale.jobs._ports import Change
from fuchsiascale.jobs._records import EstimatesRow, encode_row
from fuchsiascale.jobs._run_state import JobRun

__all__ = ["RecordItem", "batch_items", "limit_estimates"]


class RecordItem(msgspec.Struct, frozen=True, kw_only=True):
    """Changes to write in the same transaction: those of a job, or of a worker row.

    ``final_state`` is None for a job that the changes do not end. ``ends`` are those
    of the job that the changes cover; see `JobRun`.
    """

    changes: tuple[Change, ...]
    job: JobRun | None = None
    ends: dict = {}
    final_state: JobState | None = None
    leased: LeasedWorkersUpdate | None = None

    @property
    def size(self) -> int:
        """Return the size of the values, in bytes."""
        return sum(len(change.value or b"") for change in self.changes)


def batch_items(items, max_rows, max_bytes):
    """Divide items into batches, in order, each within the limits if it can be.

    Parameters
    ----------
    items : iterable of RecordItem
        The items; one that exceeds a limit by itself forms a batch of its own.
    max_rows : int
        Largest number of changes in a batch.
    max_bytes : int
        Largest size of the values in a batch, in bytes.

    Returns
    -------
    list of list of RecordItem
        The batches.
    """
    batches, rows, size = [], 0, 0
    for item in items:
        rows += len(item.changes)
        size += item.size
        if not batches or rows > max_rows or size > max_bytes:
            batches.append([])
            rows, size = len(item.changes), item.size
        batches[-1].append(item)
    return batches


def limit_estimates(row, max_bytes):
    """Return estimates that fit in a row: the most recent images and queues."""
    slopes, run_times = dict(row.slopes), dict(row.run_times)
    while (slopes or run_times) and len(encode_row(row)) > max_bytes:
        for estimates in (slopes, run_times):
            for key in list(estimates)[: (len(estimates) + 3) // 4]:
                del estimates[key]
        row = EstimatesRow(slopes=slopes, run_times=run_times)
    return row
