"""A deterministic simulation of instances that own a service in turn.

`play` draws a deployment, its load and its faults from a seed, plays them in virtual
time, and returns a record of what workers and callers saw. See `Rule` for what is
checked.
"""

import asyncio
import contextvars
import random
import traceback

import logbook

from fuchsiascale.jobs import (
    FINISHED,
    JobSpec,
    Outcome,
    QueuePolicy,
    Resources,
    StepSpec,
    job_row_key,
    split_task,
)
from fuchsiascale.jobs._inherited_leases import LEASE_DRIFT_FACTOR
from fuchsiascale.jobs.tests._simulation_faults import Faults
from fuchsiascale.jobs.tests._simulation_instance import Instance
from fuchsiascale.jobs.tests._simulation_loop import ProcessLoop
from fuchsiascale.jobs.tests._simulation_network import LinkFaults, Network
from fuchsiascale.jobs.tests._simulation_operator import Operator
from fuchsiascale.jobs.tests._simulation_record import Record, Rule
from fuchsiascale.jobs.tests._simulation_relay_faults import RelayFaults
from fuchsiascale.jobs.tests._simulation_store import STORE, Store, StoreState
from fuchsiascale.jobs.tests._simulation_worker import Gangs, Worker
from fuchsiascale.testing import LoopClock, run_in_virtual_time

__all__ = ["play"]

DOMAINS = "abc"
INSTANCES_PER_DOMAIN = 2
WORKERS_PER_DOMAIN = 3
RUN_S = (0.3, 0.3, 1.5, 1.5, 4.0, 9.0, 18.0)
USUAL_LEASE_S = 6.0
"""Longest lease that a worker takes, which is the length of those that owners grant."""
LONG_LEASE_S = 10.0
"""Longest lease of workers that start again in series."""
WEAK_STRENGTHS = (0.05, 0.06, 0.07)
"""Strengths of instances that call up to 8 workers directly, and more through peers."""
QUIET_S = (3.0, 17.0)
"""Time before the first fault; an instance that has run for 9 s knows its peers."""
FAULTY_S = 40.0
STANDSTILL_S = 25.0
"""Time after the faults without a start or an end after which open jobs are lost. It is
longer by what a longer lease adds to the wait for inherited tasks."""
MAX_SETTLING_S = 90.0
"""Time after the faults in which jobs may end; final states are kept for 150 s."""
CALLER_TIMEOUT_S = 3.0
CALLER_TRIES = 3
LEAVE_AFTER_S = (0.0, 0.005, 0.02, 0.1, 0.5)
"""Times after which callers leave and cancel; a submission takes 0.02 s, and 2 s at a
slow store."""
LEAVE_PERIOD_S = 2.0
LOST_ANSWERS = 0.03
"""Share of the answers to callers that are lost."""


