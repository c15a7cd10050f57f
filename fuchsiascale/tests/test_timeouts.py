"""Timeouts of responses while the event loop is late.

A burst of starts kept an owner's process busy for longer than the timeout of its calls.
All of them then counted as unanswered although the responses had arrived, so each task
was looked up, stopped and started elsewhere.
"""

import asyncio

from fuchsiascale.testing import collect_functions, run_in_virtual_time
from fuchsiascale.timeouts import limit_response_time

load_tests = collect_functions(__name__)

LIMIT_S = 0.8


async def wait_for(future, stall_s=0.0, stall_at_s=0.1):
    """Wait for a future while the event loop stalls once; returns the time taken."""
    loop = asyncio.get_running_loop()
    if stall_s:
        loop.call_later(stall_at_s, loop.advance, stall_s)
    try:
        async with limit_response_time(LIMIT_S):
            await future
        return "answered", loop.time()
    except TimeoutError:
        return "timed out", loop.time()


def test_a_response_that_arrived_while_the_loop_stalled_is_read():
    async def run():
        loop = asyncio.get_running_loop()
        response = loop.create_future()
        loop.call_later(0.2, lambda: loop.call_soon(response.set_result, None))
        return await wait_for(response, stall_s=3.0)

    outcome, _ = run_in_virtual_time(run())
    assert outcome == "answered"


def test_a_call_without_a_response_times_out():
    async def run():
        return await wait_for(asyncio.get_running_loop().create_future())

    outcome, after_s = run_in_virtual_time(run())
    assert outcome == "timed out"
    assert abs(after_s - LIMIT_S) < 0.01


def test_a_long_pause_extends_a_timeout_by_its_limit_at_most():
    async def run():
        never = asyncio.get_running_loop().create_future()
        return await wait_for(never, stall_s=60.0)

    outcome, after_s = run_in_virtual_time(run())
    assert outcome == "timed out"
    assert after_s < 60.0 + 0.1 + LIMIT_S + 0.01


def test_a_cancelled_wait_is_not_reported_as_a_timeout():
    async def run():
        never = asyncio.get_running_loop().create_future()
        task = asyncio.create_task(wait_for(never))
        await asyncio.sleep(0.1)
        task.cancel()
        try:
            await task
        except asyncio.CancelledError:
            return "cancelled"
        return "ended"

    assert run_in_virtual_time(run()) == "cancelled"
