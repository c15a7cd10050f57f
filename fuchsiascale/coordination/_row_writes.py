"""Transactions for the write commands of a shard."""

import msgspec

from fuchsiascale.coordination._records import (
    ASSIGNMENTS_TABLE,
    CHUNKS_TABLE,
    SHARDS_TABLE,
    Assignment,
    format_assignment_key,
)
from fuchsiascale.ids import WriteId
from fuchsiascale.platform import Check, Delete, Put, Transaction

__all__ = [
    "build_chunk_transaction",
    "build_move_transaction",
    "build_put",
    "build_shard_transaction",
    "build_write_id",
    "find_version",
]


def build_write_id(instance, random):
    """Return a unique id for a write."""
    return WriteId(f"{instance}-{random.getrandbits(64):016x}")


def build_put(table, key, expected_version, value):
    """Return a conditional write of a record."""
    encoded = msgspec.Raw(msgspec.json.encode(value))
    return Put(table=table, key=key, expected_version=expected_version, value=encoded)


def find_version(rows, table, key):
    """Return the version of a row that a transaction has written."""
    return next(row.version for row in rows if row.table == table and row.key == key)


def build_chunk_transaction(writes, write_id):
    """Return the transaction of chunk writes.

    It also deletes the assignments of final chunks.

    Parameters
    ----------
    writes : sequence of ChunkWrite
    write_id : WriteId
    """
    puts = tuple(_build_chunk_put(write) for write in writes)
    deletes = tuple(
        _build_unassignment(write.record.shard, write)
        for write in writes
        if write.record.final and write.assignment_version
    )
    checks = {
        write.record.shard: Check(
            table=SHARDS_TABLE,
            key=write.record.shard,
            expected_version=write.shard_version,
        )
        for write in writes
        if write.shard_version is not None
    }
    return Transaction(
        write_id=write_id, puts=puts, deletes=deletes, checks=tuple(checks.values())
    )


def build_shard_transaction(command, write_id):
    """Return the transaction of a `WriteShard` command."""
    record = command.record
    put = build_put(SHARDS_TABLE, record.shard, command.expected_version, record)
    return Transaction(write_id=write_id, puts=(put,))


def build_move_transaction(command, write_id):
    """Return the transaction of a `MoveChunk` command."""
    write = command.write
    record = write.record
    from_shard = command.from_shard
    new_key = format_assignment_key(record.shard, record.chunk)
    puts = (
        _build_chunk_put(write),
        build_put(ASSIGNMENTS_TABLE, new_key, 0, Assignment(chunk=record.chunk)),
        build_put(
            SHARDS_TABLE, from_shard.shard, command.from_shard_version, from_shard
        ),
    )
    deletes = (_build_unassignment(from_shard.shard, write),)
    return Transaction(write_id=write_id, puts=puts, deletes=deletes)


def _build_chunk_put(write):
    record = write.record
    return build_put(CHUNKS_TABLE, record.chunk, write.expected_version, record)


def _build_unassignment(shard, write):
    return Delete(
        table=ASSIGNMENTS_TABLE,
        key=format_assignment_key(shard, write.record.chunk),
        expected_version=write.assignment_version,
    )
