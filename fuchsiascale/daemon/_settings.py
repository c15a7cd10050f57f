"""Settings of the daemon, read from an INI file and checked together."""

import configparser
import ipaddress
from pathlib import Path

import msgspec
from returns.result import Failure, Result, Success

from fuchsiascale.daemon._settings_options import (
    LISTENERS,
    OPERATOR_PREFIX,
    SECTIONS,
)
from fuchsiascale.ids import FailureDomainId, InstanceId, RegionId, TeamId
from fuchsiascale.ingress import IngressSettings
from fuchsiascale.options import OptionProblem, parse_name, parse_sha256, read_options

__all__ = [
    "AccessSettings",
    "ListenSettings",
    "LogSettings",
    "OperatorToken",
    "PlatformSettings",
    "Settings",
    "SettingsProblem",
    "TimerSettings",
    "TlsFiles",
    "TraceSettings",
    "UpstreamSettings",
    "read_settings",
]

MIN_EXCHANGES_PER_LEASE = 2


class SettingsProblem(msgspec.Struct, frozen=True, kw_only=True):
    """One problem in a settings file, with its file, section and key."""

    file: str
    section: str = ""
    key: str = ""
    detail: str

    def __str__(self):
        location = f"{self.file}: [{self.section}]" if self.section else self.file
        return (
            f"{location} {self.key}: {self.detail}"
            if self.key
            else f"{location}: {self.detail}"
        )


class _SettingsPart(msgspec.Struct, frozen=True, kw_only=True):
    """Base class of the parts of the settings."""


class TlsFiles(_SettingsPart):
    """Paths of PEM files; an empty path means that the file is not used."""

    certificate: str = ""
    key: str = ""
    authority: str = ""


class ListenSettings(_SettingsPart):
    """Address of one listener, and its TLS files if it has any."""

    host: str
    port: int
    tls: TlsFiles | None = None

    @property
    def address(self):
        """The listener's ``host:port``."""
        host = f"[{self.host}]" if ":" in self.host else self.host
        return f"{host}:{self.port}"


class PlatformSettings(_SettingsPart):
    """Base URLs of the platform's services and the timeout of a call."""

    tables: str
    objects: str
    instances: str
    timeout_ms: int
    tls: TlsFiles | None = None


class UpstreamSettings(_SettingsPart):
    """How workers and runners are called."""

    tls: TlsFiles | None = None


class OperatorToken(_SettingsPart):
    """SHA-256 of a team's operator token."""

    team: TeamId
    sha256: str


class AccessSettings(_SettingsPart):
    """The token between instances and the operators' tokens, as hashes."""

    peer_token: str
    admin: TeamId
    operators: tuple[OperatorToken, ...] = ()

    def __repr__(self):
        return f"AccessSettings(admin={self.admin!r})"


class TimerSettings(_SettingsPart):
    """Periods and limits, in milliseconds."""

    heartbeat_ms: int
    list_poll_ms: int
    document_poll_ms: int
    exchange_ms: int
    lease_ms: int
    stop_grace_ms: int


class TraceSettings(_SettingsPart):
    """Where sampled spans go, and the share of requests sampled."""

    exporter: str
    sample_ratio: float


class LogSettings(_SettingsPart):
    """Lowest level of the lines that are written."""

    level: str


class Settings(_SettingsPart):
    """Checked content of a settings file."""

    instance: InstanceId
    failure_domain: FailureDomainId
    region: RegionId
    caller: ListenSettings
    peer: ListenSettings
    peer_address: str
    operator: ListenSettings
    platform: PlatformSettings
    upstreams: UpstreamSettings
    seeds: tuple[str, ...]
    access: AccessSettings
    timers: TimerSettings
    ingress: IngressSettings
    machine_memory_mb: int
    machine_fds: int
    traces: TraceSettings
    logs: LogSettings


