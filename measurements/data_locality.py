"""Measures what waiting for a place near the data gains, in simulated rounds.

Load: urgent and batch jobs, most of the urgent ones for the same rack for some
seconds, beside long-running tasks. Plays the rounds of an owner in virtual time;
workers run each task for a drawn time, times the remote factor away from its data.
"""

import heapq
import itertools
import math
from random import Random
from typing import NamedTuple

from fuchsiascale.jobs import (
    EndedAttempt,
    EndKind,
    Inventory,
    JobRecord,
    JobSpec,
    ListedWorker,
    QueuePolicy,
    Resources,
    RunningAttempt,
    Shard,
    StartCommand,
    StepSpec,
    StopCommand,
    plan_round,
)
from measurements._report import (
    Report,
    make_figure,
    make_ratio_figure,
    register_measurement,
)

SEEDS = (1, 2, 3)
WORKERS = 246
CORES = 16
END_S = 20.0
DRAIN_S = 6.0
ROUND_S = 0.03
STOP_S = 0.3
REPORT_EVERY = 5
HOT_S = (5.0, 10.5)
HOT_SHARE = 0.6
LATE_WORTH = 0.15
LATE_FACTOR = 3.0
LONG_SHARE = 0.03
LONG_FACTOR = 7
SPREAD = 0.3
BATCH_LOCAL_SHARE = 0.3
LASTING_SHARE = 0.3
LASTING_CORES = 3


class Kind(NamedTuple):
    """A kind of job: its rate, tasks and objective."""

    queue: str
    rate: float
    run_s: float
    cores: float
    tasks: int
    priority: int
    stretch: float
    target_s: float


class Site(NamedTuple):
    """A deployment: its racks, remote factor and kinds of job."""

    name: str
    rack_size: int
    factor: float
    kinds: tuple[Kind, ...]


SITES = (
    Site(
        "racks of 8, factor 3",
        8,
        3.0,
        (
            Kind("urgent", 7.39, 0.54, 2.8, 10, 0, 1.5, 0.4),
            Kind("batch", 11.2, 1.4, 1.8, 20, 2, 2.0, 1.0),
        ),
    ),
    Site(
        "racks of 12, factor 1.5",
        12,
        1.5,
        (
            Kind("urgent", 5.56, 1.0, 2.7, 10, 0, 1.5, 0.3),
            Kind("batch", 8.01, 2.7, 1.8, 20, 2, 2.0, 1.0),
        ),
    ),
)


class Arrival(NamedTuple):
    """A job with the run time of each of its tasks, by step."""

    at_s: float
    kind: Kind
    rack: str
    estimate_s: float
    run_times_s: tuple[tuple[float, ...], ...]

    def compute_objective_s(self):
        """Return the objective by the true critical path."""
        path_s = sum(max(step) for step in self.run_times_s)
        return self.kind.stretch * path_s + self.kind.target_s


def draw_arrivals(site, seed):
    """Return the jobs of a play in the order of their arrival."""
    random = Random(seed)
    racks = list_racks(site)
    arrivals = []
    for kind in site.kinds:
        at_s = 1.0
        while at_s < END_S:
            at_s += random.expovariate(kind.rate)
            arrivals.append(draw_arrival(random, kind, racks, at_s))
    return sorted(arrivals, key=lambda arrival: arrival.at_s)


def draw_arrival(random, kind, racks, at_s):
    """Return one job."""
    rack = random.choice(racks)
    is_urgent = kind.priority == 0
    if is_urgent and HOT_S[0] <= at_s < HOT_S[1] and random.random() < HOT_SHARE:
        rack = racks[0]
    if not is_urgent and random.random() > BATCH_LOCAL_SHARE:
        rack = ""
    steps = 2 if not is_urgent or random.random() < 0.6 else 1
    run_times_s = tuple(
        tuple(draw_run_time(random, kind.run_s) for _ in range(kind.tasks))
        for _ in range(steps)
    )
    estimate_s = kind.run_s * math.exp(random.gauss(0, SPREAD))
    return Arrival(at_s, kind, rack, estimate_s, run_times_s)


def draw_run_time(random, mean_s):
    """Return the run time of a task near its data."""
    factor = LONG_FACTOR if random.random() < LONG_SHARE else 1
    return mean_s * math.exp(random.gauss(0, SPREAD)) * factor


