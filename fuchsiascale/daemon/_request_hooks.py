"""Mounts the request path into the application."""

import asyncio

from fuchsiascale.coordination import KeyClaims, SlotHolder, SlotLedger
from fuchsiascale.daemon._credits import CreditDriver
from fuchsiascale.daemon._forward import make_forward_send
from fuchsiascale.daemon._key_claims import HomeKeyClaims
from fuchsiascale.daemon._lifecycle import Phase, on_start, on_stop, periodic_task
from fuchsiascale.daemon._metrics import RequestMeters, register_slot_gauges
from fuchsiascale.daemon._traces import make_traces
from fuchsiascale.daemon._views import CachedView
from fuchsiascale.pipelines import (
    Dispatcher,
    Forwarder,
    RequestPorts,
    build_forwarded_pipeline,
    build_request_pipeline,
)

RECORD_PERIOD_MS = 1_000
SWEEP_PERIOD_MS = 10_000
HANDOVER_TIMEOUT_S = 3.0


@on_start(Phase.REQUESTS)
async def start_requests(application):
    """Assemble the request pipelines and the parts that they depend on."""
    settings = application.settings
    clock, random = application.clock, application.random
    view = CachedView(application.membership.view, clock)
    fleet = application.documents.fleet
    meters = RequestMeters(application.registry)
    application.traces = make_traces(settings.traces, settings.instance, random)
    dispatcher = Dispatcher(
        SlotHolder(settings.instance, clock),
        view,
        fleet,
        clock,
        random,
        demand=lambda: application.credits.request_round(),
    )
    application.dispatcher = dispatcher
    application.credits = CreditDriver(
        settings.instance,
        dispatcher,
        SlotLedger(clock),
        view,
        fleet,
        application.shards.held_claims,
        application.peers.call,
    )
    application.claims = KeyClaims(application.tables, random)
    send = make_forward_send(application.peers.call, clock, application.traces)
    ports = RequestPorts(
        runners=application.runners,
        view=view,
        fleet=fleet,
        clock=clock,
        random=random,
        dispatcher=dispatcher,
        claims=HomeKeyClaims(application.claims, view, application.peers.call),
        forwarder=Forwarder(view, fleet, clock, random, send, meters),
        meters=meters,
        traces=application.traces,
        mark_leaving=application.membership_driver.mark_leaving,
    )
    application.request_pipeline = build_request_pipeline(ports)
    application.forwarded_pipeline = build_forwarded_pipeline(ports.without_forwarder())
    register_slot_gauges(
        application.registry,
        dispatcher.slots,
        lambda: (
            application.request_pipeline.in_flight
            + application.forwarded_pipeline.in_flight
        ),
        dispatcher.count_capacity,
    )
    application.run_in_background(application.credits.run())


@periodic_task("claim ends", lambda settings: RECORD_PERIOD_MS)
async def record_claim_outcomes(application):
    """Record the outcomes of claims that the store has not accepted yet."""
    await application.claims.record_pending_outcomes()


@periodic_task("claim sweep", lambda settings: SWEEP_PERIOD_MS)
async def delete_expired_claims(application):
    """Remove expired claims from a part of the table."""
    await application.claims.delete_expired(application.clock.wall_ms())


@on_stop(Phase.REQUESTS)
async def drain_requests(application):
    """Refuse new requests and wait for those in flight, within the grace time."""
    grace_s = application.settings.timers.stop_grace_ms / 1000
    try:
        async with asyncio.timeout(grace_s):
            await application.request_pipeline.drain()
            await application.forwarded_pipeline.drain()
            await application.claims.record_pending_outcomes()
    except TimeoutError:
        application.log.error("requests still in flight after {} s", grace_s)
    await application.credits.wait_handed_over(HANDOVER_TIMEOUT_S)
    application.traces.close()
