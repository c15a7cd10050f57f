"""Property-based state machine over ownership, attempts and leases.

The rules deliver, lose, delay and duplicate messages, and cause kills, network cuts,
lease expiry and store outages in any order. The invariants are checked at the
workers. Four tests show that the machine finds a fault when a rule of the shard is
disabled.
"""

import os
import unittest
from unittest import mock

from hypothesis import HealthCheck, Phase, seed, settings
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    initialize,
    precondition,
    rule,
    run_state_machine_as_test,
)

from fuchsiascale.coordination import (
    _chunk_rows,
    _exchanges,
    _starts,
    _takeover,
)
from fuchsiascale.coordination.tests.shard_world import InvariantViolation, ShardWorld
from fuchsiascale.testing import collect_functions

load_tests = collect_functions(__name__)

EXAMPLES = int(os.environ.get("FUCHSIASCALE_FUZZ_EXAMPLES", "150"))
STEPS = 60
MUTANT_EXAMPLES = 3_000

NUMBERS = st.integers(min_value=0, max_value=11)


class ShardMachine(RuleBasedStateMachine):
    """Interleaves actions of owners, workers, the network and operators."""

    fences = True

    @initialize(owners=st.integers(2, 3), workers=st.integers(2, 3))
    def begin(self, owners, workers):
        """Create a world with two chunks."""
        self.world = ShardWorld(owners=owners, workers=workers)
        for worker in self.world.workers.values():
            worker.fences = self.fences
        self.world.submit(tasks=3, run_ms=2_000)
        self.world.submit(tasks=1, run_ms=40_000)
        self.world.deliver_all(self.world.owners[0])

    def _owner(self, number):
        return self.world.owners[number % len(self.world.owners)]

    @rule(number=NUMBERS)
    def pass_all(self, number):
        """Deliver all messages of an owner."""
        self.world.deliver_all(self._owner(number))

    @rule(number=NUMBERS)
    def poll(self, number):
        """Let an owner send its due commands."""
        self._owner(number).poll()

    @precondition(lambda self: self.world.sent)
    @rule(number=NUMBERS)
    def deliver(self, number):
        """Let one command take effect."""
        waiting = [e for e in self.world.sent if not e.delivered]
        if waiting:
            self.world.deliver(waiting[number % len(waiting)])

    @precondition(lambda self: self.world.sent)
    @rule(number=NUMBERS)
    def answer(self, number):
        """Deliver one reply."""
        waiting = [e for e in self.world.sent if e.delivered]
        if waiting:
            self.world.answer(waiting[number % len(waiting)])

    @precondition(lambda self: self.world.sent)
    @rule(number=NUMBERS)
    def lose(self, number):
        """Lose a request or its reply."""
        self.world.lose(self.world.sent[number % len(self.world.sent)])

    @precondition(lambda self: self.world.late)
    @rule(number=NUMBERS)
    def deliver_late(self, number):
        """Deliver a request whose sender no longer waits for it."""
        late = self.world.late
        self.world.deliver_late(late.pop(number % len(late)))

    @precondition(lambda self: self.world.sent)
    @rule(number=NUMBERS)
    def duplicate(self, number):
        """Duplicate a request, to be delivered later."""
        envelope = self.world.sent[number % len(self.world.sent)]
        copy = type(envelope)(envelope.owner, envelope.shard, envelope.command)
        copy.original = envelope
        self.world.late.append(copy)

    @rule(seconds=st.sampled_from([0.3, 1.1, 1.1, 2.2, 5.0, 9.0, 16.5, 31.0]))
    def advance(self, seconds):
        """Advance the clock."""
        self.world.clock.advance(seconds)
        self.world.check()

    @rule(number=NUMBERS)
    def kill_owner(self, number):
        """Restart an owner without state."""
        self._owner(number).restart()

    @rule(number=NUMBERS, owns=st.booleans())
    def change_view(self, number, owns):
        """Change whether an owner sees itself as the owner of the shard."""
        self._owner(number).owns = owns

    @rule(number=NUMBERS, worker=NUMBERS)
    def cut(self, number, worker):
        """Cut an owner off from a worker."""
        self._owner(number).cut.add(f"w{worker % 3}")

    @rule(number=NUMBERS)
    def join(self, number):
        """Reconnect an owner to every worker."""
        self._owner(number).cut.clear()

    @rule(down=st.booleans())
    def change_store(self, down):
        """Take the store down or bring it up."""
        self.world.tables.down = down

    @rule(number=NUMBERS)
    def list_workers(self, number):
        """Give an owner the current list of workers."""
        self._owner(number).listed = set(self.world.workers)

    @precondition(lambda self: len(self.world.workers) > 1)
    @rule(worker=NUMBERS)
    def kill_worker(self, worker):
        """Remove a worker permanently; the owners' lists show it later."""
        names = sorted(self.world.workers)
        self.world.kill_worker(names[worker % len(names)])

    @rule(number=NUMBERS)
    def evict(self, number):
        """Checkpoint an attempt."""
        self.world.evict(number)

    @rule(number=NUMBERS)
    def fail_attempt(self, number):
        """Let an attempt fail."""
        self.world.fail_attempt(number)

    @rule(number=NUMBERS)
    def cancel(self, number):
        """Cancel a chunk."""
        chunks = self.world.list_chunks()
        if not self.world.tables.down and number < len(chunks):
            self.world.cancel(chunks[number].chunk)

    @precondition(lambda self: self.world.count < 12)
    @rule(run_ms=st.sampled_from([500, 3_000, 30_000]))
    def submit(self, run_ms):
        """Submit a chunk."""
        self.world.submit(tasks=2, run_ms=run_ms)

    def teardown(self):
        """Check that all chunks finish once all faults are repaired."""
        if not hasattr(self, "world") or self.world.broken:
            return
        unfinished = self.world.repair_faults()
        if unfinished:
            raise InvariantViolation(
                f"unfinished after all faults were repaired: {unfinished}"
            )


