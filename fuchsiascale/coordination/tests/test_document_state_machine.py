"""Random sequences of edits, races, outages and pulls on several replicas."""

import asyncio
import os

from hypothesis import given, settings
from hypothesis import strategies as st
from returns.result import Success

from fuchsiascale.coordination import EditConflict, EditRequest, EditUncertain
from fuchsiascale.coordination.tests.test_documents import (
    make_replica,
    set_max_failures,
    write_base,
)
from fuchsiascale.platform.tests.fakes import FakeTables
from fuchsiascale.testing import collect_functions

load_tests = collect_functions(__name__)

NAMES = ("one", "two", "three")
EXAMPLES = int(os.environ.get("FUCHSIASCALE_FUZZ_EXAMPLES", "150"))

replica_numbers = st.integers(0, len(NAMES) - 1)
steps = st.one_of(
    st.tuples(st.just("edit"), replica_numbers, st.integers(1, 100)),
    st.tuples(st.just("race"), replica_numbers, st.integers(1, 100)),
    st.tuples(st.just("poll"), replica_numbers, st.just(0)),
    st.tuples(st.just("pull"), replica_numbers, replica_numbers),
    st.tuples(st.just("down"), st.just(0), st.just(0)),
    st.tuples(st.just("up"), st.just(0), st.just(0)),
    st.tuples(st.just("lose"), st.just(0), st.just(0)),
    st.tuples(st.just("compact"), replica_numbers, st.just(0)),
)


class Run:
    """Replicas that share a table service, and their accepted edits."""

    def __init__(self):
        self.tables = FakeTables()
        self.replicas = []
        for name in NAMES:
            replica = make_replica(self.tables, name, self.replicas, history_limit=3)
            self.replicas.append(replica)
        self.accepted = {}
        self.last_revisions = [0] * len(NAMES)

    async def apply_step(self, step):
        """Execute one step and check that no replica returned to an older revision."""
        kind, number, value = step
        replica = self.replicas[number]
        if kind == "edit":
            self.record_result(value, await set_max_failures(replica, value))
        elif kind == "race":
            await self.race(number, value)
        elif kind == "poll":
            await replica.poll()
        elif kind == "pull":
            await replica.pull([NAMES[value]])
        elif kind == "compact":
            await replica.compact()
        elif kind == "lose":
            self.tables.lost_replies = 1
        else:
            self.tables.down = kind == "down"
        revisions = [each.revision() for each in self.replicas]
        assert all(
            after >= before
            for after, before in zip(revisions, self.last_revisions, strict=True)
        )
        self.last_revisions = revisions

    async def race(self, number, value):
        """Edit one section on all replicas at once; at most one edit is accepted."""
        text = f"[kind review]\nteam=hub\nmax_failures={value}"
        await self.replicas[number].poll()
        read = self.replicas[number].sections()
        edits = [
            replica.edit(
                EditRequest(text=f"{text}\nevictable={flag}", expected=read), "hub"
            )
            for replica, flag in zip(self.replicas, ("yes", "no", "yes"), strict=True)
        ]
        for result in await asyncio.gather(*edits):
            if isinstance(result, Success):
                self.accepted.setdefault(result.unwrap().revision, set()).add(value)

    def record_result(self, value, result):
        """Record the result of an edit."""
        if isinstance(result, Success):
            self.accepted.setdefault(result.unwrap().revision, set()).add(value)
            return
        error = result.failure()
        assert not isinstance(error, EditConflict) or error.conflicts
        assert not isinstance(error, EditUncertain) or error.revision > 0


async def run_steps(sequence):
    """Execute the steps, end all faults and compare the replicas."""
    run = Run()
    await write_base(run.replicas[0])
    for step in sequence:
        await run.apply_step(step)
    run.tables.down, run.tables.lost_replies = False, 0
    for replica in run.replicas:
        assert await replica.poll()
    texts = {replica.text() for replica in run.replicas}
    assert len(texts) == 1
    revisions = {replica.revision() for replica in run.replicas}
    assert len(revisions) == 1
    newest = revisions.pop()
    assert all(revision <= newest for revision in run.accepted)
    assert all(len(values) == 1 for values in run.accepted.values()), run.accepted
    value = run.replicas[0].fleet().kinds["review"].max_failures
    if newest in run.accepted:
        assert run.accepted[newest] == {value}


@settings(max_examples=EXAMPLES, deadline=None, derandomize=True, database=None)
@given(st.lists(steps, max_size=30))
def test_replicas_agree_after_any_sequence_of_steps(sequence):
    asyncio.run(run_steps(sequence))
