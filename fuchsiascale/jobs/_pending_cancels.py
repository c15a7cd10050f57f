"""Cancellations that an owner knows of before their jobs, and when these are dropped.

The load: a caller that leaves before the answer cancels its job while the submission
is still on its way to the store, and any caller may cancel ids that nobody submits.
Each id is kept until no late write and no repeated request can bring its job any more.
"""

import msgspec

from fuchsiascale.ids import JobId
from fuchsiascale.jobs._ports import Expect

__all__ = ["RETENTION_S", "PendingCancels"]

RETENTION_S = 60.0
"""Time for which a cancellation waits for its job. A caller repeats a submission within
30 s, and the store carries writes out up to some seconds late."""


class _Row(msgspec.Struct, frozen=True):
    """A stored row of early cancellations, and when this owner first saw it."""

    version: int
    jobs: tuple[JobId, ...]
    seen_s: float


class PendingCancels:
    """Cancelled jobs that an owner doesn't know, and the rows that hold them."""

    def __init__(self):
        self._seen_s = {}
        self._rows = {}

    def __contains__(self, job):
        return job in self._seen_s

    def __len__(self):
        return len(self._seen_s)

    def add(self, job, now_s):
        """Add a cancelled job, or keep it for longer."""
        # The jobs are ordered by the time at which they were last seen.
        self._seen_s.pop(job, None)
        self._seen_s[job] = now_s

    def note_row(self, row_key, version, jobs, now_s):
        """Note a stored row of early cancellations."""
        if row_key not in self._rows:
            self._rows[row_key] = _Row(version, jobs, now_s)

    def forget_row(self, row_key):
        """Forget a row that is no longer stored."""
        self._rows.pop(row_key, None)

    def expire(self, now_s):
        """Drop the jobs that were cancelled too long ago to be still submitted."""
        expired = []
        for job, seen_s in self._seen_s.items():
            if now_s - seen_s < RETENTION_S:
                break
            expired.append(job)
        for job in expired:
            del self._seen_s[job]

    def list_expired_rows(self, now_s, unrecorded):
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

    def count_rows(self):
        """Return the number of stored rows."""
        return len(self._rows)
