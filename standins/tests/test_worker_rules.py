"""Tests of the rules of the worker on a manual clock."""

from fuchsiascale.clock import ManualClock
from fuchsiascale.ids import AttemptNumber, InstanceId, JobKindId, TaskId, WorkerId
from fuchsiascale.platform import (
    AttemptKey,
    ClaimRequest,
    ExchangeRequest,
    FencingToken,
    Resources,
    StartCommand,
    StartRequest,
    Throttle,
)
from fuchsiascale.states import AttemptState
from fuchsiascale.testing import collect_functions, fixture
from standins._journal import Event
from standins._worker_rules import WorkerRules

load_tests = collect_functions(__name__)

LEASE_MS = 5_000
LOW = FencingToken(counter=1, holder=InstanceId("a"))
HIGH = FencingToken(counter=2, holder=InstanceId("b"))
CAPACITY = Resources(millicores=1000, memory_mb=1000, accelerators=1)
RESERVED = Resources(millicores=200)
DEMAND = Resources(millicores=300)


@fixture
def clock():
    yield ManualClock()


@fixture
def events():
    yield []


@fixture
def rules(clock, events):
    yield make_rules(clock, events)


def make_rules(clock, events, guards=True):
    return WorkerRules(
        worker=WorkerId("w"),
        capacity=CAPACITY,
        reserved=RESERVED,
        guards=guards,
        clock=clock,
        record=lambda event, **fields: events.append((event, fields)),
        usage_lag_s=2.0,
    )


def claim(rules, token=LOW):
    return rules.claim(ClaimRequest(token=token, lease_ms=LEASE_MS))


def start(rules, task="t", attempt=1, token=LOW, resumed_ms=None, **fields):
    fields = {"demand": DEMAND, "run_ms": 1000} | fields
    command = StartCommand(
        task=TaskId(task),
        attempt=AttemptNumber(attempt),
        kind=JobKindId("k"),
        **fields,
    )
    reply = rules.start(StartRequest(token=token, starts=(command,)), resumed_ms or {})
    return reply.accepted and reply.results[0].started


def exchange(rules, token=LOW, **commands):
    return rules.exchange(ExchangeRequest(token=token, lease_ms=LEASE_MS, **commands))


def make_attempt_key(attempt=1, task="t"):
    return AttemptKey(task=TaskId(task), attempt=AttemptNumber(attempt))


def list_states(rules):
    return {report.key: report.state for report in rules.list_inventory().attempts}


def test_starts_require_a_claim_and_its_token(rules):
    assert not start(rules)
    assert claim(rules).granted
    assert start(rules)
    assert claim(rules, HIGH).granted
    assert not claim(rules, LOW).granted
    assert not start(rules, "u")
    assert not exchange(rules).accepted
    assert start(rules, "u", token=HIGH)


def test_commands_are_refused_after_the_claim_is_released(rules):
    claim(rules)
    start(rules)
    assert exchange(rules, release=True).accepted
    assert not start(rules, "u")
    assert list_states(rules) == {make_attempt_key(): AttemptState.RUNNING}


def test_attempts_stop_when_the_lease_expires(rules, clock, events):
    claim(rules)
    start(rules, run_ms=60_000)
    clock.advance(4.9)
    exchange(rules)
    clock.advance(4.9)
    rules.advance()
    assert list_states(rules)[make_attempt_key()] is AttemptState.RUNNING
    clock.advance(0.2)
    rules.advance()
    assert list_states(rules)[make_attempt_key()] is AttemptState.STOPPED
    assert Event.LEASE_LAPSED in [event for event, _ in events]
    assert not start(rules, "u")


def test_an_attempt_that_completes_within_the_lease_has_finished(rules, clock):
    claim(rules)
    start(rules, run_ms=1000)
    start(rules, "long", run_ms=6000)
    clock.advance(100.0)
    rules.advance()
    assert list_states(rules) == {
        make_attempt_key(): AttemptState.FINISHED,
        make_attempt_key(task="long"): AttemptState.STOPPED,
    }


def test_an_attempt_ends_when_complete_even_if_noticed_later(rules, clock, events):
    claim(rules)
    start(rules, run_ms=1000)
    clock.advance(0.5)
    throttle = Throttle(task=TaskId("t"), attempt=AttemptNumber(1), share_permille=500)
    exchange(rules, throttles=(throttle,))
    clock.advance(100.0)
    rules.advance()
    (ended,) = [fields for event, fields in events if event is Event.ENDED]
    assert (ended["state"], ended["until_ms"]) == ("finished", 1500.0)