def read_settings(path) -> Result[Settings, tuple[SettingsProblem, ...]]:
    """Read and check a settings file.

    Parameters
    ----------
    path : str or Path
        The INI file.

    Returns
    -------
    Result of Settings or tuple of SettingsProblem
        All problems at once, each with its file, section and key.
    """
    file = str(path)
    parser = configparser.ConfigParser(interpolation=None, default_section="")
    parser.optionxform = str
    try:
        parser.read_string(Path(path).read_text(encoding="utf-8"), source=file)
    except (OSError, UnicodeError) as error:
        return Failure((SettingsProblem(file=file, detail=f"cannot be read: {error}"),))
    except configparser.Error as error:
        detail = " ".join(str(error).split())
        return Failure((SettingsProblem(file=file, detail=detail),))
    values, problems = _read_sections(parser)
    if not problems:
        problems = _check_combinations(values)
    if problems:
        return Failure(tuple(_locate(file, problem) for problem in problems))
    return (
        _read_token(values["access"], Path(path).parent)
        .alt(lambda problem: (_locate(file, problem),))
        .map(lambda token: _build_settings(values, token))
    )


def _locate(file, problem):
    return SettingsProblem(
        file=file, section=problem.section, key=problem.key, detail=problem.detail
    )


def _read_sections(parser):
    problems = [
        OptionProblem(section=name, detail="unknown section")
        for name in parser.sections()
        if name not in SECTIONS
    ]
    values = {}
    for name, options in SECTIONS.items():
        items = dict(parser[name]) if parser.has_section(name) else {}
        if name == "access":
            items, operators, found = _read_operators(items)
            problems.extend(found)
        values[name], found = read_options(name, items, options)
        problems.extend(found)
    values["access"]["operators"] = operators
    return values, problems


def _read_operators(items):
    """Separate the ``operator.TEAM`` keys, whose names vary, from the other options."""
    others, operators, problems = {}, [], []
    for key, text in items.items():
        if not key.startswith(OPERATOR_PREFIX):
            others[key] = text
            continue
        team = parse_name(key.removeprefix(OPERATOR_PREFIX))
        digest = parse_sha256(text)
        problems.extend(
            OptionProblem(section="access", key=key, detail=result.failure())
            for result in (team, digest)
            if isinstance(result, Failure)
        )
        if isinstance(team, Success) and isinstance(digest, Success):
            token = OperatorToken(team=TeamId(team.unwrap()), sha256=digest.unwrap())
            operators.append(token)
    return others, tuple(operators), problems


def _check_combinations(values):
    """Check the constraints between options."""
    problems = []
    problems.extend(_check_listeners(values["listen"]))
    for section, prefixes in (
        ("listen", [f"{name}_" for name in LISTENERS]),
        ("platform", [""]),
        ("upstreams", [""]),
    ):
        for prefix in prefixes:
            problems.extend(_check_tls(section, values[section], prefix))
    access, timers = values["access"], values["timers"]
    if bool(access["peer_token"]) == bool(access["peer_token_file"]):
        detail = "give exactly one of peer_token and peer_token_file"
        problems.append(
            OptionProblem(section="access", key="peer_token", detail=detail)
        )
    if access["admin"] not in {token.team for token in access["operators"]}:
        detail = f"no {OPERATOR_PREFIX}{access['admin']} is given"
        problems.append(OptionProblem(section="access", key="admin", detail=detail))
    problems.extend(_check_tokens(access["operators"]))
    if timers["lease_ms"] < MIN_EXCHANGES_PER_LEASE * timers["exchange_ms"]:
        detail = f"less than {MIN_EXCHANGES_PER_LEASE} times exchange_ms"
        problems.append(OptionProblem(section="timers", key="lease_ms", detail=detail))
    return problems


def _check_listeners(listen):
    problems, names = [], {}
    for name in LISTENERS:
        address = listen[name]
        if address in names:
            detail = f"{address} is the {names[address]} listener's address as well"
            problems.append(OptionProblem(section="listen", key=name, detail=detail))
        names[address] = name
    key = "peer_advertised" if listen["peer_advertised"] else "peer"
    host = _split_address(_choose_peer_address(listen))[0]
    if ipaddress.ip_address(host).is_unspecified:
        detail = f"{host} is no address that peers can connect to"
        problems.append(OptionProblem(section="listen", key=key, detail=detail))
    return problems


