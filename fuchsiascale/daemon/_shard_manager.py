"""Drives the shards of a failure domain and executes their commands."""

import asyncio

import logbook
import msgspec
from returns.result import Failure, Success

from fuchsiascale.api import ShardDigest, ShardStatus, TaskExplanation, WorkNotice
from fuchsiascale.coordination import (
    ExchangeWorker,
    MoveChunk,
    Shard,
    ShardPolicy,
    compute_committed,
    format_task_id,
)
from fuchsiascale.daemon._command_executor import CommandExecutor
from fuchsiascale.daemon._orphans import (
    choose_owner,
    find_assigned_shards,
    list_orphan_domains,
)
from fuchsiascale.daemon._worker_entries import WorkerEntryCache
from fuchsiascale.decisions import PolicyWeights
from fuchsiascale.ids import InstanceId
from fuchsiascale.platform import Resources, Uncertain
from fuchsiascale.states import InstanceRole

__all__ = ["HANDOVER_TIMEOUT_S", "ShardManager"]

HANDOVER_TIMEOUT_S = 5.0
HANDOVER_POLL_S = 0.05
ORPHAN_SEARCH_PERIOD_S = 30.0
MOVE_PERIOD_S = 5.0
MAX_MOVES_PER_PERIOD = 64

log = logbook.Logger("shards")


