"""Counts of what batch work does, as its owners record it."""

from typing import Protocol

from fuchsiascale.coordination._records import ChunkRecord
from fuchsiascale.ids import JobKindId

__all__ = ["NullWorkMeters", "WorkMeters"]


class WorkMeters(Protocol):
    """Takes in starts and recorded ends."""

    def count_start(self, kind: JobKindId):
        """Count one attempt that was started."""

    def count_changes(self, before: ChunkRecord, after: ChunkRecord):
        """Count what a write of a chunk row has recorded."""


class NullWorkMeters:
    """Counts nothing."""

    def count_start(self, kind):
        """Ignore a start."""

    def count_changes(self, before, after):
        """Ignore what was recorded."""
