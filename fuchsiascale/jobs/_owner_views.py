"""Owners of services as last seen, and how long they have been silent."""

import math

import msgspec

from fuchsiascale.jobs._records import OwnerRow

__all__ = ["OwnerView", "OwnerViews"]

STARTUP_GRACE_S = 1.5
"""Time for a new owner to load and reply before it may be suspected."""
MAX_STARTUP_GRACE_S = 6.0
"""Longest such time, after owners that were replaced one after the other."""
BRIEF_TENURE_S = 5.0
"""Time for which an owner should last after its time to start."""


class OwnerView(msgspec.Struct, frozen=True):
    """The owner row of a service as last seen; version 0 means that there is none."""

    service: str
    row: OwnerRow | None = None
    version: int = 0

    @property
    def token(self):
        """Return the owner's fencing token; 0 if there is no owner."""
        return self.row.token if self.row else 0


class OwnerViews:
    """Cached owner rows of services, and the last reply of each owner.

    Parameters
    ----------
    clock : Clock
        Source of time.
    """

    def __init__(self, clock):
        self._clock = clock
        self._views = {}
        self._newest_versions = {}
        self._last_reply_s = {}
        self._tenures = {}

    def get(self, service):
        """Return the cached owner of a service."""
        return self._views.get(service) or OwnerView(service)

    def update(self, service, row, version):
        """Update the cached owner of a service, unless the row is outdated."""
        if version < self.get_newest_version(service) and version:
            return
        known_version = self.get(service).version
        self._newest_versions[service] = max(version, self.get_newest_version(service))
        if version > known_version:
            self._note_new_owner(service, row)
        self._views[service] = OwnerView(service, row, version)

    def get_newest_version(self, service):
        """Return the version of the latest row ever seen of a service; 0 for none."""
        return self._newest_versions.get(service, 0)

    def forget(self, service):
        """Drop a cached row, so that it is read again before it is used.

        Earlier rows remain outdated: a notice of one may still be repeated.
        """
        self._views.pop(service, None)

    def _note_new_owner(self, service, row):
        """Give a new owner time to load, more of it after owners that lasted briefly.

        An owner without enough processor time for a takeover answers late. Replacing it
        at once would make the next one do the same work again.
        """
        now_s = self._clock.monotonic()
        since_s, grace_s = self._tenures.get(service, (-math.inf, 0.0))
        is_brief = now_s - since_s < grace_s + BRIEF_TENURE_S
        if is_brief and row is not None and not row.was_handed_over:
            grace_s = min(2 * grace_s, MAX_STARTUP_GRACE_S)
        else:
            grace_s = STARTUP_GRACE_S
        self._tenures[service] = (now_s, grace_s)
        self._last_reply_s[service] = now_s + grace_s

    def note_reply(self, service, token, now_s):
        """Note that an owner of a service has replied, unless it has a successor.

        The work of a takeover begins after the first replies, so these leave the owner
        time for it.
        """
        if token < self.get(service).token:
            return
        since_s, grace_s = self._tenures.get(service, (-math.inf, 0.0))
        grace_end_s = min(since_s + grace_s, now_s + STARTUP_GRACE_S)
        self._last_reply_s[service] = max(now_s, grace_end_s)

    def measure_silence_s(self, service, now_s):
        """Return how long an owner has not replied; negative while it may start."""
        return now_s - self._last_reply_s.setdefault(service, now_s)

    def export_silences_s(self, now_s):
        """Return for how long each owner has not replied, by service."""
        return {
            service: now_s - last_reply_s
            for service, last_reply_s in self._last_reply_s.items()
        }