def _choose_peer_address(listen):
    """Return the address that is announced to peers."""
    return listen["peer_advertised"] or listen["peer"]


def _check_tokens(operators):
    """Yield a problem for each team that shares its token with another team."""
    owners = {}
    for token in operators:
        owner = owners.setdefault(token.sha256, token.team)
        if owner != token.team:
            key, detail = (
                f"{OPERATOR_PREFIX}{token.team}",
                f"is {owner}'s token as well",
            )
            yield OptionProblem(section="access", key=key, detail=detail)


def _check_tls(section, values, prefix):
    problems = []
    for part in ("certificate", "key", "authority"):
        key = f"{prefix}tls_{part}"
        path = values[key]
        if path and not Path(path).is_file():
            detail = f"no file at {path}"
            problems.append(OptionProblem(section=section, key=key, detail=detail))
    pair = values[f"{prefix}tls_certificate"], values[f"{prefix}tls_key"]
    if any(pair) and not all(pair):
        key = f"{prefix}tls_key"
        detail = "certificate and key are needed together"
        problems.append(OptionProblem(section=section, key=key, detail=detail))
    return problems


def _read_token(access, folder):
    if access["peer_token"]:
        return Success(access["peer_token"])
    key = "peer_token_file"
    try:
        token = (folder / access[key]).read_text(encoding="utf-8").strip()
    except (OSError, UnicodeError) as error:
        detail = f"cannot be read: {error}"
        return Failure(OptionProblem(section="access", key=key, detail=detail))
    if not token:
        return Failure(OptionProblem(section="access", key=key, detail="is empty"))
    return Success(token)


def _build_settings(values, peer_token):
    instance, access = values["instance"], values["access"]
    platform = values["platform"]
    return Settings(
        instance=InstanceId(instance["id"]),
        failure_domain=FailureDomainId(instance["failure_domain"]),
        region=RegionId(instance["region"]),
        **{name: _build_listener(values["listen"], name) for name in LISTENERS},
        peer_address=_choose_peer_address(values["listen"]),
        platform=PlatformSettings(
            tables=platform["tables"],
            objects=platform["objects"],
            instances=platform["instances"],
            timeout_ms=platform["timeout_ms"],
            tls=_build_tls(platform, ""),
        ),
        upstreams=UpstreamSettings(tls=_build_tls(values["upstreams"], "")),
        seeds=values["peers"]["seeds"],
        access=AccessSettings(
            peer_token=peer_token,
            admin=TeamId(access["admin"]),
            operators=access["operators"],
        ),
        timers=TimerSettings(**values["timers"]),
        ingress=_build_ingress(values["ingress"]),
        machine_memory_mb=values["ingress"]["machine_memory_mb"],
        machine_fds=values["ingress"]["machine_fds"],
        traces=TraceSettings(
            exporter=values["traces"]["exporter"].value,
            sample_ratio=values["traces"]["sample_ratio"],
        ),
        logs=LogSettings(level=values["logs"]["level"].value),
    )


def _build_ingress(values):
    fields = {name: values[name] for name in IngressSettings.__struct_fields__}
    for name in ("memory_mb", "connections", "connections_per_address"):
        fields[name] = fields[name] or None
    return IngressSettings(**fields)


def _build_listener(listen, name):
    host, port = _split_address(listen[name])
    return ListenSettings(host=host, port=port, tls=_build_tls(listen, f"{name}_"))


def _build_tls(values, prefix):
    files = TlsFiles(
        certificate=values[f"{prefix}tls_certificate"],
        key=values[f"{prefix}tls_key"],
        authority=values[f"{prefix}tls_authority"],
    )
    return None if files == TlsFiles() else files


def _split_address(address):
    host, _, port = address.rpartition(":")
    return host.removeprefix("[").removesuffix("]"), int(port)
