"""Options of the settings file, by section."""

from enum import Enum

from fuchsiascale.ingress import LIMIT_RANGES, IngressSettings
from fuchsiascale.options import (
    Option,
    choice_option,
    integer_option,
    name_option,
    number_option,
    parse_address,
    parse_addresses,
    path_option,
    text_option,
    url_option,
)

__all__ = ["LISTENERS", "OPERATOR_PREFIX", "SECTIONS", "LogLevel", "TraceExporter"]

LISTENERS = ("caller", "peer", "operator")
OPERATOR_PREFIX = "operator."
DEFAULT_LIMITS = {"idle_timeout_ms": 3_600_000}
"""Other defaults than on the users' platform: callers may keep idle connections open
for long, and the oldest gives way when the listener is full."""


class TraceExporter(Enum):
    """Where sampled spans go."""

    NONE = "none"
    CONSOLE = "console"
    OTLP = "otlp"


class LogLevel(Enum):
    """Lowest level of the log lines that are written."""

    DEBUG = "debug"
    INFO = "info"
    NOTICE = "notice"
    WARNING = "warning"
    ERROR = "error"


def _address(name, meaning):
    return Option(
        name=name,
        convert=parse_address,
        required=True,
        accepts="IP:port",
        meaning=meaning,
    )


def _required_name(name, meaning):
    return name_option(name, meaning, required=True)


def _required_url(name, meaning):
    return url_option(name, meaning, required=True)


def _period(name, default_ms, low_ms, high_ms, meaning):
    return integer_option(name, default_ms, low_ms, high_ms, "ms", meaning)


def _tls(prefix, owner):
    meanings = {
        "certificate": f"PEM certificate of {owner}",
        "key": f"PEM key of {owner}",
        "authority": f"PEM authority that the other side of {owner} is checked by",
    }
    return tuple(
        path_option(f"{prefix}tls_{part}", meaning)
        for part, meaning in meanings.items()
    )


def _limit(name, unit, meaning):
    """Return an option of a limit; 0 stands for the default from the machine's size."""
    low, high = LIMIT_RANGES[name]
    default = DEFAULT_LIMITS.get(name, getattr(IngressSettings(), name))
    derived = default is None
    return integer_option(
        name, 0 if derived else default, 0 if derived else low, high, unit, meaning
    )


SECTIONS = {
    "instance": (
        _required_name("id", "Name of this instance, as in the instance list"),
        _required_name("failure_domain", "Failure domain that the instance stands in"),
        _required_name("region", "Region that the failure domain belongs to"),
    ),
    "listen": (
        _address("caller", "Address of the caller interface"),
        _address("peer", "Address that other instances connect to"),
        _address("operator", "Address of the operator interface"),
        Option(
            name="peer_advertised",
            convert=parse_address,
            default="",
            accepts="IP:port",
            meaning="Address that peers are told, where it is not that of `peer`",
        ),
        *(
            option
            for name in LISTENERS
            for option in _tls(f"{name}_", f"the {name} listener")
        ),
    ),
    "platform": (
        _required_url("tables", "Base URL of the table service"),
        _required_url("objects", "Base URL of the object store"),
        _required_url("instances", "Base URL of the instance list"),
        _period("timeout_ms", 2_000, 50, 30_000, "Time limit of one platform call"),
        *_tls("", "calls to the platform"),
    ),
    "upstreams": _tls("", "calls to workers and runners"),
    "peers": (
        Option(
            name="seeds",
            convert=parse_addresses,
            default=(),
            accepts="list of IP:port",
            meaning="Peers to contact while the instance list is unreachable",
        ),
    ),
    "access": (
        text_option("peer_token", "Token between instances"),
        path_option(
            "peer_token_file",
            "File that holds the token between instances",
            accepts="path, relative to the settings file",
        ),
        name_option("admin", "Team that may edit every section", default="admin"),
    ),
    "timers": (
        _period("heartbeat_ms", 2_000, 200, 5_000, "Time between heartbeats"),
        _period("list_poll_ms", 2_000, 100, 60_000, "Time between list reads"),
        _period("document_poll_ms", 2_000, 100, 5_000, "Time between head reads"),
        _period("exchange_ms", 5_000, 100, 60_000, "Time between worker exchanges"),
        _period("lease_ms", 15_000, 500, 300_000, "Lease of a worker"),
        _period("stop_grace_ms", 30_000, 0, 600_000, "Bound of a graceful stop"),
    ),
    "ingress": (
        integer_option(
            "machine_memory_mb", 256, 64, 1_000_000, "MB", "Memory of the machine"
        ),
        integer_option(
            "machine_fds", 4_096, 256, 1_000_000, "", "Descriptors of the process"
        ),
        _limit(
            "memory_mb",
            "MB",
            "Memory for heads and bodies; 0 for a fifth of the machine's",
        ),
        _limit(
            "connections",
            "",
            "Connections of the caller listener; 0 for a number by the machine's size",
        ),
        _limit(
            "connections_per_address",
            "",
            "Those of one source address; 0 for nine tenths of all",
        ),
        _limit("max_head_bytes", "bytes", "Longest head of a request"),
        _limit("head_timeout_ms", "ms", "Time limit of a head, and of a TLS handshake"),
        _limit("idle_timeout_ms", "ms", "Time limit of a connection without a request"),
        _limit("body_grace_ms", "ms", "Time before the rate of a body is checked"),
        _limit("min_body_rate", "bytes/s", "Least average rate of a body after that"),
    ),
    "traces": (
        choice_option("exporter", TraceExporter.NONE, "Where sampled spans go"),
        number_option(
            "sample_ratio", 0.01, 0, 1, "Share of requests whose spans are recorded"
        ),
    ),
    "logs": (
        choice_option("level", LogLevel.INFO, "Least level of the lines written"),
    ),
}
