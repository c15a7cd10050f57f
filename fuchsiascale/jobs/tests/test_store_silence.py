"""Whether the store is taken for silent, replayed with several instances.

The failures that it guards against: a silent store is found out only after seconds, in
which submissions of a burst are sent to it; a slow store, a lost answer, or an instance
with a fault of its own is taken for a silent store, so that work is refused needlessly.
"""

import heapq
import itertools

from fuchsiascale.clock import ManualClock
from fuchsiascale.jobs import StoreReport, StoreSilence
from fuchsiascale.jobs._store_silence import TICK_S
from fuchsiascale.testing import collect_functions

load_tests = collect_functions(__name__)

STEP_S = 0.01
USUAL_S, SLOW_S, SLOW_COMMIT_S = 0.004, 0.4, 1.3
READ_TIMEOUT_S, HELD_S = 0.7, 0.4
SILENT_FROM_S, SILENT_UNTIL_S = 18.0, 22.2
CONCLUDED_WITHIN_S = 1.4
"""A poll may be held for 0.4 s before it is overdue, a ping takes up to 0.3 s."""


class Instance:
    """The calls of an instance; the first of a fleet owns the service.

    ``delay_s`` returns how long an answer sent now takes to be read here, ``runs``
    whether the process runs now, and ``turned_away`` whether the store ignores it.
    """

    def __init__(self, fleet, number):
        self.fleet = fleet
        self.number = number
        self.silence = StoreSilence(fleet.clock)
        self.delay_s = lambda now_s: 0.0
        self.runs = lambda now_s: True
        self.turned_away = lambda now_s: False
        self.concluded_s = []
        self.probes = 0

    def call(self, held_s=0.0, is_commit=False):
        """Make a call to the store, which times out after a while."""
        fleet = self.fleet
        now_s = fleet.clock.monotonic()
        silence = self.silence
        call = silence.note_call(held_s, not is_commit)
        answer_s = fleet.answer_s(is_commit)
        timeout_s = held_s + READ_TIMEOUT_S + (1.8 if is_commit else 0.0)
        if answer_s is not None and not self.turned_away(now_s):
            answer_s += held_s + self.delay_s(now_s)
            if answer_s <= timeout_s:
                fleet.at(now_s + answer_s, self, lambda: silence.note_answer(call))
                fleet.at(now_s + answer_s, self, lambda: silence.note_end(call))
                return
        fleet.at(now_s + timeout_s, self, lambda: silence.note_end(call))

    def tick(self):
        """Judge, and probe if that is due."""
        if self.silence.tick():
            self.concluded_s.append(self.fleet.clock.monotonic())
        if self.silence.is_probe_due():
            self.probes += 1
            self.call()