def test_a_repeated_start_is_idempotent(rules, events):
    claim(rules)
    assert start(rules)
    assert start(rules)
    assert [event for event, _ in events].count(Event.STARTED) == 1


def test_an_ended_attempt_never_starts_again(rules, clock):
    claim(rules)
    start(rules)
    clock.advance(2.0)
    assert not start(rules)
    exchange(rules, acknowledged=(make_attempt_key(),))
    assert list_states(rules) == {}
    assert not start(rules)
    assert start(rules, attempt=2)
    assert not start(rules, attempt=3)


def test_an_ended_attempt_is_retained_until_acknowledged(rules, clock):
    claim(rules)
    start(rules)
    exchange(rules, acknowledged=(make_attempt_key(),))
    assert list_states(rules)[make_attempt_key()] is AttemptState.RUNNING
    clock.advance(2.0)
    exchange(rules)
    assert list_states(rules)[make_attempt_key()] is AttemptState.FINISHED
    exchange(rules, acknowledged=(make_attempt_key(),))
    assert list_states(rules) == {}


def test_guards_refuse_starts_over_capacity(rules, clock):
    claim(rules)
    assert start(rules, "a")
    assert start(rules, "b")
    assert not start(rules, "c")
    assert not start(rules, "d", demand=Resources(memory_mb=1001))
    assert not start(rules, "e", demand=Resources(accelerators=2))
    clock.advance(2.0)
    assert start(rules, "c")


def test_without_guards_starts_over_capacity_are_accepted(clock):
    rules = make_rules(clock, [], guards=False)
    claim(rules)
    assert all(start(rules, task) for task in "abcdef")


def test_a_checkpoint_ends_the_attempt_and_the_next_one_resumes_from_it(rules, clock):
    claim(rules)
    start(rules, run_ms=1000)
    clock.advance(0.6)
    exchange(rules, checkpoints=(make_attempt_key(),))
    (pending,) = rules.find_pending_checkpoints()
    done_ms = pending.done_ms(clock.monotonic())
    assert abs(done_ms - 600) < 1
    rules.end_checkpoint(pending.key, "key")
    assert list_states(rules)[make_attempt_key()] is AttemptState.CHECKPOINTED
    assert not start(rules, attempt=2, checkpoint="key")
    assert start(rules, attempt=2, checkpoint="key", resumed_ms={"key": done_ms})
    clock.advance(0.5)
    rules.advance()
    assert list_states(rules)[make_attempt_key(2)] is AttemptState.FINISHED


def test_throttling_slows_an_attempt_and_usage_is_reported_with_a_lag(rules, clock):
    claim(rules)
    start(rules, run_ms=4000, payload='{"actual_millicores": 600}')
    rules.measure()
    clock.advance(1.0)
    throttle = Throttle(task=TaskId("t"), attempt=AttemptNumber(1), share_permille=250)
    exchange(rules, throttles=(throttle,))
    rules.measure()
    clock.advance(1.5)
    report = rules.list_inventory().attempts[0]
    assert (report.state, report.used.millicores) == (AttemptState.THROTTLED, 600)
    clock.advance(0.5)
    assert rules.list_inventory().attempts[0].used.millicores == 150
    exchange(rules)
    clock.advance(4.0)
    exchange(rules)
    clock.advance(4.0)
    exchange(rules)
    assert list_states(rules)[make_attempt_key()] is AttemptState.THROTTLED
    clock.advance(2.1)
    rules.advance()
    assert list_states(rules)[make_attempt_key()] is AttemptState.FINISHED


def test_payloads_and_faults_make_attempts_fail(rules, clock):
    claim(rules)
    start(rules, "a", payload='{"fail": true, "actual_run_ms": 10}', demand=Resources())
    start(rules, "b", payload='{"fail_on": ["w"]}', demand=Resources())
    start(rules, "c", payload='{"fail_on": ["x"]}', demand=Resources())
    clock.advance(1.0)
    rules.advance()
    states = [state for _, state in sorted(list_states(rules).items(), key=str)]
    assert states == [AttemptState.FAILED] * 2 + [AttemptState.FINISHED]
    rules.fail_starts = True
    start(rules, "d", run_ms=60_000)
    clock.advance(0.1)
    rules.advance()
    assert list_states(rules)[make_attempt_key(task="d")] is AttemptState.FAILED
    rules.refuse_starts = True
    assert not start(rules, "e")


def test_a_leaving_worker_reports_it_and_still_accepts_starts(rules):
    claim(rules)
    rules.leaving = True
    assert exchange(rules).inventory.leaving
    assert start(rules)
