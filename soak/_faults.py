"""Kinds of faults, each a coroutine that brings one about and ends it again."""

import asyncio
import contextlib
import signal

from soak._checks import Evacuation
from soak._processes import DOMAINS
from soak._relay import STORE, Effect, Rule, pair_both_ways

__all__ = ["FAULTS", "Stage"]

FAULTS = {}
"""Kinds of faults, with their weight in a draw, by name."""
OWNER_SHARE = 0.7
"""Share of the faults of one process that hit the owner."""
EVACUATIONS_S = (3.0, 8.0, 15.0)
"""Durations of evacuations, in seconds; some end before their bound."""
RETURNS_S = (0.2, 1.2, 1.5, 1.8, 2.4)
"""Times from the return of workers that have restarted until they are cut off."""
ABSENCES_S = (4.0, 10.0, 11.0, 12.0)
"""Durations of these cuts, in seconds; most outlast a lease."""
TAKEOVER_S = 0.8
"""Time in which no successor reaches the workers after the end of an owner."""
LISTED_S = 2.5
"""Time for which the platform lists a worker that it can't reach."""
RELAYED_WITHIN_S = 2.0
"""Time since its last call to a worker for which a peer counts as one that relays.

An owner calls each worker twice a second or more.
"""
RELAY_FREEZES_S = (0.3, 8.0)
"""Bounds of the time for which such a peer is frozen."""
RETURN_ABSENCES_S = (19.0, 22.0)
"""Bounds of the time for which a peer that returns is frozen.

Members are forgotten 15 s after the 3 s in which they may be silent.
"""
RETURN_CUTS_S = (14.0, 16.0)
"""Bounds of the cut of its domain: a supported owner grants leases of 6 s for 10 s."""
RETURN_OFFSETS_S = (-1.0, 3.0)
"""Bounds of the time from that cut until the peer goes on."""
CUTS_S = (1.5, 2.5, 4.0, 5.5, 7.0, 9.0, 12.0)
"""Durations of cuts, in seconds."""
MAX_BUSY = 3
"""Largest number of processes that are stopped or down at a time."""


def fault(weight):
    """Return a decorator that registers a kind of fault."""

    def register(function):
        FAULTS[function.__name__] = (function, weight)
        return function

    return register


class Stage:
    """What faults act on, and which domains they have evacuated.

    Parameters
    ----------
    site : Site
        Store, runners and operator.
    nodes : Processes
        The processes.
    relay : Relay
        The relay.
    rng : random.Random
        Draws the details of faults.
    record : Record
        Where faults are noted.
    """

    def __init__(self, site, nodes, relay, rng, record):
        self.site = site
        self.nodes = nodes
        self.relay = relay
        self.rng = rng
        self.record = record
        self.version = 1
        self.evacuations = []

    @property
    def runners(self):
        """The runners."""
        return self.site.runners

    def find_owner(self):
        """Return the process that took the service over last."""
        return self.nodes.list_takeovers()[-1][1]

    def draw_node(self):
        """Return a process, the owner in most cases."""
        if self.rng.random() < OWNER_SHARE:
            return self.find_owner()
        return self.rng.choice(self.nodes.all)

    def draw_some(self, things, least=1):
        """Return some of several things."""
        things = list(things)
        return self.rng.sample(
            things, self.rng.randint(min(least, len(things)), len(things))
        )

    def list_peers(self, node):
        """Return the names of the other processes."""
        return [each.name for each in self.nodes.all if each is not node]

    def list_runners(self):
        """Return the names of the runners."""
        return [runner.name for runner in self.runners]

    def list_domain(self, domain):
        """Return the names of the processes and runners of a failure domain."""
        return [x.name for x in (*self.nodes.all, *self.runners) if x.domain == domain]

    def note(self, text):
        """Write a line to the record."""
        self.record.note(f"fault: {text}")

    async def apply(self, text, rule, for_s):
        """Keep a rule in force for a time."""
        self.note(f"{rule.effect.value} {text} for {for_s:.1f} s")
        self.relay.add(rule)
        try:
            await asyncio.sleep(for_s)
        finally:
            self.relay.remove(rule)
            self.note(f"healed: {rule.effect.value} {text}")

    async def cut(self, text, links, for_s=None):
        """Cut links for a time."""
        if for_s is None:
            for_s = self.rng.choice(CUTS_S)
        await self.apply(text, Rule(Effect.CUT, frozenset(links)), for_s)

    @contextlib.contextmanager
    def occupy(self, things):
        """Keep other faults of processes or runners off some of them; yield these."""
        free = [each for each in things if not each.busy]
        count = sum(node.busy for node in self.nodes.all)
        free = free[: max(0, MAX_BUSY - count)]
        for each in free:
            each.busy = True
        try:
            yield free
        finally:
            for each in free:
                each.busy = False


