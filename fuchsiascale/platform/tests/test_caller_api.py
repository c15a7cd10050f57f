"""Tests of the callers' HTTP API, with tables of requests and responses."""

import random

import msgspec
from aiohttp.test_utils import TestClient, TestServer

from fuchsiascale.jobs import (
    Configuration,
    ConfigurationWatch,
    JobState,
    Outcome,
    Queue,
    QueuePolicy,
    Reply,
    ReturnWindow,
    RowKey,
    StoredRow,
)
from fuchsiascale.platform.user_platform import CallerApi
from fuchsiascale.testing import collect_functions

load_tests = collect_functions(__name__)

JOB = "5c0e7a21d94b36f8"
PATH = f"/lohu930/{JOB}"
HOST = {"Host": "nony24.example"}
STEP = {"count": 4, "cpu": 500, "mem_mb": 256, "estimate_ms": 900}


class FakeEntry:
    """Returns a given reply and records submitted jobs."""

    def __init__(self, reply=None):
        self.reply = reply or Reply(Outcome.DONE, JobState.RUNNING, 12)
        self.submitted = []

    async def submit(self, policy, job, spec):
        self.submitted.append((policy.queue, job, spec))
        return self.reply

    async def state(self, service, job):
        return self.reply

    async def cancel(self, service, job):
        return self.reply

    async def waiting(self, policy):
        return self.reply


class ServedApi:
    """A `CallerApi` behind a test server, with a client of it."""

    def __init__(self, reply=None, configured=True, **limits):
        self.entry = FakeEntry(reply)
        self.limits = limits
        watch = ConfigurationWatch("config", lambda value: self.configuration())
        if configured:
            row_key = RowKey("op", "", "config")
            watch.apply_rows({"config": StoredRow(row_key, b"", 1)})
        api = CallerApi(self.entry, watch, lambda: False, random.Random(3))
        self.client = TestClient(TestServer(api.make_application()))

    def configuration(self):
        policy = QueuePolicy(queue="q", service="pool")
        queue = Queue(host="nony24.example", prefix="/lohu930/", policy=policy)
        return Configuration(version=1, queues=(queue,), **self.limits)

    async def __aenter__(self):
        await self.client.start_server()
        return self

    async def __aexit__(self, *exc_info):
        await self.client.close()

    async def send(self, method, path=PATH, body=None, headers=None):
        data = body if isinstance(body, bytes | None) else msgspec.json.encode(body)
        response = await self.client.request(
            method, path, data=data, headers=headers or HOST
        )
        return response, await response.read()


# name, reply of the entry, method, status
OUTCOMES = (
    ("accepted", Reply(Outcome.DONE), "POST", 200),
    ("not accepted", Reply(Outcome.NOT_RUN), "POST", 503),
    ("outcome unknown", Reply(Outcome.UNKNOWN), "POST", 504),
    ("state", Reply(Outcome.DONE, JobState.COMPLETED), "GET", 200),
    ("no such job", Reply(Outcome.ABSENT), "GET", 410),
    ("cancelled", Reply(Outcome.DONE), "DELETE", 200),
    ("nothing to cancel", Reply(Outcome.ABSENT), "DELETE", 410),
)

# name, body, text that the response must contain
BAD_BODIES = (
    ("no JSON", b"{", "body"),
    ("a deep nesting", b'{"x":' + b"[" * 100_000 + b"]" * 100_000 + b"}", "nested"),
    ("no steps", {"spec": "p"}, "steps"),
    ("an empty graph", {"spec": "p", "steps": []}, "steps"),
    ("no tasks", {"steps": [{**STEP, "count": 0}]}, "steps[0].count"),
    ("a negative size", {"steps": [{**STEP, "cpu": -1}]}, "steps[0]"),
    ("a cycle", {"steps": [{**STEP, "after": [0]}]}, "steps[0].after"),
    ("an unknown step", {"steps": [{**STEP, "after": [9]}]}, "steps[0].after"),
    ("a text for a number", {"steps": [{**STEP, "cpu": "much"}]}, "cpu"),
    ("far too many tasks", {"steps": [{**STEP, "count": 99_999}]}, "steps"),
    ("repeats at once", {"steps": [STEP], "repeat_count": 2}, "interval_ms"),
)


async def test_each_outcome_has_its_status():
    for name, reply, method, status in OUTCOMES:
        async with ServedApi(reply) as served:
            body = {"spec": "p", "steps": [STEP]} if method == "POST" else None
            response, _ = await served.send(method, body=body)
            assert response.status == status, name
            assert ("Retry-After" in response.headers) == (status == 503), name


async def test_a_malformed_body_is_refused_with_its_field_and_not_submitted():
    for name, body, field in BAD_BODIES:
        async with ServedApi() as served:
            response, content = await served.send("POST", body=body)
            assert response.status == 400, name
            assert field in content.decode(), name
            assert served.entry.submitted == [], name


async def test_a_job_is_submitted_as_sent():
    step = {**STEP, "after": [0], "checkpoints": True, "image": "a1", "fills": True}
    async with ServedApi() as served:
        await served.send("POST", body={"spec": "text", "steps": [STEP, step]})
        ((queue, job, spec),) = served.entry.submitted
    assert (queue, job, spec.payload) == ("q", JOB, "text")
    assert spec.steps[1].after == (0,)
    assert spec.steps[1].need.cpu_millis == 500
    assert spec.steps[1].checkpoints
    assert spec.steps[1].fills


async def test_an_unknown_queue_is_not_found():
    async with ServedApi() as served:
        for path, headers in (
            ("/elsewhere/" + JOB, HOST),
            (PATH, {"Host": "other.example"}),
            ("/lohu930/no-id", HOST),
        ):
            response, _ = await served.send("GET", path, headers=headers)
            assert response.status == 404


async def test_every_request_gets_503_without_a_configuration():
    async with ServedApi(configured=False) as served:
        response, _ = await served.send("GET")
        assert response.status == 503


async def test_the_number_of_waiting_jobs_is_returned():
    async with ServedApi() as served:
        response, content = await served.send("GET", "/lohu930/")
        assert (response.status, content) == (200, b'{"waiting":12}')


async def test_refused_callers_are_told_different_times_of_the_window():
    reply = Reply(Outcome.NOT_RUN, window=ReturnWindow(1, 3))
    async with ServedApi(reply) as served:
        body = {"spec": "p", "steps": [STEP]}
        answers = [(await served.send("POST", body=body))[0] for _ in range(30)]
    assert {answer.headers["Retry-After"] for answer in answers} == {"1", "2", "3"}


async def test_a_refusal_without_a_configuration_tells_when_to_return():
    async with ServedApi(configured=False) as served:
        response, _ = await served.send("GET")
    assert response.headers["Retry-After"] in ("1", "2")


async def test_the_longest_body_is_that_of_the_configuration_in_force():
    body = msgspec.json.encode({"spec": "p", "steps": [STEP]})
    for limit, status in ((len(body), 200), (len(body) - 1, 413)):
        async with ServedApi(max_body_bytes=limit) as served:
            response, _ = await served.send("POST", body=body)
            assert response.status == status
            assert len(served.entry.submitted) == (status == 200)
