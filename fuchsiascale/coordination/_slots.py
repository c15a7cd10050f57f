"""Slots of the runners, as one instance may use them."""

import msgspec

from fuchsiascale.platform import ListedInstance
from fuchsiascale.states import InstanceRole, ListedState

__all__ = ["Slot", "SlotHolder"]


class Slot(msgspec.Struct, eq=False):
    """One slot of a runner, taken until it is released."""

    runner: ListedInstance
    released: bool = False


class SlotHolder:
    """Counts the requests that this instance has at each runner.

    Examples
    --------
    >>> from fuchsiascale.coordination import ClusterView
    >>> holder = SlotHolder()
    >>> view = ClusterView(instance="a", failure_domain="f", region="r")
    >>> holder.acquire(view, "aula-hub", 8) is None
    True
    """

    def __init__(self):
        self._in_use = {}
        self._view = None
        self._by_service = {}

    @property
    def in_use(self):
        """Number of slots taken over all runners."""
        return sum(self._in_use.values())

    def acquire(self, view, service, slots, excluded=frozenset()):
        """Take a slot of the least loaded runner of a service.

        Parameters
        ----------
        view : ClusterView
            Members and upstreams.
        service : ServiceId
            The service.
        slots : int
            Slots of each runner, over all instances.
        excluded : frozenset of str
            Runners that may not be used.

        Returns
        -------
        Slot or None
            The slot; None where none is free.
        """
        limit = slots // max(1, len(view.members))
        best = None
        for runner in self._runners(view, service):
            used = self._in_use.get(runner.instance_id, 0)
            if used >= limit or runner.instance_id in excluded:
                continue
            if best is None or used < best[0]:
                best = (used, runner)
        if best is None:
            return None
        name = best[1].instance_id
        self._in_use[name] = self._in_use.get(name, 0) + 1
        return Slot(runner=best[1])

    def release(self, slot):
        """Give a slot back, once."""
        if slot.released:
            return
        slot.released = True
        name = slot.runner.instance_id
        self._in_use[name] -= 1
        if not self._in_use[name]:
            del self._in_use[name]

    def _runners(self, view, service):
        if view is not self._view:
            self._view = view
            self._by_service = _index_runners(view)
        return self._by_service.get(service, ())


def _index_runners(view):
    found = {}
    for each in view.upstreams:
        if (
            each.role is InstanceRole.RUNNER
            and each.state is ListedState.LIVE
            and each.failure_domain == view.failure_domain
            and each.instance_id not in view.leaving
        ):
            found.setdefault(each.service, []).append(each)
    return found
