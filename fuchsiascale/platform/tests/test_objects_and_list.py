"""Contract tests of the objects and instance list ports, with tables of faults."""

import aiohttp
from returns.result import Success

from fuchsiascale.ids import CheckpointKey, FailureDomainId, RegionId
from fuchsiascale.platform import (
    HttpInstanceList,
    HttpObjects,
    ListedInstance,
    ListedInstances,
    Unavailable,
)
from fuchsiascale.platform.tests._standins import TIMEOUT_S, set_faults
from fuchsiascale.states import InstanceRole, ListedState
from fuchsiascale.testing import collect_functions
from standins.processes import post_control

load_tests = collect_functions(__name__)

KEY = CheckpointKey("checkpoints/a b/1")

READ_FAULTS = (
    ("down", {"down": True}),
    ("responds with 503", {"unavailable": True}),
    ("slower than the timeout", {"slow_ms": 900}),
    ("response lost", {"cut": {"after_effect": 1}}),
    ("response later than the timeout", {"late_answer_ms": 900}),
)


def list_instance(name, state=ListedState.LIVE):
    return ListedInstance(
        instance_id=name,
        role=InstanceRole.WORKER,
        address="127.0.0.1:1",
        failure_domain=FailureDomainId("fd"),
        region=RegionId("region"),
        state=state,
    )


async def test_objects_under_faults(objects_standin):
    url = f"{objects_standin.base_url}/v1/objects/checkpoints/a%20b/1"
    async with aiohttp.ClientSession() as session:
        objects = HttpObjects(session, objects_standin.base_url, TIMEOUT_S)
        assert await objects.exists(KEY) == Success(False)
        async with session.put(url, data=b"state") as response:
            assert response.ok
        for name, faults in READ_FAULTS:
            await set_faults(objects_standin, **faults)
            failed = await objects.exists(KEY)
            await set_faults(objects_standin)
            assert isinstance(failed.failure(), Unavailable), name
            assert await objects.exists(KEY) == Success(True), name


async def test_the_list_under_faults(listing_standin):
    """Fetch a changed list under each fault, so that its body must be sent."""
    async with aiohttp.ClientSession() as session:
        listed = HttpInstanceList(session, listing_standin.base_url, TIMEOUT_S)
        rows = (*READ_FAULTS, ("truncated", {"truncated_answers": 1}))
        for number, (name, faults) in enumerate(rows):
            changed = ListedInstances(
                instances=(list_instance("w1"), list_instance(f"w{number + 2}"))
            )
            post_control(listing_standin.control, "/control/instances", changed)
            await set_faults(listing_standin, lag_ms=0, **faults)
            failed = await listed.fetch()
            await set_faults(listing_standin, lag_ms=0)
            assert isinstance(failed.failure(), Unavailable), name
            assert await listed.fetch() == Success(changed.instances), name


async def test_the_list_lags(listing_standin):
    first = ListedInstances(instances=(list_instance("w1"),))
    leaving = ListedInstances(instances=(list_instance("w1", ListedState.LEAVING),))
    async with aiohttp.ClientSession() as session:
        listed = HttpInstanceList(session, listing_standin.base_url, TIMEOUT_S)
        post_control(listing_standin.control, "/control/instances", first)
        await set_faults(listing_standin, lag_ms=60_000)
        post_control(listing_standin.control, "/control/instances", leaving)
        assert await listed.fetch() == Success(())
        await set_faults(listing_standin, lag_ms=0)
        assert await listed.fetch() == Success(leaving.instances)


async def test_an_unchanged_list_is_not_sent_again(listing_standin):
    first = ListedInstances(instances=(list_instance("w1"),))
    second = ListedInstances(instances=(list_instance("w1"), list_instance("w2")))
    received = []
    trace = aiohttp.TraceConfig()

    async def count(session, context, chunk):
        received.append(len(chunk.chunk))

    trace.on_response_chunk_received.append(count)
    async with aiohttp.ClientSession(trace_configs=[trace]) as session:
        listed = HttpInstanceList(session, listing_standin.base_url, TIMEOUT_S)
        await set_faults(listing_standin, lag_ms=0)
        post_control(listing_standin.control, "/control/instances", first)
        assert await listed.fetch() == Success(first.instances)
        sent_once = sum(received)
        assert await listed.fetch() == Success(first.instances)
        assert sum(received) == sent_once
        post_control(listing_standin.control, "/control/instances", second)
        assert await listed.fetch() == Success(second.instances)
