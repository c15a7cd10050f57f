"""A shard and its owner: events in, commands out, no I/O.

Notes
-----
Four rules keep a task from running in two places:

a. a worker refuses a command whose token is not the highest it has seen;
b. a task is started only after every worker that may hold it is claimed or gone;
c. its row is read after those claims;
d. an ended attempt is acknowledged only after its end is recorded.
"""

import msgspec
from returns.result import Success

from fuchsiascale.coordination._attempts import Attempt, AttemptPhase, parse_task_id
from fuchsiascale.coordination._firstfit import (
    PlacementRequest,
    WorkerFree,
    place_first_fit,
)
from fuchsiascale.coordination._livechunks import (
    LiveChunk,
    compute_record,
    drop_recorded,
    list_startable,
)
from fuchsiascale.coordination._ownership import raise_token
from fuchsiascale.coordination._records import (
    Assignment,
    ChunkRecord,
    format_task_id,
)
from fuchsiascale.coordination._shardcommands import (
    ChunkWrite,
    ClaimWorker,
    ExchangeWorker,
    ReadAssignments,
    ReadChunk,
    StartAttempts,
    WriteChunk,
)
from fuchsiascale.coordination._workerlinks import WorkerLink, compute_free
from fuchsiascale.ids import AttemptNumber
from fuchsiascale.platform import (
    AttemptReport,
    ClaimRequest,
    Conflict,
    ExchangeRequest,
    Fenced,
    Message,
    Resources,
    StartCommand,
    StartRequest,
    Unavailable,
)
from fuchsiascale.states import AttemptState

__all__ = ["Shard", "ShardTiming", "WorkerEntry"]

MAX_STARTS_A_ROUND = 512
DEFAULT_MAX_FAILURES = 3


class ShardTiming(Message):
    """Periods of an owner's dealings, in seconds."""

    exchange_s: float = 1.0
    scan_s: float = 10.0
    retry_s: float = 0.5
    max_retry_s: float = 4.0
    step_down_s: float = 2.0
    gone_s: float = 30.0


class WorkerEntry(Message):
    """A worker of the shard, as the list and the fleet document have it."""

    worker: str
    address: str
    services: tuple[str, ...] = ()
    reserve: Resources = Resources()
    leaving: bool = False


