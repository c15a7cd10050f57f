"""Reads the operator's evacuations of failure domains from the store."""

import asyncio

import logbook
from returns.result import Failure

__all__ = ["EvacuationWatch"]

READ_PERIOD_S = 0.5
"""Period of the reads. They don't follow the feed, whose history may be dropped, and
which an instance may resume behind earlier rows."""
MAX_OPEN_READS = 4
"""Reads without an answer, beyond which none is sent. A read may wait 3 s for two peers
that don't answer, while the next one asks others."""
MAX_LOGGED_CHANGES = 20
"""Changes of one read that are logged one by one. There are a few dozen domains; more
rows than that are a mistake of whoever wrote them."""


class EvacuationWatch:
    """Keeps the evacuations of an owner up to date.

    After a failed read the last known evacuations stay in force, until they are too
    old; see `Evacuations`.

    Parameters
    ----------
    store : StorePort
        The store, through peers where it isn't reached.
    listing : EvacuationListing
        Where the rows are.
    evacuations : Evacuations
        What is known, which is updated.
    clock : Clock
        Source of time.
    identity : dict
        Fields of each log line.
    """

    def __init__(self, store, listing, evacuations, clock, identity):
        self.store = store
        self.listing = listing
        self.evacuations = evacuations
        self.clock = clock
        self.log = logbook.Logger("evacuations")
        self._identity = identity
        self._open_reads = 0
        self._is_failing = False
        self._was_known = True

    async def run(self):
        """Read periodically until cancelled."""
        async with asyncio.TaskGroup() as group:
            while True:
                if self._open_reads < MAX_OPEN_READS:
                    group.create_task(self.read())
                await asyncio.sleep(READ_PERIOD_S)
                self._log_age()

    async def read(self):
        """Read the rows once, and log what has changed."""
        listing, asked_s = self.listing, self.clock.monotonic()
        self._open_reads += 1
        try:
            found = await self.store.read(
                listing.table, "", listing.first_key, listing.last_key
            )
        finally:
            self._open_reads -= 1
        before_s = self.evacuations.read_s
        if isinstance(found, Failure):
            self._log_failure(found.failure(), before_s)
            return
        self._is_failing = False
        rows = found.unwrap()
        changes = self.evacuations.apply(rows.rows, rows.version, asked_s)
        self._log_changes(changes, before_s)

    def _measure_age_s(self, read_s):
        """Return how long ago a read was sent; None before the first."""
        age_s = self.clock.monotonic() - read_s
        return round(age_s, 3) if read_s >= 0 else None

    def _log_age(self):
        """Log when the last read becomes too old to start tasks by it, or recent."""
        is_known = self.evacuations.are_known(self.clock.monotonic())
        if is_known is self._was_known:
            return
        self._was_known = is_known
        text = "evacuations known" if is_known else "evacuations unknown; starts wait"
        age_s = self._measure_age_s(self.evacuations.read_s)
        self.log.warning(text, extra={**self._identity, "age_s": age_s})

    def _log_failure(self, error, before_s):
        """Log the first of a series of failed reads."""
        if self._is_failing:
            return
        self._is_failing = True
        self.log.warning(
            "evacuations not read",
            extra={
                **self._identity,
                "why": repr(error)[:120],
                "age_s": self._measure_age_s(before_s),
            },
        )

    def _log_changes(self, changes, before_s):
        """Log each change; its age is at most the time since the read before."""
        age_s = self._measure_age_s(before_s)
        for change in changes[:MAX_LOGGED_CHANGES]:
            self.log.warning(
                "domain evacuated" if change.is_evacuated else "evacuation ended",
                extra={
                    **self._identity,
                    "domain": change.domain,
                    "revision": change.revision,
                    "age_s": age_s,
                },
            )
        if len(changes) > MAX_LOGGED_CHANGES:
            self.log.warning(
                "more evacuations changed",
                extra={**self._identity, "changes": len(changes)},
            )
