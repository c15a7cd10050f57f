"""Instances in one process, with stand-ins for the store and the workers."""

import asyncio

import aiohttp
from aiohttp.test_utils import TestServer

from fuchsiascale.clock import BootClock
from fuchsiascale.jobs import (
    JobRequestHandler,
    JobSpec,
    OwnerLimits,
    OwnershipManager,
    Ping,
    QueuePolicy,
    RelayCommit,
    RelayedStore,
    RelayRead,
    RelayWrite,
    Resources,
    SilenceWatch,
    StepSpec,
    StoreSilence,
    WorkerListing,
    answer_relay,
)
from fuchsiascale.platform.user_platform import (
    HttpRowStore,
    HttpTaskWorkers,
    decode_worker,
)
from standins.rowstore import RowStoreStandin
from standins.taskworker import TaskWorkerStandin

__all__ = ["SERVICE", "Deployment", "make_spec", "wait_until"]

SERVICE = "pool"
TIMEOUT_S = 20.0
POLL_S = 0.02
POLICY = QueuePolicy(queue="q", service=SERVICE, max_attempts=2)


async def wait_until(condition, what):
    """Wait until a condition holds; raise TimeoutError after ``TIMEOUT_S``."""
    async with asyncio.timeout(TIMEOUT_S):
        while not condition():  # noqa: ASYNC110
            await asyncio.sleep(POLL_S)
    return what


def make_spec(count=1, **fields):
    """Return the spec of a job with one step."""
    step = StepSpec(count=count, need=Resources(cpu_millis=500), **fields)
    return JobSpec(payload="p", steps=(step,))


class Peers:
    """Calls between the instances of a deployment, some of which are isolated."""

    def __init__(self, deployment):
        self.deployment = deployment

    async def ask(self, address, message, timeout_s):
        instance = self.deployment.instances.get(address)
        if instance is None or instance.isolated:
            await asyncio.sleep(0)
            return None
        if isinstance(message, RelayCommit | RelayRead):
            return await answer_relay(instance.direct, message)
        if isinstance(message, RelayWrite):
            return await instance.request_handler.commit_for_peer(message)
        return await instance.ownership.answer(message)


class Instance:
    """One instance: its ownership manager and its request handler."""

    def __init__(self, deployment, number):
        self.address = f"10.0.0.{number}:7000"
        self.isolated = False
        clock = BootClock()
        peers = Peers(deployment)
        self.silence = StoreSilence(clock)
        self.direct = HttpRowStore(
            deployment.session, deployment.store_address, silence=self.silence
        )
        self.store = RelayedStore(
            self.direct, peers, lambda: self.ownership.members(), clock, self.silence
        )
        identity = Ping(
            instance=f"entry-{number}",
            incarnation=f"{number}-{deployment.count_starts()}",
            address=self.address,
        )
        self.ownership = OwnershipManager(
            identity,
            self.store,
            HttpTaskWorkers(deployment.session),
            peers,
            WorkerListing("servers", decode_worker),
            OwnerLimits(),
            clock,
            silence=self.silence,
        )
        self.request_handler = JobRequestHandler(
            self.store,
            self.ownership,
            clock,
            silence=self.silence,
            loads=self.ownership.loads,
        )
        self.ownership.watch([SERVICE])
        watch = SilenceWatch(
            self.store, self.silence, "op", self.request_handler.refuse_queued
        )
        self._watching = asyncio.create_task(watch.run())

    async def stop(self):
        """Stop without a handover."""
        self._watching.cancel()
        await self.ownership.stop()

    @property
    def owner(self):
        """Return the owner that this instance runs; None if it is not the owner."""
        return self.ownership.owners.get(SERVICE)


class Deployment:
    """A store, workers and instances."""

    def __init__(self, instances=2, workers=2):
        self.instance_count = instances
        self.workers = [TaskWorkerStandin(f"i-{n}") for n in range(workers)]
        self.instances = {}
        self.starts = 0
        self.servers = []

    async def __aenter__(self):
        self.store = RowStoreStandin()
        self.store_address = await self._serve(self.store)
        self.session = aiohttp.ClientSession()
        self.addresses = {}
        for worker in self.workers:
            self.addresses[worker.name] = await self._serve(worker)
            self.list_worker(worker)
        for number in range(self.instance_count):
            await self.start_instance(number)
        return self

    async def __aexit__(self, *exc_info):
        for instance in self.instances.values():
            await instance.stop()
        await self.session.close()
        for server in self.servers:
            await server.close()

    async def _serve(self, standin):
        server = TestServer(standin.make_application(), shutdown_timeout=0.1)
        await server.start_server()
        self.servers.append(server)
        return f"{server.host}:{server.port}"

    def count_starts(self):
        """Return a number that no earlier instance had."""
        self.starts += 1
        return self.starts

    def list_worker(self, worker, state="ready"):
        """Write the entry of a worker in the platform's list."""
        entry = worker.entry(SERVICE, self.addresses[worker.name], state)
        self.store.put("servers", "", worker.name, entry)

    async def add_worker(self, worker):
        """Start and list another worker."""
        self.workers.append(worker)
        self.addresses[worker.name] = await self._serve(worker)
        self.list_worker(worker)

    async def start_instance(self, number):
        """Start an instance."""
        instance = Instance(self, number)
        self.instances[instance.address] = instance
        return instance

    async def kill(self, instance):
        """Stop an instance without a handover."""
        del self.instances[instance.address]
        await instance.stop()

    def find_owner(self):
        """Return the instance whose owner has loaded the service; None if none has."""
        for instance in self.instances.values():
            owner = instance.owner
            if (
                owner is not None
                and not owner.lost
                and owner.count_waiting() is not None
            ):
                return instance
        return None

    def others(self, instance):
        """Return all instances except one."""
        return [each for each in self.instances.values() if each is not instance]

    def running(self):
        """Return the running tasks, one entry for each attempt."""
        return [task for worker in self.workers for task in worker.running]

    def count_starts_of(self, task):
        """Return how often a task was started."""
        return sum(
            1 for worker in self.workers for each in worker.starts if each[0] == task
        )

    def finish(self, task):
        """Report a running task as done."""
        for worker in self.workers:
            if task in worker.running:
                worker.finish(task)
