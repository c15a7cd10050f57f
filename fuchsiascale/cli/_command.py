"""Base class of the commands: profile, output and exit codes."""

import asyncio
import os

import msgspec
from cleo.commands.command import Command
from cleo.helpers import option
from returns.result import Failure

from fuchsiascale.cli._client import Client
from fuchsiascale.cli._exits import Exit
from fuchsiascale.cli._profile import PROFILE_OPTIONS, read_profile

__all__ = ["COMMANDS", "DeploymentCommand", "register"]

COMMANDS = []
TOOL_OPTIONS = [
    option("json", None, "Print JSON for programs."),
    option("profile", None, "Name of the profile to use.", flag=False),
    *(
        option(entry.name.replace("_", "-"), None, f"{entry.meaning}.", flag=False)
        for entry in PROFILE_OPTIONS
    ),
]


def register(command):
    """Register a command class with the tool and add the common options."""
    command.options = [*command.options, *TOOL_OPTIONS]
    COMMANDS.append(command)
    return command


class DeploymentCommand(Command):
    """Base class of the commands that may call a deployment.

    A subclass implements `perform`.
    """

    arguments = []
    options = []

    async def perform(self, client):
        """Carry out the command with a client; return the exit code."""
        raise NotImplementedError

    def handle(self):
        """Read the profile and run the command; return the exit code."""
        names = ["profile", *(entry.name for entry in PROFILE_OPTIONS)]
        given_options = {name: self.option(name.replace("_", "-")) for name in names}
        profile = read_profile(given_options, os.environ)
        if isinstance(profile, Failure):
            return self.fail(profile.failure(), Exit.INVALID)
        return int(asyncio.run(self.perform(Client(profile.unwrap()))))

    def fail(self, details, exit_code):
        """Print error details to the error stream; return the exit code."""
        for detail in details:
            self.line_error(_escape(detail), style="error")
        return exit_code

    def fail_call(self, result):
        """Print the reason why a call failed; return the exit code."""
        error = result.failure()
        return self.fail(error.details, error.exit_code)

    def show_reply(self, result, headers, list_rows, format_title=None):
        """Print the reply of a call as a table, or the reason of its failure.

        Parameters
        ----------
        result : Result of Message
            Result of the call.
        headers : sequence of str
            Names of the columns; the first one says what the rows list.
        list_rows : callable
            Takes the reply and returns the rows of the table.
        format_title : callable, optional
            Takes the reply and returns the title line of the table.

        Returns
        -------
        Exit
            The exit code of the command.
        """
        if isinstance(result, Failure):
            return self.fail_call(result)
        reply = result.unwrap()
        if format_title is not None and not self.option("json"):
            self.print_text(format_title(reply))
        return self.show(reply, headers, list_rows(reply))

    def show_done(self, result, format_line):
        """Print a call's reply as one line, or the reason of its failure."""
        if isinstance(result, Failure):
            return self.fail_call(result)
        reply = result.unwrap()
        if self.option("json"):
            self.show_json(reply)
        else:
            self.print_text(format_line(reply))
        return Exit.OK

    def show(self, message, headers, rows):
        """Print a message as JSON, or rows as a table; return the exit code."""
        if self.option("json"):
            self.show_json(message)
        elif rows:
            table = self.table(list(headers), [list(map(str, row)) for row in rows])
            table.set_style("compact")
            table.render()
        else:
            self.line(f"no {headers[0]} to show")
        return Exit.OK

    def show_json(self, message):
        """Print a message as JSON."""
        self.io.write_line(_escape(msgspec.json.encode(message).decode()))

    def print_text(self, text):
        """Print plain text."""
        self.io.write_line(_escape(text))


def _escape(text):
    """Escape angle brackets, which cleo reads as style tags."""
    return text.replace("<", "\\<")
