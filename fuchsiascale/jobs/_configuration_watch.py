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
"""Number of past versions from which changes can be computed for peers. A series of
edits makes 12 versions a second, and peers query every 0.3 s."""


class ConfigurationWatch:
    """Holds the newest configuration; its version never decreases.

    Parameters
    ----------
    key : str
        Key of the row that holds the configuration.
    decode : callable
        Returns the configuration decoded from a row's value, or None.
    """

    def __init__(self, key, decode):
        self.queue_index = None
        self._key = key
        self._decode = decode
        self._bases = {}
        self._packed_changes = {}
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
        """Put the configuration of the operator's rows in force if it is newer."""
        row = rows.get(self._key)
        if row is None:
            return
        found = self._decode(row.value)
        if found is None:
            self.log.error(
                "cannot decode the configuration", extra={"row_version": row.version}
            )
            return
        self._activate(found, "store", len(row.value))

    def apply_peer_change(self, change, source, size):
        """Apply a change received from a peer; return whether its base version fits."""
        found = apply_change(self.configuration, change)
        if found is None:
            self.log.info(
                "configuration change is based on another version",
                extra={"version": self.version, "base": change.base, "from": source},
            )
            return False
        self._activate(found, source, size)
        return True

    def _activate(self, found, source, size):
        if found.version <= self.version:
            return
        self.queue_index = QueueIndex(self._share_queues(found))
        self._bases[found.version] = self.configuration
        while len(self._bases) > KEPT_VERSIONS:
            del self._bases[next(iter(self._bases))]
        self._packed_changes.clear()
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
        """Return a version that reuses the queue objects of the previous version."""
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
        """Return the packed change from a known version to the version in force.

        If the known version is no longer held, the change contains all queues.
        """
        base = self._bases.get(known)
        version = base.version if base else 0
        if version not in self._packed_changes:
            self._packed_changes[version] = pack_change(
                compute_change(base, self.configuration)
            )
        return self._packed_changes[version]
