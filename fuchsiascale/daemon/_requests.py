"""Mounts the request pipeline into the application."""

import asyncio

from fuchsiascale.coordination import KeyClaims, SlotHolder
from fuchsiascale.daemon._lifecycle import Phase, on_start, on_stop
from fuchsiascale.pipelines import RequestPorts, build_request_pipeline


@on_start(Phase.REQUESTS)
async def start_requests(application):
    """Assemble the request pipeline."""
    application.calls = build_request_pipeline(
        RequestPorts(
            runners=application.runners,
            view=application.membership.view,
            fleet=application.documents.fleet,
            clock=application.clock,
            random=application.random,
            slots=SlotHolder(),
            claims=KeyClaims(application.tables, application.random),
        )
    )


@on_stop(Phase.REQUESTS)
async def drain_requests(application):
    """Refuse new requests and wait for those in flight, within the grace time."""
    grace_s = application.settings.timers.stop_grace_ms / 1000
    try:
        async with asyncio.timeout(grace_s):
            await application.calls.drain()
    except TimeoutError:
        application.log.error("requests still in flight after {} s", grace_s)
