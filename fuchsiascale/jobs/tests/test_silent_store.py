"""Submissions of a burst while the store is silent, slow, or loses answers.

The failures that it guards against: callers are held until their deadline and told an
unknown outcome, though nothing of their submission was sent; or they are told that it
was not run, though a write of it is applied later.
"""

import asyncio

from returns.result import Failure

from fuchsiascale.jobs import (
    JobRequestHandler,
    JobSpec,
    JobState,
    NoAnswer,
    Outcome,
    QueuePolicy,
    RelayedStore,
    Resources,
    SilenceWatch,
    StepSpec,
    StoreSilence,
)
from fuchsiascale.jobs.tests.test_refusals import OWNER, FakeOwnership, FaultyRows
from fuchsiascale.testing import LoopClock, collect_functions, run_in_virtual_time

load_tests = collect_functions(__name__)

POLICY = QueuePolicy(queue="q", service="pool")
SPEC = JobSpec(payload="", steps=(StepSpec(count=1, need=Resources(cpu_millis=100)),))
INSTANCES = 6
SILENT_FROM_S, SILENT_UNTIL_S = 18.0, 22.2
BURST_FROM_S, BURST_UNTIL_S = 17.0, 23.0
SUBMISSIONS_PER_S = 24.0
CALLER_TIMEOUT_S = 3.0
LATE_S = 3.5
"""Time after which a write that arrives at a silent store is applied all the same."""


class Store(FaultyRows):
    """Rows of a store that is silent for a time, and applies late what it was sent."""

    def __init__(self, answer_s=0.004, silent=(SILENT_FROM_S, SILENT_UNTIL_S)):
        super().__init__([])
        self.response_s = answer_s
        self.silent = silent
        self.received = set()
        self.lost_commits = 0

    def is_silent(self):
        return self.silent[0] <= LoopClock().monotonic() < self.silent[1]

    async def answer(self, action, is_commit=False):
        """Return the result of an action after the response time, or never."""
        loop = asyncio.get_running_loop()
        if self.is_silent():
            if is_commit:
                loop.call_later(LATE_S, action)
            await asyncio.Event().wait()
        await asyncio.sleep(self.response_s)
        return action()


class Client:
    """The store as called by one instance; timeouts as of the HTTP client."""

    def __init__(self, store, silence):
        self.store = store
        self.silence = silence

    async def commit(self, expected, changes):
        store = self.store
        store.received |= {change.place.key for change in changes}
        reply = await self._call(
            store.answer(lambda: store.transact(expected, changes), True), 2.5, False
        )
        if store.lost_commits:
            store.lost_commits -= 1
            await asyncio.Event().wait()
        return reply

    async def read(self, table, partition, first="", last=""):
        async def read():
            return await FaultyRows.read(self.store, table, partition, first, last)

        reply = await self._call(self.store.answer(read), 0.7)
        return reply if isinstance(reply, Failure) else await reply

    async def _call(self, answer, timeout_s, is_judged=True):
        call = self.silence.note_call(is_judged=is_judged)
        try:
            async with asyncio.timeout(timeout_s):
                reply = await answer
            self.silence.note_answer(call)
            return reply
        except TimeoutError:
            return Failure(NoAnswer("timeout"))
        finally:
            self.silence.note_end(call)


class SilentPeers:
    """Peers that don't reach the store either."""

    async def ask(self, address, message, timeout_s):
        await asyncio.sleep(timeout_s)


class Ownership(FakeOwnership):
    """Ownership whose owner knows some jobs, and commits nothing for others."""

    def __init__(self, store, known):
        super().__init__(store)
        self.known = known

    async def ask_state(self, service, job):
        return self.known.get(job)

    async def write_through_owner(self, write):
        return None