@fault(4)
async def cut_domain(stage, domain=None):
    """Cut a domain from the others and the store, one other at times left out."""
    rng = stage.rng
    if domain is None:
        is_owners = rng.random() < 0.8
        domain = stage.find_owner().domain if is_owners else rng.choice(DOMAINS)
    others = [each for each in DOMAINS if each != domain]
    if rng.random() < 0.25:
        others.remove(rng.choice(others))
    names = [name for each in others for name in stage.list_domain(each)]
    links = pair_both_ways(stage.list_domain(domain), [*names, STORE])
    await stage.cut(f"domain {domain} from {others} and the store", links)


@fault(2)
async def cut_domain_from_store(stage):
    """Cut the owner's domain from the store only."""
    domain = stage.find_owner().domain
    links = pair_both_ways(stage.list_domain(domain), [STORE])
    await stage.cut(f"domain {domain} from the store", links)


@fault(2)
async def cut_one_way(stage):
    """Cut one direction between two domains, or between one and the store."""
    domain = stage.draw_node().domain
    other = stage.rng.choice([x for x in (*DOMAINS, STORE) if x != domain])
    ends = [STORE] if other == STORE else stage.list_domain(other)
    links = {(a, b) for a in stage.list_domain(domain) for b in ends}
    is_inward = stage.rng.random() < 0.5
    if is_inward:
        links = {(b, a) for a, b in links}
    await stage.cut(f"{domain} and {other}, inward {is_inward}", links)


@fault(4)
async def cut_from_workers(stage, node=None):
    """Cut a process from some runners."""
    node = node or stage.draw_node()
    runners = stage.draw_some(stage.list_runners())
    links = pair_both_ways([node.name], runners)
    await stage.cut(f"{node.name} from {runners}", links)


@fault(3)
async def cut_from_store(stage, node=None):
    """Cut a process from the store."""
    node = node or stage.draw_node()
    await stage.cut(f"{node.name} from store", pair_both_ways([node.name], [STORE]))


@fault(3)
async def cut_from_peers(stage, node=None):
    """Cut a process from some others, from all at times."""
    node = node or stage.draw_node()
    peers = stage.draw_some(stage.list_peers(node), least=stage.rng.choice((1, 5)))
    links = pair_both_ways([node.name], peers)
    await stage.cut(f"{node.name} from {peers}", links)


@fault(3)
async def isolate(stage, node=None):
    """Cut a process from the store and all others, and from some runners at times."""
    node = node or stage.draw_node()
    ends = [STORE, *stage.list_peers(node)]
    if stage.rng.random() < 0.6:
        ends += stage.draw_some(stage.list_runners())
    await stage.cut(f"{node.name} from {ends}", pair_both_ways([node.name], ends))


def _draw_links(stage):
    """Return a text, and links from a process to others, to runners or to the store."""
    node = stage.draw_node()
    ends = stage.rng.choice(
        ([STORE], stage.list_peers(node), stage.draw_some(stage.list_runners()))
    )
    return f"{node.name} to {ends}", frozenset((node.name, each) for each in ends)