def list_racks(site):
    """Return the names of the racks."""
    return [f"r{number}" for number in range(math.ceil(WORKERS / site.rack_size))]


class Play:
    """One play of a site's load.

    Parameters
    ----------
    site : Site
        The deployment.
    known_factor : float
        Remote factor that the owner knows; 1 for an owner that never waits.
    seed : int
        Seed of the load.
    """

    def __init__(self, site, known_factor, seed):
        self.site = site
        self.core_s = 0.0
        self.finished_s = {}
        self.arrivals = {}
        self.shard = Shard("pool", 1, 6.0, remote_factor=known_factor)
        self.shard.loaded = True
        self._left = draw_arrivals(site, seed)[::-1]
        self._ends = []
        self._counter = itertools.count(1)
        self._run_s = {}
        for number in range(WORKERS):
            self._add_worker(number)
        self._submit_long_running()

    def _add_worker(self, number):
        listed = ListedWorker(
            worker=f"w{number}",
            service="pool",
            address="10.0.0.1:80",
            domain="a",
            capacity=Resources(cpu_millis=CORES * 1_000, memory_mb=62_000),
            labels=(f"r{number // self.site.rack_size}",),
        )
        worker = self.shard.update_worker(listed, 0.0)
        worker.in_leased_workers = True
        inventory = Inventory(clock_ms=1, incarnation=1)
        self.shard.observe(worker, inventory, 0.0, 0.0)

    def _submit_long_running(self):
        tasks = int(WORKERS * CORES * LASTING_SHARE / LASTING_CORES)
        need = Resources(cpu_millis=LASTING_CORES * 1_000, memory_mb=1_000)
        step = StepSpec(count=tasks, need=need, lasting=True)
        self._add_job(QueuePolicy(queue="lasting", service="pool"), (step,), 0.0)

    def _add_job(self, policy, steps, now_s):
        record = JobRecord(
            job=f"{next(self._counter):016x}",
            spec=JobSpec(payload="", steps=steps),
            policy=policy,
            accepted_ms=0,
        )
        return self.shard.add_job(record, 1, now_s, 0)

    def run(self):
        """Play the whole load; return itself."""
        rounds = int((END_S + DRAIN_S) / ROUND_S)
        for number in range(1, rounds + 1):
            now_s = number * ROUND_S
            while self._left and self._left[-1].at_s <= now_s:
                self._submit(self._left.pop())
            self._report_ends(now_s)
            if number % REPORT_EVERY == 0:
                self._report_progress(now_s)
            plan_round(self.shard, now_s)
            for command in self.shard.drain_commands():
                self._carry_out(command, now_s)
            for job in self.shard.jobs.values():
                if job.state.final:
                    self.finished_s.setdefault(job.job, now_s)
        return self

    def _carry_out(self, command, now_s):
        if isinstance(command, StartCommand):
            self._start(command.attempt, now_s)
        elif isinstance(command, StopCommand):
            attempt = command.worker.attempts.get(command.task)
            if attempt is not None:
                self._end_later(attempt, now_s + STOP_S, EndKind.STOPPED)

    def _end_later(self, attempt, end_s, end_kind):
        heapq.heappush(self._ends, (end_s, next(self._counter), attempt, end_kind))

    def _submit(self, arrival):
        kind = arrival.kind
        policy = QueuePolicy(
            queue=kind.queue,
            service="pool",
            priority=kind.priority,
            stretch=kind.stretch,
            target_ms=int(kind.target_s * 1000),
        )
        need = Resources(cpu_millis=int(kind.cores * 1000), memory_mb=500)
        steps = tuple(
            StepSpec(
                count=kind.tasks,
                need=need,
                estimate_ms=int(arrival.estimate_s * 1000),
                after=(number - 1,) if number else (),
                data_rack=arrival.rack,
            )
            for number in range(len(arrival.run_times_s))
        )
        job = self._add_job(policy, steps, arrival.at_s)
        self.arrivals[job.job] = arrival

    def _start(self, attempt, now_s):
        self.shard.note_started(attempt, now_s)
        step = attempt.task.step
        if step.spec.lasting:
            return
        arrival = self.arrivals[step.job.job]
        run_s = arrival.run_times_s[step.number][attempt.task.index]
        if arrival.rack and arrival.rack not in attempt.worker.listed.labels:
            run_s *= self.site.factor
        self._run_s[attempt] = run_s
        self.core_s += run_s * step.spec.need.cpu_millis / 1000
        self._end_later(attempt, now_s + run_s, EndKind.DONE)

    def _report_ends(self, now_s):
        ended = {}
        while self._ends and self._ends[0][0] <= now_s:
            _, _, attempt, end_kind = heapq.heappop(self._ends)
            if attempt.worker.attempts.get(attempt.task.name) is attempt:
                ended.setdefault(attempt.worker, {}).setdefault(attempt, end_kind)
        for worker, kinds in ended.items():
            self._report(worker, kinds, now_s)

    def _report_progress(self, now_s):
        for worker in self.shard.workers.values():
            self._report(worker, {}, now_s)

    def _report(self, worker, ended, now_s):
        """Send the inventory of a worker on which some attempts have ended."""
        running = tuple(
            RunningAttempt(
                attempt.task.name, attempt.number, "", self._measure(attempt, now_s)
            )
            for attempt in worker.attempts.values()
            if attempt not in ended
        )
        ends = tuple(
            EndedAttempt(next(self._counter), each.task.name, each.number, end_kind)
            for each, end_kind in ended.items()
        )
        inventory = Inventory(
            clock_ms=int(now_s * 1000) + 1, incarnation=1, running=running, ended=ends
        )
        self.shard.observe(worker, inventory, now_s, now_s)

    def _measure(self, attempt, now_s):
        """Return the progress of an attempt in percent."""
        run_s = self._run_s.get(attempt)
        if run_s is None:
            return 0
        return min(99, int(100 * (now_s - attempt.phase_since_s) / run_s))

    def measure_worth(self, queue):
        """Return the mean worth of the jobs of a queue, of 1 for those in time."""
        worths = [
            self._judge(job, arrival)
            for job, arrival in self.arrivals.items()
            if arrival.kind.queue == queue
        ]
        return sum(worths) / len(worths)

    def _judge(self, job, arrival):
        took_s = self.finished_s.get(job, math.inf) - arrival.at_s
        objective_s = arrival.compute_objective_s()
        if took_s <= objective_s:
            return 1.0
        return LATE_WORTH if took_s <= LATE_FACTOR * objective_s else 0.0


