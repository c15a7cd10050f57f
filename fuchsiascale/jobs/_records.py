"""Rows in which jobs are stored: their keys and their encoding."""

import msgspec

from fuchsiascale.ids import InstanceId, JobId, ServiceId
from fuchsiascale.jobs._model import JobRecord, JobState
from fuchsiascale.jobs._ports import ListedWorker, RowKey
from fuchsiascale.json_decoding import decode_json

__all__ = [
    "ACCEPTED",
    "CANCEL_SUFFIX",
    "EARLY_CANCELS",
    "FINISHED",
    "OWNER_KEY",
    "POOLS",
    "PROGRESS",
    "AcceptedRow",
    "EarlyCancelsRow",
    "FinishedRow",
    "EstimatesRow",
    "LedgerRow",
    "OwnerRow",
    "ProgressRow",
    "StoredProgress",
    "LeasedWorkersEntry",
    "LeasedWorkersRow",
    "cancel_row_key",
    "decode_row",
    "early_cancels_row_key",
    "divide_progress",
    "encode_row",
    "join_progress",
    "job_row_key",
    "estimates_row_key",
    "ledger_row_key",
    "owner_row_key",
    "progress_row_key",
    "is_leased_workers_row",
    "leased_workers_row_key",
]

ACCEPTED = "jobs"
"""Table of unfinished jobs, cancellations and the owner row, so that the feed of the
table reports their changes in order."""
PROGRESS = "progress"
FINISHED = "finished"
POOLS = "pools"
OWNER_KEY = "~owner"
CANCEL_SUFFIX = "~cancel"
EARLY_CANCELS = "~early-cancels"
"""Partition of the table of unfinished jobs with cancellations of jobs that were not
found. It belongs to no service, since the job may arrive in any."""


class AcceptedRow(msgspec.Struct, frozen=True, kw_only=True, omit_defaults=True):
    """An accepted job; ``record`` is None for an id that was permanently refused.

    ``token`` is the fencing token of the owner at that time; only that owner or a
    later one may have started the job.
    """

    token: int
    write: str
    record: JobRecord | None = None


class EarlyCancelsRow(msgspec.Struct, frozen=True, kw_only=True):
    """Jobs that were cancelled when the store held none of them."""

    jobs: tuple[JobId, ...]


class OwnerRow(msgspec.Struct, frozen=True, kw_only=True, omit_defaults=True):
    """The instance that owns a service, and its fencing token.

    ``seeks_support`` tells that the owner stops soon once it is isolated; see
    `OwnershipEvidence`. Owners of earlier versions don't. ``was_handed_over`` tells
    that the owner before gave the service up because it was stopping.
    """

    token: int
    instance: InstanceId
    incarnation: str
    address: str
    seeks_support: bool = False
    was_handed_over: bool = False


class LedgerRow(msgspec.Struct, frozen=True, kw_only=True, omit_defaults=True):
    """The last record that was written, and the token of its owner.

    ``settled`` tells that no earlier owner can start or hold anything any more.
    """

    token: int
    write: str
    settled: bool = False


class LeasedWorkersEntry(msgspec.Struct, frozen=True, kw_only=True, omit_defaults=True):
    """A worker on which an owner may have started attempts."""

    worker: ListedWorker


class LeasedWorkersRow(msgspec.Struct, frozen=True, kw_only=True):
    """Some of the workers on which an owner may have started attempts."""

    workers: tuple[LeasedWorkersEntry, ...]


class EstimatesRow(msgspec.Struct, frozen=True, kw_only=True, omit_defaults=True):
    """An owner's estimates, which the next owner starts from.

    Parameters
    ----------
    slopes : dict
        See `PairInterference.export`.
    run_times : dict
        See `RunTimes.export`.
    """

    slopes: dict[str, dict[str, float]] = {}
    run_times: dict[str, tuple[float, int]] = {}


class ProgressRow(msgspec.Struct, frozen=True, kw_only=True, omit_defaults=True):
    """Progress of an unfinished job.

    Parameters
    ----------
    done : dict
        For ``occurrence.step`` the tasks that are done, as the bits of a hexadecimal
        number.
    failed : dict
        For ``occurrence.step.index`` the numbers of the failed attempts. A count would
        not do, since the next owner may see an end again.
    checkpoints : dict
        For ``occurrence.step.index`` the last checkpoint of an ended attempt.
    finished : list
        First and last numbers of the occurrences of which nothing else is kept.
    """

    done: dict[str, str] = {}
    failed: dict[str, list[int]] = {}
    checkpoints: dict[str, str] = {}
    finished: list[tuple[int, int]] = []


class StoredProgress(msgspec.Struct, frozen=True):
    """Progress as read from the store; None if it is malformed.

    ``rows`` is the number of rows that it takes.
    """

    progress: ProgressRow | None
    rows: int


class FinishedRow(msgspec.Struct, frozen=True, kw_only=True):
    """The final state of a job."""

    state: JobState
    at_ms: int


def owner_row_key(service: ServiceId) -> RowKey:
    """Return the key of a service's owner row."""
    return RowKey(ACCEPTED, service, OWNER_KEY)


def ledger_row_key(service: ServiceId) -> RowKey:
    """Return the key of the row that each record advances."""
    return RowKey(POOLS, service, "ledger")


def leased_workers_row_key(service: ServiceId, number: int = 0) -> RowKey:
    """Return the key of one of a service's rows of leased workers."""
    return RowKey(POOLS, service, f"roster-{number}" if number else "roster")


def is_leased_workers_row(row_key: RowKey) -> bool:
    """Return whether a key is that of a row of leased workers."""
    first = leased_workers_row_key(row_key.partition)
    return row_key.table == POOLS and row_key.key.startswith(first.key)


def estimates_row_key(service: ServiceId) -> RowKey:
    """Return the key of the estimates of a service's owner."""
    return RowKey(POOLS, service, "learnt")


def cancel_row_key(service: ServiceId, job: JobId) -> RowKey:
    """Return the key of a job's cancellation, which the feed of jobs includes."""
    return RowKey(ACCEPTED, service, job + CANCEL_SUFFIX)


def early_cancels_row_key(name: str) -> RowKey:
    """Return the key of a row of early cancellations."""
    return RowKey(ACCEPTED, EARLY_CANCELS, name)


def job_row_key(table: str, service: ServiceId, job: JobId) -> RowKey:
    """Return the key of a job's row in one of the tables of jobs."""
    return RowKey(table, service, job)


def progress_row_key(service: ServiceId, job: JobId, number: int = 0) -> RowKey:
    """Return the key of one of the rows over which a job's progress is divided."""
    return RowKey(PROGRESS, service, f"{job}~{number}" if number else job)


def divide_progress(progress: ProgressRow, max_bytes: int) -> list[bytes]:
    """Return the values of the rows that hold a job's progress, in order."""
    value = encode_row(progress)
    return [value[at : at + max_bytes] for at in range(0, len(value), max_bytes)]


def join_progress(rows) -> dict[JobId, StoredProgress]:
    """Return the progress of each job from all rows of a service's progress."""
    parts = {}
    for row in rows:
        job, _, number = row.place.key.partition("~")
        parts.setdefault(job, {})[int(number or 0)] = row.value
    return {
        job: StoredProgress(
            decode_row(b"".join(values[each] for each in sorted(values)), ProgressRow),
            len(values),
        )
        for job, values in parts.items()
    }


def encode_row(value) -> bytes:
    """Return the encoded value of a row."""
    return msgspec.json.encode(value)


def decode_row(value: bytes, kind: type):
    """Return the decoded value of a row; None where it has another format."""
    return decode_json(value, kind).value_or(None)
