"""What is known of one incarnation of a worker, and must not reach the next.

A worker that lost power was up again at once under its id. It was told that ends of the
incarnation before are recorded, dropped its own, and their tasks ran twice.
"""

import msgspec

from fuchsiascale.jobs import (
    AttemptPhase,
    EndedAttempt,
    EndKind,
    Inventory,
    JobState,
    RunningAttempt,
    Shard,
    StopCommand,
)
from fuchsiascale.jobs._conclusions import confirm_owner, mark_lost
from fuchsiascale.jobs._recorded_ends import note_recorded, snapshot_ends
from fuchsiascale.jobs._shard import FENCING_TOKENS_PER_OWNER
from fuchsiascale.jobs._worker_state import LATE_CALL_S
from fuchsiascale.jobs.tests.test_shard import (
    JOB,
    make_end,
    make_record,
    make_worker,
    start_first_task,
)
from fuchsiascale.testing import collect_functions, fixture

load_tests = collect_functions(__name__)

FIRST = f"{JOB}.0.0.0"
CLOCK_MS = 50_000
LEASE_S, LONGEST_LEASE_S = 6.0, 10.0


def make_inventory(incarnation, clock_ms, running=(), ended=()):
    return Inventory(
        clock_ms=clock_ms, incarnation=incarnation, running=running, ended=ended
    )


def make_shard():
    """Return a shard whose worker has answered, with six recorded ends."""
    made = Shard("pool", 1, LEASE_S, longest_lease_s=LONGEST_LEASE_S)
    made.loaded = True
    worker = made.update_worker(make_worker(), 0.0)
    ends = tuple(
        EndedAttempt(number, f"{'9' * 16}.0.0.{number}", 1, EndKind.DONE)
        for number in range(1, 7)
    )
    made.observe(worker, make_inventory(1, CLOCK_MS, ended=ends), 0.0, 0.1)
    note_recorded(made, snapshot_ends(made))
    assert worker.acknowledgeable_end == 6
    return made


@fixture
def shard():
    yield make_shard()


def restart(shard, sent_s, running=(), ended=()):
    """Let a new incarnation, 0.3 s old, answer an exchange."""
    worker = shard.workers["w1"]
    shard.observe(worker, make_inventory(2, 300, running, ended), sent_s, sent_s + 0.01)
    return worker


def test_no_end_is_acknowledged_to_a_worker_that_may_have_restarted(shard):
    worker = shard.workers["w1"]
    signs = {
        "no answer to an exchange": lambda: shard.note_silence(worker, 1.0),
        "another incarnation in the list": lambda: shard.update_worker(
            msgspec.structs.replace(make_worker(), incarnation=2), 1.0
        ),
        "no answer to a start": lambda: answer_start(shard, None),
        "a clock that is behind": lambda: answer_start(shard, 300),
    }
    for name, notice in signs.items():
        notice()
        assert worker.acknowledgeable_end == 0, name
        shard.observe(worker, make_inventory(1, CLOCK_MS + 900), 0.9, 1.1)
        assert worker.acknowledgeable_end == 0, name
        shard.observe(worker, make_inventory(1, CLOCK_MS + 1_100), 1.1, 1.2)
        assert worker.acknowledgeable_end == 6, name


def answer_start(shard, clock_ms):
    """Send a start at 0.9 s, answered at 1.0 s with a time on the worker's clock."""
    worker = shard.workers["w1"]
    worker.note_start_sent()
    worker.note_start_reply(clock_ms, 0.9, 1.0)


def test_no_end_is_acknowledged_while_a_start_is_on_its_way(shard):
    worker = shard.workers["w1"]
    worker.note_start_sent()
    assert worker.acknowledgeable_end == 0
    worker.note_start_reply(CLOCK_MS + 950, 0.9, 1.0)
    assert worker.acknowledgeable_end == 6


def test_a_reply_that_was_overtaken_is_no_sign_of_a_restart(shard):
    worker = shard.workers["w1"]
    shard.observe(worker, make_inventory(1, CLOCK_MS + 990), 0.95, 1.0)
    worker.note_start_sent()
    worker.note_start_reply(CLOCK_MS + 905, 0.9, 1.1)
    assert worker.acknowledgeable_end == 6


def test_ends_of_the_new_incarnation_are_seen_and_count(shard):
    _, attempt = start_first_task(shard)
    shard.note_started(attempt, 1.1)
    worker = restart(shard, 2.0, ended=(make_end(1, 1, EndKind.DONE),))
    assert shard.jobs[JOB].state is JobState.COMPLETED
    assert worker.acknowledgeable_end == 0
    note_recorded(shard, snapshot_ends(shard))
    assert worker.acknowledgeable_end == 1


def test_a_start_that_the_new_incarnation_has_carried_out_is_kept(shard):
    _, attempt = start_first_task(shard)
    shard.note_started(attempt, 1.1)
    restart(shard, 2.0, running=(RunningAttempt(FIRST, 1),))
    assert attempt.task.attempt.number == 1
    assert not attempt.task.waiting


