"""Options that a settings file may hold, section by section."""

from enum import Enum

from fuchsiascale.options import (
    Option,
    choice,
    integer,
    number,
    parse_address,
    parse_addresses,
    parse_name,
    parse_path,
    parse_text,
    parse_url,
)

__all__ = ["LISTENERS", "OPERATOR_PREFIX", "SECTIONS", "LogLevel", "TraceExporter"]

LISTENERS = ("caller", "peer", "operator")
OPERATOR_PREFIX = "operator."


class TraceExporter(Enum):
    """Where sampled spans go."""

    NONE = "none"
    CONSOLE = "console"
    OTLP = "otlp"


class LogLevel(Enum):
    """Least level of the log lines that are written."""

    DEBUG = "debug"
    INFO = "info"
    NOTICE = "notice"
    WARNING = "warning"
    ERROR = "error"


def _name(name, meaning):
    return Option(
        name=name, convert=parse_name, required=True, accepts="name", meaning=meaning
    )


def _address(name, meaning):
    return Option(
        name=name,
        convert=parse_address,
        required=True,
        accepts="IP:port",
        meaning=meaning,
    )


def _url(name, meaning):
    return Option(
        name=name,
        convert=parse_url,
        required=True,
        accepts="http://IP:port or https://IP:port",
        meaning=meaning,
    )


def _period(name, default, low, high, meaning):
    return Option(
        name=name,
        convert=integer(low, high),
        default=default,
        unit="ms",
        accepts=f"{low} to {high}",
        meaning=meaning,
    )


def _tls(prefix, whose):
    meanings = {
        "certificate": f"PEM certificate of {whose}",
        "key": f"PEM key of {whose}",
        "authority": f"PEM authority that the other side of {whose} is checked by",
    }
    return tuple(
        Option(
            name=f"{prefix}tls_{part}",
            convert=parse_path,
            default="",
            accepts="path",
            meaning=meaning,
        )
        for part, meaning in meanings.items()
    )


SECTIONS = {
    "instance": (
        _name("id", "Name of this instance, as in the instance list"),
        _name("failure_domain", "Failure domain that the instance stands in"),
        _name("region", "Region that the failure domain belongs to"),
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
        _url("tables", "Base URL of the table service"),
        _url("objects", "Base URL of the object store"),
        _url("instances", "Base URL of the instance list"),
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
        Option(
            name="peer_token",
            convert=parse_text,
            default="",
            accepts="text",
            meaning="Token between instances",
        ),
        Option(
            name="peer_token_file",
            convert=parse_path,
            default="",
            accepts="path, relative to the settings file",
            meaning="File that holds the token between instances",
        ),
        Option(
            name="admin",
            convert=parse_name,
            default="admin",
            accepts="name",
            meaning="Team that may edit every section",
        ),
    ),
    "timers": (
        _period("heartbeat_ms", 2_000, 200, 5_000, "Time between heartbeats"),
        _period("list_poll_ms", 2_000, 100, 60_000, "Time between list reads"),
        _period("document_poll_ms", 2_000, 100, 5_000, "Time between head reads"),
        _period("exchange_ms", 5_000, 100, 60_000, "Time between worker exchanges"),
        _period("lease_ms", 15_000, 500, 300_000, "Lease of a worker"),
        _period("stop_grace_ms", 30_000, 0, 600_000, "Bound of a graceful stop"),
    ),
    "traces": (
        Option(
            name="exporter",
            convert=choice(TraceExporter),
            default=TraceExporter.NONE,
            accepts="none, console, otlp",
            meaning="Where sampled spans go",
        ),
        Option(
            name="sample_ratio",
            convert=number(0, 1),
            default=0.01,
            accepts="0 to 1",
            meaning="Share of requests whose spans are recorded",
        ),
    ),
    "logs": (
        Option(
            name="level",
            convert=choice(LogLevel),
            default=LogLevel.INFO,
            accepts="debug, info, notice, warning, error",
            meaning="Least level of the lines written",
        ),
    ),
}
