"""Workers that follow the platform's published rules, and their client."""

import asyncio

from returns.result import Failure, Success

from fuchsiascale.jobs import (
    COMMAND_TIMEOUT_S,
    Absent,
    EndedAttempt,
    EndKind,
    Executed,
    Inventory,
    ListedWorker,
    NoAnswer,
    Refused,
    RefusedReason,
    Resources,
    RowKey,
    RunningAttempt,
    encode_row,
)
from fuchsiascale.jobs.tests._simulation_record import Rule, Run
from fuchsiascale.jobs.tests._simulation_store import STORE, StoreState
from fuchsiascale.timeouts import limit_response_time

__all__ = ["SERVERS", "Gangs", "Worker", "WorkerClient"]

SERVERS = "servers"
"""The platform's table of workers."""
CAPACITY = Resources(cpu_millis=4_000, memory_mb=16_000)
CLOCK_RATES = (1.0, 1.0, 0.99, 0.98)
MAX_STOP_S = 0.6
CHECKPOINT_PERIOD_S = 1.0
HEARTBEAT_S = 1.0
MISSED_HEARTBEATS = 3
"""Heartbeats without which the platform removes a worker from its list."""
GANG_TIMEOUT_S = 4.0
FAILING_SHARE = 0.06
CLOCK_TICK_S = 0.002


class _Activity:
    """A run at a worker, and the work that it has done."""

    def __init__(self, run, step, worked_s, total_s, began_s):
        self.run = run
        self.step = step
        self.total_s = total_s
        self.is_stopping = False
        self._worked_s = worked_s
        self._since_s = None if step.gang else began_s
        self.timer = None

    def begin_gang(self, now_s):
        self._since_s = now_s

    @property
    def works(self):
        return self._since_s is not None

    def measure_s(self, now_s):
        passed_s = now_s - self._since_s if self.works else 0.0
        return min(self.total_s, self._worked_s + passed_s)

    def format_checkpoint(self, now_s, is_exact=False):
        """Return the last checkpoint; a stop makes another one."""
        if not self.step.checkpoints:
            return ""
        worked_s = self.measure_s(now_s)
        if not is_exact:
            worked_s -= worked_s % CHECKPOINT_PERIOD_S
        return f"{worked_s:.3f}/{self.run.task}" if worked_s else ""


class Gangs:
    """Members of gangs that run, by step and attempt."""

    def __init__(self):
        self._members = {}

    def join(self, worker, activity):
        """Add a member; all begin to work once they are complete."""
        members = self._members.setdefault(self._key(activity), [])
        members.append((worker, activity))
        if len(members) == activity.step.count:
            for each, other in members:
                each.begin_gang(other)

    def leave(self, activity, end_kind):
        """Remove a member that has ended, and end the others likewise or as broken."""
        members = self._members.pop(self._key(activity), [])
        others = end_kind if end_kind is EndKind.DONE else EndKind.BROKEN
        for worker, other in members:
            if other is not activity:
                worker.end(other, others)

    def _key(self, activity):
        return activity.run.task.rpartition(".")[0], activity.run.number


