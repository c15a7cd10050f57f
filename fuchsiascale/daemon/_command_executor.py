"""Executes the commands of shards through the ports."""

from fuchsiascale.coordination import (
    ASSIGNMENTS_TABLE,
    CHUNKS_TABLE,
    SHARDS_TABLE,
    ClaimWorker,
    ExchangeWorker,
    GroupCommitter,
    MoveChunk,
    ReadAssignments,
    ReadChunk,
    ReadShard,
    StartAttempts,
    WriteChunk,
    WriteShard,
    build_move_transaction,
    build_shard_transaction,
    build_write_id,
    find_version,
)

__all__ = ["CommandExecutor", "register_command"]

_HANDLERS = {}


def register_command(command_type):
    """Register the method that executes a type of command.

    Parameters
    ----------
    command_type : type

    Returns
    -------
    callable
        Decorator of ``async (executor, command) -> Result``.
    """

    def register(function):
        _HANDLERS[command_type] = function
        return function

    return register


class CommandExecutor:
    """Executes the commands of shards through the ports.

    Parameters
    ----------
    instance : InstanceId
    tables : Tables
    workers : Workers
    random : random.Random
        Source of write ids.
    """

    def __init__(self, instance, tables, workers, random):
        self._instance = instance
        self._tables = tables
        self._workers = workers
        self._random = random
        self._committer = GroupCommitter(instance, tables, random)

    async def execute(self, command):
        """Execute a command and return its result."""
        return await _HANDLERS[type(command)](self, command)

    @register_command(ClaimWorker)
    async def _claim_worker(self, command):
        return await self._workers.claim(command.address, command.request)

    @register_command(ExchangeWorker)
    async def _exchange_worker(self, command):
        return await self._workers.exchange(command.address, command.request)

    @register_command(StartAttempts)
    async def _start_attempts(self, command):
        return await self._workers.start(command.address, command.request)

    @register_command(ReadAssignments)
    async def _read_assignments(self, command):
        prefix = f"{command.shard}/"
        return await self._tables.scan(ASSIGNMENTS_TABLE, prefix, command.after)

    @register_command(ReadChunk)
    async def _read_chunk(self, command):
        return await self._tables.get(CHUNKS_TABLE, command.chunk)

    @register_command(ReadShard)
    async def _read_shard(self, command):
        return await self._tables.get(SHARDS_TABLE, command.shard)

    @register_command(WriteChunk)
    async def _write_chunk(self, command):
        return await self._committer.write_chunk(command.write)

    @register_command(WriteShard)
    async def _write_shard(self, command):
        transaction = build_shard_transaction(command, self._build_write_id())
        return await self._transact(transaction, command.record.shard)

    @register_command(MoveChunk)
    async def _move_chunk(self, command):
        transaction = build_move_transaction(command, self._build_write_id())
        return await self._transact(transaction, command.from_shard.shard)

    def _build_write_id(self):
        return build_write_id(self._instance, self._random)

    async def _transact(self, transaction, shard_id):
        """Apply a transaction; return the new version of the shard's row."""
        result = await self._tables.transact(transaction)
        return result.map(lambda rows: find_version(rows, SHARDS_TABLE, shard_id))
