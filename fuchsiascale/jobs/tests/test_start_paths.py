"""Log lines that tell by which path a start went, and how late.

For a task that ran twice, no line told whether its starts were relayed, nor that a
command had waited in a process that was paused.
"""

import asyncio

import logbook
from returns.result import Failure, Success

from fuchsiascale.clock import ManualClock
from fuchsiascale.jobs import (
    Absent,
    Executed,
    LateCommands,
    NoAnswer,
    Refused,
    RefusedReason,
    plan_round,
)
from fuchsiascale.jobs._conclusions import mark_lost
from fuchsiascale.jobs._late_commands import LINES_PER_S, RELAYED_FOR
from fuchsiascale.jobs._worker_links import WorkerLinks
from fuchsiascale.jobs.tests.test_evacuations import make_zoned_shard
from fuchsiascale.jobs.tests.test_relayed_workers import (
    PEER,
    make_start,
    make_worker,
    play,
)
from fuchsiascale.jobs.tests.test_rounds import make_step, submit_job
from fuchsiascale.testing import LoopClock, collect_functions, run_in_virtual_time

load_tests = collect_functions(__name__)

SAME_CLOCK_MS = 1_000_000
"""Time on a worker's clock that no estimate exceeds."""


class AnsweringCalls:
    """Calls that return a reply after a delay, by a path."""

    def __init__(self, reply, delay_s, relayed_by):
        self.reply = reply
        self.delay_s = delay_s
        self.relayed_by = relayed_by

    async def send_start(self, worker, request):
        await asyncio.sleep(self.delay_s)
        return self.reply, self.relayed_by


def send_start(reply, delay_s=0.0, relayed_by=PEER):
    """Send one start; return the shard, the attempt and the fields of each line."""
    shard = make_zoned_shard("a")
    shard.evacuations = None
    submit_job(shard, make_step())
    plan_round(shard, 0.0)
    (attempt,) = shard.workers["w0"].attempts.values()

    async def run():
        calls = AnsweringCalls(reply, delay_s, relayed_by)
        links = WorkerLinks(
            shard, None, calls, LoopClock(), lambda: True, None, lambda: None
        )
        links.send_commands()
        await asyncio.sleep(delay_s + 0.001)

    with logbook.TestHandler() as handler, handler.applicationbound():
        run_in_virtual_time(run())
    return shard, attempt, {each.message: each.extra for each in handler.records}


def test_lines_about_a_start_name_its_path_and_age():
    cases = (
        ("start unanswered", Failure(NoAnswer())),
        ("start refused", Failure(Refused(RefusedReason.NO_ROOM, SAME_CLOCK_MS))),
        ("start refused", Failure(Absent())),
        ("start answered by a clock that is behind", Success(Executed(1))),
        ("start answered late", Success(Executed(SAME_CLOCK_MS))),
    )
    for message, reply in cases:
        for relayed_by in (PEER, None):
            _, attempt, lines = send_start(reply, 0.5, relayed_by)
            fields = {
                "task": attempt.task.name,
                "attempt": attempt.number,
                "worker": "w0",
                "relayed_by": relayed_by,
                "start_age_s": 0.5,
            }
            assert fields.items() <= lines[message].items(), (message, lines)


def test_a_start_that_is_answered_soon_has_no_line_of_its_own():
    # A line for each start would be thousands a second.
    _, _, lines = send_start(Success(Executed(SAME_CLOCK_MS)), 0.3)
    assert not [message for message in lines if message.startswith("start ")]


def test_a_lost_attempt_names_the_path_and_age_of_its_start():
    shard, attempt, _ = send_start(Success(Executed(SAME_CLOCK_MS)), 0.25)
    with logbook.TestHandler() as handler:
        mark_lost(shard, attempt, 9.0, "lease over")
    (line,) = [each for each in handler.records if each.message == "attempt lost"]
    assert line.extra["relayed_by"] == PEER
    assert line.extra["start_age_s"] == 0.25
    assert line.extra["task"] == attempt.task.name


