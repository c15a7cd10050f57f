"""Run the daemon: ``python -m fuchsiascale.daemon --settings FILE``."""

from fuchsiascale.daemon import main

if __name__ == "__main__":
    main()
