"""Decoders of the rows that the users' operator and workers write."""

import ipaddress
from typing import Annotated

import logbook
import msgspec
from returns.result import Failure

from fuchsiascale.ids import FailureDomainId, ServiceId, WorkerId
from fuchsiascale.jobs import (
    Configuration,
    EvacuationListing,
    ListedWorker,
    Queue,
    QueuePolicy,
    Resources,
    StoredRow,
)
from fuchsiascale.json_decoding import decode_json

__all__ = [
    "CONFIGURATION_KEY",
    "OPERATOR_TABLE",
    "WORKERS_TABLE",
    "decode_configuration",
    "decode_evacuation",
    "decode_warm_worker",
    "make_evacuation_listing",
    "decode_worker",
]

OPERATOR_TABLE = "op"
WORKERS_TABLE = "servers"
CONFIGURATION_KEY = "config"
EVACUATION_PREFIX = "evacuate/"
"""Start of the key of an evacuation; the rest is the name of the failure domain."""
EVACUATION_END = "evacuate0"
"""First key after all that start with the prefix."""


MAX_NUMBER = 2**53
"""Largest number of an entry; larger ones are not exact in all JSON libraries."""
MAX_LOGGED_TEXT = 200
"""Length to which texts of other writers are cut in log lines."""
Count = Annotated[int, msgspec.Meta(ge=0, le=MAX_NUMBER)]
_Milliseconds = Annotated[float, msgspec.Meta(ge=0)]

log = logbook.Logger("listing")


class _Capacity(msgspec.Struct):
    cpu: Count = 0
    mem_mb: Count = 0
    gpu: Count = 0


class _Server(msgspec.Struct):
    """Entry of a worker; ``zone`` is its failure domain, ``born`` its incarnation."""

    service: str
    address: str
    zone: str
    state: str
    capacity: _Capacity
    labels: list[str] = []
    born: Count = 0
    remaining_ms: Count | None = None
    cold_left_ms: msgspec.Raw = msgspec.Raw(b"0")


class _Advice(msgspec.Struct):
    decide_ms: float = 0
    each_ms: float = 0
    valid_ms: float = 0


class _Route(msgspec.Struct):
    """A queue, found by ``host`` and ``prefix``.

    ``target_duration_ms`` is the constant part of a job's objective.
    """

    name: str
    host: str
    prefix: str
    service: str
    target_duration_ms: float = 0
    priority: int = 0
    max_attempts: int = 1
    stretch: float = 1.0
    advice: _Advice | None = None


class _Service(msgspec.Struct):
    name: str
    rejects_overload: bool = True
    spare: bool = False


class _Limits(msgspec.Struct):
    max_header_bytes: int = 16_384
    max_body_bytes: int = 262_144
    header_timeout_ms: int = 3_000
    idle_timeout_ms: int = 15_000


class _Config(msgspec.Struct):
    version: int
    routes: list[_Route] = []
    services: list[_Service] = []
    limits: _Limits = msgspec.field(default_factory=_Limits)


def decode_configuration(value: bytes) -> Configuration | None:
    """Return the decoded configuration, or None if it is malformed."""
    decoded = decode_json(value, _Config)
    if isinstance(decoded, Failure):
        log.error("malformed configuration", extra={"why": decoded.failure()})
        return None
    config = decoded.unwrap()
    return Configuration(
        version=config.version,
        queues=tuple(_decode_queue(route) for route in config.routes),
        services=tuple(ServiceId(service.name) for service in config.services),
        max_body_bytes=config.limits.max_body_bytes,
    )


def _decode_queue(route):
    policy = QueuePolicy(
        queue=route.name,
        service=ServiceId(route.service),
        priority=route.priority,
        max_attempts=route.max_attempts,
        stretch=route.stretch,
        target_ms=int(route.target_duration_ms),
        advice=route.advice is not None,
    )
    return Queue(host=route.host, prefix=route.prefix, policy=policy)


class _Evacuation(msgspec.Struct):
    """Value of an evacuation, which has no fields yet."""


def make_evacuation_listing(bound_s: float) -> EvacuationListing:
    """Return where the operator's evacuations are, and how they are decoded."""
    return EvacuationListing(
        OPERATOR_TABLE, EVACUATION_PREFIX, EVACUATION_END, decode_evacuation, bound_s
    )


def decode_evacuation(row: StoredRow) -> FailureDomainId | None:
    """Return the failure domain that a row evacuates, or None if it is malformed."""
    key = row.place.key
    decoded = decode_json(row.value, _Evacuation)
    domain = key.removeprefix(EVACUATION_PREFIX)
    if isinstance(decoded, Failure) or not domain or domain == key:
        log.info(
            "malformed evacuation",
            extra={
                "entry": key[:MAX_LOGGED_TEXT],
                "revision": row.version,
                "why": decoded.failure()[:MAX_LOGGED_TEXT]
                if isinstance(decoded, Failure)
                else "no domain",
            },
        )
        return None
    return FailureDomainId(domain)


def decode_worker(row: StoredRow) -> ListedWorker | None:
    """Return the worker that a row describes, or None if it is unusable.

    Other writers may have written the row: fields may be missing, of another type or
    out of range, the state may be unknown, the value may not be valid JSON, and the
    id and the address may be any text.
    """
    decoded = decode_json(row.value, _Server)
    if isinstance(decoded, Failure):
        log.debug(
            "entry ignored", extra={"entry": row.place.key, "why": decoded.failure()}
        )
        return None
    server = decoded.unwrap()
    is_known = server.state in ("ready", "draining") and _is_address(server.address)
    if not is_known or not _is_header_text(row.place.key):
        log.debug(
            "entry ignored",
            extra={
                "entry": row.place.key,
                "state": server.state,
                "address": server.address,
            },
        )
        return None
    return ListedWorker(
        worker=WorkerId(row.place.key),
        service=ServiceId(server.service),
        address=server.address,
        domain=server.zone,
        capacity=Resources(
            cpu_millis=server.capacity.cpu,
            memory_mb=server.capacity.mem_mb,
            accelerators=server.capacity.gpu,
        ),
        labels=tuple(server.labels),
        draining=server.state == "draining",
        remaining_ms=server.remaining_ms,
        incarnation=server.born,
        cold_left_ms=_decode_cold_left_ms(server.cold_left_ms),
    )


def decode_warm_worker(row: StoredRow) -> ListedWorker | None:
    """Return the worker that a row describes, whether or not it says to be cold."""
    worker = decode_worker(row)
    if worker is None or not worker.cold_left_ms:
        return worker
    return msgspec.structs.replace(worker, cold_left_ms=0)


def _decode_cold_left_ms(value):
    """Return how much longer a worker stays cold; 0 where the entry doesn't tell.

    A worker whose entry is otherwise sound is used though this field is malformed.
    """
    milliseconds = decode_json(value, _Milliseconds).value_or(0)
    return int(min(MAX_NUMBER, milliseconds))


def _is_address(address):
    """Return whether a text is an IPv4 address and a port that can be connected to."""
    host, _, port = address.rpartition(":")
    try:
        ipaddress.IPv4Address(host)
    except ValueError:
        return False
    return port.isascii() and port.isdecimal() and 0 < int(port) < 65_536


def _is_header_text(text):
    """Return whether a text can be sent as the value of an HTTP header."""
    return text.isascii() and text.isprintable() and text == text.strip()
