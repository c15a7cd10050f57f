"""Admission to the runners of a service and the choice of a runner."""

import asyncio

import msgspec

from fuchsiascale.coordination import RunnerIndex
from fuchsiascale.decisions import (
    AdmissionPool,
    ClassFloor,
    LatencyEstimate,
    RunnerLoad,
    ShareKey,
    Ticket,
    Verdict,
    VerdictKind,
    cancel_ticket,
    choose_runner,
    configure_pool,
    estimate_latency,
    is_failing,
    observe_failure,
    observe_latency,
    offer_ticket,
    release_ticket,
    resize_pool,
)
from fuchsiascale.platform import ListedInstance, Message
from fuchsiascale.states import Refusal, Urgency

__all__ = ["RUNNER_GRACE_S", "Admission", "Dispatcher", "RunnerLatency"]

RUNNER_GRACE_S = 0.5
SAMPLED_RUNNERS = 4
NO_RUNNER_RETRY_MS = 1_000.0
MIN_WINDOW_SAMPLES = 5


class Admission(msgspec.Struct, eq=False):
    """Admission of a request, held until its last slot is released."""

    pool: "ServicePool"
    ticket: Ticket
    admitted_s: float
    slots: int = 0
    is_released: bool = False
    answered: bool = False


class NotAdmitted(msgspec.Struct):
    """Reason why a request was not admitted, and when to retry it."""

    refusal: Refusal
    retry_after_ms: float


class ServicePool(msgspec.Struct, eq=False):
    """Admission and measured latencies of one service."""

    admission: AdmissionPool
    revision: int = -1
    waiters: dict = {}
    latencies: dict = {}
    windows: dict = {}
    typical: LatencyEstimate = LatencyEstimate()


class LatencyWindow(msgspec.Struct):
    """Sum and number of a runner's latencies since the last report."""

    total_ms: float = 0.0
    count: int = 0


class RunnerLatency(Message):
    """Mean latency of a runner since the last report, in milliseconds."""

    runner: ListedInstance
    mean_ms: float


