"""The request pipeline, from a caller's request to its whole answer."""

import asyncio
from functools import partial

from msgspec.structs import replace

from fuchsiascale.pipelines import _answers, _checks, _keys, _sends  # noqa: F401
from fuchsiascale.pipelines._calls import CallAnswer, RequestPorts, refuse
from fuchsiascale.pipelines._filters import FILTERS
from fuchsiascale.states import Outcome, Refusal

__all__ = ["REQUEST_FILTERS", "RequestPipeline", "build_request_pipeline"]

REQUEST_FILTERS = (
    "accept",
    "authenticate",
    "classify",
    "deadline",
    "admit",
    "claim",
    "route",
    "send",
    "answer",
)


class RequestPipeline:
    """Runs calls through the filters in order.

    Parameters
    ----------
    filters : tuple of callable
        Take and return a Call; the first that sets the answer ends the run.
    finish : callable
        Takes the ended Call, gives back what it holds and returns its answer.
    """

    def __init__(self, filters, finish):
        self._filters = filters
        self._finish = finish
        self._in_flight = 0
        self._stopping = False
        self._idle = asyncio.Event()
        self._idle.set()

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
            The call as it ended, and what its caller is told.
        """
        if self._stopping:
            call = refuse(call, Refusal.STOPPING, "the instance is stopping")
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
        try:
            for each in self._filters:
                call = await each(call)
                if call.answer is not None:
                    break
        except asyncio.CancelledError:
            lost = CallAnswer(outcome=Outcome.UNKNOWN, detail="the caller went away")
            await self._finish(replace(call, answer=lost))
            raise
        return call, await self._finish(call)

    async def drain(self):
        """Refuse new requests as not run and wait for those in flight."""
        self._stopping = True
        await self._idle.wait()


def build_request_pipeline(ports: RequestPorts):
    """Assemble the request pipeline.

    Parameters
    ----------
    ports : RequestPorts
        What the filters need from outside.

    Returns
    -------
    RequestPipeline
        The pipeline.
    """
    *names, last = REQUEST_FILTERS
    filters = tuple(partial(FILTERS[name], ports=ports) for name in names)
    return RequestPipeline(filters, partial(FILTERS[last], ports=ports))
