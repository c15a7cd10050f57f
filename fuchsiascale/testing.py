"""Test functions with shared fixtures, collected for unittest.

A test module holds plain functions named ``test_*``. A parameter of a test
function names a fixture: a generator function marked by :func:`fixture` that
yields one value and cleans up after it. One of the test's own module goes before
one of the same name elsewhere. Coroutine functions run in an event
loop of their own.
"""

import asyncio
import contextlib
import functools
import inspect
import sys
import unittest

__all__ = ["collect_functions", "fixture"]

_FIXTURES = {}
_MANAGERS = {}


def fixture(function):
    """Register a generator function as the fixture of its name."""
    manager = contextlib.contextmanager(function)
    _FIXTURES[function.__module__, function.__name__] = manager
    _FIXTURES.setdefault(function.__name__, manager)
    return function


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
    """A function test case whose id names its module."""

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
    """Return the fixture that a test or fixture function names."""
    own = function.__globals__.get(name)
    if inspect.isfunction(own) and own in _MANAGERS:
        return _MANAGERS[own]
    return _FIXTURES[name]