@fault(2)
async def delay(stage):
    """Delay all bytes between a process and others."""
    text, links = _draw_links(stage)
    links |= {(b, a) for a, b in links}
    longest_s = stage.rng.choice((0.3, 0.9, 2.5))
    rule = Rule(Effect.DELAY, links, seconds=(0.0, longest_s))
    await stage.apply(text, rule, stage.rng.uniform(2, 6))


@fault(1)
async def reset(stage):
    """Reset connections of a process at its requests."""
    text, links = _draw_links(stage)
    rule = Rule(Effect.RESET, links, share=stage.rng.choice((0.1, 0.5, 1.0)))
    await stage.apply(text, rule, stage.rng.uniform(0.5, 4))


@fault(2)
async def silence(stage):
    """Let open connections of a process go silent for good; new ones work."""
    text, links = _draw_links(stage)
    stage.note(f"open connections silent {text}")
    for connection in stage.relay.list_connections(links):
        connection.silent = True


@fault(3)
async def lose_answers(stage):
    """Let requests of a process be carried out without an answer."""
    text, links = _draw_links(stage)
    rule = Rule(Effect.LOSE, links, share=stage.rng.choice((0.2, 0.5, 1.0)))
    await stage.apply(text, rule, stage.rng.uniform(0.5, 6))


@fault(4)
async def hold_requests(stage):
    """Let requests of a process be carried out seconds later."""
    text, links = _draw_links(stage)
    share = stage.rng.choice((0.1, 0.3, 0.6))
    rule = Rule(Effect.HOLD, links, share=share, seconds=(0.5, 8.0))
    await stage.apply(text, rule, stage.rng.uniform(1, 6))


async def _restart(stage, node, number, longest_s=4):
    await node.end(number)
    await asyncio.sleep(stage.rng.uniform(0.1, longest_s))
    node.start()


@fault(2)
async def kill(stage, node=None, longest_s=4):
    """Kill a process and start it again."""
    with stage.occupy([node or stage.draw_node()]) as nodes:
        for each in nodes:
            await _restart(stage, each, signal.SIGKILL, longest_s)


@fault(2)
async def terminate(stage, node=None):
    """Stop a process gracefully and start it again."""
    with stage.occupy([node or stage.draw_node()]) as nodes:
        for each in nodes:
            await _restart(stage, each, signal.SIGTERM)


async def _freeze(stage, node, bounds_s=(1, 12)):
    node.send_signal(signal.SIGSTOP)
    try:
        await asyncio.sleep(stage.rng.uniform(*bounds_s))
    finally:
        node.send_signal(signal.SIGCONT)


@fault(3)
async def freeze(stage, node=None):
    """Stop a process for a while, and continue it."""
    with stage.occupy([node or stage.draw_node()]) as nodes:
        for each in nodes:
            await _freeze(stage, each)


@fault(1)
async def hit_several(stage):
    """Kill, stop or freeze several processes at once."""
    chosen = {stage.find_owner(), *stage.rng.sample(stage.nodes.all, 2)}
    chosen = sorted(chosen, key=lambda node: node.name)
    act = stage.rng.choice((signal.SIGKILL, signal.SIGTERM, signal.SIGSTOP))
    with stage.occupy(chosen) as nodes:
        await asyncio.gather(
            *(
                _freeze(stage, each)
                if act is signal.SIGSTOP
                else _restart(stage, each, act)
                for each in nodes
            )
        )


@fault(2)
async def crash_runner(stage, runner=None):
    """Let a runner lose power, and come back under its id, or leave the list first."""
    is_brief = runner is not None
    runner = runner or stage.rng.choice(stage.runners)
    if runner.busy:
        return
    runner.busy = True
    try:
        runner.crash()
        await asyncio.sleep(stage.rng.uniform(0.2, 0.6 if is_brief else 4.4))
        if not is_brief and stage.rng.random() < 0.4:
            stage.site.store.drop("servers", "", runner.name)
            await asyncio.sleep(stage.rng.uniform(1, 8))
    finally:
        runner.begin_life()
        stage.site.list_runner(runner)
        runner.busy = False


