"""Calls between instances about the succession of a service's owners."""

import asyncio
import random
from collections import deque

import logbook

from fuchsiascale.jobs._ownership_evidence import (
    ISOLATION_LIMIT_S,
    PEER_SUPPORT_S,
    STORE_SILENCE_LIMIT_S,
    SUPPORT_NEEDED_AFTER_S,
)
from fuchsiascale.jobs._peer_messages import (
    PING_PERIOD_S,
    PING_TIMEOUT_S,
    Acknowledgement,
    OwnerNotice,
    OwnerQuery,
    OwnerReply,
    Pong,
)

__all__ = ["announce_owner", "seek_support", "watch_predecessor"]

SUPPORT_PERIOD_S = 0.5
"""Period in which an owner asks peers for support."""
MAX_SUPPORTERS = 3
"""Number of peers that are asked at a time."""
MAX_LIST_AGE_S = 1.0
"""Time before a confirmation at which a list of supporters is too old for it, as after
a pause of the process. A successor needs reports of the members since then."""

log = logbook.Logger("offices")


async def watch_predecessor(owner, row, ping):
    """Tell an owner once its predecessor has restarted or relinquished.

    Parameters
    ----------
    owner : Owner
        The new owner.
    row : OwnerRow
        The owner row of its predecessor.
    ping : callable
        Coroutine function from an address and a timeout to the reply.
    """
    while not owner.lost and not owner.is_takeover_complete:
        reply = await ping(row.address, PING_TIMEOUT_S)
        restarted = isinstance(reply, Pong) and (
            reply.incarnation != row.incarnation
            or reply.owned.get(owner.service) != row.token
        )
        if restarted:
            owner.inherited_leases.mark_stopped(owner.clock.monotonic())
            return
        await asyncio.sleep(PING_PERIOD_S)


async def announce_owner(owner, addresses, peers, claimed_s):
    """Tell instances of a new owner, and the owner when its predecessor has stopped.

    An instance that knows of the new owner supports no earlier one. Once all have
    answered, an earlier owner that runs on can only be isolated.

    Parameters
    ----------
    owner : Owner
        The new owner.
    addresses : list of str
        All instances that may support an earlier owner.
    peers : PeerClient
        Calls to them.
    claimed_s : float
        Monotonic time by which the claim was written.
    """
    notice = OwnerNotice(owner.service, owner.row, owner.version)
    missing = set(addresses)
    log.info(
        "announcing owner", extra={**_identify(owner), "instances": sorted(missing)}
    )
    while missing and not owner.lost and not owner.is_takeover_complete:
        asked = sorted(missing)
        replies = await asyncio.gather(
            *(peers.ask(address, notice, PING_TIMEOUT_S) for address in asked)
        )
        for address, reply in zip(asked, replies, strict=True):
            if isinstance(reply, Acknowledgement) and reply.done:
                missing.discard(address)
        if missing:
            await asyncio.sleep(PING_PERIOD_S)
    if not missing and not owner.lost:
        now_s = owner.clock.monotonic()
        stopped_s = max(claimed_s + ISOLATION_LIMIT_S, now_s + PEER_SUPPORT_S)
        log.info(
            "owner announced",
            extra={
                **_identify(owner),
                "instances": len(addresses),
                "predecessor_stops_in_s": round(stopped_s - now_s, 3),
            },
        )
        owner.inherited_leases.mark_stopped(stopped_s, includes_earlier_owners=True)


def _identify(owner):
    """Return the fields of a log line that name an owner."""
    return {"service": owner.service, "token": owner.row.token}


async def seek_support(owner, list_supporters, peers):
    """Ask peers for support while the store does not confirm an owner.

    A successor tells those of itself that it knows from the last report of the owner.
    So only peers are asked that were listed at about the time of the last confirmation,
    which may arrive seconds later: one that joins or returns after it is unknown to the
    successor, which has forgotten one that was listed long before.

    Parameters
    ----------
    owner : Owner
        The owner.
    list_supporters : callable
        Returns the addresses of the instances that any successor would know of.
    peers : PeerClient
        Calls to them.
    """
    lists, supporters = _SupporterLists(), []
    while not owner.lost:
        before, supporters = supporters, []
        lists.add(owner.clock.monotonic(), list_supporters())
        if owner.evidence.needs_support():
            known = lists.find(owner.evidence.confirmed_s)
            asked = random.sample(known, min(MAX_SUPPORTERS, len(known)))
            supporters = await _ask_for_support(owner, asked, peers)
            if bool(supporters) != bool(before):
                _log_support(owner, asked, supporters)
        await asyncio.sleep(SUPPORT_PERIOD_S)


class _SupporterLists:
    """Lists of possible supporters by the time at which they were taken."""

    def __init__(self):
        kept_s = STORE_SILENCE_LIMIT_S + SUPPORT_NEEDED_AFTER_S + MAX_LIST_AGE_S
        self._lists = deque(maxlen=int(kept_s / SUPPORT_PERIOD_S) + 1)

    def add(self, now_s, addresses):
        """Add a list."""
        self._lists.append((now_s, addresses))

    def find(self, confirmed_s):
        """Return the list that belongs to a confirmation of the owner by the store."""
        for listed_s, addresses in reversed(self._lists):
            if listed_s <= confirmed_s + SUPPORT_NEEDED_AFTER_S:
                is_outdated = listed_s < confirmed_s - MAX_LIST_AGE_S
                return [] if is_outdated else addresses
        return []


async def _ask_for_support(owner, addresses, peers):
    """Return the peers that know no later owner; relinquish if one knows such."""
    asked_s = owner.clock.monotonic()
    replies = await asyncio.gather(
        *(
            peers.ask(address, OwnerQuery(owner.service), PING_TIMEOUT_S)
            for address in addresses
        )
    )
    versions = {
        address: reply.version
        for address, reply in zip(addresses, replies, strict=True)
        if isinstance(reply, OwnerReply)
    }
    if any(version > owner.version for version in versions.values()):
        owner.relinquish("a peer knows a later owner")
        return []
    supporters = [each for each in versions if versions[each] == owner.version]
    if supporters:
        owner.evidence.note_support(asked_s)
    return supporters


def _log_support(owner, asked, supporters):
    log.info(
        "owner supported by peers" if supporters else "owner not supported by peers",
        extra={
            **_identify(owner),
            "confirmed_ago_s": round(owner.evidence.measure_age_s(), 3),
            "asked": asked,
            "supporters": supporters,
        },
    )
