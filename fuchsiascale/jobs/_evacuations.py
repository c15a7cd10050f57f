"""Decides which failure domains take no starts because an operator evacuates them.

Load: some hundred starts a second over six failure domains, of which the operator
evacuates and returns single ones within seconds, while owners change and the store
falls silent. Rows may be malformed, and there may be thousands of them. Functions do no
I/O.
"""

import math

import msgspec

from fuchsiascale.ids import FailureDomainId, Revision

__all__ = ["EvacuationChange", "Evacuations"]

SEND_TIME_S = 0.5
"""Least time that a start has to reach its worker, which refuses it after the bound. It
takes some milliseconds, and 0.5 s if a connection to a relay is opened for it."""
MIN_MAX_AGE_S = 1.0
"""Least age at which what was read is still used: two periods of the reads."""


class EvacuationChange(msgspec.Struct, frozen=True):
    """A failure domain that an operator has begun or ceased to evacuate.

    ``revision`` is the version of the row, or that of the store once the row is gone.
    """

    domain: FailureDomainId
    is_evacuated: bool
    revision: Revision


class Evacuations:
    """Failure domains that an operator evacuates, as last read from the store.

    Before the first read no domain may take starts, since each may be evacuated; nor
    may any once the last read is too old.

    Parameters
    ----------
    decode : callable
        Returns the failure domain that a row names, or None for a malformed row. It is
        called once for each version of a row.
    bound_s : float, optional
        Time after which an evacuated domain must get no new task. Where the last read
        is so old that an evacuation since would miss the bound, no domain takes starts.

    Attributes
    ----------
    domains : frozenset of FailureDomainId
        The evacuated domains.
    read_s : float
        Monotonic time at which the read that showed them was sent; minus infinity
        before the first.

    Examples
    --------
    >>> from fuchsiascale.jobs import RowKey, StoredRow
    >>> evacuations = Evacuations(lambda row: row.place.key.removeprefix("evacuate/"))
    >>> evacuations.allow_starts("south", now_s=1.1)
    False
    >>> row = StoredRow(RowKey("op", "", "evacuate/north"), b"{}", 7)
    >>> [change.domain for change in evacuations.apply((row,), 8, asked_s=1.0)]
    ['north']
    >>> [evacuations.allow_starts(name, now_s=1.1) for name in ("south", "north")]
    [True, False]
    """

    def __init__(self, decode, bound_s=math.inf):
        self.domains = frozenset()
        self.read_s = -math.inf
        self._bound_s = bound_s
        self._max_age_s = max(MIN_MAX_AGE_S, bound_s - SEND_TIME_S)
        self._decode = decode
        self._store_version = -1
        self._decoded = {}

    def apply(self, rows, store_version, asked_s):
        """Apply all rows of a read; return the changes of the set.

        A read that shows an older state of the store than one before is ignored: peers
        and this instance may be answered out of order.

        Parameters
        ----------
        rows : iterable of StoredRow
            All rows of the range.
        store_version : int
            Version of the store that they belong to.
        asked_s : float
            Monotonic time at which the read was sent.

        Returns
        -------
        list of EvacuationChange
            The changes, by domain.
        """
        if store_version < self._store_version:
            return []
        self._store_version = store_version
        self.read_s = max(self.read_s, asked_s)
        self._decoded = {
            row.place.key: (row.version, self._decode_once(row))
            for row in rows
            if not row.deleted
        }
        before = self.domains
        revisions = {
            domain: version
            for version, domain in self._decoded.values()
            if domain is not None
        }
        self.domains = frozenset(revisions)
        return [
            EvacuationChange(
                domain, domain in self.domains, revisions.get(domain, store_version)
            )
            for domain in sorted(before ^ self.domains)
        ]

    def _decode_once(self, row):
        """Return the domain of a row.

        A malformed row in place of a valid one doesn't end an evacuation: only the
        removal of the row does.
        """
        version, domain = self._decoded.get(row.place.key, (None, None))
        if version == row.version:
            return domain
        return self._decode(row) or domain

    def are_known(self, now_s):
        """Return whether the last read is recent enough to start tasks by it."""
        return now_s - self.read_s < self._max_age_s

    def measure_left_s(self, now_s):
        """Return how much longer a start that is sent now may be carried out.

        A domain may have been evacuated just after the last read was sent.
        """
        return max(0.0, self.read_s + self._bound_s - now_s)

    def allow_starts(self, domain, now_s):
        """Return whether tasks may be started in a failure domain."""
        return self.are_known(now_s) and domain not in self.domains
