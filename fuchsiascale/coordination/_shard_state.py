"""State of a shard at its owner, with the queries and updates that its parts share."""

from returns.result import Success

from fuchsiascale.coordination._attempts import parse_task_id
from fuchsiascale.coordination._leases import LEASE_S
from fuchsiascale.coordination._live_chunks import LiveChunk
from fuchsiascale.coordination._shard_policy import parse_job_id
from fuchsiascale.platform import Conflict, Message
from fuchsiascale.states import AttemptState

__all__ = [
    "DEFAULT_MAX_FAILURES",
    "ShardState",
    "ShardTiming",
    "drop_chunk",
    "end_attempt",
    "find_attempt",
    "find_record",
    "find_task",
    "is_recorded",
    "is_unwanted",
    "list_attempts",
    "can_call_store",
    "handle_end",
    "record_store_result",
    "remove_attempt",
    "require_read",
    "store_attempt",
]

DEFAULT_MAX_FAILURES = 3
MAX_DOUBLINGS = 8


class ShardTiming(Message):
    """Periods and delays of an owner, in seconds.

    Parameters
    ----------
    exchange_s : float
        Period of the exchanges with a worker while no attempt ends.
    busy_exchange_s : float
        Shortest period of the exchanges while attempts end.
    lease_s : float
        Duration of a lease granted to a worker.
    commit_s : float
        Minimum time between two writes of a chunk, unless one of its tasks must run
        again or the chunk is final.
    scan_s : float
        Period of the scans of the shard's assignment rows.
    retry_s, max_retry_s : float
        First and longest delay before a call without an answer is repeated.
    store_retry_s, max_store_retry_s : float
        First and longest delay before the store is called again after a failure.
    doubt_leases : float
        How long to wait for an unreachable worker after its lease has expired, as a
        multiple of the lease's duration.
    step_down_s, max_step_down_s : float
        First and longest delay before a lost shard is claimed again.
    gone_s : float
        How long a worker that was listed must be absent from the list to be gone.
    unlisted_s : float
        The same for a worker that this owner has never seen in the list.
    move_s : float
        How long a chunk must have waited before it is moved.
    place_retry_s : float
        How long to wait after a round that placed nothing, unless an attempt ends.
    """

    exchange_s: float = 1.0
    busy_exchange_s: float = 1.0
    lease_s: float = LEASE_S
    commit_s: float = 2.0
    scan_s: float = 10.0
    retry_s: float = 0.25
    max_retry_s: float = 1.0
    store_retry_s: float = 0.5
    max_store_retry_s: float = 4.0
    doubt_leases: float = 2.0
    step_down_s: float = 1.0
    max_step_down_s: float = 30.0
    gone_s: float = 2.0
    unlisted_s: float = 30.0
    move_s: float = 30.0
    place_retry_s: float = 1.0


class ShardState:
    """State of one shard at the instance that owns it or tries to take it over.

    Attributes
    ----------
    links : dict of WorkerId to WorkerLink
    chunks : dict of ChunkId to LiveChunk
    foreign : set of ChunkId
        Chunks that were read and belong to another shard, or are final.
    chunks_with_ends : set of ChunkId
        Chunks that may have attempts whose end has to be recorded.
    owner : bool
        Whether this instance should own the shard.
    record : ShardRecord or None
        The shard's row as this owner has written it; None before the takeover.
    version : int
        Version of the shard's row.
    confirmed_s : float
        Monotonic time at which the last successful write of the shard's row was
        sent, in seconds.
    sequence : int
        Number of reads so far; orders reads against claims.
    all_claimed_sequence : int or None
        Value of ``sequence`` when every worker that may hold attempts was claimed
        or gone; None before.
    all_claimed_s : float
        Monotonic time of that moment, in seconds.
    workers_without_room : set of WorkerId
        Workers that had no room for any task in the last round of placements.
    unseen_worker_gone : bool
        Whether a worker is gone that may hold attempts unknown to this owner.
    first_scan_done : bool
        Whether the first scan since the takeover is complete.
    possibly_started : set of ChunkId
        Chunks of that scan whose next attempts may have run on such a worker.
    """

    def __init__(self, shard, instance, clock, random, policy, timing, meters):
        self.shard = shard
        self.instance = instance
        self.clock = clock
        self.random = random
        self.policy = policy
        self.meters = meters
        self.timing = timing
        self.kinds = {}
        self.owner = False
        self.placing = True
        self.step_downs = 0
        self.backoff_until_s = 0.0
        self.links = {}
        self.reset()

    def reset(self):
        """Drop all state except the links to the workers."""
        self.chunks = {}
        self.foreign = set()
        self.chunks_with_ends = set()
        self.record = None
        self.version = 0
        self.confirmed_s = float("-inf")
        self.row_pending = None
        self.row_read = False
        self.row_due_s = 0.0
        self.sequence = 0
        self.all_claimed_sequence = None
        self.all_claimed_s = float("inf")
        self.unseen_worker_gone = False
        self.first_scan_done = False
        self.possibly_started = set()
        self.scan_pending = None
        self.scan_page = None
        self.scan_due_s = 0.0
        self.scanned = {}
        self.store_due_s = 0.0
        self.store_failures = 0
        self.place_due_s = 0.0
        self.workers_without_room = set()
        self.turn = 0

    def now_s(self):
        """Return the monotonic time, in seconds."""
        return self.clock.monotonic()

    def max_failures(self, record):
        """Return the number of failures after which a task of a chunk is final."""
        kind = self.kinds.get(record.spec.kind)
        return DEFAULT_MAX_FAILURES if kind is None else kind.max_failures


