"""Entry point of the daemon."""

import argparse
import asyncio
import sys

from returns.result import Success

from fuchsiascale.daemon._application import Application
from fuchsiascale.daemon._lifecycle import StartError
from fuchsiascale.daemon._logs import set_up_logs
from fuchsiascale.daemon._settings import read_settings

__all__ = ["main"]

EXIT_FAILED = 1
EXIT_BAD_SETTINGS = 2


def main(arguments=None):
    """Read the settings and run the daemon until it is asked to stop."""
    parser = argparse.ArgumentParser(prog="fuchsiascaled", description=__doc__)
    parser.add_argument("--settings", required=True, help="path of the INI file")
    options = parser.parse_args(arguments)
    found = read_settings(options.settings)
    if not isinstance(found, Success):
        for problem in found.failure():
            print(problem, file=sys.stderr)
        sys.exit(EXIT_BAD_SETTINGS)
    settings = found.unwrap()
    set_up_logs(settings.logs.level, secrets=(settings.access.peer_token,))
    sys.exit(asyncio.run(_serve(settings)))


async def _serve(settings):
    application = Application(settings)
    try:
        await application.run()
    except StartError as error:
        application.log.critical(str(error))
        return EXIT_FAILED
    return EXIT_FAILED if application.failed else 0
