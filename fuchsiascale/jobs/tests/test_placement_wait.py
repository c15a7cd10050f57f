"""How long tasks wait for room on a wanted rack, without workers or jobs."""

import itertools
import math
from random import Random

from fuchsiascale.jobs import Resources
from fuchsiascale.jobs._placement_wait import (
    RackForecast,
    RoomRequest,
    compute_latest_start_s,
    estimate_end_s,
)
from fuchsiascale.testing import collect_functions

load_tests = collect_functions(__name__)

CORE = Resources(cpu_millis=1_000, memory_mb=100)
FULL = Resources()
NOW_S = 100.0


def make_forecast(*workers):
    """Return a forecast of full workers; each is a list of seconds until an end."""
    forecast = RackForecast(NOW_S)
    for number, ends in enumerate(workers):
        freed = [(NOW_S + end_s, CORE) for end_s in ends]
        forecast.add_worker(f"w{number}", FULL, freed)
    return forecast


def make_request(near_s=1.0, factor=3.0, waited_s=0.0, slack_s=9.0, need=CORE, **rest):
    latest_s = compute_latest_start_s(NOW_S, near_s, factor, waited_s, slack_s)
    return RoomRequest(need, near_s, latest_s, **rest)


def list_waits(forecast, request, count=1):
    """Return the expected waits in seconds, None for tasks that start far."""
    starts = forecast.reserve(request, [None] * count)
    return [None if each is None else round(each - NOW_S, 3) for each in starts]


def test_free_room_is_taken_at_once():
    forecast = make_forecast([])
    forecast.add_worker("free", CORE, [])
    assert list_waits(forecast, make_request()) == [0.0]


def test_a_task_waits_for_room_that_is_about_to_be_free():
    assert list_waits(make_forecast([0.3]), make_request()) == [0.3]


def test_a_task_does_not_wait_for_room_that_is_never_free():
    """Long-running tasks have no end; a wait for them would never pay."""
    assert list_waits(make_forecast([]), make_request()) == [None]


def test_a_task_does_not_wait_on_a_rack_without_workers():
    assert list_waits(make_forecast(), make_request()) == [None]


def test_the_factor_decides_how_long_a_wait_pays():
    for factor, waits in ((1.5, [None]), (3.0, [1.2])):
        request = make_request(near_s=1.0, factor=factor)
        assert list_waits(make_forecast([1.2]), request) == waits


def test_a_long_task_waits_where_a_short_one_does_not():
    for near_s, waits in ((0.54, [None]), (2.7, [1.2])):
        request = make_request(near_s=near_s, factor=1.5)
        assert list_waits(make_forecast([1.2]), request) == waits


def test_the_time_waited_already_counts():
    request = make_request(waited_s=1.9)
    assert list_waits(make_forecast([0.3]), request) == [None]
    assert list_waits(make_forecast([0.05]), request) == [0.05]


def test_no_wait_exceeds_the_slack_of_the_job():
    assert list_waits(make_forecast([0.5]), make_request(slack_s=0.4)) == [None]
    late = make_request(slack_s=-3.0)
    assert late.latest_s == NOW_S
    assert list_waits(make_forecast([0.1]), late) == [None]


def test_a_crowd_waits_only_as_far_as_it_gets_room():
    """Of 60 tasks for a rack with room for 20, the others would wait in vain."""
    forecast = make_forecast(*([[0.4, 0.4]] * 10))
    waits = list_waits(forecast, make_request(near_s=1.0, factor=2.0), count=60)
    assert waits == [0.4] * 20 + [None] * 40


def test_a_crowd_takes_turns_where_runs_are_short():
    """The room of a waiting task is free again after its run."""
    forecast = make_forecast([0.2, 0.2])
    waits = list_waits(forecast, make_request(near_s=0.5, factor=3.0), count=6)
    assert waits == [0.2, 0.2, 0.7, 0.7, None, None]


def test_later_steps_count_those_that_wait_already():
    forecast = make_forecast([0.2], [0.6])
    request = make_request(near_s=2.0, factor=1.5)
    assert list_waits(forecast, request, count=1) == [0.2]
    assert list_waits(forecast, request, count=2) == [0.6, None]


def test_room_adds_up_until_a_larger_task_fits():
    forecast = make_forecast([0.2, 0.5, 0.9], [0.4])
    double = Resources(cpu_millis=2_000, memory_mb=200)
    assert list_waits(forecast, make_request(need=double), count=2) == [0.5, 1.5]


