"""Jobs of a queue that a configuration sends to another service.

Jobs were looked up in the service that the queue has at present, so that an accepted
job was denied after the change, and accepted once more by the new service.
"""

import itertools

from fuchsiascale.clock import ManualClock
from fuchsiascale.jobs import JobRequestHandler, JobState, Outcome, RelayedStore
from fuchsiascale.jobs._records import cancel_row_key
from fuchsiascale.jobs.tests.test_refusals import (
    JOB,
    MOVED_POLICY,
    NEW_SERVICE,
    POLICY,
    SERVICE,
    SPEC,
    FakeOwnership,
    Fate,
    FaultyRows,
    Peers,
)
from fuchsiascale.testing import collect_functions, run_in_virtual_time

load_tests = collect_functions(__name__)

SERVICES = (SERVICE, NEW_SERVICE)


class StaleInstance:
    """A request handler, and the policy that its instance has for the queue."""

    def __init__(self, rows, joins_partitions=True):
        store = RelayedStore(rows, Peers(rows), list, ManualClock())
        store.is_unavailable = lambda: False
        self.ownership = FakeOwnership(rows, SERVICES)
        self.policy = POLICY
        self.handler = JobRequestHandler(
            store, self.ownership, ManualClock(), joins_partitions
        )

    async def submit(self):
        """Submit the job; return the outcome."""
        return (await self.handler.submit(self.policy, JOB, SPEC)).outcome


async def submit_while_the_queue_moves(fates, order, late_after):
    """Submit a job to an instance that has the change, and to one that hasn't.

    ``order`` tells which of the two each submission reaches, 0 for the one without the
    change. Returns the outcomes and
    the services that hold the job in the end.
    """
    rows = FaultyRows(fates)
    instances = [StaleInstance(rows), StaleInstance(rows)]
    instances[1].policy = MOVED_POLICY
    outcomes = []
    for number, which in enumerate(order):
        outcomes.append(await instances[which].submit())
        if number == late_after:
            rows.apply_late()
    rows.apply_late()
    return outcomes, [service for service in SERVICES if rows.stored(service)]


def test_one_service_holds_a_job_whose_queue_moves_between_its_submissions():
    orders = list(itertools.product((0, 1), repeat=3))
    for fates in itertools.product(Fate, repeat=3):
        for order, late_after in itertools.product(orders, (0, 1)):
            outcomes, holders = run_in_virtual_time(
                submit_while_the_queue_moves(fates, order, late_after)
            )
            case = (fates, order, late_after, outcomes, holders)
            assert len(holders) <= 1, case
            assert holders or Outcome.DONE not in outcomes, case
            refused = all(outcome is Outcome.NOT_RUN for outcome in outcomes)
            assert not (refused and holders), case


async def test_a_job_of_a_moved_queue_is_found_where_it_was_accepted():
    rows = FaultyRows([])
    before, after = StaleInstance(rows), StaleInstance(rows)
    assert await before.submit() is Outcome.DONE
    reply = await after.handler.state(NEW_SERVICE, JOB)
    assert (reply.outcome, reply.state) == (Outcome.DONE, JobState.QUEUED)
    absent = await after.handler.state(NEW_SERVICE, "2" * 16)
    assert absent.outcome is Outcome.ABSENT


async def test_a_cancel_after_the_move_reaches_the_service_that_runs_the_job():
    rows = FaultyRows([])
    before, after = StaleInstance(rows), StaleInstance(rows)
    await before.submit()
    reply = await after.handler.cancel(NEW_SERVICE, JOB)
    assert reply.outcome is Outcome.DONE
    assert cancel_row_key(SERVICE, JOB) in rows.rows
    assert after.ownership.cancelled == [(SERVICE, JOB)]


async def test_a_repeated_submission_after_the_move_adds_no_second_job():
    for joins_partitions in (True, False):
        rows = FaultyRows([])
        before = StaleInstance(rows, joins_partitions)
        after = StaleInstance(rows, joins_partitions)
        after.policy = MOVED_POLICY
        assert await before.submit() is Outcome.DONE
        assert await after.submit() is Outcome.DONE
        assert rows.stored(SERVICE)
        assert not rows.stored(NEW_SERVICE)


async def test_waiting_jobs_of_a_moved_queue_are_counted_in_both_services():
    instance = StaleInstance(FaultyRows([]))
    instance.ownership.waiting = {SERVICE: {"q": 3, "other": 1}, NEW_SERVICE: {"q": 2}}
    reply = await instance.handler.waiting(MOVED_POLICY)
    assert (reply.outcome, reply.count) == (Outcome.DONE, 5)
    del instance.ownership.waiting[SERVICE]
    reply = await instance.handler.waiting(MOVED_POLICY)
    assert reply.outcome is Outcome.NOT_RUN
