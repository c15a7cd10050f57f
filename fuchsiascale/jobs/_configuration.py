"""The configuration in force: queues, and how requests find them."""

import msgspec

from fuchsiascale.ids import ServiceId
from fuchsiascale.jobs._model import QueuePolicy

__all__ = ["Configuration", "Queue", "QueueIndex"]


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
