"""Search for shards that have work assigned but no workers left."""

from returns.result import Success

from fuchsiascale.coordination import ASSIGNMENTS_TABLE, find_owner, parse_shard_id
from fuchsiascale.states import InstanceRole

__all__ = ["choose_owner", "find_assigned_shards", "list_orphan_domains"]

# Sorts right after the separator of assignment keys.
AFTER_SEPARATOR = "0"


def list_orphan_domains(view, fleet):
    """Return the failure domains whose orphaned shards this instance looks for.

    Parameters
    ----------
    view : ClusterView
    fleet : Fleet

    Returns
    -------
    tuple of FailureDomainId
        The own failure domain, and the lost ones for which this instance ranks
        first.
    """
    if not view.listed:
        return ()
    lost = [domain for domain in fleet.domains if is_domain_lost(domain, view)]
    assigned = (
        name for name in lost if choose_owner(f"{name}:", view) == view.instance
    )
    return (view.failure_domain, *assigned)


def is_domain_lost(domain, view):
    """Return whether no worker, runner or instance of a failure domain is known."""
    shown = {
        entry.failure_domain
        for entry in view.upstreams
        if entry.role is not InstanceRole.ENTRY
    }
    shown |= {member.failure_domain for member in (*view.members, *view.peers)}
    return domain not in shown


def choose_owner(shard, view):
    """Return the instance that should own a shard.

    One instance owns all shards of a lost failure domain.
    """
    domain, _ = parse_shard_id(shard)
    if domain == view.failure_domain:
        return find_owner(shard, view.members)
    if is_domain_lost(domain, view):
        return find_owner(domain, view.members + view.peers)
    return None


async def find_assigned_shards(tables, domain):
    """Return the shards of a failure domain that have work assigned.

    Parameters
    ----------
    tables : Tables
    domain : FailureDomainId

    Returns
    -------
    set of ShardId
        Incomplete if the store stops answering; takes one read per shard.
    """
    shards = set()
    after = ""
    while True:
        result = await tables.scan(ASSIGNMENTS_TABLE, f"{domain}:", after, 1)
        if not isinstance(result, Success) or not result.unwrap().rows:
            return shards
        shard, _, _ = result.unwrap().rows[0].key.partition("/")
        shards.add(shard)
        after = shard + AFTER_SEPARATOR
