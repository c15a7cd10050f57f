"""Divides the leased workers of a service into rows of bounded size."""

import msgspec

from fuchsiascale.ids import WorkerId
from fuchsiascale.jobs._records import (
    LeasedWorkersEntry,
    LeasedWorkersRow,
    encode_row,
    leased_workers_row_key,
)

__all__ = ["LeasedWorkersRows", "LeasedWorkersUpdate"]

ROW_TARGET_BYTES = 16_384
"""Size up to which a row is filled. A change to one worker rewrites its row only."""
ROW_OVERHEAD_BYTES = 64
"""Upper bound of the size of a row without entries."""


class LeasedWorkersUpdate(msgspec.Struct, frozen=True, kw_only=True):
    """A row of leased workers to write, or to remove if it has no entries."""

    number: int
    entries: dict[WorkerId, LeasedWorkersEntry]

    def encode(self) -> bytes | None:
        """Return the encoded value of the row; None if it is to be removed."""
        if not self.entries:
            return None
        return encode_row(LeasedWorkersRow(workers=tuple(self.entries.values())))


class LeasedWorkersRows:
    """Assignment of an owner's leased workers to stored rows.

    A worker keeps its row until it retires. New workers fill the rows that have room.

    Parameters
    ----------
    service : str
        The service.
    max_row_bytes : int
        Largest value that the store accepts for a row, in bytes.
    """

    def __init__(self, service, max_row_bytes):
        self._service = service
        self._row_bytes = min(ROW_TARGET_BYTES, max_row_bytes)
        self._stored = {}

    @property
    def worker_ids(self):
        """Return the ids of all stored workers."""
        return frozenset().union(*self._stored.values())

    def restore(self, row_key, row):
        """Note a row that was read from the store, and return its workers' entries."""
        number = self._parse_number(row_key)
        self._stored[number] = {entry.worker.worker: entry for entry in row.workers}
        return row.workers

    def _parse_number(self, row_key):
        first = leased_workers_row_key(self._service).key
        suffix = row_key.key.removeprefix(first).removeprefix("-")
        return int(suffix) if suffix else 0

    def plan_updates(self, workers):
        """Return the rows to write so that they hold exactly the given workers.

        Parameters
        ----------
        workers : list of WorkerRun
            The workers that may run attempts. The entries of those that are not
            marked as stored are written anew, since they may have changed.

        Returns
        -------
        updates : list of LeasedWorkersUpdate
            The rows that change.
        too_large : list of WorkerRun
            Workers whose entry exceeds the size of a row.
        """
        kept = {each.worker for each in workers if each.in_leased_workers}
        rows, changed = {}, set()
        for number, entries in self._stored.items():
            rows[number] = {each: entries[each] for each in entries if each in kept}
            if len(rows[number]) < len(entries):
                changed.add(number)
        stored = self.worker_ids & kept
        added = [each for each in workers if each.worker not in stored]
        too_large = self._assign(added, rows, changed)
        updates = [
            LeasedWorkersUpdate(number=number, entries=rows[number])
            for number in sorted(changed)
        ]
        return updates, too_large

    def _assign(self, added, rows, changed):
        """Assign new workers to rows with room; return those that fit in no row."""
        sizes = {number: _measure_row(entries) for number, entries in rows.items()}
        too_large, number = [], 0
        for worker in added:
            entry = LeasedWorkersEntry(worker=worker.listed)
            size = _measure_entry(entry)
            if size + ROW_OVERHEAD_BYTES > self._row_bytes:
                too_large.append(worker)
                continue
            while sizes.get(number, ROW_OVERHEAD_BYTES) + size > self._row_bytes:
                number += 1
            rows.setdefault(number, {})[worker.worker] = entry
            sizes[number] = sizes.get(number, ROW_OVERHEAD_BYTES) + size
            changed.add(number)
        return too_large

    def note_written(self, update):
        """Note that an update is stored."""
        if update.entries:
            self._stored[update.number] = update.entries
        else:
            self._stored.pop(update.number, None)


def _measure_row(entries):
    return ROW_OVERHEAD_BYTES + sum(map(_measure_entry, entries.values()))


def _measure_entry(entry):
    """Return the encoded size of an entry and its separator."""
    return len(encode_row(entry)) + 1
