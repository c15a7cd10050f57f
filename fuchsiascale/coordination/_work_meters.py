"""Counters of batch work, fed by the owners of the shards."""

from typing import Protocol

from fuchsiascale.coordination._records import ChunkRecord
from fuchsiascale.ids import JobKindId

__all__ = ["NullWorkMeters", "WorkMeters"]


class WorkMeters(Protocol):
    """Counts started attempts and recorded ends."""

    def count_start(self, kind: JobKindId):
        """Count one started attempt."""

    def count_changes(self, before: ChunkRecord, after: ChunkRecord):
        """Count the changes that a write of a chunk row recorded."""


class NullWorkMeters:
    """Meters that count nothing."""

    def count_start(self, kind):
        """Ignore a start."""

    def count_changes(self, before, after):
        """Ignore recorded changes."""
