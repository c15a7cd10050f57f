"""Run times of tasks and steps as expected from those observed."""

import math
from random import Random
from statistics import median

from fuchsiascale.decisions import RunTimes, StepRunTimes
from fuchsiascale.testing import collect_functions

load_tests = collect_functions(__name__)

TASKS = 39
SPREAD = 0.3
MEAN_S = 2.7


def replay_steps(random, steps, job_spread):
    """Return learnt run times, and the longest task of each step."""
    times, longest = RunTimes(), []
    for _ in range(steps):
        job_s = MEAN_S * math.exp(random.gauss(0, job_spread))
        step = StepRunTimes()
        runs = [job_s * math.exp(random.gauss(0, SPREAD)) for _ in range(TASKS)]
        for run_s in runs:
            times.observe("q", run_s, step)
        longest.append(max(runs))
    return times, longest


def test_a_wide_step_is_expected_to_take_as_long_as_its_longest_task():
    """The mean is half of the time that a step of 39 uneven tasks takes."""
    times, longest = replay_steps(Random(5), steps=40, job_spread=0.0)
    expected_s = times.estimate_longest("q", MEAN_S, TASKS)
    assert 0.85 < expected_s / median(longest) < 1.15


def test_differences_between_jobs_do_not_count_as_differences_between_tasks():
    """Jobs of one queue differ by more than the tasks of a step."""
    times, _ = replay_steps(Random(6), steps=40, job_spread=0.8)
    ratio = times.estimate_longest("q", MEAN_S, TASKS) / times.estimate("q", MEAN_S)
    assert 1.6 < ratio < 2.3


def test_tasks_of_equal_length_end_together():
    times = RunTimes()
    for _ in range(20):
        step = StepRunTimes()
        for _ in range(TASKS):
            times.observe("q", MEAN_S, step)
    assert times.estimate_longest("q", MEAN_S, TASKS) < 1.05 * MEAN_S
