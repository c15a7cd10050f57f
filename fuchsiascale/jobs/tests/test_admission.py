"""Which jobs are refused because they would end too late to be worth anything.

The failures that it guards against: work that goes first fills the workers, and jobs
that can only end after three times their objective are accepted all the same; or a job
is refused that would have been worth something.
"""

import heapq
import itertools
import random
from types import SimpleNamespace

import msgspec

from fuchsiascale.clock import ManualClock
from fuchsiascale.jobs import (
    Inventory,
    JobRecord,
    JobSpec,
    JobState,
    ListedWorker,
    LoadEstimates,
    OwnerLimits,
    OwnerRow,
    OwnershipManager,
    Ping,
    Pong,
    QueueEstimate,
    QueuePolicy,
    Resources,
    ServiceLoad,
    Shard,
    StepSpec,
    decide_admission,
    estimate_queues,
    pick_return,
    plan_round,
)
from fuchsiascale.jobs._admission import MAX_QUEUES
from fuchsiascale.jobs._conclusions import confirm_owner
from fuchsiascale.jobs._job_order import compute_objective_s
from fuchsiascale.testing import collect_functions

load_tests = collect_functions(__name__)

ROUND_S, PING_S = 0.1, 0.3
WORKERS, CORES = 8, 16
BURST_FROM_S, BURST_S, BURST_FACTOR = 20.0, 5.0, 2.6
END_S = 80.0
WORTHLESS_FACTOR = 3.0


class Kind:
    """Jobs of one queue that are alike but for chance."""

    def __init__(self, queue, priority, steps, run_s, cores, stretch, target_s):
        self.policy = QueuePolicy(
            queue=queue,
            service="pool",
            priority=priority,
            stretch=stretch,
            target_ms=int(1000 * target_s),
        )
        self.run_s = run_s
        self.spec = JobSpec(
            payload="",
            steps=tuple(
                StepSpec(
                    count=count,
                    need=Resources(cpu_millis=int(1000 * cores)),
                    estimate_ms=int(1000 * run_s),
                    after=(number - 1,) if number else (),
                )
                for number, count in enumerate(steps)
            ),
        )
        self.work = sum(steps) * run_s * cores


URGENT = Kind("urgent", 0, (10, 6), 0.54, 2.8, 1.5, 0.4)
STUDY = Kind("study", 1, (20, 20), 1.4, 1.8, 2.0, 1.0)


class Replay:
    """A shard with a fixed capacity, and callers that hand jobs in.

    ``refuses`` tells whether a decision counts; otherwise it is only noted.
    """

    def __init__(self, refuses, repeats=4, seed=1):
        self.refuses = refuses
        self.repeats = repeats
        self.rng = random.Random(seed)
        self.clock = ManualClock()
        self.loads = LoadEstimates(self.clock)
        self.shard = make_shard(WORKERS, CORES * 1_000)
        self._events = []
        self._numbers = itertools.count()
        self.handed_in = {}
        self.ended = {}
        self.refusals = []
        self.objectives = {}
        self.would_refuse = set()

    def at(self, time_s, action):
        heapq.heappush(self._events, (time_s, next(self._numbers), action))

    def load(self, kind, share, bursts=True):
        """Hand in jobs that use a share of the processors, and more in the burst."""
        rate = share * WORKERS * CORES / kind.work
        time_s = 0.0
        while time_s < END_S:
            in_burst = BURST_FROM_S <= time_s < BURST_FROM_S + BURST_S
            factor = BURST_FACTOR if bursts and in_burst else 1.0
            time_s += self.rng.expovariate(rate * factor)
            job = f"{next(self._numbers):016x}"
            self.at(time_s, lambda job=job: self.submit(kind, job, self.repeats))

    def submit(self, kind, job, repeats):
        now_s = self.clock.monotonic()
        self.handed_in.setdefault(job, (now_s, kind))
        found = self.loads.find("pool", kind.policy.queue)
        refusal = decide_admission(found, kind.policy, kind.spec)
        if refusal is not None:
            self.refusals.append((now_s, kind.policy.queue))
            self.would_refuse.add(job)
            if self.refuses:
                if repeats:
                    wait_s = pick_return(refusal.window, self.rng)
                    self.at(now_s + wait_s, lambda: self.submit(kind, job, repeats - 1))
                return
        record = JobRecord(
            job=job,
            spec=kind.spec,
            policy=kind.policy,
            accepted_ms=int(now_s * 1000),
        )
        run = self.shard.add_job(record, 1, now_s, int(now_s * 1000))
        self.objectives[job] = compute_objective_s(run, self.shard.run_times)

    def run(self):
        self.at(0.0, self._plan)
        self.at(0.0, self._ping)
        while self._events and self._events[0][0] < END_S + 60.0:
            time_s, _, action = heapq.heappop(self._events)
            self.clock.advance(max(0.0, time_s - self.clock.monotonic()))
            action()
        return self

    def _plan(self):
        now_s = self.clock.monotonic()
        plan_round(self.shard, now_s)
        for command in self.shard.drain_commands():
            attempt = command.attempt
            self.shard.note_started(attempt, now_s)
            attempt.progressed_at_s = now_s + 1_000.0
            kind = self.handed_in[attempt.task.step.job.job][1]
            run_s = kind.run_s * self.rng.lognormvariate(0.0, 0.3)
            self.at(now_s + run_s, lambda a=attempt, s=run_s: self._end(a, s))
        self.at(now_s + ROUND_S, self._plan)

    def _end(self, attempt, run_s):
        task = attempt.task
        job = task.step.job
        attempt.worker.release(attempt)
        task.attempt = None
        task.mark_done()
        self.shard.run_times.observe(job.policy.queue, run_s, task.step.run_times)
        if job.is_complete():
            now_s = self.clock.monotonic()
            self.shard.finish_job(job, JobState.COMPLETED, now_s)
            self.shard.note_finished(job.job, JobState.COMPLETED, now_s)
            self.ended[job.job] = now_s

    def _ping(self):
        now_s = self.clock.monotonic()
        self.loads.note("pool", 1, estimate_queues(self.shard, now_s), now_s)
        self.at(now_s + PING_S, self._ping)

    def is_worthless(self, job):
        """Return whether an accepted job ended too late to be worth anything."""
        accepted_s = self.handed_in[job][0]
        limit_s = accepted_s + WORTHLESS_FACTOR * self.objectives[job]
        return self.ended.get(job, END_S + 60.0) > limit_s

    def count_worthless(self):
        return sum(self.is_worthless(job) for job in self.objectives)


