"""The operator of a simulation, who evacuates failure domains and takes them back."""

import asyncio
import random

from fuchsiascale.jobs import EvacuationListing, RowKey
from fuchsiascale.jobs.tests._simulation_store import StoreState

__all__ = ["EVACUATIONS", "EVACUATION_BOUND_S", "Operator"]

EVACUATION_BOUND_S = 5.0
PREFIX = "evacuate/"
EVACUATIONS = EvacuationListing(
    "op",
    PREFIX,
    "evacuate0",
    lambda row: row.place.key.removeprefix(PREFIX),
    EVACUATION_BOUND_S,
)
LASTS_S = (2.0, 7.0, 12.0, 20.0)
PAUSES_S = (0.2, 2.0, 6.0)
RETRY_S = 0.1
"""Time after which a request is repeated that the store has not taken."""


class Operator:
    """Evacuates domains, several at a time, until a time.

    Parameters
    ----------
    simulation : Simulation
        What it is part of.
    domains : str
        Names of the domains.
    """

    def __init__(self, simulation, domains):
        self._simulation = simulation
        self._domains = domains
        self._rng = random.Random(f"operator {simulation.seed}")

    async def run(self, until_s):
        """Evacuate domains and take all of them back in the end."""
        try:
            async with asyncio.timeout_at(until_s):
                await asyncio.gather(*(self._play() for _ in range(2)))
        except TimeoutError:
            pass
        for domain in list(self._simulation.record.evacuated_s):
            await self._take_back(domain)

    async def _play(self):
        while True:
            await asyncio.sleep(self._rng.choice(PAUSES_S))
            domain = self._rng.choice(self._domains)
            if domain in self._simulation.record.evacuated_s:
                continue
            await self._write(domain, b"{}")
            self._simulation.record.note_evacuated(domain)
            await asyncio.sleep(self._rng.choice(LASTS_S))
            await self._take_back(domain)

    async def _take_back(self, domain):
        self._simulation.record.note_taken_back(domain)
        await self._write(domain, None)

    async def _write(self, domain, value):
        """Write a row, or remove it, once the store takes it."""
        store = self._simulation.store
        while store.state not in (StoreState.USUAL, StoreState.SLOW):  # noqa: ASYNC110
            await asyncio.sleep(RETRY_S)
        store.put(RowKey("op", "", PREFIX + domain), value)
