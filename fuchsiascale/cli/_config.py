"""Commands on the fleet document."""

import asyncio
import os
import re
import time
from pathlib import Path

import msgspec
from cleo.helpers import argument, option
from returns.result import Failure, Success

from fuchsiascale.api import (
    ConfirmReply,
    DocumentReply,
    EditReply,
    EditRequest,
    HistoryReply,
)
from fuchsiascale.cli._command import DeploymentCommand, register
from fuchsiascale.cli._exits import Exit
from fuchsiascale.coordination import (
    NO_REVISION,
    DocumentOption,
    DocumentSection,
    build_fleet,
    check_fleet,
    format_sections,
    parse_fleet,
)
from fuchsiascale.ids import TeamId

__all__ = [
    "ConfigApplyCommand",
    "ConfigCheckCommand",
    "ConfigEditCommand",
    "ConfigHistoryCommand",
    "ConfigShowCommand",
    "build_edit",
    "edit_section",
]

BASE = "/operator/v1"
HISTORY_COLUMNS = ("revision", "time", "team", "author", "sections")
BASE_REVISION_PATTERN = re.compile(r"^; read at revision (\d+)$", re.MULTILINE)
CONFIRM_PERIOD_S = 0.25
DEFAULT_WAIT_S = 10.0


def build_edit(text, document, removed=(), author=""):
    """Return the edit that writes the sections of a text.

    Parameters
    ----------
    text : str
        The sections to write. If it holds the line of ``config show`` that names the
        revision at which they were read, conflicts are detected against that revision.
    document : DocumentReply
        The document in force.
    removed : tuple of str
        Sections to remove.
    author : str
        Author of the edit, for the history.

    Returns
    -------
    EditRequest
        An edit that conflicts if one of its sections has changed since it was read.
    """
    match = BASE_REVISION_PATTERN.search(text)
    base = int(match[1]) if match else document.revision
    section_names = {section.name for section in parse_fleet(text).value_or(())}
    section_names.update(removed)
    expected = tuple(
        msgspec.structs.replace(
            section, revision=min(section.revision, base), options=()
        )
        for section in document.sections
        if section.name in section_names
    )
    return EditRequest(text=text, expected=expected, removed=removed, author=author)


def edit_section(section, settings, unset):
    r"""Return a section with some options set and others removed.

    Examples
    --------
    >>> section = parse_fleet("[kind review]\nteam = hub\n").unwrap()[0]
    >>> edited = edit_section(section, ["max_failures=5"], [])
    >>> edited.options[0].value
    '5'
    """
    options = {entry.name: entry.value for entry in section.options}
    team = section.team
    for setting in settings:
        name, _, value = setting.partition("=")
        if name.strip() == "team":
            team = value.strip()
        else:
            options[name.strip()] = value.strip()
    kept = tuple(
        DocumentOption(name=name, value=value)
        for name, value in sorted(options.items())
        if name not in unset
    )
    return msgspec.structs.replace(section, team=team, options=kept)


@register
class ConfigCheckCommand(DeploymentCommand):
    """Checks a document without a daemon, or against the one in force."""

    name = "config check"
    description = (
        "Check a document file; with --against, as an edit of the one in force."
    )
    arguments = [argument("file", "INI file.")]
    options = [option("against", None, "Check as an edit of the document in force.")]

    async def perform(self, client):
        """Print all problems, or the number of valid sections."""
        text = read_text(self.argument("file"))
        if isinstance(text, Failure):
            return self.fail((text.failure(),), Exit.INVALID)
        if self.option("against"):
            return await apply_text(self, client, text.unwrap(), check_only=True)
        sections = parse_fleet(text.unwrap())
        fleet = sections.bind(build_fleet)
        problems = (
            fleet.failure()
            if isinstance(fleet, Failure)
            else check_fleet(fleet.unwrap())
        )
        if problems:
            return self.fail([str(problem) for problem in problems], Exit.INVALID)
        self.print_text(f"{len(sections.unwrap())} sections are sound")
        return Exit.OK


@register
class ConfigShowCommand(DeploymentCommand):
    """Shows the document in force."""

    name = "config show"
    description = "Show the document in force, or some of its sections."
    arguments = [
        argument(
            "section", "Sections, such as 'kind review'.", optional=True, multiple=True
        )
    ]

    async def perform(self, client):
        """Print INI text that ``config apply`` accepts."""
        result = await client.call_operator("GET", f"{BASE}/document", DocumentReply)
        if isinstance(result, Failure):
            return self.fail_call(result)
        reply = result.unwrap()
        requested = self.argument("section")
        known = {section.name: section for section in reply.sections}
        missing = [name for name in requested if name not in known]
        if missing:
            return self.fail(
                [f"there is no [{name}]" for name in missing], Exit.NOT_FOUND
            )
        shown = (
            tuple(known[name] for name in requested) if requested else reply.sections
        )
        text = format_sections(shown)
        if self.option("json"):
            self.show_json(msgspec.structs.replace(reply, sections=shown, text=text))
        else:
            self.print_text(f"; read at revision {reply.revision}\n{text.rstrip()}")
        return Exit.OK


class _WritingCommand(DeploymentCommand):
    """Base class of the commands that write sections."""

    options = [
        option("wait", None, "Wait until every instance has confirmed."),
        option(
            "wait-seconds",
            None,
            "How long to wait, in seconds.",
            flag=False,
            default=str(DEFAULT_WAIT_S),
        ),
        option("remove", None, "Section to remove.", flag=False, multiple=True),
    ]


