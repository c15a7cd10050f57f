"""Tests of the shard manager and the job pipeline over in-memory services."""

import random

from returns.result import Success

from fuchsiascale.clock import ManualClock
from fuchsiascale.coordination import (
    CHUNKS_TABLE,
    ChunkRecord,
    ClusterView,
    DomainSettings,
    Fleet,
    JobSpec,
    Member,
    ShardOffer,
    parse_shard_id,
)
from fuchsiascale.coordination.tests.worker_fakes import (
    FakeWorker,
    FakeWorkers,
)
from fuchsiascale.daemon._shard_manager import ShardManager
from fuchsiascale.pipelines import (
    JobConflict,
    JobNotFound,
    JobPorts,
    JobRejected,
    cancel_job,
    list_jobs,
    read_job,
    submit_job,
)
from fuchsiascale.platform import ListedInstance, Resources
from fuchsiascale.platform.tests.fakes import FakeTables
from fuchsiascale.states import InstanceRole, TaskState
from fuchsiascale.testing import collect_functions, fixture

load_tests = collect_functions(__name__)

CAPACITY = Resources(millicores=4000, memory_mb=4096)
DEMAND = Resources(millicores=1000, memory_mb=1024)


class Deployment:
    """One failure domain with one rack: entry instances, workers, a store."""

    def __init__(self, members=("a", "b"), workers=("w1", "w2"), racks=("r1", "r1")):
        self.clock = ManualClock(start_s=100.0)
        self.failure_domain = "north"
        self.tables = FakeTables()
        self.workers = FakeWorkers()
        self.members = tuple(_build_member(name) for name in members)
        self.upstreams = tuple(map(_build_worker, workers, racks))
        self.fleet = Fleet()
        for upstream in self.upstreams:
            worker = FakeWorker(self.clock, upstream.worker, CAPACITY)
            self.workers.by_address[upstream.address] = worker
        self.managers = {name: self.build_manager(name) for name in members}
        self.ports = JobPorts(
            instance="a",
            tables=self.tables,
            clock=self.clock,
            random=random.Random(1),
            offers=lambda: (
                ShardOffer(
                    shard="north:r1", failure_domain="north", shapes=(CAPACITY,)
                ),
            ),
            notify=self.notify,
        )

    def build_manager(self, name):
        """Return the manager of a newly started instance."""
        return ShardManager(
            instance=name,
            tables=self.tables,
            workers=self.workers,
            clock=self.clock,
            random=random.Random(name),
            view=lambda: self.view(name),
            fleet=lambda: self.fleet,
            offers=self.list_offers,
            notify=self.notify,
        )

    def list_offers(self):
        """Return the shards that their owners report."""
        return tuple(
            ShardOffer(
                shard=digest.shard,
                failure_domain=parse_shard_id(digest.shard)[0],
                free=digest.free,
                waiting=digest.waiting,
                shapes=digest.shapes,
            )
            for manager in self.managers.values()
            for digest in manager.digests()
        )

    def restart(self):
        """Restart every instance."""
        self.managers = {name: self.build_manager(name) for name in self.managers}

    def view(self, name):
        """Return the view of an instance."""
        return ClusterView(
            instance=name,
            failure_domain=self.failure_domain,
            region="n",
            members=self.members,
            upstreams=self.upstreams,
        )

    def worker(self, name):
        """Return a worker by its id."""
        return self.workers.by_address[f"{name}:1"]

    async def notify(self, notice):
        """Notify every manager."""
        for manager in self.managers.values():
            await manager.handle_notice(notice)

    async def run(self, seconds, step_s=0.25):
        """Advance the time; each manager runs once per step."""
        for _ in range(int(seconds / step_s)):
            for manager in list(self.managers.values()):
                await manager.run_once()
            for manager in list(self.managers.values()):
                await manager.wait_for_calls()
            self.clock.advance(step_s)

    def chunk(self, name):
        """Return a stored chunk record."""
        return self.tables.read(CHUNKS_TABLE, name, ChunkRecord)


def _build_member(name, domain="north"):
    return Member(instance=name, address=f"{name}:1", failure_domain=domain, region="n")


def _build_worker(name, rack, domain="north"):
    return ListedInstance(
        instance_id=name,
        role=InstanceRole.WORKER,
        address=f"{name}:1",
        failure_domain=domain,
        region="n",
        rack=rack,
        worker=name,
    )


def build_spec(job="tune", tasks=3, run_ms=1000, demand=DEMAND):
    return JobSpec(
        job=job, team="t", kind="k", tasks=tasks, demand=demand, run_ms=run_ms
    )


@fixture
def deployment():
    yield Deployment()


async def test_a_job_runs_to_its_end(deployment):
    await deployment.run(1)
    assert isinstance(await submit_job(build_spec(), deployment.ports), Success)
    await deployment.run(6)
    status = (await read_job("tune", deployment.ports)).unwrap()
    assert status.state == "finished"
    started = [s for w in ("w1", "w2") for s in deployment.worker(w).started]
    assert len(started) == 3
    assert not deployment.worker("w1").attempts


