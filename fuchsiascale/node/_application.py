"""Application of an instance on the users' platform: its components and lifecycle."""

import asyncio
import contextlib
import os
import signal
import socket
import time
import uuid

import aiohttp
import logbook
import msgspec
from aiohttp import web

from fuchsiascale.clock import BootClock
from fuchsiascale.ingress import Gate, IngressSite, derive_limits
from fuchsiascale.jobs import (
    Acknowledgement,
    ConfigurationFeed,
    ConfigurationQuery,
    ConfigurationWatch,
    DirectReads,
    JobRequestHandler,
    OwnerLimits,
    OwnershipManager,
    Ping,
    Pong,
    RelayCommit,
    RelayedStore,
    RelayRead,
    RelayWrite,
    SilenceWatch,
    StoreSilence,
    TableWatch,
    WorkerListing,
    WorkerRelay,
    answer_relay,
)
from fuchsiascale.node._explain_http import EXPLAIN_PATH, PlacementExplainer
from fuchsiascale.node._metrics import NodeMetrics
from fuchsiascale.node._peer_http import PeerClient, make_peer_application
from fuchsiascale.node._relay_websocket import (
    RELAY_PATH,
    RelayConnector,
    make_relay_handler,
)
from fuchsiascale.node._worker_sockets import open_resetting_socket
from fuchsiascale.platform import user_platform

__all__ = ["NodeApplication"]

LEAVE_ROTATION_S = 2.6
"""Time for the load balancer to see that the instance is not ready: two checks, 1 s
apart."""
CLOSE_MARGIN_S = 0.8
"""Part of the grace period reserved for closing servers and sessions."""
OPERATOR_POLL_INTERVAL_S = 0.2
"""Minimum time between two polls of the operator's rows. While the configuration
changes, each poll transfers all of it (430 KB with 1,650 queues)."""
OPERATOR_WAIT_MS = 400
"""How long the store holds such a poll open, which bounds the age of the configuration
that an owner reports to its peers."""
LISTEN_BACKLOG = 512
LOG_PERIOD_S = 0.1
"""Period of writing buffered log lines."""
FULL_CORES = 2.0
"""Processors with which an instance easily handles a service of 450 workers."""
FULL_LINK_MBIT_S = 50.0
"""Link bandwidth with which an instance easily handles such a service."""


def compute_strength(cores, link_mbit_s):
    """Return how well an instance could handle a service, from 0 to 1.

    Examples
    --------
    >>> compute_strength(2.0, 100.0)
    1.0
    >>> compute_strength(0.5, 5.0)
    0.1
    >>> compute_strength(0.5, 100.0)
    0.25
    """
    return round(
        min(1.0, cores / FULL_CORES, link_mbit_s / FULL_LINK_MBIT_S),
        3,
    )


