"""Reference of all options, as printed in the tables of docs/CONFIGURATION.md.

``python -m fuchsiascale.reference`` prints them.
"""

from enum import Enum

from fuchsiascale.cli._profile import PROFILE_OPTIONS
from fuchsiascale.coordination import SECTION_KINDS
from fuchsiascale.daemon._settings_options import SECTIONS

__all__ = ["format_option", "list_tables"]

HEADER = "| key | values | default | unit | meaning |\n|---|---|---|---|---|"


def format_option(option):
    """Return the table row of one option.

    Examples
    --------
    >>> from fuchsiascale.options import Option, parse_flag
    >>> enabled = Option(
    ...     name="enabled", convert=parse_flag, default=True, accepts="yes, no"
    ... )
    >>> format_option(enabled)
    '| `enabled` | yes, no | yes |  |  |'
    """
    default = "required" if option.required else _format_default(option.default)
    cells = (f"`{option.name}`", option.accepts, default, option.unit, option.meaning)
    return f"| {' | '.join(cells)} |"


def list_tables():
    """Return the heading and the table of each section, in order.

    Returns
    -------
    tuple of str
        Markdown, one text per section.
    """
    tables = [_format_table(f"`[{name}]`", "", SECTIONS[name]) for name in SECTIONS]
    for name, kind in SECTION_KINDS.items():
        heading = f"`[{name} NAME]`" if kind.named else f"`[{name}]`"
        creator = "any team" if kind.teams_can_create else "the admin team only"
        text = f"{kind.meaning}. Created by {creator}.\n\n"
        tables.append(_format_table(heading, text, kind.options))
    tables.append(_format_table("Profile of the tool", "", PROFILE_OPTIONS))
    return tuple(tables)


def _format_table(heading, text, options):
    lines = "\n".join(format_option(option) for option in options)
    return f"### {heading}\n\n{text}{HEADER}\n{lines}\n"


def _format_default(value):
    if isinstance(value, bool):
        return "yes" if value else "no"
    if isinstance(value, Enum):
        return str(value.value)
    return "" if value in ("", ()) else str(value)


if __name__ == "__main__":
    print("\n".join(list_tables()))
