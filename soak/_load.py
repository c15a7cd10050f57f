"""Load of a play: jobs that callers hand in, again elsewhere, ask for and cancel."""

import asyncio
import contextlib

from soak._checks import CANCEL_ACKNOWLEDGEMENTS, Job

__all__ = ["LONG_RUNS_MS", "RUNS_MS", "Load"]

RUNS_MS = (300, 400, 1500, 4000, 9000, 18000)
"""Run times of tasks, in milliseconds, unless a pattern has its own."""
LONG_RUNS_MS = (1500, 5000, 15_000, 30_000, 45_000)
"""Run times of which most outlast a lease."""
FIRST_JOBS = 8
"""Number of jobs that are handed in at the start, 0.1 s apart."""
LASTING_JOB_PERIOD = 25
"""One job of this many runs until it is cancelled; so does the third one."""
LEAVING_SHARE = 0.3
"""Callers that leave before the answer and cancel elsewhere, for each that stays."""
LEAVE_AFTER_S = (0.0, 0.003, 0.01, 0.03, 0.1, 0.3)
"""Times after which they leave; a submission takes 10 ms, and 2 s at a slow store."""
FINAL_TIMEOUT_S = 14.0
"""Time after the play in which the state of a job has to be told."""
RETRIED = (None, 502, 504)


class Load:
    """Hands jobs in and follows them.

    Parameters
    ----------
    client : Client
        Sends the requests.
    nodes : list of Node
        The processes that take them.
    rng : random.Random
        Draws the jobs.
    now_s : callable
        Returns the time of the record.
    runs_ms : tuple of int
        Run times of tasks, in milliseconds.
    leaving_rng : random.Random, optional
        Draws the callers that leave; without it, none does. It is another one than
        ``rng``, so that earlier seeds draw the jobs that they always did.
    """

    def __init__(self, client, nodes, rng, now_s, runs_ms=RUNS_MS, leaving_rng=None):
        self._leaving_rng = leaving_rng
        self.jobs = {}
        self._client = client
        self._nodes = nodes
        self._rng = rng
        self._now_s = now_s
        self._runs_ms = runs_ms
        self._has_ended = False

    async def run(self):
        """Hand jobs in until cancelled."""
        rng, number = self._rng, 0
        async with asyncio.TaskGroup() as group:
            try:
                while True:
                    number += 1
                    job = self._draw_job(number)
                    self.jobs[job.name] = job
                    group.create_task(self._follow(job))
                    if self._is_next_leaving():
                        leaving = self._draw_leaving_job(number)
                        self.jobs[leaving.name] = leaving
                        group.create_task(self._leave(leaving))
                    is_first = number < FIRST_JOBS
                    await asyncio.sleep(0.1 if is_first else rng.uniform(0.3, 1.4))
            finally:
                self._has_ended = True

    def _draw_job(self, number):
        rng = self._rng
        run_ms = rng.choice(self._runs_ms)
        step = {"cpu": 1000, "mem_mb": 100, "estimate_ms": run_ms}
        spec, count = f"run_ms={run_ms}", 6 if run_ms > 400 else 12
        name = f"{number:016x}"
        path = f"{'/m/' if rng.random() < 0.15 else '/q/'}{name}"
        if number % LASTING_JOB_PERIOD == 3:
            steps = [{"count": rng.randint(1, 3), "long_running": True, **step}]
            return Job(name, path, f"lasts {spec}", steps)
        steps = [{"count": rng.randint(1, count), **step}]
        for after in range(rng.randint(0, 2)):
            later = {"count": rng.randint(1, 6), **step}
            steps.append({**later, "after": [after]} if rng.random() < 0.7 else later)
        return Job(name, path, spec, steps)

    def _is_next_leaving(self):
        rng = self._leaving_rng
        return rng is not None and rng.random() < LEAVING_SHARE

    def _draw_leaving_job(self, number):
        """Return a job that runs on unless it is cancelled."""
        name = f"1{number:015x}"
        count = self._leaving_rng.randint(1, 2)
        steps = [{"count": count, "cpu": 500, "mem_mb": 10, "long_running": True}]
        return Job(name, f"/q/{name}", "lasts run_ms=60000", steps)

    async def _leave(self, job):
        """Hand a job in, leave before the answer, and cancel it; perhaps repeat it."""
        rng = self._leaving_rng
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(rng.choice(LEAVE_AFTER_S)):
                await self._send(job)
        await self._cancel(job)
        if job.cancelled and rng.random() < 0.3:
            await asyncio.sleep(rng.uniform(0, 2))
            await self._send(job)

    async def _follow(self, job):
        rng = self._rng
        await self._submit(job)
        is_unsure = any(status in RETRIED for status in job.answers)
        if (job.accepted or is_unsure) and rng.random() < 0.25:
            await asyncio.sleep(rng.uniform(0.2, 5))
            await self._send(job)
        if job.accepted and rng.random() < 0.12:
            await asyncio.sleep(rng.uniform(0.2, 10))
            await self._cancel(job)
        # A request whose time is over as it is cancelled raises TimeoutError instead,
        # so that the cancellation alone may not end this task.
        while not self._has_ended:
            await asyncio.sleep(rng.uniform(1, 6))
            await self._ask(job)

    async def _submit(self, job):
        """Hand a job in, elsewhere after no answer and at times after a rejection."""
        for _ in range(5):
            status = await self._send(job)
            is_rejected = status not in RETRIED and status != 200
            if status == 200 or (is_rejected and self._rng.random() < 0.5):
                return
            await asyncio.sleep(self._rng.uniform(0.1, 1))

    async def _send(self, job):
        number = len(job.answers)
        job.answers.append(None)
        node = self._rng.choice(self._nodes)
        status = await self._client.submit(node, job.path, job.steps, job.spec)
        job.answers[number] = status
        return status

    async def _cancel(self, job):
        for _ in range(4):
            job.cancels.append(None)
            node = self._rng.choice(self._nodes)
            job.cancels[-1] = await self._client.cancel(node, job.path)
            if job.cancels[-1] in CANCEL_ACKNOWLEDGEMENTS:
                return
            await asyncio.sleep(0.5)

    async def _ask(self, job):
        node = self._rng.choice(self._nodes)
        status, state = await self._client.ask_state(node, job.path)
        job.shown.append((self._now_s(), status, state))
        return status, state

    async def ask_all(self):
        """Ask for the state of each accepted job after the play."""
        accepted = [job for job in self.jobs.values() if job.accepted]
        await asyncio.gather(*(self._ask_finally(job) for job in accepted))

    async def _ask_finally(self, job):
        end_s = self._now_s() + FINAL_TIMEOUT_S
        while self._now_s() < end_s:
            job.final = await self._ask(job)
            if job.final[0] in (200, 410):
                return
            job.final = None, None
            await asyncio.sleep(0.5)
