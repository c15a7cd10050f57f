"""Reads and writes of a shard's assignment and chunk rows."""

import msgspec
from returns.result import Success

from fuchsiascale.coordination._attempts import parse_task_id
from fuchsiascale.coordination._inventories import reconcile_chunk
from fuchsiascale.coordination._live_chunks import compute_record, drop_recorded
from fuchsiascale.coordination._records import (
    SHARDS_TABLE,
    Assignment,
    ChunkRecord,
    ShardRecord,
)
from fuchsiascale.coordination._shard_commands import (
    ChunkWrite,
    ReadAssignments,
    ReadChunk,
    WriteChunk,
)
from fuchsiascale.coordination._shard_state import (
    can_call_store,
    drop_chunk,
    record_store_result,
    require_read,
)
from fuchsiascale.coordination._takeover import step_down
from fuchsiascale.platform import Conflict

__all__ = [
    "MAX_LIVE_CHUNKS",
    "MAX_CONCURRENT_READS",
    "apply_assignments",
    "apply_chunk",
    "apply_write",
    "list_reads",
    "list_writes",
    "can_read_rows",
]

MAX_LIVE_CHUNKS = 2_048
MAX_CONCURRENT_READS = 32


def list_reads(state):
    """Return the reads that are due."""
    if not can_read_rows(state) or not can_call_store(state):
        return []
    now_s = state.now_s()
    commands = []
    if state.scan_pending is None and now_s >= state.scan_due_s:
        state.scan_pending = ReadAssignments(
            shard=state.shard, after=state.scan_page or ""
        )
        commands.append(state.scan_pending)
    room = MAX_CONCURRENT_READS - sum(
        isinstance(live.pending, ReadChunk) for live in state.chunks.values()
    )
    for live in state.chunks.values():
        if len(commands) >= room:
            break
        if not live.stale or live.pending is not None or now_s < live.due_s:
            continue
        state.sequence += 1
        live.pending = ReadChunk(chunk=live.chunk, sequence=state.sequence)
        commands.append(live.pending)
    return commands


def can_read_rows(state):
    """Return whether rows may be read: only after all workers are claimed (rule c)."""
    return state.all_claimed_sequence is not None


def apply_assignments(state, command, result):
    """Apply one page of the shard's assignment rows."""
    if state.scan_pending is not command:
        return
    state.scan_pending = None
    record_store_result(state, result)
    if not isinstance(result, Success):
        state.scan_due_s = state.now_s()
        return
    page = result.unwrap()
    for row in page.rows:
        chunk = msgspec.json.decode(row.value, type=Assignment).chunk
        state.scanned[chunk] = row.version
    state.scan_page = page.next_after
    if page.next_after:
        return
    _finish_scan(state)
    spread = 0.9 + 0.2 * state.random.random()
    state.scan_due_s = state.now_s() + state.timing.scan_s * spread


def _finish_scan(state):
    if state.unseen_worker_gone and not state.first_scan_done:
        state.possibly_started = set(state.scanned)
    state.first_scan_done = True
    for chunk, version in state.scanned.items():
        live = state.chunks.get(chunk)
        if live is None and len(state.chunks) >= MAX_LIVE_CHUNKS:
            continue
        if live is None or live.assignment_version != version:
            require_read(state, chunk).assignment_version = version
    for chunk in set(state.chunks) - set(state.scanned):
        require_read(state, chunk)
    for chunk in state.possibly_started & set(state.chunks):
        require_read(state, chunk)
    state.scanned = {}
    reported = {
        parse_task_id(report.task)[0]
        for link in state.links.values()
        for report in link.list_reports()
    }
    state.foreign &= reported


