"""Reads the settings file that the users' platform gives each process."""

import os
from pathlib import Path

import msgspec
from returns.result import Failure, Result, Success

__all__ = [
    "SETTINGS_VARIABLE",
    "LocalSettings",
    "parse_settings",
    "read_local_settings",
]

SETTINGS_VARIABLE = "FUCHSIASCALE_BOOT"


class LocalSettings(msgspec.Struct, frozen=True, kw_only=True):
    """What a process is told of itself and of the platform.

    Parameters
    ----------
    instance, failure_domain, region : str
        This instance and where it stands.
    caller_listen, ready_listen, peer_listen : tuple of str and int
        Addresses to listen at. Peers use what the platform calls control.
    store_address : str
        The transactional store.
    seeds : tuple of str
        Peers to ask at the start; some may be gone.
    longest_lease_s : float
        Longest lease that workers grant.
    stop_grace_s : float
        Time from the signal to stop until the process is killed.
    cores, link_mbit_s : float
        Processors of this process and the bandwidth of its link.
    """

    instance: str
    failure_domain: str
    region: str
    caller_listen: tuple[str, int]
    ready_listen: tuple[str, int] | None
    peer_listen: tuple[str, int]
    store_address: str
    seeds: tuple[str, ...] = ()
    longest_lease_s: float = 6.0
    stop_grace_s: float = 6.0
    cores: float = 1.0
    link_mbit_s: float = 1000.0


def read_local_settings(path=None) -> Result[LocalSettings, list[str]]:
    """Read the settings file named by the environment.

    Parameters
    ----------
    path : str, optional
        The file, in place of the one that the environment names.

    Returns
    -------
    Result of LocalSettings or list of str
        A failure holds one text a problem, each with its key.
    """
    place = path or os.environ.get(SETTINGS_VARIABLE, "")
    if not place:
        return Failure([f"{SETTINGS_VARIABLE}: not set"])
    try:
        text = Path(place).read_text()
    except (OSError, UnicodeDecodeError) as error:
        return Failure([f"{place}: {error}"])
    return parse_settings(text)


def parse_settings(text) -> Result[LocalSettings, list[str]]:
    """Return the settings that lines of the form ``a.b=value`` hold.

    Examples
    --------
    >>> parse_settings("node_name=a").failure()[0]
    'zone: missing'
    """
    values, problems = {}, []
    for number, line in enumerate(text.splitlines(), 1):
        if not line.strip() or line.lstrip().startswith("#"):
            continue
        key, equals, value = line.partition("=")
        if not equals:
            problems.append(f"line {number}: no '='")
        values[key.strip()] = value.strip()
    reader = _Reader(values, problems)
    settings = _build(reader)
    return Failure(problems) if problems else Success(settings)


def _build(reader):
    fields = {
        "instance": reader.text("node_name"),
        "failure_domain": reader.text("zone"),
        "region": reader.text("region"),
        "caller_listen": reader.address("listen.front"),
        "ready_listen": reader.address("listen.ready", needed=False),
        "peer_listen": reader.address("listen.control"),
        "store_address": reader.text("platform.address"),
        "seeds": tuple(filter(None, reader.get("seeds").split(","))),
        "longest_lease_s": reader.number("bounds.hold_max_ms", 6000) / 1000,
        "stop_grace_s": reader.number("bounds.grace_s", 6),
        "cores": reader.number("limits.cpu_share", 1)
        * reader.number("limits.cpu_cores", 1),
        "link_mbit_s": reader.number("limits.link_mbps", 1000),
    }
    return None if reader.problems else LocalSettings(**fields)


class _Reader:
    """Takes values by key and gathers what is wrong with them."""

    def __init__(self, values, problems):
        self.values = values
        self.problems = problems

    def get(self, key):
        return self.values.get(key, "")

    def text(self, key):
        if not self.get(key):
            self.problems.append(f"{key}: missing")
        return self.get(key)

    def number(self, key, default):
        text = self.get(key)
        if not text:
            return default
        try:
            return float(text)
        except ValueError:
            self.problems.append(f"{key}: {text!r} is not a number")
            return default

    def address(self, key, needed=True):
        text = self.get(key)
        host, colon, port = text.rpartition(":")
        if colon and host and port.isdecimal():
            return host, int(port)
        if text or needed:
            what = f"{text!r} is not HOST:PORT" if text else "missing"
            self.problems.append(f"{key}: {what}")
        return None