class UnfencedMachine(ShardMachine):
    """Workers that accept commands under any token."""

    fences = False


def run_machine(machine, examples, phases=tuple(Phase)):
    run_state_machine_as_test(
        seed(20_261)(machine),
        settings=settings(
            max_examples=examples,
            stateful_step_count=STEPS,
            deadline=None,
            database=None,
            phases=phases,
            print_blob=False,
            suppress_health_check=list(HealthCheck),
        ),
    )


def find_fault(machine):
    """Run without shrinking and return the fault; fail if none is found."""
    case = unittest.TestCase()
    with case.assertRaises(InvariantViolation) as caught:
        run_machine(machine, MUTANT_EXAMPLES, phases=(Phase.generate,))
    return str(caught.exception)


def acknowledge_all(state, link):
    return tuple(report.key for report in link.list_reports() if report.state.ended)


def test_invariants_hold_in_every_interleaving():
    run_machine(ShardMachine, EXAMPLES)


def test_the_machine_finds_workers_without_fencing():
    assert find_fault(UnfencedMachine)


def test_the_machine_finds_starts_before_all_claims():
    with mock.patch.object(
        _takeover, "has_claimed_all", lambda state: bool(state.record)
    ):
        assert find_fault(ShardMachine)


def test_the_machine_finds_rows_read_before_the_claims():
    with (
        mock.patch.object(_chunk_rows, "can_read_rows", lambda state: True),
        mock.patch.object(_starts, "is_read_after_claims", lambda state, live: True),
        mock.patch.object(_takeover, "require_fresh_rows", lambda state: None),
    ):
        assert find_fault(ShardMachine)


def test_the_machine_finds_acknowledgements_before_the_record():
    with mock.patch.object(_exchanges, "list_acknowledged", acknowledge_all):
        assert find_fault(ShardMachine)
