"""An event loop in virtual time that runs several processes, any of which may pause."""

import asyncio
import contextvars
import heapq

from fuchsiascale.testing import VirtualTimeLoop

__all__ = ["Process", "ProcessLoop"]

_PROCESS = contextvars.ContextVar("process", default=None)


class Process:
    """A process, of which the loop runs nothing while it is paused or after its death.

    All that it does has to be started by `spawn`, or by what was.
    """

    def __init__(self):
        self.is_paused = False
        self.is_dead = False
        self._held = []
        self.context = contextvars.copy_context()
        self.context.run(_PROCESS.set, self)

    def spawn(self, coroutine):
        """Run a coroutine in this process; returns its task."""
        return asyncio.create_task(coroutine, context=self.context)

    def hold_back(self, handle):
        """Keep a callback that is due, if the process does not run; tell if it is."""
        if self.is_paused or self.is_dead:
            self._held.append(handle)
            return True
        return False

    def kill(self):
        """Run nothing of the process any more."""
        self.is_dead = True

    def pause(self):
        """Run nothing of the process until `resume`."""
        self.is_paused = True

    def resume(self, puts_timers_first=False):
        """Run what has become due meanwhile.

        A process that wakes up may find that its timers have expired before it reads
        what has arrived.
        """
        self.is_paused = False
        held, self._held = self._held, []
        if puts_timers_first:
            held.sort(key=lambda handle: not isinstance(handle, asyncio.TimerHandle))
        asyncio.get_running_loop().add_due(held)

    def revive(self):
        """Let a dead process run, so that its tasks can be cancelled and collected."""
        self.is_dead = False
        self.resume()


def _is_held_back(handle):
    process = handle._context.get(_PROCESS)
    return process is not None and process.hold_back(handle)


class _ProcessHandle(asyncio.Handle):
    __slots__ = ()

    def _run(self):
        if not _is_held_back(self):
            super()._run()


class _ProcessTimerHandle(asyncio.TimerHandle):
    __slots__ = ()

    def _run(self):
        if not _is_held_back(self):
            super()._run()


class ProcessLoop(VirtualTimeLoop):
    """The event loop of the processes."""

    def _call_soon(self, callback, args, context):
        handle = _ProcessHandle(callback, args, self, context)
        self._ready.append(handle)
        return handle

    def call_at(self, when, callback, *args, context=None):
        """See `asyncio.loop.call_at`."""
        handle = _ProcessTimerHandle(when, callback, args, self, context)
        heapq.heappush(self._scheduled, handle)
        handle._scheduled = True
        return handle

    def add_due(self, handles):
        """Run callbacks that were held back."""
        self._ready.extend(handles)
