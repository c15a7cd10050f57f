"""Calls to workers through peers, so that one owner can serve many workers."""

import math

from returns.result import Failure, Success

from fuchsiascale.jobs._late_commands import LateCommands, describe_command
from fuchsiascale.jobs._ports import (
    Absent,
    Executed,
    Inventory,
    NoAnswer,
    WorkerAddress,
)
from fuchsiascale.jobs._worker_calls import ExchangeRequest, PaceRequest, StopRequest
from fuchsiascale.jobs._worker_relay_channel import RelayChannel
from fuchsiascale.jobs._worker_relay_selection import select_relays

__all__ = ["COMMAND_TIMEOUT_S", "START_SEND_LIMIT_S", "RelayedWorkers"]

COMMAND_TIMEOUT_S = 0.8
"""Timeout of a command at a worker, which normally replies in a few milliseconds."""
START_SEND_LIMIT_S = 0.6
"""Time within which a process writes a start to a connection, or does not send it.

A worker that has restarted has forgotten its fencing token, and runs a start whose task
has been started elsewhere since. The limit exceeds the time in which a connection to a
peer fails, so that the start can be made directly then."""
RECONNECT_DELAY_S = 3.0
"""Time for which a peer whose connection ended relays no calls."""
DIRECT_PERIOD_S = 2.0
"""Time for which a worker is called directly after a relayed call had no answer."""


class RelayedWorkers:
    """Workers that are called through peers where that is worthwhile.

    It is a `WorkerPort`. A call that a peer may have passed on counts as unanswered if
    no reply arrives; one that was not sent is made directly.

    Parameters
    ----------
    direct : WorkerPort
        The workers, called from this process.
    connect : callable or None
        See `RelayChannel`; None if all workers are to be called directly.
    members : Members
        The live peers.
    clock : Clock
        Source of time, which includes suspensions.
    late_commands : LateCommands, optional
        Counts the starts that are not sent.
    """

    def __init__(self, direct, connect, members, clock, late_commands=None):
        self.direct = direct
        self.clock = clock
        self._late_commands = late_commands or LateCommands(clock)
        self._connect = connect
        self._members = members
        self._assigned_from = None
        self._channels = {}
        self._draining_channels = []
        self._relays = {}
        self._excluded_until_s = {}
        self._direct_until_s = {}

    def assign(self, domains):
        """Assign workers to the live peers.

        Parameters
        ----------
        domains : dict
            Failure domain of each worker.
        """
        if self._connect is None:
            return
        self._close_drained()
        now_s = self.clock.monotonic()
        usable = [
            each
            for each in self._members.live()
            if now_s >= self._excluded_until_s.get(each.address, 0.0)
        ]
        if self._assigned_from == (domains, usable):
            return
        self._assigned_from = (domains, usable)
        self._relays = select_relays(domains, usable, self._members.own.strength)
        wanted = set(self._relays.values())
        for address in list(self._channels.keys() - wanted):
            self._draining_channels.append(self._channels.pop(address))
        self._direct_until_s = {
            worker: until_s
            for worker, until_s in self._direct_until_s.items()
            if until_s > now_s
        }

    def _close_drained(self):
        """Close the connections without calls in flight that are used no more."""
        for channel in self._draining_channels:
            if not channel.is_busy():
                channel.close()
        self._draining_channels = [
            channel for channel in self._draining_channels if channel.is_busy()
        ]

    def close(self):
        """Close all connections."""
        for channel in (*self._channels.values(), *self._draining_channels):
            channel.close()
        self._channels.clear()
        self._draining_channels.clear()
        self._relays.clear()

    def count_channels(self):
        """Return the number of peers that relay calls."""
        return sum(channel.usable for channel in self._channels.values())

    async def exchange(self, worker, token, acknowledged, lease_until_ms, wait_ms):
        """See `WorkerPort.exchange`."""
        request = ExchangeRequest(token, acknowledged, lease_until_ms, wait_ms)
        timeout_s = COMMAND_TIMEOUT_S + wait_ms / 1000
        reply = await self._relay(worker, request, timeout_s)
        if reply is None:
            return await self.direct.exchange(
                worker, token, acknowledged, lease_until_ms, wait_ms
            )
        return reply

    async def start(self, worker, request):
        """See `WorkerPort.start`."""
        reply, _ = await self.send_start(worker, request)
        return reply

    async def send_start(self, worker, request):
        """Start an attempt, and tell by which path.

        Returns
        -------
        tuple of WorkerReply and str or None
            The reply, and the address of the peer that relayed the call; None for a
            direct call.
        """
        called_s = self.clock.monotonic()
        send_by_s = called_s + START_SEND_LIMIT_S
        channel = self._find_channel(worker.worker)
        if channel is not None:
            reply = await self._relay_through(
                channel, worker, request, COMMAND_TIMEOUT_S, send_by_s
            )
            if reply is not None:
                return reply, channel.address
        now_s = self.clock.monotonic()
        if now_s > send_by_s:
            command = describe_command(worker, request)
            self._late_commands.note(command, now_s - called_s, is_sent=False)
            return Failure(Absent()), None
        return await self.direct.start(worker, request), None

    async def stop(self, worker, task, attempt, token):
        """See `WorkerPort.stop`."""
        request = StopRequest(task, attempt, token)
        reply = await self._relay(worker, request, COMMAND_TIMEOUT_S)
        return reply or await self.direct.stop(worker, task, attempt, token)

    async def pace(self, worker, task, attempt, percent, token):
        """See `WorkerPort.pace`."""
        request = PaceRequest(task, attempt, percent, token)
        reply = await self._relay(worker, request, COMMAND_TIMEOUT_S)
        return reply or await self.direct.pace(worker, task, attempt, percent, token)

    async def _relay(self, worker, request, timeout_s):
        """Return the result of a relayed call; None if it has to be made directly."""
        channel = self._find_channel(worker.worker)
        if channel is None:
            return None
        return await self._relay_through(channel, worker, request, timeout_s)

    async def _relay_through(
        self, channel, worker, request, timeout_s, send_by_s=math.inf
    ):
        """Return the result of a call that a peer relays; None if it was not sent."""
        target = WorkerAddress(worker.worker, worker.address)
        reply = await channel.call(target, request, timeout_s, send_by_s)
        if not channel.usable:
            self._exclude(channel)
        if reply is None:
            return None
        if isinstance(reply, Inventory | Executed):
            return Success(reply)
        if isinstance(reply, NoAnswer):
            # The path from the peer to the worker may be the only one that failed.
            until_s = self.clock.monotonic() + DIRECT_PERIOD_S
            self._direct_until_s[worker.worker] = until_s
        return Failure(reply)

    def _find_channel(self, worker_id):
        """Return the usable channel of a worker, and open it if it is missing."""
        address = self._relays.get(worker_id)
        now_s = self.clock.monotonic()
        if address is None or now_s < self._direct_until_s.get(worker_id, 0.0):
            return None
        if now_s < self._excluded_until_s.get(address, 0.0):
            return None
        channel = self._channels.get(address)
        if channel is None:
            channel = RelayChannel(self._connect, address, self.clock)
            self._channels[address] = channel
        if not channel.usable:
            self._exclude(channel)
            return None
        return channel

    def _exclude(self, channel):
        """Use a peer no more for a while, as it is stopping or doesn't answer."""
        if self._channels.get(channel.address) is channel:
            del self._channels[channel.address]
            self._draining_channels.append(channel)
            until_s = self.clock.monotonic() + RECONNECT_DELAY_S
            self._excluded_until_s[channel.address] = until_s
