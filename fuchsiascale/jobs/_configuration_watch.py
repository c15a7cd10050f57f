"""Holds the configuration in force."""

import logbook

from fuchsiascale.jobs._configuration import (
    Configuration,
    QueueIndex,
    apply_change,
    compute_change,
    pack_change,
)

__all__ = ["ConfigurationWatch"]

KEPT_VERSIONS = 32
"""Versions from which a change can be told; a series of changes brings 12 a second,
and peers ask every 0.3 s."""


class ConfigurationWatch:
    """Holds the newest configuration; it never goes back.

    Parameters
    ----------
    key : str
        Key of the row that holds it.
    decode : callable
        Returns the configuration of a row's value, or None.
    """

    def __init__(self, key, decode):
        self.queue_index = None
        self._key = key
        self._decode = decode
        self._kept = {}
        self._packed = {}
        self.log = logbook.Logger("configuration")

    @property
    def configuration(self) -> Configuration | None:
        """Return the configuration in force; None before the first."""
        return self.queue_index.configuration if self.queue_index else None

    @property
    def version(self) -> int:
        """Return the version in force; 0 before the first."""
        return self.queue_index.configuration.version if self.queue_index else 0

    def apply_rows(self, rows):
        """Take in the operator's rows."""
        row = rows.get(self._key)
        if row is None:
            return
        found = self._decode(row.value)
        if found is None:
            self.log.error(
                "unreadable configuration", extra={"row_version": row.version}
            )
            return
        self._put_in_force(found, "store", len(row.value))

    def apply_peer_change(self, change, source, size):
        """Take in a change that a peer has told; returns whether it fits."""
        found = apply_change(self.configuration, change)
        if found is None:
            self.log.info(
                "change of another version",
                extra={"version": self.version, "base": change.base, "from": source},
            )
            return False
        self._put_in_force(found, source, size)
        return True

    def _put_in_force(self, found, source, size):
        if found.version <= self.version:
            return
        self.queue_index = QueueIndex(self._share_queues(found))
        self._kept[found.version] = self.configuration
        while len(self._kept) > KEPT_VERSIONS:
            del self._kept[next(iter(self._kept))]
        self._packed.clear()
        self.log.info(
            "configuration in force",
            extra={
                "version": found.version,
                "queues": len(found.queues),
                "source": source,
                "bytes": size,
            },
        )

    def _share_queues(self, found):
        """Return a version whose queues are the objects of the version before."""
        if self.configuration is None:
            return found
        known = {queue: queue for queue in self.configuration.queues}
        queues = tuple(known.get(queue, queue) for queue in found.queues)
        return Configuration(
            version=found.version,
            queues=queues,
            services=found.services,
            max_body_bytes=found.max_body_bytes,
        )

    def pack_change_from(self, known: int) -> bytes:
        """Return the packed change that leads from a version to that in force.

        From a version that is not kept, the whole configuration.
        """
        base = self._kept.get(known)
        version = base.version if base else 0
        if version not in self._packed:
            self._packed[version] = pack_change(
                compute_change(base, self.configuration)
            )
        return self._packed[version]
