"""Live instances, as learnt from their pings and from the answers of owners."""

import math

import msgspec
import xxhash

from fuchsiascale.ids import FailureDomainId

__all__ = ["Member", "Members"]

MEMBER_TIMEOUT_S = 3.0
"""Time without a sign of life after which an instance is no longer a member."""
RETENTION_S = 15.0
"""Time for which an instance is remembered after its last sign of life. An owner that
is cut off from the store counts on its peers for 10 s."""

MAX_REPORT_GAP_S = 5.0
"""Time between two reports of a service's owners after which members of that time are
not known. It is shorter by 1 s, in which a report arrives, than the time for which a
supporter of an owner was live."""
HISTORY_S = 9.0
"""Time for which reports must have come without such a gap. An owner that can act for
longer than its successor reckons with was confirmed in the last 7 s. It listed its
supporters 1 s before that at the earliest, and a report takes 1 s at most."""


class Member(msgspec.Struct, frozen=True, array_like=True):
    """An instance: its location, and how suitable it is as the owner of a service.

    ``strength`` is between 0 and 1. Instances of one region share the link to others.
    """

    address: str
    domain: FailureDomainId = FailureDomainId("")
    region: str = ""
    strength: float = 1.0


class Members:
    """The members that an instance knows of, without itself.

    Parameters
    ----------
    own : Member
        This instance.
    clock : Clock
        Source of time.
    """

    def __init__(self, own, clock):
        self.own = own
        self.clock = clock
        self._members = {}
        self._live_since_s = {}
        self._seen_s = {}
        self._reports_s = {}
        self._reported = ()
        self._reported_digest = ""

    def observe(self, member):
        """Note a sign of life of an instance."""
        self._members[member.address] = member
        self._note_sign_of_life(member.address, self.clock.monotonic())

    def _note_sign_of_life(self, address, now_s):
        if now_s - self._seen_s.get(address, -math.inf) >= MEMBER_TIMEOUT_S:
            self._live_since_s[address] = now_s
        self._seen_s[address] = now_s

    def apply_report(self, owner_address, members, digest):
        """Apply the members that an instance reports; None if they have not changed."""
        if members is not None:
            self._reported, self._reported_digest = members, digest
        now_s = self.clock.monotonic()
        for member in self._reported:
            self._members[member.address] = member
            self._note_sign_of_life(member.address, now_s)
        self._note_sign_of_life(owner_address, now_s)
        self._forget_lost(now_s)

    def note_report(self, service, asked_s):
        """Note that the owner of a service, asked at a time, has reported the members.

        All other instances ping it, which need not hold for owners of other services.
        The report may have waited here for as long as this process was paused.
        """
        since_s, before_s = self._reports_s.get(service, (math.inf, -math.inf))
        if asked_s - before_s >= MAX_REPORT_GAP_S:
            since_s = asked_s
        self._reports_s[service] = (since_s, asked_s)

    def get_reported_s(self, service):
        """Return when the owner of a service was asked that gave the last report."""
        return self._reports_s.get(service, (math.inf, -math.inf))[1]

    def _forget_lost(self, now_s):
        for address, seen_s in list(self._seen_s.items()):
            if now_s - seen_s >= RETENTION_S:
                del self._seen_s[address]
                del self._live_since_s[address]
                self._members.pop(address, None)

    @property
    def reported_digest(self):
        """Return the digest of the members last reported by an owner."""
        return self._reported_digest

    def report(self, known_digest):
        """Return all members, or None if the peer knows them, and their digest."""
        members = tuple(sorted([*self.live(), self.own], key=_get_address))
        digest = xxhash.xxh64_hexdigest(msgspec.json.encode(members))
        return (None if digest == known_digest else members), digest

    def live(self):
        """Return the live members, in the order of their addresses."""
        now_s = self.clock.monotonic()
        live = [
            self._members.get(address) or Member(address)
            for address, seen_s in self._seen_s.items()
            if now_s - seen_s < MEMBER_TIMEOUT_S and address != self.own.address
        ]
        return sorted(live, key=_get_address)

    def has_history(self, service):
        """Return whether all instances that an owner lately knew are known.

        One that was alive between two reports that are far apart may be in neither.
        """
        since_s, _ = self._reports_s.get(service, (math.inf, -math.inf))
        return self.clock.monotonic() - since_s >= HISTORY_S

    def recent_addresses(self):
        """Return the addresses of all instances that were alive lately."""
        return sorted(self._seen_s.keys() - {self.own.address})

    def established_addresses(self, min_age_s):
        """Return the members that have been live for some time without a gap."""
        before_s = self.clock.monotonic() - min_age_s
        return [
            member.address
            for member in self.live()
            if self._live_since_s[member.address] <= before_s
        ]

    def addresses(self):
        """Return the addresses of the live members."""
        return [member.address for member in self.live()]

    def near_addresses(self):
        """Return the addresses of the live members of this region."""
        return [
            member.address for member in self.live() if member.region == self.own.region
        ]

    def strongest_first(self):
        """Return the addresses of the live members, the strongest first."""
        live = sorted(self.live(), key=lambda member: -member.strength)
        return [member.address for member in live]

    def rank(self, key, excluded):
        """Return the number of members that come before this one as the next owner.

        Stronger instances come first. Equally strong ones are in an order that depends
        on ``key``, and that all instances agree on.
        """

        def order(member):
            digest = xxhash.xxh64_intdigest(f"{member.address}|{key}".encode())
            return -member.strength, digest

        own = order(self.own)
        return sum(
            order(member) < own for member in self.live() if member.address != excluded
        )


def _get_address(member):
    return member.address
