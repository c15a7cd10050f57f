"""Reader of the settings file that the users' platform writes for each process."""

import math
import os
from pathlib import Path

import msgspec
from returns.result import Failure, Result, Success

from fuchsiascale.ingress import IngressSettings, find_limit_problems

__all__ = [
    "SETTINGS_VARIABLE",
    "LocalSettings",
    "parse_settings",
    "read_local_settings",
]

SETTINGS_VARIABLE = "FUCHSIASCALE_BOOT"
MISSED_HEARTBEATS = 3
"""Heartbeats without which the platform removes a worker from its list."""


class LocalSettings(msgspec.Struct, frozen=True, kw_only=True):
    """Settings of a process, with the addresses of the services it uses.

    Parameters
    ----------
    instance, failure_domain, region : str
        Id and location of this instance.
    caller_listen, ready_listen, peer_listen : tuple of str and int
        Addresses to listen on; the platform's key for ``peer_listen`` is
        ``listen.control``.
    store_address : str
        Address of the transactional store.
    seeds : tuple of str
        Addresses of peers to contact at start-up; some may be gone.
    longest_lease_s : float
        Longest lease that workers grant, in seconds.
    entry_lapse_s : float
        Time without a heartbeat of a worker after which the store drops its entry, in
        seconds; the platform's key gives the interval of heartbeats.
    stop_grace_s : float
        Time from the stop signal until the process is killed, in seconds.
    max_row_bytes : int
        Largest value that the store accepts for a row, in bytes.
    joins_partitions : bool
        Whether a transaction of the store may cover several partitions.
    cores, link_mbit_s : float
        Processors available to this process, and its link's bandwidth in Mbit/s.
    evacuation_bound_s : float or None
        Time after which a failure domain that an operator evacuates gets no new task,
        in seconds; None if the operator evacuates none.
    unstable_store_stretch_s : float
        How much longer such bounds are while the store is unstable, in seconds.
    remote_factor : float
        Multiple of its run time that a task takes away from its data; 1 if not stated.
    memory_mb : float
        Memory of the machine.
    max_fds : int
        Descriptors that the process may have.
    ingress : IngressSettings
        Limits for callers, from optional keys ``ingress.NAME``.
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
    entry_lapse_s: float = 0.0
    stop_grace_s: float = 6.0
    max_row_bytes: int = 65_536
    joins_partitions: bool = False
    cores: float = 1.0
    link_mbit_s: float = 1000.0
    evacuation_bound_s: float | None = None
    unstable_store_stretch_s: float = 0.0
    remote_factor: float = 1.0
    memory_mb: float = 512.0
    max_fds: int = 4_096
    ingress: IngressSettings = IngressSettings()


def read_local_settings(path=None) -> Result[LocalSettings, list[str]]:
    """Read the settings file.

    Parameters
    ----------
    path : str, optional
        Path of the file; by default the value of ``FUCHSIASCALE_BOOT``.

    Returns
    -------
    Result of LocalSettings or list of str
        A failure lists the problems, each with its key.
    """
    settings_path = path or os.environ.get(SETTINGS_VARIABLE, "")
    if not settings_path:
        return Failure([f"{SETTINGS_VARIABLE}: not set"])
    try:
        text = Path(settings_path).read_text()
    except (OSError, UnicodeDecodeError) as error:
        return Failure([f"{settings_path}: {error}"])
    return parse_settings(text)


def parse_settings(text) -> Result[LocalSettings, list[str]]:
    """Parse settings from lines of the form ``a.b=value``.

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
    reader = _SettingsReader(values, problems)
    settings = _build_settings(reader)
    return Failure(problems) if problems else Success(settings)


def _build_settings(reader):
    fields = {
        "instance": reader.text("node_name"),
        "failure_domain": reader.text("zone"),
        "region": reader.text("region"),
        "caller_listen": reader.address("listen.front"),
        "ready_listen": reader.address("listen.ready", required=False),
        "peer_listen": reader.address("listen.control"),
        "store_address": reader.text("platform.address"),
        "seeds": tuple(filter(None, reader.get("seeds").split(","))),
        "longest_lease_s": reader.number("bounds.hold_max_ms", 6000) / 1000,
        "entry_lapse_s": MISSED_HEARTBEATS * reader.number("heartbeat_ms", 0) / 1000,
        "stop_grace_s": reader.number("bounds.grace_s", 6),
        "max_row_bytes": int(reader.number("platform.row_bytes", 65_536)),
        "joins_partitions": reader.get("platform.across") == "true",
        "cores": reader.number("limits.cpu_share", 1)
        * reader.number("limits.cpu_cores", 1),
        "link_mbit_s": reader.number("limits.link_mbps", 1000),
        "evacuation_bound_s": _convert_to_seconds(
            reader.number("bounds.evacuate_ms", None)
        ),
        "unstable_store_stretch_s": reader.number("bounds.max_stretch_ms", 0) / 1000,
        "remote_factor": max(1.0, reader.number("bounds.remote_factor", 1)),
        "memory_mb": _read_size(reader, "limits.memory_mb", 512),
        "max_fds": int(_read_size(reader, "limits.max_fds", 4_096)),
        "ingress": _read_ingress(reader),
    }
    return None if reader.problems else LocalSettings(**fields)


def _convert_to_seconds(milliseconds):
    return None if milliseconds is None else milliseconds / 1000


def _read_size(reader, key, default):
    """Return a size of the machine; the default stands for one that makes no sense."""
    size = reader.number(key, default)
    return size if math.isfinite(size) and size > 0 else default


def _read_ingress(reader):
    """Return the limits for callers; unknown keys ``ingress.NAME`` are ignored."""
    defaults = IngressSettings()
    values = {}
    for name in IngressSettings.__struct_fields__:
        default = getattr(defaults, name)
        value = reader.number(f"ingress.{name}", default)
        whole = value is not None and name != "memory_mb" and math.isfinite(value)
        values[name] = int(value) if whole else value
    settings = IngressSettings(**values)
    reader.problems += [
        f"ingress.{problem}" for problem in find_limit_problems(settings)
    ]
    return settings


class _SettingsReader:
    """Converts values by key and collects the problems found."""

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

    def address(self, key, required=True):
        text = self.get(key)
        host, colon, port = text.rpartition(":")
        if colon and host and port.isdecimal():
            return host, int(port)
        if text or required:
            fault = f"{text!r} is not HOST:PORT" if text else "missing"
            self.problems.append(f"{key}: {fault}")
        return None