class NodeApplication:
    """Builds, runs and stops the components of an instance.

    Parameters
    ----------
    settings : LocalSettings
        The checked settings.
    log_buffer : LineBuffer
        Buffer of the log lines.
    """

    def __init__(self, settings, log_buffer):
        self.settings = settings
        self.log_buffer = log_buffer
        self.log = logbook.Logger("node")
        self.stop_requested = asyncio.Event()
        self.in_flight = 0
        self._tasks = []
        self._runners = []
        self._gates = []
        self._sessions = []

    async def run(self):
        """Start all components, serve until asked to stop, and stop gracefully."""
        loop = asyncio.get_running_loop()
        for number in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(number, self.stop_requested.set)
        loop.add_signal_handler(signal.SIGHUP, self._handle_reload)
        self._build_components()
        await self._start_servers()
        self._spawn(self.configuration_feed.run())
        self._spawn(self.store.run_checks(user_platform.OPERATOR_TABLE))
        self._spawn(self.silence_watch.run())
        self._spawn(self._write_logs())
        self._spawn(self.worker_relay.run())
        self.log.info(
            "started",
            extra={"incarnation": self.identity.incarnation, "pid": os.getpid()},
        )
        await self.stop_requested.wait()
        await self._stop()

    def _handle_reload(self):
        self.log.info("settings reload requested", extra={"outcome": "nothing changed"})

    def _build_components(self):
        settings = self.settings
        host, port = settings.peer_listen
        self.identity = Ping(
            instance=settings.instance,
            incarnation=uuid.uuid4().hex[:12],
            address=f"{host}:{port}",
            strength=compute_strength(settings.cores, settings.link_mbit_s),
            region=settings.region,
            domain=settings.failure_domain,
        )
        self.clock = BootClock()
        self.silence = StoreSilence(self.clock)
        self.peers = PeerClient(self._open_session(), self._handle_reply, self.clock)
        direct = user_platform.HttpRowStore(
            self._open_session(),
            settings.store_address,
            lambda call: self.metrics.count_store_call(call),
            self.silence,
        )
        self.direct = direct
        self.store = RelayedStore(
            direct,
            self.peers,
            lambda: self.ownership.members(),
            self.clock,
            self.silence,
        )
        workers = user_platform.HttpTaskWorkers(
            self._open_session(open_resetting_socket), self.clock
        )
        self.worker_relay = WorkerRelay(workers, self.clock, workers.late_commands)
        self.relay_connector = RelayConnector()
        self.ownership = OwnershipManager(
            self.identity,
            self.store,
            workers,
            self.peers,
            WorkerListing(user_platform.WORKERS_TABLE, self._choose_worker_decoder()),
            OwnerLimits(
                settings.longest_lease_s,
                settings.max_row_bytes,
                settings.remote_factor,
                settings.entry_lapse_s,
            ),
            self.clock,
            self.relay_connector.connect,
            self._list_evacuations(),
            self.silence,
            workers.late_commands,
        )
        self.configuration_watch = ConfigurationWatch(
            user_platform.CONFIGURATION_KEY, user_platform.decode_configuration
        )
        self.configuration_feed = ConfigurationFeed(
            TableWatch(
                DirectReads(self.store),
                user_platform.OPERATOR_TABLE,
                self._apply_operator_rows,
                self.clock,
                OPERATOR_POLL_INTERVAL_S,
                OPERATOR_WAIT_MS,
            ),
            self.configuration_watch,
            self.peers,
            self.ownership,
            settings.seeds,
            self.clock,
            self._watch_services,
        )
        self.request_handler = JobRequestHandler(
            self.store,
            self.ownership,
            self.clock,
            settings.joins_partitions,
            self.silence,
            self.ownership.loads,
        )
        self.silence_watch = SilenceWatch(
            self.store,
            self.silence,
            user_platform.OPERATOR_TABLE,
            self.request_handler.refuse_queued,
        )
        self.metrics = NodeMetrics(
            self.ownership,
            self.log_buffer,
            self._describe_configuration,
            self.silence,
            self.request_handler.refusals,
            self._gates,
            workers.late_commands.counts,
        )
        self.explainer = PlacementExplainer(
            self.ownership,
            self.store,
            self.configuration_watch,
            self.configuration_feed.age_s,
            self.clock,
        )
        self.front = user_platform.CallerApi(
            self.request_handler, self.configuration_watch, self.stop_requested.is_set
        )

    def _list_evacuations(self):
        """Return where evacuations are; None if the operator evacuates no domain.

        Evacuations become unknown only after the longer bound of an unstable store.
        Known work goes on until then, as in any other outage of the store.
        """
        bound_s = self.settings.evacuation_bound_s
        if bound_s is None:
            return None
        return user_platform.make_evacuation_listing(
            bound_s + self.settings.unstable_store_stretch_s
        )

    def _choose_worker_decoder(self):
        """Return the decoder of workers; cold ones differ only with evacuations."""
        if self.settings.evacuation_bound_s is None:
            return user_platform.decode_warm_worker
        return user_platform.decode_worker

    def _open_session(self, socket_factory=None):
        session = aiohttp.ClientSession(
            connector=aiohttp.TCPConnector(
                limit=0, keepalive_timeout=60.0, socket_factory=socket_factory
            ),
            auto_decompress=False,
            skip_auto_headers=("User-Agent", "Accept", "Accept-Encoding"),
            cookie_jar=aiohttp.DummyCookieJar(),
        )
        self._sessions.append(session)
        return session

    def _describe_configuration(self):
        version = self.configuration_watch.version or None
        return version, self.configuration_feed.age_s()

    def _apply_operator_rows(self, rows):
        self.configuration_watch.apply_rows(rows)
        self._watch_services()

    def _watch_services(self):
        configuration = self.configuration_watch.configuration
        if configuration is not None:
            self.ownership.watch(configuration.services)

    def _handle_reply(self, reply, address, asked_s):
        if isinstance(reply, Pong):
            self.configuration_feed.apply_freshness(
                address, reply.configuration, asked_s
            )

    def _spawn(self, coroutine):
        task = asyncio.create_task(coroutine)
        task.add_done_callback(self._handle_task_end)
        self._tasks.append(task)

    def _handle_task_end(self, task):
        if task.cancelled() or task.exception() is None:
            return
        error = task.exception()
        self.log.critical("background task failed: {!r}", error, exc_info=error)
        self.stop_requested.set()

    async def _answer_peer(self, message):
        if isinstance(message, RelayCommit | RelayRead):
            return await answer_relay(self.direct, message)
        if isinstance(message, RelayWrite):
            return await self.request_handler.commit_for_peer(message)
        if isinstance(message, ConfigurationQuery):
            return self.configuration_feed.answer(message)
        if self.stop_requested.is_set() and not self.ownership.owners:
            return Acknowledgement(False)
        reply = await self.ownership.answer(message)
        if isinstance(reply, Pong):
            mark = self.configuration_feed.get_freshness()
            return msgspec.structs.replace(reply, configuration=mark)
        return reply

    async def _start_servers(self):
        settings = self.settings
        peer_application = make_peer_application(self._answer_peer)
        peer_application.router.add_get(
            RELAY_PATH, make_relay_handler(self.worker_relay)
        )
        await self._start_server("peer", peer_application, settings.peer_listen)
        await self._start_server(
            "caller",
            self._count_requests(self.front.make_application()),
            settings.caller_listen,
        )
        if settings.ready_listen is not None:
            ready = web.Application()
            ready.router.add_get("/metrics", self._answer_metrics)
            ready.router.add_post(EXPLAIN_PATH, self.explainer.handle)
            ready.router.add_get("/{path:.*}", self._answer_ready)
            await self._start_server("operator", ready, settings.ready_listen)

    def _count_requests(self, application):
        @web.middleware
        async def count(request, handler):
            self.in_flight += 1
            started_s = time.monotonic()
            status = 500
            try:
                response = await handler(request)
                status = response.status
                return response
            finally:
                self.in_flight -= 1
                elapsed_s = time.monotonic() - started_s
                self.metrics.count_request(request.method, status, elapsed_s)

        application.middlewares.append(count)
        return application

    async def _start_server(self, name, application, address):
        settings = self.settings
        limits = derive_limits(
            settings.ingress, settings.memory_mb, settings.max_fds, name
        )
        gate = Gate(name, limits)
        runner = gate.make_runner(
            application,
            upgrades=name == "peer",
            handle_signals=False,
            keepalive_timeout=limits.idle_timeout_s,
        )
        await runner.setup()
        listener = socket.create_server(address, backlog=LISTEN_BACKLOG)
        await IngressSite(gate, runner, listener, backlog=LISTEN_BACKLOG).start()
        self._gates.append(gate)
        self._runners.append(runner)

    async def _write_logs(self):
        dropped = 0
        while True:
            self.log_buffer.flush()
            if self.log_buffer.dropped > dropped:
                lines = self.log_buffer.dropped - dropped
                dropped = self.log_buffer.dropped
                self.log.warning("log lines dropped", extra={"lines": lines})
            await asyncio.sleep(LOG_PERIOD_S)

    async def _answer_metrics(self, request):
        return web.Response(body=self.metrics.render(), content_type="text/plain")

    async def _answer_ready(self, request):
        ready = (
            self.configuration_watch.queue_index is not None
            and not self.stop_requested.is_set()
        )
        return web.Response(status=200 if ready else 503)

    async def _stop(self):
        started_s = time.monotonic()
        deadline_s = started_s + self.settings.stop_grace_s - CLOSE_MARGIN_S
        self.log.info("stopping", extra={"in_flight": self.in_flight})
        self.worker_relay.stop()
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(LEAVE_ROTATION_S):
                await self.ownership.hand_over()
        leave_s = started_s + LEAVE_ROTATION_S
        while time.monotonic() < deadline_s:
            if time.monotonic() >= leave_s and not self.in_flight:
                break
            await asyncio.sleep(0.05)
        for task in self._tasks:
            task.cancel()
        self.configuration_feed.cancel()
        await self.ownership.stop()
        for runner in self._runners:
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(0.5):
                    await runner.cleanup()
        await self.relay_connector.close()
        for session in self._sessions:
            await session.close()
        self.log.info("stopped", extra={"after_s": time.monotonic() - started_s})
        self.log_buffer.flush()
