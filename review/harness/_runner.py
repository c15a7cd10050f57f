"""Stand-in of a runner on the real clock, with lives of the same id.

A task is done after the milliseconds that its payload names, as in ``run_ms=200``. One
whose payload says ``lasts`` goes on until it is stopped.
"""

import asyncio
import time

from aiohttp import web

__all__ = ["Runner"]

FENCE = 409, {"reason": "fence"}
HOLD_MAX_MS = 6_000
"""Longest lease, unless another is given."""


class _Life:
    """One incarnation of a runner: it knows nothing of those before.

    Parameters
    ----------
    runner : Runner
        The runner.
    number : int
        Number of the life, from 1.
    """

    def __init__(self, runner, number):
        self.runner = runner
        self.number = number
        self.born = time.time_ns() // 1_000_000
        self.up = True
        self.running = {}
        self.ended = []
        self.lapses_s = []
        self._born_s = time.monotonic()
        self._token = 0
        self._deadline_ms = 0
        self._last_end = 0
        self._highest = {}
        self._changed = asyncio.Event()
        self._lapse = None

    def clock_ms(self):
        """Return the time on the steady clock of this life."""
        return int((time.monotonic() - self._born_s) * 1000)

    def end(self):
        """End the life without a trace: nothing runs any more."""
        self.up = False
        for task in list(self.running):
            self._remove(task)["run"].update(ended_s=self._now_s(), how="gone")

    def _now_s(self):
        return self.runner.record.now_s()

    def _note(self, text):
        self.runner.record.note(f"{self.runner.name} life {self.number}: {text}")

    def _remove(self, task):
        entry = self.running.pop(task)
        if entry["timer"] is not None:
            entry["timer"].cancel()
        return entry

    def _finish(self, task, how):
        entry = self._remove(task)
        run = entry["run"]
        self._last_end += 1
        run.update(ended_s=self._now_s(), how=how, end=self._last_end)
        number = run["number"]
        self._highest[task] = max(number, self._highest.get(task, 0))
        self.ended.append([self._last_end, task, number, how, ""])
        self._note(f"end {self._last_end}: {task} run {number} {how}")
        self._changed.set()
        self._changed = asyncio.Event()

    def _is_fenced(self, body):
        if body.get("fencing_token", 0) < self._token:
            return True
        self._token = body.get("fencing_token", 0)
        return False

    def _extend(self, deadline_ms):
        longest = self.clock_ms() + self.runner.hold_max_ms
        self._deadline_ms = max(self._deadline_ms, min(deadline_ms, longest))
        if self._lapse is not None:
            self._lapse.cancel()
        left_s = max(0, self._deadline_ms - self.clock_ms()) / 1000
        self._lapse = asyncio.get_running_loop().call_later(left_s, self._expire)

    def _expire(self):
        if not self.up:
            return
        self._note("lease lapsed")
        self.lapses_s.append(self._now_s())
        for task in list(self.running):
            self._finish(task, "lapsed")

    def _uses(self):
        return sum(entry["cpu"] for entry in self.running.values())

    def start(self, body):
        """Start a run."""
        task, number = body["task"], body["run_id"]
        if self._is_fenced(body):
            return FENCE
        if body["deadline_ms"] <= self.clock_ms():
            return 409, {"reason": "late"}
        self._extend(body["deadline_ms"])
        present = self.running.get(task)
        if present is not None and present["run"]["number"] == number:
            return 200, {}
        if present is not None or number <= self._highest.get(task, 0):
            return 409, {"reason": "old"}
        if self._uses() + self.runner.task_cpu > self.runner.cpu:
            return 409, {"reason": "room"}
        run = {
            "task": task,
            "number": number,
            "runner": self.runner.name,
            "life": self.number,
            "spec": body["spec"],
            "started_s": self._now_s(),
            "ended_s": None,
            "how": None,
            "noted_s": None,
            "end": None,
            "lapses_s": self.lapses_s,
        }
        self.runner.runs.append(run)
        timer, run_s = None, None
        if "lasts" not in body["spec"]:
            loop = asyncio.get_running_loop()
            run_s = int(body["spec"].partition("run_ms=")[2].split()[0]) / 1000
            timer = loop.call_later(run_s, self._finish, task, "done")
        self.running[task] = {
            "run": run,
            "timer": timer,
            "run_s": run_s,
            "cpu": self.runner.task_cpu,
        }
        self._note(f"started {task} run {number}, token {body['fencing_token']}")
        return 200, {}

    def stop(self, body):
        """Stop a run; one that isn't there yet is rejected later."""
        task, number = body["task"], body["run_id"]
        if self._is_fenced(body):
            return FENCE
        present = self.running.get(task)
        if present is not None and present["run"]["number"] == number:
            self._finish(task, "stopped")
        self._highest[task] = max(number, self._highest.get(task, 0))
        return 200, {}

    def pace(self, body):
        """Set the speed of a run, which this stand-in ignores."""
        if self._is_fenced(body):
            return FENCE
        return (200, {}) if body["task"] in self.running else (409, {"reason": "old"})

    async def hold(self, body):
        """Extend the lease, forget the ends taken note of, and list the rest."""
        if self._is_fenced(body):
            return FENCE
        if body.get("deadline_ms"):
            self._extend(body["deadline_ms"])
        seen = body["last_seen"]
        for run in self.runner.runs:
            is_here = run["life"] == self.number and run["end"] is not None
            if is_here and run["noted_s"] is None and run["end"] <= seen:
                run["noted_s"] = self._now_s()
                self._note(f"{run['task']} run {run['number']}: end taken note of")
        self.ended = [end for end in self.ended if end[0] > seen]
        if not self.ended and body.get("wait_ms"):
            changed = self._changed
            try:
                async with asyncio.timeout(body["wait_ms"] / 1000):
                    await changed.wait()
            except TimeoutError:
                pass
        running = [
            [task, entry["run"]["number"], "", self._compute_percent(entry), 0]
            for task, entry in self.running.items()
        ]
        return 200, {"running": running, "ended": self.ended[:500]}

    def _compute_percent(self, entry):
        if entry["run_s"] is None:
            return 100
        passed_s = self._now_s() - entry["run"]["started_s"]
        return min(99, int(passed_s / entry["run_s"] * 100))


