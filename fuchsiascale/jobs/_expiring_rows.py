"""Stored rows that concern late writes, and when they may be deleted.

The load: each refused submission whose write may still come leaves a row that blocks
it, and each cancel of an unknown job one that cancels it. Callers set the rate of both.
A row is needed until no late write and no repeated request can bring the job any more.
"""

import msgspec

from fuchsiascale.ids import JobId
from fuchsiascale.jobs._ports import Expect

__all__ = ["RETENTION_S", "ExpiringRows"]

RETENTION_S = 60.0
"""Time for which a row is kept. A caller repeats a submission within 30 s, and the
store carries writes out up to some seconds late."""


class _Row(msgspec.Struct, frozen=True):
    """A version of a row, the jobs it cancels, and when this owner first saw it."""

    version: int
    jobs: tuple[JobId, ...]
    seen_s: float


class ExpiringRows:
    """Rows that are deleted after `RETENTION_S`."""

    def __init__(self):
        self._rows = {}

    def __len__(self):
        return len(self._rows)

    def note(self, row, now_s, jobs=()):
        """Note a row as stored, and the jobs whose cancellations it holds."""
        known = self._rows.get(row.place)
        if known is None or known.version < row.version:
            self._rows[row.place] = _Row(row.version, jobs, now_s)

    def forget(self, row_key):
        """Forget a row that is no longer stored, or has another use now."""
        self._rows.pop(row_key, None)

    def list_expired(self, now_s, unrecorded=()):
        """Return the rows that may be deleted, with the versions that they have.

        Parameters
        ----------
        now_s : float
            Monotonic time in seconds.
        unrecorded : container of JobId
            Jobs whose final state is not recorded. A successor could not know that
            these were cancelled without their rows.

        Returns
        -------
        list of Expect
            One condition for each row.
        """
        return [
            Expect(row_key, row.version)
            for row_key, row in self._rows.items()
            if now_s - row.seen_s >= RETENTION_S
            and not any(job in unrecorded for job in row.jobs)
        ]
