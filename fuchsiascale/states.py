"""Enumerations of states, outcomes and roles."""

from enum import Enum

__all__ = [
    "AttemptState",
    "InstanceRole",
    "ListedState",
    "Outcome",
    "PeerState",
    "Refusal",
    "TaskState",
    "Urgency",
]


class Outcome(Enum):
    """Outcome of a request."""

    DONE = "done"
    NOT_RUN = "not-run"
    UNKNOWN = "unknown"


class Refusal(Enum):
    """Why a request was not run."""

    BAD_REQUEST = "bad-request"
    UNAUTHORIZED = "unauthorized"
    UNKNOWN_SERVICE = "unknown-service"
    TOO_LARGE = "too-large"
    DEADLINE = "deadline"
    OVER_SHARE = "over-share"
    NO_CAPACITY = "no-capacity"
    NO_UPSTREAM = "no-upstream"
    STORE_UNAVAILABLE = "store-unavailable"
    KEY_IN_PROGRESS = "key-in-progress"
    KEY_CONFLICT = "key-conflict"
    STOPPING = "stopping"


class Urgency(Enum):
    """Urgency class of a request or job, most urgent first."""

    URGENT = "urgent"
    NORMAL = "normal"
    BATCH = "batch"


class AttemptState(Enum):
    """State of one attempt at a task, as its worker reports it."""

    RUNNING = "running"
    THROTTLED = "throttled"
    CHECKPOINTED = "checkpointed"
    FINISHED = "finished"
    FAILED = "failed"
    STOPPED = "stopped"

    @property
    def ended(self):
        """Whether the attempt no longer runs."""
        return self not in (AttemptState.RUNNING, AttemptState.THROTTLED)


class TaskState(Enum):
    """State of a task in its durable chunk row."""

    WAITING = "waiting"
    FINISHED = "finished"
    FAILED = "failed"
    CANCELLED = "cancelled"

    @property
    def final(self):
        """Whether the task never runs again."""
        return self is not TaskState.WAITING


class PeerState(Enum):
    """State of a peer as last known to an instance."""

    ALIVE = "alive"
    SUSPECT = "suspect"
    LEAVING = "leaving"
    GONE = "gone"


class ListedState(Enum):
    """State of an instance as listed by the platform."""

    LIVE = "live"
    LEAVING = "leaving"


class InstanceRole(Enum):
    """Role of a listed instance."""

    ENTRY = "entry"
    WORKER = "worker"
    RUNNER = "runner"
