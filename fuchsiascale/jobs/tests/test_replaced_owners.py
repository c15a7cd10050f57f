"""Conclusions of an owner that has been replaced and doesn't know it yet.

An owner whose failure domain was cut off from the store took the leases of workers for
expired that its successor had extended, and started their tasks a second time. These
tests cover the other conclusions that the successor may contradict: a worker that has
restarted has forgotten which owner was the last, and refuses none.
"""

import asyncio

from returns.result import Failure, Success

from fuchsiascale.jobs import (
    AttemptPhase,
    Executed,
    Inventory,
    NoAnswer,
    Refused,
    RefusedReason,
    RunningAttempt,
    StopCommand,
)
from fuchsiascale.jobs._conclusions import confirm_owner, mark_all_lost
from fuchsiascale.jobs.tests.test_owner import (
    JOB,
    OwnerRowStore,
    end_first_task,
    make_owner,
)
from fuchsiascale.testing import collect_functions

load_tests = collect_functions(__name__)

REPLACED = 6
"""Version of the owner row after a successor has written it; the owner wrote 5."""


def make_running_owner(store):
    """Return an owner, its worker, and a task that runs there."""
    owner, worker = make_owner(store)
    owner.links.sync = lambda: None
    end_first_task(owner, worker)
    task = owner.shard.jobs[JOB].find_task(0, 0, 1)
    attempt = owner.shard.start_task(task, worker, 0.3)
    owner.shard.drain_commands()
    owner.shard.note_started(attempt, 0.3)
    return owner, worker, task


def restart_worker(owner, worker):
    """Let a new incarnation of the worker, which runs nothing, answer two exchanges.

    From the second one on, it refuses what was meant for the incarnation before.
    """
    owner.clock.advance(0.5)
    now_s = owner.clock.monotonic()
    for clock_ms in (300, 310):
        inventory = Inventory(clock_ms=clock_ms, incarnation=2)
        owner.shard.observe(worker, inventory, now_s, now_s)
    owner.clock.advance(0.1)


async def run_rounds(owner):
    """Run a round, let the store answer, and run another; return the new starts."""
    started = []
    owner.links.send_commands = lambda: started.extend(owner.shard.drain_commands())
    owner._run_round()
    await asyncio.sleep(0)
    await asyncio.sleep(0)
    owner.clock.advance(0.1)
    if not owner.lost:
        owner._run_round()
    return started


async def test_a_task_of_a_restarted_worker_waits_until_the_owner_is_confirmed():
    # The successor may have seen the end of the task before the worker restarted.
    for version, starts in ((None, False), (5, True), (REPLACED, False)):
        store = OwnerRowStore()
        store.version = version
        owner, worker, task = make_running_owner(store)
        restart_worker(owner, worker)
        assert task.waiting
        assert bool(await run_rounds(owner)) is starts, version
        assert owner.lost is (version == REPLACED)
        await owner.stop()


async def test_nothing_starts_on_a_restarted_worker_until_the_owner_is_confirmed():
    # The worker would refuse the start if it still knew the successor, which may have
    # found it empty and started the task elsewhere.
    for version, starts in ((None, False), (5, True), (REPLACED, False)):
        store = OwnerRowStore()
        store.version = version
        owner, worker, task = make_running_owner(store)
        end_attempt(owner, worker, task)
        restart_worker(owner, worker)
        assert bool(await run_rounds(owner)) is starts, version
        await owner.stop()


def end_attempt(owner, worker, task):
    """Let the attempt of a task end without success, as known before the restart."""
    worker.release(task.attempt)
    task.attempt = None
    assert owner.shard.may_start(task)


async def test_nothing_is_sent_to_start_after_the_evidence_has_ended():
    # A process that was paused between its decision and the call may be replaced.
    owner, worker, task = make_running_owner(OwnerRowStore())
    end_attempt(owner, worker, task)
    attempt = owner.shard.start_task(task, worker, 0.4)
    owner.clock.advance(11.0)
    await owner.links._start(attempt)
    assert task.waiting
    await owner.stop()


