"""Rows in which jobs last: where each stands, and how it is encoded."""

import msgspec

from fuchsiascale.ids import InstanceId, JobId, ServiceId, WorkerId
from fuchsiascale.jobs._model import JobRecord, JobState
from fuchsiascale.jobs._ports import ListedWorker, RowKey

__all__ = [
    "ACCEPTED",
    "CANCEL_SUFFIX",
    "FINISHED",
    "OWNER_KEY",
    "POOLS",
    "PROGRESS",
    "AcceptedRow",
    "FinishedRow",
    "EstimatesRow",
    "LedgerRow",
    "OwnerRow",
    "ProgressRow",
    "LeasedWorkersEntry",
    "LeasedWorkersRow",
    "cancel_row_key",
    "decode_row",
    "encode_row",
    "job_row_key",
    "estimates_row_key",
    "ledger_row_key",
    "owner_row_key",
    "leased_workers_row_key",
]

ACCEPTED = "jobs"
"""Jobs that have not finished, and the owner's row: their order is the feed's."""
PROGRESS = "progress"
FINISHED = "finished"
POOLS = "pools"
OWNER_KEY = "~owner"
CANCEL_SUFFIX = "~cancel"


class AcceptedRow(msgspec.Struct, frozen=True, kw_only=True, omit_defaults=True):
    """An accepted job. ``record`` is None for an id that was refused for good.

    ``token`` is that of the owner at the time; only that owner or a later one may
    have started the job.
    """

    token: int
    write: str
    record: JobRecord | None = None


class OwnerRow(msgspec.Struct, frozen=True, kw_only=True):
    """Which instance commands the workers of a service."""

    token: int
    instance: InstanceId
    incarnation: str
    address: str


class LedgerRow(msgspec.Struct, frozen=True, kw_only=True):
    """The last record of ends that was written, by its owner."""

    token: int
    write: str


class LeasedWorkersEntry(msgspec.Struct, frozen=True, kw_only=True, omit_defaults=True):
    """A worker on which an owner may have started attempts."""

    worker: ListedWorker


class LeasedWorkersRow(msgspec.Struct, frozen=True, kw_only=True):
    """All workers on which an owner may have started attempts."""

    workers: tuple[LeasedWorkersEntry, ...]

    def ids(self) -> frozenset[WorkerId]:
        """Return the workers' ids."""
        return frozenset(entry.worker.worker for entry in self.workers)


class EstimatesRow(msgspec.Struct, frozen=True, kw_only=True, omit_defaults=True):
    """What an owner has learnt, for the next one.

    Parameters
    ----------
    slopes : dict
        See `PairHarm.export`.
    run_times : dict
        See `RunTimes.export`.
    """

    slopes: dict[str, dict[str, float]] = {}
    run_times: dict[str, tuple[float, int]] = {}


class ProgressRow(msgspec.Struct, frozen=True, kw_only=True, omit_defaults=True):
    """What has ended of a job.

    Parameters
    ----------
    done : dict
        For ``occurrence.step`` the tasks that have ended as done, as the bits of
        a hexadecimal number.
    failed : dict
        For ``occurrence.step.index`` the numbers of the attempts that have failed;
        numbers, since an end may be seen again by the next owner.
    checkpoints : dict
        For ``occurrence.step.index`` the last checkpoint of an ended attempt.
    """

    done: dict[str, str] = {}
    failed: dict[str, list[int]] = {}
    checkpoints: dict[str, str] = {}


class FinishedRow(msgspec.Struct, frozen=True, kw_only=True):
    """The final state of a job."""

    state: JobState
    at_ms: int


def owner_row_key(service: ServiceId) -> RowKey:
    """Return the place of a service's owner row."""
    return RowKey(ACCEPTED, service, OWNER_KEY)


def ledger_row_key(service: ServiceId) -> RowKey:
    """Return the place of the row that each record of ends advances."""
    return RowKey(POOLS, service, "ledger")


def leased_workers_row_key(service: ServiceId) -> RowKey:
    """Return the place of a service's roster."""
    return RowKey(POOLS, service, "roster")


def estimates_row_key(service: ServiceId) -> RowKey:
    """Return the place of what a service's owner has learnt."""
    return RowKey(POOLS, service, "learnt")


def cancel_row_key(service: ServiceId, job: JobId) -> RowKey:
    """Return the place of a job's cancellation, which the feed of jobs shows."""
    return RowKey(ACCEPTED, service, job + CANCEL_SUFFIX)


def job_row_key(table: str, service: ServiceId, job: JobId) -> RowKey:
    """Return the place of a job's row in one of the tables of jobs."""
    return RowKey(table, service, job)


def encode_row(value) -> bytes:
    """Return the bytes of a row's value."""
    return msgspec.json.encode(value)


def decode_row(value: bytes, kind: type):
    """Return the value of a row; None where another writer left something else."""
    try:
        return msgspec.json.decode(value, type=kind)
    except (msgspec.DecodeError, UnicodeDecodeError):
        return None
