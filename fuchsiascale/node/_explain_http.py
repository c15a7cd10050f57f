"""Answers where a job would start now, beside the metrics of an instance."""

import msgspec
from aiohttp import web
from returns.result import Failure

from fuchsiascale.ids import JobId
from fuchsiascale.jobs import (
    Admission,
    ExplanationRequest,
    JobExplanation,
    JobRecord,
    decide_admission,
    window_in_silence,
)
from fuchsiascale.json_decoding import decode_json
from fuchsiascale.platform import user_platform

__all__ = ["EXPLAIN_PATH", "PlacementExplainer"]

EXPLAIN_PATH = "/explain/where"
MAX_BODY_BYTES = 262_144
"""Largest body; a job that callers hand in is no larger."""
ABSENT_JOB = JobId("0" * 16)


class PlacementExplainer:
    """Explains jobs one at a time, without handing them in.

    Parameters
    ----------
    ownership : OwnershipManager
        Asks the owner of the queue's service.
    store : RelayedStore
        The store; without it jobs are refused.
    watch : ConfigurationWatch
        Holds the configuration in force.
    get_age_s : callable
        Returns the age of the configuration in seconds; None before the first.
    clock : Clock
        Source of time.
    """

    def __init__(self, ownership, store, watch, get_age_s, clock):
        self._ownership = ownership
        self._store = store
        self._watch = watch
        self._get_age_s = get_age_s
        self._clock = clock
        self._is_busy = False

    async def handle(self, request):
        """Answer one request."""
        if (request.content_length or 0) > MAX_BODY_BYTES:
            return _build_error(413, "the body is too large")
        body = await request.read()
        if len(body) > MAX_BODY_BYTES:
            return _build_error(413, "the body is too large")
        if self._is_busy:
            return _build_error(429, "another job is being explained")
        self._is_busy = True
        try:
            return await self._answer(body)
        finally:
            self._is_busy = False

    async def _answer(self, body):
        decoded = decode_json(body, ExplanationRequest)
        if isinstance(decoded, Failure):
            return _build_error(400, f"body: {decoded.failure()}")
        asked = decoded.unwrap()
        spec = user_platform.decode_job(bytes(asked.job))
        if isinstance(spec, Failure):
            return _build_error(400, spec.failure())
        configuration = self._watch.configuration
        if configuration is None:
            return _build_error(503, "no configuration yet")
        queues = (each for each in configuration.queues if _is_named(each, asked.queue))
        queue = next(queues, None)
        if queue is None:
            return _build_error(404, "no such queue")
        record = JobRecord(
            job=ABSENT_JOB,
            spec=spec.unwrap(),
            policy=queue.policy,
            accepted_ms=self._clock.wall_ms(),
        )
        explanation = JobExplanation(
            queue=asked.queue,
            service=queue.policy.service,
            host=queue.host,
            prefix=queue.prefix,
            configuration_version=configuration.version,
            configuration_age_s=self._get_age_s(),
            admission=self._judge_admission(queue.policy, spec.unwrap()),
            placement=await self._ownership.ask_placement(record),
        )
        return web.Response(
            body=msgspec.json.encode(explanation), content_type="application/json"
        )

    def _judge_admission(self, policy, spec):
        silence = self._store.silence
        if silence.is_silent or self._store.is_unavailable():
            why = "store silent" if silence.is_silent else "store unreachable"
            return _build_refusal(why, window_in_silence(silence.silent_for_s()))
        found = self._ownership.loads.find(policy.service, policy.queue)
        refusal = decide_admission(found, policy, spec)
        if refusal is not None:
            return _build_refusal("no capacity in time", refusal.window)
        return Admission(admitted=True)


def _build_refusal(why, window):
    """Return a refusal with the latest time after which the caller should return."""
    return Admission(admitted=False, why=why, retry_after_s=float(window.last_s))


def _is_named(queue, name):
    return queue.policy.queue == name


def _build_error(status, text):
    return web.json_response({"error": text}, status=status)
