"""Durable records that are stored in the platform's table service."""

from fuchsiascale.ids import (
    AttemptNumber,
    CheckpointKey,
    ChunkId,
    FailureDomainId,
    IdempotencyKey,
    InstanceId,
    JobId,
    JobKindId,
    RequestId,
    Revision,
    ShardId,
    TeamId,
    WorkerId,
)
from fuchsiascale.platform import Message, Resources
from fuchsiascale.states import Outcome, TaskState, Urgency

__all__ = [
    "ASSIGNMENTS_TABLE",
    "CHUNKS_TABLE",
    "CLAIMS_TABLE",
    "DOCUMENT_HEAD_KEY",
    "DOCUMENT_HEAD_TABLE",
    "DOCUMENT_HISTORY_TABLE",
    "DOCUMENT_TABLE",
    "JOBS_TABLE",
    "MAX_CHUNK_TASKS",
    "SHARDS_TABLE",
    "NO_REVISION",
    "Assignment",
    "ChunkRecord",
    "ClaimRecord",
    "DocumentHead",
    "DocumentOption",
    "DocumentSection",
    "HistoryEntry",
    "JobRecord",
    "JobSpec",
    "ShardRecord",
    "TaskRecord",
    "format_assignment_key",
    "format_chunk_id",
    "format_task_id",
]

JOBS_TABLE = "jobs"
CHUNKS_TABLE = "chunks"
ASSIGNMENTS_TABLE = "assignments"
SHARDS_TABLE = "shards"
CLAIMS_TABLE = "claims"
DOCUMENT_TABLE = "document"
DOCUMENT_HEAD_TABLE = "document-head"
DOCUMENT_HEAD_KEY = "head"
DOCUMENT_HISTORY_TABLE = "document-history"

MAX_CHUNK_TASKS = 256
NO_REVISION = Revision(0)


class JobSpec(Message):
    """Description of a job by its submitter.

    Parameters
    ----------
    tasks : int
        Number of equal tasks.
    demand : Resources
        Declared demand of one task.
    run_ms : int
        Declared run time of one task, in milliseconds.
    deadline_ms : int
        Time from submission by which the job should end, in milliseconds; 0 for
        none.
    failure_domain : str
        Failure domain in which the job must run; empty for any.
    """

    job: JobId
    team: TeamId
    kind: JobKindId
    tasks: int = 1
    demand: Resources = Resources()
    run_ms: int = 0
    urgency: Urgency = Urgency.BATCH
    deadline_ms: int = 0
    failure_domain: FailureDomainId = FailureDomainId("")
    payload: str = ""


class JobRecord(Message):
    """Row of an accepted job, written in the same transaction as its chunks."""

    spec: JobSpec
    chunks: tuple[ChunkId, ...]
    submitted_ms: int
    cancelled: bool = False


class TaskRecord(Message, omit_defaults=True):
    """Durable state of one task within its chunk; default values are omitted.

    Parameters
    ----------
    attempt : int
        Number of the last attempt known to have ended; the next one is one higher.
    checkpoint : str or None
        Checkpoint from which the next attempt resumes.
    """

    index: int
    state: TaskState = TaskState.WAITING
    attempt: AttemptNumber = AttemptNumber(0)
    checkpoint: CheckpointKey | None = None
    worker: WorkerId = WorkerId("")
    failures: int = 0
    evictions: int = 0
    detail: str = ""

    def has_ended(self, attempt):
        """Return whether an attempt is known to have ended or the task is final."""
        return self.state.final or self.attempt >= attempt


class ChunkRecord(Message):
    """Row of up to ``MAX_CHUNK_TASKS`` tasks that one shard may run."""

    chunk: ChunkId
    spec: JobSpec
    failure_domain: FailureDomainId
    shard: ShardId
    submitted_ms: int
    tasks: tuple[TaskRecord, ...]
    cancelled: bool = False

    @property
    def final(self):
        """Whether no task of the chunk will run again."""
        return all(task.state.final for task in self.tasks)


class Assignment(Message):
    """Index row that assigns an unfinished chunk to its shard."""

    chunk: ChunkId


class ShardRecord(Message):
    """Row of a shard, written when its owner or its workers change.

    Parameters
    ----------
    owner : InstanceId
        The instance that last took over the shard.
    workers : tuple of WorkerId
        All workers on which an owner may have started attempts.
    """

    shard: ShardId
    owner: InstanceId
    workers: tuple[WorkerId, ...] = ()


class ClaimRecord(Message):
    """Row that ensures a keyed request is sent upstream at most once.

    Parameters
    ----------
    outcome : Outcome
        ``UNKNOWN`` from before the send until the outcome is recorded.
    body_digest : str
        Digest of the request; the key is rejected with any other digest.
    answer : bytes
        Body of the recorded answer, empty until then.
    expires_ms : int
        Wall-clock time after which the row may be deleted, in milliseconds.
    nonce : str
        Identifies this claim, even among claims with the same request id.
    """

    key: IdempotencyKey
    team: TeamId
    request: RequestId
    holder: InstanceId
    body_digest: str
    outcome: Outcome = Outcome.UNKNOWN
    settled: bool = False
    status: int = 0
    answer: bytes = b""
    content_type: str = ""
    expires_ms: int = 0
    nonce: str = ""


class DocumentOption(Message):
    """One option of a section, as text."""

    name: str
    value: str


class DocumentSection(Message):
    """Row of one section of the fleet document."""

    name: str
    team: TeamId
    revision: Revision
    options: tuple[DocumentOption, ...] = ()
    removed: bool = False


class DocumentHead(Message):
    """Row that carries the newest revision of the document."""

    revision: Revision


class HistoryEntry(Message):
    """Immutable row of one accepted edit."""

    revision: Revision
    team: TeamId
    author: str
    at_ms: int
    sections: tuple[DocumentSection, ...]


def format_chunk_id(job, number):
    """Return the id of a job's chunk."""
    return ChunkId(f"{job}.{number}")


def format_task_id(chunk, index):
    """Return the id of a task within a chunk."""
    return f"{chunk}.{index}"


def format_assignment_key(shard, chunk):
    """Return the key of an assignment row; a shard's rows share a prefix."""
    return f"{shard}/{chunk}"
