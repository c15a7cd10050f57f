"""Orders in which faults follow each other in a play."""

import asyncio

from soak import _faults
from soak._faults import FAULTS

__all__ = ["PATTERNS"]

PATTERNS = {}
"""Patterns by name: coroutine functions of a stage and a task group."""
PAUSES_S = (1.0, 3.0, 6.0, 9.0)
TAKEOVER_TIMEOUT_S = 5.0
POLL_S = 0.1


def pattern(function):
    """Register a pattern."""
    PATTERNS[function.__name__] = function
    return function


@pattern
async def domain_cuts(stage, group):
    """Cut off one domain after another, four of five times the owner's."""
    while True:
        await _faults.cut_domain(stage)
        await asyncio.sleep(stage.rng.choice(PAUSES_S))


@pattern
async def takeovers(stage, group):
    """Cut off or freeze owners that have just taken over, twice or three times."""
    rng = stage.rng
    ways = (
        _faults.isolate,
        _faults.isolate,
        _faults.cut_from_store,
        _faults.cut_from_peers,
        _faults.cut_from_workers,
        _faults.freeze,
        _faults.freeze,
        _faults.terminate,
        _faults.kill,
    )
    while True:
        for _ in range(rng.randint(2, 3)):
            owner = stage.find_owner()
            for way in rng.sample(ways, rng.randint(1, 2)):
                group.create_task(way(stage, owner))
            if rng.random() < 0.3:
                group.create_task(_draw_fault(stage)(stage))
            await _wait_for_takeover(stage, owner)
            await asyncio.sleep(rng.choice((0.0, 0.2, 1.0, 2.0)))
        await asyncio.sleep(rng.uniform(2, 9))


async def _wait_for_takeover(stage, owner):
    end_s = stage.record.now_s() + TAKEOVER_TIMEOUT_S
    while stage.find_owner() is owner and stage.record.now_s() < end_s:  # noqa: ASYNC110
        await asyncio.sleep(POLL_S)


@pattern
async def mixed(stage, group):
    """Begin a fault of any kind every second or so, while others go on."""
    while True:
        group.create_task(_draw_fault(stage)(stage))
        await asyncio.sleep(stage.rng.choice((0.3, 0.8, 1.5, 3.0)))


@pattern
async def domain_cuts_and_faults(stage, group):
    """Cut off domains in series, with faults of other kinds beside."""
    group.create_task(domain_cuts(stage, group))
    while True:
        await asyncio.sleep(stage.rng.uniform(1, 4))
        group.create_task(_draw_fault(stage)(stage))


def _draw_fault(stage):
    functions, weights = zip(*FAULTS.values(), strict=True)
    return stage.rng.choices(functions, weights)[0]