class ShardManager:
    """Runs the shards that this instance should own.

    Parameters
    ----------
    instance : InstanceId
    tables : Tables
    workers : Workers
    clock : Clock
    random : random.Random
    view : callable
        ``() -> ClusterView``.
    fleet : callable
        ``() -> Fleet``.
    offers : callable or None
        ``() -> sequence of ShardOffer``, shards that chunks may be moved to.
    notify : callable or None
        ``async (WorkNotice) -> None``, notifies the owner of another shard.
    timing : ShardTiming or None
    meters : WorkMeters or None
    """

    def __init__(
        self,
        instance,
        tables,
        workers,
        clock,
        random,
        view,
        fleet,
        offers=None,
        notify=None,
        timing=None,
        meters=None,
    ):
        self._instance = instance
        self._tables = tables
        self._clock = clock
        self._random = random
        self._view = view
        self._fleet = fleet
        self._offers = offers or tuple
        self._notify = notify
        self._timing = timing
        self._meters = meters
        self._executor = CommandExecutor(instance, tables, workers, random)
        self._entry_cache = WorkerEntryCache()
        self._orphans = frozenset()
        self._orphans_due_s = (
            clock.monotonic() + ORPHAN_SEARCH_PERIOD_S * random.random()
        )
        self._moves_due_s = 0.0
        self._moves_left = 0
        self._offered = ()
        self._shards = {}
        self._policies = {}
        self._calls = set()
        self._stopping = False

    async def run_once(self):
        """Apply the current view and start the commands that are due.

        The results are applied as the calls end.
        """
        view = self._view()
        fleet = self._fleet()
        entries = self._entry_cache.group(view, fleet)
        self._start_orphan_search(view, fleet)
        for shard_id in (*entries, *self._orphans):
            if shard_id not in self._shards:
                self._shards[shard_id] = self._build_shard(shard_id)
        offers = self._collect_offers()
        may_own = not self._stopping
        for shard_id, shard in list(self._shards.items()):
            workers = entries.get(shard_id, ())
            owner = choose_owner(shard_id, view) == self._instance
            shard.observe(owner and may_own, workers, view.listed, fleet.kinds)
            self._configure(shard_id, fleet, len(workers), view)
            self._execute_due(shard, offers)
            if shard.idle and shard_id not in self._orphans:
                del self._shards[shard_id]
                del self._policies[shard_id]

    def _collect_offers(self):
        """Return the shards that chunks may be moved to; none between move periods."""
        now_s = self._clock.monotonic()
        if now_s < self._moves_due_s:
            return ()
        self._moves_due_s = now_s + MOVE_PERIOD_S
        self._moves_left = MAX_MOVES_PER_PERIOD
        self._offered = tuple(self._offers())
        return self._offered

    def _start_orphan_search(self, view, fleet):
        now_s = self._clock.monotonic()
        if now_s < self._orphans_due_s or self._stopping:
            return
        self._orphans_due_s = now_s + ORPHAN_SEARCH_PERIOD_S * (
            0.9 + self._random.random() / 5
        )
        domains = list_orphan_domains(view, fleet)
        self._spawn(self._find_orphans(domains))

    async def _find_orphans(self, domains):
        found = [await find_assigned_shards(self._tables, name) for name in domains]
        self._orphans = frozenset().union(*found)

    async def handle_notice(self, notice):
        """Handle a notice that chunk rows of a shard were written.

        Parameters
        ----------
        notice : WorkNotice
        """
        shard = self._shards.get(notice.shard)
        if shard is not None and shard.owner and shard.held:
            shard.notice(notice.chunks)
            self._execute_due(shard)

    async def hand_over(self):
        """Stop placing tasks, record all ends, and release every claim.

        Returns
        -------
        tuple of ShardId
            The shards that were released.
        """
        self._stopping = True
        for shard in self._shards.values():
            shard.stop_placing()
        until_s = self._clock.monotonic() + HANDOVER_TIMEOUT_S
        while self._clock.monotonic() < until_s and not self._is_idle():
            for shard in self._shards.values():
                self._execute_due(shard)
            await asyncio.sleep(HANDOVER_POLL_S)
        released = [shard.shard for shard in self._shards.values() if shard.held]
        for shard in self._shards.values():
            for command in shard.release():
                self._spawn(self._execute(shard, command))
        await self.wait_for_calls()
        self._shards = {}
        self._policies = {}
        return tuple(released)

    async def wait_for_calls(self):
        """Wait until no call is in flight."""
        while self._calls:
            await asyncio.wait(self._calls)

    def digests(self):
        """Return a digest of each held shard, which is sent to the peers."""
        return tuple(
            ShardDigest(
                shard=shard.shard,
                token=shard.find_token(),
                free=shard.compute_free(),
                waiting=shard.count_waiting(),
                shapes=shard.list_worker_sizes(),
            )
            for shard in self._shards.values()
            if shard.held
        )

    def held_claims(self):
        """Return the held claims on workers, by worker id."""
        return {
            link.worker: link.held_claim
            for shard in self._shards.values()
            for link in shard.links()
            if link.claimed
        }

    def statuses(self):
        """Return the state of each shard known here."""
        view = self._view()
        return tuple(self._build_status(shard, view) for shard in self._shards.values())

    def explain(self, chunk):
        """Return why each unfinished task of a chunk waits or where it runs.

        Parameters
        ----------
        chunk : ChunkId
        """
        for shard in self._shards.values():
            live = shard.find_chunk(chunk)
            if live is not None:
                return tuple(_explain_tasks(shard, live))
        return ()

    def observe_latency(self, measured):
        """Respond to a service's latency at a worker: throttle or evict there.

        Parameters
        ----------
        measured : ServiceLatency
        """
        for shard_id, shard in self._shards.items():
            if shard.held and any(
                link.worker == measured.worker for link in shard.links()
            ):
                response = self._policies[shard_id].observe_latency(measured)
                shard.queue_response(measured.worker, response)

    def _build_shard(self, shard_id):
        policy = ShardPolicy(self._clock, self._random)
        self._policies[shard_id] = policy
        return Shard(
            shard_id,
            self._instance,
            self._clock,
            self._random,
            policy,
            timing=self._timing,
            meters=self._meters,
        )

    def _configure(self, shard_id, fleet, shard_workers, view):
        policy = fleet.policy
        weights = PolicyWeights(
            tail_latency=policy.tail_latency_weight,
            throughput=policy.throughput_weight,
            evictions=policy.eviction_weight,
        )
        all_workers = sum(entry.role is InstanceRole.WORKER for entry in view.upstreams)
        share = shard_workers / all_workers if all_workers else 1.0
        self._policies[shard_id].configure(fleet.kinds, fleet.teams, weights, share)

    def _is_idle(self):
        return not self._calls and all(s.quiet for s in self._shards.values())

    def _build_status(self, shard, view):
        inventories = [link.inventory for link in shard.links() if link.inventory]
        capacity = sum((i.capacity for i in inventories), start=Resources())
        committed = sum(
            (compute_committed(link) for link in shard.links()), start=Resources()
        )
        return ShardStatus(
            shard=shard.shard,
            owner=choose_owner(shard.shard, view) or InstanceId(""),
            token=shard.find_token(),
            workers=len(shard.links()),
            capacity=capacity,
            committed=committed,
            waiting=shard.count_waiting(),
            running=shard.count_running(),
            in_doubt=shard.count_in_doubt(),
        )

    def _execute_due(self, shard, offers=()):
        for command in shard.poll(offers):
            self._spawn(self._execute(shard, command, execute_next=True))

    def _spawn(self, coroutine):
        task = asyncio.create_task(coroutine)
        self._calls.add(task)
        task.add_done_callback(self._calls.discard)

    async def _execute(self, shard, command, execute_next=False):
        try:
            result = await self._executor.execute(command)
        except Exception as error:
            log.exception("command of shard {} failed", shard.shard)
            result = Failure(Uncertain(detail=str(error)))
        shard.apply(command, result)
        if isinstance(command, MoveChunk) and isinstance(result, Success):
            await self._finish_move(shard, command.write.record)
        # After an exchange without an ended attempt, nothing is urgent.
        if execute_next and not (isinstance(command, ExchangeWorker) and shard.quiet):
            self._execute_due(shard)

    async def _finish_move(self, shard, record):
        """Notify the new owner, and move the next chunk up to the period's limit."""
        log.info("chunk {} moved to shard {}", record.chunk, record.shard)
        if self._notify is not None:
            await self._notify(WorkNotice(shard=record.shard, chunks=(record.chunk,)))
        self._offered = tuple(
            msgspec.structs.replace(offer, waiting=offer.waiting + len(record.tasks))
            if offer.shard == record.shard
            else offer
            for offer in self._offered
        )
        self._moves_left -= 1
        if self._moves_left > 0:
            self._execute_due(shard, self._offered)


def _explain_tasks(shard, live):
    for task in live.record.tasks:
        if task.state.final:
            continue
        task_id = format_task_id(live.chunk, task.index)
        attempt = live.attempts.get(task.index)
        if attempt is None:
            reason = shard.explain_wait(live, task.index)
            yield TaskExplanation(task=task_id, state="waiting", reason=reason)
            continue
        yield TaskExplanation(
            task=task_id,
            state=attempt.phase.value,
            worker=attempt.worker,
            reason=attempt.report.detail,
            figures=attempt.figures,
        )
