"""Fake workers, on a clock that the test advances."""

import msgspec
from returns.result import Failure, Success

from fuchsiascale.platform import (
    NO_TOKEN,
    AttemptReport,
    ClaimReply,
    ExchangeReply,
    Resources,
    StartReply,
    StartResult,
    Unavailable,
    Uncertain,
    WorkerInventory,
)
from fuchsiascale.states import AttemptState

__all__ = ["FakeWorker", "FakeWorkers"]


class FakeWorker:
    """A worker that enforces its capacity, its lease and the fencing token."""

    def __init__(self, clock, worker, capacity, reserved=None):
        self._clock = clock
        self.worker = worker
        self.capacity = capacity
        self.reserved = reserved or Resources()
        self.highest = NO_TOKEN
        self.lease_end_s = 0.0
        self.attempts = {}
        self.ends_s = {}
        self.leaving = False
        self.fail_starts = False
        self.checks_capacity = True
        self.fences = True
        self.started = []
        self.newest = {}

    def claim(self, request):
        """Grant a claim whose token is higher than all seen so far."""
        self._expire_lease()
        if self.fences and request.token <= self.highest:
            return ClaimReply(granted=False, highest=self.highest)
        previous = self.highest
        self.highest = request.token
        self._extend(request.lease_ms)
        return ClaimReply(
            granted=True,
            highest=self.highest,
            inventory=self.inventory(),
            previous=previous,
        )

    def start(self, request):
        """Start attempts under the highest token and a lease."""
        self._expire_lease()
        if self.fences and request.token != self.highest:
            return StartReply(accepted=False, highest=self.highest)
        results = tuple(self._start_one(start) for start in request.starts)
        return StartReply(accepted=True, highest=self.highest, results=results)

    def exchange(self, request):
        """Renew the lease and execute commands under the highest token."""
        self._expire_lease()
        self.progress()
        if self.fences and request.token != self.highest:
            return ExchangeReply(accepted=False, highest=self.highest)
        self._extend(request.lease_ms, request.until_ms)
        for key in request.acknowledged:
            report = self.attempts.get(key)
            if report is not None and report.state.ended:
                del self.attempts[key]
        for key in request.stops:
            self.end(key, AttemptState.STOPPED)
        for key in request.checkpoints:
            checkpoint = f"checkpoint/{key.task}/{key.attempt}"
            self.end(key, AttemptState.CHECKPOINTED, checkpoint)
        inventory = self.inventory()
        return ExchangeReply(accepted=True, highest=self.highest, inventory=inventory)

    def inventory(self):
        """Return the worker's inventory."""
        left_ms = max(0, int((self.lease_end_s - self._clock.monotonic()) * 1000))
        return WorkerInventory(
            worker=self.worker,
            token=self.highest,
            capacity=self.capacity,
            reserved=self.reserved,
            attempts=tuple(self.attempts.values()),
            lease_ms=left_ms,
            clock_ms=int(self._clock.monotonic() * 1000),
            leaving=self.leaving,
        )

    def progress(self):
        """Finish the attempts whose run time has elapsed."""
        for key, report in list(self.attempts.items()):
            is_due = self._clock.monotonic() >= self.ends_s[key]
            if is_due and not report.state.ended:
                self.end(key, AttemptState.FINISHED)

    def list_running(self):
        """Return the reports of running attempts."""
        self._expire_lease()
        self.progress()
        return [r for r in self.attempts.values() if not r.state.ended]

    def _extend(self, lease_ms, until_ms=0):
        end_s = self._clock.monotonic() + lease_ms / 1000
        if until_ms:
            end_s = min(end_s, until_ms / 1000)
        self.lease_end_s = max(self.lease_end_s, end_s)

    def _expire_lease(self):
        if self._clock.monotonic() < self.lease_end_s:
            return
        for key in list(self.attempts):
            self.end(key, AttemptState.STOPPED)

    def end(self, key, state, checkpoint=None):
        """End a running attempt."""
        report = self.attempts.get(key)
        if report is not None and not report.state.ended:
            self.attempts[key] = msgspec.structs.replace(
                report, state=state, checkpoint=checkpoint
            )

    def _start_one(self, start):
        report = AttemptReport(
            task=start.task,
            attempt=start.attempt,
            kind=start.kind,
            state=AttemptState.RUNNING,
            demand=start.demand,
        )
        reason = self._refuse(start)
        if not reason and report.key not in self.attempts:
            self.newest[start.task] = start.attempt
            self.started.append(start)
            now_s = self._clock.monotonic()
            self.ends_s[report.key] = now_s + start.run_ms / 1000
            self.attempts[report.key] = report
            if self.fail_starts:
                self.end(report.key, AttemptState.FAILED)
        return StartResult(
            task=start.task,
            attempt=start.attempt,
            started=not reason,
            reason=reason,
        )

    def _refuse(self, start):
        if self._clock.monotonic() >= self.lease_end_s:
            return "no lease"
        if start.attempt < self.newest.get(start.task, 0):
            return "a later attempt was started"
        held = [key for key in self.attempts if key.task == start.task]
        if not held and start.attempt <= self.newest.get(start.task, 0):
            return "the attempt has ended"
        if not self.checks_capacity:
            return ""
        held = [r.demand for r in self.list_running()] + [self.reserved, start.demand]
        committed = sum(held, start=Resources())
        return "" if committed.fits(self.capacity) else "no room"


class FakeWorkers:
    """The workers port; a worker can be cut off, and replies can be lost."""

    def __init__(self):
        self.by_address = {}
        self.cut = set()
        self.lost = set()

    async def claim(self, address, request):
        """Claim a worker."""
        return self._call(address, "claim", request)

    async def start(self, address, request):
        """Start attempts."""
        return self._call(address, "start", request)

    async def exchange(self, address, request):
        """Exchange with a worker."""
        return self._call(address, "exchange", request)

    def _call(self, address, method, request):
        if address in self.cut:
            return Failure(Unavailable(detail="cut"))
        reply = getattr(self.by_address[address], method)(request)
        if (address, method) in self.lost:
            self.lost.discard((address, method))
            return Failure(Uncertain(detail="reply lost"))
        return Success(reply)
