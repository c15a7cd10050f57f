"""Commands that a shard issues and its driver executes."""

from fuchsiascale.coordination._records import ChunkRecord, ShardRecord
from fuchsiascale.ids import ChunkId, ShardId, WorkerId
from fuchsiascale.platform import ClaimRequest, ExchangeRequest, Message, StartRequest

__all__ = [
    "ChunkWrite",
    "ClaimWorker",
    "ExchangeWorker",
    "MoveChunk",
    "ReadAssignments",
    "ReadChunk",
    "ReadShard",
    "StartAttempts",
    "WriteChunk",
    "WriteShard",
]


class ClaimWorker(Message):
    """Claim a worker under a new token."""

    worker: WorkerId
    address: str
    request: ClaimRequest


class ExchangeWorker(Message):
    """Renew a worker's lease and send it commands."""

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
        Version of the assignment row, which is deleted once the chunk is final.
    shard_version : int or None
        Version that the shard's row must have, so that the write fails once the
        owner has been replaced; None if it may succeed even then.
    """

    record: ChunkRecord
    expected_version: int
    assignment_version: int = 0
    shard_version: int | None = None


class WriteChunk(Message):
    """Write one chunk row; the driver may group several of them."""

    write: ChunkWrite


class ReadShard(Message):
    """Read the row of the shard."""

    shard: ShardId


class WriteShard(Message):
    """Write the row of the shard, conditionally.

    Parameters
    ----------
    sent_s : float
        Monotonic time of the command, in seconds.
    """

    record: ShardRecord
    expected_version: int
    sent_s: float


class MoveChunk(Message):
    """Assign a chunk to another shard.

    Parameters
    ----------
    write : ChunkWrite
        The chunk as assigned to the other shard.
    from_shard : ShardRecord
        Row of the present shard, written in the same transaction so that a move by
        an owner that has been replaced fails.
    """

    write: ChunkWrite
    from_shard: ShardRecord
    from_shard_version: int
