"""Entry point of the daemon on the users' platform."""

import asyncio
import gc
import sys

from returns.result import Failure

from fuchsiascale.node._application import NodeApplication
from fuchsiascale.node._logs import set_up_json_log
from fuchsiascale.platform.user_platform import read_local_settings

__all__ = ["main"]

EXIT_BAD_SETTINGS = 2
GC_THRESHOLD = 20_000
"""Allocations between collections; most objects are freed by reference counting."""


def main():
    """Read the settings and run the daemon until it is asked to stop."""
    found = read_local_settings()
    if isinstance(found, Failure):
        for problem in found.failure():
            print(problem, file=sys.stderr)
        sys.exit(EXIT_BAD_SETTINGS)
    settings = found.unwrap()
    log_buffer = set_up_json_log(settings.instance)
    gc.set_threshold(GC_THRESHOLD)
    asyncio.run(_serve(settings, log_buffer))


async def _serve(settings, log_buffer):
    await NodeApplication(settings, log_buffer).run()
