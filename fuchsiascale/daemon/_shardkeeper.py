"""Drives the shards of a failure domain: carries out what they ask for."""

import asyncio

import logbook
import msgspec
from returns.result import Success

from fuchsiascale.api import ShardDigest, ShardStatus, TaskExplanation, WorkNotice
from fuchsiascale.coordination import (
    ASSIGNMENTS_TABLE,
    CHUNKS_TABLE,
    SHARDS_TABLE,
    Assignment,
    ClaimWorker,
    ExchangeWorker,
    GroupCommitter,
    MoveChunk,
    ReadAssignments,
    ReadChunk,
    ReadShard,
    Shard,
    ShardPolicy,
    StartAttempts,
    WorkerEntry,
    WriteChunk,
    WriteShard,
    build_write_id,
    compute_committed,
    find_owner,
    format_assignment_key,
    format_shard_id,
    format_task_id,
)
from fuchsiascale.decisions import PolicyWeights
from fuchsiascale.ids import InstanceId
from fuchsiascale.platform import Delete, Put, Resources, Transaction
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
    offers : callable or None
        ``() -> sequence of ShardOffer``, shards that chunks may be moved to.
    notify : callable or None
        ``async (WorkNotice) -> None``, tells the owner of another shard.
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
        offers=None,
        notify=None,
        timing=None,
    ):
        self._instance = instance
        self._tables = tables
        self._workers = workers
        self._clock = clock
        self._random = random
        self._view = view
        self._fleet = fleet
        self._offers = offers or tuple
        self._notify = notify
        self._timing = timing
        self._committer = GroupCommitter(instance, tables, random)
        self._shards = {}
        self._policies = {}
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
            self._configure(shard_id, fleet, len(workers), view)
            self._pump(shard)
            if shard.idle:
                del self._shards[shard_id]
                del self._policies[shard_id]

    async def notice(self, notice):
        """Take in the word that chunk rows of a shard were written.

        Parameters
        ----------
        notice : WorkNotice
        """
        shard = self._shards.get(notice.shard)
        if shard is not None and shard.owner and shard.held:
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
            shard.stop_placing()
        until_s = self._clock.monotonic() + HAND_OVER_S
        while self._clock.monotonic() < until_s and not self._is_quiet():
            for shard in self._shards.values():
                self._pump(shard)
            await asyncio.sleep(HAND_OVER_POLL_S)
        given_up = [shard.shard for shard in self._shards.values() if shard.held]
        for shard in self._shards.values():
            for command in shard.release():
                self._spawn(shard, command, follow=False)
        await self.settle()
        self._shards = {}
        self._policies = {}
        return tuple(given_up)

    async def settle(self):
        """Wait until no call is in flight."""
        while self._calls:
            await asyncio.wait(self._calls)

    def digests(self):
        """Return what to tell the peers of each shard held."""
        return tuple(
            ShardDigest(
                shard=shard.shard,
                token=shard.find_token(),
                free=shard.compute_free(),
                waiting=shard.count_waiting(),
                shapes=shard.list_shapes(),
            )
            for shard in self._shards.values()
            if shard.held
        )

    def tenures(self):
        """Return the holds on workers, by worker id."""
        return {
            link.worker: link.tenure
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
                shard.respond(measured.worker, response)

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
        )

    def _configure(self, shard_id, fleet, workers, view):
        policy = fleet.policy
        weights = PolicyWeights(
            tail_latency=policy.tail_latency_weight,
            throughput=policy.throughput_weight,
            evictions=policy.eviction_weight,
        )
        in_all = sum(entry.role is InstanceRole.WORKER for entry in view.upstreams)
        share = workers / in_all if in_all else 1.0
        self._policies[shard_id].configure(fleet.kinds, fleet.teams, weights, share)

    def _is_quiet(self):
        return not self._calls and all(s.quiet for s in self._shards.values())

    def _build_status(self, shard, view):
        inventories = [link.inventory for link in shard.links() if link.inventory]
        capacity = sum((i.capacity for i in inventories), start=Resources())
        committed = sum(
            (compute_committed(link) for link in shard.links()), start=Resources()
        )
        return ShardStatus(
            shard=shard.shard,
            owner=find_owner(shard.shard, view.members) or InstanceId(""),
            token=shard.find_token(),
            workers=len(shard.links()),
            capacity=capacity,
            committed=committed,
            waiting=shard.count_waiting(),
            running=shard.count_running(),
            in_doubt=shard.count_in_doubt(),
        )

    def _pump(self, shard):
        for command in shard.poll(self._offers() if shard.held else ()):
            self._spawn(shard, command)

    def _spawn(self, shard, command, follow=True):
        task = asyncio.create_task(self._carry_out(shard, command, follow))
        self._calls.add(task)
        task.add_done_callback(self._calls.discard)

    async def _carry_out(self, shard, command, follow):
        result = await _EXECUTORS[type(command)](self, command)
        shard.apply(command, result)
        if follow:
            self._pump(shard)

    async def _write_rows(self, shard_id, puts, deletes=()):
        """Write rows at once; return the new version of the shard's row."""
        transaction = Transaction(
            write_id=build_write_id(self._instance, self._random),
            puts=puts,
            deletes=deletes,
        )
        result = await self._tables.transact(transaction)
        return result.map(lambda rows: _find_version(rows, shard_id))