def test_starts_are_counted_by_path():
    shard, _, _ = send_start(Success(Executed(SAME_CLOCK_MS)))
    assert shard.events["start sent: relayed"] == 1
    shard, _, _ = send_start(Failure(NoAnswer()), relayed_by=None)
    assert shard.events["start sent: direct"] == 1
    assert shard.events["start sent: relayed"] == 0


def test_the_path_of_a_start_is_the_one_that_it_took():
    async def scenario(world):
        _, relayed_by = await world.workers.send_start(make_worker(), make_start())
        assert relayed_by == PEER
        world.peer.relay.stop()
        await asyncio.sleep(0.1)
        _, relayed_by = await world.workers.send_start(make_worker(), make_start("b"))
        assert relayed_by is None
        assert world.direct.calls == ["b"]

    play(scenario)


def test_a_start_whose_peer_is_down_counts_as_direct():
    async def scenario(world):
        world.peer.is_down = True
        _, relayed_by = await world.workers.send_start(make_worker(), make_start())
        assert relayed_by is None

    play(scenario)


COMMAND = {"command": "start", "task": "a.0.0.0", "attempt": 1, "worker": "w0"}


def test_only_commands_that_waited_are_noted():
    late = LateCommands(ManualClock())
    with logbook.TestHandler() as handler:
        late.note(COMMAND, 0.1, is_sent=True)
        late.note(COMMAND, 0.9, is_sent=True)
    (line,) = handler.records
    assert line.message == "command sent late"
    assert COMMAND.items() <= line.extra.items()
    assert (line.extra["waited_s"], line.extra["relayed_for"]) == (0.9, None)
    assert late.counts == {("own", "sent"): 1}


def test_lines_about_late_commands_are_bounded_and_tell_how_many_are_missing():
    # After a pause a peer may send hundreds of commands late at once.
    clock = ManualClock()
    late = LateCommands(clock)
    with logbook.TestHandler() as handler:
        for _ in range(100):
            late.note(COMMAND, 0.9, is_sent=False)
        assert len(handler.records) == LINES_PER_S
        clock.advance(1.0)
        late.note(COMMAND, 0.9, is_sent=False)
    assert handler.records[-1].extra["left_out"] == 100 - LINES_PER_S
    assert late.counts == {("own", "dropped"): 101}


def test_a_peer_names_the_commands_that_it_drops_after_a_pause_and_their_owner():
    async def scenario(world):
        owner_end = await world.peer.connect(PEER)
        world.peer.served[-1].cancel()
        serving = world.peer.relay.serve(owner_end.other, "10.0.0.1")
        world.peer.served.append(asyncio.create_task(serving))
        await asyncio.sleep(0)
        owner_end.send(
            b'[[1,{"worker":"w0","address":"10.1.0.0:80"},{"type":"start",'
            b'"task":"a.0.0.0","attempt":3,"payload":"p","lease_until_ms":1,'
            b'"token":7}],[2,{"worker":"w0","address":"10.1.0.0:80"},'
            b'{"type":"exchange","token":7,"acknowledged":0,"lease_until_ms":null,'
            b'"wait_ms":0}]]'
        )
        asyncio.get_running_loop().advance(3.0)
        with logbook.TestHandler() as handler, handler.applicationbound():
            assert await owner_end.receive() is None
            await asyncio.sleep(0.01)
        lines = {each.message: each.extra for each in handler.records}
        dropped = lines["calls dropped after a pause of the process"]
        assert (dropped["owner"], dropped["calls"]) == ("10.0.0.1", 2)
        assert dropped["paused_s"] >= 3.0
        command = lines["command not sent"]
        assert command["relayed_for"] == "10.0.0.1"
        assert [command[name] for name in ("command", "task", "attempt", "token")] == [
            "start",
            "a.0.0.0",
            3,
            7,
        ]
        assert world.peer.relay.late_commands.counts == {("relayed", "dropped"): 1}

    play(scenario)


def test_calls_that_a_peer_makes_are_marked_with_their_owner():
    async def scenario(world):
        owners = []

        async def start(worker, request):
            owners.append(RELAYED_FOR.get())
            return Success(Executed(7))

        world.peer.workers.start = start
        await world.workers.start(make_worker(), make_start())
        assert owners == [""]
        assert RELAYED_FOR.get() is None

    play(scenario)
