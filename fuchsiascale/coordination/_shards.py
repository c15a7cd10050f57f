"""A shard at its owner: events in, commands out, no I/O.

Notes
-----
Four rules keep a task from running in two places:

a. a worker refuses a command whose token is not the highest it has seen;
b. a task is started only after every worker that may hold it is claimed or gone;
c. the row of its chunk is read after those claims;
d. an ended attempt is acknowledged only after its end is recorded.
"""

from fuchsiascale.coordination._attempts import AttemptPhase
from fuchsiascale.coordination._chunk_rows import (
    apply_assignments,
    apply_chunk,
    apply_write,
    list_reads,
    list_writes,
)
from fuchsiascale.coordination._exchanges import (
    apply_exchange,
    list_exchanges,
    list_releases,
    queue_response,
)
from fuchsiascale.coordination._live_chunks import list_startable
from fuchsiascale.coordination._moves import apply_move, list_moves
from fuchsiascale.coordination._shard_commands import (
    ClaimWorker,
    ExchangeWorker,
    MoveChunk,
    ReadAssignments,
    ReadChunk,
    ReadShard,
    StartAttempts,
    WriteChunk,
    WriteShard,
)
from fuchsiascale.coordination._shard_state import (
    ShardState,
    ShardTiming,
    list_attempts,
    require_read,
)
from fuchsiascale.coordination._starts import apply_start, list_starts
from fuchsiascale.coordination._takeover import (
    apply_claim,
    apply_shard_row,
    apply_shard_write,
    end_expired_attempts,
    list_claims,
    list_row_commands,
    observe_workers,
)
from fuchsiascale.coordination._work_meters import NullWorkMeters
from fuchsiascale.coordination._worker_links import compute_allocatable, compute_free
from fuchsiascale.platform import NO_TOKEN, Resources

__all__ = ["Shard"]

MAX_WORKER_SIZES = 8

_EVENTS = {
    ClaimWorker: apply_claim,
    ExchangeWorker: apply_exchange,
    MoveChunk: apply_move,
    ReadAssignments: apply_assignments,
    ReadChunk: apply_chunk,
    ReadShard: apply_shard_row,
    StartAttempts: apply_start,
    WriteChunk: apply_write,
    WriteShard: apply_shard_write,
}


