"""Parsing, validation and formatting of the fleet document."""

import configparser

from returns.result import Failure, Result, Success

from fuchsiascale.coordination._records import (
    NO_REVISION,
    DocumentOption,
    DocumentSection,
)
from fuchsiascale.coordination._schema_options import (
    MAX_DOCUMENT_BYTES,
    OWNER_OPTION,
    SECTION_KINDS,
)
from fuchsiascale.coordination._view import (
    DomainSettings,
    Fleet,
    InstanceSettings,
    KindSettings,
    PolicySettings,
    ServiceSettings,
    TeamSettings,
)
from fuchsiascale.ids import TeamId
from fuchsiascale.options import OptionProblem, parse_name, read_options
from fuchsiascale.platform import Resources

__all__ = [
    "amend_fleet",
    "build_fleet",
    "check_fleet",
    "format_sections",
    "parse_fleet",
    "split_section_name",
]

_BUILDERS = {}
_FLEET_FIELDS = {
    "service": "services",
    "kind": "kinds",
    "team": "teams",
    "domain": "domains",
    "instance": "instances",
}


def parse_fleet(
    text,
) -> Result[tuple[DocumentSection, ...], tuple[OptionProblem, ...]]:
    r"""Parse INI text into sections, without validating their options.

    Parameters
    ----------
    text : str
        Sections in INI format; each names its owner in the ``team`` option.

    Returns
    -------
    Result of tuple of DocumentSection or tuple of OptionProblem
        Sections in the order of the text, each with revision 0.

    Examples
    --------
    >>> parse_fleet("[kind review]\nteam = hub\n").unwrap()[0].team
    'hub'
    >>> print(parse_fleet("[kind review]\n").failure()[0])
    [kind review] team: missing
    """
    if len(text.encode()) > MAX_DOCUMENT_BYTES:
        detail = f"longer than {MAX_DOCUMENT_BYTES} bytes"
        return Failure((OptionProblem(section="", detail=detail),))
    parser = configparser.ConfigParser(interpolation=None, default_section="")
    parser.optionxform = str
    try:
        parser.read_string(text, source="document")
    except configparser.Error as error:
        detail = " ".join(str(error).split())
        return Failure((OptionProblem(section="", detail=detail),))
    sections, problems = [], []
    seen = set()
    for written in parser.sections():
        name = " ".join(written.split())
        section, found = _parse_section(name, dict(parser[written]))
        sections.append(section)
        problems.extend(found)
        if name in seen:
            problems.append(OptionProblem(section=name, detail="stands twice"))
        seen.add(name)
    return Failure(tuple(problems)) if problems else Success(tuple(sections))


def split_section_name(name):
    """Return the kind and the item of a section's name.

    Examples
    --------
    >>> split_section_name("service aula-hub")
    ('service', 'aula-hub')
    >>> split_section_name("policy")
    ('policy', '')
    """
    kind, _, item = name.partition(" ")
    return kind, item


def format_sections(sections):
    """Return sections as INI text that :func:`parse_fleet` can parse.

    Examples
    --------
    >>> section = DocumentSection(name="policy", team=TeamId("hub"), revision=3)
    >>> print(format_sections((section,)), end="")
    [policy]
    team = hub
    """
    parts = []
    for section in sections:
        lines = [f"[{section.name}]", f"{OWNER_OPTION} = {section.team}"]
        lines += [f"{option.name} = {option.value}" for option in section.options]
        parts.append("\n".join(lines) + "\n")
    return "\n".join(parts)


def build_fleet(
    sections, revision=NO_REVISION
) -> Result[Fleet, tuple[OptionProblem, ...]]:
    """Build the fleet that sections describe.

    Parameters
    ----------
    sections : iterable of DocumentSection
        All sections; removed ones are ignored.
    revision : Revision
        Revision of the document.

    Returns
    -------
    Result of Fleet or tuple of OptionProblem
        All problems of individual sections, each with its section and key.
    """
    return amend_fleet(Fleet(), sections, revision)


def amend_fleet(fleet, sections, revision) -> Result[Fleet, tuple[OptionProblem, ...]]:
    """Return a fleet with some sections replaced, added or removed.

    Parameters
    ----------
    fleet : Fleet
        The current fleet, which is not modified.
    sections : iterable of DocumentSection
        The sections that changed.
    revision : Revision
        Revision of the amended document.

    Returns
    -------
    Result of Fleet or tuple of OptionProblem
        All problems of the changed sections.
    """
    parts = {kind: dict(getattr(fleet, field)) for kind, field in _FLEET_FIELDS.items()}
    parts["policy"] = {"": fleet.policy}
    problems = []
    for section in sections:
        kind, item = split_section_name(section.name)
        if section.removed:
            parts.get(kind, {}).pop(item, None)
            continue
        result = _build_section(section, kind, item)
        if isinstance(result, Success):
            parts[kind][item] = result.unwrap()
        else:
            problems.extend(result.failure())
    if problems:
        return Failure(tuple(problems))
    policy = parts.pop("policy").get("", PolicySettings())
    fields = {_FLEET_FIELDS[kind]: items for kind, items in parts.items()}
    return Success(Fleet(revision=revision, policy=policy, **fields))


