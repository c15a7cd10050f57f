"""One round of placements over the workers of a shard."""

from fuchsiascale.decisions import (
    FreeIndex,
    JobStanding,
    Placement,
    TeamUsage,
    choose_team,
    is_within_quota,
    place_task,
)
from fuchsiascale.platform import Message, Resources
from fuchsiascale.states import Urgency

__all__ = ["NO_ROOM", "PlacementRound", "TeamEntitlement", "scale_quota"]

NO_ROOM = "no worker has room"


class TeamEntitlement(Message):
    """A team's weight, and its quota in the shard; None for no bound."""

    weight: float = 1.0
    quota: Resources | None = None


def scale_quota(quota, share):
    """Return the part of a fleet-wide quota that applies to one shard.

    Examples
    --------
    >>> scale_quota(Resources(millicores=9000, memory_mb=90), 1 / 3).millicores
    3000
    """
    return Resources(
        millicores=int(quota.millicores * share),
        memory_mb=int(quota.memory_mb * share),
        accelerators=int(quota.accelerators * share),
    )


class PlacementRound:
    """State of workers and teams while tasks are placed one by one.

    Parameters
    ----------
    entries : iterable of WorkerFree
    allowances : mapping of WorkerId to StartAllowance
    policy : ShardPolicy
        Source of slowdowns, standings of jobs, and entitlements of teams.
    random : random.Random
    """

    def __init__(self, entries, allowances, policy, random):
        self._index = FreeIndex(entries)
        self._policy = policy
        self._random = random
        self._starts_left = {
            worker: entry.starts for worker, entry in allowances.items()
        }
        self._standings = {
            worker: entry.standing for worker, entry in allowances.items()
        }
        self._capacity = sum(
            (entry.capacity for entry in self._index), start=Resources()
        )
        self._committed = {}
        self._started = set()
        self._blocked = {}
        self._unplaceable = set()

    def count_attempt(self, job, team, demand):
        """Count a running attempt towards its job and its team."""
        self._started.add(job)
        self._committed[team] = self._committed.get(team, Resources()) + demand

    def place_all(self, requests, max_slowdown):
        """Place requests by urgency, then the team furthest below its share first.

        Parameters
        ----------
        requests : sequence of PlacementRequest
        max_slowdown : float
            Highest slowdown to cause at a worker that already runs noisy tasks.

        Returns
        -------
        list of Placement
            One for each request, in order.
        """
        placements = {}
        for request in self._order(requests):
            placements[request.task] = self._place(request, max_slowdown)
        return [placements[request.task] for request in requests]

    def _order(self, requests):
        for urgency in Urgency:
            queues = {}
            for request in reversed(requests):
                if request.urgency is urgency:
                    queues.setdefault(request.team, []).append(request)
            while queues:
                usages = [self._describe_usage(team) for team in queues]
                team = choose_team(usages, self._capacity).team
                yield queues[team].pop()
                if not queues[team]:
                    del queues[team]

    def _describe_usage(self, team):
        return TeamUsage(
            team=team,
            committed=self._committed.get(team, Resources()),
            weight=self._policy.describe_team(team).weight,
        )

    def _place(self, request, max_slowdown):
        reason = self._find_obstacle(request)
        if reason:
            return Placement(task=request.task, reason=reason)
        placement = place_task(
            self._index,
            request,
            self._random,
            slowdown=self._policy.expect_slowdown,
            blocked=self._find_blocked(request),
            max_slowdown=max_slowdown,
        )
        if placement.worker is None:
            self._unplaceable.add((request.job, request.demand))
        else:
            self._commit_placement(request, placement.worker)
        return placement

    def _find_obstacle(self, request):
        if (request.job, request.demand) in self._unplaceable:
            return NO_ROOM
        standing = self._policy.judge_job(request.job)
        if standing is JobStanding.BAD:
            return "the job has failed at every worker that ran it"
        if standing is JobStanding.SUSPECT and request.job in self._started:
            return "the job has only failed so far: one task at a time"
        quota = self._policy.describe_team(request.team).quota
        committed = self._committed.get(request.team)
        if committed and not is_within_quota(committed, request.demand, quota):
            return "the team's quota in this shard is used up"
        return ""

    def _find_blocked(self, request):
        key = (request.job, request.kind)
        blocked = self._blocked.get(key)
        if blocked is None:
            blocked = self._blocked[key] = {
                worker
                for worker, left in self._starts_left.items()
                if left <= 0
                or self._policy.is_blocked(worker, request, self._standings[worker])
            }
        return blocked

    def _commit_placement(self, request, worker):
        self._index.commit(worker, request.demand)
        self.count_attempt(request.job, request.team, request.demand)
        self._starts_left[worker] -= 1
        if self._starts_left[worker] <= 0:
            for blocked in self._blocked.values():
                blocked.add(worker)
