"""Faults of a simulation that hit peers that relay calls, and change their number."""

import asyncio
import random

__all__ = ["RelayFaults"]

PAUSES_S = (0.3, 0.5, 0.7, 1.0, 1.5, 3.0, 6.0, 12.0)
CUTS_S = (0.3, 0.7, 1.0, 1.5, 2.5, 5.0, 9.0)
KINDS = {"pause": 4, "kill": 2, "cut_from_owner": 4, "cut_from_workers": 4}
"""Weights of the kinds of episodes; each is the name of a method of `RelayFaults`."""
WORKERS = (7, 8, 9, 9, 10, 11)
"""Numbers of workers; instances of a simulation with relays call up to 8 directly."""


class RelayFaults:
    """Draws episodes from a source of its own, so that the others stay the same.

    Parameters
    ----------
    simulation : Simulation
        What they happen to.
    """

    def __init__(self, simulation):
        self._simulation = simulation
        self._rng = rng = random.Random(f"relays {simulation.seed}")
        self._weights = [weight * rng.choice((0, 1, 1, 3)) for weight in KINDS.values()]
        if not any(self._weights):
            self._weights = list(KINDS.values())
        self._pause_s = rng.choice((0.5, 2.0, 6.0))

    async def run(self, until_s):
        """Play episodes that begin before a time."""
        await asyncio.gather(self._hit_relays(until_s), self._change_workers(until_s))

    async def _hit_relays(self, until_s):
        loop = asyncio.get_running_loop()
        while loop.time() < until_s:
            await asyncio.sleep(self._rng.uniform(0.1, 2.0) * self._pause_s)
            relaying = [
                (owner, self._simulation.instances[address])
                for owner in self._simulation.list_owners()
                for address in owner.relays.list_peers()
                if address in self._simulation.instances
            ]
            if relaying:
                (kind,) = self._rng.choices(list(KINDS), self._weights)
                await getattr(self, kind)(*self._rng.choice(relaying))

    async def pause(self, owner, peer):
        """Pause the process of a peer."""
        if peer.process.is_paused:
            return
        seconds = self._rng.choice(PAUSES_S) * self._rng.uniform(0.8, 1.0)
        self._note(f"relaying {peer.address} frozen for {seconds:.1f} s")
        peer.process.pause()
        self._simulation.network.disturb([peer.address])
        await asyncio.sleep(seconds)
        self._note(f"relaying {peer.address} goes on")
        peer.process.resume(self._rng.random() < 0.5)
        self._simulation.network.disturb([peer.address])

    async def kill(self, owner, peer):
        """Kill a peer, and start it again."""
        self._note(f"relaying {peer.address} killed")
        self._simulation.kill(peer)
        await asyncio.sleep(self._rng.choice((0.1, 0.3, 1.0, 4.0)))
        if peer.address not in self._simulation.instances:
            self._simulation.start_instance(peer.address, peer.domain)

    async def cut_from_owner(self, owner, peer):
        """Cut a peer off from the owner only."""
        await self._cut(owner.address, [peer.address])

    async def cut_from_workers(self, owner, peer):
        """Cut a peer off from some workers of its domain only."""
        workers = [
            each.name
            for each in self._simulation.workers.values()
            if each.domain == peer.domain and self._rng.random() < 0.6
        ]
        await self._cut(peer.address, workers)

    async def _cut(self, one, others):
        """Cut links in both directions, or in one of them."""
        there = [(one, other) for other in others]
        back = [(other, one) for other in others]
        pairs = self._rng.choice((there, back, there + back, there + back))
        seconds = self._rng.choice(CUTS_S) * self._rng.uniform(0.8, 1.2)
        self._note(f"cut {pairs} for {seconds:.1f} s")
        network = self._simulation.network
        network.cut(pairs)
        await asyncio.sleep(seconds)
        network.heal(pairs)
        self._note(f"healed {pairs}")

    async def _change_workers(self, until_s):
        """Let workers join and leave, so that calls are relayed and then are not."""
        loop = asyncio.get_running_loop()
        while loop.time() < until_s:
            await asyncio.sleep(self._rng.uniform(1.0, 9.0))
            wanted = self._rng.choice(WORKERS)
            present = [each for each in self._simulation.workers.values() if each.is_up]
            for _ in range(wanted - len(present)):
                domains = sorted(set(self._simulation.domains.values()))
                self._simulation.add_worker(self._rng.choice(domains))
            for worker in self._rng.sample(present, max(0, len(present) - wanted)):
                self._note(f"{worker.name} leaves")
                worker.is_draining = self._rng.random() < 0.7
                if worker.is_draining:
                    await asyncio.sleep(self._rng.uniform(1.0, 5.0))
                if worker.is_up:
                    worker.crash()

    def _note(self, text):
        self._simulation.record.note(f"--- {text}")