class Simulation:
    """A store, workers, instances and callers.

    Parameters
    ----------
    seed : int
        What all is drawn from.
    evacuates : bool
        Whether the operator evacuates domains.
    restarts : bool
        Whether workers start again in series, and take longer leases than owners grant.
    returns : bool
        Whether instances that were away return while the owner's domain is cut off,
        instead of the other faults.
    relays : bool
        Whether owners call workers through peers, some faults hit these peers, and
        workers leave and join.
    leaves : bool
        Whether callers of jobs that last leave before the answer and cancel elsewhere.
    """

    service = "pool"

    def __init__(self, seed, evacuates, restarts, returns, relays, leaves):
        self.leaves = leaves
        self.seed = seed
        self.evacuates = evacuates
        self.restarts = restarts
        self.returns = returns
        self.relays = relays
        self.longest_lease_s = LONG_LEASE_S if restarts else USUAL_LEASE_S
        self.rng = random.Random(f"simulation {seed}")
        self.clock = LoopClock()
        self.record = Record(self.clock, self.is_undisturbed)
        self.store = Store()
        self.network = Network(random.Random(f"network {seed}"))
        self.network.bind(contextvars.copy_context())
        self.network.usual = LinkFaults(
            lost=self.rng.choice((0.0, 0.0, 0.003, 0.02)),
            late=self.rng.choice((0.0, 0.0, 0.003, 0.02)),
            slow=self.rng.choice((0.0, 0.01, 0.1)),
        )
        self.gangs = Gangs()
        self.instances = {}
        self.workers = {}
        self.domains = {}
        self.accepted = set()
        self.cancelled = set()
        self.cancel_acknowledged = set()
        self._starts = 0
        self._processes = []
        self._tasks = []
        self._rejects_overload = self.rng.random() < 0.5
        self._listed_ends = self.rng.choice((500, 500, 500, 5))
        self._load_period_s = self.rng.choice((0.6, 1.0, 2.0))

    def count_starts(self):
        """Return a number that no earlier instance had."""
        self._starts += 1
        return self._starts

    def get_strength(self, address):
        """Return the strength of the instance at an address."""
        if not self.relays:
            return 1.0
        return random.Random(f"{address} {self.seed}").choice(WEAK_STRENGTHS)

    def start_instance(self, address, domain):
        """Start an instance at an address where none runs."""
        instance = Instance(self, address, domain)
        self.domains[address] = domain
        self.instances[address] = instance
        self.network.disturb([address])
        self._processes.append(instance.process)

    def kill(self, instance):
        """End the process of an instance at once."""
        instance.process.kill()
        if instance.relays:
            instance.relays.reset()
        if self.instances.get(instance.address) is instance:
            del self.instances[instance.address]

    def add_worker(self, domain):
        """Start a worker under a new id."""
        name = f"w{len(self.workers)}-{domain}"
        self.domains[name] = domain
        worker = self.workers[name] = Worker(
            self, name, domain, self._rejects_overload, self._listed_ends
        )
        self._tasks.append(asyncio.create_task(worker.run_heartbeats()))

    def spawn(self, coroutine):
        """Run a coroutine beside the others; returns its task."""
        task = asyncio.create_task(coroutine)
        self._tasks.append(task)
        return task

    def is_undisturbed(self, address):
        """Return whether an instance and the store have long been undisturbed."""
        instance = self.instances.get(address)
        return (
            instance is not None
            and not instance.is_stopping
            and not instance.process.is_paused
            and self.store.state is StoreState.USUAL
            and self.network.is_calm(address)
            and self.network.is_calm(STORE)
        )

    def list_owners(self):
        """Return the instances that take themselves for the owner."""
        return [each for each in self.instances.values() if each.owner is not None]

    def find_work(self, task):
        """Return the step of a task, and the time that it takes in seconds."""
        job, _, number, index = split_task(task)
        spec, _ = self.record.specs[job]
        step = spec.steps[number]
        if step.lasting:
            return step, 25.0 + 10.0 * index
        varied = random.Random(task if not step.gang else f"{job} {number}")
        return step, step.estimate_ms / 1000 * varied.uniform(0.7, 1.3)

    # Callers -----------------------------------------------------------------

    def _draw_spec(self):
        rng = self.rng
        if rng.random() < 0.06:
            step = StepSpec(
                count=rng.randint(1, 3), need=Resources(cpu_millis=500), lasting=True
            )
            return JobSpec(payload="lasting", steps=(step,))
        steps = []
        for number in range(rng.choice((1, 1, 2, 3))):
            is_gang = rng.random() < 0.1
            steps.append(
                StepSpec(
                    count=rng.randint(2, 4) if is_gang else rng.randint(1, 6),
                    need=Resources(cpu_millis=rng.choice((500, 1_000, 2_000))),
                    estimate_ms=int(1000 * rng.choice(RUN_S)),
                    after=(rng.randrange(number),) if number else (),
                    checkpoints=rng.random() < 0.3,
                    gang=is_gang,
                )
            )
        return JobSpec(payload="p", steps=tuple(steps))

    async def _ask(self, request):
        """Make a caller's request at some instance; None if no answer arrives."""
        running = list(self.instances.values())
        if not running:
            await asyncio.sleep(0.5)
            return None
        instance = self.rng.choice(running)
        if instance.is_stopping and self.rng.random() < 0.8:
            return None
        answer = instance.process.spawn(request(instance.request_handler))
        done, _ = await asyncio.wait({answer}, timeout=CALLER_TIMEOUT_S)
        if not done or self.rng.random() < LOST_ANSWERS:
            return None
        return answer.result()

    async def _submit(self, job):
        """Hand a job in until it is accepted or refused, and perhaps once more."""
        spec, policy = self.record.specs[job]
        outcomes = []
        for _ in range(CALLER_TRIES):
            reply = await self._ask(lambda handler: handler.submit(policy, job, spec))
            outcomes.append(reply.outcome if reply else Outcome.UNKNOWN)
            if outcomes[-1] is not Outcome.UNKNOWN:
                break
            await asyncio.sleep(self.rng.uniform(0.0, 1.0))
        if outcomes[-1] is Outcome.DONE:
            self.accepted.add(job)
            self.record.note(f"{job} accepted")
        elif all(outcome is Outcome.NOT_RUN for outcome in outcomes):
            self.record.note_refused(job)
        if outcomes[-1] is Outcome.DONE and self.rng.random() < 0.1:
            await asyncio.sleep(self.rng.uniform(0.0, 6.0))
            await self._ask(lambda handler: handler.submit(policy, job, spec))

    async def _cancel(self, job):
        await asyncio.sleep(self.rng.uniform(0.5, 12.0))
        self.cancelled.add(job)
        self.record.note(f"{job} is cancelled")
        for _ in range(CALLER_TRIES):
            reply = await self._ask(lambda handler: handler.cancel(self.service, job))
            if reply is not None and reply.outcome is not Outcome.UNKNOWN:
                return

    async def _leave(self, job):
        """Submit a job, leave, cancel it at some instance, and perhaps submit it again.

        The submission goes on at its instance, as it does where a caller has left.
        """
        spec, policy = self.record.specs[job]
        running = list(self.instances.values())
        if running:
            instance = self.rng.choice(running)
            instance.process.spawn(instance.request_handler.submit(policy, job, spec))
        await asyncio.sleep(self.rng.choice(LEAVE_AFTER_S))
        for _ in range(CALLER_TRIES):
            reply = await self._ask(lambda handler: handler.cancel(self.service, job))
            if reply is not None and reply.outcome in (Outcome.DONE, Outcome.ABSENT):
                self.cancel_acknowledged.add(job)
                self.record.note(f"{job} is cancelled: {reply.outcome.value}")
                break
        if self.rng.random() < 0.3:
            await asyncio.sleep(self.rng.uniform(0.0, 3.0))
            await self._ask(lambda handler: handler.submit(policy, job, spec))

    async def _hand_in_and_leave(self, until_s):
        number = 0
        while self.clock.monotonic() < until_s:
            number += 1
            job = f"1{number:015x}"
            step = StepSpec(count=2, need=Resources(cpu_millis=100), lasting=True)
            self.record.specs[job] = (
                JobSpec(payload="lasting", steps=(step,)),
                QueuePolicy(queue="q", service=self.service),
            )
            self.spawn(self._leave(job))
            await asyncio.sleep(self.rng.uniform(0.2, 1.8) * LEAVE_PERIOD_S)

    def _check_cancelled(self):
        """Report the runs that go on of jobs whose cancel was acknowledged."""
        for job in sorted(self.cancel_acknowledged):
            for index in range(self.record.specs[job][0].steps[0].count):
                for run in self.record.list_runs(f"{job}.0.0.{index}"):
                    if run.end_s is None:
                        self.record.report(Rule.RUNS_ON, f"{run.task} on {run.worker}")

    async def _hand_in(self, until_s):
        number = 0
        while self.clock.monotonic() < until_s:
            number += 1
            job = f"{number:016x}"
            policy = QueuePolicy(
                queue="q",
                service=self.service,
                priority=self.rng.randrange(3),
                max_attempts=self.rng.choice((2, 3)),
            )
            self.record.specs[job] = (self._draw_spec(), policy)
            self._tasks.append(asyncio.create_task(self._submit(job)))
            if self.rng.random() < 0.08:
                self._tasks.append(asyncio.create_task(self._cancel(job)))
            await asyncio.sleep(self.rng.uniform(0.2, 1.8) * self._load_period_s)

    async def _ask_states(self):
        while True:
            await asyncio.sleep(self.rng.uniform(0.05, 0.5))
            jobs = sorted(self.accepted - self.record.shown_completed.keys())
            if not jobs:
                continue
            job = self.rng.choice(jobs[-30:])
            self._tasks.append(asyncio.create_task(self._ask_state(job)))

    async def _ask_state(self, job):
        reply = await self._ask(lambda handler: handler.state(self.service, job))
        if reply is None:
            return
        if reply.outcome is Outcome.ABSENT:
            self.record.report(Rule.LOST, f"{job} is not known")
        self.record.note_state(job, reply.state)

    # Course ------------------------------------------------------------------

    async def run(self):
        """Play the whole simulation."""
        for domain in DOMAINS:
            for _ in range(WORKERS_PER_DOMAIN):
                self.add_worker(domain)
            for number in range(INSTANCES_PER_DOMAIN):
                self.start_instance(f"{domain}{number}", domain)
        until_s = self.rng.uniform(*QUIET_S) + FAULTY_S
        self._tasks.append(asyncio.create_task(self._hand_in(until_s)))
        self._tasks.append(asyncio.create_task(self._ask_states()))
        if self.leaves:
            self.spawn(self._hand_in_and_leave(until_s))
        await asyncio.sleep(until_s - FAULTY_S)
        if self.evacuates:
            operator = Operator(self, DOMAINS)
            self._tasks.append(asyncio.create_task(operator.run(until_s)))
        faults = Faults(self)
        if self.restarts:
            self.spawn(faults.restart_workers(until_s))
        relay_faults = None
        if self.relays:
            relay_faults = self.spawn(RelayFaults(self).run(until_s))
        if self.returns:
            await faults.return_in_cut_domain(until_s)
        else:
            await faults.run(until_s)
        if relay_faults is not None:
            await relay_faults
        self.record.note("--- no further faults")
        self.network.faults.clear()
        self.network.usual = LinkFaults()
        await self._settle()
        self._check_cancelled()

    async def _settle(self):
        """Wait until all jobs have ended, or nothing starts or ends any more."""
        end_s = self.clock.monotonic() + MAX_SETTLING_S
        longer_s = LEASE_DRIFT_FACTOR * (self.longest_lease_s - USUAL_LEASE_S)
        standstill_s = STANDSTILL_S + longer_s
        healed_s = self.clock.monotonic()
        await asyncio.sleep(CALLER_TRIES * CALLER_TIMEOUT_S)
        while open_jobs := self._list_open_jobs():
            now_s = self.clock.monotonic()
            still_s = now_s - max(self.record.changed_s, healed_s)
            if still_s > standstill_s:
                for job in open_jobs:
                    self.record.report(Rule.LOST, f"{job} has not ended")
            if still_s > standstill_s or now_s > end_s:
                return
            await asyncio.sleep(1.0)

    def _list_open_jobs(self):
        return [job for job in sorted(self.accepted) if not self._has_ended(job)]

    def _has_ended(self, job):
        spec, _ = self.record.specs[job]
        if any(step.lasting for step in spec.steps) and job not in self.cancelled:
            tasks = [f"{job}.0.0.{index}" for index in range(spec.steps[0].count)]
            runs = [run for task in tasks for run in self.record.list_runs(task)]
            return sum(run.end_s is None for run in runs) == len(tasks)
        return job_row_key(FINISHED, self.service, job) in self.store.rows

    async def close(self):
        """Let all processes run, so that their tasks can be cancelled."""
        for process in self._processes:
            process.revive()