class Fleet:
    """Instances that share a store, and exchange what they see of it by pings."""

    def __init__(self, size=6, answer_s=lambda now_s, is_commit: USUAL_S):
        self.clock = ManualClock()
        self._answer_s = answer_s
        self._events = []
        self._numbers = itertools.count()
        self.instances = [Instance(self, number) for number in range(size)]
        for number, instance in enumerate(self.instances):
            start_s = number * 0.037
            self.repeat(start_s, TICK_S, instance, instance.tick)
            self.repeat(start_s, 1.0, instance, instance.call)
            self.repeat(start_s, 0.3, instance, lambda each=instance: self.ping(each))
            self.repeat(
                15.0 + start_s, 0.5, instance, lambda e=instance: e.call(is_commit=True)
            )
        owner = self.instances[0]
        self.repeat(0.0, 0.6, owner, lambda: owner.call(held_s=HELD_S))

    def answer_s(self, is_commit):
        return self._answer_s(self.clock.monotonic(), is_commit)

    def at(self, time_s, instance, action):
        """Have an instance do something at a time, or later if it doesn't run then."""
        heapq.heappush(self._events, (time_s, next(self._numbers), instance, action))

    def repeat(self, time_s, period_s, instance, action):
        def act():
            self.at(self.clock.monotonic() + period_s, instance, act)
            action()

        self.at(time_s, instance, act)

    def ping(self, instance):
        """Exchange reports with the owner."""
        owner = self.instances[0]
        now_s = self.clock.monotonic()
        if instance is owner or not owner.runs(now_s):
            return
        owner.silence.note_report(
            f"i{instance.number}", instance.silence.make_report(), now_s
        )
        reply, delay_s = owner.silence.make_report(), instance.delay_s(now_s)
        if delay_s <= 1.0:
            self.at(
                now_s + delay_s,
                instance,
                lambda: instance.silence.note_report("i0", reply, now_s),
            )

    def run(self, until_s):
        """Play until a time."""
        while self._events and self._events[0][0] <= until_s:
            time_s, number, instance, action = heapq.heappop(self._events)
            now_s = self.clock.monotonic()
            self.clock.advance(max(0.0, time_s - now_s))
            if instance.runs(self.clock.monotonic()):
                action()
            else:
                later_s = max(time_s, now_s) + STEP_S
                heapq.heappush(self._events, (later_s, number, instance, action))
        self.clock.advance(max(0.0, until_s - self.clock.monotonic()))

    def conclusions(self):
        return [instance.concluded_s for instance in self.instances]


def answer_unless_silent(now_s, is_commit):
    return None if SILENT_FROM_S <= now_s < SILENT_UNTIL_S else USUAL_S


def test_every_instance_finds_a_silent_store_within_its_bound():
    fleet = Fleet(answer_s=answer_unless_silent)
    fleet.run(SILENT_UNTIL_S)
    for concluded in fleet.conclusions():
        assert len(concluded) == 1
        assert SILENT_FROM_S < concluded[0] < SILENT_FROM_S + CONCLUDED_WITHIN_S
    assert all(instance.silence.is_silent for instance in fleet.instances)


def test_submissions_are_held_well_before_silence_is_concluded():
    fleet = Fleet(answer_s=answer_unless_silent)
    fleet.run(SILENT_FROM_S + 0.7)
    assert all(instance.silence.is_suspect() for instance in fleet.instances)
    assert not any(instance.silence.is_silent for instance in fleet.instances)


def test_the_first_answer_ends_the_silence_and_probes_go_on_until_then():
    fleet = Fleet(answer_s=answer_unless_silent)
    fleet.run(SILENT_UNTIL_S)
    probes = [instance.probes for instance in fleet.instances]
    assert all(6 <= number <= 14 for number in probes)
    fleet.run(SILENT_UNTIL_S + 0.4)
    assert not any(instance.silence.is_silent for instance in fleet.instances)
    fleet.run(SILENT_UNTIL_S + 10.0)
    assert all(len(each) == 1 for each in fleet.conclusions())


def test_the_evidence_names_calls_and_peers_with_their_age():
    fleet = Fleet(answer_s=answer_unless_silent)
    fleet.run(SILENT_FROM_S + 2.0)
    evidence = fleet.instances[3].silence.evidence
    assert evidence["unanswered_s"] >= evidence["bound_s"] >= 0.8
    assert evidence["calls"] >= 2
    assert evidence["answered_ago_s"] >= 0.8
    assert evidence["peers_unanswered_s"] >= 0.3
    assert evidence["peer_report_age_s"] <= 1.0


def test_a_slow_store_is_not_taken_for_silent():
    def answer(now_s, is_commit):
        if now_s < SILENT_FROM_S:
            return USUAL_S
        return SLOW_COMMIT_S if is_commit else SLOW_S

    fleet = Fleet(answer_s=answer)
    fleet.run(40.0)
    assert not any(fleet.conclusions())


def test_submissions_are_not_held_for_long_in_a_slow_store():
    fleet = Fleet(answer_s=lambda now_s, is_commit: SLOW_S)
    fleet.run(30.0)
    held_s = 0.0
    for _ in range(500):
        fleet.run(fleet.clock.monotonic() + STEP_S)
        held_s += STEP_S * fleet.instances[2].silence.is_suspect()
    assert held_s <= 0.5


