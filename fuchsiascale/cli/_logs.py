"""Commands that read the log files and settings files of instances."""

import fileinput

import msgspec
from cleo.commands.command import Command
from cleo.helpers import argument, option
from returns.result import Failure

from fuchsiascale.cli._command import COMMANDS
from fuchsiascale.cli._exits import Exit
from fuchsiascale.platform.user_platform import read_local_settings

__all__ = ["find_events", "format_event"]

HEAD_FIELDS = ("time", "level", "instance", "part", "message")


def find_events(lines, job):
    """Return the log lines that concern a job, oldest first.

    Parameters
    ----------
    lines : iterable of str
        Log lines of any number of instances. Text before the first brace of a line,
        such as a host name, is ignored, and so are lines that aren't JSON.
    job : str
        Id of the job; the ids of its tasks begin with it.

    Returns
    -------
    list of dict
        The decoded lines, ordered by the clocks of the instances, which may differ
        by some milliseconds.

    Examples
    --------
    >>> lines = ['a {"time": "2", "job": "j1"}', '{"time": "1", "task": "j1.0.0.0"}']
    >>> [event["time"] for event in find_events(lines, "j1")]
    ['1', '2']
    """
    events = []
    for line in lines:
        start = line.find("{")
        if start < 0 or job not in line:
            continue
        try:
            event = msgspec.json.decode(line[start:])
        except msgspec.DecodeError:
            continue
        if isinstance(event, dict) and _concerns(event, job):
            events.append(event)
    return sorted(events, key=lambda event: str(event.get("time", "")))


def _concerns(event, job):
    task = str(event.get("task", ""))
    return event.get("job") == job or task.split(".")[0] == job


def format_event(event):
    """Format a decoded log line as text.

    Examples
    --------
    >>> format_event({"time": "1", "instance": "a", "message": "accepted", "job": "j"})
    '1 a accepted job=j'
    """
    head = [
        str(event[name]) for name in ("time", "instance", "message") if event.get(name)
    ]
    rest = [
        f"{name}={value}" for name, value in event.items() if name not in HEAD_FIELDS
    ]
    return " ".join(head + rest)


class ExplainLogCommand(Command):
    """Follows one job through the logs of several instances."""

    name = "log explain"
    description = "Follow one job through log lines of several instances."
    arguments = [
        argument("job", "Id of the job."),
        argument("files", "Log files; standard input if none.", True, True),
    ]
    options = [option("json", None, "Print the log lines as JSON.")]

    def handle(self):
        """Print the events of the job; return the exit code."""
        try:
            with fileinput.input(self.argument("files") or ("-",)) as lines:
                events = find_events(lines, self.argument("job"))
        except OSError as error:
            self.line_error(f"{error.filename}: {error.strerror}", style="error")
            return int(Exit.INVALID)
        for event in events:
            text = (
                msgspec.json.encode(event).decode()
                if self.option("json")
                else format_event(event)
            )
            self.io.write_line(text.replace("<", "\\<"))
        if not events:
            self.line_error("no log line names the job", style="error")
            return int(Exit.NOT_FOUND)
        return int(Exit.OK)


class CheckSettingsCommand(Command):
    """Checks a settings file of the users' platform."""

    name = "settings check"
    description = "Check a settings file of the users' platform."
    arguments = [argument("file", "The settings file.")]

    def handle(self):
        """Print the problems of the file; return the exit code."""
        found = read_local_settings(self.argument("file"))
        if isinstance(found, Failure):
            for problem in found.failure():
                self.line_error(problem.replace("<", "\\<"), style="error")
            return int(Exit.INVALID)
        self.line(f"instance {found.unwrap().instance}: the settings are sound")
        return int(Exit.OK)


COMMANDS += [ExplainLogCommand, CheckSettingsCommand]
