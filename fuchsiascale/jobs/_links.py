"""Links to the workers of a shard: exchanges and orders."""

import asyncio

import logbook
from returns.result import Success

from fuchsiascale.jobs._pacing import observe_tails
from fuchsiascale.jobs._ports import (
    Absent,
    NoAnswer,
    Refused,
    RefusedReason,
    StartRequest,
)
from fuchsiascale.jobs._shard import PaceNow, StartNow, StopNow

__all__ = ["WorkerLinks"]

EXCHANGE_WAIT_MS = 500
"""How long a worker holds an exchange open; the period of its load figures."""
RETRY_S = 0.2
"""Pause after an exchange without an answer."""


class WorkerLinks:
    """Carries out what a shard decides, and tells it what the workers say.

    Parameters
    ----------
    shard : Shard
        Workers and jobs.
    recorder : Recorder
        Records the ends that exchanges bring.
    calls : WorkerPort
        Calls to workers.
    clock : Clock
        Source of time.
    may_grant : callable
        Tells whether leases may be granted.
    on_lost : callable
        Called when a worker has seen the token of a later owner.
    on_news : callable
        Called when something has changed that a round should see.
    """

    def __init__(self, shard, recorder, calls, clock, may_grant, on_lost, on_news):
        self.shard = shard
        self.recorder = recorder
        self.calls = calls
        self.clock = clock
        self.log = logbook.Logger("links")
        self._may_grant = may_grant
        self._on_lost = on_lost
        self._on_news = on_news
        self._links = {}
        self._orders = set()

    def cancel(self):
        """End all links and orders; returns their tasks."""
        tasks = [*self._links.values(), *self._orders]
        for task in tasks:
            task.cancel()
        return tasks

    def _spawn(self, coroutine):
        task = asyncio.create_task(coroutine)
        self._orders.add(task)
        task.add_done_callback(self._note_order_end)

    def _note_order_end(self, task):
        self._orders.discard(task)
        self._note_link_end(task)

    def send_orders(self):
        """Send what the shard has decided."""
        for order in self.shard.take_orders():
            match order:
                case StartNow():
                    self._spawn(self._start(order.attempt))
                case StopNow():
                    self._spawn(self._stop(order))
                case PaceNow():
                    self._spawn(self._pace(order))

    async def _start(self, attempt):
        worker = attempt.worker
        shard = self.shard
        job = attempt.task.step.job
        sent_s = self.clock.monotonic()
        until_ms = shard.grant_lease(worker, sent_s)
        if until_ms is None:
            # The worker fell silent after the round: nothing has been sent.
            shard.note_start_refused(attempt, RefusedReason.UNHEALTHY, sent_s)
            return
        order = StartRequest(
            task=attempt.task.name,
            attempt=attempt.number,
            payload=job.spec.payload,
            lease_until_ms=until_ms,
            token=self.shard.token,
            checkpoint=attempt.checkpoint,
        )
        reply = await self.calls.start(worker.listed, order)
        now_s = self.clock.monotonic()
        if isinstance(reply, Success):
            shard.note_started(attempt, now_s)
            if attempt.task.step.spec.fills:
                self._on_news()
            return
        error = reply.failure()
        if isinstance(error, NoAnswer):
            self.log.warning(
                "start unanswered",
                extra={"task": attempt.task.name, "worker": worker.worker},
            )
            shard.note_start_unanswered(attempt, now_s)
        elif isinstance(error, Absent):
            shard.note_start_refused(attempt, RefusedReason.UNHEALTHY, now_s)
        else:
            self._check_fence(error)
            shard.note_start_refused(attempt, error.reason, now_s)
        self._on_news()

    def _check_fence(self, error):
        if isinstance(error, Refused) and error.reason is RefusedReason.FENCED:
            self._on_lost("a worker has seen a higher token")

    async def _stop(self, order):
        reply = await self.calls.stop(
            order.worker.listed, order.task, order.number, self.shard.token
        )
        if isinstance(reply, Success):
            self.shard.note_stop_answered(
                order.worker, order.task, order.number, self.clock.monotonic()
            )
            return
        error = reply.failure()
        self._check_fence(error)
        if isinstance(error, Refused) and error.reason is RefusedReason.SUPERSEDED:
            self.shard.note_stop_answered(
                order.worker, order.task, order.number, self.clock.monotonic()
            )

    async def _pace(self, order):
        attempt = order.attempt
        reply = await self.calls.pace(
            attempt.worker.listed,
            attempt.task.name,
            attempt.number,
            order.percent,
            self.shard.token,
        )
        if isinstance(reply, Success):
            self.shard.note_paced(attempt, order.percent)
            return
        self._check_fence(reply.failure())
        attempt.pace_wanted = attempt.pace

    def sync(self):
        """Keep one link to each worker."""
        for worker_id, worker in list(self.shard.workers.items()):
            if worker_id not in self._links:
                task = asyncio.create_task(self._run_link(worker))
                task.add_done_callback(self._note_link_end)
                self._links[worker_id] = task
        if self.recorder.roster_is_stale():
            self.recorder.wake.set()

    def _note_link_end(self, task):
        if not task.cancelled() and task.exception() is not None:
            self.log.critical(
                "link failed: {!r}", task.exception(), exc_info=task.exception()
            )
            self._on_lost("link failed")

    async def _run_link(self, worker):
        try:
            while True:
                if not await self._exchange(worker):
                    return
        finally:
            self._links.pop(worker.worker, None)

    async def _exchange(self, worker):
        """Exchange once with a worker; returns whether to go on."""
        shard = self.shard
        sent_s = self.clock.monotonic()
        until_ms = shard.grant_lease(worker, sent_s) if self._may_grant() else None
        quick = until_ms is None or worker.seen > worker.recorded
        wait_ms = 0 if quick else EXCHANGE_WAIT_MS
        reply = await self.calls.exchange(
            worker.listed, self.shard.token, worker.recorded, until_ms, wait_ms
        )
        now_s = self.clock.monotonic()
        if isinstance(reply, Success):
            seen = worker.seen
            shard.observe(worker, reply.unwrap(), sent_s, now_s)
            observe_tails(shard, worker, now_s)
            if worker.seen > seen:
                self.recorder.wake.set()
            self._on_news()
            await self._await_record(worker)
            return True
        error = reply.failure()
        self._check_fence(error)
        shard.note_silence(worker)
        gone = (
            isinstance(error, Refused)
            and error.reason is RefusedReason.OTHER_INCARNATION
        )
        if gone:
            shard.lose_all(worker, now_s, "another worker has its address")
            shard.uncovered.pop(worker.worker, None)
        if self._has_left(worker, gone, now_s):
            shard.drop_worker(worker.worker)
            return False
        await asyncio.sleep(RETRY_S)
        return True

    def _has_left(self, worker, gone, now_s):
        """Return whether a worker that doesn't answer may be forgotten."""
        if worker.present or worker.attempts:
            return False
        if gone:
            return True
        lapsed = worker.lapse_s is None or now_s > worker.lapse_s
        return lapsed and worker.worker not in self.shard.uncovered

    async def _await_record(self, worker):
        """Wait until ends that were just seen are recorded, within limits."""
        if worker.seen <= worker.recorded:
            return
        self.recorder.recorded.clear()
        try:
            async with asyncio.timeout(EXCHANGE_WAIT_MS / 1000):
                while worker.seen > worker.recorded:
                    await self.recorder.recorded.wait()
                    self.recorder.recorded.clear()
        except TimeoutError:
            pass