class _LogHandler(logbook.Handler):
    """Keeps log lines in a record."""

    def __init__(self, record, level):
        super().__init__(level)
        self._record = record

    def emit(self, line):
        fields = {**line.extra}
        text = f"{line.channel}: {line.message} {fields}"
        self._record.note(text)
        if line.level >= logbook.ERROR:
            error = (
                "".join(traceback.format_exception(*line.exc_info))
                if (line.exc_info)
                else ""
            )
            self._record.report(Rule.ERROR, text + error)


def play(
    seed,
    log_level=logbook.ERROR,
    evacuates=False,
    restarts=False,
    returns=False,
    relays=False,
    leaves=False,
):
    """Play the simulation of a seed.

    Parameters
    ----------
    seed : int
        What all is drawn from.
    log_level : int, optional
        Level from which the product's log lines are kept in the record.
    evacuates : bool, optional
        Whether the operator evacuates domains, which leaves load and faults the same.
    restarts : bool, optional
        Whether workers start again in series, and take longer leases than owners grant.
    returns : bool, optional
        Whether instances that were away return while the owner's domain is cut off,
        instead of the other faults.
    relays : bool, optional
        Whether owners call workers through peers, some faults hit these peers, and
        workers leave and join.
    leaves : bool, optional
        Whether callers of jobs that last leave before the answer and cancel elsewhere.

    Returns
    -------
    Record
        What happened.
    """
    # The product draws delays and peers from the shared source.
    random.seed(seed)
    simulations = []

    async def run():
        simulation = Simulation(seed, evacuates, restarts, returns, relays, leaves)
        simulations.append(simulation)
        handler = _LogHandler(simulation.record, log_level)
        with logbook.NullHandler().applicationbound(), handler.applicationbound():
            await simulation.run()
        with logbook.NullHandler().applicationbound():
            await simulation.close()
            tasks = asyncio.all_tasks() - {asyncio.current_task()}
            for task in tasks:
                task.cancel()
            await asyncio.gather(*tasks, return_exceptions=True)

    run_in_virtual_time(run(), ProcessLoop)
    return simulations[0].record
