"""Ports to upstreams that take notice when an upstream says that it leaves."""

from returns.result import Success

__all__ = ["WatchedRunners", "WatchedWorkers"]


class WatchedRunners:
    """A runners port that notes answers which say that the runner leaves.

    Parameters
    ----------
    runners : Runners
        The port that sends.
    note : callable
        Takes the address of an upstream that leaves.
    """

    def __init__(self, runners, note):
        self._runners = runners
        self._note = note

    async def send(self, address, request):
        """Send one request once and receive its whole answer."""
        result = await self._runners.send(address, request)
        if isinstance(result, Success) and result.unwrap().leaving:
            self._note(address)
        return result


class WatchedWorkers:
    """A workers port that notes inventories which say that the worker leaves.

    Parameters
    ----------
    workers : Workers
        The port that sends.
    note : callable
        Takes the address of an upstream that leaves.
    """

    def __init__(self, workers, note):
        self._workers = workers
        self._note = note

    async def claim(self, address, request):
        """Claim a worker; a grant carries its inventory."""
        return self._watch(address, await self._workers.claim(address, request))

    async def start(self, address, request):
        """Start attempts; the answer tells nothing of leaving."""
        return await self._workers.start(address, request)

    async def exchange(self, address, request):
        """Renew the lease, pass commands, and read the inventory."""
        return self._watch(address, await self._workers.exchange(address, request))

    def _watch(self, address, result):
        inventory = result.unwrap().inventory if isinstance(result, Success) else None
        if inventory is not None and inventory.leaving:
            self._note(address)
        return result
