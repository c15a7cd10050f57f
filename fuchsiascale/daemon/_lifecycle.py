"""Registries of life-cycle hooks and of periodic tasks."""

import asyncio
from collections.abc import Awaitable, Callable
from enum import IntEnum

import msgspec

__all__ = [
    "PeriodicTask",
    "Phase",
    "StartError",
    "periodic_task",
    "on_start",
    "on_stop",
    "run_periodic_task",
    "run_start_hooks",
    "run_stop_hooks",
]

Hook = Callable[[object], Awaitable[None]]


class StartError(Exception):
    """Raised when a condition outside the daemon prevents its start."""


class Phase(IntEnum):
    """Order of the start hooks; the stop hooks run from the last to the first."""

    CLIENTS = 1
    MEMBERSHIP = 2
    DOCUMENT = 3
    WORK = 4
    REQUESTS = 5
    LISTENERS = 6
    READINESS = 7


class PeriodicTask(msgspec.Struct, frozen=True):
    """A named function that runs periodically until the daemon stops.

    Parameters
    ----------
    period_ms : callable
        Returns the time between two runs, in milliseconds, from the settings.
    """

    name: str
    period_ms: Callable
    run: Hook


_START_HOOKS: list[tuple[Phase, Hook]] = []
_STOP_HOOKS: list[tuple[Phase, Hook]] = []
PERIODIC_TASKS: list[PeriodicTask] = []


def on_start(phase):
    """Register a coroutine function that runs when the daemon starts."""

    def register(hook):
        _START_HOOKS.append((phase, hook))
        return hook

    return register


def on_stop(phase):
    """Register a coroutine function that runs when the daemon stops."""

    def register(hook):
        _STOP_HOOKS.append((phase, hook))
        return hook

    return register


def periodic_task(name, period_ms):
    """Register a coroutine function that runs periodically."""

    def register(function):
        PERIODIC_TASKS.append(PeriodicTask(name, period_ms, function))
        return function

    return register


async def run_start_hooks(application):
    """Run the start hooks in the order of their phases."""
    for _, hook in sorted(_START_HOOKS, key=lambda entry: entry[0]):
        await hook(application)


async def run_stop_hooks(application):
    """Run the stop hooks from the last phase to the first.

    A hook that fails is logged, and the others still run.
    """
    for phase, hook in sorted(_STOP_HOOKS, key=lambda entry: -entry[0]):
        try:
            await hook(application)
        except Exception:
            application.log.exception("stop hook of phase {} failed", phase.name)


async def run_periodic_task(application, entry):
    """Run a periodic task until it is cancelled, with jitter between the runs."""
    while True:
        try:
            await entry.run(application)
        except Exception:
            application.log.exception("periodic task {} failed", entry.name)
        period_s = entry.period_ms(application.settings) / 1000
        await asyncio.sleep(period_s * application.random.uniform(0.9, 1.1))
