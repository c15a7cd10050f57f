"""Requests to explain where a job would start, and their faults."""

import asyncio
from types import SimpleNamespace

import aiohttp
import msgspec
from aiohttp import web
from aiohttp.test_utils import TestClient, TestServer

from fuchsiascale.clock import ManualClock
from fuchsiascale.jobs import (
    Configuration,
    JobExplanation,
    JobRecord,
    LoadEstimates,
    PlacementQuery,
    PlacementReply,
    Queue,
    QueueEstimate,
    QueuePolicy,
    StoreSilence,
    explain_placement,
)
from fuchsiascale.jobs.tests.test_data_locality import make_shard
from fuchsiascale.node._explain_http import EXPLAIN_PATH, PlacementExplainer
from fuchsiascale.node._peer_http import PeerClient, make_peer_application
from fuchsiascale.node.tests._deployment import (
    POLICY,
    Deployment,
    make_spec,
    wait_until,
)
from fuchsiascale.testing import collect_functions

load_tests = collect_functions(__name__)

JOB = {"steps": [{"count": 3, "cpu": 500, "estimate_ms": 900}]}


class Served:
    """A `PlacementExplainer` behind a test server, and the jobs that it asked about."""

    def __init__(self, has_owner=True, is_away=False, is_configured=True):
        self.asked = []
        self.loads = LoadEstimates(ManualClock())
        self.has_owner = has_owner
        self.answering = asyncio.Event()
        self.answering.set()
        self.was_asked = asyncio.Event()
        policy = QueuePolicy(queue="scan", service="pool")
        queue = Queue(host="a.example", prefix="/x/", policy=policy)
        configuration = Configuration(version=7, queues=(queue,))
        explainer = PlacementExplainer(
            SimpleNamespace(ask_placement=self.ask_placement, loads=self.loads),
            SimpleNamespace(
                is_unavailable=lambda: is_away, silence=StoreSilence(ManualClock())
            ),
            SimpleNamespace(configuration=configuration if is_configured else None),
            lambda: 0.25,
            ManualClock(),
        )
        self.application = web.Application()
        self.application.router.add_post(EXPLAIN_PATH, explainer.handle)

    async def ask_placement(self, record):
        self.asked.append(record)
        self.was_asked.set()
        await self.answering.wait()
        shard = make_shard()
        return explain_placement(shard, record, 1.0, 0) if self.has_owner else None

    async def __aenter__(self):
        self.client = TestClient(TestServer(self.application))
        await self.client.start_server()
        return self

    async def __aexit__(self, *exc_info):
        await self.client.close()

    async def send(self, queue="scan", job=None, body=None):
        content = body or msgspec.json.encode({"queue": queue, "job": job or JOB})
        response = await self.client.post(EXPLAIN_PATH, data=content)
        return response.status, await response.read()


async def test_a_job_is_explained_by_the_owner_of_its_queue():
    async with Served() as served:
        status, body = await served.send()
        assert status == 200
        found = msgspec.json.decode(body, type=JobExplanation)
        assert (found.service, found.host, found.prefix) == ("pool", "a.example", "/x/")
        assert (found.configuration_version, found.configuration_age_s) == (7, 0.25)
        assert found.admission.admitted
        assert found.placement.steps[0].start == 3
        (record,) = served.asked
        assert record.spec.steps[0].need.cpu_millis == 500


async def test_an_instance_without_the_store_says_that_it_would_refuse():
    async with Served(is_away=True, has_owner=False) as served:
        found = msgspec.json.decode((await served.send())[1], type=JobExplanation)
        assert not found.admission.admitted
        assert found.admission.retry_after_s > 0
        assert found.placement is None


async def test_a_job_that_would_end_too_late_is_said_to_be_refused():
    """Admission and its explanation must not tell callers different things."""
    async with Served() as served:
        served.loads.note("pool", 1, {"scan": QueueEstimate(60.0, 1.0, 1.0)}, 0.0)
        found = msgspec.json.decode((await served.send())[1], type=JobExplanation)
        assert not found.admission.admitted
        assert found.admission.why == "no capacity in time"
        assert found.admission.retry_after_s > 0


async def test_faulty_requests_reach_no_owner():
    async with Served() as served:
        for fields, status in (
            ({"queue": "other"}, 404),
            ({"job": {"steps": []}}, 400),
            ({"job": {"steps": [{"count": 10**9}]}}, 400),
            ({"job": {"steps": [{"count": 1, "after": [3]}]}}, 400),
            ({"body": b"[" * 50_000}, 400),
            ({"body": b'{"queue": "scan"}'}, 400),
            ({"body": b" " * 300_000}, 413),
        ):
            assert (await served.send(**fields))[0] == status, fields
        assert served.asked == []

        async def send_pieces():
            for _ in range(30):
                yield b" " * 10_000

        response = await served.client.post(EXPLAIN_PATH, data=send_pieces())
        assert response.status == 413
    async with Served(is_configured=False) as served:
        assert (await served.send())[0] == 503


async def test_one_job_is_explained_at_a_time():
    """Many requests at once would take the owner's time from its rounds."""
    async with Served() as served:
        served.answering.clear()
        first = asyncio.create_task(served.send())
        await served.was_asked.wait()
        assert (await served.send())[0] == 429
        served.answering.set()
        assert (await first)[0] == 200
        assert (await served.send())[0] == 200
        assert len(served.asked) == 2


def make_record():
    return JobRecord(job="0" * 16, spec=make_spec(), policy=POLICY, accepted_ms=0)


async def test_any_instance_asks_the_owner_and_starts_nothing():
    async with Deployment() as deployment:
        await wait_until(deployment.find_owner, "an owner")
        entry = deployment.others(deployment.find_owner())[0]
        shard = deployment.find_owner().owner.shard
        await wait_until(
            lambda: (
                all(each.in_leased_workers for each in shard.workers.values())
                and len(shard.workers) == len(deployment.workers)
            ),
            "workers",
        )
        found = await entry.ownership.ask_placement(make_record())
        assert found.token == shard.token
        assert found.steps[0].workers == len(deployment.workers)
        assert not shard.jobs
        assert deployment.running() == []


async def test_an_explanation_travels_between_instances():
    """Query and reply are messages of their own, which peers must decode."""
    found = explain_placement(make_shard(), make_record(), 1.0, 0)
    asked = []

    async def answer(message):
        asked.append(message)
        return PlacementReply(found)

    server = TestServer(make_peer_application(answer))
    await server.start_server()
    async with aiohttp.ClientSession() as session:
        query = PlacementQuery(make_record())
        address = f"{server.host}:{server.port}"
        reply = await PeerClient(session).ask(address, query, 2.0)
    await server.close()
    assert reply.explanation == found
    assert asked == [query]