@register
class ConfigApplyCommand(_WritingCommand):
    """Writes the sections of a file."""

    name = "config apply"
    description = "Write the sections of a file; others stay as they are."
    arguments = [argument("file", "INI file.")]

    async def perform(self, client):
        """Write the sections; with --wait, print which instances confirmed."""
        text = read_text(self.argument("file"))
        if isinstance(text, Failure):
            return self.fail((text.failure(),), Exit.INVALID)
        return await apply_text(self, client, text.unwrap())


@register
class ConfigEditCommand(_WritingCommand):
    """Sets options of one section."""

    name = "config edit"
    description = "Set options of one section; a new one needs team=NAME."
    arguments = [
        argument("section", "Section, such as 'kind review'."),
        argument("setting", "name=value", optional=True, multiple=True),
    ]
    options = [
        *_WritingCommand.options,
        option("unset", None, "Option to take away.", flag=False, multiple=True),
    ]

    async def perform(self, client):
        """Write the section in force with the changes applied."""
        settings = self.argument("setting")
        malformed = [setting for setting in settings if "=" not in setting]
        if malformed:
            details = [f"{setting!r} is not name=value" for setting in malformed]
            return self.fail(details, Exit.INVALID)
        result = await client.call_operator("GET", f"{BASE}/document", DocumentReply)
        if isinstance(result, Failure):
            return self.fail_call(result)
        document = result.unwrap()
        name = self.argument("section")
        known = [section for section in document.sections if section.name == name]
        known = known or _create_section(name)
        edited = edit_section(known[0], settings, self.option("unset"))
        text = f"; read at revision {document.revision}\n{format_sections((edited,))}"
        return await apply_text(self, client, text)


@register
class ConfigHistoryCommand(DeploymentCommand):
    """Lists accepted edits."""

    name = "config history"
    description = "List accepted edits, newest first."
    options = [option("limit", None, "How many.", flag=False, default="20")]

    async def perform(self, client):
        """Print one line per edit."""
        limit = self.option("limit")
        if not limit.isdecimal():
            return self.fail((f"--limit: {limit!r} is not a number",), Exit.INVALID)
        result = await client.call_operator(
            "GET", f"{BASE}/history", HistoryReply, query={"limit": limit}
        )
        return self.show_reply(result, HISTORY_COLUMNS, list_edit_rows)


def list_edit_rows(reply):
    """Return one row per edit, in the order of ``HISTORY_COLUMNS``."""
    return [
        (
            entry.revision,
            format_time(entry.at_ms),
            entry.team,
            entry.author,
            ", ".join(_describe(section) for section in entry.sections),
        )
        for entry in reply.entries
    ]


def read_text(path):
    """Return the text of a file, or the reason why it can't be read."""
    try:
        return Success(Path(path).read_text(encoding="utf-8"))
    except (OSError, UnicodeError) as error:
        return Failure(f"{path} cannot be read: {error}")


def format_time(at_ms):
    """Format a wall-clock time in UTC.

    Examples
    --------
    >>> format_time(0)
    '1970-01-01T00:00:00Z'
    """
    return time.strftime("%Y-%m-%dT%H:%M:%SZ", time.gmtime(at_ms / 1000))


async def apply_text(command, client, text, check_only=False):
    """Send the edit that a text describes; return the exit code."""
    document = await client.call_operator("GET", f"{BASE}/document", DocumentReply)
    if isinstance(document, Failure):
        return command.fail_call(document)
    removed = () if check_only else tuple(command.option("remove"))
    edit = build_edit(text, document.unwrap(), removed, os.environ.get("USER", ""))
    edit = msgspec.structs.replace(edit, check_only=check_only)
    result = await client.call_operator("POST", f"{BASE}/edits", EditReply, edit)
    if isinstance(result, Success) and not check_only and command.option("wait"):
        return await wait_for_all(command, client, result.unwrap().revision)
    done = "sound against" if check_only else "accepted as"
    return command.show_done(result, lambda reply: f"{done} revision {reply.revision}")


async def wait_for_all(command, client, revision):
    """Wait until all instances confirm; print which have and which have not."""
    deadline_s = time.monotonic() + float(command.option("wait-seconds"))
    query = {"revision": str(revision)}
    path = f"{BASE}/confirmations"
    while True:
        result = await client.call_operator("GET", path, ConfirmReply, query=query)
        if isinstance(result, Failure):
            return command.fail_call(result)
        reply = result.unwrap()
        if not reply.missing or time.monotonic() >= deadline_s:
            break
        await asyncio.sleep(CONFIRM_PERIOD_S)
    if command.option("json"):
        command.show_json(reply)
    else:
        command.print_text(f"accepted as revision {revision}")
        command.print_text(f"confirmed: {', '.join(reply.confirmed)}")
    if not reply.missing:
        return Exit.OK
    details = [f"not confirmed: {', '.join(reply.missing)}"]
    return command.fail(details, Exit.UNCONFIRMED)


def _create_section(name):
    return [DocumentSection(name=name, team=TeamId(""), revision=NO_REVISION)]


def _describe(section):
    return f"-{section.name}" if section.removed else section.name