@fault(1)
async def refuse_at_store(stage):
    """Let the store refuse all calls."""
    stage.note("store refuses")
    stage.site.store.faults.refuse = 503
    try:
        await asyncio.sleep(stage.rng.uniform(0.5, 8))
    finally:
        stage.site.store.faults.refuse = 0
        stage.note("store accepts")


@fault(1)
async def slow_store(stage):
    """Delay all calls to the store."""
    names = [node.name for node in stage.nodes.all]
    links = pair_both_ways(names, [STORE])
    rule = Rule(Effect.DELAY, links, seconds=(0.0, stage.rng.choice((0.1, 0.4, 0.8))))
    await stage.apply("store", rule, stage.rng.uniform(2, 8))


@fault(1)
async def forget_history(stage):
    """Let the store drop its history."""
    stage.note("history dropped")
    stage.site.store.forget_history()


@fault(1)
async def configure(stage):
    """Write a configuration that moves one queue and adds another."""
    stage.version += stage.rng.randint(1, 3)
    queues = {
        "/q/": {"service": "pool"},
        "/m/": {"service": stage.rng.choice(("pool", "side"))},
        f"/n{stage.version}/": {"service": "side"},
    }
    stage.site.configure(stage.version, queues, ["pool", "side"])


@fault(1)
async def shift_clock(stage):
    """Let the time of day of a process jump."""
    node = stage.draw_node()
    offset_ms = stage.rng.choice((-3_600_000, -5_000, 5_000, 90_000, 3_600_000))
    stage.note(f"clock of {node.name} off by {offset_ms} ms")
    node.shift_clock(offset_ms)
    try:
        await asyncio.sleep(stage.rng.uniform(2, 10))
    finally:
        node.shift_clock(0)


async def evacuate_domain(stage):
    """Evacuate a domain, the owner's in most cases, and take it back.

    It is no fault to be drawn, so that the faults of other patterns stay the same.
    """
    domain = stage.draw_node().domain
    if any(each.domain == domain and each.is_open for each in stage.evacuations):
        return
    key = f"evacuate/{domain}"
    stage.site.store.put("op", "", key, {})
    evacuation = Evacuation(domain, stage.record.now_s())
    stage.evacuations.append(evacuation)
    stage.note(f"domain {domain} evacuated")
    try:
        await asyncio.sleep(stage.rng.choice(EVACUATIONS_S))
    finally:
        evacuation.ended_s = stage.record.now_s()
        stage.site.store.drop("op", "", key)
        stage.note(f"domain {domain} taken back")


async def restart_runners(stage, domain):
    """Let runners of a domain restart, and cut them off soon after.

    The owner is killed in most cases, before the runners lose power or between their
    return and the cut. It is no fault to be drawn, as `evacuate_domain`.
    """
    rng = stage.rng
    chosen = [x for x in stage.runners if (x.domain, x.service) == (domain, "pool")]
    if rng.random() < 0.4:
        chosen = stage.draw_some(chosen)
    ends_owner, is_early = rng.random() < 0.9, rng.random() < 0.15
    with stage.occupy(chosen) as runners:
        if not runners:
            return
        names = [runner.name for runner in runners]
        ends = [STORE, *(node.name for node in stage.nodes.all)]
        links = pair_both_ways(names, ends)
        try:
            async with asyncio.TaskGroup() as group:
                if ends_owner and is_early:
                    group.create_task(kill(stage, stage.find_owner(), 0.5))
                await _lose_power(stage, runners, links)
                until_cut_s = rng.choice(RETURNS_S)
                # Later, the successor reaches the runners before the cut.
                until_end_s = max(0.0, until_cut_s - rng.uniform(0, TAKEOVER_S))
                await asyncio.sleep(until_end_s)
                if ends_owner and not is_early:
                    group.create_task(kill(stage, stage.find_owner(), 0.5))
                await asyncio.sleep(until_cut_s - until_end_s)
                cut = stage.cut(f"{names} from all", links, rng.choice(ABSENCES_S))
                group.create_task(cut)
                await asyncio.sleep(LISTED_S)
                for name in names:
                    stage.site.store.drop("servers", "", name)
        finally:
            for each in runners:
                if not each.life.up:
                    each.begin_life()
                stage.site.list_runner(each)


