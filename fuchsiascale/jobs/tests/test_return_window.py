"""Return of refused callers.

The failure that it guards against: all callers that a silent store has refused return
in one wave, and have used up their repeats when it answers again.
"""

import random

from fuchsiascale.jobs import ReturnWindow, pick_return, window_in_silence
from fuchsiascale.testing import collect_functions

load_tests = collect_functions(__name__)

CALLERS_PER_S = 24
REPEATS = 4


def replay(silent_s, choose):
    """Replay a silence; return arrivals per second after it, and callers given up."""
    arrivals, gave_up = [0] * 10, 0
    for number in range(int(silent_s * CALLERS_PER_S)):
        at_s = number / CALLERS_PER_S
        for _ in range(REPEATS):
            at_s += choose(at_s)
            if at_s >= silent_s:
                arrivals[int(at_s - silent_s)] += 1
                break
        else:
            gave_up += 1
    return arrivals, gave_up


def test_refused_callers_do_not_return_in_one_wave():
    for silent_s in (2.5, 4.2):
        rng = random.Random(5)
        spread, _ = replay(
            silent_s, lambda at_s, rng=rng: pick_return(window_in_silence(at_s), rng)
        )
        wave, _ = replay(silent_s, lambda at_s: 1)
        assert max(wave) == sum(wave)
        assert max(spread) <= 0.7 * max(wave), silent_s


def test_callers_do_not_use_up_their_repeats_in_a_silence_of_some_seconds():
    rng = random.Random(5)
    _, gave_up = replay(5.5, lambda at_s: pick_return(window_in_silence(at_s), rng))
    _, gave_up_by_second = replay(5.5, lambda at_s: 1)
    assert gave_up <= gave_up_by_second / 4


def test_callers_return_soon():
    for silent_s in (0.0, 1.0, 100.0):
        window = window_in_silence(silent_s)
        assert window.first_s == 1
        assert window.last_s <= 3


def test_each_second_of_a_window_is_picked_about_equally_often():
    rng = random.Random(1)
    picks = [pick_return(ReturnWindow(1, 3), rng) for _ in range(3_000)]
    for seconds in (1, 2, 3):
        assert 900 <= picks.count(seconds) <= 1_100