class Worker:
    """A worker under one id, in one incarnation after the other.

    Parameters
    ----------
    simulation : Simulation
        What it is part of.
    name : str
        Its id, which is also its endpoint in the network.
    domain : str
        Its failure domain.
    rejects_overload : bool
        Whether it refuses what it has no room for.
    listed_ends : int
        Number of ends that an inventory has room for.
    """

    def __init__(self, simulation, name, domain, rejects_overload, listed_ends):
        self.simulation = simulation
        self.name = name
        self.domain = domain
        self.is_up = True
        self.is_draining = False
        self._rejects_overload = rejects_overload
        self._listed_ends = listed_ends
        self._rng = simulation.rng
        self._loop = asyncio.get_running_loop()
        self._last_beat_s = self._loop.time()
        self._restart(first_clock_ms=self._rng.randrange(1_000_000))

    def _restart(self, first_clock_ms):
        self._rate = self._rng.choice(CLOCK_RATES)
        self._started_s = self._loop.time()
        self._first_clock_ms = first_clock_ms
        self.incarnation = 1_700_000_000_000 + int(self._started_s * 1000)
        self._token = 0
        self._deadline_ms = 0
        self._lease_timer = None
        self._lapses = 0
        self._running = {}
        self._highest_ended = {}
        self._ended = []
        self._last_end = 0
        self._changed = asyncio.Event()

    def crash(self):
        """Run nothing any more; what ran has ended, and nobody hears of it."""
        self.is_up = False
        self._is_silent = self._rng.random() < 0.5
        if self._lease_timer is not None:
            self._lease_timer.cancel()
        for activity in list(self._running.values()):
            self.end(activity, EndKind.LAPSED)
        self.simulation.record.note(f"{self.name} is down")

    def answer_down(self):
        """Return the reply for a worker that is down; None if there is none."""
        return None if self._is_silent else Failure(Absent())

    def start_again(self):
        """Run again under the same id, without any knowledge of before.

        Faults that overlap may restart a worker that is up.
        """
        if self.is_up:
            self.crash()
        self.is_up, self.is_draining = True, False
        self._restart(first_clock_ms=0)
        self.simulation.record.note(f"{self.name} is up again")

    @property
    def clock_ms(self):
        """Return the time on the worker's clock."""
        passed_s = self._loop.time() - self._started_s
        return self._first_clock_ms + int(passed_s * self._rate * 1000)

    # The platform's list -----------------------------------------------------

    async def run_heartbeats(self):
        """Keep the worker's entry in the platform's list."""
        store, network = self.simulation.store, self.simulation.network
        row_key = RowKey(SERVERS, "", self.name)
        while True:
            now_s = self._loop.time()
            is_stored = store.state in (StoreState.USUAL, StoreState.SLOW)
            if self.is_up and is_stored and network.is_open(self.name, STORE):
                self._last_beat_s = now_s
                entry = encode_row(self._make_entry())
                row = store.rows.get(row_key)
                if row is None or row.value != entry:
                    store.put(row_key, entry)
            silent_s = now_s - self._last_beat_s
            if silent_s > MISSED_HEARTBEATS * HEARTBEAT_S and row_key in store.rows:
                store.put(row_key, None)
            await asyncio.sleep(HEARTBEAT_S * self._rng.uniform(0.8, 1.2))

    def _make_entry(self):
        return ListedWorker(
            worker=self.name,
            service=self.simulation.service,
            address=self.name,
            domain=self.domain,
            capacity=CAPACITY,
            labels=(self.domain,),
            draining=self.is_draining,
            incarnation=self.incarnation,
        )

    # Orders ------------------------------------------------------------------

    def _is_fenced(self, token):
        if token < self._token:
            return True
        self._token = token
        return False

    def _refuse(self, reason):
        return Failure(Refused(reason, self.clock_ms))

    def start(self, request, sender):
        """Start a run unless a rule of the platform refuses it."""
        if self._is_fenced(request.token):
            return self._refuse(RefusedReason.FENCED)
        if request.lease_until_ms <= self.clock_ms:
            return self._refuse(RefusedReason.EXPIRED)
        self._extend_lease(request.lease_until_ms)
        task, number = request.task, request.attempt
        present = self._running.get(task)
        if present is not None and present.run.number == number:
            return Success(Executed(self.clock_ms))
        if number <= self._highest_ended.get(task, 0):
            return self._refuse(RefusedReason.SUPERSEDED)
        if present is not None and number < present.run.number:
            return self._refuse(RefusedReason.SUPERSEDED)
        step, run_s = self.simulation.find_work(task)
        used = sum(each.step.need.cpu_millis for each in self._running.values())
        if used + step.need.cpu_millis > CAPACITY.cpu_millis:
            if self._rejects_overload:
                return self._refuse(RefusedReason.NO_ROOM)
            self.simulation.record.report(Rule.LIMIT, f"{task} #{number} {self.name}")
        self._begin(request, step, run_s, sender)
        return Success(Executed(self.clock_ms))

    def _begin(self, request, step, run_s, sender):
        now_s = self._loop.time()
        run = Run(request.task, request.attempt, self.name, sender, now_s)
        self.simulation.record.begin(run, request.checkpoint)
        worked_s = float(request.checkpoint.partition("/")[0] or 0)
        activity = _Activity(run, step, worked_s, run_s, now_s)
        self._running[request.task] = activity
        if step.gang:
            activity.timer = self._loop.call_later(
                GANG_TIMEOUT_S, self.end, activity, EndKind.ALONE
            )
            self.simulation.gangs.join(self, activity)
        else:
            self._schedule_end(activity)

    def _schedule_end(self, activity):
        left_s = activity.total_s - activity.measure_s(self._loop.time())
        end_kind = EndKind.FAILED if activity.step.lasting else EndKind.DONE
        if self._rng.random() < FAILING_SHARE:
            left_s, end_kind = left_s * self._rng.random(), EndKind.FAILED
        activity.timer = self._loop.call_later(left_s, self.end, activity, end_kind)

    def begin_gang(self, activity):
        """Let a member of a gang that is complete work."""
        activity.timer.cancel()
        activity.begin_gang(self._loop.time())
        left_s = activity.total_s - activity.measure_s(self._loop.time())
        activity.timer = self._loop.call_later(left_s, self.end, activity, EndKind.DONE)

    def end(self, activity, end_kind):
        """End a run, and list its end."""
        run = activity.run
        if self._running.get(run.task) is not activity:
            return
        del self._running[run.task]
        activity.timer.cancel()
        self._highest_ended[run.task] = max(
            run.number, self._highest_ended.get(run.task, 0)
        )
        now_s = self._loop.time()
        checkpoint = activity.format_checkpoint(now_s, end_kind is EndKind.STOPPED)
        self._last_end += 1
        listed = EndedAttempt(
            self._last_end, run.task, run.number, end_kind, checkpoint
        )
        self._ended.append((listed, run, self._lapses))
        self.simulation.record.end(run, end_kind)
        self._changed.set()
        self._changed = asyncio.Event()
        if activity.step.gang:
            self.simulation.gangs.leave(activity, end_kind)

    def stop(self, task, number, token):
        """Stop a run, which may not be there yet."""
        if self._is_fenced(token):
            return self._refuse(RefusedReason.FENCED)
        activity = self._running.get(task)
        self._highest_ended[task] = max(number, self._highest_ended.get(task, 0))
        is_there = activity is not None and activity.run.number == number
        if is_there and not activity.is_stopping:
            activity.is_stopping = True
            activity.timer.cancel()
            activity.timer = self._loop.call_later(
                self._rng.uniform(0.01, MAX_STOP_S),
                self.end,
                activity,
                EndKind.STOPPED,
            )
        return Success(Executed(self.clock_ms))

    async def exchange(self, token, acknowledged, lease_until_ms, wait_ms):
        """Extend the lease, forget ends, and list the runs once one has ended."""
        if self._is_fenced(token):
            return self._refuse(RefusedReason.FENCED)
        if lease_until_ms is not None:
            self._extend_lease(lease_until_ms)
        self._forget_ends(acknowledged)
        incarnation = self.incarnation
        if wait_ms and not self._ended:
            try:
                async with asyncio.timeout(wait_ms / 1000):
                    await self._changed.wait()
            except TimeoutError:
                pass
        if not self.is_up or self.incarnation != incarnation:
            return None
        return Success(self._make_inventory())

    def _make_inventory(self):
        now_s = self._loop.time()
        running = tuple(
            RunningAttempt(
                each.run.task,
                each.run.number,
                each.format_checkpoint(now_s),
                100
                if each.step.lasting
                else int(100 * each.measure_s(now_s) / each.total_s),
            )
            for each in self._running.values()
        )
        ended = tuple(listed for listed, _, _ in self._ended[: self._listed_ends])
        return Inventory(
            clock_ms=self.clock_ms,
            incarnation=self.incarnation,
            running=running,
            ended=ended,
            lists_all_ends=len(ended) < self._listed_ends,
        )

    def _forget_ends(self, acknowledged):
        for listed, run, lapses in self._ended:
            if listed.number <= acknowledged and lapses == self._lapses:
                self.simulation.record.acknowledge(run)
        self._ended = [each for each in self._ended if each[0].number > acknowledged]

    # Lease -------------------------------------------------------------------

    def _extend_lease(self, until_ms):
        longest_ms = int(self.simulation.longest_lease_s * 1000)
        until_ms = min(until_ms, self.clock_ms + longest_ms)
        if until_ms <= self._deadline_ms:
            return
        self._deadline_ms = until_ms
        if self._lease_timer is None:
            self._await_lapse()

    def _await_lapse(self):
        left_ms = self._deadline_ms - self.clock_ms
        if left_ms > 0:
            self._lease_timer = self._loop.call_later(
                left_ms / 1000 / self._rate + CLOCK_TICK_S, self._await_lapse
            )
            return
        self._lease_timer = None
        self._lapses += 1
        for activity in list(self._running.values()):
            self.end(activity, EndKind.LAPSED)