def apply_chunk(state, command, result):
    """Apply the result of reading a chunk row."""
    live = state.chunks.get(command.chunk)
    if live is None or live.pending is not command:
        return
    live.pending = None
    record_store_result(state, result)
    if not isinstance(result, Success):
        return
    row = result.unwrap()
    record = row and msgspec.json.decode(row.value, type=ChunkRecord)
    if record is None or record.shard != state.shard or record.final:
        drop_chunk(state, live)
        return
    live.stale = live.stale_after_write = False
    live.record = record
    live.version = row.version
    live.sequence = command.sequence
    _forget_recorded(state, live)
    reconcile_chunk(state, live)
    if record.cancelled:
        _expedite_stops(state, live)


def _expedite_stops(state, live):
    """Schedule exchanges now with the workers that run a cancelled chunk."""
    for attempt in live.attempts.values():
        link = state.links.get(attempt.worker)
        if link is not None and not link.failures:
            link.due_s = state.now_s()


def list_writes(state):
    """Return the due writes of ends and cancellations."""
    now_s = state.now_s()
    commands = []
    if not can_call_store(state):
        return commands
    for live in state.chunks.values():
        if live.record is None or live.stale or live.pending is not None:
            continue
        if now_s < live.due_s:
            continue
        if live.chunk not in state.chunks_with_ends and not live.record.cancelled:
            continue
        record = compute_record(live, state.max_failures(live.record))
        if record == live.record or _can_defer_write(state, live, record):
            continue
        concluded = _ends_without_report(live)
        if concluded and state.record is None:
            continue
        write = ChunkWrite(
            record=record,
            expected_version=live.version,
            assignment_version=live.assignment_version,
            shard_version=state.version if concluded else None,
        )
        live.written_s = now_s
        live.pending = WriteChunk(write=write)
        commands.append(live.pending)
    return commands


def _ends_without_report(live):
    """Return whether a write ends tasks for which no worker has reported an end.

    That such tasks run nowhere is certain only while no other owner is active.
    """
    return live.record.cancelled and any(
        not task.state.final and task.index not in live.attempts
        for task in live.record.tasks
    )


def _can_defer_write(state, live, record):
    """Return whether the write may wait for more ends, as nothing depends on it."""
    if state.now_s() - live.written_s >= state.timing.commit_s or not state.placing:
        return False
    again = any(
        new.attempt != old.attempt and not new.state.final
        for old, new in zip(live.record.tasks, record.tasks, strict=True)
    )
    return not again and not record.final


def apply_write(state, command, result):
    """Apply the result of writing a chunk row."""
    write = command.write
    live = state.chunks.get(write.record.chunk)
    if live is None or live.pending is not command:
        return
    live.pending = None
    record_store_result(state, result)
    if not isinstance(result, Success):
        handle_write_failure(state, live, result.failure())
        if _is_replaced(state, result.failure()):
            step_down(state)
        return
    state.meters.count_changes(live.record, write.record)
    live.record = write.record
    live.version = result.unwrap()
    _forget_recorded(state, live)
    if live.record.final:
        drop_chunk(state, live)


def _is_replaced(state, error):
    """Return whether a conflict shows that another owner has the shard's row."""
    return isinstance(error, Conflict) and any(
        row.table == SHARDS_TABLE
        and row.version > 0
        and msgspec.json.decode(row.value, type=ShardRecord).owner != state.instance
        for row in error.rows
    )


def handle_write_failure(state, live, error):
    """Schedule another read of a row after a failed write."""
    now_s = state.now_s()
    live.stale_after_write = not isinstance(error, Conflict) and not live.stale
    live.stale = True
    live.due_s = now_s + state.timing.retry_s * state.random.random()
    if isinstance(error, Conflict):
        # The conflict may be in the assignment row.
        state.scan_due_s = now_s


def _forget_recorded(state, live):
    for attempt in drop_recorded(live):
        link = state.links.get(attempt.worker)
        if link is not None:
            link.attempts.pop(attempt.key, None)
        state.place_due_s = 0.0
    if not any(attempt.has_ended for attempt in live.attempts.values()):
        state.chunks_with_ends.discard(live.chunk)
    if not live.attempts:
        live.idle_since_s = state.now_s()