def list_figures(site):
    """Return the figures of a site, as means over the seeds."""
    never = [Play(site, 1.0, seed).run() for seed in SEEDS]
    waiting = [Play(site, site.factor, seed).run() for seed in SEEDS]

    def average(plays, measure):
        return sum(measure(play) for play in plays) / len(plays)

    figures = []
    for queue in ("urgent", "batch"):
        worth = [
            average(plays, lambda play, queue=queue: play.measure_worth(queue))
            for plays in (never, waiting)
        ]
        figures.append(
            make_ratio_figure(f"{site.name}: worth, {queue}", *worth, at_least=0.98)
        )
    used = [average(plays, lambda play: play.core_s) for plays in (never, waiting)]
    figures.append(make_ratio_figure(f"{site.name}: core-seconds", *used, at_most=1.0))
    for event in ("started near", "started far", "waited"):
        count = average(waiting, lambda play, event=event: play.shard.events[event])
        figures.append(make_figure(f"{site.name}: tasks {event}", count))
    return figures


@register_measurement("data_locality", "Waiting for a place near the data")
def run():
    """Play both sites with and without waits."""
    return Report(
        baseline="tasks never wait: they start far as soon as the rack is full",
        setting=(
            f"simulated rounds every {ROUND_S} s, {WORKERS} workers of {CORES} cores, "
            f"{LASTING_SHARE:.0%} held by long-running tasks, urgent jobs with data on "
            f"a random rack, {HOT_SHARE:.0%} of them on one from {HOT_S[0]} s to "
            f"{HOT_S[1]} s, {BATCH_LOCAL_SHARE:.0%} of the batch jobs with data, "
            f"{LONG_SHARE:.0%} of the tasks {LONG_FACTOR} times as long, "
            f"{END_S:.0f} s, means of seeds {', '.join(map(str, SEEDS))}"
        ),
        figures=tuple(each for site in SITES for each in list_figures(site)),
        notes=(
            "The store, calls to workers and failures are left out; the share of batch "
            "jobs with data is assumed.",
        ),
    )
