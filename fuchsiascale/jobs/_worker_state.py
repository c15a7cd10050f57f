"""In-memory state of a worker: its lease, its attempts and the room that they leave."""

from fuchsiascale.jobs._worker_clocks import estimate_clock_ms

__all__ = ["LATE_CALL_S", "WorkerRun"]

LATE_CALL_S = 12.0
"""Time in which a call without an answer may still take effect; the platform documents
delays of up to 12 s."""
MAX_COLD_S = 60.0
"""Longest time for which an entry lets a worker count as cold: attempts on one are not
checked for progress, whatever another writer has written there."""


class WorkerRun:
    """An owner's state of a worker.

    Parameters
    ----------
    listed : ListedWorker
        The worker's entry in the platform's list.
    now_s : float
        Monotonic time.
    fencing_epoch : int, optional
        See the attribute.

    Attributes
    ----------
    claimed : bool
        Whether this incarnation has answered an exchange with the owner.
    claimed_s : float
        Monotonic time of its first answer.
    fencing_epoch : int
        Lower part of the fencing token of calls to the worker; see `advance_fence`.
    refuses_former_calls : bool
        Whether this incarnation has answered an exchange that was sent after its first
        answer, so that it refuses the calls meant for the incarnation before. It is
        False from a restart until then.
    is_acknowledging : bool
        Whether an exchange of the present epoch that acknowledges ends is on its way.
    starts_in_flight : int
        Number of starts without a reply yet.
    unanswered_starts : dict
        Attempt number, and monotonic time, of the last start without an answer, by
        task id.
    doubted_s : float or None
        Monotonic time of the last sign that the worker may have restarted; None once
        it has answered an exchange that was sent later.
    saw_later_clock : bool
        Whether a start was answered by the clock of a later incarnation.
    silent : bool
        Whether the last exchange returned no inventory.
    in_leased_workers : bool
        Whether a stored row of leased workers lists the worker.
    storable : bool
        Whether the worker's entry fits in a row; otherwise it can't be used.
    orphans : dict
        Numbers of attempts to stop that the shard doesn't track, by task id.
    last_seen_end, last_recorded_end : int
        Highest number of an end that was seen, and that is recorded.
    clock_ms, clock_read_s : int or None, float
        Last reading of the worker's clock, and its monotonic time.
    granted_until_ms : int
        Latest end of a lease that was granted, on the worker's clock.
    lease_expiry_s : float or None
        Monotonic time after which all granted leases have expired.
    fillers : int
        Number of attempts of fillers.
    serving_tasks, filler_shares, leftover_millis : object or None
        Values that `_worker_selection` derives from the attempts and their target
        speeds; None after a change.
    leftovers : dict
        Leftover capacity by image, and when it has to be computed anew.
    cold_until_s : float
        Monotonic time until which the worker is slow after its start.
    blocked_until_s, suspended_until_s : float
        Monotonic times before which nothing is started, for any reason and because
        attempts failed or stalled.
    """

    def __init__(self, listed, now_s, fencing_epoch=0):
        self.listed = listed
        self.worker = listed.worker
        self.incarnation = 0
        self.claimed = False
        self.claimed_s = 0.0
        self.fencing_epoch = fencing_epoch
        self.refuses_former_calls = True
        self.is_acknowledging = False
        self.starts_in_flight = 0
        self.unanswered_starts = {}
        self.doubted_s = None
        self.saw_later_clock = False
        self.silent = False
        self.in_leased_workers = False
        self.storable = True
        self.is_listed = True
        self.attempts = {}
        self.orphans = {}
        self.last_seen_end = 0
        self.last_recorded_end = 0
        self.clock_ms = None
        self.clock_read_s = now_s
        self.granted_until_ms = 0
        self.lease_expiry_s = None
        self.blocked_until_s = 0.0
        self.fillers = 0
        self.serving_tasks = None
        self.filler_shares = None
        self.leftover_millis = None
        self.leftovers = {}
        self.next_pace_s = 0.0
        self.next_stall_check_s = 0.0
        self.next_observation_s = 0.0
        self.over_target_since_s = None
        self.task_over_target_since_s = None
        self.failed_jobs = set()
        self.suspensions = 0
        self.suspended_until_s = 0.0
        self.cpu_used = 0
        self.memory_used = 0
        self.accelerators_used = 0
        self.cold_until_s = 0.0
        self._note_cold(listed, now_s)

    @property
    def acknowledgeable_end(self):
        """Highest number of an end that the worker may be told is recorded.

        Another incarnation numbers its ends anew, and would drop ends that nobody has
        seen. It has none unless a start has reached it, so it is enough to know that
        all starts were carried out by the incarnation of the last exchange.
        """
        if self.starts_in_flight or self.doubted_s is not None:
            return 0
        return self.last_recorded_end

    @property
    def has_restarted(self):
        """Whether there is another incarnation than the one that answered last."""
        is_listed_anew = self.listed.incarnation not in (0, self.incarnation)
        return bool(self.incarnation) and (is_listed_anew or self.saw_later_clock)

    def measure_claimed_s(self, now_s):
        """Return how long ago this incarnation answered first; None if it never did."""
        return round(now_s - self.claimed_s, 3) if self.claimed else None

    @property
    def draining(self):
        """Whether the platform is draining the worker."""
        return self.listed.draining

    @property
    def retired(self):
        """Whether nothing runs, or will be started, on the worker."""
        return (
            self.claimed
            and (self.draining or not self.is_listed)
            and not self.attempts
            and not self.orphans
        )

    def is_usable(self, now_s):
        """Return whether new attempts may be started on the worker."""
        return (
            self.claimed
            and self.refuses_former_calls
            and not self.saw_later_clock
            and not self.silent
            and self.in_leased_workers
            and self.is_listed
            and not self.listed.draining
            and now_s >= self.blocked_until_s
            and self.clock_ms is not None
        )

    def advance_fence(self):
        """Let all later calls have a higher fencing token than those before.

        An incarnation that has carried out one of them refuses what was sent before,
        perhaps to an earlier incarnation.
        """
        self.fencing_epoch += 1
        self.is_acknowledging = False

    def note_start_sent(self):
        """Note that a start is about to be sent to the worker.

        An exchange that was sent before must not drop the end of this start: it may be
        carried out late, and by an incarnation that numbers its ends anew. Starts that
        are sent together have the same token, since they may overtake each other.
        """
        self.starts_in_flight += 1
        if self.is_acknowledging:
            self.advance_fence()

    def note_start_reply(self, clock_ms, sent_s, now_s):
        """Note the reply to a start, or its absence.

        Parameters
        ----------
        clock_ms : int or None
            Time on the worker's clock; None if there was no reply. A clock that is
            behind is that of a later incarnation.
        sent_s, now_s : float
            Monotonic times of the start and of the reply, in seconds.

        Returns
        -------
        bool
            Whether a later incarnation may have carried the start out.
        """
        self.starts_in_flight -= 1
        is_same = (
            clock_ms is not None
            and self.clock_ms is not None
            and clock_ms >= estimate_clock_ms(self, sent_s)
        )
        if not is_same:
            self.doubted_s = now_s
        if clock_ms is not None and not is_same:
            self.saw_later_clock = True
        return not is_same

    def note_start_unanswered(self, attempt, now_s):
        """Note that a start has had no answer, and may take effect late.

        What answers a later exchange refuses it.
        """
        self.advance_fence()
        self._forget_late_starts(now_s)
        self.unanswered_starts[attempt.task.name] = (attempt.number, now_s)

    def list_late_starts(self, now_s):
        """Return the starts that may still take effect, each with its number."""
        self._forget_late_starts(now_s)
        return [(name, number) for name, (number, _) in self.unanswered_starts.items()]

    def _forget_late_starts(self, now_s):
        self.unanswered_starts = {
            name: (number, at_s)
            for name, (number, at_s) in self.unanswered_starts.items()
            if now_s - at_s < LATE_CALL_S
        }

    def occupy(self, attempt):
        """Add an attempt and reserve its resources."""
        self.attempts[attempt.task.name] = attempt
        self._add(attempt, 1)

    def release(self, attempt):
        """Remove an attempt and free its resources."""
        if self.attempts.get(attempt.task.name) is attempt:
            del self.attempts[attempt.task.name]
            self._add(attempt, -1)

    def update_listing(self, listed, now_s):
        """Set the worker's entry in the platform's list, which has it at present."""
        if listed.capacity != self.listed.capacity:
            self._forget_derived()
        is_same_start = listed.incarnation == self.listed.incarnation
        if not is_same_start or listed.cold_left_ms != self.listed.cold_left_ms:
            self._note_cold(listed, now_s)
        self.listed = listed
        if self.has_restarted:
            self.doubted_s = now_s
        self.is_listed = True

    def _note_cold(self, listed, now_s):
        """Note from an entry that has just changed how long the worker stays cold.

        An entry is applied again with each change of the list, and must not extend the
        time then.
        """
        cold_s = min(MAX_COLD_S, listed.cold_left_ms / 1000)
        if cold_s or self.is_cold(now_s):
            self.cold_until_s = now_s + cold_s

    def is_cold(self, now_s):
        """Return whether the worker is still slow after its start."""
        return now_s < self.cold_until_s

    def _forget_derived(self):
        self.serving_tasks = self.filler_shares = self.leftover_millis = None
        self.leftovers.clear()

    def set_target_pace(self, attempt, percent):
        """Set the target speed of an attempt."""
        attempt.target_pace = percent
        self.filler_shares = None
        self.leftovers.clear()

    def _add(self, attempt, sign):
        step = attempt.task.step
        self.fillers += sign * step.spec.fills
        self._forget_derived()
        need = step.spec.need
        if not step.spec.fills:
            self.cpu_used += sign * need.cpu_millis
        self.memory_used += sign * need.memory_mb
        self.accelerators_used += sign * need.accelerators
        count = step.attempts_per_worker.get(self.worker, 0) + sign
        if count:
            step.attempts_per_worker[self.worker] = count
        else:
            step.attempts_per_worker.pop(self.worker, None)

    def fits(self, spec):
        """Return whether a task of a step fits beside the present attempts."""
        need, capacity = spec.need, self.listed.capacity
        return (
            (spec.fills or self.cpu_used + need.cpu_millis <= capacity.cpu_millis)
            and self.memory_used + need.memory_mb <= capacity.memory_mb
            and self.accelerators_used + need.accelerators <= capacity.accelerators
        )
