"""Runs the daemon: ``python -m fuchsiascale.node``."""

from fuchsiascale.node._main import main

main()