def check_fleet(fleet) -> tuple[OptionProblem, ...]:
    """Return the problems between sections, empty if the fleet is valid.

    Parameters
    ----------
    fleet : Fleet
        A fleet whose individual sections are valid.

    Returns
    -------
    tuple of OptionProblem
        Unknown owners and failure domains, floors that add up to more than 1, and
        reserves that exceed every instance.
    """
    return (
        *_check_owners(fleet),
        *_check_floors(fleet.policy),
        *_check_reserves(fleet),
        *_check_domains(fleet),
    )


def _parse_section(name, items):
    team = items.pop(OWNER_OPTION, "")
    kind, item = split_section_name(name)
    problems = _check_name(name, kind, item)
    if not team:
        problem = OptionProblem(section=name, key=OWNER_OPTION, detail="missing")
        problems.append(problem)
    options = tuple(
        DocumentOption(name=key, value=value) for key, value in sorted(items.items())
    )
    section = DocumentSection(
        name=name, team=TeamId(team), revision=NO_REVISION, options=options
    )
    return section, problems


def _check_name(name, kind, item):
    if kind not in SECTION_KINDS:
        detail = f"unknown section; known are {', '.join(SECTION_KINDS)}"
        return [OptionProblem(section=name, detail=detail)]
    if not SECTION_KINDS[kind].named:
        detail = "takes no name"
        return [OptionProblem(section=name, detail=detail)] if item else []
    result = parse_name(item)
    if isinstance(result, Failure):
        return [OptionProblem(section=name, detail=f"name {result.failure()}")]
    return []


def _build_section(section, kind, item):
    problems = _check_name(section.name, kind, item)
    if problems:
        return Failure(problems)
    items = {option.name: option.value for option in section.options}
    values, problems = read_options(section.name, items, SECTION_KINDS[kind].options)
    if problems:
        return Failure(problems)
    return Success(_BUILDERS[kind](item, section.team, values))


def _check_owners(fleet):
    owners = [("policy", fleet.policy.team)] if fleet.policy.team else []
    owners += [(f"team {name}", part.owner) for name, part in fleet.teams.items()]
    for kind, field in _FLEET_FIELDS.items():
        if kind == "team":
            continue
        parts = getattr(fleet, field)
        owners += [(f"{kind} {name}", part.team) for name, part in parts.items()]
    for name, team in owners:
        if team not in fleet.teams:
            detail = f"there is no [team {team}]"
            yield OptionProblem(section=name, key=OWNER_OPTION, detail=detail)


def _check_floors(policy):
    total = policy.urgent_floor + policy.normal_floor + policy.batch_floor
    if total > 1:
        detail = f"the three floors add up to {total:g}, more than 1"
        yield OptionProblem(section="policy", key="urgent_floor", detail=detail)


def _check_reserves(fleet):
    """Check that at least one declared instance can hold each service's reserve."""
    sizes = {part.capacity for part in fleet.instances.values()} - {Resources()}
    for name, service in fleet.services.items():
        if sizes and not any(service.reserve.fits(size) for size in sizes):
            detail = "no declared instance can hold the reserve"
            key = "reserve_millicores"
            yield OptionProblem(section=f"service {name}", key=key, detail=detail)


def _check_domains(fleet):
    for name, part in fleet.instances.items():
        domain = part.failure_domain
        if domain and domain not in fleet.domains:
            detail = f"there is no [domain {domain}]"
            key = "failure_domain"
            yield OptionProblem(section=f"instance {name}", key=key, detail=detail)


def _register_builder(kind):
    """Register a function that builds a section of one kind from its values."""

    def register(function):
        _BUILDERS[kind] = function
        return function

    return register


def _pop_resources(values, prefix):
    return Resources(
        millicores=values.pop(f"{prefix}millicores"),
        memory_mb=values.pop(f"{prefix}memory_mb"),
        accelerators=values.pop(f"{prefix}accelerators"),
    )


@_register_builder("service")
def _build_service(item, team, values):
    reserve = _pop_resources(values, "reserve_")
    return ServiceSettings(service=item, team=team, reserve=reserve, **values)


@_register_builder("kind")
def _build_kind(item, team, values):
    return KindSettings(kind=item, team=team, **values)


@_register_builder("team")
def _build_team(item, team, values):
    quota = _pop_resources(values, "quota_")
    quota = None if quota == Resources() else quota
    return TeamSettings(team=item, owner=team, quota=quota, **values)


@_register_builder("domain")
def _build_domain(item, team, values):
    return DomainSettings(failure_domain=item, team=team, **values)


@_register_builder("instance")
def _build_instance(item, team, values):
    capacity = _pop_resources(values, "")
    return InstanceSettings(instance=item, team=team, capacity=capacity, **values)


@_register_builder("policy")
def _build_policy(item, team, values):
    return PolicySettings(team=team, **values)