class Shard:
    """One shard at the instance that owns it or tries to take it over.

    Parameters
    ----------
    shard : ShardId
    instance : InstanceId
    clock : Clock
    random : random.Random
    policy : ShardPolicy
    timing : ShardTiming or None
    meters : WorkMeters or None
    """

    def __init__(
        self, shard, instance, clock, random, policy, timing=None, meters=None
    ):
        timing = timing or ShardTiming()
        meters = meters or NullWorkMeters()
        self.state = ShardState(shard, instance, clock, random, policy, timing, meters)

    # Events

    def observe(self, owner, entries, listed, kinds):
        """Set who should own the shard and which workers it has.

        Parameters
        ----------
        owner : bool
            Whether this instance should own the shard.
        entries : iterable of WorkerEntry
        listed : bool
            Whether an absent worker is known to be absent from the list.
        kinds : mapping of JobKindId to KindSettings
        """
        self.state.owner = owner
        self.state.kinds = kinds
        observe_workers(self.state, entries, listed)

    def notice(self, chunks):
        """Have chunk rows read after a notice that they were written."""
        for chunk in chunks:
            require_read(self.state, chunk)

    def queue_response(self, worker, response):
        """Queue throttles and checkpoints for a worker's running attempts.

        Parameters
        ----------
        worker : WorkerId
        response : WorkerResponse
        """
        queue_response(self.state, worker, response)

    def apply(self, command, result):
        """Apply the result of a command that :meth:`poll` returned.

        Parameters
        ----------
        command : Message
        result : Result
            Result of the port's call; for a write, the new version of the row.
        """
        _EVENTS[type(command)](self.state, command, result)

    # Commands

    def poll(self, offers=()):
        """Return the commands that are due.

        Parameters
        ----------
        offers : sequence of ShardOffer
            Shards to which chunks may be moved.

        Returns
        -------
        list of Message
            Each must be executed once and its result passed to `apply`.
        """
        state = self.state
        if not state.owner and not any(link.claimed for link in state.links.values()):
            return []
        if state.now_s() < state.backoff_until_s:
            return []
        end_expired_attempts(state)
        commands = list_claims(state)
        commands += list_row_commands(state)
        commands += list_reads(state)
        commands += list_writes(state)
        commands += list_starts(state)
        commands += list_moves(state, offers)
        commands += list_exchanges(state)
        return commands

    def stop_placing(self):
        """Stop starting tasks."""
        self.state.placing = False

    def release(self):
        """Return the exchanges that release every claim."""
        return list_releases(self.state)

    # Queries

    @property
    def shard(self):
        """The shard's id."""
        return self.state.shard

    @property
    def owner(self):
        """Whether this instance should own the shard."""
        return self.state.owner

    @property
    def held(self):
        """Whether the takeover is complete, so that tasks may be started."""
        return self.state.all_claimed_sequence is not None

    @property
    def idle(self):
        """Whether the shard has neither workers nor chunks."""
        return not self.state.links and not self.state.chunks

    @property
    def quiet(self):
        """Whether no start is in flight and no end has to be recorded."""
        starting = any(
            isinstance(link.pending, StartAttempts)
            for link in self.state.links.values()
        )
        ended = any(attempt.has_ended for attempt in list_attempts(self.state))
        return not starting and not ended

    def links(self):
        """Return the links to the shard's workers."""
        return tuple(self.state.links.values())

    def find_token(self):
        """Return the highest token of the claims that are held."""
        tokens = [link.token for link in self.links() if link.claimed]
        return max(tokens, default=NO_TOKEN)

    def compute_free(self):
        """Return the uncommitted resources of all workers that accept new work."""
        free = (
            compute_free(link)
            for link in self.links()
            if link.inventory and not link.leaving and not link.entry.cordoned
        )
        return sum(free, start=Resources())

    def list_worker_sizes(self):
        """Return the largest distinct sizes of workers, the largest first."""
        shapes = {compute_allocatable(link) for link in self.links() if link.inventory}
        ordered = sorted(
            shapes,
            key=lambda s: (s.accelerators, s.millicores, s.memory_mb),
            reverse=True,
        )
        return tuple(ordered[:MAX_WORKER_SIZES])

    def count_waiting(self):
        """Return how many tasks wait to be started."""
        return sum(len(list_startable(live)) for live in self.state.chunks.values())

    def count_running(self):
        """Return how many attempts are known to run on reachable workers."""
        phases = [attempt.phase for attempt in list_attempts(self.state)]
        return phases.count(AttemptPhase.RUNNING) - self._count_unreachable()

    def count_in_doubt(self):
        """Return how many attempts may or may not be running."""
        phases = [attempt.phase for attempt in list_attempts(self.state)]
        return phases.count(AttemptPhase.IN_DOUBT) + self._count_unreachable()

    def _count_unreachable(self):
        return sum(
            attempt.phase is AttemptPhase.RUNNING
            for link in self.links()
            if link.failures
            for attempt in link.attempts.values()
        )

    def find_chunk(self, chunk):
        """Return a chunk of this shard, or None before its row is read."""
        live = self.state.chunks.get(chunk)
        return None if live is None or live.record is None else live

    def explain_wait(self, live, index):
        """Return why a task is not started."""
        state = self.state
        if not self.held:
            unclaimed = [link.worker for link in self.links() if not link.claimed]
            if unclaimed:
                return "in doubt: not every worker is claimed: " + ", ".join(unclaimed)
            return "the shard's row is not written yet"
        if live.stale:
            return "its row is to be read again"
        if not state.placing:
            return "the owner is stopping"
        return live.reasons.get(index) or "not placed yet"
