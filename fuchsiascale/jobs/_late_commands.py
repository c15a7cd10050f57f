"""Commands to workers that this process sent late, or not at all."""

from collections import Counter
from contextvars import ContextVar

import logbook

__all__ = ["RELAYED_FOR", "LateCommands", "describe_command"]

RELAYED_FOR = ContextVar("relayed_for", default=None)
"""Address of the owner whose call is made; empty if unknown, None for an own call."""
LATE_COMMAND_S = 0.3
"""Wait from which a command counts as late; it is usually sent within milliseconds."""
LINES_PER_S = 5
"""Lines written in a second; a pause of the process delays hundreds of commands."""


class LateCommands:
    """Counts and logs commands that were sent late, or dropped instead.

    Parameters
    ----------
    clock : Clock
        Source of time, which includes suspensions.

    Attributes
    ----------
    counts : Counter
        Number of commands by caller, ``own`` for an owner of this process and
        ``relayed`` for one elsewhere, and by outcome, ``sent`` or ``dropped``.
    """

    def __init__(self, clock):
        self.clock = clock
        self.counts = Counter()
        self.log = logbook.Logger("workers")
        self._second = None
        self._lines = 0
        self._left_out = 0

    def note(self, command, waited_s, is_sent):
        """Note a command that has been sent or dropped, unless it waited briefly.

        Parameters
        ----------
        command : dict
            Fields that identify the command in the log.
        waited_s : float
            Time from the call, or its arrival from an owner, in seconds.
        is_sent : bool
            Whether it was sent.
        """
        if waited_s <= LATE_COMMAND_S:
            return
        owner = RELAYED_FOR.get()
        caller = "own" if owner is None else "relayed"
        self.counts[caller, "sent" if is_sent else "dropped"] += 1
        if self._is_over_budget():
            self._left_out += 1
            return
        self.log.warning(
            "command sent late" if is_sent else "command not sent",
            extra={
                **command,
                "waited_s": round(waited_s, 3),
                "relayed_for": owner,
                "left_out": self._left_out,
            },
        )
        self._left_out = 0

    def _is_over_budget(self):
        second = int(self.clock.monotonic())
        if second != self._second:
            self._second = second
            self._lines = 0
        self._lines += 1
        return self._lines > LINES_PER_S


def describe_command(worker, request):
    """Return the fields that identify a command in the log.

    Parameters
    ----------
    worker : WorkerAddress or ListedWorker
        The worker.
    request : StartRequest, StopRequest or PaceRequest
        The command.
    """
    return {
        "command": type(request).__struct_config__.tag,
        "task": request.task,
        "attempt": request.attempt,
        "worker": worker.worker,
        "token": request.token,
    }
