"""Drives the shards of a failure domain: carries out what they ask for."""

import asyncio

import logbook

from fuchsiascale.api import ShardDigest, ShardStatus, TaskExplanation
from fuchsiascale.coordination import (
    ASSIGNMENTS_TABLE,
    CHUNKS_TABLE,
    AttemptPhase,
    ClaimWorker,
    ExchangeWorker,
    GroupCommitter,
    ReadAssignments,
    ReadChunk,
    Shard,
    StartAttempts,
    WorkerEntry,
    WriteChunk,
    compute_free,
    find_owner,
    format_shard_id,
    format_task_id,
    list_startable,
)
from fuchsiascale.ids import InstanceId
from fuchsiascale.platform import NO_TOKEN, Resources
from fuchsiascale.states import InstanceRole, ListedState

__all__ = ["HAND_OVER_S", "ShardKeeper"]

HAND_OVER_S = 5.0
HAND_OVER_POLL_S = 0.05

log = logbook.Logger("shards")


class ShardKeeper:
    """Owns the shards of the own failure domain that fall to this instance.

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
    place : callable or None
        Placement function; None for first fit.
    timing : ShardTiming or None
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
        place=None,
        timing=None,
    ):
        self._instance = instance
        self._tables = tables
        self._workers = workers
        self._clock = clock
        self._random = random
        self._view = view
        self._fleet = fleet
        self._place = place
        self._timing = timing
        self._committer = GroupCommitter(instance, tables, random)
        self._shards = {}
        self._calls = set()
        self._stopping = False

    async def run_once(self):
        """Take in the view and start what is due; answers are taken in later."""
        view = self._view()
        fleet = self._fleet()
        entries = _group_workers(view, fleet)
        for shard_id in entries:
            if shard_id not in self._shards:
                self._shards[shard_id] = self._build_shard(shard_id)
        for shard_id, shard in list(self._shards.items()):
            owner = find_owner(shard_id, view.members) == self._instance
            workers = entries.get(shard_id, ())
            shard.observe(
                owner and not self._stopping, workers, view.listed, fleet.kinds
            )
            self._pump(shard)
            if not shard.links and not shard.chunks:
                del self._shards[shard_id]

    async def notice(self, notice):
        """Take in the word that chunk rows of a shard were written.

        Parameters
        ----------
        notice : WorkNotice
        """
        shard = self._shards.get(notice.shard)
        if shard is not None and shard.owner:
            shard.notice(notice.chunks)
            self._pump(shard)

    async def hand_over(self):
        """Stop placing, record all ends, and release every claim.

        Returns
        -------
        tuple of ShardId
            The shards given up.
        """
        self._stopping = True
        for shard in self._shards.values():
            shard.placing = False
        until_s = self._clock.monotonic() + HAND_OVER_S
        while self._clock.monotonic() < until_s and not self._is_quiet():
            for shard in self._shards.values():
                self._pump(shard)
            await asyncio.sleep(HAND_OVER_POLL_S)
        await self.settle()
        given_up = []
        for shard_id, shard in self._shards.items():
            for command in shard.release():
                self._spawn(shard, command, follow=False)
                given_up.append(shard_id)
        await self.settle()
        self._shards = {}
        return tuple(dict.fromkeys(given_up))

    async def settle(self):
        """Wait until no call is in flight."""
        while self._calls:
            await asyncio.wait(self._calls)

    def digests(self):
        """Return what to tell the peers of each shard held."""
        return tuple(
            ShardDigest(
                shard=shard.shard,
                token=_find_token(shard),
                free=_sum_free(shard),
                waiting=len(_list_waiting(shard)),
            )
            for shard in self._shards.values()
            if shard.held
        )

    def tenures(self):
        """Return the holds on workers, by worker id."""
        return {
            worker: link.tenure
            for shard in self._shards.values()
            for worker, link in shard.links.items()
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
            live = shard.chunks.get(chunk)
            if live is not None and live.record is not None:
                return tuple(_explain_tasks(shard, live))
        return ()

    def _build_shard(self, shard_id):
        return Shard(
            shard_id,
            self._instance,
            self._clock,
            self._random,
            place=self._place,
            timing=self._timing,
        )

    def _is_quiet(self):
        return not self._calls and all(s.quiet for s in self._shards.values())

    def _build_status(self, shard, view):
        attempts = [
            attempt
            for link in shard.links.values()
            for attempt in link.attempts.values()
        ]
        phases = [attempt.phase for attempt in attempts]
        inventories = [
            link.inventory for link in shard.links.values() if link.inventory
        ]
        capacity = sum((i.capacity for i in inventories), start=Resources())
        return ShardStatus(
            shard=shard.shard,
            owner=find_owner(shard.shard, view.members) or InstanceId(""),
            token=_find_token(shard),
            workers=len(shard.links),
            capacity=capacity,
            committed=capacity - _sum_free(shard),
            waiting=len(_list_waiting(shard)),
            running=phases.count(AttemptPhase.RUNNING),
            in_doubt=phases.count(AttemptPhase.IN_DOUBT),
        )

    def _pump(self, shard):
        for command in shard.poll():
            self._spawn(shard, command)

    def _spawn(self, shard, command, follow=True):
        task = asyncio.create_task(self._carry_out(shard, command, follow))
        self._calls.add(task)
        task.add_done_callback(self._calls.discard)

    async def _carry_out(self, shard, command, follow):
        execute = _EXECUTORS[type(command)]
        await execute(self, shard, command)
        if follow:
            self._pump(shard)


_EXECUTORS = {}


def _execute(command_type):
    """Register the coroutine that carries out a type of command."""

    def register(function):
        _EXECUTORS[command_type] = function
        return function

    return register


@_execute(ClaimWorker)
async def _claim_worker(keeper, shard, command):
    result = await keeper._workers.claim(command.address, command.request)
    shard.apply_claim(command, result)


@_execute(ExchangeWorker)
async def _exchange_worker(keeper, shard, command):
    result = await keeper._workers.exchange(command.address, command.request)
    shard.apply_exchange(command, result)


@_execute(StartAttempts)
async def _start_attempts(keeper, shard, command):
    result = await keeper._workers.start(command.address, command.request)
    shard.apply_start(command, result)


@_execute(ReadAssignments)
async def _read_assignments(keeper, shard, command):
    prefix = f"{command.shard}/"
    result = await keeper._tables.scan(ASSIGNMENTS_TABLE, prefix, command.after)
    shard.apply_assignments(command, result)


@_execute(ReadChunk)
async def _read_chunk(keeper, shard, command):
    result = await keeper._tables.get(CHUNKS_TABLE, command.chunk)
    shard.apply_chunk(command, result)


@_execute(WriteChunk)
async def _write_chunk(keeper, shard, command):
    result = await keeper._committer.write_chunk(command.write)
    shard.apply_write(command, result)


def _group_workers(view, fleet):
    """Return the worker entries of the own failure domain by shard id."""
    services = {}
    for upstream in view.upstreams:
        if upstream.role is InstanceRole.RUNNER and upstream.worker:
            services.setdefault(upstream.worker, []).append(upstream.service)
    grouped = {}
    for upstream in view.upstreams:
        if upstream.role is not InstanceRole.WORKER:
            continue
        if upstream.failure_domain != view.failure_domain:
            continue
        shard_id = format_shard_id(upstream.failure_domain, upstream.rack)
        entry = _build_entry(upstream, services, view, fleet)
        grouped.setdefault(shard_id, []).append(entry)
    return grouped


def _build_entry(upstream, services, view, fleet):
    worker = upstream.worker or upstream.instance_id
    beside = tuple(sorted(services.get(worker, ())))
    reserves = (fleet.services[s].reserve for s in beside if s in fleet.services)
    settings = fleet.instances.get(worker)
    leaving = (
        upstream.state is ListedState.LEAVING
        or bool({worker, upstream.instance_id} & view.leaving)
        or (settings is not None and settings.cordoned)
    )
    return WorkerEntry(
        worker=worker,
        address=upstream.address,
        services=beside,
        reserve=sum(reserves, start=Resources()),
        leaving=leaving,
    )


def _find_token(shard):
    tokens = [link.token for link in shard.links.values() if link.token is not None]
    return max(tokens, default=NO_TOKEN)


def _sum_free(shard):
    free = (compute_free(link) for link in shard.links.values() if link.inventory)
    return sum(free, start=Resources())


def _list_waiting(shard):
    return [
        format_task_id(live.chunk, task.index)
        for live in shard.chunks.values()
        for task in list_startable(live)
    ]


def _explain_tasks(shard, live):
    for task in live.record.tasks:
        if task.state.final:
            continue
        task_id = format_task_id(live.chunk, task.index)
        attempt = live.attempts.get(task.index)
        if attempt is None:
            reason = shard.explain_wait(task_id)
            yield TaskExplanation(task=task_id, state="waiting", reason=reason)
            continue
        yield TaskExplanation(
            task=task_id,
            state=attempt.phase.value,
            worker=attempt.worker,
            reason=attempt.report.detail,
            figures=attempt.figures,
        )
