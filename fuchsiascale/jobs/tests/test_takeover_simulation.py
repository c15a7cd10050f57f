"""Simulated takeovers: a service whose owners are cut off, killed, frozen or stopped.

The failures that it guards against: a task runs in two places at once, or is started
again after its end as done was acknowledged; an accepted job is lost; a refused one
runs; a worker gets more than it has room for. `make takeovers` plays more seeds.
With relays, the same holds while owners call workers through peers that are paused,
killed or cut off.
"""

from unittest import mock

from returns.result import Success

from fuchsiascale.jobs import Absent, NoAnswer, Owner, RelayChannel, Shard
from fuchsiascale.jobs._cancellations import EarlyCancelWriter
from fuchsiascale.jobs._conclusions import confirm_owner
from fuchsiascale.jobs.tests._simulation import play
from fuchsiascale.jobs.tests._simulation_record import Rule
from fuchsiascale.jobs.tests._simulation_worker import Worker
from fuchsiascale.testing import collect_functions

load_tests = collect_functions(__name__)

SEEDS = range(1_000, 1_014)
REGRESSIONS = {
    20: "a stop that a worker answered before its restart counted after it",
    2_400: "what follows a gang was started by two owners that each saw a member end",
}
"""Seeds that broke a rule once, and the cause."""


RESTART_SEEDS = {
    14: "a start that was held back past a restart ran after it was taken for lost",
    120: "a successor took a worker that it never reached for one with a usual lease",
    125: "a successor took a worker that it had reached for one with a usual lease",
    156: "an exchange that was held back past a restart dropped ends of the next one",
}
"""Seeds with workers that start again under their ids, and what broke a rule once."""
RETURN_SEEDS = (1, 6, 19)
"""Seeds with instances that return in a cut domain. Each broke a rule while these
supported an owner there of whose support its successor didn't know."""
EVACUATION_SEEDS = (*range(2_000, 2_005), 37, 97)
"""Seeds with evacuations. The last two break the bound if a read of the evacuations
counts for ever and starts grant whole leases."""
LEAVE_SEEDS = range(3)
"""Seeds with callers that leave and cancel. Each broke a rule while a cancel of a job
that was not stored yet left nothing behind."""
RELAY_SEEDS = range(4_000, 4_004)
RELAY_RESTART_SEEDS = range(4_100, 4_103)
"""Seeds with calls through peers, without and with workers that start again."""
MIN_RELAYED_SHARE = 0.3
"""Least share of the runs that peers start in a seed with relays. It was 0.70 in seeds
0 to 59 together; workers that leave make it less in some."""

call_through_peer = RelayChannel.call


async def take_silence_for_absence(channel, *arguments):
    """Take a call that a peer may have passed on for one that was not carried out."""
    reply = await call_through_peer(channel, *arguments)
    return Absent() if isinstance(reply, NoAnswer) else reply


def fail_to_start(worker, *arguments):
    """Fail as a simulated worker with a fault of its own."""
    raise LookupError("test")


async def store_nothing(writer, job):
    """Acknowledge an early cancellation without storing it."""
    return Success(None)


def conclude_without_confirmation(owner, now_s):
    """Take the owner for confirmed at any time, as before commit 77f2a12."""
    confirm_owner(owner.shard, now_s)


def add_any_job(owner, accepted):
    """Take notices of jobs of earlier owners too, as before commit 8c7928b."""
    is_known = accepted.record is not None and accepted.token <= owner.row.token
    if is_known and owner.count_waiting() is not None:
        now_s, wall_ms = owner.clock.monotonic(), owner.clock.wall_ms()
        owner.shard.add_job(accepted.record, accepted.token, now_s, wall_ms)
        owner.request_round()


def test_no_rule_is_broken_with_a_series_of_seeds():
    for seed in SEEDS:
        assert play(seed).breaks == [], seed


def test_no_rule_is_broken_with_the_seeds_that_found_faults():
    for seed, cause in REGRESSIONS.items():
        assert play(seed).breaks == [], (seed, cause)


