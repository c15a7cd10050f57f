"""Commands that a shard asks its driver to carry out."""

from fuchsiascale.coordination._records import ChunkRecord
from fuchsiascale.ids import ChunkId, ShardId, WorkerId
from fuchsiascale.platform import ClaimRequest, ExchangeRequest, Message, StartRequest

__all__ = [
    "ChunkWrite",
    "ClaimWorker",
    "ExchangeWorker",
    "ReadAssignments",
    "ReadChunk",
    "StartAttempts",
    "WriteChunk",
]


class ClaimWorker(Message):
    """Claim a worker under a new token."""

    worker: WorkerId
    address: str
    request: ClaimRequest


class ExchangeWorker(Message):
    """Renew a worker's lease and pass it commands."""

    worker: WorkerId
    address: str
    request: ExchangeRequest


class StartAttempts(Message):
    """Start attempts at a worker."""

    worker: WorkerId
    address: str
    request: StartRequest


class ReadAssignments(Message):
    """Read one page of the shard's assignment rows."""

    shard: ShardId
    after: str


class ReadChunk(Message):
    """Read one chunk row; ``sequence`` orders reads against claims."""

    chunk: ChunkId
    sequence: int


class ChunkWrite(Message):
    """A conditional write of a chunk row.

    Parameters
    ----------
    expected_version : int
        Version of the chunk row that it replaces.
    assignment_version : int
        Version of the assignment row, which goes once the chunk is final.
    """

    record: ChunkRecord
    expected_version: int
    assignment_version: int = 0


class WriteChunk(Message):
    """Write one chunk row; the driver may group several of them."""

    write: ChunkWrite
