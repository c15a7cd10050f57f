"""The command-line tool ``fuchsiascale``."""

from fuchsiascale.cli._application import main

__all__ = ["main"]
