"""Starts that wait in a process while it is paused.

A worker that has restarted meanwhile has forgotten its fencing token, and carries out a
start whose task was started elsewhere since. So a start that isn't sent in time is not
sent at all, and its caller learns that.
"""

import asyncio

from returns.result import Failure, Success

from fuchsiascale.jobs import (
    Absent,
    Executed,
    LateCommands,
    NoAnswer,
    WorkerRelay,
    plan_round,
)
from fuchsiascale.jobs._worker_links import WorkerLinks
from fuchsiascale.jobs.tests.test_evacuations import make_zoned_shard
from fuchsiascale.jobs.tests.test_relayed_workers import (
    Pipe,
    make_start,
    make_worker,
    play,
)
from fuchsiascale.jobs.tests.test_rounds import make_step, submit_job
from fuchsiascale.testing import LoopClock, collect_functions

load_tests = collect_functions(__name__)

PAUSE_S = 3.0


def pause():
    """Stop the process for a while."""
    asyncio.get_running_loop().advance(PAUSE_S)


def pause_owner(peer):
    """Stop the process of the owner, but not that of a peer."""
    pause()
    peer.relay._ran_at_s = LoopClock().monotonic()


async def pause_at_first_step(coroutine, passes):
    """Run a coroutine, and pause after some passes of the event loop."""
    task = asyncio.create_task(coroutine)
    for _ in range(passes):
        await asyncio.sleep(0)
    pause()
    return await task


def test_a_start_that_waits_for_a_connection_to_a_peer_in_a_pause_is_not_sent():
    # After the pause the connection fails, and the start would be made directly.
    async def scenario(world):
        world.peer.is_down = True
        start = world.workers.start(make_worker(), make_start())
        reply = await pause_at_first_step(start, 1)
        assert reply == Failure(Absent())
        assert world.direct.calls == []
        assert world.peer.workers.calls == []

    play(scenario)


def test_a_start_in_an_outbox_in_a_pause_is_not_sent_but_a_stop_beside_it_is():
    async def scenario(world):
        await world.workers.stop(make_worker(), "first", 1, 1)
        start = asyncio.create_task(world.workers.start(make_worker(), make_start()))
        stop = asyncio.create_task(world.workers.stop(make_worker(), "t", 1, 1))
        asyncio.get_running_loop().call_soon(pause_owner, world.peer)
        assert await start == Failure(Absent())
        assert await stop == Success(Executed(7))
        assert world.peer.workers.calls == ["stop", "stop"]
        assert world.direct.calls == []

    play(scenario)


def test_a_start_whose_message_waits_for_its_turn_to_be_written_is_not_sent():
    # A connection writes a message some passes of the event loop after it is given one.
    async def scenario(world):
        await world.workers.stop(make_worker(), "first", 1, 1)
        end = world.peer.owner_ends[0]
        write = end.send
        messages = []
        end.send = messages.append
        start = asyncio.create_task(world.workers.start(make_worker(), make_start()))
        await asyncio.sleep(0.01)
        pause()
        (message,) = messages
        write(message)
        assert await start == Failure(Absent())
        assert world.peer.workers.calls == ["stop"]

    play(scenario)


def test_a_start_that_was_written_before_a_pause_counts_as_unanswered():
    async def scenario(world):
        await world.workers.stop(make_worker(), "first", 1, 1)
        world.peer.owner_ends[0].is_cut = True
        start = asyncio.create_task(world.workers.start(make_worker(), make_start()))
        await asyncio.sleep(0.1)
        pause()
        reply = await start
        assert isinstance(reply.failure(), NoAnswer)
        assert world.direct.calls == []

    play(scenario)


def test_a_peer_makes_no_start_that_arrived_before_a_pause():
    async def scenario(world):
        replies = []
        end = Pipe()
        end.other = end
        end.send = replies.append
        late_commands = LateCommands(LoopClock())
        relay = WorkerRelay(world.peer.workers, LoopClock(), late_commands)
        serving = asyncio.create_task(relay.serve(end, "10.0.0.1"))
        end.inbox.put_nowait(
            b'[[1,{"worker":"w0","address":"a:1"},{"type":"start","task":"a.0.0.0",'
            b'"attempt":1,"payload":"p","lease_until_ms":1,"token":1}],'
            b'[2,{"worker":"w0","address":"a:1"},{"type":"stop","task":"b.0.0.0",'
            b'"attempt":1,"token":1}]]'
        )
        await asyncio.sleep(0)
        (session,) = relay._sessions
        assert session._tasks
        pause()
        await asyncio.sleep(0.1)
        assert world.peer.workers.calls == ["stop"]
        content = b"".join(replies)
        assert b'[1,{"type":"absent"}]' in content
        assert b'[2,{"type":"executed","clock_ms":7}]' in content
        assert late_commands.counts == {("relayed", "dropped"): 1}
        serving.cancel()

    play(scenario)


def test_the_task_of_a_start_that_was_not_sent_starts_elsewhere_at_once():
    async def scenario(world):
        shard = make_zoned_shard("a", "b")
        shard.evacuations = None
        job = submit_job(shard, make_step())
        world.peer.is_down = True
        plan_round(shard, 0.0)
        (task,) = job.find_ready_steps()[0].tasks
        first = task.attempt.worker
        links = WorkerLinks(
            shard, None, world.workers, LoopClock(), lambda: True, None, lambda: None
        )
        links.send_commands()
        await asyncio.sleep(0)
        await asyncio.sleep(0)
        pause()
        await asyncio.sleep(0.01)
        assert world.direct.calls == []
        assert task.waiting
        now_s = LoopClock().monotonic()
        plan_round(shard, now_s)
        assert task.attempt is not None
        assert task.attempt.worker is not first

    play(scenario)
