"""Addresses, token and TLS files, from options, environment and profile file."""

import configparser
from pathlib import Path

import msgspec
from returns.result import Failure, Result, Success

from fuchsiascale.options import (
    integer_option,
    path_option,
    read_options,
    text_option,
    url_option,
)

__all__ = ["ENVIRONMENT_PREFIX", "PROFILE_OPTIONS", "Profile", "read_profile"]

ENVIRONMENT_PREFIX = "FUCHSIASCALE_"
DEFAULT_PROFILES = "~/.config/fuchsiascale.ini"
DEFAULT_PROFILE = "default"

PROFILE_OPTIONS = (
    url_option("operator", "Operator interface of any instance"),
    url_option("caller", "Caller interface of any instance, or the balancer's"),
    text_option("token", "Token of the own team"),
    path_option("token_file", "File that holds the token"),
    path_option("authority", "PEM authority that the listeners are checked by"),
    path_option("certificate", "PEM file with the own certificate and key"),
    integer_option("timeout_ms", 10_000, 100, 600_000, "ms", "Time limit of one call"),
)


class Profile(msgspec.Struct, frozen=True, kw_only=True):
    """Addresses, credentials and time limit for calls to a deployment."""

    operator: str = ""
    caller: str = ""
    token: str = ""
    authority: str = ""
    certificate: str = ""
    timeout_ms: int = 10_000


def read_profile(given_options, environment) -> Result[Profile, tuple[str, ...]]:
    """Build a profile; options override the environment, which overrides the file.

    Parameters
    ----------
    given_options : mapping of str to str
        Values of the command-line options that were given, by option name.
    environment : mapping of str to str
        Environment variables of the process.

    Returns
    -------
    Result of Profile or tuple of str
        The profile, or all problems.
    """
    loaded = _read_file(given_options, environment)
    if isinstance(loaded, Failure):
        return loaded
    texts = dict(loaded.unwrap())
    for option in PROFILE_OPTIONS:
        name = f"{ENVIRONMENT_PREFIX}{option.name.upper()}"
        if environment.get(name):
            texts[option.name] = environment[name]
        if given_options.get(option.name):
            texts[option.name] = given_options[option.name]
    values, problems = read_options("profile", texts, PROFILE_OPTIONS)
    if problems:
        return Failure(tuple(str(problem) for problem in problems))
    token_file = values.pop("token_file")
    if token_file and not values["token"]:
        try:
            values["token"] = Path(token_file).read_text(encoding="utf-8").strip()
        except (OSError, UnicodeError) as error:
            return Failure((f"token_file cannot be read: {error}",))
    return Success(Profile(**values))


def _read_file(given_options, environment):
    """Return the items of the named profile; an absent default file is empty."""
    configured_path = environment.get(f"{ENVIRONMENT_PREFIX}PROFILES", "")
    name = given_options.get("profile") or environment.get(
        f"{ENVIRONMENT_PREFIX}PROFILE", ""
    )
    path = Path(configured_path or DEFAULT_PROFILES).expanduser()
    if not path.exists() and not configured_path and not name:
        return Success({})
    parser = configparser.ConfigParser(interpolation=None, default_section="")
    try:
        parser.read_string(path.read_text(encoding="utf-8"), source=str(path))
    except (OSError, UnicodeError, configparser.Error) as error:
        return Failure((f"{path}: {' '.join(str(error).split())}",))
    section = name or DEFAULT_PROFILE
    if parser.has_section(section):
        return Success(dict(parser[section]))
    return Failure((f"{path}: there is no [{section}]",)) if name else Success({})