def test_room_that_was_taken_in_the_same_round_does_not_count():
    forecast = RackForecast(NOW_S)
    forecast.add_worker("w0", CORE, [(NOW_S + 0.7, CORE)])
    forecast.take("w0", CORE)
    assert list_waits(forecast, make_request(), count=1) == [0.7]


def test_tasks_are_spread_by_their_limit_per_worker():
    """With one task a worker, a second slot of the same worker is no use."""
    forecast = make_forecast([0.1, 0.1], [0.3], [0.2])
    request = make_request(allowance={"w0": 1, "w1": 1})
    assert list_waits(forecast, request, count=3) == [0.1, 0.3, None]


def test_a_task_does_not_wait_for_the_worker_it_avoids():
    forecast = make_forecast([0.1], [0.4])
    assert forecast.reserve(make_request(), ["w0", None]) == [NOW_S + 0.4, NOW_S + 0.1]
    assert make_forecast([0.1]).reserve(make_request(), ["w0"]) == [None]


def test_a_gang_waits_until_all_members_have_room():
    forecast = make_forecast([0.1, 0.6], [0.2], [0.9])
    assert forecast.find_gang_time(make_request(), 3) == NOW_S + 0.6
    assert forecast.reserve_gang(make_request(), 3) == NOW_S + 0.6
    assert forecast.reserve_gang(make_request(near_s=0.4), 1) is None


def test_a_gang_that_never_fits_does_not_wait():
    forecast = make_forecast([0.1], [0.1])
    assert forecast.find_gang_time(make_request(), 3) == math.inf
    assert forecast.reserve_gang(make_request(), 3) is None
    assert list_waits(forecast, make_request(), count=2) == [0.1, 0.1]


def test_a_gang_respects_its_limit_per_worker():
    forecast = make_forecast([0.1, 0.1], [0.5])
    request = make_request(allowance={"w0": 1, "w1": 1})
    assert forecast.reserve_gang(request, 2) == NOW_S + 0.5


def test_the_end_of_an_attempt_follows_its_progress():
    """Some tasks take seven times as long as others of their queue."""
    slow_s = estimate_end_s(101.0, 100.0, 0.54, percent=25, progressed_s=101.0)
    assert slow_s == 104.0
    assert estimate_end_s(100.1, 100.0, 0.5, percent=1, progressed_s=100.1) == 100.5


def test_an_attempt_found_by_a_new_owner_does_not_count_as_quick():
    """Its start is unknown: 80 percent in the first 0.1 s would mean an end at once."""
    found_s = estimate_end_s(100.1, 100.0, 0.5, percent=80, progressed_s=100.1)
    assert round(found_s, 3) == 100.2


def test_an_overdue_attempt_is_not_expected_to_end_at_once():
    """Otherwise each round would expect room at once, and tasks wait to their bound."""
    for elapsed_s in (1.0, 2.0, 4.0):
        assert estimate_end_s(100.0 + elapsed_s, 100.0, 0.5) >= 100.2 + elapsed_s


def test_reservations_never_exceed_the_room_of_a_worker():
    """Overlapping reservations would let more tasks wait than the rack can run."""
    for seed in range(60):
        random = Random(seed)
        room = {f"w{each}": random.randrange(4) for each in range(4)}
        forecast = RackForecast(0.0)
        freed = {}
        for worker, cores in room.items():
            freed[worker] = [random.random() * 2 for _ in range(random.randrange(5))]
            forecast.add_worker(
                worker,
                Resources(cpu_millis=cores * 1_000, memory_mb=cores * 100),
                [(end_s, CORE) for end_s in freed[worker]],
            )
        runs = []
        for _ in range(8):
            run_s, latest_s = random.uniform(0.2, 2), random.uniform(0, 2)
            request = RoomRequest(CORE, run_s, latest_s)
            starts = forecast.reserve(request, [None] * random.randrange(1, 6))
            runs += [(each, each + run_s) for each in starts if each is not None]
            assert all(each is None or each <= latest_s for each in starts)
        ends = itertools.chain.from_iterable(freed.values())
        available = [(0.0, sum(room.values())), *((each, 1) for each in ends)]
        for at_s, _ in runs:
            used = sum(start_s <= at_s < end_s for start_s, end_s in runs)
            assert used <= sum(count for since_s, count in available if since_s <= at_s)
