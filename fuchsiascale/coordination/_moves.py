"""Moves of waiting chunks to another shard, decided by their owner."""

import msgspec
from returns.result import Success

from fuchsiascale.coordination._chunk_rows import handle_write_failure
from fuchsiascale.coordination._live_chunks import list_startable
from fuchsiascale.coordination._shard_commands import ChunkWrite, MoveChunk
from fuchsiascale.coordination._shard_state import drop_chunk
from fuchsiascale.coordination._takeover import is_read_after_claims, step_down
from fuchsiascale.platform import Conflict, Message, Resources
from fuchsiascale.states import Urgency

__all__ = ["ShardOffer", "apply_move", "estimate_room", "list_moves", "can_hold"]

URGENCIES = tuple(Urgency)


class ShardOffer(Message):
    """A shard that may accept chunks, according to its owner's last digest.

    Parameters
    ----------
    free : Resources
        Uncommitted resources over all claimed workers.
    waiting : int
        Tasks assigned to the shard and not running.
    shapes : tuple of Resources
        Distinct sizes of its workers, without reserves; empty if unknown.
    """

    shard: str
    failure_domain: str
    free: Resources = Resources()
    waiting: int = 0
    shapes: tuple[Resources, ...] = ()


def estimate_room(offer, demand):
    """Return how many more tasks fit into a shard; negative if more already wait.

    Examples
    --------
    >>> offer = ShardOffer(shard="s", failure_domain="f", waiting=1,
    ...                    free=Resources(millicores=4000))
    >>> estimate_room(offer, Resources(millicores=1000))
    3
    """
    counts = [
        getattr(offer.free, name) // getattr(demand, name)
        for name in ("millicores", "memory_mb", "accelerators")
        if getattr(demand, name) > 0
    ]
    return min(counts) - offer.waiting


def can_hold(offer, demand):
    """Return whether a worker of a shard is large enough for a task, or may be.

    Examples
    --------
    >>> offer = ShardOffer(shard="s", failure_domain="f",
    ...                    shapes=(Resources(millicores=4000),))
    >>> can_hold(offer, Resources(millicores=5000))
    False
    """
    return not offer.shapes or any(demand.fits(shape) for shape in offer.shapes)


def list_moves(state, offers):
    """Return moves of waiting chunks to shards that have room.

    Parameters
    ----------
    state : ShardState
    offers : sequence of ShardOffer
        Other shards; a chunk goes to the one with the most room.

    Returns
    -------
    list of MoveChunk
        At most one, for a chunk without any task that runs or may run; the most
        urgent first, then the oldest.
    """
    if not offers or not state.owner or state.all_claimed_sequence is None:
        return []
    if state.record is None or state.row_pending:
        return []
    for live in sorted(state.chunks.values(), key=_rank_chunk):
        offer = _find_offer(state, live, offers)
        if offer is not None:
            return [_build_move(state, live, offer)]
    return []


def _find_offer(state, live, offers):
    if live.pending is not None or live.attempts or not list_startable(live):
        return None
    if not is_read_after_claims(state, live) or live.chunk in state.possibly_started:
        return None
    waited_s = state.now_s() - live.idle_since_s
    if state.links and waited_s < state.timing.move_s:
        return None
    spec = live.record.spec
    allowed = [
        offer
        for offer in offers
        if offer.shard != state.shard
        and spec.failure_domain in ("", offer.failure_domain)
        and can_hold(offer, spec.demand)
    ]
    best = max(allowed, key=lambda offer: _rank(offer, spec.demand), default=None)
    if best is None or (state.links and estimate_room(best, spec.demand) <= 0):
        return None
    return best


def _rank_chunk(live):
    if live.record is None:
        return len(URGENCIES), 0
    return URGENCIES.index(live.record.spec.urgency), live.record.submitted_ms


def _rank(offer, demand):
    return estimate_room(offer, demand), offer.shard


def _build_move(state, live, offer):
    record = msgspec.structs.replace(
        live.record, shard=offer.shard, failure_domain=offer.failure_domain
    )
    live.pending = MoveChunk(
        write=ChunkWrite(
            record=record,
            expected_version=live.version,
            assignment_version=live.assignment_version,
        ),
        from_shard=state.record,
        from_shard_version=state.version,
    )
    # Only one write of the shard's row may be in flight.
    state.row_pending = live.pending
    return live.pending


def apply_move(state, command, result):
    """Apply the result of a move; a success holds the shard row's new version."""
    if state.row_pending is not command:
        return
    state.row_pending = None
    live = state.chunks.get(command.write.record.chunk)
    if live is not None and live.pending is command:
        live.pending = None
    if isinstance(result, Success):
        state.version = result.unwrap()
        if live is not None:
            drop_chunk(state, live)
        return
    error = result.failure()
    if isinstance(error, Conflict) and _is_shard_row_conflict(command, error):
        step_down(state)
        return
    if not isinstance(error, Conflict):
        state.record = None
        state.row_read = False
    if live is not None:
        handle_write_failure(state, live, error)


def _is_shard_row_conflict(command, error):
    return any(
        row.key == command.from_shard.shard and row.version > 0 for row in error.rows
    )
