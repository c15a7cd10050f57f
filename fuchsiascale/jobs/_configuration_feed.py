"""Keeps the configuration the newest, by the store or by a peer that follows it."""

import asyncio
import math
import random

import logbook
import xxhash

from fuchsiascale.jobs._configuration import unpack_change
from fuchsiascale.jobs._peer_messages import (
    ConfigurationFreshness,
    ConfigurationQuery,
    ConfigurationReply,
)

__all__ = ["ConfigurationFeed"]

STALE_S = 1.2
"""Age of the configuration from which an instance asks others than the owner. An
owner's is 0.5 s old at most, and heard of every 0.3 s; a version has to be in force
within 2.5 s."""
LOOK_PERIOD_S = 0.1
"""Period in which the age is looked at."""
FETCH_TIMEOUT_S = 0.8
"""Time for an owner to begin its answer."""
ASK_TIMEOUT_S = 0.4
"""Time for any other peer to begin its answer."""
MAX_PEERS = 2
"""Peers asked at once where the owner can't be."""
RANK_DELAY_S = 0.2
"""Delay between the instances of a region to ask the store: the time of 740 KB, a
configuration with 2,800 queues, over 30 Mbit/s."""
MAX_RANK = 4
"""Rank from which all ask the store at once: 0.8 s later than the first."""


class ConfigurationFeed:
    """Keeps the configuration the newest.

    The store sends a configuration whole, 430 KB with 1,650 queues, and all instances
    of a region share a narrow link to it. So only the owners of services follow the
    store. The others hear of a version by the answers to their pings and ask the owner
    for what has changed, in compressed form. Each instance knows how old its knowledge
    is. Once that is too old it asks peers of its region, and then the store itself, one
    instance after the other.

    Parameters
    ----------
    table : TableWatch
        The operator's table.
    watch : ConfigurationWatch
        The configuration in force.
    peers : PeerPort
        Calls to other instances.
    offices : Offices
        Who owns services, and which peers are alive.
    seeds : sequence of str
        Addresses of peers to ask at the start, when none is known.
    clock : Clock
        Source of time.
    on_change : callable
        Called after a version has come into force by a peer.
    """

    def __init__(self, table, watch, peers, offices, seeds, clock, on_change):
        self.table = table
        self.watch = watch
        self.peers = peers
        self.offices = offices
        self.clock = clock
        self.log = logbook.Logger("configuration")
        self._seeds = seeds
        self._on_change = on_change
        self._told_s = None
        self._fetch_task = None

    def age_s(self):
        """Return how long ago the version was known to be the newest; None: never."""
        known = [
            at for at in (self._told_s, self.table.current_as_of_s) if at is not None
        ]
        return self.clock.monotonic() - max(known) if known else None

    async def run(self):
        """Keep the configuration the newest until cancelled."""
        while True:
            if self.offices.owners:
                await self._ask_store()
            elif self._overdue_s() <= 0:
                await asyncio.sleep(LOOK_PERIOD_S)
            elif not await self._ask_peers(self._find_near()):
                if self._overdue_s() > self._rank() * RANK_DELAY_S:
                    await self._ask_store()
                else:
                    await asyncio.sleep(LOOK_PERIOD_S)

    def _overdue_s(self):
        """Return for how long the configuration has been too old; 0 if it is not."""
        age_s = self.age_s()
        return math.inf if age_s is None else max(0.0, age_s - STALE_S)

    async def _ask_store(self):
        if not await self.table.poll():
            members = self.offices.members()
            await self._ask_peers(random.sample(members, min(MAX_PEERS, len(members))))

    def _order_near(self):
        """Return the instances of this region in an order that all of them agree on."""
        own = self.offices.identity.address
        return sorted(
            {own, *self.offices.near_members()},
            key=lambda address: xxhash.xxh64_intdigest(address.encode()),
        )

    def _rank(self):
        return min(MAX_RANK, self._order_near().index(self.offices.identity.address))

    def _find_near(self):
        """Return the peers to ask before the store: those that ask it first."""
        if self.age_s() is None:
            return self._seeds
        own = self.offices.identity.address
        return [each for each in self._order_near() if each != own][:MAX_PEERS]

    # What peers are told ---------------------------------------------------------

    def get_freshness(self):
        """Return what this instance says of its configuration; None if it has none."""
        age_s = self.age_s()
        if not self.watch.version or age_s is None:
            return None
        return ConfigurationFreshness(
            version=self.watch.version, position=self.table.store_version, age_s=age_s
        )

    def answer(self, query):
        """Return the answer to a peer that asks for the configuration."""
        mark = self.get_freshness()
        if mark is None or query.known >= mark.version:
            return ConfigurationReply(mark)
        return ConfigurationReply(mark, self.watch.pack_change_from(query.known))

    # What peers tell -------------------------------------------------------------

    def apply_freshness(self, address, mark, asked_s):
        """Take in what a peer said of its configuration when asked at a time."""
        if mark is None or self._confirm(mark, asked_s):
            return
        if mark.version > self.watch.version and self._fetch_task is None:
            self._fetch_task = asyncio.create_task(self._fetch(address))
            self._fetch_task.add_done_callback(self._note_fetched)

    def _confirm(self, mark, asked_s):
        """Take over a peer's certainty about the version that is in force here."""
        if mark.version != self.watch.version:
            return False
        current_s = asked_s - mark.age_s
        if self._told_s is None or current_s > self._told_s:
            self._told_s = current_s
        self.table.resume_from(mark.position)
        return True

    def _note_fetched(self, task):
        self._fetch_task = None
        if not task.cancelled() and task.exception() is not None:
            error = task.exception()
            self.log.error("configuration not taken: {!r}", error, exc_info=error)

    async def _fetch(self, address, timeout_s=FETCH_TIMEOUT_S):
        """Ask a peer for what has changed; returns whether that made up for the age."""
        asked_s = self.clock.monotonic()
        query = ConfigurationQuery(self.watch.version)
        reply = await self.peers.ask(address, query, timeout_s)
        if not isinstance(reply, ConfigurationReply):
            self.log.info(
                "configuration not told",
                extra={"peer": address, "version": self.watch.version},
            )
            return False
        if reply.packed:
            self._take(address, reply.packed)
        if reply.mark is not None:
            self._confirm(reply.mark, asked_s)
        return self._overdue_s() <= 0

    def _take(self, address, packed):
        change = unpack_change(packed)
        if change is None:
            self.log.error("unreadable change", extra={"peer": address})
        elif self.watch.apply_peer_change(change, address, len(packed)):
            self._on_change()

    async def _ask_peers(self, addresses):
        """Ask peers at once; returns whether what is known is new enough after that."""
        own = self.offices.identity.address
        await asyncio.gather(
            *(self._fetch(each, ASK_TIMEOUT_S) for each in addresses if each != own)
        )
        return self._overdue_s() <= 0

    def cancel(self):
        """End what runs in the background."""
        if self._fetch_task is not None:
            self._fetch_task.cancel()
