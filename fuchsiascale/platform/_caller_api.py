"""HTTP API for jobs, as the callers of the users' platform use it."""

import random
import re

import logbook
import msgspec
from aiohttp import web
from returns.result import Failure, Result, Success

from fuchsiascale.ids import JobId
from fuchsiascale.ingress import Refusal, read_body
from fuchsiascale.jobs import (
    JobSpec,
    Outcome,
    Resources,
    ReturnWindow,
    StepSpec,
    find_problems,
    pick_return,
)
from fuchsiascale.json_decoding import decode_json

__all__ = ["CallerApi", "decode_job"]

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
    rng : random.Random, optional
        Source of the times after which refused callers return.
    """

    def __init__(self, entry, watch, stopping, rng=None):
        self.entry = entry
        self.watch = watch
        self.stopping = stopping
        self.rng = rng or random.Random()
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
            return self._refuse("no configuration yet", ReturnWindow())
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
            return self._refuse_body(read.failure())
        decoded = decode_job(read.unwrap())
        if isinstance(decoded, Failure):
            return _build_response(400, _Error(decoded.failure()))
        reply = await self.entry.submit(queue.policy, job, decoded.unwrap())
        return self._build_error_response(reply) or web.Response(status=200)

    async def _state(self, queue, job, request):
        reply = await self.entry.state(queue.policy.service, job)
        return self._build_error_response(reply) or _build_response(
            200, _State(reply.state.value)
        )

    async def _cancel(self, queue, job, request):
        reply = await self.entry.cancel(queue.policy.service, job)
        return self._build_error_response(reply) or web.Response(status=200)

    async def _count_waiting(self, queue):
        reply = await self.entry.waiting(queue.policy)
        return self._build_error_response(reply) or _build_response(
            200, _Waiting(reply.count)
        )

    def _build_error_response(self, reply):
        """Return the error response for a reply, or None if it was executed."""
        if reply.outcome is Outcome.NOT_RUN:
            return self._refuse(f"not run: {reply.why}", reply.window)
        if reply.outcome is Outcome.UNKNOWN:
            return _build_response(504, _Error("the outcome is unknown"))
        if reply.outcome is Outcome.ABSENT:
            return _build_response(410, _Error("no such job"))
        return None

    def _refuse(self, why, window):
        """Return the response to a request that had no effect."""
        response = _build_response(503, _Error(why))
        response.headers["Retry-After"] = str(pick_return(window, self.rng))
        return response

    def _refuse_body(self, refusal):
        """Return the response to a request whose body was not read."""
        if refusal in REFUSED_BODIES:
            status, text = REFUSED_BODIES[refusal]
            return _build_response(status, _Error(text))
        return self._refuse("not run: too many requests", ReturnWindow())


def decode_job(body) -> Result[JobSpec, str]:
    """Decode a job that a caller hands in; a failure is the text for the caller."""
    decoded = decode_json(body, _Job)
    if isinstance(decoded, Failure):
        return Failure(f"body: {decoded.failure()}")
    spec = _convert_job(decoded.unwrap())
    problems = find_problems(spec)
    return Failure("; ".join(problems)) if problems else Success(spec)


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
