"""Builds and runs the command-line tool."""

import sys

from cleo.application import Application
from cleo.exceptions import CleoError

import fuchsiascale
from fuchsiascale.cli import _config, _fleet, _jobs, _logs, _placements  # noqa: F401
from fuchsiascale.cli._command import COMMANDS
from fuchsiascale.cli._exits import Exit

__all__ = ["build_application", "main", "run"]


def build_application():
    """Build the tool with all registered commands."""
    application = Application("fuchsiascale", fuchsiascale.__version__)
    application.auto_exits(False)
    application.catch_exceptions(False)
    for command in COMMANDS:
        application.add(command())
    return application


def run(tool_input=None, output=None, error_output=None) -> int:
    """Run one command line and return its exit code."""
    application = build_application()
    try:
        return application.run(tool_input, output, error_output)
    except CleoError as error:
        message = f"{error}\nSee: fuchsiascale list, fuchsiascale help COMMAND\n"
        if error_output is None:
            sys.stderr.write(message)
        else:
            error_output.write(message)
        return int(Exit.INVALID)
    except KeyboardInterrupt:
        return int(Exit.UNCONFIRMED)


def main():
    """Run the command line of this process."""
    sys.exit(run())
