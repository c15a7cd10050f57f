"""Links to the workers of a shard: exchanges and commands."""

import asyncio

import logbook
from returns.result import Success

from fuchsiascale.jobs._commands import PaceCommand, StartCommand, StopCommand
from fuchsiascale.jobs._conclusions import end_wait_for_worker, mark_all_lost
from fuchsiascale.jobs._pacing import observe_tail_latencies
from fuchsiascale.jobs._ports import (
    Absent,
    NoAnswer,
    Refused,
    RefusedReason,
    StartRequest,
)
from fuchsiascale.jobs._relayed_workers import COMMAND_TIMEOUT_S

__all__ = ["WorkerLinks"]

EXCHANGE_WAIT_MS = 500
"""Time for which a worker holds an exchange open; the period of its load figures."""
SLOW_START_S = COMMAND_TIMEOUT_S / 2
"""Age from which the answer to a start is logged; most arrive within milliseconds."""
RETRY_S = 0.2
"""Pause after an exchange without an answer."""


class WorkerLinks:
    """Sends a shard's commands to its workers, and applies their inventories.

    Parameters
    ----------
    shard : Shard
        Workers and jobs.
    recorder : Recorder
        Records the ends that exchanges report.
    calls : RelayedWorkers
        Calls to workers.
    clock : Clock
        Source of time.
    may_grant : callable
        Returns whether leases may be granted.
    on_lost : callable
        Called when a worker has seen the token of a later owner.
    on_change : callable
        Called when a change calls for a scheduling round.
    """

    def __init__(self, shard, recorder, calls, clock, may_grant, on_lost, on_change):
        self.shard = shard
        self.recorder = recorder
        self.calls = calls
        self.clock = clock
        self.log = logbook.Logger("links")
        self._may_grant = may_grant
        self._on_lost = on_lost
        self._on_change = on_change
        self._links = {}
        self._command_tasks = set()

    def cancel(self):
        """Cancel all links and commands; returns their asyncio tasks."""
        tasks = [*self._links.values(), *self._command_tasks]
        for task in tasks:
            task.cancel()
        return tasks

    def _spawn(self, coroutine):
        task = asyncio.create_task(coroutine)
        self._command_tasks.add(task)
        task.add_done_callback(self._handle_command_end)

    def _handle_command_end(self, task):
        self._command_tasks.discard(task)
        self._handle_task_end(task)

    def send_commands(self):
        """Send the commands of the shard."""
        for command in self.shard.drain_commands():
            match command:
                case StartCommand():
                    self._spawn(self._start(command.attempt))
                case StopCommand():
                    self._spawn(self._stop(command))
                case PaceCommand():
                    self._spawn(self._pace(command))

    async def _start(self, attempt):
        worker = attempt.worker
        shard = self.shard
        job = attempt.task.step.job
        sent_s = self.clock.monotonic()
        if shard.is_evacuated(worker, sent_s):
            shard.note_start_withheld(attempt, sent_s)
            self._on_change()
            return
        until_ms = None
        if self._may_grant() and shard.may_send_start(worker):
            until_ms = shard.grant_start_lease(worker, sent_s)
        if until_ms is None:
            # The worker stopped answering or restarted after the round, or the process
            # was paused and may have been replaced: nothing has been sent.
            shard.note_start_refused(attempt, RefusedReason.UNHEALTHY, sent_s)
            return
        worker.note_start_sent()
        token = shard.get_fencing_token(worker)
        request = StartRequest(
            task=attempt.task.name,
            attempt=attempt.number,
            payload=job.spec.payload,
            lease_until_ms=until_ms,
            token=token,
            checkpoint=attempt.checkpoint,
        )
        reply, relayed_by = await self.calls.send_start(worker.listed, request)
        now_s = self.clock.monotonic()
        attempt.note_start_path(relayed_by, now_s - sent_s)
        shard.events[f"start sent: {'relayed' if relayed_by else 'direct'}"] += 1
        is_other = worker.note_start_reply(_get_clock_ms(reply), sent_s, now_s)
        if isinstance(reply, Success):
            if is_other:
                self.log.warning(
                    "start answered by a clock that is behind",
                    extra=attempt.describe_start(),
                )
            elif now_s - sent_s > SLOW_START_S:
                self.log.info("start answered late", extra=attempt.describe_start())
            shard.note_started(attempt, now_s, is_other)
            if attempt.task.step.spec.fills:
                self._on_change()
            return
        error = reply.failure()
        if isinstance(error, NoAnswer):
            self.log.warning("start unanswered", extra=attempt.describe_start())
            shard.note_start_unanswered(attempt, now_s)
        elif isinstance(error, Absent):
            shard.note_start_refused(attempt, RefusedReason.UNHEALTHY, now_s)
        else:
            self._check_fence(error, worker, token)
            shard.note_start_refused(attempt, error.reason, now_s)
        self._on_change()

    def _check_fence(self, error, worker, token):
        """Report the loss of ownership where a worker has seen a later owner.

        Returns whether it may have seen a later token of this owner only.
        """
        if not (isinstance(error, Refused) and error.reason is RefusedReason.FENCED):
            return False
        # The worker may have been dropped and added anew meanwhile.
        worker = self.shard.workers.get(worker.worker, worker)
        if token < self.shard.get_fencing_token(worker):
            return True
        self._on_lost("a worker has seen a higher token")
        return False

    async def _stop(self, command):
        worker = command.worker
        incarnation = worker.incarnation
        token = self.shard.get_fencing_token(worker)
        reply = await self.calls.stop(
            worker.listed, command.task, command.number, token
        )
        is_stopped = isinstance(reply, Success)
        if not is_stopped:
            error = reply.failure()
            if self._check_fence(error, worker, token):
                self._spawn(self._stop(command))
                return
            is_stopped = (
                isinstance(error, Refused) and error.reason is RefusedReason.SUPERSEDED
            )
        # An incarnation that has started since knows nothing of the stop.
        if is_stopped and worker.incarnation == incarnation:
            self.shard.note_stop_answered(
                worker, command.task, command.number, self.clock.monotonic()
            )

    async def _pace(self, command):
        attempt = command.attempt
        token = self.shard.get_fencing_token(attempt.worker)
        reply = await self.calls.pace(
            attempt.worker.listed,
            attempt.task.name,
            attempt.number,
            command.percent,
            token,
        )
        if isinstance(reply, Success):
            self.shard.note_paced(attempt, command.percent)
            return
        self._check_fence(reply.failure(), attempt.worker, token)
        attempt.worker.set_target_pace(attempt, attempt.pace)

    def sync(self):
        """Start the missing links, one per worker; record the leased workers if due."""
        for worker_id, worker in list(self.shard.workers.items()):
            if worker_id not in self._links:
                task = asyncio.create_task(self._run_link(worker))
                task.add_done_callback(self._handle_task_end)
                self._links[worker_id] = task
        if self.recorder.is_leased_workers_row_stale():
            self.recorder.flush_requested.set()

    def _handle_task_end(self, task):
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
        """Exchange once with a worker; returns whether to continue."""
        shard = self.shard
        sent_s = self.clock.monotonic()
        until_ms = shard.grant_lease(worker, sent_s) if self._may_grant() else None
        is_urgent = (
            until_ms is None
            or not worker.refuses_former_calls
            or worker.last_seen_end > worker.last_recorded_end
        )
        wait_ms = 0 if is_urgent else EXCHANGE_WAIT_MS
        token = shard.get_fencing_token(worker)
        acknowledged = worker.acknowledgeable_end
        worker.is_acknowledging = acknowledged > 0
        reply = await self.calls.exchange(
            worker.listed, token, acknowledged, until_ms, wait_ms
        )
        worker.is_acknowledging = False
        now_s = self.clock.monotonic()
        if isinstance(reply, Success):
            last_seen_end = worker.last_seen_end
            shard.observe(worker, reply.unwrap(), sent_s, now_s)
            observe_tail_latencies(shard, worker, now_s)
            if worker.last_seen_end > last_seen_end:
                self.recorder.flush_requested.set()
            self._on_change()
            await self._wait_for_record(worker)
            return True
        error = reply.failure()
        if self._check_fence(error, worker, token):
            return True
        shard.note_silence(worker, now_s)
        gone = (
            isinstance(error, Refused)
            and error.reason is RefusedReason.OTHER_INCARNATION
        )
        if gone:
            mark_all_lost(shard, worker, now_s, "another worker has its address")
            end_wait_for_worker(shard, worker, now_s)
        if self._has_left(worker, gone, now_s):
            shard.drop_worker(worker.worker)
            return False
        await asyncio.sleep(RETRY_S)
        return True

    def _has_left(self, worker, gone, now_s):
        """Return whether a worker that doesn't answer may be dropped."""
        if worker.is_listed or worker.attempts:
            return False
        if gone:
            return True
        if worker.orphans:
            # A later owner may have extended the lease of an attempt that runs on.
            return False
        expired = worker.lease_expiry_s is None or now_s > worker.lease_expiry_s
        return expired and worker.worker not in self.shard.unconfirmed_workers

    async def _wait_for_record(self, worker):
        """Wait for the ends just seen to be recorded, at most for one exchange."""
        if worker.last_seen_end <= worker.last_recorded_end:
            return
        self.recorder.ends_recorded.clear()
        try:
            async with asyncio.timeout(EXCHANGE_WAIT_MS / 1000):
                while worker.last_seen_end > worker.last_recorded_end:
                    await self.recorder.ends_recorded.wait()
                    self.recorder.ends_recorded.clear()
        except TimeoutError:
            pass


def _get_clock_ms(reply):
    """Return the time on a worker's clock in a reply; None if it has none."""
    if isinstance(reply, Success):
        return reply.unwrap().clock_ms or None
    error = reply.failure()
    return error.clock_ms if isinstance(error, Refused) else None