async def test_a_start_that_was_planned_is_not_sent_to_a_later_incarnation():
    # It has forgotten the token of a successor that may have started the task.
    owner, worker, task = make_running_owner(OwnerRowStore())
    end_attempt(owner, worker, task)
    attempt = owner.shard.start_task(task, worker, 0.4)
    restart_worker(owner, worker)
    await owner.links._start(attempt)
    assert task.waiting
    await owner.stop()


class FailingCalls:
    """Calls to workers whose exchanges fail."""

    def __init__(self, error):
        self.error = error

    async def exchange(self, *arguments):
        return Failure(self.error)


class OvertakenCalls:
    """Calls of which the first is overtaken by a start with a higher token."""

    def __init__(self, worker):
        self.worker = worker
        self.tokens = []

    async def exchange(self, worker, token, *arguments):
        return self._refuse(token)

    async def stop(self, worker, task, number, token):
        return self._refuse(token)

    def _refuse(self, token):
        self.tokens.append(token)
        if len(self.tokens) == 1:
            self.worker.advance_fence()
        return Failure(Refused(RefusedReason.FENCED))


async def test_a_call_overtaken_by_a_start_of_the_same_owner_is_repeated():
    owner, worker, _ = make_running_owner(OwnerRowStore())
    owner.links.calls = calls = OvertakenCalls(worker)
    assert await owner.links._exchange(worker)
    assert not owner.lost
    assert not worker.silent
    await owner.links._exchange(worker)
    assert owner.lost
    assert calls.tokens[0] < calls.tokens[1]
    await owner.stop()


async def test_a_stop_overtaken_by_a_start_of_the_same_owner_is_repeated():
    owner, worker, task = make_running_owner(OwnerRowStore())
    owner.links.calls = calls = OvertakenCalls(worker)
    await owner.links._stop(StopCommand(worker, task.name, 1))
    assert not owner.lost
    for _ in range(3):
        await asyncio.sleep(0)
    assert calls.tokens[0] < calls.tokens[1]
    await owner.stop()


class HeldExchange:
    """Calls of which an exchange is on its way while a start is sent.

    The exchange is answered or not.
    """

    def __init__(self, owner, attempt, reply):
        self.owner = owner
        self.attempt = attempt
        self.reply = reply
        self.tokens = []

    async def exchange(self, worker, token, *arguments):
        self.tokens.append(token)
        if self.attempt is not None:
            attempt, self.attempt = self.attempt, None
            await self.owner.links._start(attempt)
        return self.reply

    async def send_start(self, worker, request):
        self.tokens.append(request.token)
        return Success(Executed(clock_ms=10_000)), None


async def test_an_exchange_sent_before_a_start_can_not_acknowledge_its_end():
    # The exchange was held back, and a later incarnation carried out the start first.
    for acknowledged in (0, 1):
        owner, worker, task = make_running_owner(OwnerRowStore())
        end_attempt(owner, worker, task)
        worker.last_recorded_end = acknowledged
        confirm_owner(owner.shard, 0.4)
        attempt = owner.shard.start_task(task, worker, 0.4)
        inventory = Success(Inventory(clock_ms=10_000, incarnation=1))
        owner.links.calls = calls = HeldExchange(owner, attempt, inventory)
        await owner.links._exchange(worker)
        held, started = calls.tokens
        assert (held < started) is bool(acknowledged)
        await owner.stop()


async def test_a_start_sent_after_an_unanswered_exchange_has_a_higher_token():
    owner, worker, _ = make_running_owner(OwnerRowStore())
    unanswered = Failure(NoAnswer("cut off"))
    owner.links.calls = calls = HeldExchange(owner, None, unanswered)
    await owner.links._exchange(worker)
    assert calls.tokens[0] < owner.shard.get_fencing_token(worker)
    await owner.stop()


async def test_a_stop_refused_by_a_worker_that_was_added_anew_is_no_loss_of_ownership():
    owner, worker, task = make_running_owner(OwnerRowStore())
    owner.links.calls = ReaddingCalls(owner.shard, worker)
    await owner.links._stop(StopCommand(worker, task.name, 1))
    assert not owner.lost
    await owner.stop()


