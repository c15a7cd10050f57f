"""Request pipeline, from a caller's request to its complete answer."""

import asyncio
from functools import partial

import logbook
from msgspec.structs import replace

from fuchsiascale.pipelines import (  # noqa: F401
    _answers,
    _checks,
    _forward,
    _keys,
    _sends,
)
from fuchsiascale.pipelines._calls import (
    CallAnswer,
    RequestPorts,
    make_refusal,
    refuse,
)
from fuchsiascale.pipelines._filters import FILTERS
from fuchsiascale.states import Outcome, Refusal

__all__ = [
    "FORWARDED_FILTERS",
    "REQUEST_FILTERS",
    "RequestPipeline",
    "build_forwarded_pipeline",
    "build_request_pipeline",
]

REQUEST_FILTERS = (
    "accept",
    "authenticate",
    "classify",
    "deadline",
    "admit",
    "claim",
    "route",
    "send",
    "forward",
    "answer",
)
FORWARDED_FILTERS = ("admit", "route", "send", "answer")

STOPPING_RETRY_MS = 1_000

log = logbook.Logger("requests")


class RequestPipeline:
    """Runs calls through the filters in order.

    Parameters
    ----------
    filters : tuple of callable
        Take and return a Call; the first that sets the answer is the last to run.
    finish : callable
        Takes the ended Call, releases what it holds and returns its answer.
    ports : RequestPorts
        External dependencies of the filters.
    """

    def __init__(self, filters, finish, ports):
        self._filters = filters
        self._finish = finish
        self._ports = ports
        self._in_flight = 0
        self._stopping = False
        self._idle = asyncio.Event()
        self._idle.set()
        self._finishing = set()

    @property
    def in_flight(self):
        """Number of requests between arrival and answer."""
        return self._in_flight

    async def handle(self, call):
        """Run one call through all filters.

        Parameters
        ----------
        call : Call
            The request as received.

        Returns
        -------
        tuple of Call and CallAnswer
            The call as it ended, and the answer to its caller.
        """
        if self._stopping:
            detail = "the instance is stopping"
            call = refuse(call, Refusal.STOPPING, detail, STOPPING_RETRY_MS)
            self._ports.meters.finish_call(call, call.answer, 0.0)
            return call, call.answer
        self._in_flight += 1
        self._idle.clear()
        try:
            return await self._run(call)
        finally:
            self._in_flight -= 1
            if not self._in_flight:
                self._idle.set()

    async def _run(self, call):
        call = replace(call, span=self._ports.traces.start_request(call))
        try:
            for each in self._filters:
                call = await each(call)
                if call.answer is not None:
                    break
        except asyncio.CancelledError:
            self._spawn_finish(
                replace(
                    call, answer=_build_interrupted_answer(call, "the caller went away")
                )
            )
            raise
        except Exception:
            log.exception("a filter failed on request {}", call.request_id)
            call = replace(
                call, answer=_build_interrupted_answer(call, "internal error")
            )
        if call.claim is None:
            return call, await self._finish(call)
        return call, await asyncio.shield(self._spawn_finish(call))

    def _spawn_finish(self, call):
        """Run the last filter in a task that continues if the caller disconnects."""
        task = asyncio.ensure_future(self._finish(call))
        self._finishing.add(task)
        task.add_done_callback(self._finishing.discard)
        return task

    async def drain(self):
        """Refuse new requests as not run and wait for those in flight."""
        self._stopping = True
        await self._idle.wait()
        while self._finishing:
            await asyncio.wait(self._finishing)
        await self._ports.dispatcher.wait_for_exchanges()


def _build_interrupted_answer(call, detail):
    """Return the answer to an interrupted call: unknown if it may have run."""
    exchange_started = call.slot is not None and call.slot.released_by_exchange
    if exchange_started or call.local_refusal is not None:
        return CallAnswer(outcome=Outcome.UNKNOWN, detail=detail)
    return make_refusal(Refusal.NO_UPSTREAM, detail)


def build_request_pipeline(ports: RequestPorts):
    """Build the pipeline of requests from callers.

    Parameters
    ----------
    ports : RequestPorts
        External dependencies of the filters.

    Returns
    -------
    RequestPipeline
        The pipeline.
    """
    return _assemble(REQUEST_FILTERS, ports)


def build_forwarded_pipeline(ports: RequestPorts):
    """Build the pipeline of requests that other failure domains forward.

    Parameters
    ----------
    ports : RequestPorts
        External dependencies of the filters, without a forwarder.

    Returns
    -------
    RequestPipeline
        The pipeline.
    """
    return _assemble(FORWARDED_FILTERS, ports)


def _assemble(names, ports):
    *names, last = names
    filters = tuple(partial(FILTERS[name], ports=ports) for name in names)
    return RequestPipeline(filters, partial(FILTERS[last], ports=ports), ports)