def make_shard(workers, cpu_millis):
    shard = Shard("pool", 1, 6.0)
    shard.loaded = True
    for number in range(workers):
        listed = ListedWorker(
            worker=f"w{number}",
            service="pool",
            address=f"10.0.0.{number}:80",
            domain="a",
            capacity=Resources(cpu_millis=cpu_millis, memory_mb=64_000),
            labels=(),
        )
        worker = shard.update_worker(listed, 0.0)
        worker.in_leased_workers = True
        shard.observe(worker, Inventory(clock_ms=1_000, incarnation=1), 0.0, 0.1)
    confirm_owner(shard, float("inf"))
    return shard


LOW = Kind("low", 1, (10, 6), 0.54, 2.8, 1.5, 0.4)
FLOOD = Kind("flood", 0, (40,), 4.0, 2.0, 2.0, 6.0)


def replay(*loads, refuses=True, seed=1):
    """Replay loads: kind, share of the processors, and whether it has a burst."""
    played = Replay(refuses, seed=seed)
    for kind, share, bursts in loads:
        played.load(kind, share, bursts)
    return played.run()


FLOODED = ((FLOOD, 0.9, True), (LOW, 0.2, False))


def test_nothing_is_refused_in_bursts_of_jobs_that_are_alike():
    # Late jobs go behind new ones, so that each may be in time when it arrives.
    for loads in (
        ((URGENT, 0.8, True),),
        ((STUDY, 0.9, True),),
        ((URGENT, 0.4, True), (STUDY, 0.6, True)),
    ):
        played = replay(*loads)
        assert len(played.objectives) > 90
        assert played.refusals == []


def test_jobs_that_a_burst_of_more_urgent_work_makes_worthless_are_refused():
    noted = replay(*FLOODED, refuses=False)
    played = replay(*FLOODED)
    assert len(noted.would_refuse) >= 15
    assert {queue for _, queue in played.refusals} == {"low"}
    assert min(at_s for at_s, _ in played.refusals) > BURST_FROM_S
    assert played.count_worthless() <= noted.count_worthless() - 10


def test_no_job_is_refused_that_would_have_been_worth_something():
    for seed in (1, 2, 6):
        noted = replay(*FLOODED, refuses=False, seed=seed)
        assert noted.would_refuse, seed
        assert all(noted.is_worthless(job) for job in noted.would_refuse), seed


def test_refused_callers_return_soon_and_not_all_at_once():
    refusals = [
        decide_admission((QueueEstimate(start_s, 1.0, 1.0), 0.1), LOW.policy, LOW.spec)
        for start_s in (7.5, 20.0)
    ]
    for refusal in refusals:
        window = refusal.window
        assert 1 <= window.first_s < window.last_s <= 4


def decide(start_s=100.0, age_s=0.1, spec=LOW.spec):
    return decide_admission((QueueEstimate(start_s, 1.0, 1.0), age_s), LOW.policy, spec)


def test_nothing_is_refused_on_an_old_estimate_or_without_one():
    assert decide(age_s=2.0) is not None
    assert decide(age_s=2.1) is None
    assert decide_admission(None, LOW.policy, LOW.spec) is None


def test_long_running_and_scheduled_jobs_are_not_refused():
    step = LOW.spec.steps[0]
    lasting = JobSpec(payload="", steps=(msgspec.structs.replace(step, lasting=True),))
    scheduled = msgspec.structs.replace(LOW.spec, occurrences=2, interval_ms=9_000)
    assert decide() is not None
    assert decide(spec=lasting) is None
    assert decide(spec=scheduled) is None


