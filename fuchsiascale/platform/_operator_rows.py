"""Decoders of the rows that the users' operator and workers write."""

import msgspec

from fuchsiascale.ids import ServiceId, WorkerId
from fuchsiascale.jobs import (
    Configuration,
    ListedWorker,
    Queue,
    QueuePolicy,
    Resources,
    StoredRow,
)

__all__ = [
    "CONFIGURATION_KEY",
    "OPERATOR_TABLE",
    "WORKERS_TABLE",
    "decode_configuration",
    "decode_worker",
]

OPERATOR_TABLE = "op"
WORKERS_TABLE = "servers"
CONFIGURATION_KEY = "config"


class _Capacity(msgspec.Struct):
    cpu: int = 0
    mem_mb: int = 0
    gpu: int = 0


class _Server(msgspec.Struct):
    """Entry of a worker; ``zone`` is its failure domain, ``born`` its incarnation."""

    service: str
    address: str
    zone: str
    state: str
    capacity: _Capacity
    labels: list[str] = []
    born: int = 0
    remaining_ms: int | None = None


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
    try:
        config = msgspec.json.decode(value, type=_Config)
    except (msgspec.DecodeError, UnicodeDecodeError):
        return None
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


def decode_worker(row: StoredRow) -> ListedWorker | None:
    """Return the worker that a row describes, or None if it is unusable.

    Other writers may have written the row: fields may be missing or of another
    type, the state may be unknown, and the value may not be valid JSON.
    """
    try:
        server = msgspec.json.decode(row.value, type=_Server)
    except (msgspec.DecodeError, UnicodeDecodeError):
        return None
    if server.state not in ("ready", "draining") or ":" not in server.address:
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
    )
