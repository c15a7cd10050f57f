"""Simulated takeovers: a service whose owners are cut off, killed, frozen or stopped.

The failures that it guards against: a task runs in two places at once, or is started
again after its end as done was acknowledged; an accepted job is lost; a refused one
runs; a worker gets more than it has room for. `make takeovers` plays more seeds.
"""

from unittest import mock

from fuchsiascale.jobs import Owner, Shard
from fuchsiascale.jobs._conclusions import confirm_owner
from fuchsiascale.jobs.tests._simulation import play
from fuchsiascale.jobs.tests._simulation_record import Rule
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


def test_a_seed_always_gives_the_same_course():
    events = play(4).events
    assert events
    assert play(4).events == events


def test_the_simulation_finds_owners_that_do_not_confirm_their_ownership():
    # Such an owner, cut off, restarts what its successor runs on.
    with mock.patch.object(Owner, "_apply_confirmation", conclude_without_confirmation):
        rules = {each.rule for each in play(2).breaks}
    assert {Rule.TWICE_AT_ONCE, Rule.TWICE_AFTER_DONE} <= rules


def test_the_simulation_finds_owners_that_take_late_notices_for_new_jobs():
    with mock.patch.object(Owner, "add_job", add_any_job):
        rules = {each.rule for each in play(3_082).breaks}
    assert Rule.TWICE_AFTER_DONE in rules


def test_no_task_starts_in_an_evacuated_domain_after_the_bound():
    for seed in EVACUATION_SEEDS:
        assert play(seed, evacuates=True).breaks == [], seed


def test_the_simulation_finds_owners_that_ignore_evacuations():
    with mock.patch.object(Shard, "is_evacuated", lambda *arguments: False):
        rules = {each.rule for each in play(3, evacuates=True).breaks}
    assert Rule.EVACUATED in rules