def test_the_limit_is_three_times_the_objective_of_the_job_itself():
    # The path of the steps is 1.6 s by declared run times, the objective 2.8 s.
    for start_s, is_refused in ((6.5, False), (7.5, True)):
        assert (decide(start_s) is not None) == is_refused, start_s


def fill_shard(waited_s=30.0, workers=WORKERS):
    """Return a shard full of urgent work, with more of it and a later job waiting."""
    shard = make_shard(workers, CORES * 1_000)
    for number in range(40):
        add_job(shard, FLOOD, f"{number:016x}", 0.0)
    add_job(shard, LOW, "f" * 16, 0.0)
    plan_round(shard, 0.2)
    # As if all had just arrived, but for the job that has waited.
    shard.jobs["f" * 16].accepted_s = 0.2 - waited_s
    for job in shard.jobs.values():
        job.estimate = job.estimate or (1.0, 2.8, 1.6)
    return shard


def add_job(shard, kind, job, now_s):
    record = JobRecord(job=job, spec=kind.spec, policy=kind.policy, accepted_ms=0)
    return shard.add_job(record, 1, now_s, int(now_s * 1000))


def test_a_queue_has_an_estimate_only_once_a_job_has_waited():
    assert "low" in estimate_queues(fill_shard(waited_s=1.1), 0.2)
    assert estimate_queues(fill_shard(waited_s=0.5), 0.2) == {}


def test_a_queue_has_no_estimate_while_capacity_is_free():
    # The jobs wait for something else, such as a label that no worker has.
    assert estimate_queues(fill_shard(workers=400), 0.2) == {}


def test_an_owner_that_waits_for_workers_after_a_takeover_has_no_estimate():
    shard = fill_shard()
    shard.unconfirmed_workers["w0"] = 5.0
    assert estimate_queues(shard, 0.2) == {}


def test_work_that_no_worker_can_run_does_not_count():
    shard = fill_shard()
    for job in shard.jobs.values():
        if job.policy.queue == "flood":
            for step in job.occurrences[0]:
                step.spec = msgspec.structs.replace(step.spec, required_label="none")
    assert estimate_queues(shard, 0.2) == {}


def test_estimates_of_many_queues_stay_small():
    shard = fill_shard()
    for number in range(2_800):
        kind = Kind(f"queue-{number:06}", 1, (10, 6), 0.54, 2.8, 1.5, 0.4)
        job = add_job(shard, kind, f"e{number:015x}", 0.0)
        job.accepted_s, job.estimate = -1.5, (1.0, 2.8, 1.6)
    queues = estimate_queues(shard, 0.2)
    assert len(queues) == MAX_QUEUES
    assert len(msgspec.json.encode(ServiceLoad("pool", 0.1, queues))) <= 1_500


def test_a_later_owner_replaces_the_estimates_of_an_earlier_one():
    clock = ManualClock(10.0)
    loads = LoadEstimates(clock)
    estimate = QueueEstimate(9.0, 1.0, 1.0)
    loads.note("pool", 2, {"low": estimate}, 9.5)
    assert loads.find("pool", "low") == (estimate, 0.5)
    loads.note("pool", 1, {}, 9.9)
    assert loads.find("pool", "low") == (estimate, 0.5)
    loads.note("pool", 3, {}, 9.9)
    assert loads.find("pool", "low") is None


def make_manager(clock, answer=None):
    async def ask(address, message, timeout_s):
        return answer(message)

    return OwnershipManager(
        Ping(instance="a", incarnation="a1", address="a:1"),
        None,
        None,
        SimpleNamespace(ask=ask),
        None,
        OwnerLimits(),
        clock,
    )


async def test_estimates_reach_other_instances_with_the_answers_to_pings():
    clock = ManualClock(10.0)
    owning = make_manager(clock)
    row = OwnerRow(token=4, instance="a", incarnation="a1", address="a:1")
    owner = SimpleNamespace(row=row, shard=fill_shard(), is_takeover_complete=False)
    owning.owners["pool"] = owner
    entry = make_manager(clock, owning.answer_ping)
    for is_loaded in (False, True):
        owner.is_takeover_complete = is_loaded
        clock.advance(0.2 - clock.monotonic())
        owning._measure_load("pool")
        clock.advance(0.25)
        await entry._ping("a:1", 1.0)
        found = entry.loads.find("pool", "low")
        assert (found is not None) == is_loaded
    assert 0.2 <= found[1] <= 0.3
    del owning.owners["pool"]
    assert owning.answer_ping(entry.identity).loads == ()


def test_an_answer_of_an_earlier_version_has_no_estimates():
    old = b'{"type":"pong","instance":"a","incarnation":"1","owned":{"pool":3}}'
    assert msgspec.json.decode(old, type=Pong).loads == ()
