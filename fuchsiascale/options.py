"""Typed options of INI sections, used by the settings and the fleet document."""

import ipaddress
import math
import re
from collections.abc import Callable
from enum import Enum
from typing import Any

import msgspec
from returns.result import Failure, Result, Success

__all__ = [
    "Option",
    "OptionProblem",
    "choice_option",
    "flag_option",
    "integer_option",
    "make_choice_converter",
    "make_integer_converter",
    "make_number_converter",
    "name_option",
    "number_option",
    "parse_address",
    "parse_addresses",
    "parse_flag",
    "parse_name",
    "parse_path",
    "parse_sha256",
    "parse_text",
    "parse_url",
    "path_option",
    "read_options",
    "text_option",
    "url_option",
]

MAX_PORT = 65_535
NAME_PATTERN = re.compile(r"[A-Za-z0-9][A-Za-z0-9._-]{0,62}")
SHA256_PATTERN = re.compile(r"[0-9a-f]{64}")
URL_PATTERN = re.compile(r"(https?)://([^/]+)/?")

Converter = Callable[[str], Result[Any, str]]


class Option(msgspec.Struct, frozen=True, kw_only=True):
    """One option that a section may contain.

    Parameters
    ----------
    name : str
        Key in the INI section.
    convert : callable
        Converts the text to the value, or returns a description of the problem.
    default : object
        Value if the option is absent; unused if the option is required.
    required : bool
        Whether the section must contain the option.
    unit : str
        Unit of the value, for the reference.
    accepts : str
        Description of the accepted values, for the reference.
    meaning : str
        What the option does, for the reference.
    """

    name: str
    convert: Converter
    default: Any = None
    required: bool = False
    unit: str = ""
    accepts: str = ""
    meaning: str = ""


class OptionProblem(msgspec.Struct, frozen=True, kw_only=True):
    """One problem of a section; ``key`` is empty if it concerns the whole section."""

    section: str
    key: str = ""
    detail: str

    def __str__(self):
        location = f"[{self.section}]" if self.section else "document"
        return (
            f"{location} {self.key}: {self.detail}"
            if self.key
            else f"{location}: {self.detail}"
        )


def make_integer_converter(low, high):
    """Return a converter to whole numbers from ``low`` to ``high``.

    Examples
    --------
    >>> make_integer_converter(1, 8)("9").failure()
    '9 is not from 1 to 8'
    """

    def convert(text):
        try:
            value = int(text)
        except ValueError:
            return Failure(f"{text!r} is not a whole number")
        if not low <= value <= high:
            return Failure(f"{value} is not from {low} to {high}")
        return Success(value)

    return convert


def make_number_converter(low, high):
    """Return a converter to numbers from ``low`` to ``high``.

    Examples
    --------
    >>> make_number_converter(0, 1)("0.25").unwrap()
    0.25
    """

    def convert(text):
        try:
            value = float(text)
        except ValueError:
            return Failure(f"{text!r} is not a number")
        if not math.isfinite(value) or not low <= value <= high:
            return Failure(f"{text} is not from {low:g} to {high:g}")
        return Success(value)

    return convert


def make_choice_converter(enumeration: type[Enum]):
    """Return a converter to the members of an enumeration, by value."""
    values = [member.value for member in enumeration]

    def convert(text):
        if text not in values:
            return Failure(f"{text!r} is not one of {', '.join(values)}")
        return Success(enumeration(text))

    return convert


def parse_flag(text):
    """Convert ``yes`` or ``no``."""
    if text not in ("yes", "no"):
        return Failure(f"{text!r} is neither yes nor no")
    return Success(text == "yes")


def parse_text(text):
    """Accept any text."""
    return Success(text)


def parse_name(text):
    """Accept a name of letters, digits, dots, hyphens and underscores."""
    if not NAME_PATTERN.fullmatch(text):
        return Failure(f"{text!r} is not a name of at most 63 of A-Z a-z 0-9 . _ -")
    return Success(text)


def parse_path(text):
    """Accept the path of a file; an empty text is rejected."""
    if not text:
        return Failure("the path is empty")
    return Success(text)


def parse_sha256(text):
    """Accept a SHA-256 digest in lower-case hexadecimal digits."""
    if not SHA256_PATTERN.fullmatch(text):
        return Failure("not a SHA-256 digest of 64 lower-case hexadecimal digits")
    return Success(text)