async def _lose_power(stage, runners, links):
    """Let runners lose power and return; calls may reach the life after theirs."""
    keeps_connections = stage.rng.random() < 0.8
    hold = Rule(Effect.HOLD, links, share=0.8, seconds=(0.2, 1.5))
    cut = Rule(Effect.CUT, links)
    stage.relay.add(hold)
    await asyncio.sleep(stage.rng.uniform(0.2, 1.2))
    stage.relay.add(cut)
    for each in runners:
        each.crash(keeps_connections)
    await asyncio.sleep(stage.rng.uniform(0.3, 1.2))
    for each in runners:
        each.begin_life()
        stage.site.list_runner(each)
    stage.relay.remove(hold)
    stage.relay.remove(cut)


async def return_peer(stage):
    """Let a peer of the owner's domain be forgotten, and return as that is cut off.

    It is no fault to be drawn, as `evacuate_domain`.
    """
    rng, owner = stage.rng, stage.find_owner()
    domain = owner.domain
    peers = [x for x in stage.nodes.all if x.domain == domain and x is not owner]
    others = [x for each in DOMAINS if each != domain for x in stage.list_domain(each)]
    links = pair_both_ways(stage.list_domain(domain), [*others, STORE])
    text = f"domain {domain} from the others and the store"
    offset_s = rng.uniform(*RETURN_OFFSETS_S)
    with stage.occupy(peers) as frozen:
        for each in frozen:
            each.send_signal(signal.SIGSTOP)
        async with asyncio.TaskGroup() as group:
            try:
                await asyncio.sleep(rng.uniform(*RETURN_ABSENCES_S) - max(0, offset_s))
                if offset_s > 0:
                    cut = stage.cut(text, links, rng.uniform(*RETURN_CUTS_S))
                    group.create_task(cut)
                    await asyncio.sleep(offset_s)
            finally:
                for each in frozen:
                    each.send_signal(signal.SIGCONT)
            if offset_s <= 0:
                await asyncio.sleep(-offset_s)
                await stage.cut(text, links, rng.uniform(*RETURN_CUTS_S))


async def disturb_relaying_peer(stage):
    """Disturb a process that isn't the owner and has lately called workers.

    It is no fault to be drawn, as `evacuate_domain`.
    """
    rng, owner = stage.rng, stage.find_owner()
    since_s = asyncio.get_running_loop().time() - RELAYED_WITHIN_S
    served = [each.name for each in stage.runners if each.service == "pool"]
    callers = stage.relay.list_callers(served, since_s)
    peers = [x for x in stage.nodes.all if x.name in callers and x is not owner]
    stage.note(f"owner {owner.name}, workers called by {[x.name for x in peers]} too")
    if not peers:
        return
    peer = rng.choice(peers)
    near = [x.name for x in stage.runners if x.domain == peer.domain]
    ends = rng.choice(([owner.name], stage.draw_some(near)))
    links = pair_both_ways([peer.name], ends)
    text = f"{peer.name} and {ends}"
    way = rng.choice(("freeze", "freeze", "kill", "cut", "cut", "delay", "hold"))
    if way == "freeze":
        with stage.occupy([peer]) as frozen:
            for each in frozen:
                await _freeze(stage, each, RELAY_FREEZES_S)
    elif way == "kill":
        await kill(stage, peer)
    elif way == "cut":
        await stage.cut(text, links)
    elif way == "delay":
        rule = Rule(Effect.DELAY, links, seconds=(0.0, rng.choice((0.1, 0.4, 1.5))))
        await stage.apply(text, rule, rng.uniform(2, 6))
    else:
        rule = Rule(Effect.HOLD, links, share=0.3, seconds=(0.5, 8.0))
        await stage.apply(text, rule, rng.uniform(1, 6))
