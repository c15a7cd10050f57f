"""HTTP listeners for callers, peers and operators."""

import asyncio
import http

from aiohttp import web

import fuchsiascale
from fuchsiascale.api import StatusReply
from fuchsiascale.daemon import _http
from fuchsiascale.daemon._access import (
    Access,
    build_server_context,
    require_operator_token,
    require_peer_token,
)
from fuchsiascale.daemon._caller import make_caller_routes
from fuchsiascale.daemon._lifecycle import Phase, StartError, on_start, on_stop
from fuchsiascale.daemon._metrics import make_metrics_routes
from fuchsiascale.daemon._routes import CALLER_ROUTES, OPERATOR_ROUTES, PEER_ROUTES
from fuchsiascale.daemon._sockets import (
    BACKLOG,
    drop_new_connections,
    open_listener,
)
from fuchsiascale.ingress import Gate, IngressSite, derive_limits

__all__ = ["build_status", "drop_server_headers"]

BACKLOG_ACCEPT_S = 0.1
"""Time to accept the connections that were established before a stop began."""
LINGER_S = 1.0


@on_start(Phase.LISTENERS)
async def start_listeners(application):
    """Open the caller, peer and operator listeners."""
    settings = application.settings
    caller = _make_web_application(application, CALLER_ROUTES)
    caller.add_routes(
        make_caller_routes(application.request_pipeline, application.clock)
    )
    caller.add_routes(make_metrics_routes(application.registry))
    access = Access(settings.access, application.documents.fleet)
    application.access = access
    check_peer = require_peer_token(access, application.report_refusal)
    check_operator = require_operator_token(access, application.report_refusal)
    peer = _make_web_application(application, PEER_ROUTES, check_peer)
    operator = _make_web_application(application, OPERATOR_ROUTES, check_operator)
    for name, listen, web_application in (
        ("caller", settings.caller, caller),
        ("peer", settings.peer, peer),
        ("operator", settings.operator, operator),
    ):
        limits = derive_limits(
            settings.ingress, settings.machine_memory_mb, settings.machine_fds, name
        )
        gate = Gate(name, limits)
        application.gates.append(gate)
        runner = gate.make_runner(
            web_application,
            handler_cancellation=True,
            shutdown_timeout=LINGER_S,
            keepalive_timeout=limits.idle_timeout_s,
        )
        await runner.setup()
        application.listeners.append(runner)
        try:
            context = build_server_context(listen.tls)
            listener = open_listener(listen.host, listen.port)
            application.sockets.append(listener)
            site = IngressSite(
                gate, runner, listener, ssl_context=context, backlog=BACKLOG
            )
            await site.start()
        except OSError as error:
            detail = f"the {name} listener at {listen.address} can't be opened: {error}"
            raise StartError(detail) from error


@on_stop(Phase.CLIENTS)
async def stop_listeners(application):
    """Close the listeners last, after the parts behind them have stopped.

    Notes
    -----
    New connections are dropped. Requests on established connections are still
    answered for a while, and each answer closes its connection: closing a connection
    while its caller is sending would leave the caller without an answer.
    """
    await application.cancel_background_tasks()
    for listener in application.sockets:
        drop_new_connections(listener)
    await asyncio.sleep(BACKLOG_ACCEPT_S)
    sites = [site for runner in application.listeners for site in runner.sites]
    for site in sites:
        await site.stop()
    await asyncio.sleep(LINGER_S)
    for runner in application.listeners:
        await runner.cleanup()
    await application.disconnect()


@on_start(Phase.CLIENTS)
async def start_clients(application):
    """Create the clients of the platform, the upstreams and the peers."""
    try:
        application.connect()
    except OSError as error:
        raise StartError(f"TLS files of a client can't be used: {error}") from error


def _make_web_application(application, routes, check=None):
    middlewares = [close_when_stopping]
    if check is not None:
        middlewares.append(check)
    web_application = web.Application(middlewares=middlewares)
    web_application[_http.APPLICATION_KEY] = application
    web_application.on_response_prepare.append(drop_server_headers)
    routes.add_to(web_application)
    return web_application


@web.middleware
async def close_when_stopping(request, handler):
    """Close the connection after the answer once a stop has begun."""
    response = await handler(request)
    if request.app[_http.APPLICATION_KEY].stopping:
        response.force_close()
    return response


async def drop_server_headers(request, response):
    """Remove response headers that callers have no use for."""
    for name in ("Server", "Date"):
        response.headers.pop(name, None)


@CALLER_ROUTES.route("GET", "/healthz")
async def get_health(application, message, request):
    """Report that the process is running."""
    return build_status(application)


@CALLER_ROUTES.route("GET", "/readyz")
async def get_readiness(application, message, request):
    """Report whether the load balancer should send requests here."""
    status = build_status(application)
    if not status.ready:
        raise _http.Refused(
            http.HTTPStatus.SERVICE_UNAVAILABLE, None, "the instance is not ready"
        )
    return status


def build_status(application, team=""):
    """Return a summary of this instance, with the team whose token asked for it."""
    return StatusReply(
        team=team,
        version=fuchsiascale.__version__,
        instance=application.settings.instance,
        failure_domain=application.settings.failure_domain,
        ready=application.is_ready(),
        stopping=application.stopping,
        revision=application.documents.revision(),
        store_reachable=application.documents.store_reachable(),
        in_flight=application.request_pipeline.in_flight,
        shards_held=len(application.shards.digests()),
    )
