"""Faults of a simulation: episodes in series, of which several overlap."""

import asyncio
import random

from fuchsiascale.jobs.tests._simulation_network import LinkFaults
from fuchsiascale.jobs.tests._simulation_store import STORE, StoreState

__all__ = ["Faults"]

CUTS_S = (0.7, 1.5, 2.5, 4.0, 5.5, 5.5, 7.0, 9.0, 12.0, 16.0)
PAUSES_S = (0.0, 0.5, 1.0, 3.0, 6.0)
FREEZES_S = (1.0, 12.0)
OWNER_SHARE = 0.7
"""Share of the episodes that hit the owner, or its domain."""
KINDS = {
    "cut_domain": 8,
    "cut_store": 5,
    "cut_links": 6,
    "kill": 3,
    "stop": 3,
    "freeze": 4,
    "crash_worker": 3,
    "drain_worker": 1,
    "disturb_store": 3,
    "disturb_links": 3,
    "drop_history": 1,
}
"""Weights of the kinds of episodes; each is the name of a method of `Faults`."""


class Faults:
    """Draws and plays episodes until cancelled.

    Parameters
    ----------
    simulation : Simulation
        What they happen to.
    """

    def __init__(self, simulation):
        self._simulation = simulation
        self._rng = rng = random.Random(f"faults {simulation.seed}")
        self._weights = {
            kind: weight * rng.choice((0, 0, 1, 3)) for kind, weight in KINDS.items()
        }
        if not any(self._weights.values()) or rng.random() < 0.3:
            self._weights = {"cut_domain": 3, "cut_store": 1, "cut_links": 1}
        self._tracks = rng.choice((1, 1, 2, 3))

    async def run(self, until_s):
        """Play episodes that begin before a time."""
        await asyncio.gather(*(self._play(until_s) for _ in range(self._tracks)))

    async def _play(self, until_s):
        loop = asyncio.get_running_loop()
        kinds, weights = list(self._weights), list(self._weights.values())
        while loop.time() < until_s:
            await asyncio.sleep(self._rng.choice(PAUSES_S) + 0.1 * self._rng.random())
            (kind,) = self._rng.choices(kinds, weights)
            await getattr(self, kind)()

    async def restart_workers(self, until_s):
        """Restart workers under their ids and cut them off soon after, in series.

        Calls to them may be held back past the restart. The owner is killed in between
        at times. It draws from a source of its own, so that the other faults of a seed
        stay the same.
        """
        rng = random.Random(f"restarts {self._simulation.seed}")
        late = rng.choice((0.0, 0.1, 0.4))
        loop = asyncio.get_running_loop()
        while loop.time() < until_s:
            await asyncio.sleep(rng.uniform(0.5, 6.0))
            domain = rng.choice(sorted(set(self._simulation.domains.values())))
            workers = [
                each
                for each in self._simulation.workers.values()
                if each.domain == domain and each.is_up
            ]
            if workers:
                await self._restart_and_cut(rng, workers, late)

    async def return_in_cut_domain(self, until_s):
        """Freeze an instance beside the owner until the others have forgotten it.

        It goes on after their domain has been cut off, so that the owner knows it again
        and nobody else does.
        """
        rng = random.Random(f"returns {self._simulation.seed}")
        loop = asyncio.get_running_loop()
        while loop.time() < until_s:
            await asyncio.sleep(rng.uniform(0.0, 3.0))
            await self._return_in_cut_domain(rng)

    async def _return_in_cut_domain(self, rng):
        owners = self._simulation.list_owners()
        instances = self._simulation.instances.values()
        peers = [
            each
            for each in instances
            if owners and each.domain == owners[0].domain and each is not owners[0]
        ]
        if not peers:
            return
        domain, peer = peers[0].domain, rng.choice(peers)
        self._note(f"{peer.address} frozen")
        peer.process.pause()
        await asyncio.sleep(rng.uniform(12.0, 24.0))
        cut = self._simulation.spawn(self._cut_both_ways(domain, 16.0))
        await asyncio.sleep(rng.uniform(-1.0, 3.0))
        self._note(f"{peer.address} goes on")
        peer.process.resume()
        await cut

    async def _cut_both_ways(self, domain, seconds):
        """Cut a domain off from the others and from the store."""
        network = self._simulation.network
        pairs = self._pair_across(domain)
        pairs += [(other, one) for one, other in pairs]
        self._note(f"cut domain {domain} for {seconds:.1f} s")
        network.cut(pairs)
        await asyncio.sleep(seconds)
        network.heal(pairs)
        self._note(f"healed domain {domain}")

    def _pair_across(self, domain):
        """Return the links from a domain to the others and to the store."""
        domains = self._simulation.domains
        inside = [name for name in domains if domains[name] == domain]
        outside = [STORE, *(name for name in domains if name not in inside)]
        return [(one, other) for one in inside for other in outside]

    async def _restart_and_cut(self, rng, workers, late):
        """Restart workers, and cut them off 0.2 s to 3 s later."""
        network = self._simulation.network
        names = [each.name for each in workers]
        if late:
            network.faults.update(dict.fromkeys(names, LinkFaults(late=late)))
        await asyncio.sleep(rng.uniform(0.0, 1.0))
        for worker in workers:
            if worker.is_up:
                worker.crash()
        await asyncio.sleep(rng.uniform(0.1, 1.2))
        for worker in workers:
            if not worker.is_up:
                worker.start_again()
        await asyncio.sleep(rng.uniform(0.2, 2.0))
        if rng.random() < 0.6:
            self._simulation.spawn(self._kill_owner(rng))
        await asyncio.sleep(rng.uniform(0.0, 1.0))
        others = [name for name in self._simulation.domains if name not in names]
        pairs = [(a, b) for a in names for b in (*others, STORE)]
        pairs += [(b, a) for a, b in pairs]
        seconds = rng.uniform(4.0, 12.0)
        self._note(f"cut {names} for {seconds:.1f} s after their restart")
        network.cut(pairs)
        for name in names:
            network.faults.pop(name, None)
        await asyncio.sleep(seconds)
        network.heal(pairs)
        self._note(f"healed {names}")

    async def _kill_owner(self, rng):
        """Kill the owner, and start the instance again."""
        for instance in self._simulation.list_owners()[:1]:
            self._note(f"{instance.address} killed")
            self._simulation.kill(instance)
            await asyncio.sleep(rng.choice((0.3, 0.5, 3.0)))
            if instance.address not in self._simulation.instances:
                self._simulation.start_instance(instance.address, instance.domain)

    def _note(self, text):
        self._simulation.record.note(f"--- {text}")

    def _choose_instance(self):
        owners = self._simulation.list_owners()
        if owners and self._rng.random() < OWNER_SHARE:
            return self._rng.choice(owners)
        running = list(self._simulation.instances.values())
        return self._rng.choice(running) if running else None

    def _draw_cut_s(self):
        return self._rng.choice(CUTS_S) * self._rng.uniform(0.8, 1.2)

    async def _cut(self, pairs, what):
        """Cut links in both directions, or in one of them."""
        one_way = self._rng.random() < 0.25
        pairs = [
            each
            for one, other in pairs
            for each in (((one, other),) if one_way else ((one, other), (other, one)))
        ]
        if one_way and self._rng.random() < 0.5:
            pairs = [(other, one) for one, other in pairs]
        seconds = self._draw_cut_s()
        direction = "one way" if one_way else "both ways"
        self._note(f"cut {what} for {seconds:.1f} s, {direction}")
        network = self._simulation.network
        network.cut(pairs)
        await asyncio.sleep(seconds)
        network.heal(pairs)
        self._note(f"healed {what}")

    async def cut_domain(self):
        """Cut a domain off from the others and from the store."""
        instance = self._choose_instance()
        if instance is not None:
            pairs = self._pair_across(instance.domain)
            await self._cut(pairs, f"domain {instance.domain}")

    async def cut_store(self):
        """Cut an instance, or the instances of a domain, off from the store."""
        instance = self._choose_instance()
        if instance is not None:
            names = [instance.address]
            if self._rng.random() < 0.5:
                names = [
                    each.address
                    for each in self._simulation.instances.values()
                    if each.domain == instance.domain
                ]
            await self._cut([(name, STORE) for name in names], f"store from {names}")

    async def cut_links(self):
        """Cut an instance off from some workers, instances and perhaps the store."""
        instance = self._choose_instance()
        if instance is not None:
            share = self._rng.choice((0.15, 0.4, 0.8))
            others = [STORE, *self._simulation.domains]
            others = [
                each
                for each in others
                if each != instance.address and self._rng.random() < share
            ]
            pairs = [(instance.address, other) for other in others]
            await self._cut(pairs, f"{instance.address} from {' '.join(others)}")

    async def kill(self):
        """Kill an instance, and start it again."""
        instance = self._choose_instance()
        if instance is not None:
            self._note(f"{instance.address} killed")
            self._simulation.kill(instance)
            await self._start_again(instance)

    async def stop(self):
        """Stop an instance gracefully, and start it again."""
        instance = self._choose_instance()
        if instance is not None and not instance.is_stopping:
            self._note(f"{instance.address} stops")
            stopping = instance.process.spawn(instance.stop())
            await asyncio.wait({stopping}, timeout=6.0)
            self._note(f"{instance.address} has stopped")
            self._simulation.kill(instance)
            await self._start_again(instance)

    async def _start_again(self, instance):
        await asyncio.sleep(self._rng.choice((0.3, 1.0, 3.0, 8.0)))
        # Another episode may have killed it meanwhile, and started it again.
        if instance.address not in self._simulation.instances:
            self._simulation.start_instance(instance.address, instance.domain)

    async def freeze(self):
        """Freeze an instance."""
        instance = self._choose_instance()
        if instance is not None and not instance.process.is_paused:
            seconds = self._rng.uniform(*FREEZES_S)
            self._note(f"{instance.address} frozen for {seconds:.1f} s")
            instance.process.pause()
            self._simulation.network.disturb([instance.address])
            await asyncio.sleep(seconds)
            self._note(f"{instance.address} goes on")
            instance.process.resume(self._rng.random() < 0.5)
            self._simulation.network.disturb([instance.address])

    async def crash_worker(self):
        """Crash a worker, which starts again under its id or is gone."""
        worker = self._rng.choice(list(self._simulation.workers.values()))
        if worker.is_up:
            worker.crash()
            await asyncio.sleep(self._rng.choice((0.1, 0.5, 2.0, 5.0)))
            if self._rng.random() < 0.8:
                worker.start_again()
            else:
                self._simulation.add_worker(worker.domain)

    async def drain_worker(self):
        """Drain a worker, which then leaves; another one joins."""
        worker = self._rng.choice(list(self._simulation.workers.values()))
        if worker.is_up:
            self._note(f"{worker.name} drains")
            worker.is_draining = True
            await asyncio.sleep(self._rng.uniform(2.0, 8.0))
            if worker.is_up and worker.is_draining:
                worker.crash()
            self._simulation.add_worker(worker.domain)

    async def disturb_store(self):
        """Let the store be slow, refuse or answer nothing."""
        store = self._simulation.store
        states = (StoreState.SLOW, StoreState.REFUSING, StoreState.SILENT)
        store.state = self._rng.choice(states)
        self._note(f"store {store.state.value}")
        await asyncio.sleep(self._draw_cut_s())
        store.state = StoreState.USUAL
        self._simulation.network.disturb([STORE])
        self._note("store usual")

    async def disturb_links(self):
        """Let the links of some endpoints lose and delay messages."""
        network = self._simulation.network
        names = [STORE, *self._simulation.domains]
        chosen = self._rng.sample(names, self._rng.randint(1, 5))
        faults = LinkFaults(
            lost=self._rng.choice((0.0, 0.05, 0.3)),
            late=self._rng.choice((0.0, 0.05, 0.3)),
            slow=self._rng.choice((0.05, 0.5)),
        )
        self._note(f"links of {chosen}: {faults}")
        for name in chosen:
            network.faults[name] = faults
        await asyncio.sleep(self._draw_cut_s())
        for name in chosen:
            network.faults.pop(name, None)
        network.disturb(chosen)
        self._note(f"links of {chosen} usual")

    async def drop_history(self):
        """Let the store drop its history."""
        self._note("history dropped")
        self._simulation.store.drop_history()
        await asyncio.sleep(0.5)
