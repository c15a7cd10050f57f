"""Rules of a worker, without I/O: tokens, leases, capacity and attempts."""

import msgspec

from fuchsiascale.platform import (
    NO_TOKEN,
    AttemptKey,
    AttemptReport,
    ClaimReply,
    ExchangeReply,
    FencingToken,
    Resources,
    StartCommand,
    StartReply,
    StartResult,
    WorkerInventory,
)
from fuchsiascale.states import AttemptState
from standins._journal import Event

__all__ = ["Attempt", "RunScript", "WorkerRules", "read_run_script"]

FULL_SHARE_PERMILLE = 1000
FAILED_START_RUN_MS = 20


class RunScript(msgspec.Struct, frozen=True, kw_only=True):
    """Behaviour of an attempt, as the JSON payload of its task prescribes it.

    Parameters
    ----------
    actual_run_ms : float or None
        Actual run time, in milliseconds; None for the declared one.
    fail : bool
        Whether the attempt fails at its end.
    actual_millicores, actual_memory_mb : int or None
        Actual usage; None for the declared demand.
    fail_on : tuple of str
        Workers on which the attempt fails.
    """

    actual_run_ms: float | None = None
    fail: bool = False
    actual_millicores: int | None = None
    actual_memory_mb: int | None = None
    fail_on: tuple[str, ...] = ()


def read_run_script(payload):
    """Return the script of a payload, or an empty one if it holds none.

    Examples
    --------
    >>> read_run_script('{"fail": true}').fail
    True
    >>> read_run_script("plain text").fail
    False
    """
    try:
        return msgspec.json.decode(payload, type=RunScript)
    except msgspec.MsgspecError:
        return RunScript()


class Attempt:
    """One attempt that the worker simulates by a timer, or that has ended.

    Parameters
    ----------
    command : StartCommand
        The command that started it.
    done_ms : float
        Run time completed according to its checkpoint, in milliseconds.
    now_s : float
        Monotonic time of the start, in seconds.
    """

    def __init__(self, command, done_ms, now_s):
        self.command = command
        self.script = read_run_script(command.payload)
        self.state = AttemptState.RUNNING
        self.checkpoint = None
        self.detail = ""
        self.checkpointing = False
        self._share = FULL_SHARE_PERMILLE
        self._done_ms = done_ms
        self._updated_s = now_s
        self._usage_samples = ((now_s, Resources()),)

    @property
    def key(self):
        """Task and number of the attempt."""
        return AttemptKey(task=self.command.task, attempt=self.command.attempt)

    @property
    def run_ms(self):
        """Actual run time, in milliseconds."""
        if self.script.actual_run_ms is not None:
            return self.script.actual_run_ms
        return self.command.run_ms

    def done_ms(self, now_s):
        """Return the run time completed so far, in milliseconds."""
        elapsed_ms = (now_s - self._updated_s) * 1000
        return self._done_ms + elapsed_ms * self._share / FULL_SHARE_PERMILLE

    def compute_end_s(self):
        """Return the monotonic time at which the run time is complete, in seconds."""
        remaining_ms = self.run_ms - self._done_ms
        return self._updated_s + remaining_ms / max(1, self._share)

    def throttle(self, share_permille, now_s):
        """Continue at a share of full speed."""
        self._done_ms = self.done_ms(now_s)
        self._updated_s = now_s
        self._share = share_permille
        full = share_permille >= FULL_SHARE_PERMILLE
        self.state = AttemptState.RUNNING if full else AttemptState.THROTTLED

    def measure(self, now_s):
        """Record a sample of the usage."""
        self._usage_samples = (
            *self._usage_samples[-20:],
            (now_s, self._compute_usage()),
        )

    def find_usage(self, now_s, lag_s):
        """Return the newest sample that is at least ``lag_s`` old."""
        samples = [
            usage for at_s, usage in self._usage_samples if at_s <= now_s - lag_s
        ]
        return samples[-1] if samples else Resources()

    def _compute_usage(self):
        if self.state.ended:
            return Resources()
        demand, script = self.command.demand, self.script
        millicores = demand.millicores
        if script.actual_millicores is not None:
            millicores = script.actual_millicores
        memory_mb = demand.memory_mb
        if script.actual_memory_mb is not None:
            memory_mb = script.actual_memory_mb
        return Resources(
            millicores=millicores * self._share // FULL_SHARE_PERMILLE,
            memory_mb=memory_mb,
            accelerators=demand.accelerators,
        )


