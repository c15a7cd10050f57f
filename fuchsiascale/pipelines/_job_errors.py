"""Errors of the job pipeline."""

from fuchsiascale.ids import JobId
from fuchsiascale.platform import Message, Unavailable

__all__ = [
    "JobConflict",
    "JobError",
    "JobNotFound",
    "JobRejected",
    "JobUnavailable",
    "JobUncertain",
    "convert_store_error",
]


class JobError(Message):
    """Base of the errors of the job pipeline."""

    job: JobId
    detail: str = ""


class JobConflict(JobError):
    """Another job with a different body has this id."""


class JobRejected(JobError):
    """The job is invalid, or no worker could ever hold one of its tasks."""


class JobUnavailable(JobError):
    """The store did not answer, or no shard is known; nothing was recorded."""


class JobUncertain(JobError):
    """It is unknown whether the job was recorded; repeat it under the same id."""


class JobNotFound(JobError):
    """No job has this id."""


def convert_store_error(job, error):
    """Convert an error of the tables port to one of the job pipeline.

    Examples
    --------
    >>> convert_store_error("j", Unavailable(detail="down"))
    JobUnavailable(job='j', detail='down')
    """
    error_type = JobUnavailable if isinstance(error, Unavailable) else JobUncertain
    return error_type(job=job, detail=error.detail)
