"""Messages and headers of the caller interface."""

from fuchsiascale.coordination import JobSpec
from fuchsiascale.ids import (
    AttemptNumber,
    CheckpointKey,
    ChunkId,
    JobId,
    RequestId,
    ShardId,
    WorkerId,
)
from fuchsiascale.platform import Message
from fuchsiascale.states import Outcome, Refusal, TaskState

__all__ = [
    "DEADLINE_HEADER",
    "IDEMPOTENCY_KEY_HEADER",
    "IDEMPOTENT_HEADER",
    "OUTCOME_HEADER",
    "REASON_HEADER",
    "REQUEST_ID_HEADER",
    "TEAM_HEADER",
    "URGENCY_HEADER",
    "ChunkStatus",
    "Failure",
    "JobList",
    "JobStatus",
    "JobSummary",
    "TaskExplanation",
    "TaskStatus",
]

REQUEST_ID_HEADER = "X-Request-Id"
IDEMPOTENCY_KEY_HEADER = "Idempotency-Key"
IDEMPOTENT_HEADER = "X-Idempotent"
DEADLINE_HEADER = "X-Deadline-Ms"
URGENCY_HEADER = "X-Urgency"
TEAM_HEADER = "X-Team"
OUTCOME_HEADER = "X-Outcome"
REASON_HEADER = "X-Reason"


class Failure(Message):
    """Body of every answer that is not the upstream's own."""

    outcome: Outcome
    reason: Refusal | None = None
    detail: str = ""
    request: RequestId = RequestId("")


class TaskStatus(Message):
    """Durable state of one task; the fields are those of a `TaskRecord`."""

    index: int
    state: TaskState
    attempt: AttemptNumber
    checkpoint: CheckpointKey | None
    worker: WorkerId
    failures: int
    evictions: int
    detail: str


class ChunkStatus(Message):
    """Durable state of one chunk."""

    chunk: ChunkId
    shard: ShardId
    tasks: tuple[TaskStatus, ...]


class JobStatus(Message):
    """Durable state of a job, read from the store."""

    spec: JobSpec
    state: str
    submitted_ms: int
    cancelled: bool
    chunks: tuple[ChunkStatus, ...]


class JobSummary(Message):
    """One line of a job list."""

    job: JobId
    team: str
    kind: str
    tasks: int
    submitted_ms: int
    cancelled: bool


class JobList(Message):
    """A page of jobs; ``next_after`` is empty on the last page."""

    jobs: tuple[JobSummary, ...]
    next_after: str = ""


class TaskExplanation(Message):
    """Why a task waits, or where it was placed and by which figures."""

    task: str
    state: str
    worker: str = ""
    reason: str = ""
    figures: tuple[str, ...] = ()
