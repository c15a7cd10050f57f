"""Journals of the stand-ins: one JSON line per event."""

import time
from enum import Enum

import msgspec

from fuchsiascale.ids import AttemptNumber, RequestId, TaskId, WriteId
from fuchsiascale.platform import Message, Resources

__all__ = ["Entry", "Event", "Journal", "read_journal"]


class Event(Enum):
    """Kinds of journal entries."""

    READY = "ready"
    FAULTS = "faults"
    CUT = "cut"
    CLAIMED = "claimed"
    REFUSED = "refused"
    STARTED = "started"
    ENDED = "ended"
    LEASE_LAPSED = "lease-lapsed"
    EXECUTED = "executed"
    ANSWERED = "answered"
    NOT_RUN = "not-run"
    COMMITTED = "committed"
    STORED = "stored"
    LISTED = "listed"
    LEAVING = "leaving"
    KILLED = "killed"
    PAUSED = "paused"
    RESUMED = "resumed"
    STOPPING = "stopping"
    SENT = "sent"
    RECEIVED = "received"


class Entry(Message, omit_defaults=True):
    """One line of a journal.

    Parameters
    ----------
    at_ms : float
        Monotonic time of the machine, comparable between its processes.
    source : str
        Name of the process that wrote the entry.
    until_ms : float
        Time at which an attempt stopped, if that was before ``at_ms``.
    sent_digest : str
        Digest of the request body that an answer to a caller belongs to.
    about : str
        Process, upstream or address that the entry is about.
    """

    at_ms: float
    source: str
    event: Event
    task: TaskId = TaskId("")
    attempt: AttemptNumber = AttemptNumber(0)
    state: str = ""
    demand: Resources | None = None
    capacity: Resources | None = None
    checkpoint: str = ""
    token: str = ""
    lease_ms: int = 0
    request: RequestId = RequestId("")
    idempotency_key: str = ""
    method: str = ""
    path: str = ""
    status: int = 0
    body_digest: str = ""
    sent_digest: str = ""
    keys: tuple[str, ...] = ()
    write_id: WriteId = WriteId("")
    detail: str = ""
    until_ms: float = 0.0
    about: str = ""
    outcome: str = ""
    idempotent: bool = False


class Journal:
    """Appends entries to a file without buffering.

    Parameters
    ----------
    path : str
        File to append to; if empty, entries are dropped.
    source : str
        Source that the entries name.
    """

    def __init__(self, path, source):
        self._file = open(path, "ab", buffering=0) if path else None  # noqa: SIM115
        self._source = source
        self._encoder = msgspec.json.Encoder()

    def record(self, event, **fields):
        """Append one entry with the current time."""
        if self._file is None:
            return
        now_ms = time.monotonic_ns() / 1_000_000
        entry = Entry(at_ms=now_ms, source=self._source, event=event, **fields)
        self._file.write(self._encoder.encode(entry) + b"\n")

    def close(self):
        """Close the file."""
        if self._file is not None:
            self._file.close()


def read_journal(path):
    """Return the entries of a journal file, oldest first.

    Parameters
    ----------
    path : str or Path
        File written by :class:`Journal`.

    Returns
    -------
    list of Entry
        All complete lines; a line truncated by a kill is left out.
    """
    decoder = msgspec.json.Decoder(Entry)
    with open(path, "rb") as file:
        lines = file.read().split(b"\n")[:-1]
    return [decoder.decode(line) for line in lines]
