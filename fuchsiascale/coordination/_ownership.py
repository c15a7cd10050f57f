"""Choice of the instance that owns a shard, and its fencing tokens.

References
----------
.. [1] D. Thaler, C. Ravishankar, "Using name-based mappings to increase hit
   rates", IEEE/ACM Transactions on Networking 6(1), 1998.
"""

import xxhash

from fuchsiascale.platform import FencingToken

__all__ = ["find_owner", "increment_token", "rank_owners"]


def rank_owners(shard, members):
    """Return the members in the order in which they should own a shard.

    Parameters
    ----------
    shard : str
        Any id; the order differs from id to id.
    members : iterable of Member

    Returns
    -------
    tuple of Member
        Highest score first, by rendezvous hashing.

    Notes
    -----
    When a member leaves, only the shards that it owned change owner.

    Examples
    --------
    >>> rank_owners("north:r1", ())
    ()
    """
    ranked = sorted(
        members, key=lambda member: _score_member(shard, member), reverse=True
    )
    return tuple(ranked)


def find_owner(shard, members):
    """Return the id of a shard's owner, or None if there are no members."""
    best = max(members, key=lambda member: _score_member(shard, member), default=None)
    return None if best is None else best.instance


def increment_token(highest, instance):
    """Return a token for an instance that is higher than the highest one seen.

    Examples
    --------
    >>> increment_token(FencingToken(counter=4, holder="a"), "b").counter
    5
    """
    return FencingToken(counter=highest.counter + 1, holder=instance)


def _score_member(shard, member):
    digest = xxhash.xxh3_64_intdigest(f"{shard}|{member.instance}".encode())
    return digest, member.instance