class WorkerClient:
    """The workers as called by one process; see `WorkerPort`."""

    def __init__(self, simulation, address, name):
        self._simulation = simulation
        self._address = address
        self._name = name

    async def exchange(self, worker, token, acknowledged, lease_until_ms, wait_ms):
        """See `WorkerPort.exchange`."""

        async def execute(target):
            return await target.exchange(token, acknowledged, lease_until_ms, wait_ms)

        return await self._call(worker, execute, COMMAND_TIMEOUT_S + wait_ms / 1000)

    async def start(self, worker, request):
        """See `WorkerPort.start`."""
        sender = self.name_sender(request.token)

        async def execute(target):
            return target.start(request, sender)

        return await self._call(worker, execute)

    async def stop(self, worker, task, attempt, token):
        """See `WorkerPort.stop`."""

        async def execute(target):
            return target.stop(task, attempt, token)

        return await self._call(worker, execute)

    def name_sender(self, token):
        """Return whose orders a call with a token carries out."""
        return f"{self._name} token {token}"

    async def _call(self, worker, execute, timeout_s=COMMAND_TIMEOUT_S):
        network = self._simulation.network
        target = self._simulation.workers[worker.worker]

        async def answer():
            return await execute(target) if target.is_up else target.answer_down()

        try:
            async with limit_response_time(timeout_s):
                reply = await network.call(
                    self._address, worker.worker, answer, resets=True
                )
        except TimeoutError:
            reply = None
        return Failure(NoAnswer("no answer")) if reply is None else reply
