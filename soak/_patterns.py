"""Orders in which faults follow each other in a play."""

import asyncio

from soak import _faults
from soak._faults import FAULTS
from soak._processes import DOMAINS
from soak._relay import STORE, Effect, Rule, pair_both_ways

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


@pattern
async def forgotten_tokens(stage, group):
    """Let an owner that is cut off reach workers that have forgotten a later token.

    The owner and a peer that supports it are cut from the store and the others. The
    owner is cut from all workers too until its successor has called them and some of
    them have restarted.
    """
    rng = stage.rng
    while True:
        owner = stage.find_owner()
        allies = [x.name for x in stage.nodes.all if x.domain == owner.domain]
        others = [STORE, *(x.name for x in stage.nodes.all if x.name not in allies)]
        for_s = rng.uniform(6, 9)
        links = pair_both_ways(allies, others)
        group.create_task(stage.cut(f"{allies} from {others}", links, for_s))
        restarted = stage.draw_some(stage.runners)
        names = [runner.name for runner in restarted]
        kept = [name for name in stage.list_runners() if name not in names]
        links = pair_both_ways([owner.name], kept)
        group.create_task(stage.cut(f"{owner.name} from {kept}", links, for_s))
        rule = Rule(Effect.CUT, pair_both_ways([owner.name], names))
        stage.relay.add(rule)
        stage.note(f"cut {owner.name} from {names} until these have restarted")
        await _wait_for_takeover(stage, owner)
        await asyncio.sleep(rng.uniform(0.2, 1.5))
        await asyncio.gather(*(_faults.crash_runner(stage, x) for x in restarted))
        stage.relay.remove(rule)
        stage.note(f"healed: {owner.name} and {names}")
        await asyncio.sleep(rng.uniform(6, 12))


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
    await _bring_faults(stage, group)


@pattern
async def evacuations(stage, group):
    """Evacuate domains and take them back, with faults of other kinds beside."""
    group.create_task(_bring_faults(stage, group))
    while True:
        group.create_task(_faults.evacuate_domain(stage))
        await asyncio.sleep(stage.rng.choice((1.0, 4.0, 9.0)))


@pattern
async def restarted_workers(stage, group):
    """Restart workers of domains under their ids, and cut them off soon after."""
    while True:
        domain = stage.rng.choice(DOMAINS)
        group.create_task(_faults.restart_runners(stage, domain))
        await asyncio.sleep(stage.rng.choice((2.0, 12.0, 15.0)))


@pattern
async def returning_peers(stage, group):
    """Let peers that were forgotten return while they are cut off with the owner."""
    while True:
        await _faults.return_peer(stage)
        await asyncio.sleep(stage.rng.uniform(0, 3))


@pattern
async def relayed_calls(stage, group):
    """Disturb peers that relay calls, beside takeovers and restarts of workers."""
    group.create_task(takeovers(stage, group))
    group.create_task(restarted_workers(stage, group))
    while True:
        group.create_task(_faults.disturb_relaying_peer(stage))
        await asyncio.sleep(stage.rng.choice((0.5, 1.5, 3.0)))


@pattern
async def slow_stores(stage, group):
    """Slow the store down in series while callers leave, beside other faults."""
    group.create_task(_bring_faults(stage, group))
    while True:
        await _faults.slow_store(stage)
        await asyncio.sleep(stage.rng.uniform(0.2, 2))


async def _bring_faults(stage, group):
    while True:
        await asyncio.sleep(stage.rng.uniform(1, 4))
        group.create_task(_draw_fault(stage)(stage))


def _draw_fault(stage):
    functions, weights = zip(*FAULTS.values(), strict=True)
    return stage.rng.choices(functions, weights)[0]
