"""Cancelled jobs that an owner doesn't know, as they may still arrive."""

from fuchsiascale.jobs._expiring_rows import RETENTION_S

__all__ = ["PendingCancels"]


class PendingCancels:
    """Cancellations that wait for their jobs, as long as their rows are stored."""

    def __init__(self):
        self._seen_s = {}

    def __contains__(self, job):
        return job in self._seen_s

    def __len__(self):
        return len(self._seen_s)

    def add(self, job, now_s):
        """Add a cancelled job, or keep it for longer."""
        # The jobs are ordered by the time at which they were last seen.
        self._seen_s.pop(job, None)
        self._seen_s[job] = now_s

    def expire(self, now_s):
        """Drop the jobs that were cancelled too long ago to be still submitted."""
        expired = []
        for job, seen_s in self._seen_s.items():
            if now_s - seen_s < RETENTION_S:
                break
            expired.append(job)
        for job in expired:
            del self._seen_s[job]
