"""The application object of an instance on the users' platform."""

import asyncio
import contextlib
import os
import signal
import time
import uuid

import aiohttp
import logbook
import msgspec
from aiohttp import web

from fuchsiascale.clock import BootClock
from fuchsiascale.jobs import (
    Acknowledgement,
    ConfigurationFeed,
    ConfigurationQuery,
    ConfigurationWatch,
    DirectReads,
    Entry,
    Offices,
    Ping,
    Pong,
    RelayCommit,
    RelayedStore,
    RelayRead,
    RelayWrite,
    TableWatch,
    WorkerListing,
    answer_relay,
)
from fuchsiascale.node._metrics import NodeMetrics
from fuchsiascale.node._peerlink import PeerLink, make_peer_application
from fuchsiascale.platform import userplatform

__all__ = ["NodeApplication"]

LEAVE_ROTATION_S = 2.6
"""Time for the balancer to see that the instance is not ready: two looks, 1 s apart."""
STOP_MARGIN_S = 0.8
"""Kept of the grace period for closing what is open."""
OPERATOR_PAUSE_S = 0.2
"""Least time between two polls of the operator's rows, each of which brings the whole
configuration while it changes (430 KB with 1,650 queues)."""
OPERATOR_WAIT_MS = 400
"""How long the store holds such a poll open: the age of what an owner tells peers."""
LISTEN_BACKLOG = 512
LOG_PERIOD_S = 0.1
"""Period in which waiting log lines are written."""
FULL_CORES = 1.0
"""Processors with which an instance carries a service of 200 workers at ease."""
FULL_LINK_MBIT_S = 50.0
"""Bandwidth with which it does."""


def rate_strength(cores, link_mbit_s):
    """Return how well an instance could carry a service, 0 to 1.

    Examples
    --------
    >>> rate_strength(2.0, 100.0)
    1.0
    >>> rate_strength(0.5, 5.0)
    0.1
    """
    return round(min(1.0, cores / FULL_CORES, link_mbit_s / FULL_LINK_MBIT_S), 3)