class Shard:
    """State of one shard at the instance that owns it, or tries to.

    Parameters
    ----------
    shard : ShardId
    instance : InstanceId
    clock : Clock
    random : random.Random
    place : callable
        ``(workers, requests) -> list of Placement``.
    timing : ShardTiming
    """

    def __init__(self, shard, instance, clock, random, place=None, timing=None):
        self.shard = shard
        self.instance = instance
        self.timing = timing or ShardTiming()
        self.links = {}
        self.chunks = {}
        self.foreign = set()
        self.owner = False
        self.placing = True
        self.kinds = {}
        self._clock = clock
        self._random = random
        self._place = place or place_first_fit
        self._sequence = 0
        self._secured_at = None
        self._backoff_until_s = 0.0
        self._scan_due_s = 0.0
        self._scan_pending = None
        self._next_page = None
        self._scanned = {}
        self._reasons = {}

    # Events

    def observe(self, owner, entries, listed, kinds):
        """Take in who should own the shard and which workers it has.

        Parameters
        ----------
        owner : bool
            Whether this instance should own the shard.
        entries : iterable of WorkerEntry
        listed : bool
            Whether an absent worker is known to be absent from the list.
        kinds : mapping of JobKindId to KindSettings
        """
        self.owner = owner
        self.kinds = kinds
        now_s = self._clock.monotonic()
        present = set()
        for entry in entries:
            present.add(entry.worker)
            self._observe_worker(entry)
        for worker, link in list(self.links.items()):
            if worker in present:
                link.absent_since_s = None
            elif listed:
                self._observe_absence(link, now_s)

    def _observe_worker(self, entry):
        link = self.links.get(entry.worker)
        if link is None:
            link = WorkerLink(worker=entry.worker, address=entry.address)
            self.links[entry.worker] = link
        link.address = entry.address
        link.services = entry.services
        link.reserve = entry.reserve
        link.leaving = entry.leaving

    def _observe_absence(self, link, now_s):
        if link.absent_since_s is None:
            link.absent_since_s = now_s
        if now_s - link.absent_since_s < self.timing.gone_s:
            return
        for attempt in link.attempts.values():
            attempt.end(AttemptState.STOPPED, "the worker is gone")
        del self.links[link.worker]

    def notice(self, chunks):
        """Take in the word that chunk rows were written."""
        for chunk in chunks:
            self._require_read(chunk)

    def apply_claim(self, command, result):
        """Take in the answer to a claim."""
        link = self._finish_call(command)
        if link is None:
            return
        match result:
            case Success(reply) if reply.granted:
                link.highest = link.token = command.request.token
                link.failures = 0
                link.previous = reply.previous
                link.claimed_s = self._clock.monotonic()
                link.confirmed_s = link.lease.sent_s
                self._take_inventory(link, reply.inventory, after_claim=True)
                link.due_s = self._clock.monotonic()
                self._check_secured()
            case Success(reply):
                self._meet_higher(link, reply.highest)
            case _:
                self._meet_failure(link, result.failure())

    def apply_exchange(self, command, result):
        """Take in the answer to an exchange."""
        link = self._finish_call(command)
        if link is None:
            return
        match result:
            case Success(reply) if reply.accepted:
                link.failures = 0
                link.confirmed_s = link.lease.sent_s
                self._take_inventory(link, reply.inventory, after_claim=False)
            case Success(reply):
                self._meet_higher(link, reply.highest)
            case _:
                self._meet_failure(link, result.failure())

    def apply_start(self, command, result):
        """Take in the answer to a batch of starts."""
        link = self._finish_call(command)
        if link is None:
            return
        match result:
            case Success(reply) if reply.accepted:
                self._apply_start_results(link, command, reply.results)
            case Success(reply):
                self._drop_starts(link, command.request.starts, "fenced")
                self._meet_higher(link, reply.highest)
            case _:
                self._fail_start(link, command, result.failure())

    def _fail_start(self, link, command, error):
        starts = command.request.starts
        if isinstance(error, Unavailable | Fenced):
            self._drop_starts(link, starts, "the worker did not answer")
        else:
            self._doubt_starts(link, starts)
        self._meet_failure(link, error)

    def _apply_start_results(self, link, command, results):
        by_task = {result.task: result for result in results}
        refused = []
        for start in command.request.starts:
            result = by_task.get(start.task)
            attempt = self._find_attempt(start.task)
            if attempt is None:
                continue
            if result is not None and result.started:
                attempt.phase = AttemptPhase.RUNNING
                continue
            refused.append(start)
            self._reasons[start.task] = result.reason if result else "no result"
        self._drop_starts(link, refused, None)
        link.due_s = self._clock.monotonic() if refused else link.due_s

    def apply_assignments(self, command, result):
        """Take in one page of the shard's assignment rows."""
        if command is not self._scan_pending:
            return
        self._scan_pending = None
        now_s = self._clock.monotonic()
        if not isinstance(result, Success):
            self._scan_due_s = now_s + self.timing.retry_s
            return
        page = result.unwrap()
        for row in page.rows:
            chunk = msgspec.json.decode(row.value, type=Assignment).chunk
            self._scanned[chunk] = row.version
        if page.next_after:
            self._scan_pending = ReadAssignments(
                shard=self.shard, after=page.next_after
            )
            self._next_page = self._scan_pending
            return
        self._finish_scan()
        self._scan_due_s = now_s + self.timing.scan_s

    def _finish_scan(self):
        for chunk, version in self._scanned.items():
            live = self.chunks.get(chunk)
            if live is None or live.assignment_version != version:
                self._require_read(chunk).assignment_version = version
        for chunk in set(self.chunks) - set(self._scanned):
            self._require_read(chunk)
        self._scanned = {}

    def apply_chunk(self, command, result):
        """Take in a chunk row."""
        live = self.chunks.get(command.chunk)
        if live is None or live.pending is not command:
            return
        live.pending = None
        if not isinstance(result, Success):
            live.due_s = self._clock.monotonic() + self.timing.retry_s
            return
        row = result.unwrap()
        record = row and msgspec.json.decode(row.value, type=ChunkRecord)
        if record is None or record.shard != self.shard or record.final:
            self._drop_chunk(live)
            return
        live.stale = False
        live.record = record
        live.version = row.version
        live.sequence = command.sequence
        drop_recorded(live)
        self._reconcile_chunk(live)

    def apply_write(self, command, result):
        """Take in whether a chunk row was written."""
        write = command.write
        live = self.chunks.get(write.record.chunk)
        if live is None or live.pending is not command:
            return
        live.pending = None
        match result:
            case Success(version):
                live.record = write.record
                live.version = version
                self._forget_recorded(live)
                if live.record.final:
                    self._drop_chunk(live)
            case _:
                self._meet_failed_write(live, result.failure())

    def _meet_failed_write(self, live, error):
        now_s = self._clock.monotonic()
        live.stale = True
        live.due_s = now_s + self.timing.retry_s * self._random.random()
        if isinstance(error, Conflict):
            # The assignment row may be the one that has changed.
            self._scan_due_s = now_s

    # Commands

    def poll(self):
        """Return the commands that are due, each a typed message."""
        now_s = self._clock.monotonic()
        if not self.owner and not any(link.claimed for link in self.links.values()):
            return []
        if now_s < self._backoff_until_s:
            return []
        self._end_lapsed(now_s)
        commands = self._list_claims(now_s)
        commands += self._list_reads(now_s)
        commands += self._list_writes(now_s)
        commands += self._list_starts()
        commands += self._list_exchanges(now_s)
        return commands

    def release(self):
        """Return the exchanges that give up every claim."""
        commands = []
        for link in self.links.values():
            if link.claimed and link.pending is None:
                request = self._build_exchange(link, release=True)
                commands.append(self._send_exchange(link, request))
        return commands

    @property
    def quiet(self):
        """Whether no start and no write is in flight or due."""
        starting = any(
            isinstance(link.pending, StartAttempts) for link in self.links.values()
        )
        unrecorded = any(
            attempt.phase is AttemptPhase.ENDED
            for live in self.chunks.values()
            for attempt in live.attempts.values()
        )
        return not starting and not unrecorded

    @property
    def held(self):
        """Whether every worker of the shard is or was claimed, so that it starts."""
        return self._secured_at is not None

    def explain_wait(self, task):
        """Return why a task is not started."""
        if self._secured_at is None:
            lacking = [w for w, link in self.links.items() if not link.claimed]
            return "not every worker is claimed: " + ", ".join(sorted(lacking))
        return self._reasons.get(task, "") or "not placed yet"

    def step_down(self):
        """Give up all that is known of the shard, and wait for a while."""
        jitter = 1 + self._random.random()
        now_s = self._clock.monotonic()
        self._backoff_until_s = now_s + self.timing.step_down_s * jitter
        self._secured_at = None
        self._scan_pending = None
        self._scan_due_s = 0.0
        self._scanned = {}
        self.chunks = {}
        self.foreign = set()
        self.links = {
            worker: WorkerLink(
                worker=worker,
                address=link.address,
                services=link.services,
                reserve=link.reserve,
                leaving=link.leaving,
                highest=link.highest,
                absent_since_s=link.absent_since_s,
            )
            for worker, link in self.links.items()
        }

    def _list_claims(self, now_s):
        if not self.owner:
            return []
        commands = []
        for link in self.links.values():
            if link.claimed or link.pending is not None or now_s < link.due_s:
                continue
            token = raise_token(link.highest, self.instance)
            request = ClaimRequest(token=token, lease_ms=self._lease_ms(link))
            command = ClaimWorker(
                worker=link.worker, address=link.address, request=request
            )
            link.pending = command
            link.lease.grant(now_s)
            commands.append(command)
        return commands

    def _list_reads(self, now_s):
        if self._secured_at is None:
            return []
        commands = []
        if self._scan_pending is not None and self._next_page is not None:
            commands.append(self._next_page)
        elif self._scan_pending is None and now_s >= self._scan_due_s:
            self._scan_pending = ReadAssignments(shard=self.shard, after="")
            commands.append(self._scan_pending)
        self._next_page = None
        for live in self.chunks.values():
            if not live.stale or live.pending is not None or now_s < live.due_s:
                continue
            self._sequence += 1
            live.pending = ReadChunk(chunk=live.chunk, sequence=self._sequence)
            commands.append(live.pending)
        return commands

    def _list_writes(self, now_s):
        commands = []
        for live in self.chunks.values():
            if live.record is None or live.stale or live.pending is not None:
                continue
            record = compute_record(live, self._max_failures(live.record))
            if record == live.record or now_s < live.due_s:
                continue
            write = ChunkWrite(
                record=record,
                expected_version=live.version,
                assignment_version=live.assignment_version,
            )
            live.pending = WriteChunk(write=write)
            commands.append(live.pending)
        return commands

    def _list_starts(self):
        if not (self.owner and self.placing) or self._secured_at is None:
            return []
        waiting = self._list_waiting()
        workers = [
            WorkerFree(
                worker=link.worker,
                free=compute_free(link),
                capacity=link.inventory.capacity,
                services=link.services,
            )
            for link in self.links.values()
            if self._accepts(link)
        ]
        if not waiting or not workers:
            return []
        requests = [
            PlacementRequest(
                task=task, kind=record.spec.kind, demand=record.spec.demand
            )
            for task, record, _ in waiting
        ]
        placements = self._place(workers, requests)
        return self._build_starts(waiting, placements)

    def _list_waiting(self):
        waiting = []
        for live in self.chunks.values():
            if live.sequence <= self._secured_at:
                continue
            for task in list_startable(live):
                task_id = format_task_id(live.chunk, task.index)
                waiting.append((task_id, live.record, task))
                if len(waiting) >= MAX_STARTS_A_ROUND:
                    return waiting
        return waiting

    def _build_starts(self, waiting, placements):
        by_worker = {}
        for (task_id, record, task), placement in zip(waiting, placements, strict=True):
            self._reasons[task_id] = placement.reason
            if placement.worker is None:
                continue
            start = StartCommand(
                task=task_id,
                attempt=AttemptNumber(task.attempt + 1),
                kind=record.spec.kind,
                demand=record.spec.demand,
                run_ms=record.spec.run_ms,
                checkpoint=task.checkpoint,
                payload=record.spec.payload,
            )
            link = self.links[placement.worker]
            self._add_attempt(link, start, placement)
            by_worker.setdefault(placement.worker, []).append(start)
        commands = []
        for worker, starts in by_worker.items():
            link = self.links[worker]
            request = StartRequest(token=link.token, starts=tuple(starts))
            link.pending = StartAttempts(
                worker=worker, address=link.address, request=request
            )
            commands.append(link.pending)
        return commands

    def _list_exchanges(self, now_s):
        commands = []
        for link in self.links.values():
            if link.claimed and link.pending is None and now_s >= link.due_s:
                request = self._build_exchange(link, release=False)
                commands.append(self._send_exchange(link, request))
        return commands

    def _send_exchange(self, link, request):
        now_s = self._clock.monotonic()
        command = ExchangeWorker(
            worker=link.worker, address=link.address, request=request
        )
        link.pending = command
        link.lease.grant(now_s)
        spread = 0.9 + 0.2 * self._random.random()
        link.due_s = now_s + self.timing.exchange_s * spread
        return command

    def _build_exchange(self, link, release):
        acknowledged = []
        stops = []
        for report in link.list_reports():
            if report.state.ended:
                if self._is_recorded(report):
                    acknowledged.append(report.key)
            elif self._is_unwanted(report):
                stops.append(report.key)
        return ExchangeRequest(
            token=link.token,
            lease_ms=self._lease_ms(link),
            acknowledged=tuple(acknowledged),
            stops=tuple(stops),
            release=release,
        )

    # State

    def _finish_call(self, command):
        link = self.links.get(command.worker)
        if link is None or link.pending is not command:
            return None
        link.pending = None
        return link

    def _meet_higher(self, link, highest):
        link.highest = max(link.highest, highest)
        if link.token is None:
            return
        self.step_down()

    def _meet_failure(self, link, error):
        if isinstance(error, Fenced):
            self._meet_higher(link, error.highest)
            return
        now_s = self._clock.monotonic()
        delay_s = self.timing.retry_s * 2 ** min(link.failures, 8)
        link.failures += 1
        link.due_s = now_s + min(delay_s, self.timing.max_retry_s)

    def _check_secured(self):
        if self._secured_at is not None:
            return
        if all(link.claimed for link in self.links.values()):
            self._secured_at = self._sequence
            for live in self.chunks.values():
                live.stale = True

    def _take_inventory(self, link, inventory, after_claim):
        link.inventory = inventory
        reports = {report.key: report for report in inventory.attempts}
        for key, attempt in list(link.attempts.items()):
            if key in reports or attempt.phase is AttemptPhase.ENDED:
                continue
            if attempt.phase is AttemptPhase.IN_DOUBT and after_claim:
                self._remove_attempt(attempt)
            elif attempt.phase is AttemptPhase.RUNNING:
                attempt.end(AttemptState.STOPPED, "the worker lost the attempt")
        for report in inventory.attempts:
            self._reconcile_report(link, report)

    def _reconcile_chunk(self, live):
        for link in self.links.values():
            for report in link.list_reports():
                if parse_task_id(report.task)[0] == live.chunk:
                    self._reconcile_report(link, report)

    def _reconcile_report(self, link, report):
        chunk, index = parse_task_id(report.task)
        live = self.chunks.get(chunk)
        if live is None:
            if chunk not in self.foreign:
                self._require_read(chunk)
            return
        if live.record is None or self._is_recorded(report):
            return
        attempt = live.attempts.get(index)
        if attempt is None or attempt.report.attempt < report.attempt:
            phase = AttemptPhase.RUNNING
            attempt = Attempt(worker=link.worker, phase=phase, report=report)
            self._store_attempt(link, live, index, attempt)
        elif attempt.worker != link.worker or attempt.key != report.key:
            return
        if attempt.phase is not AttemptPhase.ENDED:
            attempt.report = report
            ended = report.state.ended
            attempt.phase = AttemptPhase.ENDED if ended else AttemptPhase.RUNNING

    def _add_attempt(self, link, start, placement):
        report = AttemptReport(
            task=start.task,
            attempt=start.attempt,
            kind=start.kind,
            state=AttemptState.RUNNING,
            demand=start.demand,
        )
        figures = (
            f"slowdown={placement.slowdown:.2f}",
            f"spare_millicores={placement.spare_millicores}",
        )
        attempt = Attempt(
            worker=link.worker,
            phase=AttemptPhase.STARTING,
            report=report,
            figures=figures,
        )
        chunk, index = parse_task_id(start.task)
        self._store_attempt(link, self.chunks[chunk], index, attempt)

    def _store_attempt(self, link, live, index, attempt):
        live.attempts[index] = attempt
        link.attempts[attempt.key] = attempt

    def _find_attempt(self, task):
        chunk, index = parse_task_id(task)
        live = self.chunks.get(chunk)
        return None if live is None else live.attempts.get(index)

    def _remove_attempt(self, attempt):
        chunk, index = parse_task_id(attempt.report.task)
        live = self.chunks.get(chunk)
        if live is not None and live.attempts.get(index) is attempt:
            del live.attempts[index]
        link = self.links.get(attempt.worker)
        if link is not None:
            link.attempts.pop(attempt.key, None)

    def _drop_starts(self, link, starts, reason):
        for start in starts:
            attempt = self._find_attempt(start.task)
            if attempt is not None and attempt.worker == link.worker:
                self._remove_attempt(attempt)
            if reason is not None:
                self._reasons[start.task] = reason

    def _doubt_starts(self, link, starts):
        for start in starts:
            attempt = self._find_attempt(start.task)
            if attempt is not None and attempt.worker == link.worker:
                attempt.phase = AttemptPhase.IN_DOUBT
        # Only a higher token keeps a start that is still under way from arriving.
        link.token = None

    def _end_lapsed(self, now_s):
        for link in self.links.values():
            if not link.lease.surely_over(now_s):
                continue
            for attempt in link.attempts.values():
                if attempt.phase is not AttemptPhase.ENDED:
                    attempt.end(AttemptState.STOPPED, "the worker's lease ran out")

    def _forget_recorded(self, live):
        for attempt in drop_recorded(live):
            link = self.links.get(attempt.worker)
            if link is not None:
                link.attempts.pop(attempt.key, None)

    def _drop_chunk(self, live):
        for attempt in live.attempts.values():
            link = self.links.get(attempt.worker)
            if link is not None:
                link.attempts.pop(attempt.key, None)
        self.chunks.pop(live.chunk, None)
        self.foreign.add(live.chunk)

    def _require_read(self, chunk):
        live = self.chunks.get(chunk)
        if live is None:
            live = self.chunks[chunk] = LiveChunk(chunk=chunk)
        live.stale = True
        self.foreign.discard(chunk)
        return live

    def _is_recorded(self, report):
        chunk, index = parse_task_id(report.task)
        if chunk in self.foreign:
            return True
        live = self.chunks.get(chunk)
        if live is None or live.record is None:
            return False
        return any(
            task.index == index and (task.state.final or task.attempt >= report.attempt)
            for task in live.record.tasks
        )

    def _is_unwanted(self, report):
        if self._is_recorded(report):
            return True
        live = self.chunks.get(parse_task_id(report.task)[0])
        return live is not None and live.record is not None and live.record.cancelled

    def _accepts(self, link):
        return (
            link.claimed
            and link.pending is None
            and link.inventory is not None
            and link.failures == 0
            and not link.leaving
            and not link.inventory.leaving
        )

    def _lease_ms(self, link):
        return int(link.lease.duration_s * 1000)

    def _max_failures(self, record):
        kind = self.kinds.get(record.spec.kind)
        return DEFAULT_MAX_FAILURES if kind is None else kind.max_failures