class WorkerRules:
    """State of one worker, changed by the commands of its owners.

    Parameters
    ----------
    worker : WorkerId
        Id of the worker.
    capacity, reserved : Resources
        Total capacity, and the part of it that is reserved for runners.
    guards : bool
        Whether starts that exceed the capacity are refused.
    clock : Clock
        Monotonic time for leases and run times.
    record : callable
        Takes an event and the fields of a journal entry.
    usage_lag_s : float
        Age of reported measurements, in seconds.
    """

    def __init__(self, worker, capacity, reserved, guards, clock, record, usage_lag_s):
        self.worker = worker
        self.capacity = capacity
        self.reserved = reserved
        self.guards = guards
        self.leaving = False
        self.fail_starts = False
        self.refuse_starts = False
        self.usage_lag_s = usage_lag_s
        self._clock = clock
        self._record = record
        self._token = NO_TOKEN
        self._released = True
        self._lease_end_s = clock.monotonic()
        self._attempts = {}
        self._newest_attempts = {}

    def claim(self, request):
        """Grant a claim unless a higher token has been seen."""
        self.advance()
        if request.token < self._token or request.token == NO_TOKEN:
            self._record(Event.REFUSED, token=format_token(request.token))
            return ClaimReply(granted=False, highest=self._token)
        previous = self._token
        self._token = request.token
        self._released = False
        self._renew(request.lease_ms)
        self._record(
            Event.CLAIMED,
            token=format_token(request.token),
            lease_ms=request.lease_ms,
            capacity=self.capacity - self.reserved,
        )
        return ClaimReply(
            granted=True,
            highest=self._token,
            inventory=self.list_inventory(),
            previous=previous,
        )

    def start(self, request, resumed_ms):
        """Start attempts if the token is the current one.

        Parameters
        ----------
        request : StartRequest
            The request.
        resumed_ms : dict of CheckpointKey to float
            Completed run time of each checkpoint that could be read.
        """
        self.advance()
        if not self._accepts(request.token):
            return StartReply(accepted=False, highest=self._token)
        results = tuple(
            self._start_one(command, resumed_ms) for command in request.starts
        )
        return StartReply(accepted=True, highest=self._token, results=results)

    def exchange(self, request):
        """Renew the lease and apply commands; checkpoints stay pending."""
        self.advance()
        if not self._accepts(request.token):
            return ExchangeReply(accepted=False, highest=self._token)
        self._renew(request.lease_ms, request.until_ms)
        for key in request.acknowledged:
            self._forget(key)
        for key in request.stops:
            self._end(key, AttemptState.STOPPED, "stopped by its owner")
        for key in request.checkpoints:
            self._request_checkpoint(key)
        for throttle in request.throttles:
            self._throttle(throttle)
        if request.release:
            self._released = True
        return ExchangeReply(
            accepted=True, highest=self._token, inventory=self.list_inventory()
        )

    def list_inventory(self):
        """Return the inventory of the worker, with all attempts that it retains."""
        now_s = self._clock.monotonic()
        return WorkerInventory(
            worker=self.worker,
            token=self._token,
            capacity=self.capacity,
            reserved=self.reserved,
            attempts=tuple(
                self._report(attempt, now_s) for attempt in self._list_attempts()
            ),
            lease_ms=max(0, int((self._lease_end_s - now_s) * 1000)),
            clock_ms=int(now_s * 1000),
            leaving=self.leaving,
        )

    def find_pending_checkpoints(self):
        """Return the running attempts whose checkpoint is requested."""
        return [attempt for attempt in self._list_running() if attempt.checkpointing]

    def end_checkpoint(self, key, checkpoint):
        """End an attempt whose checkpoint object has been stored."""
        attempt = self._attempts.get(key)
        if attempt is not None and not attempt.state.ended:
            attempt.checkpoint = checkpoint
            self._end(key, AttemptState.CHECKPOINTED, "")

    def cancel_checkpoint(self, key):
        """Continue an attempt whose checkpoint could not be stored."""
        attempt = self._attempts.get(key)
        if attempt is not None:
            attempt.checkpointing = False

    def advance(self):
        """End the attempts that are complete, or all once the lease has expired."""
        now_s = self._clock.monotonic()
        for attempt in self._list_running():
            self._end_if_done(attempt, min(now_s, self._lease_end_s))
        if now_s < self._lease_end_s:
            return
        running = self._list_running()
        if running:
            self._record(Event.LEASE_LAPSED, token=format_token(self._token))
        for attempt in running:
            self._end(
                attempt.key, AttemptState.STOPPED, "lease lapsed", self._lease_end_s
            )

    def measure(self):
        """Record a usage sample of every attempt."""
        now_s = self._clock.monotonic()
        for attempt in self._list_attempts():
            attempt.measure(now_s)

    def _list_attempts(self):
        return list(self._attempts.values())

    def _list_running(self):
        return [attempt for attempt in self._list_attempts() if not attempt.state.ended]

    def _accepts(self, token):
        if token == self._token and not self._released:
            return True
        self._record(Event.REFUSED, token=format_token(token))
        return False

    def _renew(self, lease_ms, until_ms=0):
        lease_end_s = self._clock.monotonic() + lease_ms / 1000
        if until_ms:
            lease_end_s = min(lease_end_s, until_ms / 1000)
        self._lease_end_s = max(self._lease_end_s, lease_end_s)

    def _start_one(self, command, resumed_ms):
        key = AttemptKey(task=command.task, attempt=command.attempt)
        attempt = self._attempts.get(key)
        if attempt is not None and not attempt.state.ended:
            return format_result(command, "")
        reason = self._find_refusal(command, resumed_ms)
        if reason:
            self._record(
                Event.REFUSED,
                task=command.task,
                attempt=command.attempt,
                detail=reason,
            )
            return format_result(command, reason)
        done_ms = resumed_ms.get(command.checkpoint, 0.0)
        attempt = Attempt(command, done_ms, self._clock.monotonic())
        self._attempts[key] = attempt
        self._newest_attempts[command.task] = command.attempt
        self._record(
            Event.STARTED,
            task=command.task,
            attempt=command.attempt,
            demand=command.demand,
            checkpoint=command.checkpoint or "",
            token=format_token(self._token),
        )
        return format_result(command, "")

    def _find_refusal(self, command, resumed_ms):
        if command.attempt <= self._newest_attempts.get(command.task, 0):
            return "the attempt or a later one has ended"
        if any(
            attempt.command.task == command.task for attempt in self._list_running()
        ):
            return "another attempt at the task is running"
        if self._clock.monotonic() >= self._lease_end_s:
            return "the lease is over"
        if self.refuse_starts:
            return "the worker refuses starts"
        if command.checkpoint is not None and command.checkpoint not in resumed_ms:
            return "the checkpoint could not be read"
        if self.guards and not self._has_capacity(command.demand):
            return "not enough capacity"
        return ""

    def _has_capacity(self, demand):
        committed = sum(
            (attempt.command.demand for attempt in self._list_running()),
            start=self.reserved,
        )
        return (committed + demand).fits(self.capacity)

    def _end_if_done(self, attempt, now_s):
        fails = (
            self.fail_starts
            or attempt.script.fail
            or self._fails_on_this_worker(attempt)
        )
        run_ms = attempt.run_ms
        if self.fail_starts:
            run_ms = min(run_ms, FAILED_START_RUN_MS)
        if attempt.done_ms(now_s) < run_ms:
            return
        state = AttemptState.FAILED if fails else AttemptState.FINISHED
        detail = "failed at its end" if fails else ""
        self._end(attempt.key, state, detail, min(now_s, attempt.compute_end_s()))

    def _fails_on_this_worker(self, attempt):
        return self.worker in attempt.script.fail_on

    def _end(self, key, state, detail, until_s=None):
        attempt = self._attempts.get(key)
        if attempt is None or attempt.state.ended:
            return
        attempt.state = state
        attempt.detail = detail
        self._record(
            Event.ENDED,
            task=key.task,
            attempt=key.attempt,
            state=state.value,
            checkpoint=attempt.checkpoint or "",
            detail=detail,
            until_ms=(self._clock.monotonic() if until_s is None else until_s) * 1000,
        )

    def _forget(self, key):
        attempt = self._attempts.get(key)
        if attempt is not None and attempt.state.ended:
            del self._attempts[key]

    def _request_checkpoint(self, key):
        attempt = self._attempts.get(key)
        if attempt is not None and not attempt.state.ended:
            attempt.checkpointing = True

    def _throttle(self, throttle):
        key = AttemptKey(task=throttle.task, attempt=throttle.attempt)
        attempt = self._attempts.get(key)
        if attempt is not None and not attempt.state.ended:
            attempt.throttle(throttle.share_permille, self._clock.monotonic())

    def _report(self, attempt, now_s):
        return AttemptReport(
            task=attempt.command.task,
            attempt=attempt.command.attempt,
            kind=attempt.command.kind,
            state=attempt.state,
            demand=attempt.command.demand,
            used=attempt.find_usage(now_s, self.usage_lag_s),
            checkpoint=attempt.checkpoint,
            detail=attempt.detail,
        )


def format_token(token: FencingToken):
    """Format a token for the journal."""
    return f"{token.counter}/{token.holder}"


def format_result(command: StartCommand, reason):
    """Return the result of one start; an empty reason means that it started."""
    return StartResult(
        task=command.task,
        attempt=command.attempt,
        started=not reason,
        reason=reason,
    )