class Runner:
    """A runner behind a small TCP relay, which can go silent.

    Parameters
    ----------
    name : str
        Its id, which all lives share.
    service : str
        Its service.
    record : Record
        Where it notes what it runs.
    cpu : int
        Capacity in thousandths of a core.
    labels : list of str
        Kind and rack.
    hold_max_ms : int
        Longest lease that it takes, in milliseconds.
    """

    def __init__(
        self,
        name,
        service,
        record,
        cpu=8_000,
        labels=("a", "r1"),
        hold_max_ms=HOLD_MAX_MS,
    ):
        self.name = name
        self.service = service
        self.record = record
        self.cpu = cpu
        self.task_cpu = 1_000
        self.labels = list(labels)
        self.hold_max_ms = hold_max_ms
        self.runs = []
        self.holds = 0
        self.address = ""
        self.life = None
        self.hold_arrived = asyncio.Event()
        self._lives = 0
        self._sequence = 0
        self._port = 0
        self._web = None
        self._relay = None
        self._pairs = set()
        self._dark = False

    async def start(self, host="127.0.0.1"):
        """Listen, and begin the first life."""
        application = web.Application()
        application.router.add_post("/fuchsiascale/{name}", self._handle)
        self._web = web.AppRunner(application, access_log=None, shutdown_timeout=0.1)
        await self._web.setup()
        site = web.TCPSite(self._web, host, 0)
        await site.start()
        self._port = site._server.sockets[0].getsockname()[1]
        self._relay = await asyncio.start_server(self._forward, host, 0)
        port = self._relay.sockets[0].getsockname()[1]
        self.address = f"{host}:{port}"
        self.begin_life()

    async def stop(self):
        """Stop listening."""
        if self.life is not None:
            self.life.end()
        for writers in list(self._pairs):
            for writer in writers:
                writer.transport.abort()
        self._relay.close()
        await self._web.cleanup()

    def begin_life(self):
        """Begin a life with the same id, which knows nothing of those before."""
        self._lives += 1
        self._dark = False
        self.life = _Life(self, self._lives)
        self.record.note(f"{self.name} life {self._lives}: up")

    def crash(self):
        """Lose power: nothing runs, and nothing answers or closes a connection."""
        self.record.note(f"{self.name} life {self._lives}: lost power")
        self.life.end()
        self._dark = True
        for writers in self._pairs:
            writers.dead = True

    def entry(self):
        """Return the runner's entry in the platform's list."""
        self._sequence += 1
        return {
            "service": self.service,
            "address": self.address,
            "zone": "a",
            "version": "v1",
            "slot_count": 8,
            "state": "ready",
            "cold_left_ms": 0,
            "capacity": {"cpu": self.cpu, "mem_mb": 64_000, "gpu": 0},
            "labels": self.labels,
            "born": self.life.born,
            "sequence": self._sequence,
        }

    async def _handle(self, request):
        life, name = self.life, request.match_info["name"]
        if request.headers.get("Target-Instance", self.name) != self.name:
            return web.json_response({"clock_ms": life.clock_ms()}, status=421)
        body = await request.json()
        if name == "hold":
            self.holds += 1
            self.hold_arrived.set()
            self.hold_arrived = asyncio.Event()
            status, answer = await life.hold(body)
        else:
            call = {"run-start": life.start, "run-stop": life.stop, "pace": life.pace}
            status, answer = call[name](body)
        fields = {"clock_ms": life.clock_ms(), "born": life.born, **answer}
        return web.json_response(fields, status=status)

    async def _forward(self, reader, writer):
        """Relay one connection until either side ends or the machine loses power."""
        upstream, server = await asyncio.open_connection("127.0.0.1", self._port)
        pair = _Pair((writer, server))
        pair.dead = self._dark
        self._pairs.add(pair)
        try:
            await asyncio.gather(
                self._copy(reader, server, pair, True),
                self._copy(upstream, writer, pair, False),
            )
        except OSError:
            pass
        finally:
            self._pairs.discard(pair)
            for each in pair:
                each.transport.abort()

    async def _copy(self, source, target, pair, is_request):
        while content := await source.read(65_536):
            if pair.dead and not is_request:
                continue
            if pair.dead and self._dark:
                continue
            if pair.dead:
                # The new life has no such connection: its machine resets it.
                pair[0].transport.abort()
                return
            target.write(content)
            await target.drain()
        if not pair.dead:
            target.close()


class _Pair(tuple):
    """Writers of the two sides of a relayed connection."""

    dead = False

    def __hash__(self):
        return id(self)

    def __eq__(self, other):
        return self is other
