"""HTTP API for jobs, as the callers of the users' platform use it."""

import math
import re

import logbook
import msgspec
from aiohttp import web
from returns.result import Failure

from fuchsiascale.ids import JobId
from fuchsiascale.ingress import Refusal, read_body
from fuchsiascale.jobs import JobSpec, Outcome, Resources, StepSpec, find_problems
from fuchsiascale.json_decoding import decode_json

__all__ = ["CallerApi"]

RETRY_AFTER_S = 1
"""Delay before a retry; outages of the store last some seconds."""
REFUSED_BODIES = {
    Refusal.BODY_SIZE: (413, "the body is too large"),
    Refusal.SLOW_BODY: (408, "the body arrives too slowly"),
    Refusal.FRAMING: (400, "the body is malformed"),
}
JOB_ID_PATTERN = re.compile(r"[0-9a-fA-F]{16}\Z")


class _Step(msgspec.Struct):
    """A step on the wire.

    ``cpu`` is in thousandths of a core, ``target_ms`` is the tail latency target of a
    serving task, and ``fills`` marks a task that uses leftover processor time.
    """

    count: int = 1
    cpu: int = 0
    mem_mb: int = 0
    gpu: int = 0
    estimate_ms: float = 0
    after: tuple[int, ...] = ()
    checkpoints: bool = False
    gang: bool = False
    same_rack: bool = False
    required_label: str = ""
    data_rack: str = ""
    max_per_server: int = 0
    speculative: bool = False
    long_running: bool = False
    image: str = ""
    target_ms: float = 0
    fills: bool = False
    may_miss: int = 0


class _Job(msgspec.Struct):
    """A job on the wire; ``spec`` is its payload."""

    steps: tuple[_Step, ...]
    spec: str = ""
    repeat_count: int = 0
    first_run_ms: int = 0
    interval_ms: int = 0


class _State(msgspec.Struct):
    state: str


class _Waiting(msgspec.Struct):
    waiting: int


class _Error(msgspec.Struct):
    error: str


class CallerApi:
    """Handles the requests of callers.

    Parameters
    ----------
    entry : JobRequestHandler
        Executes the requests.
    watch : ConfigurationWatch
        Holds the configuration in force.
    stopping : callable
        Returns whether this instance is about to stop.
    """

    def __init__(self, entry, watch, stopping):
        self.entry = entry
        self.watch = watch
        self.stopping = stopping
        self.log = logbook.Logger("caller")

    def make_application(self):
        """Return the aiohttp application for the listener."""
        application = web.Application()
        application.router.add_route("*", "/{path:.*}", self.handle)
        return application

    async def handle(self, request):
        """Respond to one request."""
        response = await self._answer(request)
        if self.stopping():
            response.force_close()
        return response

    async def _answer(self, request):
        index = self.watch.queue_index
        if index is None:
            return _build_response(503, _Error("no configuration yet"))
        path = request.raw_path.partition("?")[0]
        queue = index.find(request.host.partition(":")[0], path)
        if queue is None:
            return _build_response(404, _Error("no such queue"))
        name = path[len(queue.prefix) :]
        if not name and request.method == "GET":
            return await self._count_waiting(queue)
        if not JOB_ID_PATTERN.match(name):
            return _build_response(404, _Error("the path does not end in a job id"))
        handler = {
            "POST": self._submit,
            "GET": self._state,
            "DELETE": self._cancel,
        }.get(request.method)
        if handler is None:
            return _build_response(405, _Error("method not allowed"))
        return await handler(queue, JobId(name), request)

    async def _submit(self, queue, job, request):
        read = await read_body(request, self.watch.configuration.max_body_bytes)
        if isinstance(read, Failure):
            return _build_body_refusal(read.failure())
        decoded = decode_json(read.unwrap(), _Job)
        if isinstance(decoded, Failure):
            return _build_response(400, _Error(f"body: {decoded.failure()}"))
        spec = _convert_job(decoded.unwrap())
        problems = find_problems(spec)
        if problems:
            return _build_response(400, _Error("; ".join(problems)))
        reply = await self.entry.submit(queue.policy, job, spec)
        return _build_error_response(reply) or web.Response(status=200)

    async def _state(self, queue, job, request):
        reply = await self.entry.state(queue.policy.service, job)
        return _build_error_response(reply) or _build_response(
            200, _State(reply.state.value)
        )

    async def _cancel(self, queue, job, request):
        reply = await self.entry.cancel(queue.policy.service, job)
        return _build_error_response(reply) or web.Response(status=200)

    async def _count_waiting(self, queue):
        reply = await self.entry.waiting(queue.policy)
        return _build_error_response(reply) or _build_response(
            200, _Waiting(reply.count)
        )


def _build_body_refusal(refusal):
    if refusal in REFUSED_BODIES:
        status, text = REFUSED_BODIES[refusal]
        return _build_response(status, _Error(text))
    response = _build_response(503, _Error("not run: too many requests"))
    response.headers["Retry-After"] = str(math.ceil(RETRY_AFTER_S))
    return response


def _build_error_response(reply):
    """Return the error response for a reply, or None if the request was executed."""
    if reply.outcome is Outcome.NOT_RUN:
        response = _build_response(503, _Error("not run: the store is away"))
        response.headers["Retry-After"] = str(math.ceil(RETRY_AFTER_S))
        return response
    if reply.outcome is Outcome.UNKNOWN:
        return _build_response(504, _Error("the outcome is unknown"))
    if reply.outcome is Outcome.ABSENT:
        return _build_response(410, _Error("no such job"))
    return None


def _convert_job(job):
    return JobSpec(
        payload=job.spec,
        steps=tuple(_convert_step(step) for step in job.steps),
        occurrences=job.repeat_count,
        first_run_ms=job.first_run_ms,
        interval_ms=job.interval_ms,
    )


def _convert_step(step):
    return StepSpec(
        count=step.count,
        need=Resources(
            cpu_millis=step.cpu, memory_mb=step.mem_mb, accelerators=step.gpu
        ),
        estimate_ms=int(step.estimate_ms),
        after=step.after,
        checkpoints=step.checkpoints,
        gang=step.gang,
        same_rack=step.same_rack,
        required_label=step.required_label,
        data_rack=step.data_rack,
        max_per_worker=step.max_per_server,
        speculative=step.speculative,
        lasting=step.long_running,
        image=step.image,
        tail_target_ms=int(step.target_ms),
        fills=step.fills,
        may_miss=step.may_miss,
    )


def _build_response(status, message):
    return web.Response(
        status=status,
        body=msgspec.json.encode(message),
        content_type="application/json",
    )