def test_a_start_that_may_reach_the_new_incarnation_is_not_repeated():
    for phase in (AttemptPhase.STARTING, AttemptPhase.IN_DOUBT, AttemptPhase.RUNNING):
        shard = make_shard()
        _, attempt = start_first_task(shard)
        attempt.enter_phase(phase, 1.5)
        restart(shard, 1.4)
        assert not attempt.task.waiting, phase


def test_an_unanswered_start_is_stopped_at_the_new_incarnation_before_it_is_repeated(
    shard,
):
    worker, attempt = start_first_task(shard)
    attempt.enter_phase(AttemptPhase.IN_DOUBT, 1.5)
    restart(shard, 2.0)
    assert shard.drain_commands() == [StopCommand(worker, FIRST, 1)]
    shard.note_stop_answered(worker, FIRST, 1, 2.1)
    shard.observe(worker, make_inventory(2, 700), 2.2, 2.3)
    assert attempt.task.waiting


def test_a_stop_that_the_incarnation_before_has_answered_is_sent_again(shard):
    # The start took effect after its task had been started elsewhere.
    worker, attempt = start_first_task(shard)
    shard.note_start_unanswered(attempt, 1.2)
    shard.observe(worker, make_inventory(1, CLOCK_MS + 1_300), 1.3, 1.3)
    assert shard.drain_commands() == [StopCommand(worker, FIRST, 1)]
    shard.note_stop_answered(worker, FIRST, 1, 1.4)
    restart(shard, 2.0)
    assert not attempt.task.waiting
    assert shard.drain_commands() == [StopCommand(worker, FIRST, 1)]
    shard.note_stop_answered(worker, FIRST, 1, 2.1)
    shard.observe(worker, make_inventory(2, 700), 2.2, 2.3)
    assert attempt.task.waiting


def test_an_unanswered_start_that_is_being_stopped_is_stopped_again(shard):
    worker, attempt = start_first_task(shard)
    shard.note_start_unanswered(attempt, 1.2)
    shard.stop_attempt(attempt, 1.2)
    shard.drain_commands()
    shard.note_stop_answered(worker, FIRST, 1, 1.3)
    restart(shard, 2.0)
    assert not attempt.task.waiting
    assert shard.drain_commands() == [StopCommand(worker, FIRST, 1)]


def test_what_ran_and_is_being_stopped_in_the_incarnation_before_is_lost(shard):
    worker, attempt = start_first_task(shard)
    shard.note_start_unanswered(attempt, 1.2)
    running = (RunningAttempt(FIRST, 1),)
    shard.observe(worker, make_inventory(1, CLOCK_MS + 1_300, running), 1.3, 1.3)
    shard.stop_attempt(attempt, 1.4)
    restart(shard, 2.0)
    assert attempt.task.waiting


def test_what_ran_in_the_incarnation_before_is_lost_at_once(shard):
    _, attempt = start_first_task(shard)
    shard.note_started(attempt, 1.1)
    worker = restart(shard, 2.0)
    assert attempt.task.waiting
    assert worker.cpu_used == 0


def test_a_lease_granted_by_the_clock_before_is_taken_for_the_longest(shard):
    # The new incarnation shortens it to the longest that it takes.
    worker = restart(shard, 2.0)
    shard.observe(worker, make_inventory(2, 310), 2.02, 2.02)
    attempt = start_first_task(shard, now_s=2.0)[1]
    shard.note_started(attempt, 2.0)
    confirm_owner(shard, 2.0 + LEASE_S + 1.0)
    assert not attempt.task.waiting
    confirm_owner(shard, 2.1 + LONGEST_LEASE_S / 0.98 + 0.3)
    assert attempt.task.waiting
    assert shard.grant_lease(worker, 2.02) == 310 + LEASE_S * 1_000


def test_a_worker_that_is_not_fenced_may_take_a_longest_lease_later(shard):
    # A call on the clock before that the network holds back may still arrive.
    _, attempt = start_first_task(shard)
    shard.note_start_unanswered(attempt, 1.2)
    restart(shard, 2.0, running=(RunningAttempt(FIRST, 1),))
    confirm_owner(shard, 2.1 + LONGEST_LEASE_S / 0.98 + 0.3)
    assert not attempt.task.waiting
    confirm_owner(shard, 2.1 + (LATE_CALL_S + LONGEST_LEASE_S) / 0.98 + 0.3)
    assert attempt.task.waiting


def test_a_restarted_worker_is_used_once_it_refuses_calls_meant_for_the_one_before(
    shard,
):
    worker = shard.workers["w1"]
    worker.in_leased_workers = True
    before = shard.get_fencing_token(worker)
    restart(shard, 2.0)
    assert shard.get_fencing_token(worker) > before
    assert not worker.is_usable(2.1)
    shard.observe(worker, make_inventory(2, 310), 1.99, 2.1)
    assert not worker.is_usable(2.1), "sent before the restart was known"
    shard.observe(worker, make_inventory(2, 320), 2.02, 2.1)
    assert worker.is_usable(2.1)


def test_starts_sent_together_have_the_same_token(shard):
    # They may overtake each other, and a worker refuses a lower token.
    worker = shard.workers["w1"]
    worker.is_acknowledging = True
    worker.note_start_sent()
    first = shard.get_fencing_token(worker)
    worker.note_start_sent()
    assert shard.get_fencing_token(worker) == first


