"""Stand-in of one of the users' workers, which follows their published protocol.

It runs inside a test, which advances its clock and ends its tasks.
"""

import asyncio

from aiohttp import web

__all__ = ["TaskWorkerStandin"]


class TaskWorkerStandin:
    """A worker that follows the published rules for fencing, leases and ends.

    Parameters
    ----------
    name : str
        Id of the worker.
    cpu_millis, memory_mb : int
        Capacity.
    longest_lease_ms : int
        Longest lease that it grants.
    """

    def __init__(
        self, name, cpu_millis=4_000, memory_mb=16_000, longest_lease_ms=6_000
    ):
        self.name = name
        self.capacity = {"cpu": cpu_millis, "mem_mb": memory_mb, "gpu": 0}
        self.longest_lease_ms = longest_lease_ms
        self.clock_ms = 1_000
        self.born = 1
        self.token = 0
        self.deadline_ms = 0
        self.running = {}
        self.stopped = {}
        self.ended = []
        self.last_end = 0
        self.starts = []
        self.lose_answers = 0
        self.delay_orders = 0
        self.delayed = []
        self.silent = False
        self.refuse = 0
        self._end_recorded = asyncio.Event()

    def make_application(self):
        """Build the aiohttp application."""
        application = web.Application()
        for name, handler in (
            ("run-start", self._start),
            ("run-stop", self._stop),
            ("hold", self._hold),
            ("pace", self._pace),
        ):
            application.router.add_post(
                f"/fuchsiascale/{name}", self._apply_faults(handler)
            )
        return application

    def entry(self, service, address, state="ready"):
        """Return the entry of the worker in the platform's list."""
        return {
            "service": service,
            "address": address,
            "zone": "a",
            "version": "v1",
            "slot_count": 8,
            "state": state,
            "cold_left_ms": 0,
            "capacity": self.capacity,
            "labels": ["a", "r1"],
            "born": self.born,
            "sequence": 1,
        }

    def finish(self, task, outcome="done", checkpoint=""):
        """End a running task."""
        run = self.running.pop(task)
        self._record_end(task, run["run_id"], outcome, checkpoint)

    def advance(self, milliseconds):
        """Advance the clock; end all tasks once the lease has expired."""
        self.clock_ms += milliseconds
        if self.clock_ms > self.deadline_ms:
            for task in list(self.running):
                self.finish(task, "lapsed")

    def restart(self):
        """Restart under the same id, as a new incarnation with empty state."""
        self.born += 1
        self.clock_ms, self.token, self.deadline_ms, self.last_end = 10, 0, 0, 0
        self.running.clear()
        self.stopped.clear()
        self.ended.clear()

    def apply_delayed(self):
        """Apply the delayed commands; return their HTTP statuses."""
        delayed, self.delayed = self.delayed, []
        return [handler(body)[0] for handler, body in delayed]

    def _record_end(self, task, run, outcome, checkpoint):
        self.last_end += 1
        self.stopped[task] = max(run, self.stopped.get(task, 0))
        self.ended.append([self.last_end, task, run, outcome, checkpoint])
        self._end_recorded.set()
        self._end_recorded = asyncio.Event()

    def _apply_faults(self, handler):
        async def handle(request):
            if self.silent:
                await asyncio.sleep(3600)
            if self.refuse:
                return web.Response(status=self.refuse)
            if request.headers.get("Target-Instance", self.name) != self.name:
                return web.Response(status=421)
            body = await request.json()
            if self.delay_orders and handler is not self._hold:
                self.delay_orders -= 1
                self.delayed.append((handler, body))
                request.transport.abort()
                return web.Response()
            if handler is self._hold:
                await self._wait_for_end(body)
            status, answer = handler(body)
            if self.lose_answers:
                self.lose_answers -= 1
                request.transport.abort()
            return web.json_response(
                {"clock_ms": self.clock_ms, **answer}, status=status
            )

        return handle

    async def _wait_for_end(self, body):
        wait_s = body.get("wait_ms", 0) / 1000
        if any(end[0] > body["last_seen"] for end in self.ended):
            return
        try:
            async with asyncio.timeout(wait_s):
                await self._end_recorded.wait()
        except TimeoutError:
            return

    def _is_fenced(self, body):
        if body["fencing_token"] < self.token:
            return True
        self.token = body["fencing_token"]
        return False

    def _extend(self, deadline_ms):
        longest = self.clock_ms + self.longest_lease_ms
        self.deadline_ms = max(self.deadline_ms, min(deadline_ms, longest))

    def _start(self, body):
        if self._is_fenced(body):
            return 409, {"reason": "fence"}
        if body["deadline_ms"] <= self.clock_ms:
            return 409, {"reason": "late"}
        self._extend(body["deadline_ms"])
        task, run = body["task"], body["run_id"]
        current = self.running.get(task)
        if current is not None and current["run_id"] == run:
            return 200, {}
        if current is not None or run <= self.stopped.get(task, 0):
            return 409, {"reason": "old"}
        if len(self.running) >= self.capacity["cpu"] // 1_000:
            return 409, {"reason": "room"}
        self.running[task] = body
        self.starts.append((task, run, body["fencing_token"]))
        return 200, {}

    def _stop(self, body):
        if self._is_fenced(body):
            return 409, {"reason": "fence"}
        task, run = body["task"], body["run_id"]
        current = self.running.get(task)
        if current is not None and current["run_id"] == run:
            self.finish(task, "stopped", current.get("checkpoint", ""))
        self.stopped[task] = max(run, self.stopped.get(task, 0))
        return 200, {}

    def _hold(self, body):
        if self._is_fenced(body):
            return 409, {"reason": "fence"}
        if body.get("deadline_ms"):
            self._extend(body["deadline_ms"])
        self.ended = [end for end in self.ended if end[0] > body["last_seen"]]
        running = [
            [task, run["run_id"], run.get("checkpoint", ""), 50, 100]
            for task, run in self.running.items()
        ]
        return 200, {"born": self.born, "running": running, "ended": self.ended}

    def _pace(self, body):
        if self._is_fenced(body):
            return 409, {"reason": "fence"}
        return (200, {}) if body["task"] in self.running else (409, {"reason": "old"})
