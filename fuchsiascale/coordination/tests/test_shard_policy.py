"""Tests of the decisions of a shard's owner."""

from random import Random

import msgspec

from fuchsiascale.clock import ManualClock
from fuchsiascale.coordination import (
    KindSettings,
    ServiceLatency,
    ShardPolicy,
    TeamSettings,
)
from fuchsiascale.decisions import PlacementRequest, PolicyWeights, WorkerFree
from fuchsiascale.platform import (
    NO_TOKEN,
    AttemptReport,
    Resources,
    WorkerInventory,
)
from fuchsiascale.states import AttemptState, Urgency
from fuchsiascale.testing import collect_functions, fixture

load_tests = collect_functions(__name__)

CORE = Resources(millicores=1_000, memory_mb=1_000)
WORKER = Resources(millicores=8_000, memory_mb=64_000)


@fixture
def clock():
    yield ManualClock()


@fixture
def policy(clock):
    yield ShardPolicy(clock, Random(5))


def make_workers(count, services=("hub",)):
    return [
        WorkerFree(worker=f"w{number}", free=WORKER, capacity=WORKER, services=services)
        for number in range(count)
    ]


def make_requests(count, job="job", team="a", **more):
    return [
        PlacementRequest(
            task=f"{job}.0.{index}",
            kind="tuning",
            demand=CORE,
            job=job,
            team=team,
            **more,
        )
        for index in range(count)
    ]


def make_inventory(worker, tasks, used=CORE, kind="tuning"):
    reports = tuple(
        AttemptReport(
            task=task,
            attempt=1,
            kind=kind,
            state=AttemptState.RUNNING,
            demand=CORE,
            used=used,
        )
        for task in tasks
    )
    return WorkerInventory(
        worker=worker, token=NO_TOKEN, capacity=WORKER, attempts=reports
    )


def record_successes(policy, workers):
    for entry in workers:
        policy.record_start(entry.worker, "old.0.0")
        policy.record_end(entry.worker, "old.0.0", AttemptState.FINISHED)


def list_placed(placements):
    return [entry.task for entry in placements if entry.worker is not None]


def test_urgent_tasks_go_first_and_teams_in_turn(policy):
    workers = make_workers(1)
    record_successes(policy, workers)
    requests = make_requests(20, "bulk", "a") + make_requests(20, "other", "b")
    requests += make_requests(2, "now", "c", urgency=Urgency.URGENT)
    placed = list_placed(policy.place(workers, requests))
    jobs = [task.split(".")[0] for task in placed]
    assert sorted(jobs) == ["bulk"] * 3 + ["now"] * 2 + ["other"] * 3


def test_a_quota_bounds_what_a_team_commits(policy):
    quota = Resources(millicores=9_000, memory_mb=99_000)
    teams = {"a": TeamSettings(team="a", quota=quota)}
    policy.configure({}, teams, PolicyWeights(), quota_share=1 / 3)
    workers = make_workers(2)
    record_successes(policy, workers)
    placements = policy.place(workers, make_requests(8))
    assert len(list_placed(placements)) == 3
    assert "quota" in placements[0 if placements[0].reason else -1].reason


def test_measured_use_replaces_the_declared_size(policy):
    used = Resources(millicores=100, memory_mb=100)
    for _ in range(10):
        inventory = make_inventory("w0", ["job.0.0"], used)
        policy.observe_inventory("w0", ("hub",), inventory)
    (placement,) = policy.place(make_workers(1), make_requests(1))
    assert placement.demand.millicores < 200
    assert placement.demand.memory_mb == 120


def test_a_failing_worker_gets_no_more_and_the_others_do(policy):
    workers = make_workers(3)
    sound = workers[:2]
    for _ in range(20):
        record_successes(policy, sound)
    for number in range(5):
        policy.record_start("w2", f"old.0.{number}")
        policy.record_end("w2", f"old.0.{number}", AttemptState.FAILED)
    placements = policy.place(workers, make_requests(24))
    assert {entry.worker for entry in placements} == {"w0", "w1", None}


def observe(policy, latencies):
    responses = {}
    for worker, latency_ms in latencies.items():
        measured = ServiceLatency(worker=worker, service="hub", latency_ms=latency_ms)
        responses[worker] = policy.observe_latency(measured)
    return responses


def test_a_slow_service_is_relieved_step_by_step(policy, clock):
    workers = make_workers(4)
    record_successes(policy, workers)
    tasks = [f"job.0.{index}" for index in range(4)]
    policy.observe_inventory("w0", ("hub",), make_inventory("w0", tasks))
    calm = {"w1": 10.0, "w2": 10.0, "w3": 10.0}
    throttled = evicted = 0
    for _ in range(8):
        responses = observe(policy, calm | {"w0": 40.0})
        throttled += len(responses["w0"].throttles)
        evicted += len(responses["w0"].checkpoints)
        assert not responses["w1"].throttles
        assert not responses["w1"].checkpoints
        clock.advance(10.0)
    assert throttled >= 4
    assert 1 <= evicted <= 7
    placements = policy.place(workers, make_requests(20))
    assert "w0" not in {entry.worker for entry in placements}


def test_an_estimate_beyond_every_worker_falls_back_to_the_declared_size(policy):
    (request,) = make_requests(1)
    request = msgspec.structs.replace(request, demand=WORKER)
    report = AttemptReport(
        task="job.0.9",
        attempt=1,
        kind="tuning",
        state=AttemptState.RUNNING,
        demand=WORKER,
        used=WORKER,
    )
    inventory = make_inventory("w9", ())
    inventory = msgspec.structs.replace(inventory, attempts=(report,))
    for _ in range(10):
        policy.observe_inventory("w9", (), inventory)
    assert not policy.estimate(request).fits(WORKER)
    (placement,) = policy.place(make_workers(1), [request])
    assert (placement.worker, placement.demand) == ("w0", WORKER)


def test_batch_tasks_are_preempted_for_an_urgent_task_without_room(policy, clock):
    kinds = {"tuning": KindSettings(kind="tuning", team="a")}
    policy.configure(kinds, {}, PolicyWeights())
    tasks = [f"job.0.{index}" for index in range(3)]
    used = Resources(millicores=400, memory_mb=400)
    policy.observe_inventory("w0", ("hub",), make_inventory("w0", tasks, used))
    full = [WorkerFree(worker="w0", free=Resources(), capacity=WORKER)]
    table = (
        (Urgency.BATCH, 0),
        (Urgency.URGENT, 1),
        (Urgency.URGENT, 0),
    )
    for urgency, evicted in table:
        requests = make_requests(2, "now", urgency=urgency)
        placements = policy.place(full, requests)
        responses = policy.preempt(full, requests, placements)
        keys = [key for entry in responses.values() for key in entry.checkpoints]
        assert len(keys) == evicted, urgency
    clock.advance(2.0)
    assert policy.preempt(full, requests, policy.place(full, requests))


def test_urgent_tasks_are_never_preempted(policy):
    kinds = {"tuning": KindSettings(kind="tuning", team="a", urgency=Urgency.URGENT)}
    policy.configure(kinds, {}, PolicyWeights())
    policy.observe_inventory("w0", ("hub",), make_inventory("w0", ["job.0.0"]))
    full = [WorkerFree(worker="w0", free=Resources(), capacity=WORKER)]
    requests = make_requests(1, "now", urgency=Urgency.URGENT)
    assert policy.preempt(full, requests, policy.place(full, requests)) == {}