def test_no_task_runs_twice_when_workers_restart_and_are_cut_off_soon_after():
    for seed, cause in RESTART_SEEDS.items():
        assert play(seed, restarts=True).breaks == [], (seed, cause)


def test_no_task_runs_twice_when_a_peer_returns_to_an_owner_that_is_cut_off():
    for seed in RETURN_SEEDS:
        assert play(seed, returns=True).breaks == [], seed


def test_no_job_runs_on_whose_cancel_was_acknowledged_while_it_was_being_stored():
    for seed in LEAVE_SEEDS:
        assert play(seed, leaves=True).breaks == [], seed


def test_the_simulation_finds_cancels_of_unknown_jobs_that_are_not_stored():
    with mock.patch.object(EarlyCancelWriter, "write", store_nothing):
        rules = {each.rule for each in play(0, leaves=True).breaks}
    assert Rule.RUNS_ON in rules


def test_no_rule_is_broken_when_peers_that_relay_calls_fail():
    for seed in RELAY_SEEDS:
        record = play(seed, relays=True)
        assert record.breaks == [], seed
        relayed = record.count_relayed_runs()
        assert relayed >= MIN_RELAYED_SHARE * record.count_runs(), (seed, relayed)


def test_no_rule_is_broken_when_peers_that_relay_calls_fail_and_workers_restart():
    for seed in RELAY_RESTART_SEEDS:
        record = play(seed, restarts=True, relays=True)
        assert record.breaks == [], seed
        relayed = record.count_relayed_runs()
        assert relayed >= MIN_RELAYED_SHARE * record.count_runs(), (seed, relayed)


def test_no_call_is_relayed_without_the_option():
    # Else the seeds without relays would guard against less than they did.
    assert play(4).count_relayed_runs() == 0


def test_a_seed_with_relays_always_gives_the_same_course():
    assert play(5, relays=True).events == play(5, relays=True).events


def test_the_simulation_finds_owners_that_take_unanswered_relayed_calls_for_refused():
    # A start that the peer has passed on runs beside the one that replaces it.
    with mock.patch.object(RelayChannel, "call", take_silence_for_absence):
        breaks = play(9, relays=True).breaks
    found = [each for each in breaks if each.rule is Rule.TWICE_AT_ONCE]
    assert found
    assert all(" via " in each.text for each in found)


def test_a_call_that_the_simulation_fails_to_carry_out_breaks_a_rule():
    # A simulation that drops such calls breaks no rule, since nothing runs in it.
    with mock.patch.object(Worker, "start", fail_to_start):
        rules = {each.rule for each in play(5, relays=True).breaks}
    assert Rule.ERROR in rules


def test_a_seed_always_gives_the_same_course():
    events = play(4).events
    assert events
    assert play(4).events == events


def test_the_simulation_finds_owners_that_do_not_confirm_their_ownership():
    # Such an owner, cut off, restarts what its successor runs on.
    with mock.patch.object(Owner, "_apply_confirmation", conclude_without_confirmation):
        rules = {each.rule for each in play(9).breaks}
    assert {Rule.TWICE_AT_ONCE, Rule.TWICE_AFTER_DONE} <= rules


def test_the_simulation_finds_owners_that_take_late_notices_for_new_jobs():
    with mock.patch.object(Owner, "add_job", add_any_job):
        rules = {each.rule for each in play(3_223).breaks}
    assert Rule.TWICE_AFTER_DONE in rules


def test_no_task_starts_in_an_evacuated_domain_after_the_bound():
    for seed in EVACUATION_SEEDS:
        assert play(seed, evacuates=True).breaks == [], seed


def test_the_simulation_finds_owners_that_ignore_evacuations():
    with mock.patch.object(Shard, "is_evacuated", lambda *arguments: False):
        rules = {each.rule for each in play(3, evacuates=True).breaks}
    assert Rule.EVACUATED in rules