class Dispatcher:
    """Admits requests and assigns them slots of runners.

    Parameters
    ----------
    slots : SlotHolder
        Credits of this instance.
    view, fleet : callable
        Return the current views.
    clock : Clock
        Source of time.
    random : random.Random
        Source of choices.
    demand : callable, optional
        Called without arguments when a request starts to wait for credits.
    """

    def __init__(self, slots, view, fleet, clock, random, demand=None):
        self.slots = slots
        self._view = view
        self._fleet = fleet
        self._clock = clock
        self._random = random
        self._demand = demand or _ignore
        self._index = RunnerIndex()
        self._exchanges = set()
        self._pools = {}

    def spawn(self, exchange):
        """Run an exchange in a task that continues if its caller is cancelled.

        Parameters
        ----------
        exchange : coroutine
            Exchange with a runner or with the store.

        Returns
        -------
        asyncio.Task
            The task that runs it.
        """
        task = asyncio.ensure_future(exchange)
        self._exchanges.add(task)
        task.add_done_callback(self._exchanges.discard)
        return task

    async def wait_for_exchanges(self):
        """Wait until no exchange is in progress."""
        while self._exchanges:
            await asyncio.wait(self._exchanges)

    def count_waiting(self, service):
        """Return the number of requests that wait for a slot of a service."""
        pool = self._pools.get(service)
        return 0 if pool is None else pool.admission.queued

    def count_capacity(self):
        """Return the number of slots lent to this instance, over all services."""
        return sum(pool.admission.capacity for pool in self._pools.values())

    def find_runners(self, service):
        """Return the runners that may receive requests of a service."""
        return self._index.find(self._view(), service)

    def refresh(self):
        """Apply changes of credits, runners and the fleet document."""
        for name, pool in self._pools.items():
            self._resize(name, pool)

    async def request_admission(self, call):
        """Wait for admission.

        Parameters
        ----------
        call : Call
            The request, with service, team, urgency and deadline.

        Returns
        -------
        Admission or NotAdmitted
            The admission, or the reason why there is none.
        """
        if not self.find_runners(call.service_id):
            return NotAdmitted(Refusal.NO_UPSTREAM, NO_RUNNER_RETRY_MS)
        pool = self._find_pool(call.service_id)
        ticket = Ticket(
            request=call.request_id,
            share=ShareKey(team=call.team, kind=call.service_id, urgency=call.urgency),
            deadline_ms=call.deadline_s * 1000,
        )
        first, *others = offer_ticket(pool.admission, ticket, self._now_ms())
        self._resolve_waiters(pool, others)
        if first.kind is VerdictKind.QUEUED:
            first = await self._wait(pool, ticket, call.deadline_s)
        if first.kind is VerdictKind.REFUSED:
            return NotAdmitted(first.refusal, first.retry_after_ms)
        return Admission(pool, ticket, self._clock.monotonic())

    def release_admission(self, admission):
        """Release an admission once its last slot is released; may be repeated."""
        if admission.is_released:
            return
        admission.is_released = True
        self._release_if_unused(admission)

    def acquire_slot(self, call, excluded=frozenset()):
        """Acquire a slot of the better of two runners drawn at random.

        Parameters
        ----------
        call : Call
            An admitted request.
        excluded : frozenset of RunnerId
            Runners that may not be used.

        Returns
        -------
        Slot or None
            None if no credit covers the request.
        """
        end_s = call.deadline_s + RUNNER_GRACE_S
        runners = self.find_runners(call.service_id)
        pool = call.admission.pool
        loads = self._sample(pool, runners, end_s, excluded)
        chosen = choose_runner(loads, self._random)
        if chosen is None:
            return None
        slot = self.slots.acquire(self._index.get(chosen.runner), end_s)
        if slot is not None:
            call.admission.slots += 1
        return slot

    def release_slot(self, admission, slot):
        """Release a slot whose request has ended or was not sent; may be repeated."""
        if slot.released:
            return
        self.slots.release(slot)
        admission.slots -= 1
        self._release_if_unused(admission)

    def observe(self, admission, slot, latency_s):
        """Record the latency of a runner that answered."""
        admission.answered = True
        pool = admission.pool
        now_s = self._clock.monotonic()
        name = slot.runner.instance_id
        before = pool.latencies.get(name, LatencyEstimate())
        pool.latencies[name] = observe_latency(before, latency_s * 1000, now_s)
        pool.typical = observe_latency(pool.typical, latency_s * 1000, now_s)
        window = pool.windows.setdefault(name, LatencyWindow())
        window.total_ms += latency_s * 1000
        window.count += 1

    def observe_failure(self, admission, slot):
        """Record that a runner refused a request or gave no complete answer."""
        latencies = admission.pool.latencies
        name = slot.runner.instance_id
        before = latencies.get(name, LatencyEstimate())
        latencies[name] = observe_failure(before, self._clock.monotonic())

    def take_latencies(self):
        """Return the mean latency of each runner since the last call.

        Returns
        -------
        tuple of RunnerLatency
            Runners with at least ``MIN_WINDOW_SAMPLES`` answers; the latencies
            of the others are kept for the next call.
        """
        taken = []
        for service, pool in self._pools.items():
            for runner in self.find_runners(service):
                window = pool.windows.get(runner.instance_id)
                if window is None or window.count < MIN_WINDOW_SAMPLES:
                    continue
                del pool.windows[runner.instance_id]
                mean_ms = window.total_ms / window.count
                taken.append(RunnerLatency(runner=runner, mean_ms=mean_ms))
        return tuple(taken)

    def estimate_duration_ms(self, admission):
        """Return the typical duration of a request of the service, in ms."""
        return admission.pool.typical.mean_ms

    def _release_if_unused(self, admission):
        if not admission.is_released or admission.slots:
            return
        held_s = self._clock.monotonic() - admission.admitted_s
        verdicts = release_ticket(
            admission.pool.admission,
            admission.ticket,
            held_s * 1000,
            self._now_ms(),
            admission.answered,
        )
        self._resolve_waiters(admission.pool, verdicts)

    def _sample(self, pool, runners, end_s, excluded):
        count = len(runners)
        loads = []
        if count > SAMPLED_RUNNERS:
            start = int(self._random.random() * count)
            step = 1 + int(self._random.random() * (count - 1))
            for draw in range(SAMPLED_RUNNERS):
                runner = runners[(start + draw * step) % count]
                self._add_load(loads, pool, runner, end_s, excluded)
                if sum(not load.failing for load in loads) == 2:
                    return loads
            loads = []
        for runner in runners:
            self._add_load(loads, pool, runner, end_s, excluded)
        return loads

    def _add_load(self, loads, pool, runner, end_s, excluded):
        name = runner.instance_id
        credit = self.slots.count_usable(name, end_s)
        used = self.slots.count_in_use(name)
        if used >= credit or name in excluded:
            return
        estimate = pool.latencies.get(name)
        latency_ms = pool.typical.mean_ms
        failing = False
        if estimate is not None:
            now_s = self._clock.monotonic()
            latency_ms = estimate_latency(estimate, latency_ms, now_s)
            failing = is_failing(estimate, now_s)
        loads.append(
            RunnerLoad(
                runner=name,
                credits=credit,
                in_flight=used,
                latency_ms=latency_ms,
                failing=failing,
            )
        )

    def _find_pool(self, name):
        pool = self._pools.get(name)
        if pool is None:
            pool = ServicePool(
                admission=AdmissionPool(
                    capacity=0, shares={}, classes={}, held={}, floors={}, weights={}
                ),
                waiters={},
                latencies={},
                windows={},
            )
            self._pools[name] = pool
            self._resize(name, pool)
        return pool

    def _resize(self, name, pool):
        fleet = self._fleet()
        service = fleet.services.get(name)
        if service is None:
            return
        if fleet.revision != pool.revision:
            pool.revision = fleet.revision
            weights = {team: each.weight for team, each in fleet.teams.items()}
            configure_pool(pool.admission, _list_floors(fleet.policy), weights)
        end_s = self._clock.monotonic() + service.deadline_ms / 1000 + RUNNER_GRACE_S
        capacity = sum(
            self.slots.count_usable(runner.instance_id, end_s)
            for runner in self.find_runners(name)
        )
        verdicts = resize_pool(pool.admission, capacity, self._now_ms())
        self._resolve_waiters(pool, verdicts)

    async def _wait(self, pool, ticket, deadline_s):
        future = asyncio.get_running_loop().create_future()
        pool.waiters[ticket] = future
        self._demand()
        timeout_s = max(0.0, deadline_s - self._clock.monotonic())
        try:
            done, _ = await asyncio.wait({future}, timeout=timeout_s)
        except asyncio.CancelledError:
            self._withdraw(pool, ticket, future)
            raise
        finally:
            pool.waiters.pop(ticket, None)
        if done:
            return future.result()
        self._withdraw(pool, ticket, future)
        return Verdict(
            ticket=ticket,
            kind=VerdictKind.REFUSED,
            refusal=Refusal.DEADLINE,
            retry_after_ms=pool.admission.service_ms,
        )

    def _withdraw(self, pool, ticket, future):
        """Cancel a ticket whose caller no longer waits."""
        if cancel_ticket(pool.admission, ticket) or not future.done():
            return
        if future.result().kind is VerdictKind.ADMITTED:
            verdicts = release_ticket(
                pool.admission, ticket, 0.0, self._now_ms(), answered=False
            )
            self._resolve_waiters(pool, verdicts)

    def _resolve_waiters(self, pool, verdicts):
        for verdict in verdicts:
            future = pool.waiters.get(verdict.ticket)
            if future is not None and not future.done():
                future.set_result(verdict)

    def _now_ms(self):
        return self._clock.monotonic() * 1000


def _list_floors(policy):
    return (
        ClassFloor(urgency=Urgency.URGENT, fraction=policy.urgent_floor),
        ClassFloor(urgency=Urgency.NORMAL, fraction=policy.normal_floor),
        ClassFloor(urgency=Urgency.BATCH, fraction=policy.batch_floor),
    )


def _ignore():
    """Do nothing."""
