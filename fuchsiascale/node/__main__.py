"""Runs the daemon: ``python -m fuchsiascale.node``."""

import signal

# Ignored until the daemon installs its handler: a reload must not end the process.
signal.signal(signal.SIGHUP, signal.SIG_IGN)

from fuchsiascale.node._main import main  # noqa: E402

if __name__ == "__main__":
    main()
