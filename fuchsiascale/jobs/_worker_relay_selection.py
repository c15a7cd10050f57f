"""Selects the peers that relay an owner's calls to its workers.

Load pattern: several hundred workers under one owner. Each worker takes two exchanges a
second at rest and one call a start, which the process of a single owner can't make.
"""

import math

import xxhash

from fuchsiascale.ids import FailureDomainId, WorkerId
from fuchsiascale.jobs._members import Member

__all__ = ["select_relays"]

DIRECT_WORKERS = 120
"""Number of workers that an owner of strength 1 calls directly."""
RELAYED_WORKERS = 80
"""Number of workers that a peer of strength 1 is to serve."""
MIN_RELAYED_WORKERS = 8
"""Least of both numbers, for the weakest instances."""
MAX_HASH = (1 << 64) - 1


def select_relays(
    workers: dict[WorkerId, FailureDomainId],
    members: list[Member],
    strength: float,
) -> dict[WorkerId, str]:
    """Return the peer that relays the calls to each worker.

    A worker is served by a peer of its own failure domain, so that calls cross the link
    between regions in few messages. Workers without such a peer are left out, and
    called directly.

    Parameters
    ----------
    workers : dict
        Failure domain of each worker.
    members : list of Member
        Live peers.
    strength : float
        Strength of the owner itself.

    Returns
    -------
    dict
        Address of the peer by worker.

    Examples
    --------
    >>> workers = {f"w{number}": "porto" for number in range(120)}
    >>> peers = [Member(f"10.0.0.{n}:80", "porto", "norte", 0.5) for n in range(9)]
    >>> relays = select_relays(workers, peers, 0.5)
    >>> len(relays), len(set(relays.values()))
    (120, 3)
    >>> select_relays(workers, peers, 1.0)
    {}
    """
    if len(workers) <= max(MIN_RELAYED_WORKERS, DIRECT_WORKERS * strength):
        return {}
    by_domain = {}
    for worker, domain in workers.items():
        by_domain.setdefault(domain, []).append(worker)
    selected = {}
    for domain, worker_ids in by_domain.items():
        peers = [member for member in members if member.domain == domain]
        peers.sort(key=lambda peer: (-peer.strength, _hash(peer.address)))
        relays = _take_relays(peers, len(worker_ids))
        for worker in worker_ids if relays else ():
            best = max(relays, key=lambda peer: _score(peer, worker))
            selected[worker] = best.address
    return selected


def _take_relays(peers, workers):
    """Return as many of the first peers as it takes to serve some workers."""
    relays, served = [], 0.0
    for peer in peers:
        if served >= workers:
            break
        relays.append(peer)
        served += _capacity(peer)
    return relays


def _capacity(peer):
    return max(MIN_RELAYED_WORKERS, RELAYED_WORKERS * peer.strength)


def _score(peer, worker):
    """Return the weight of a peer for a worker in weighted rendezvous hashing."""
    share = (_hash(f"{peer.address}|{worker}") + 1) / (MAX_HASH + 2)
    return -_capacity(peer) / math.log(share)


def _hash(text):
    return xxhash.xxh64_intdigest(text.encode())