class World:
    """Instances with their request handlers, which ping the first of them."""

    def __init__(self, store):
        self.store = store
        self.known = {}
        self.tasks = []
        self.silences = []
        self.handlers = []
        for _ in range(INSTANCES):
            silence = StoreSilence(LoopClock())
            client = Client(store, silence)
            relayed = RelayedStore(
                client, SilentPeers(), lambda: ["b", "c"], LoopClock(), silence
            )
            handler = JobRequestHandler(
                relayed, Ownership(store, self.known), LoopClock(), silence=silence
            )
            watch = SilenceWatch(relayed, silence, "op", handler.refuse_queued)
            self.silences.append(silence)
            self.handlers.append(handler)
            for coroutine in (watch.run(), relayed.run_checks("op")):
                self.tasks.append(asyncio.create_task(coroutine))
        self.tasks.append(asyncio.create_task(self._ping()))

    async def _ping(self):
        owner, *others = self.silences
        while True:
            await asyncio.sleep(0.3)
            now_s = LoopClock().monotonic()
            for number, silence in enumerate(others):
                owner.note_report(f"i{number}", silence.make_report(), now_s)
                silence.note_report("owner", owner.make_report(), now_s)

    async def submit(self, number, at_s, handler=None):
        """Submit a job at a time; return the outcome and when it was answered."""
        await asyncio.sleep(at_s - LoopClock().monotonic())
        chosen = self.handlers[number % INSTANCES if handler is None else handler]
        reply = await chosen.submit(POLICY, name_job(number), SPEC)
        return reply.outcome, LoopClock().monotonic()

    def close(self):
        for task in self.tasks:
            task.cancel()

    def is_stored(self, number):
        rows = self.store.rows.values()
        job = name_job(number)
        return any(row.place.key == job and b"record" in row.value for row in rows)


def name_job(number):
    return f"{number:016x}"


def run_burst(store):
    """Submit a burst; return the world, and each submission's time and answer."""

    async def scenario():
        world = World(store)
        count = int((BURST_UNTIL_S - BURST_FROM_S) * SUBMISSIONS_PER_S)
        times = [BURST_FROM_S + each / SUBMISSIONS_PER_S for each in range(count)]
        answers = await asyncio.gather(
            *(world.submit(number, at_s) for number, at_s in enumerate(times))
        )
        await asyncio.sleep(2 * LATE_S)
        world.close()
        return world, list(zip(times, answers, strict=True))

    return run_in_virtual_time(scenario())


def test_a_burst_is_refused_at_once_while_the_store_is_silent():
    _, answers = run_burst(Store())
    concluded_s = SILENT_FROM_S + 1.4
    in_silence = [
        (at_s, outcome, answered_s)
        for at_s, (outcome, answered_s) in answers
        if concluded_s <= at_s < SILENT_UNTIL_S
    ]
    assert len(in_silence) > 60
    for at_s, outcome, answered_s in in_silence:
        assert outcome is Outcome.NOT_RUN
        assert answered_s - at_s <= 0.05


def test_few_outcomes_are_unknown_and_only_of_writes_that_were_sent():
    world, answers = run_burst(Store())
    unknown = [
        number
        for number, (_, (outcome, _)) in enumerate(answers)
        if outcome is Outcome.UNKNOWN
    ]
    # Each instance may have one group of submissions in flight as the silence begins.
    assert len(unknown) <= 2 * INSTANCES
    assert {name_job(number) for number in unknown} <= world.store.received


def test_no_answer_comes_later_than_callers_wait():
    _, answers = run_burst(Store())
    assert all(
        answered_s - at_s < CALLER_TIMEOUT_S for at_s, (_, answered_s) in answers
    )


def test_what_is_refused_never_runs_though_writes_are_applied_late():
    world, answers = run_burst(Store())
    outcomes = [outcome for _, (outcome, _) in answers]
    assert outcomes.count(Outcome.DONE) >= 30
    for number, outcome in enumerate(outcomes):
        if outcome is not Outcome.UNKNOWN:
            assert world.is_stored(number) == (outcome is Outcome.DONE), number


def test_submissions_are_accepted_again_at_the_first_answer():
    _, answers = run_burst(Store())
    after = [outcome for at_s, (outcome, _) in answers if at_s > SILENT_UNTIL_S + 0.4]
    assert len(after) >= 8
    assert set(after) == {Outcome.DONE}


