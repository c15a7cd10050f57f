"""Workers of the own failure domain, grouped into shards."""

from fuchsiascale.coordination import WorkerEntry, format_shard_id
from fuchsiascale.platform import Resources
from fuchsiascale.states import InstanceRole, ListedState

__all__ = ["WorkerEntryCache", "group_workers"]


class WorkerEntryCache:
    """Caches the grouping until the list or the document changes."""

    def __init__(self):
        self._key = None
        self._grouped = {}

    def group(self, view, fleet):
        """Return the worker entries of the own failure domain by shard id.

        Parameters
        ----------
        view : ClusterView
        fleet : Fleet
        """
        key = (view.upstreams, view.leaving, fleet.revision)
        if key != self._key:
            self._key = key
            self._grouped = group_workers(view, fleet)
        return self._grouped


def group_workers(view, fleet):
    """Return the worker entries of the own failure domain by shard id."""
    services = {}
    for upstream in view.upstreams:
        if upstream.role is InstanceRole.RUNNER and upstream.worker:
            services.setdefault(upstream.worker, []).append(upstream.service)
    grouped = {}
    for upstream in view.upstreams:
        if upstream.role is not InstanceRole.WORKER:
            continue
        if upstream.failure_domain != view.failure_domain:
            continue
        shard_id = format_shard_id(upstream.failure_domain, upstream.rack)
        entry = _build_entry(upstream, services, view, fleet)
        grouped.setdefault(shard_id, []).append(entry)
    return grouped


def _build_entry(upstream, services, view, fleet):
    worker = upstream.worker or upstream.instance_id
    colocated = tuple(sorted(services.get(worker, ())))
    reserves = (fleet.services[s].reserve for s in colocated if s in fleet.services)
    settings = fleet.instances.get(worker)
    leaving = upstream.state is ListedState.LEAVING or bool(
        {worker, upstream.instance_id} & view.leaving
    )
    return WorkerEntry(
        worker=worker,
        address=upstream.address,
        services=colocated,
        reserve=sum(reserves, start=Resources()),
        leaving=leaving,
        cordoned=settings is not None and settings.cordoned,
    )
