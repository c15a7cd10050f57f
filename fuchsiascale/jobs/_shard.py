"""An owner's state of the workers and jobs of a service, and its commands.

The class holds state and does no I/O: inventories and replies are its input, commands
its output. The rules that prevent a task from running twice are in
docs/design/platform.md.
"""

import math
from collections import Counter

import logbook

from fuchsiascale.decisions import PairInterference, RunTimes
from fuchsiascale.jobs._commands import PaceCommand, StartCommand, StopCommand
from fuchsiascale.jobs._expiring_rows import ExpiringRows
from fuchsiascale.jobs._full_kinds import FullKinds
from fuchsiascale.jobs._inventories import apply_inventory
from fuchsiascale.jobs._model import JobState, split_task
from fuchsiascale.jobs._pending_cancels import PendingCancels
from fuchsiascale.jobs._ports import RefusedReason
from fuchsiascale.jobs._run_state import (
    Attempt,
    AttemptPhase,
    JobRun,
)
from fuchsiascale.jobs._urgent_room import UrgentDemand
from fuchsiascale.jobs._worker_clocks import (
    CLOCK_DRIFT,
    compute_lease_expiry,
    estimate_clock_ms,
)
from fuchsiascale.jobs._worker_state import LATE_CALL_S, WorkerRun

__all__ = ["Shard"]

NO_ROOM_PAUSE_S = 0.4
"""Pause of a worker that refused a start because it had no room."""
UNHEALTHY_PAUSE_S = 1.5
"""Pause of a worker that refused a start because it is unhealthy."""
FENCING_TOKENS_PER_OWNER = 1_000_000_000
"""Number of fencing tokens that an owner's calls to a worker may have. It takes one a
call at most, and JSON numbers are exact for up to nine million owners."""
SUSPENSION_S = 2.0
"""First suspension of a worker on which attempts fail or stall. Each further one is
twice as long, until an attempt succeeds there."""
MAX_SUSPENSION_S = 16.0
"""Longest suspension."""


