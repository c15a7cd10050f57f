"""Validation of an edit of the fleet document before it is written."""

import msgspec
from returns.result import Failure, Result, Success

from fuchsiascale.coordination._records import DocumentSection
from fuchsiascale.coordination._schema import (
    amend_fleet,
    check_fleet,
    parse_fleet,
    split_section_name,
)
from fuchsiascale.coordination._schema_options import SECTION_KINDS
from fuchsiascale.ids import Revision
from fuchsiascale.options import OptionProblem

__all__ = [
    "EditConflict",
    "EditError",
    "EditForbidden",
    "EditInvalid",
    "EditUnavailable",
    "EditUncertain",
    "plan_edit",
]


class EditError(msgspec.Struct, frozen=True, kw_only=True):
    """Base class of the reasons why an edit was not accepted."""

    detail: str = ""


class EditInvalid(EditError, frozen=True, kw_only=True):
    """The edit would make the document invalid."""

    problems: tuple[OptionProblem, ...]


class EditForbidden(EditError, frozen=True, kw_only=True):
    """The edit touches sections that the team does not own."""

    problems: tuple[OptionProblem, ...]


class EditConflict(EditError, frozen=True, kw_only=True):
    """Stored sections have other revisions than those the edit was based on."""

    conflicts: tuple[str, ...]


class EditUnavailable(EditError, frozen=True, kw_only=True):
    """The store could not be reached, and nothing was changed."""


class EditUncertain(EditError, frozen=True, kw_only=True):
    """The edit may have been written as this revision; the history shows whether."""

    revision: Revision


def plan_edit(
    fleet, sections, request, team, admin
) -> Result[tuple[DocumentSection, ...], EditError]:
    """Return the sections that an edit changes, or why it is rejected.

    Parameters
    ----------
    fleet : Fleet
        The document in force.
    sections : mapping of str to DocumentSection
        The stored sections by name, including removed ones.
    request : EditRequest
        The edit.
    team : TeamId
        Team of the operator.
    admin : bool
        Whether the operator may edit sections of every team.

    Returns
    -------
    Result of tuple of DocumentSection or EditError
        The sections that differ from the stored ones; empty if all are equal.
    """
    parsed = parse_fleet(request.text)
    if isinstance(parsed, Failure):
        return Failure(EditInvalid(problems=parsed.failure()))
    unknown = tuple(
        OptionProblem(section=name, detail="there is no such section to remove")
        for name in request.removed
        if name not in sections
    )
    if unknown:
        return Failure(EditInvalid(problems=unknown))
    proposed = [*parsed.unwrap(), *_build_removed(sections, request.removed)]
    changed = tuple(section for section in proposed if not _is_equal(section, sections))
    problems = () if admin else tuple(_check_ownership(changed, sections, team))
    if problems:
        return Failure(EditForbidden(problems=problems))
    conflicts = tuple(_find_conflicts(changed, sections, request.expected))
    if conflicts:
        return Failure(EditConflict(conflicts=conflicts))
    amended = amend_fleet(fleet, changed, Revision(fleet.revision + 1))
    if isinstance(amended, Failure):
        return Failure(EditInvalid(problems=amended.failure()))
    problems = check_fleet(amended.unwrap())
    return Failure(EditInvalid(problems=problems)) if problems else Success(changed)


def _build_removed(sections, names):
    for name in names:
        current = _find_section(sections, name)
        if current is not None:
            yield msgspec.structs.replace(current, options=(), removed=True)


def _find_section(sections, name):
    """Return the section with a name, or None if it is absent or removed."""
    current = sections.get(name)
    return None if current is None or current.removed else current


def _is_equal(section, sections):
    current = _find_section(sections, section.name)
    if current is None:
        return False
    return msgspec.structs.replace(section, revision=current.revision) == current


def _check_ownership(changed, sections, team):
    for section in changed:
        current = _find_section(sections, section.name)
        owner = section.team if current is None else current.team
        kind, _ = split_section_name(section.name)
        if owner != team:
            detail = f"belongs to team {owner}, not to {team}"
        elif section.team != team:
            detail = "only the admin team hands a section to another team"
        elif current is None and not SECTION_KINDS[kind].teams_can_create:
            detail = f"only the admin team creates a [{kind}] section"
        else:
            continue
        yield OptionProblem(section=section.name, detail=detail)


def _find_conflicts(changed, sections, expected):
    read = {section.name: section.revision for section in expected}
    for section in changed:
        current = _find_section(sections, section.name)
        stored = current.revision if current else 0
        expected_revision = read.get(section.name, 0)
        if stored != expected_revision:
            yield (
                f"[{section.name}]: the edit was made on revision {expected_revision}, "
                f"the store holds revision {stored}"
            )