def record_store_result(state, result):
    """Record whether the store answered; back off after consecutive failures."""
    failed = not isinstance(result, Success)
    if not failed or isinstance(result.failure(), Conflict):
        state.store_failures = 0
        return
    timing = state.timing
    delay_s = timing.store_retry_s * 2 ** min(state.store_failures, MAX_DOUBLINGS)
    state.store_failures += 1
    jitter = 0.5 + state.random.random()
    state.store_due_s = state.now_s() + min(delay_s, timing.max_store_retry_s) * jitter


def can_call_store(state):
    """Return whether the store may be read or written now."""
    return state.now_s() >= state.store_due_s


def list_attempts(state):
    """Return all attempts whose end is not recorded."""
    return [
        attempt for live in state.chunks.values() for attempt in live.attempts.values()
    ]


def find_record(state, chunk):
    """Return the last known durable row of a chunk, or None."""
    live = state.chunks.get(chunk)
    return None if live is None else live.record


def find_task(state, task):
    """Return the durable record of a task, or None."""
    chunk, index = parse_task_id(task)
    record = find_record(state, chunk)
    if record is None:
        return None
    return next((entry for entry in record.tasks if entry.index == index), None)


def find_attempt(state, task):
    """Return the attempt at a task whose end is not recorded, or None."""
    chunk, index = parse_task_id(task)
    live = state.chunks.get(chunk)
    return None if live is None else live.attempts.get(index)


def store_attempt(state, link, live, index, attempt):
    """Store an attempt at its chunk and its worker's link."""
    replaced = live.attempts.get(index)
    if replaced is not None:
        remove_attempt(state, replaced)
    live.attempts[index] = attempt
    link.attempts[attempt.key] = attempt


def end_attempt(state, attempt, detail):
    """End an attempt whose end the worker has not reported."""
    attempt.end(AttemptState.STOPPED, detail)
    handle_end(state, attempt)


def handle_end(state, attempt):
    """Report the end of an attempt to the policy and schedule its record."""
    report = attempt.report
    state.policy.record_end(attempt.worker, report.task, report.state)
    state.chunks_with_ends.add(parse_task_id(report.task)[0])


def remove_attempt(state, attempt):
    """Drop an attempt, so that its room can be reused."""
    state.place_due_s = 0.0
    chunk, index = parse_task_id(attempt.report.task)
    live = state.chunks.get(chunk)
    if live is not None and live.attempts.get(index) is attempt:
        del live.attempts[index]
        if not live.attempts:
            live.idle_since_s = state.now_s()
    link = state.links.get(attempt.worker)
    if link is not None:
        link.attempts.pop(attempt.key, None)


def require_read(state, chunk):
    """Mark a chunk row as to be read, and return the chunk."""
    live = state.chunks.get(chunk)
    if live is None:
        live = LiveChunk(chunk=chunk, idle_since_s=state.now_s())
        state.chunks[chunk] = live
    live.stale = True
    live.stale_after_write = False
    state.foreign.discard(chunk)
    return live


def drop_chunk(state, live):
    """Drop a chunk that is final or belongs to another shard.

    Attempts that may still run keep their room until the worker's next inventory,
    which reports them so that they are stopped.
    """
    for attempt in list(live.attempts.values()):
        link = state.links.get(attempt.worker)
        if link is not None and not attempt.has_ended:
            link.dropped[attempt.key] = attempt.report.demand
        remove_attempt(state, attempt)
    state.chunks.pop(live.chunk, None)
    state.chunks_with_ends.discard(live.chunk)
    state.foreign.add(live.chunk)
    job = parse_job_id(live.chunk)
    if all(parse_job_id(chunk) != job for chunk in state.chunks):
        state.policy.forget_job(job)


def is_recorded(state, report):
    """Return whether the durable row records a reported attempt as ended."""
    chunk, _ = parse_task_id(report.task)
    if chunk in state.foreign:
        return True
    task = find_task(state, report.task)
    return task is not None and task.has_ended(report.attempt)


def is_unwanted(state, link, report):
    """Return whether a running attempt must be stopped."""
    if is_recorded(state, report):
        return True
    chunk, _ = parse_task_id(report.task)
    record = find_record(state, chunk)
    if record is None:
        return False
    attempt = find_attempt(state, report.task)
    elsewhere = attempt is not None and attempt is not link.attempts.get(report.key)
    return record.cancelled or elsewhere