class Shard:
    """Workers and jobs of one service under one owner.

    Parameters
    ----------
    service : str
        The service.
    token : int
        The owner's fencing token.
    lease_s : float
        Length of the leases that owners grant.
    log : logbook.Logger, optional
        Where decisions are logged.
    longest_lease_s : float, optional
        Longest lease that a worker takes.
    evacuations : Evacuations or None, optional
        Failure domains that take no starts; None if the operator evacuates none.
    remote_factor : float, optional
        See `OwnerLimits`.

    Attributes
    ----------
    confirmed_s : float
        Monotonic time at which the store last showed the owner as such. What was
        concluded later may be known better by a later owner.
    concluded_s : float
        Monotonic time of the last conclusion that needs a later confirmation.
    """

    def __init__(
        self,
        service,
        token,
        lease_s,
        log=None,
        longest_lease_s=None,
        evacuations=None,
        remote_factor=1.0,
    ):
        self.service = service
        self.token = token
        self.lease_ms = int(lease_s * 1000)
        self.longest_lease_ms = int((longest_lease_s or lease_s) * 1000)
        self.remote_factor = remote_factor
        self.log = log or logbook.Logger("shard")
        self.evacuations = evacuations
        self.jobs = {}
        self.finished = {}
        self.workers = {}
        self.pending_cancels = PendingCancels()
        self.early_cancel_rows = ExpiringRows()
        self.withdrawn_rows = ExpiringRows()
        self.dirty = {}
        self.unstorable = {}
        self.commands = []
        self.loaded = False
        self.confirmed_s = math.inf
        self.concluded_s = -math.inf
        self.unconfirmed_workers = {}
        self._dropped_epochs = {}
        self.orphans = frozenset()
        self.events = Counter()
        self.interference = PairInterference()
        self.run_times = RunTimes()
        self.full_kinds = FullKinds()
        self.rack_forecasts = {}
        self.urgent_demand = UrgentDemand()
        self.next_eviction_s = 0.0
        self.next_move_s = 0.0
        self.next_consolidation_s = 0.0

    # Jobs ------------------------------------------------------------------

    def add_job(self, record, row_token, now_s, wall_ms, progress=None):
        """Add an accepted job and return it; returns None for a known job."""
        if record.job in self.jobs or record.job in self.finished:
            return None
        inherited = row_token < self.token
        job = JobRun(record, self.token, inherited, now_s, wall_ms)
        self.jobs[record.job] = job
        if progress is not None:
            job.restore(progress)
        job.open_due_occurrences(now_s, wall_ms)
        if record.job in self.pending_cancels:
            self.cancel_job(record.job, now_s)
        return job

    def cancel_job(self, job_id, now_s):
        """Cancel a job and stop its attempts."""
        job = self.jobs.get(job_id)
        if job is None:
            if job_id not in self.finished:
                self.pending_cancels.add(job_id, now_s)
            return
        if job.state.final:
            return
        job.cancelled = True
        self.finish_job(job, JobState.CANCELLED, now_s)

    def finish_job(self, job, state, now_s):
        """Set the final state of a job, and stop its attempts."""
        job.state = state
        job.ended_s = now_s
        self.dirty[job.job] = job
        for attempt in job.list_attempts():
            self.stop_attempt(attempt, now_s)
        self.log.info("job ended", extra={"job": job.job, "state": state.value})

    def note_finished(self, job_id, state, now_s):
        """Replace a job whose final state is recorded by that state.

        Its remaining attempts become orphans.
        """
        job = self.jobs.pop(job_id, None)
        self.unstorable.pop(job_id, None)
        self.interference.forget(job_id)
        self.finished[job_id] = (state, now_s)
        if job is not None:
            for attempt in job.list_attempts():
                attempt.worker.orphans[attempt.task.name] = attempt.number

    def forget_finished(self, before_s):
        """Drop final states that were recorded before a time; returns the job ids."""
        old = [job for job, (_, at_s) in self.finished.items() if at_s < before_s]
        for job in old:
            del self.finished[job]
        return old

    # Workers ---------------------------------------------------------------

    def update_worker(self, listed, now_s):
        """Add a listed worker, or update its entry; returns the worker."""
        worker = self.workers.get(listed.worker)
        if worker is None:
            # Calls that were sent before the worker was dropped may still arrive.
            epoch = self._dropped_epochs.pop(listed.worker, -1) + 1
            worker = self.workers[listed.worker] = WorkerRun(listed, now_s, epoch)
        worker.update_listing(listed, now_s)
        return worker

    def note_worker_unlisted(self, worker_id):
        """Note that a worker is no longer listed."""
        worker = self.workers.get(worker_id)
        if worker is not None:
            worker.is_listed = False

    def list_leased_workers(self):
        """Return the workers that may run attempts now or after a later start.

        One that has never answered runs nothing unless an earlier owner used it.
        """
        return [
            worker
            for worker in self.workers.values()
            if not worker.retired and (worker.claimed or worker.in_leased_workers)
        ]

    def drop_worker(self, worker_id):
        """Forget a worker that has no attempts left and is not listed."""
        worker = self.workers.pop(worker_id, None)
        if worker is not None:
            self._dropped_epochs[worker_id] = worker.fencing_epoch

    def get_fencing_token(self, worker):
        """Return the fencing token for the next call to a worker."""
        return self.token * FENCING_TOKENS_PER_OWNER + worker.fencing_epoch

    def all_workers_confirmed(self):
        """Return whether all attempts of earlier owners are known or have expired."""
        return not self.unconfirmed_workers

    def may_use(self, worker, now_s):
        """Return whether new attempts may be started on a worker."""
        return (
            self.may_send_start(worker)
            and worker.is_usable(now_s)
            and not self.is_evacuated(worker, now_s)
        )

    def may_send_start(self, worker):
        """Return whether no earlier or later owner acts on a worker's incarnation.

        One that has not seen a later owner refuses nothing. A later owner that is
        claimed after its first answer will look for attempts there.
        """
        return worker.refuses_former_calls and worker.claimed_s < self.confirmed_s

    def is_evacuated(self, worker, now_s):
        """Return whether nothing may be started in a worker's failure domain.

        That also holds as long as it is unknown which domains are evacuated.
        """
        return self.evacuations is not None and not self.evacuations.allow_starts(
            worker.listed.domain, now_s
        )

    def list_evacuations(self):
        """Return whether each failure domain with workers is evacuated.

        It is empty if the operator evacuates none. Rows that name other domains are
        left out, as there may be thousands of them.
        """
        if self.evacuations is None:
            return {}
        domains = sorted({each.listed.domain for each in self.workers.values()})
        return {domain: domain in self.evacuations.domains for domain in domains}

    def may_start(self, task):
        """Return whether no other attempt of a waiting task can run or start.

        After an attempt was lost, a later owner may have adopted it, seen its end, or
        started another one.
        """
        if task.name in self.orphans or task.step.job.job in self.unstorable:
            return False
        if task.lost_s >= self.confirmed_s:
            return False
        if not self.unconfirmed_workers or not task.step.job.inherited:
            return True
        return task.located or task.step.follows_located_step()

    def grant_lease(self, worker, now_s):
        """Extend a worker's lease; returns its end on the worker's clock.

        Returns None where no lease may be granted. A worker that did not answer gets
        none: each grant in flight may take effect late, so that its lease could never
        be assumed to have expired. Nor does one of which a later incarnation has
        answered a start: the lease would end on the clock of the one before.
        """
        if worker.silent or not worker.claimed or worker.clock_ms is None:
            return None
        if worker.saw_later_clock:
            return None
        until_ms = estimate_clock_ms(worker, now_s) + self.lease_ms
        worker.granted_until_ms = max(worker.granted_until_ms, until_ms)
        compute_lease_expiry(worker)
        return until_ms

    def grant_start_lease(self, worker, now_s):
        """Extend a worker's lease with a start; returns its end on the worker's clock.

        It ends before a start may break the bound of an evacuation that is not known
        yet: a worker refuses a start whose lease has ended, so that one that is held up
        on its way has no effect. An end that is earlier than that of the present lease
        doesn't shorten it.
        """
        until_ms = self.grant_lease(worker, now_s)
        if until_ms is None or self.evacuations is None:
            return until_ms
        left_ms = 1000 * (1 - CLOCK_DRIFT) * self.evacuations.measure_left_s(now_s)
        clock_ms = estimate_clock_ms(worker, now_s)
        return clock_ms + int(min(self.lease_ms, left_ms))

    def note_claimed(self, worker, now_s):
        """Note that an incarnation of a worker has answered for the first time."""
        worker.claimed = True
        worker.claimed_s = now_s
        self.concluded_s = max(self.concluded_s, now_s)

    def observe(self, worker, inventory, sent_s, now_s):
        """Apply an inventory that was requested at ``sent_s``."""
        apply_inventory(self, worker, inventory, sent_s, now_s)

    def note_silence(self, worker, now_s):
        """Note that a worker did not answer an exchange.

        What answers the next one, perhaps a later incarnation, refuses that one and all
        before it.
        """
        worker.advance_fence()
        worker.silent = True
        worker.doubted_s = now_s

    def suspend(self, worker, now_s):
        """Start nothing on a worker for a while, longer each time.

        Failures and stalls during a suspension have the same cause and don't extend it.
        """
        if now_s < worker.suspended_until_s:
            return
        pause_s = min(MAX_SUSPENSION_S, SUSPENSION_S * 2**worker.suspensions)
        worker.suspensions += 1
        worker.failed_jobs.clear()
        worker.suspended_until_s = now_s + pause_s
        worker.blocked_until_s = max(worker.blocked_until_s, worker.suspended_until_s)
        self.log.warning(
            "worker suspended", extra={"worker": worker.worker, "for_s": pause_s}
        )

    def find_task(self, name):
        """Return the task of a name; None if it is unknown."""
        parts = split_task(name)
        job = self.jobs.get(parts[0]) if parts else None
        return job.find_task(*parts[1:]) if job else None

    def note_orphans(self):
        """Note which tasks have attempts that are still being stopped."""
        self.orphans = frozenset().union(
            *(worker.orphans for worker in self.workers.values())
        )

    # Commands --------------------------------------------------------------

    def drain_commands(self):
        """Return the commands to send, and clear them."""
        commands, self.commands = self.commands, []
        return commands

    def start_task(self, task, worker, now_s):
        """Command a worker to start a task; returns the attempt."""
        attempt = Attempt(task, worker, task.next_number, AttemptPhase.STARTING, now_s)
        task.latest_number = task.next_number
        task.next_number += 1
        task.attempt = attempt
        worker.occupy(attempt)
        self.commands.append(StartCommand(attempt))
        return attempt

    def withdraw_start(self, attempt):
        """Undo a start whose command has not been sent."""
        self.commands = [
            command
            for command in self.commands
            if not (isinstance(command, StartCommand) and command.attempt is attempt)
        ]
        attempt.worker.release(attempt)
        attempt.task.attempt = None
        attempt.task.next_number = attempt.number

    def stop_attempt(self, attempt, now_s):
        """Stop a running or unconfirmed attempt; its task waits again once it ends."""
        if attempt.phase is AttemptPhase.STOPPING:
            return
        if attempt.phase is AttemptPhase.STARTING:
            return
        attempt.enter_phase(AttemptPhase.STOPPING, now_s)
        self.send_stop(attempt, now_s)

    def stop_orphan(self, worker, task, number):
        """Command a worker to stop an attempt that belongs to no task of the shard."""
        self.commands.append(StopCommand(worker, task, number))

    def send_stop(self, attempt, now_s):
        """Command a worker to stop an attempt; may be repeated."""
        attempt.stop_sent_s = now_s
        self.commands.append(
            StopCommand(attempt.worker, attempt.task.name, attempt.number)
        )

    def set_pace(self, attempt, percent):
        """Set the target speed of an attempt, in percent."""
        if attempt.target_pace != percent:
            attempt.worker.set_target_pace(attempt, percent)
            self.commands.append(PaceCommand(attempt, percent))

    def note_started(self, attempt, now_s, by_later_incarnation=False):
        """Note that a worker, perhaps a later incarnation, has carried out a start."""
        if by_later_incarnation:
            # An exchange that was sent before may still extend its lease.
            attempt.doubt_start(now_s + LATE_CALL_S)
        if attempt.phase in (AttemptPhase.STARTING, AttemptPhase.IN_DOUBT):
            attempt.enter_phase(AttemptPhase.RUNNING, now_s)
        self.events["started"] += 1
        # A filler starts at full speed, so the next round has to throttle it.
        attempt.worker.next_pace_s = min(attempt.worker.next_pace_s, now_s)
        self.mark_running(attempt.task.step.job)
        self._stop_if_obsolete(attempt, now_s)

    def mark_running(self, job):
        """Mark a queued job as running."""
        if job.state is JobState.QUEUED:
            job.state = JobState.RUNNING

    def note_start_unanswered(self, attempt, now_s):
        """Note that a start without an answer may be carried out, now or later."""
        self.events["start unanswered"] += 1
        attempt.worker.note_start_unanswered(attempt, now_s)
        if attempt.phase is AttemptPhase.STARTING:
            attempt.enter_phase(AttemptPhase.IN_DOUBT, now_s)
            attempt.doubt_start(now_s + LATE_CALL_S)
            attempt.worker.blocked_until_s = now_s + NO_ROOM_PAUSE_S
        self._stop_if_obsolete(attempt, now_s)

    def _stop_if_obsolete(self, attempt, now_s):
        """Stop an attempt whose job or task has ended, or whose gang lacks a member."""
        job = attempt.task.step.job
        step = attempt.task.step
        is_incomplete_gang = step.spec.gang and any(
            task.attempt is None for task in step.tasks
        )
        if job.state.final or attempt.task.done or is_incomplete_gang:
            self.stop_attempt(attempt, now_s)

    def note_start_refused(self, attempt, reason, now_s):
        """Note that a worker has not carried out a start and never will."""
        worker = attempt.worker
        self._undo_start(attempt, now_s)
        self.events[f"start refused: {reason.value}"] += 1
        pause_s = NO_ROOM_PAUSE_S
        if reason is RefusedReason.UNHEALTHY:
            pause_s = UNHEALTHY_PAUSE_S
            attempt.task.avoided_worker = worker.worker
        if reason is not RefusedReason.EXPIRED:
            worker.blocked_until_s = now_s + pause_s
        self.log.info(
            "start refused",
            extra={**attempt.describe_start(), "why": reason.value},
        )

    def note_start_withheld(self, attempt, now_s):
        """Note that a start was not sent because its failure domain is evacuated."""
        self._undo_start(attempt, now_s)
        self.events["start withheld: evacuated"] += 1
        self.log.info(
            "start withheld",
            extra={
                "task": attempt.task.name,
                "worker": attempt.worker.worker,
                "domain": attempt.worker.listed.domain,
            },
        )

    def _undo_start(self, attempt, now_s):
        """Let the task of an attempt wait again that was not, and never will be, run.

        The other members of a gang are stopped.
        """
        if attempt.phase is AttemptPhase.STARTING:
            attempt.worker.release(attempt)
            if attempt.task.attempt is attempt:
                attempt.task.attempt = None
        if attempt.task.step.spec.gang:
            self._stop_gang(attempt.task.step, now_s)

    def _stop_gang(self, step, now_s):
        """Stop the members of a gang of which one is missing."""
        for task in step.tasks:
            if task.attempt is not None:
                self.stop_attempt(task.attempt, now_s)

    def note_stop_answered(self, worker, task, number, now_s):
        """Note that a worker has carried out a stop."""
        attempt = worker.attempts.get(task)
        if attempt is not None and attempt.number == number:
            attempt.stop_answered_s = now_s

    def note_paced(self, attempt, percent):
        """Note that a worker has set the speed of an attempt."""
        attempt.pace = percent
        attempt.has_full_run_time = False

    # States ----------------------------------------------------------------

    def count_waiting(self):
        """Return the number of accepted jobs of each queue that have not started."""
        counts = {}
        for job in self.jobs.values():
            if job.state is JobState.QUEUED and not job.timed:
                queue = job.policy.queue
                counts[queue] = counts.get(queue, 0) + 1
        return counts

    def count_states(self):
        """Return the number of unrecorded jobs in each state."""
        return Counter(job.state.value for job in self.jobs.values())

    def get_state(self, job_id):
        """Return the state of a job that callers may see; None if unknown.

        A final state is reported only once it is recorded.
        """
        if job_id in self.finished:
            return self.finished[job_id][0]
        job = self.jobs.get(job_id)
        if job is None:
            return None
        return JobState.RUNNING if job.state.final else job.state