def _find_version(rows, shard_id):
    return next(
        row.version for row in rows if row.table == SHARDS_TABLE and row.key == shard_id
    )


_EXECUTORS = {}


def _execute(command_type):
    """Register the coroutine that carries out a type of command."""

    def register(function):
        _EXECUTORS[command_type] = function
        return function

    return register


@_execute(ClaimWorker)
async def _claim_worker(keeper, command):
    return await keeper._workers.claim(command.address, command.request)


@_execute(ExchangeWorker)
async def _exchange_worker(keeper, command):
    return await keeper._workers.exchange(command.address, command.request)


@_execute(StartAttempts)
async def _start_attempts(keeper, command):
    return await keeper._workers.start(command.address, command.request)


@_execute(ReadAssignments)
async def _read_assignments(keeper, command):
    prefix = f"{command.shard}/"
    return await keeper._tables.scan(ASSIGNMENTS_TABLE, prefix, command.after)


@_execute(ReadChunk)
async def _read_chunk(keeper, command):
    return await keeper._tables.get(CHUNKS_TABLE, command.chunk)


@_execute(ReadShard)
async def _read_shard(keeper, command):
    return await keeper._tables.get(SHARDS_TABLE, command.shard)


@_execute(WriteChunk)
async def _write_chunk(keeper, command):
    return await keeper._committer.write_chunk(command.write)


@_execute(WriteShard)
async def _write_shard(keeper, command):
    put = _build_put(
        SHARDS_TABLE, command.record.shard, command.expected_version, command.record
    )
    return await keeper._write_rows(command.record.shard, (put,))


@_execute(MoveChunk)
async def _move_chunk(keeper, command):
    record = command.write.record
    old_key = format_assignment_key(command.from_shard.shard, record.chunk)
    new_key = format_assignment_key(record.shard, record.chunk)
    puts = (
        _build_put(CHUNKS_TABLE, record.chunk, command.write.expected_version, record),
        _build_put(ASSIGNMENTS_TABLE, new_key, 0, Assignment(chunk=record.chunk)),
        _build_put(
            SHARDS_TABLE,
            command.from_shard.shard,
            command.from_shard_version,
            command.from_shard,
        ),
    )
    delete = Delete(
        table=ASSIGNMENTS_TABLE,
        key=old_key,
        expected_version=command.write.assignment_version,
    )
    result = await keeper._write_rows(command.from_shard.shard, puts, (delete,))
    if isinstance(result, Success) and keeper._notify is not None:
        notice = WorkNotice(shard=record.shard, chunks=(record.chunk,))
        await keeper._notify(notice)
    return result


def _build_put(table, key, version, value):
    encoded = msgspec.Raw(msgspec.json.encode(value))
    return Put(table=table, key=key, expected_version=version, value=encoded)


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
    leaving = upstream.state is ListedState.LEAVING or bool(
        {worker, upstream.instance_id} & view.leaving
    )
    return WorkerEntry(
        worker=worker,
        address=upstream.address,
        services=beside,
        reserve=sum(reserves, start=Resources()),
        leaving=leaving,
        cordoned=settings is not None and settings.cordoned,
    )


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