class ReaddingCalls:
    """Calls during which their worker leaves the list and comes back."""

    def __init__(self, shard, worker):
        self.shard = shard
        self.listed = worker.listed

    async def stop(self, worker, task, number, token):
        self.shard.drop_worker(self.listed.worker)
        self.shard.update_worker(self.listed, 1.0)
        return Failure(Refused(RefusedReason.FENCED))


async def test_a_worker_is_kept_while_it_may_run_an_attempt_that_is_being_stopped():
    # The successor may have adopted that attempt, and extended the worker's lease.
    owner, worker, task = make_running_owner(OwnerRowStore())
    end_attempt(owner, worker, task)
    running = (RunningAttempt(task=task.name, attempt=1, checkpoint="", percent=1),)
    task.latest_number = 2
    owner.shard.loaded = True
    owner.shard.observe(
        worker, Inventory(clock_ms=500, incarnation=1, running=running), 0.4, 0.5
    )
    assert worker.orphans
    owner.shard.note_worker_unlisted(worker.worker)
    owner.links.calls = FailingCalls(NoAnswer("cut off"))
    owner.clock.advance(20.0)
    assert await owner.links._exchange(worker)
    assert worker.worker in owner.shard.workers
    await owner.stop()


async def test_a_task_waits_for_confirmation_after_its_stopped_attempt_is_forgotten():
    # The successor may have adopted the attempt that this owner is stopping.
    for forget in (restart_worker, mark_gone):
        owner, worker, task = make_running_owner(OwnerRowStore())
        end_attempt(owner, worker, task)
        worker.orphans[task.name] = 1
        forget(owner, worker)
        assert not worker.orphans
        assert not await run_rounds(owner)
        assert not owner.shard.may_start(task)
        await owner.stop()


def mark_gone(owner, worker):
    """Let another worker answer at the worker's address."""
    mark_all_lost(owner.shard, worker, owner.clock.monotonic(), "gone")


async def test_inherited_tasks_wait_for_confirmation_after_the_last_worker_is_reached():
    # The successor may have seen a task run there before the worker restarted, and
    # starts it again at once. The same holds if another worker has the address.
    for reach in (answer_first_exchange, answer_as_another_worker):
        for version, is_free in ((None, False), (5, True), (REPLACED, False)):
            store = OwnerRowStore()
            store.version = version
            owner, worker, _ = make_running_owner(store)
            owner.shard.unconfirmed_workers[worker.worker] = 16.5
            owner.clock.advance(2.0)
            await reach(owner, worker)
            owner.clock.advance(0.1)
            await run_rounds(owner)
            assert owner.shard.all_workers_confirmed() is is_free, (reach, version)
            await owner.stop()


async def answer_first_exchange(owner, worker):
    """Let the worker answer with an inventory that lists nothing."""
    now_s = owner.clock.monotonic()
    owner.shard.observe(
        worker, Inventory(clock_ms=3_000, incarnation=1), now_s - 0.01, now_s
    )


async def answer_as_another_worker(owner, worker):
    """Let another worker answer at its address after it has left the list."""
    owner.links.calls = FailingCalls(Refused(RefusedReason.OTHER_INCARNATION))
    owner.shard.note_worker_unlisted(worker.worker)
    assert not await owner.links._exchange(worker)
    assert not owner.shard.workers


class StoppingCalls:
    """Calls to workers that carry out stops, during which something happens."""

    def __init__(self, happen):
        self.happen = happen

    async def stop(self, *arguments):
        self.happen()
        return Success(Executed(clock_ms=1_000))


async def test_a_stop_that_an_ended_incarnation_has_answered_does_not_count():
    # The answer arrives after the owner has noticed the restart.
    for restarts in (False, True):
        owner, worker, task = make_running_owner(OwnerRowStore())
        attempt = task.attempt
        attempt.phase = AttemptPhase.IN_DOUBT
        owner.links.calls = StoppingCalls(
            lambda owner=owner, worker=worker, restarts=restarts: (
                restart_worker(owner, worker) if restarts else None
            )
        )
        await owner.links._stop(StopCommand(worker, task.name, attempt.number))
        assert (attempt.stop_answered_s is None) is restarts
        await owner.stop()
