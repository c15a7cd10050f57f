"""What the store holds under a job's id, and the write that adds a job to it.

A queue may move to another service while its jobs run. A job stays with the service
that accepted it, so its rows may lie in the partition of any service.
"""

import msgspec

from fuchsiascale.jobs._group_commit import PendingWrite
from fuchsiascale.jobs._ports import Change, Expect
from fuchsiascale.jobs._records import (
    ACCEPTED,
    FINISHED,
    AcceptedRow,
    decode_row,
    encode_row,
    job_row_key,
)

__all__ = ["StoredJob", "inspect_job_rows", "make_submission"]


class StoredJob(msgspec.Struct, frozen=True, kw_only=True):
    """What the store holds under a job's id.

    Parameters
    ----------
    service : str or None
        The service that accepted the job; None if no row shows one.
    row : AcceptedRow or None
        Row of the job; None if it has ended.
    withdrawn_versions : dict
        By service, versions of the rows that block a late write of a refused
        submission.
    """

    service: str | None = None
    row: AcceptedRow | None = None
    withdrawn_versions: dict[str, int] = {}

    @property
    def known(self) -> bool:
        """Return whether the job has been accepted."""
        return self.service is not None


def inspect_job_rows(job, rows):
    """Return what rows show of a job; rows of other jobs and owners are skipped."""
    withdrawn_versions = {}
    for row in rows:
        service = row.place.partition
        if row.place == job_row_key(FINISHED, service, job) and row.version:
            return StoredJob(service=service)
        if row.place == job_row_key(ACCEPTED, service, job) and row.version:
            accepted = decode_row(row.value, AcceptedRow)
            if accepted is not None and accepted.record is not None:
                return StoredJob(service=service, row=accepted)
            withdrawn_versions[service] = row.version
    return StoredJob(withdrawn_versions=withdrawn_versions)


def make_submission(view, row, job, other_services, versions):
    """Return the write of a job's row.

    Its conditions fail if any service has accepted the job, or if one of the rows
    has another version than expected.

    Parameters
    ----------
    view : OwnerView
        Owner of the service that is to run the job.
    row : AcceptedRow
        The row to write.
    job : str
        The job.
    other_services : iterable of str
        Services that may have accepted the job earlier.
    versions : dict
        Expected versions of the job's rows by service; 0 where none is given.
    """
    expected = []
    for service in (view.service, *other_services):
        row_key = job_row_key(ACCEPTED, service, job)
        expected.append(Expect(row_key, versions.get(service, 0)))
        expected.append(Expect(job_row_key(FINISHED, service, job), 0))
    change = Change(job_row_key(ACCEPTED, view.service, job), encode_row(row))
    return PendingWrite(view, tuple(expected), change)
