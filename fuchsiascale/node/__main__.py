"""Runs the daemon: ``python -m fuchsiascale.node``."""

from fuchsiascale.node._main import main

if __name__ == "__main__":
    main()
