"""Run the examples of all docstrings of the package and of the developers' page."""

import doctest
import importlib
import pkgutil
from pathlib import Path

import fuchsiascale

DEVELOPERS_PAGE = Path(__file__).resolve().parents[2] / "docs" / "DEVELOPING.md"


def load_tests(loader, standard_tests, pattern):
    """Collect the examples of all modules and of the page."""
    prefix = f"{fuchsiascale.__name__}."
    for module in pkgutil.walk_packages(fuchsiascale.__path__, prefix):
        if ".tests" in module.name:
            continue
        found = importlib.import_module(module.name)
        standard_tests.addTests(doctest.DocTestSuite(found))
    page = doctest.DocFileSuite(str(DEVELOPERS_PAGE), module_relative=False)
    standard_tests.addTests(page)
    return standard_tests