def parse_address(text):
    """Accept ``host:port`` with an IP number as the host.

    Examples
    --------
    >>> parse_address("10.0.0.7:8080").unwrap()
    '10.0.0.7:8080'
    >>> parse_address("hub:8080").failure()
    "'hub' is not an IP number"
    """
    host, separator, port = text.rpartition(":")
    if not separator:
        return Failure(f"{text!r} is not host:port")
    try:
        ipaddress.ip_address(host.removeprefix("[").removesuffix("]"))
    except ValueError:
        return Failure(f"{host!r} is not an IP number")
    if not port.isdecimal() or not 1 <= int(port) <= MAX_PORT:
        return Failure(f"port {port!r} is not from 1 to {MAX_PORT}")
    return Success(text)


def parse_addresses(text):
    """Accept a list of ``host:port``, separated by commas or spaces."""
    results = [parse_address(word) for word in text.replace(",", " ").split()]
    for result in results:
        if isinstance(result, Failure):
            return result
    return Success(tuple(result.unwrap() for result in results))


def parse_url(text):
    """Accept ``http://host:port`` or ``https://host:port`` with an IP number.

    Examples
    --------
    >>> parse_url("http://10.0.0.1:9000/").unwrap()
    'http://10.0.0.1:9000'
    """
    match = URL_PATTERN.fullmatch(text)
    if match is None:
        return Failure(f"{text!r} is not http://host:port or https://host:port")
    return parse_address(match[2]).map(lambda address: f"{match[1]}://{address}")


def integer_option(name, default, low, high, unit, meaning):
    """Return an option that takes whole numbers from ``low`` to ``high``."""
    return Option(
        name=name,
        convert=make_integer_converter(low, high),
        default=default,
        unit=unit,
        accepts=f"{low} to {high}",
        meaning=meaning,
    )


def number_option(name, default, low, high, meaning):
    """Return an option that takes numbers from ``low`` to ``high``."""
    return Option(
        name=name,
        convert=make_number_converter(low, high),
        default=default,
        accepts=f"{low:g} to {high:g}",
        meaning=meaning,
    )


def choice_option(name, default, meaning):
    """Return an option that takes the members of the default's enumeration.

    Examples
    --------
    >>> from fuchsiascale.states import Urgency
    >>> choice_option("urgency", Urgency.BATCH, "Urgency class").accepts
    'urgent, normal, batch'
    """
    enumeration = type(default)
    return Option(
        name=name,
        convert=make_choice_converter(enumeration),
        default=default,
        accepts=", ".join(member.value for member in enumeration),
        meaning=meaning,
    )


def flag_option(name, default, meaning):
    """Return an option that takes ``yes`` or ``no``."""
    return Option(
        name=name,
        convert=parse_flag,
        default=default,
        accepts="yes, no",
        meaning=meaning,
    )


def name_option(name, meaning, default="", required=False):
    """Return an option that takes a name; see `parse_name`."""
    return Option(
        name=name,
        convert=parse_name,
        default=default,
        required=required,
        accepts="name",
        meaning=meaning,
    )


def text_option(name, meaning):
    """Return an option that takes any text, empty by default."""
    return Option(
        name=name, convert=parse_text, default="", accepts="text", meaning=meaning
    )


def path_option(name, meaning, accepts="path"):
    """Return an option that takes the path of a file, absent by default."""
    return Option(
        name=name, convert=parse_path, default="", accepts=accepts, meaning=meaning
    )


def url_option(name, meaning, required=False):
    """Return an option that takes the base URL of a server; see `parse_url`."""
    return Option(
        name=name,
        convert=parse_url,
        default="",
        required=required,
        accepts="http://IP:port or https://IP:port",
        meaning=meaning,
    )


def read_options(section, items, options):
    """Convert the items of a section by their options.

    Parameters
    ----------
    section : str
        Name of the section, for the reported problems.
    items : mapping of str to str
        Keys and texts of the section.
    options : iterable of Option
        The options that the section may contain.

    Returns
    -------
    values : dict of str to object
        The value of each option, which is the default if it is absent or invalid.
    problems : tuple of OptionProblem
        Unknown keys, missing required keys and invalid values.
    """
    known = {option.name: option for option in options}
    problems = [
        OptionProblem(section=section, key=key, detail="unknown key")
        for key in items
        if key not in known
    ]
    values = {}
    for name, option in known.items():
        if name not in items:
            if option.required:
                problem = OptionProblem(section=section, key=name, detail="missing")
                problems.append(problem)
            values[name] = option.default
            continue
        result = option.convert(items[name])
        if isinstance(result, Success):
            values[name] = result.unwrap()
            continue
        detail = result.failure()
        problems.append(OptionProblem(section=section, key=name, detail=detail))
        values[name] = option.default
    return values, tuple(problems)