def test_commits_that_wait_are_no_evidence_while_reads_are_answered():
    fleet = Fleet(answer_s=lambda now_s, is_commit: None if is_commit else USUAL_S)
    fleet.run(40.0)
    assert not any(fleet.conclusions())


def test_single_lost_answers_are_not_taken_for_silence():
    number = itertools.count()
    fleet = Fleet(
        answer_s=lambda now_s, is_commit: USUAL_S if next(number) % 3 else None
    )
    fleet.run(40.0)
    assert not any(fleet.conclusions())


def test_an_instance_that_was_suspended_does_not_conclude_silence():
    fleet = Fleet()
    for number in (0, 3):
        fleet.instances[number].runs = lambda now_s: not 18.0 <= now_s < 24.0
    fleet.run(30.0)
    assert not any(fleet.conclusions())


def test_an_overloaded_instance_does_not_conclude_silence():
    # It runs for 0.1 s in a second, and has read no answer that came meanwhile.
    fleet = Fleet()
    for number in (0, 3):
        fleet.instances[number].runs = lambda now_s: now_s < 18.0 or now_s % 1.0 < 0.1
    fleet.run(40.0)
    assert not any(fleet.conclusions())


def test_a_saturated_link_of_one_instance_is_not_taken_for_silence():
    for delay_s in (0.6, 1.5, 5.0):
        fleet = Fleet()
        fleet.instances[3].delay_s = lambda now_s, d=delay_s: d if now_s > 18.0 else 0.0
        fleet.run(30.0)
        assert not any(fleet.conclusions()), delay_s


def test_an_instance_that_the_store_turns_away_goes_through_peers():
    # The owner is one of them, but hears from others that the store answers them.
    fleet = Fleet()
    for number in (0, 3):
        fleet.instances[number].turned_away = lambda now_s: now_s > 18.0
    fleet.run(30.0)
    assert not any(fleet.conclusions())


def count_held(fleet, number, seconds=10.0):
    """Return for which share of a time submissions of an instance would be held."""
    held = 0
    for _ in range(int(seconds / STEP_S)):
        fleet.run(fleet.clock.monotonic() + STEP_S)
        held += fleet.instances[number].silence.is_suspect()
    return held * STEP_S / seconds


def test_an_instance_that_the_store_turns_away_holds_nothing_back_for_long():
    # Its submissions go through peers.
    fleet = Fleet()
    fleet.instances[3].turned_away = lambda now_s: now_s > 18.0
    fleet.run(20.0)
    assert count_held(fleet, 3) == 0.0


def test_an_owner_that_the_store_turns_away_holds_up_no_other_instance():
    fleet = Fleet()
    fleet.instances[0].turned_away = lambda now_s: now_s > 18.0
    fleet.run(20.0)
    assert count_held(fleet, 3) <= 0.05


def test_an_instance_without_peers_needs_longer():
    fleet = Fleet(size=1, answer_s=answer_unless_silent)
    fleet.run(SILENT_UNTIL_S)
    (concluded,) = fleet.conclusions()[0]
    assert concluded <= SILENT_FROM_S + 3.0
    assert fleet.instances[0].silence.evidence["answered_ago_s"] >= 2.0


def test_a_peer_of_an_earlier_version_is_no_evidence():
    silence = StoreSilence(ManualClock())
    silence.note_report("old", None, 0.0)
    assert silence.make_report() == StoreReport()


def test_a_relayed_answer_ends_the_silence():
    clock = ManualClock()
    silence = StoreSilence(clock)
    for _ in range(2):
        silence.note_call()
    for _ in range(50):
        clock.advance(TICK_S)
        silence.tick()
    assert silence.is_silent
    silence.note_relayed_answer("b", clock.monotonic())
    assert not silence.is_silent