async def test_tasks_beyond_the_capacity_wait(deployment):
    await submit_job(build_spec(tasks=30, run_ms=5000), deployment.ports)
    await deployment.run(2)
    running = [deployment.worker(w).list_running() for w in ("w1", "w2")]
    assert [len(reports) for reports in running] == [4, 4]
    manager = next(m for m in deployment.managers.values() if m.digests())
    explained = manager.explain("tune.0")
    assert {e.state for e in explained} == {"running", "waiting"}
    assert manager.statuses()[0].running == 8
    await deployment.run(40)
    status = (await read_job("tune", deployment.ports)).unwrap()
    assert status.state == "finished"


async def test_only_the_ranked_owner_claims(deployment):
    await deployment.run(3)
    holders = {deployment.worker(w).highest.holder for w in ("w1", "w2")}
    assert len(holders) == 1
    held = [m for m in deployment.managers.values() if m.digests()]
    assert len(held) == 1


async def test_the_next_owner_continues_work_without_a_second_run(deployment):
    await submit_job(build_spec(run_ms=8000), deployment.ports)
    await deployment.run(2)
    owner = deployment.worker("w1").highest.holder
    del deployment.managers[owner]
    deployment.members = tuple(m for m in deployment.members if m.instance != owner)
    await deployment.run(14)
    started = [s for w in ("w1", "w2") for s in deployment.worker(w).started]
    assert sorted(s.task for s in started) == ["tune.0.0", "tune.0.1", "tune.0.2"]
    states = {task.state for task in deployment.chunk("tune.0").tasks}
    assert states == {TaskState.FINISHED}


async def test_hand_over_releases_and_stops_placing(deployment):
    await deployment.run(2)
    owner = deployment.worker("w1").highest.holder
    await submit_job(build_spec(), deployment.ports)
    assert await deployment.managers[owner].hand_over() == ("north:r1",)
    assert not deployment.managers[owner].digests()


async def test_a_resubmitted_job_is_accepted_once(deployment):
    first = await submit_job(build_spec(), deployment.ports)
    again = await submit_job(build_spec(), deployment.ports)
    assert first.unwrap() == again.unwrap()
    other = await submit_job(build_spec(tasks=4), deployment.ports)
    assert isinstance(other.failure(), JobConflict)
    assert "tune" in other.failure().detail


async def test_a_job_that_fits_nowhere_is_rejected_with_the_reason(deployment):
    spec = build_spec(demand=Resources(millicores=5000))
    rejected = (await submit_job(spec, deployment.ports)).failure()
    assert isinstance(rejected, JobRejected)
    assert "5000 millicores" in rejected.detail
    assert not deployment.tables.rows


async def test_a_cancel_of_a_job_that_is_not_stored_yet_is_not_acknowledged(deployment):
    """Guards against a success that would not stop the job once it is stored."""
    early = await cancel_job("tune", deployment.ports)
    assert isinstance(early.failure(), JobNotFound)
    await submit_job(build_spec(tasks=2, run_ms=60_000), deployment.ports)
    assert isinstance(await cancel_job("tune", deployment.ports), Success)
    await deployment.run(3)
    assert not deployment.worker("w1").list_running()


async def test_a_cancelled_job_stops_and_runs_no_more(deployment):
    await submit_job(build_spec(tasks=12, run_ms=60_000), deployment.ports)
    await deployment.run(2)
    assert isinstance(await cancel_job("tune", deployment.ports), Success)
    await deployment.run(3)
    status = (await read_job("tune", deployment.ports)).unwrap()
    assert status.state == "cancelled"
    assert not deployment.worker("w1").list_running()
    listed = (await list_jobs(deployment.ports)).unwrap()
    assert [job.cancelled for job in listed.jobs] == [True]


async def test_an_unknown_job_is_not_found(deployment):
    missing = (await read_job("none", deployment.ports)).failure()
    assert isinstance(missing, JobNotFound)


async def start_job_on_lost_rack(deployment):
    """Start a job on one of two racks, then remove that rack."""
    await deployment.run(2)
    await submit_job(build_spec(tasks=2, run_ms=5000), deployment.ports)
    await deployment.run(2)
    assert len(deployment.worker("w1").list_running()) == 2
    deployment.workers.cut.add("w1:1")
    deployment.upstreams = deployment.upstreams[1:]


async def test_work_of_a_lost_rack_is_run_in_another():
    deployment = Deployment(racks=("r1", "r2"))
    await start_job_on_lost_rack(deployment)
    await deployment.run(30)
    chunk = deployment.chunk("tune.0")
    assert (chunk.shard, chunk.final) == ("north:r2", True)


async def test_work_of_a_rack_that_no_instance_knows_is_found():
    deployment = Deployment(racks=("r1", "r2"))
    await start_job_on_lost_rack(deployment)
    deployment.restart()
    await deployment.run(90)
    chunk = deployment.chunk("tune.0")
    assert (chunk.shard, chunk.final) == ("north:r2", True)
    assert {task.attempt for task in chunk.tasks} == {2}


async def test_work_of_a_lost_domain_is_run_in_another():
    deployment = Deployment(members=("a",), racks=("r1", "r2"))
    await start_job_on_lost_rack(deployment)
    deployment.failure_domain = "south"
    deployment.members = (_build_member("a", "south"),)
    deployment.upstreams = (_build_worker("w2", "r2", "south"),)
    domain = DomainSettings(failure_domain="north", team="t", region="n")
    deployment.fleet = Fleet(domains={"north": domain})
    deployment.restart()
    await deployment.run(90)
    chunk = deployment.chunk("tune.0")
    assert (chunk.shard, chunk.final) == ("south:r2", True)
