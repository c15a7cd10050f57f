"""Ports that detect when an upstream reports that it is leaving."""

from returns.result import Success

__all__ = ["LeaveDetectingRunners", "LeaveDetectingWorkers"]


class LeaveDetectingRunners:
    """A runners port that detects answers with the leaving flag.

    Parameters
    ----------
    runners : Runners
        The port that sends.
    report_leaving : callable
        Called with the address of an upstream that is leaving.
    """

    def __init__(self, runners, report_leaving):
        self._runners = runners
        self._report_leaving = report_leaving

    async def send(self, address, request):
        """Send one request once and receive its whole answer."""
        result = await self._runners.send(address, request)
        if isinstance(result, Success) and result.unwrap().leaving:
            self._report_leaving(address)
        return result


class LeaveDetectingWorkers:
    """A workers port that detects inventories with the leaving flag.

    Parameters
    ----------
    workers : Workers
        The port that sends.
    report_leaving : callable
        Called with the address of an upstream that is leaving.
    """

    def __init__(self, workers, report_leaving):
        self._workers = workers
        self._report_leaving = report_leaving

    async def claim(self, address, request):
        """Claim a worker; a grant carries its inventory."""
        return self._check_inventory(
            address, await self._workers.claim(address, request)
        )

    async def start(self, address, request):
        """Start attempts; the reply has no leaving flag."""
        return await self._workers.start(address, request)

    async def exchange(self, address, request):
        """Renew the lease, send commands, and receive the inventory."""
        return self._check_inventory(
            address, await self._workers.exchange(address, request)
        )

    def _check_inventory(self, address, result):
        inventory = result.unwrap().inventory if isinstance(result, Success) else None
        if inventory is not None and inventory.leaving:
            self._report_leaving(address)
        return result