def test_nothing_is_refused_in_a_slow_store():
    _, answers = run_burst(Store(answer_s=0.35, silent=(0.0, 0.0)))
    outcomes = [outcome for _, (outcome, _) in answers]
    assert set(outcomes) == {Outcome.DONE}
    assert max(done_s - at_s for at_s, (_, done_s) in answers) < 1.6


def play(store, act):
    """Run a scenario with a world of instances."""

    async def scenario():
        world = World(store)
        try:
            return await act(world)
        finally:
            world.close()

    return run_in_virtual_time(scenario())


def test_a_sent_write_is_settled_by_the_first_answer_within_the_callers_time():
    async def act(world):
        outcome, answered_s = await world.submit(1, 18.05)
        await asyncio.sleep(2 * LATE_S)
        return outcome, answered_s, world.is_stored(1)

    store = Store(silent=(SILENT_FROM_S, 20.2))
    outcome, answered_s, is_stored = play(store, act)
    assert outcome in (Outcome.DONE, Outcome.NOT_RUN)
    assert is_stored == (outcome is Outcome.DONE)
    assert 20.2 <= answered_s <= 20.8


def test_a_write_that_was_applied_without_an_answer_is_found_stored():
    async def act(world):
        world.store.lost_commits = 1
        return await world.submit(1, 18.05), world.is_stored(1)

    (outcome, answered_s), is_stored = play(Store(silent=(0.0, 0.0)), act)
    assert (outcome, is_stored) == (Outcome.DONE, True)
    assert answered_s <= 18.05 + 1.6


def test_the_owner_settles_a_write_while_the_store_is_silent_here():
    async def act(world):
        submission = asyncio.create_task(world.submit(1, 17.999))
        await asyncio.sleep(19.5)
        world.known[name_job(1)] = JobState.RUNNING
        return await submission

    outcome, answered_s = play(Store(answer_s=0.01), act)
    assert outcome is Outcome.DONE
    assert answered_s <= 19.8


def test_a_repeat_of_a_stored_job_is_accepted_while_the_store_is_silent():
    async def act(world):
        world.known[name_job(1)] = JobState.QUEUED
        return await world.submit(1, 20.0)

    outcome, answered_s = play(Store(), act)
    assert (outcome, answered_s) == (Outcome.DONE, 20.0)


def test_a_repeat_after_an_unknown_outcome_is_not_answered_as_not_run():
    async def act(world):
        first, answered_s = await world.submit(1, 18.05, handler=1)
        repeated, _ = await world.submit(1, answered_s + 0.1, handler=1)
        return first, repeated, dict(world.handlers[1].refusals)

    first, repeated, refusals = play(Store(silent=(SILENT_FROM_S, 30.0)), act)
    assert (first, repeated) == (Outcome.UNKNOWN, Outcome.UNKNOWN)
    assert refusals == {"unknown": 2}


def test_a_peers_submission_is_refused_before_the_peer_gives_up():
    async def act(world):
        from fuchsiascale.jobs import Change, Expect, RelayWrite, RowKey

        await asyncio.sleep(18.01)
        handler, began_s = world.handlers[0], LoopClock().monotonic()
        first = asyncio.create_task(world.submit(1, began_s, handler=0))
        await asyncio.sleep(0.01)
        row_key = RowKey("jobs", "pool", name_job(2))
        message = RelayWrite(
            "pool", OWNER, 1, (Expect(row_key, 0),), Change(row_key, b"x")
        )
        reply = await handler.commit_for_peer(message)
        waited_s = LoopClock().monotonic() - began_s
        first.cancel()
        return reply.status, waited_s

    status, waited_s = play(Store(), act)
    assert status == "busy"
    assert waited_s < 1.3


def test_a_request_that_was_given_up_is_not_sent_later():
    async def act(world):
        await asyncio.sleep(18.01)
        first = asyncio.create_task(world.submit(1, 18.02, handler=1))
        await asyncio.sleep(0.02)
        second = asyncio.create_task(world.submit(2, 18.04, handler=1))
        await asyncio.sleep(0.2)
        second.cancel()
        await asyncio.gather(first, second, return_exceptions=True)
        await asyncio.sleep(10.0)
        return world.store.received

    assert name_job(2) not in play(Store(silent=(SILENT_FROM_S, 19.0)), act)