class NodeApplication:
    """Owner of an instance's parts.

    Parameters
    ----------
    settings : LocalSettings
        The checked settings.
    log_buffer : LineBuffer
        Where log lines wait.
    """

    def __init__(self, settings, log_buffer):
        self.settings = settings
        self.log_buffer = log_buffer
        self.log = logbook.Logger("node")
        self.stop_requested = asyncio.Event()
        self.in_flight = 0
        self._tasks = []
        self._runners = []
        self._sessions = []

    async def run(self):
        """Start all parts, serve until asked to stop, and stop gracefully."""
        loop = asyncio.get_running_loop()
        for number in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(number, self.stop_requested.set)
        loop.add_signal_handler(signal.SIGHUP, self._note_reload)
        self._build()
        await self._listen()
        self._keep(self.configuration_feed.run())
        self._keep(self.store.run_checks(userplatform.OPERATOR_TABLE))
        self._keep(self._write_logs())
        self.log.info(
            "started",
            extra={"incarnation": self.identity.incarnation, "pid": os.getpid()},
        )
        await self.stop_requested.wait()
        await self._stop()

    def _note_reload(self):
        self.log.info("settings reload asked for", extra={"outcome": "nothing changed"})

    def _build(self):
        settings = self.settings
        host, port = settings.peer_listen
        self.identity = Ping(
            instance=settings.instance,
            incarnation=uuid.uuid4().hex[:12],
            address=f"{host}:{port}",
            strength=rate_strength(settings.cores, settings.link_mbit_s),
            region=settings.region,
        )
        self.clock = BootClock()
        self.peers = PeerLink(self._open_session(), self._note_reply, self.clock)
        direct = userplatform.HttpRowStore(
            self._open_session(),
            settings.store_address,
            lambda call: self.metrics.note_store_call(call),
        )
        self.direct = direct
        self.store = RelayedStore(
            direct, self.peers, lambda: self.offices.members(), self.clock
        )
        workers = userplatform.HttpTaskWorkers(self._open_session())
        self.offices = Offices(
            self.identity,
            self.store,
            workers,
            self.peers,
            WorkerListing(userplatform.WORKERS_TABLE, userplatform.decode_worker),
            settings.longest_lease_s,
            self.clock,
        )
        self.configuration_watch = ConfigurationWatch(
            userplatform.CONFIGURATION_KEY, userplatform.decode_configuration
        )
        self.configuration_feed = ConfigurationFeed(
            TableWatch(
                DirectReads(self.store),
                userplatform.OPERATOR_TABLE,
                self._note_operator,
                self.clock,
                OPERATOR_PAUSE_S,
                OPERATOR_WAIT_MS,
            ),
            self.configuration_watch,
            self.peers,
            self.offices,
            settings.seeds,
            self.clock,
            self._watch_services,
        )
        self.entry = Entry(self.store, self.offices, self.clock)
        self.metrics = NodeMetrics(
            self.offices, self.log_buffer, self._describe_configuration
        )
        self.front = userplatform.CallerFront(
            self.entry, self.configuration_watch, self.stop_requested.is_set
        )

    def _open_session(self):
        session = aiohttp.ClientSession(
            connector=aiohttp.TCPConnector(limit=0, keepalive_timeout=60.0),
            auto_decompress=False,
            skip_auto_headers=("User-Agent", "Accept", "Accept-Encoding"),
            cookie_jar=aiohttp.DummyCookieJar(),
        )
        self._sessions.append(session)
        return session

    def _describe_configuration(self):
        version = self.configuration_watch.version or None
        return version, self.configuration_feed.age_s()

    def _note_operator(self, rows):
        self.configuration_watch.apply_rows(rows)
        self._watch_services()

    def _watch_services(self):
        configuration = self.configuration_watch.configuration
        if configuration is not None:
            self.offices.watch(configuration.services)

    def _note_reply(self, reply, address, asked_s):
        if isinstance(reply, Pong):
            self.configuration_feed.apply_freshness(
                address, reply.configuration, asked_s
            )

    def _keep(self, coroutine):
        task = asyncio.create_task(coroutine)
        task.add_done_callback(self._note_end)
        self._tasks.append(task)

    def _note_end(self, task):
        if task.cancelled() or task.exception() is None:
            return
        error = task.exception()
        self.log.critical("background task failed: {!r}", error, exc_info=error)
        self.stop_requested.set()

    async def _answer_peer(self, message):
        if isinstance(message, RelayCommit | RelayRead):
            return await answer_relay(self.direct, message)
        if isinstance(message, RelayWrite):
            return await self.entry.commit_for_peer(message)
        if isinstance(message, ConfigurationQuery):
            return self.configuration_feed.answer(message)
        if self.stop_requested.is_set() and not self.offices.owners:
            return Acknowledgement(False)
        reply = await self.offices.answer(message)
        if isinstance(reply, Pong):
            mark = self.configuration_feed.get_freshness()
            return msgspec.structs.replace(reply, configuration=mark)
        return reply

    async def _listen(self):
        settings = self.settings
        await self._open(make_peer_application(self._answer_peer), settings.peer_listen)
        await self._open(
            self._count_requests(self.front.make_application()),
            settings.caller_listen,
        )
        if settings.ready_listen is not None:
            ready = web.Application()
            ready.router.add_get("/metrics", self._answer_metrics)
            ready.router.add_get("/{path:.*}", self._answer_ready)
            await self._open(ready, settings.ready_listen)

    def _count_requests(self, application):
        @web.middleware
        async def count(request, handler):
            self.in_flight += 1
            began_s = time.monotonic()
            status = 500
            try:
                response = await handler(request)
                status = response.status
                return response
            finally:
                self.in_flight -= 1
                passed_s = time.monotonic() - began_s
                self.metrics.note_request(request.method, status, passed_s)

        application.middlewares.append(count)
        return application

    async def _open(self, application, address):
        runner = web.AppRunner(
            application, access_log=None, handle_signals=False, keepalive_timeout=30.0
        )
        await runner.setup()
        site = web.TCPSite(runner, *address, backlog=LISTEN_BACKLOG)
        await site.start()
        self._runners.append(runner)

    async def _write_logs(self):
        left_out = 0
        while True:
            self.log_buffer.flush()
            if self.log_buffer.left_out > left_out:
                lines = self.log_buffer.left_out - left_out
                left_out = self.log_buffer.left_out
                self.log.warning("log lines left out", extra={"lines": lines})
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
        began_s = time.monotonic()
        deadline_s = began_s + self.settings.stop_grace_s - STOP_MARGIN_S
        self.log.info("stopping", extra={"in_flight": self.in_flight})
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(LEAVE_ROTATION_S):
                await self.offices.hand_over()
        leave_s = began_s + LEAVE_ROTATION_S
        while time.monotonic() < deadline_s:
            if time.monotonic() >= leave_s and not self.in_flight:
                break
            await asyncio.sleep(0.05)
        for task in self._tasks:
            task.cancel()
        self.configuration_feed.cancel()
        await self.offices.stop()
        for runner in self._runners:
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(0.5):
                    await runner.cleanup()
        for session in self._sessions:
            await session.close()
        self.log.info("stopped", extra={"after_s": time.monotonic() - began_s})
        self.log_buffer.flush()
