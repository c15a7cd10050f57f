"""Slots of the runners that one instance may use."""

import msgspec

from fuchsiascale.coordination._credit_messages import CreditRequest, CreditWish
from fuchsiascale.platform import ListedInstance
from fuchsiascale.states import InstanceRole, ListedState

__all__ = ["RunnerIndex", "Slot", "SlotHolder", "index_runners"]

RENEW_AFTER_S = 3.0
RETRY_AFTER_GRANT_S = 0.05
RETRY_AFTER_REFUSAL_S = 0.5
RENEW_FLOOR_BEFORE_S = 40.0


class Slot(msgspec.Struct, eq=False):
    """One slot of a runner, in use until it is released.

    Parameters
    ----------
    released_by_exchange : bool
        Whether an exchange with the runner has begun, which will release the slot.
    """

    runner: ListedInstance
    released_by_exchange: bool = False
    released: bool = False


class _Credit(msgspec.Struct):
    """Credit of this instance at one runner."""

    in_use: int = 0
    limit: int = 0
    until_s: float = 0.0
    granted_s: float = float("-inf")
    floor: int = 0
    floor_until_s: float = 0.0
    peak: int = 0
    sequence: int = 0
    sent_s: float = 0.0
    next_request_s: float = 0.0
    pending: bool = False

    def usable_slots(self, end_s):
        """Return how many slots may be in use until a time."""
        usable = self.limit if end_s <= self.until_s else 0
        if usable < self.floor and end_s <= self.floor_until_s:
            usable = self.floor
        return usable


class SlotHolder:
    """Tracks this instance's credits and used slots at each runner.

    Parameters
    ----------
    instance : InstanceId
        This instance.
    clock : Clock
        Source of time.

    Examples
    --------
    >>> from fuchsiascale.clock import ManualClock
    >>> holder = SlotHolder("a", ManualClock())
    >>> holder.in_use
    0
    """

    def __init__(self, instance, clock):
        self._instance = instance
        self._clock = clock
        self._incarnation = clock.wall_ms()
        self._sequence = 0
        self._credits = {}

    @property
    def in_use(self):
        """Number of slots in use over all runners."""
        return sum(credit.in_use for credit in self._credits.values())

    def count_in_use(self, runner):
        """Return the number of slots in use at a runner."""
        credit = self._credits.get(runner)
        return 0 if credit is None else credit.in_use

    def count_usable(self, runner, end_s):
        """Return the slots of a runner that requests may use until a time."""
        credit = self._credits.get(runner)
        return 0 if credit is None else credit.usable_slots(end_s)

    def acquire(self, runner, end_s):
        """Take a slot for a request that will certainly have ended by a time.

        Parameters
        ----------
        runner : ListedInstance
            The runner.
        end_s : float
            Monotonic time, in seconds.

        Returns
        -------
        Slot or None
            None if no credit covers the request.
        """
        credit = self._credit(runner.instance_id)
        if credit.in_use >= credit.usable_slots(end_s):
            return None
        credit.in_use += 1
        credit.peak = max(credit.peak, credit.in_use)
        return Slot(runner=runner)

    def release(self, slot):
        """Release a slot; further calls have no effect."""
        if slot.released:
            return
        slot.released = True
        self._credits[slot.runner.instance_id].in_use -= 1

    def build_request(self, shard, demands, force=False):
        """Return a request for all credits that are due for one; None for none.

        Credit beyond the kept slots of the request is released from now on, so the
        owner can lend it to others at once.

        Parameters
        ----------
        shard : ShardId
            The shard.
        demands : iterable of tuple of RunnerId and int
            Its runners, with the slots that waiting requests could use at each.
        force : bool
            Whether to request credit at every runner.

        Returns
        -------
        CreditRequest or None
            The request.
        """
        now_s = self._clock.monotonic()
        due = [
            (name, extra)
            for name, extra in demands
            if force or self._is_due(name, extra, now_s)
        ]
        if not due:
            return None
        self._sequence += 1
        return CreditRequest(
            instance=self._instance,
            shard=shard,
            wishes=tuple(
                self._build_wanted_credit(name, extra, now_s) for name, extra in due
            ),
            incarnation=self._incarnation,
            sequence=self._sequence,
        )

    def apply(self, request, reply):
        """Apply the grants of a reply, unless a later request was sent."""
        if request.incarnation != self._incarnation:
            return
        grants = {grant.runner: grant for grant in reply.grants} if reply else {}
        for wanted_credit in request.wishes:
            credit = self._credits[wanted_credit.runner]
            if credit.sequence != request.sequence:
                continue
            credit.pending = False
            grant = grants.get(wanted_credit.runner)
            met = grant is not None and grant.slots >= wanted_credit.slots
            pause_s = RETRY_AFTER_GRANT_S if met else RETRY_AFTER_REFUSAL_S
            credit.next_request_s = credit.sent_s + pause_s
            if grant is None:
                continue
            if grant.slots:
                credit.limit = grant.slots
                credit.until_s = credit.sent_s + grant.lease_ms / 1000
                credit.granted_s = credit.sent_s
            if grant.floor:
                credit.floor = grant.floor
                credit.floor_until_s = credit.sent_s + grant.floor_lease_ms / 1000

    def _credit(self, name):
        credit = self._credits.get(name)
        if credit is None:
            credit = self._credits[name] = _Credit()
        return credit

    def _is_due(self, name, extra, now_s):
        credit = self._credit(name)
        if credit.pending or now_s < credit.next_request_s:
            return False
        if now_s >= credit.granted_s + RENEW_AFTER_S:
            return True
        if now_s + RENEW_FLOOR_BEFORE_S >= credit.floor_until_s:
            return True
        return extra > 0 or credit.peak >= credit.limit

    def _build_wanted_credit(self, name, extra, now_s):
        credit = self._credit(name)
        wanted = max(credit.peak, credit.in_use) + 1 + extra
        held = credit.limit if now_s < credit.until_s else 0
        kept = max(credit.in_use, min(held, wanted))
        floor = credit.floor if now_s < credit.floor_until_s else 0
        credit.limit = min(credit.limit, kept)
        credit.peak = credit.in_use
        credit.sequence = self._sequence
        credit.sent_s = now_s
        credit.pending = True
        return CreditWish(runner=name, slots=wanted, kept=kept, floor=floor)


class RunnerIndex:
    """Runners of a view by service and by id, built once for each view."""

    def __init__(self):
        self._view = None
        self._by_service = {}
        self._by_name = {}

    def find(self, view, service):
        """Return the live runners of a service in the view's failure domain."""
        if view is not self._view:
            self._view = view
            self._by_service = index_runners(view)
            groups = self._by_service.values()
            self._by_name = {
                runner.instance_id: runner for runners in groups for runner in runners
            }
        return self._by_service.get(service, ())

    def get(self, name):
        """Return a runner of the view that `find` was last called with, by its id."""
        return self._by_name[name]


def index_runners(view):
    """Return the runners that may receive requests, by service.

    Parameters
    ----------
    view : ClusterView
        Upstreams of the failure domain.

    Returns
    -------
    dict of ServiceId to list of ListedInstance
        Live runners that are not leaving.
    """
    runners = {}
    for upstream in view.upstreams:
        if (
            upstream.role is InstanceRole.RUNNER
            and upstream.state is ListedState.LIVE
            and upstream.failure_domain == view.failure_domain
            and upstream.instance_id not in view.leaving
        ):
            runners.setdefault(upstream.service, []).append(upstream)
    return runners
