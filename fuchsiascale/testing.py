"""Test functions with shared fixtures, collected for unittest.

A test module holds plain functions named ``test_*``. A parameter of a test
function names a fixture: a generator function marked by :func:`fixture` that
yields one value and cleans up after it. A fixture of the test's own module takes
precedence over one of the same name elsewhere. Each coroutine function runs in its
own event loop.
"""

import asyncio
import contextlib
import functools
import inspect
import selectors
import sys
import unittest

__all__ = [
    "LoopClock",
    "VirtualTimeLoop",
    "collect_functions",
    "fixture",
    "run_in_virtual_time",
]

_FIXTURES = {}
_MANAGERS = {}


def fixture(function):
    """Register a generator function as a fixture under its name."""
    manager = contextlib.contextmanager(function)
    _FIXTURES[function.__module__, function.__name__] = manager
    _FIXTURES.setdefault(function.__name__, manager)
    return function


class _SkippingSelector(selectors.DefaultSelector):
    """A selector that advances the time of its loop instead of waiting."""

    loop = None

    def select(self, timeout=None):
        """Return the ready events; waiting without a timeout is a deadlock."""
        ready = super().select(0)
        if not ready:
            if timeout is None:
                raise RuntimeError(
                    "deadlock: no timer or event is left to wake the loop"
                )
            self.loop.advance(timeout)
        return ready


class VirtualTimeLoop(asyncio.SelectorEventLoop):
    """An event loop whose waits take no time."""

    def __init__(self):
        self._now_s = 0.0
        selector = _SkippingSelector()
        super().__init__(selector)
        selector.loop = self

    def time(self):
        """Return the virtual time in seconds."""
        return self._now_s

    def advance(self, seconds):
        """Move the time forward."""
        self._now_s += seconds


class LoopClock:
    """The time of the running event loop."""

    def monotonic(self):
        """Return the loop's time in seconds."""
        return asyncio.get_running_loop().time()

    def wall_ms(self):
        """Return the loop's time in milliseconds."""
        return int(self.monotonic() * 1000)


def run_in_virtual_time(coroutine, loop_factory=VirtualTimeLoop):
    """Run a coroutine on an event loop whose timers expire without waiting.

    Parameters
    ----------
    coroutine : coroutine
        The coroutine.
    loop_factory : callable, optional
        Creates the loop; `VirtualTimeLoop` or a subclass.

    Examples
    --------
    >>> async def wait():
    ...     await asyncio.sleep(3600)
    ...     return LoopClock().monotonic()
    >>> run_in_virtual_time(wait())
    3600.0
    """
    with asyncio.Runner(loop_factory=loop_factory) as runner:
        return runner.run(coroutine)


def collect_functions(module_name):
    """Return a ``load_tests`` hook that collects a module's test functions.

    Parameters
    ----------
    module_name : str
        The ``__name__`` of the test module.

    Returns
    -------
    callable
        The hook of unittest's load_tests protocol.
    """

    def load_tests(loader, standard_tests, pattern):
        suite = unittest.TestSuite()
        module = sys.modules[module_name]
        for name, member in vars(module).items():
            if name.startswith("test_") and inspect.isfunction(member):
                suite.addTest(_NamedFunctionTestCase(member))
        return suite

    return load_tests


class _NamedFunctionTestCase(unittest.FunctionTestCase):
    """A function test case whose id includes its module."""

    def __init__(self, function):
        super().__init__(functools.partial(_run_with_fixtures, function))
        self._function = function

    def id(self):
        return f"{self._function.__module__}.{self._function.__name__}"

    def __str__(self):
        return self.id()


def _run_with_fixtures(function):
    with contextlib.ExitStack() as stack:
        arguments = _enter_fixtures(function, stack, {})
        if inspect.iscoroutinefunction(function):
            asyncio.run(function(**arguments))
        else:
            function(**arguments)


def _enter_fixtures(function, stack, entered):
    arguments = {}
    for name in inspect.signature(function).parameters:
        if name not in entered:
            own = (function.__module__, name)
            manager = _FIXTURES.get(own) or _FIXTURES[name]
            needed = _enter_fixtures(inspect.unwrap(manager), stack, entered)
            entered[name] = stack.enter_context(manager(**needed))
        arguments[name] = entered[name]
    return arguments


def _find_manager(function, name):
    """Return the fixture that a test or fixture function refers to by name."""
    own = function.__globals__.get(name)
    if inspect.isfunction(own) and own in _MANAGERS:
        return _MANAGERS[own]
    return _FIXTURES[name]
