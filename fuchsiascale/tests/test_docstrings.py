"""Runs the examples of every docstring of the package."""

import doctest
import importlib
import pkgutil

import fuchsiascale


def load_tests(loader, standard_tests, pattern):
    """Collect the docstring examples of all modules."""
    prefix = f"{fuchsiascale.__name__}."
    for module in pkgutil.walk_packages(fuchsiascale.__path__, prefix):
        if ".tests" in module.name:
            continue
        found = importlib.import_module(module.name)
        standard_tests.addTests(doctest.DocTestSuite(found))
    return standard_tests
