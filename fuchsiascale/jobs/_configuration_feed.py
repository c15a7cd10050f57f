"""Keeps the configuration up to date, from the store or from peers."""

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

STALE_AGE_S = 1.2
"""Age from which an instance asks others than the owner for the configuration. The
owner's configuration is at most 0.5 s old, and pings report it every 0.3 s; a new
version has to be in force within 2.5 s."""
CHECK_PERIOD_S = 0.1
"""Period in which the age is checked."""
OWNER_TIMEOUT_S = 0.8
"""Time within which an owner has to begin its answer."""
PEER_TIMEOUT_S = 0.4
"""Time within which any other peer has to begin its answer."""
MAX_PEERS = 2
"""Maximum number of peers asked concurrently when the owner doesn't answer."""
RANK_DELAY_S = 0.2
"""Delay between the store reads of two instances of a region: the transfer time of
740 KB, a configuration with 2,800 queues, over 30 Mbit/s."""
MAX_RANK = 4
"""Rank from which instances no longer wait for each other: they read the store 0.8 s
later than the first."""


class ConfigurationFeed:
    """Keeps the configuration up to date.

    The store always sends the complete configuration, 430 KB with 1,650 queues, and all
    instances of a region share a narrow link to it. Therefore only the owners of
    services follow the store. The other instances learn the newest version from the
    answers to their pings, and fetch the compressed changes from the owner.

    Each instance tracks how long ago its version was confirmed to be the newest. Once
    that is too long ago, it asks peers of its region and then the store. The instances
    of a region read the store one after the other, to share the link.

    Parameters
    ----------
    table : TableWatch
        The operator's table.
    watch : ConfigurationWatch
        The configuration in force.
    peers : PeerClient
        Calls to other instances.
    ownership : OwnershipManager
        The services owned by this instance, and the live peers.
    seeds : sequence of str
        Addresses of the peers to ask at the start, when no others are known.
    clock : Clock
        Source of time.
    on_change : callable
        Called after a version from a peer has come into force.
    """

    def __init__(self, table, watch, peers, ownership, seeds, clock, on_change):
        self.table = table
        self.watch = watch
        self.peers = peers
        self.ownership = ownership
        self.clock = clock
        self.log = logbook.Logger("configuration")
        self._seeds = seeds
        self._on_change = on_change
        self._confirmed_s = None
        self._fetch_task = None

    def age_s(self):
        """Return the time since the version was known to be the newest, or None."""
        known = [
            at
            for at in (self._confirmed_s, self.table.current_as_of_s)
            if at is not None
        ]
        return self.clock.monotonic() - max(known) if known else None

    async def run(self):
        """Keep the configuration up to date until cancelled."""
        while True:
            if self.ownership.owners:
                await self._poll_store()
            elif self._overdue_s() <= 0:
                await asyncio.sleep(CHECK_PERIOD_S)
            elif not await self._ask_peers(self._select_near_peers()):
                if self._overdue_s() > self._compute_rank() * RANK_DELAY_S:
                    await self._poll_store()
                else:
                    await asyncio.sleep(CHECK_PERIOD_S)

    def _overdue_s(self):
        """Return for how long the configuration has been stale; 0 if it is not."""
        age_s = self.age_s()
        return math.inf if age_s is None else max(0.0, age_s - STALE_AGE_S)

    async def _poll_store(self):
        if not await self.table.poll():
            members = self.ownership.members()
            await self._ask_peers(random.sample(members, min(MAX_PEERS, len(members))))

    def _order_region(self):
        """Return the instances of this region, in the same order on each of them."""
        own = self.ownership.identity.address
        return sorted(
            {own, *self.ownership.near_members()},
            key=lambda address: xxhash.xxh64_intdigest(address.encode()),
        )

    def _compute_rank(self):
        return min(
            MAX_RANK, self._order_region().index(self.ownership.identity.address)
        )

    def _select_near_peers(self):
        """Return the peers to ask before the store: the first of the region's order."""
        if self.age_s() is None:
            return self._seeds
        own = self.ownership.identity.address
        return [each for each in self._order_region() if each != own][:MAX_PEERS]

    # Answers to peers ------------------------------------------------------------

    def get_freshness(self):
        """Return which version this instance has and how old it is, or None."""
        age_s = self.age_s()
        if not self.watch.version or age_s is None:
            return None
        return ConfigurationFreshness(
            version=self.watch.version, position=self.table.store_version, age_s=age_s
        )

    def answer(self, query):
        """Return the reply to a peer's query for the configuration."""
        freshness = self.get_freshness()
        if freshness is None or query.known >= freshness.version:
            return ConfigurationReply(freshness)
        return ConfigurationReply(freshness, self.watch.pack_change_from(query.known))

    # Replies of peers ------------------------------------------------------------

    def apply_freshness(self, address, freshness, asked_s):
        """Process the freshness of a peer's configuration, asked for at ``asked_s``."""
        if freshness is None or self._confirm_version(freshness, asked_s):
            return
        if freshness.version > self.watch.version and self._fetch_task is None:
            self._fetch_task = asyncio.create_task(self._fetch(address))
            self._fetch_task.add_done_callback(self._finish_fetch)

    def _confirm_version(self, freshness, asked_s):
        """Update the age of the version in force if the peer has the same version."""
        if freshness.version != self.watch.version:
            return False
        current_s = asked_s - freshness.age_s
        if self._confirmed_s is None or current_s > self._confirmed_s:
            self._confirmed_s = current_s
        self.table.resume_from(freshness.position)
        return True

    def _finish_fetch(self, task):
        self._fetch_task = None
        if not task.cancelled() and task.exception() is not None:
            error = task.exception()
            self.log.error(
                "failed to fetch the configuration: {!r}", error, exc_info=error
            )

    async def _fetch(self, address, timeout_s=OWNER_TIMEOUT_S):
        """Fetch changes from a peer; return whether the configuration is fresh now."""
        asked_s = self.clock.monotonic()
        query = ConfigurationQuery(self.watch.version)
        reply = await self.peers.ask(address, query, timeout_s)
        if not isinstance(reply, ConfigurationReply):
            self.log.info(
                "peer did not send its configuration",
                extra={"peer": address, "version": self.watch.version},
            )
            return False
        if reply.packed:
            self._apply_packed(address, reply.packed)
        if reply.mark is not None:
            self._confirm_version(reply.mark, asked_s)
        return self._overdue_s() <= 0

    def _apply_packed(self, address, packed):
        change = unpack_change(packed)
        if change is None:
            self.log.error(
                "cannot decode a configuration change", extra={"peer": address}
            )
        elif self.watch.apply_peer_change(change, address, len(packed)):
            self._on_change()

    async def _ask_peers(self, addresses):
        """Ask peers concurrently; return whether the configuration is fresh now."""
        own = self.ownership.identity.address
        await asyncio.gather(
            *(self._fetch(each, PEER_TIMEOUT_S) for each in addresses if each != own)
        )
        return self._overdue_s() <= 0

    def cancel(self):
        """Cancel a fetch that is running in the background."""
        if self._fetch_task is not None:
            self._fetch_task.cancel()
