"""The platform in a process of its own: the store, the operator and the workers.

Usage: ``python3 -m review.harness2.platform STORE_PORT WORKER_PORT COUNT``. The workers
listen on consecutive ports. Tasks take the time that their payload states as
``run_ms=N``. A line ``ready`` is printed once all listen. Lines on standard input are
commands as JSON, each with one line as its answer:

* ``{"op": "starts"}``: the starts so far by worker: task, number and fencing token.
* ``{"op": "running"}``: what runs: worker, task and number.
* ``{"op": "late_start", "task": TASK, "late_s": S, "dark_s": S, "back_s": S}``: see
  `RealTimeWorker`.
* ``{"op": "slow", "answer_s": S}``: each call to the store takes so long from now on.
"""

import asyncio
import json
import sys
import time

from aiohttp import web

from standins.rowstore import RowStoreStandin
from standins.taskworker import TaskWorkerStandin

HOST = "127.0.0.1"
SERVICE = "pool"
HEARTBEAT_S = 1.1
TICK_S = 0.02


def make_configuration():
    """Return the first configuration: one queue at ``/q/``."""
    route = {
        "name": "queue",
        "host": "caller.example",
        "prefix": "/q/",
        "service": SERVICE,
        "target_duration_ms": 1000,
        "priority": 0,
        "max_attempts": 3,
        "stretch": 2.0,
    }
    return {
        "version": 1,
        "routes": [route],
        "services": [{"name": SERVICE, "rejects_overload": True}],
        "limits": {"max_body_bytes": 262_144},
    }


class SlowStore(RowStoreStandin):
    """A store that can be slow.

    While it is slow, a read is answered with the rows at its arrival, and a transaction
    is carried out when its time is over.
    """

    def __init__(self):
        super().__init__()
        self.slow_s = 0.0

    async def _read(self, request):
        answer = await super()._read(request)
        await asyncio.sleep(self.slow_s)
        return answer

    async def _read_feed(self, request):
        answer = await super()._read_feed(request)
        await asyncio.sleep(self.slow_s)
        return answer

    async def _commit(self, request):
        await request.read()
        await asyncio.sleep(self.slow_s)
        return await super()._commit(request)


class RealTimeWorker(TaskWorkerStandin):
    """A worker whose clock runs by itself.

    It may leave the first start of a task unanswered and carry it out late. Right after
    that start it crashes: nobody reaches it until it is back. It starts again under its
    id before that, and what it started late runs in its new life.
    """

    late = None
    """Task, time until the start is carried out, until the new life, and until it is
    reached again; shared by all workers, and taken by the first."""
    percents = {}
    """Progress of the runs by task and number."""
    events = []
    """Time, worker, task, number, and what has happened."""

    def note(self, task, number, what):
        """Note an event."""
        RealTimeWorker.events.append((time.monotonic(), self.name, task, number, what))

    def _start(self, body):
        late = RealTimeWorker.late
        if late is not None and late["task"] == body["task"]:
            RealTimeWorker.late = None
            self.note(body["task"], body["run_id"], "start taken, not answered")
            self._crash(late, body)
            return 200, {}
        count = len(self.starts)
        answer = super()._start(body)
        if len(self.starts) > count:
            self.note(body["task"], body["run_id"], "started")
        return answer

    def _record_end(self, task, run, outcome, checkpoint):
        self.note(task, run, outcome)
        super()._record_end(task, run, outcome, checkpoint)

    def _hold(self, body):
        status, answer = super()._hold(body)
        for row in answer.get("running", ()):
            row[3] = self.percents.get((row[0], row[1]), 0)
        return status, answer

    def _crash(self, late, body):
        loop = asyncio.get_running_loop()
        self.silent = True
        for task, run in list(self.running.items()):
            self.note(task, run["run_id"], "gone with the worker")
            del self.running[task]
        loop.call_later(late["dark_s"], self._start_again)
        loop.call_later(late["late_s"], self._start, body)
        loop.call_later(late["back_s"], self._return)

    def _start_again(self):
        self.restart()
        self.note("", 0, "up again under its id, not reached yet")

    def _return(self):
        self.silent = False
        self.note("", 0, "reached again")

    @property
    def clock_ms(self):
        """Time on the steady clock of the worker."""
        return 1_000 + int((time.monotonic() - self._began_s) * 1000)

    @clock_ms.setter
    def clock_ms(self, value):
        self._began_s = time.monotonic() - (value - 1_000) / 1000


def make_worker_application(worker):
    """Return the application of a worker, which answers nothing while it is down."""

    @web.middleware
    async def withhold(request, handler):
        response = await handler(request)
        if worker.silent:
            await asyncio.sleep(3600)
        return response

    application = worker.make_application()
    application.middlewares.append(withhold)
    return application


async def run_worker(worker, store, port):
    """End the tasks of a worker in time, or with its lease, and send heartbeats."""
    begun = {}
    beat_s, sequence = 0.0, 0
    while True:
        await asyncio.sleep(TICK_S)
        now_s = time.monotonic()
        if worker.clock_ms > worker.deadline_ms:
            for task in list(worker.running):
                worker.finish(task, "lapsed")
        for task, run in list(worker.running.items()):
            key = (task, run["run_id"])
            started_s = begun.setdefault(key, now_s)
            run_ms = int(run["spec"].partition("run_ms=")[2] or 100)
            worker.percents[key] = min(99, int((now_s - started_s) * 100_000 / run_ms))
            if (now_s - started_s) * 1000 >= run_ms:
                worker.finish(task)
        if worker.silent:
            if now_s - beat_s > 3 * HEARTBEAT_S:
                store.drop("servers", "", worker.name)
        elif now_s - beat_s >= HEARTBEAT_S:
            beat_s, sequence = now_s, sequence + 1
            entry = worker.entry(SERVICE, f"{HOST}:{port}")
            store.put("servers", "", worker.name, {**entry, "sequence": sequence})


async def serve(application, port):
    """Serve an application on a loopback port."""
    runner = web.AppRunner(application, access_log=None)
    await runner.setup()
    await web.TCPSite(runner, HOST, port).start()


async def run(store_port, worker_port, count):
    """Run the platform until its input ends."""
    store = SlowStore()
    store.put("op", "", "config", make_configuration())
    await serve(store.make_application(), store_port)
    workers, tasks = [], []
    for number in range(count):
        worker = RealTimeWorker(f"i-{number}", cpu_millis=8_000)
        port = worker_port + number
        await serve(make_worker_application(worker), port)
        workers.append(worker)
        tasks.append(asyncio.create_task(run_worker(worker, store, port)))
    print("ready", flush=True)
    loop = asyncio.get_running_loop()
    while line := await loop.run_in_executor(None, sys.stdin.readline):
        command = json.loads(line)
        if command["op"] == "starts":
            answer = {each.name: each.starts for each in workers}
        elif command["op"] == "late_start":
            RealTimeWorker.late = command
            answer = True
        elif command["op"] == "events":
            answer = RealTimeWorker.events
        elif command["op"] == "running":
            answer = [
                [each.name, task, run["run_id"]]
                for each in workers
                for task, run in each.running.items()
            ]
        else:
            store.slow_s = command["answer_s"]
            answer = True
        print(json.dumps(answer), flush=True)


if __name__ == "__main__":
    asyncio.run(run(*map(int, sys.argv[1:4])))
