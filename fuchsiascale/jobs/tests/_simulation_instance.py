"""Instances of the job service, each a process of a simulation."""

import asyncio

from fuchsiascale.jobs import (
    Acknowledgement,
    JobRequestHandler,
    ListedWorker,
    OwnerLimits,
    OwnershipManager,
    Ping,
    RelayCommit,
    RelayedStore,
    RelayRead,
    RelayWrite,
    SilenceWatch,
    StoreSilence,
    WorkerListing,
    answer_relay,
    decode_row,
)
from fuchsiascale.jobs.tests._simulation_loop import Process
from fuchsiascale.jobs.tests._simulation_operator import EVACUATIONS
from fuchsiascale.jobs.tests._simulation_relays import Relays
from fuchsiascale.jobs.tests._simulation_store import StoreClient
from fuchsiascale.jobs.tests._simulation_worker import SERVERS, WorkerClient
from fuchsiascale.testing import LoopClock

__all__ = ["Instance"]

HANDOVER_LIMIT_S = 2.6
"""Time after which an instance that stops gives up to hand over."""


class _Peers:
    """The other instances as called by one; see `PeerClient`."""

    def __init__(self, simulation, name):
        self._simulation = simulation
        self._name = name

    async def ask(self, address, message, timeout_s):
        async def answer():
            peer = self._simulation.instances.get(address)
            if peer is None:
                return "refused"
            return await peer.process.spawn(peer.answer(message))

        reply = await self._simulation.network.call(
            self._name, address, answer, timeout_s
        )
        return None if reply == "refused" else reply


class Instance:
    """One process of the job service.

    Parameters
    ----------
    simulation : Simulation
        What it is part of.
    address : str
        Its address, which is also its endpoint in the network.
    domain : str
        Its failure domain.
    """

    def __init__(self, simulation, address, domain):
        self.address = address
        self.domain = domain
        self.service = simulation.service
        self.process = Process()
        self.is_stopping = False
        clock = LoopClock()
        name = f"{address}/{simulation.count_starts()}"
        network = simulation.network
        silence = StoreSilence(clock)
        self.relays = (
            Relays(simulation, address, name, clock) if simulation.relays else None
        )
        self.direct = StoreClient(network, address, simulation.store, silence)
        peers = _Peers(simulation, address)
        self.store = RelayedStore(
            self.direct, peers, lambda: self.ownership.members(), clock, silence
        )
        self.ownership = OwnershipManager(
            Ping(
                instance=address,
                incarnation=name,
                address=address,
                strength=simulation.get_strength(address),
                domain=domain,
            ),
            self.store,
            WorkerClient(simulation, address, name),
            peers,
            WorkerListing(SERVERS, lambda row: decode_row(row.value, ListedWorker)),
            OwnerLimits(longest_lease_s=simulation.longest_lease_s),
            clock,
            connect_relay=self.relays.connect if self.relays else None,
            silence=silence,
            evacuations=EVACUATIONS if simulation.evacuates else None,
        )
        self.request_handler = JobRequestHandler(
            self.store,
            self.ownership,
            clock,
            silence=silence,
            loads=self.ownership.loads,
        )
        self.silence_watch = SilenceWatch(
            self.store, silence, "op", self.request_handler.refuse_queued
        )
        self.process.spawn(self.silence_watch.run())
        if self.relays:
            self.process.spawn(self.relays.worker_relay.run())
        self.process.spawn(self._run())

    async def _run(self):
        self.ownership.watch([self.service])
        await self.store.run_checks("op")

    @property
    def owner(self):
        """Return the owner that runs here; None if there is none."""
        return self.ownership.owners.get(self.service)

    async def answer(self, message):
        """Return the reply to a peer, as the application does."""
        if isinstance(message, RelayCommit | RelayRead):
            return await answer_relay(self.direct, message)
        if isinstance(message, RelayWrite):
            return await self.request_handler.commit_for_peer(message)
        if self.is_stopping and not self.ownership.owners:
            return Acknowledgement(False)
        return await self.ownership.answer(message)

    async def stop(self):
        """Stop as after SIGTERM: hand over, answer for a while, and end."""
        self.is_stopping = True
        if self.relays:
            self.relays.worker_relay.stop()
        began_s = LoopClock().monotonic()
        try:
            async with asyncio.timeout(HANDOVER_LIMIT_S):
                await self.ownership.hand_over()
        except TimeoutError:
            pass
        left_s = HANDOVER_LIMIT_S - (LoopClock().monotonic() - began_s)
        await asyncio.sleep(max(0.0, left_s))
        await self.ownership.stop()
