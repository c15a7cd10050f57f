"""Versions of the configuration, what changed between them, and finding a queue."""

import zlib

import msgspec

from fuchsiascale.ids import ServiceId
from fuchsiascale.jobs._model import QueuePolicy

__all__ = [
    "Configuration",
    "ConfigurationChange",
    "Queue",
    "QueueIndex",
    "apply_change",
    "compute_change",
    "pack_change",
    "unpack_change",
]

FASTEST_COMPRESSION = 1
"""Level of zlib: 300 KB take 2 ms and shrink to a seventh; higher levels take twice as
long for a fifth less."""


class Queue(msgspec.Struct, frozen=True, kw_only=True):
    """A queue and the requests that belong to it."""

    host: str
    prefix: str
    policy: QueuePolicy


class Configuration(msgspec.Struct, frozen=True, kw_only=True):
    """One version of the configuration."""

    version: int
    queues: tuple[Queue, ...] = ()
    services: tuple[ServiceId, ...] = ()
    max_body_bytes: int = 262_144


class ConfigurationChange(msgspec.Struct, frozen=True, kw_only=True):
    """What leads from version ``base`` to another; a ``base`` of 0 is empty."""

    base: int
    version: int
    added: tuple[Queue, ...] = ()
    removed: tuple[Queue, ...] = ()
    services: tuple[ServiceId, ...] = ()
    max_body_bytes: int = 262_144


EMPTY = Configuration(version=0)


def compute_change(base: Configuration | None, found: Configuration):
    """Return the change from one version to another; from the empty one for None.

    Examples
    --------
    >>> policy = QueuePolicy(queue="q", service="pool")
    >>> queue = Queue(host="a.example", prefix="/x/", policy=policy)
    >>> old = Configuration(version=1, queues=(queue,))
    >>> change = compute_change(old, Configuration(version=4))
    >>> change.removed == (queue,), change.added
    (True, ())
    >>> apply_change(old, change) == Configuration(version=4)
    True
    """
    base = base or EMPTY
    before, after = set(base.queues), set(found.queues)
    return ConfigurationChange(
        base=base.version,
        version=found.version,
        added=tuple(queue for queue in found.queues if queue not in before),
        removed=tuple(queue for queue in base.queues if queue not in after),
        services=found.services,
        max_body_bytes=found.max_body_bytes,
    )


def apply_change(base: Configuration | None, change: ConfigurationChange):
    """Return the version that a change leads to; None where it has another base."""
    base = EMPTY if base is None or not change.base else base
    if base.version != change.base:
        return None
    removed = set(change.removed)
    kept = tuple(queue for queue in base.queues if queue not in removed)
    return Configuration(
        version=change.version,
        queues=kept + change.added,
        services=change.services,
        max_body_bytes=change.max_body_bytes,
    )


def pack_change(change: ConfigurationChange) -> bytes:
    """Return a change in compressed form."""
    return zlib.compress(msgspec.json.encode(change), FASTEST_COMPRESSION)


def unpack_change(packed: bytes) -> ConfigurationChange | None:
    """Return a change by its compressed form; None where it can't be read."""
    try:
        return msgspec.json.decode(zlib.decompress(packed), type=ConfigurationChange)
    except (zlib.error, msgspec.DecodeError):
        return None


class QueueIndex:
    """Finds the queue of a request in a configuration.

    Parameters
    ----------
    configuration : Configuration
        The version to search.

    Examples
    --------
    >>> policy = QueuePolicy(queue="q", service="pool")
    >>> queue = Queue(host="a.example", prefix="/x/", policy=policy)
    >>> index = QueueIndex(Configuration(version=1, queues=(queue,)))
    >>> index.find("a.example", "/x/7") is queue
    True
    >>> index.find("a.example", "/y/7") is None
    True
    """

    def __init__(self, configuration):
        self.configuration = configuration
        self._by_host = {}
        for queue in configuration.queues:
            self._by_host.setdefault(queue.host.lower(), []).append(queue)
        for queues in self._by_host.values():
            queues.sort(key=lambda queue: -len(queue.prefix))

    def find(self, host, path):
        """Return the queue with the longest prefix of a path; None if there is none."""
        for queue in self._by_host.get(host.lower(), ()):
            if path.startswith(queue.prefix):
                return queue
        return None