def test_calls_without_an_answer_are_refused_after_the_next_exchange(shard):
    # They would be carried out by an incarnation that has forgotten all tokens.
    worker, attempt = start_first_task(shard)
    for miss in (
        lambda: shard.note_start_unanswered(attempt, 1.2),
        lambda: shard.note_silence(worker, 1.3),
    ):
        before = shard.get_fencing_token(worker)
        miss()
        assert shard.get_fencing_token(worker) > before


def test_a_worker_that_comes_back_refuses_calls_from_before_it_was_dropped(shard):
    before = shard.get_fencing_token(shard.workers["w1"])
    shard.drop_worker("w1")
    worker = shard.update_worker(make_worker(), 3.0)
    assert shard.get_fencing_token(worker) > before


def test_tokens_of_a_later_owner_are_above_all_of_an_earlier_one(shard):
    worker = shard.workers["w1"]
    worker.fencing_epoch = FENCING_TOKENS_PER_OWNER - 1
    later = Shard("pool", shard.token + 1, LEASE_S)
    other = later.update_worker(make_worker(), 0.0)
    assert later.get_fencing_token(other) > shard.get_fencing_token(worker)


def test_a_successor_takes_the_first_lease_of_a_worker_for_the_longest():
    # The successor doesn't know that the worker restarted under the earlier owner.
    shard = Shard("pool", 2, LEASE_S, longest_lease_s=LONGEST_LEASE_S)
    shard.loaded = True
    worker = shard.update_worker(make_worker(), 0.0)
    job = shard.add_job(make_record(), 1, 0.0, 0)
    running = (RunningAttempt(FIRST, 1),)
    shard.observe(worker, make_inventory(2, 541, running), 2.0, 2.0)
    task = job.find_task(0, 0, 0)
    confirm_owner(shard, 2.0 + LEASE_S + 1.0)
    assert not task.waiting
    confirm_owner(shard, 2.0 + LONGEST_LEASE_S / 0.98 + 0.3)
    assert task.waiting


def test_a_start_that_the_next_incarnation_carries_out_is_kept_for_its_longest_lease():
    # The worker is cut off before the owner learns of that by an exchange.
    longest_s = LONGEST_LEASE_S / 0.98
    for is_answered, is_listed_anew, until_s in (
        (False, False, 0.1 + longest_s),
        (False, True, 1.2 + LATE_CALL_S + longest_s),
        (True, False, 1.2 + LATE_CALL_S + longest_s),
    ):
        shard = make_shard()
        worker, attempt = start_first_task(shard)
        worker.note_start_sent()
        is_other = worker.note_start_reply(300 if is_answered else None, 1.0, 1.2)
        if is_answered:
            shard.note_started(attempt, 1.2, is_other)
        else:
            shard.note_start_unanswered(attempt, 1.2)
        if is_listed_anew:
            entry = msgspec.structs.replace(make_worker(), incarnation=2)
            shard.update_worker(entry, 1.3)
        shard.note_silence(worker, 2.0)
        confirm_owner(shard, until_s)
        assert not attempt.task.waiting, (is_answered, is_listed_anew)
        confirm_owner(shard, until_s + 0.3)
        assert attempt.task.waiting, (is_answered, is_listed_anew)


def test_nothing_is_granted_on_the_clock_before_once_a_later_one_has_answered(shard):
    worker = shard.workers["w1"]
    worker.in_leased_workers = True
    answer_start(shard, 300)
    assert shard.grant_lease(worker, 1.0) is None
    assert not worker.is_usable(1.0)
    # The reply may have been overtaken: the incarnation is the same.
    shard.observe(worker, make_inventory(1, CLOCK_MS + 1_100), 1.1, 1.2)
    assert shard.grant_lease(worker, 1.2) is not None
    assert worker.is_usable(1.2)


def test_a_late_start_is_stopped_at_the_new_incarnation_after_its_task_runs_elsewhere():
    # The old incarnation had answered the stop; the new one would carry out the start.
    for age_s, expected in ((5.0, 1), (15.0, 0)):
        shard = make_shard()
        worker, attempt = start_first_task(shard)
        shard.note_start_unanswered(attempt, 1.2)
        mark_lost(shard, attempt, 1.5, "not there after its stop")
        shard.drain_commands()
        restart(shard, 1.2 + age_s)
        assert shard.drain_commands() == [StopCommand(worker, FIRST, 1)] * expected


def test_a_late_start_is_stopped_at_each_incarnation_that_may_carry_it_out(shard):
    worker, attempt = start_first_task(shard)
    shard.note_start_unanswered(attempt, 1.2)
    mark_lost(shard, attempt, 1.5, "not there after its stop")
    for incarnation, sent_s in ((2, 3.0), (3, 5.0)):
        shard.drain_commands()
        shard.observe(worker, make_inventory(incarnation, 300), sent_s, sent_s)
        assert shard.drain_commands() == [StopCommand(worker, FIRST, 1)], incarnation
