"""Application object, which holds, starts and stops the daemon's parts."""

import asyncio
import contextlib
import random
import signal
from enum import Enum

import aiohttp
import logbook

from fuchsiascale.clock import SystemClock
from fuchsiascale.daemon import _lifecycle
from fuchsiascale.daemon._access import build_client_context, choose_scheme
from fuchsiascale.daemon._leave_detection import (
    LeaveDetectingRunners,
    LeaveDetectingWorkers,
)
from fuchsiascale.daemon._metrics import make_registry
from fuchsiascale.daemon._peers import PeerClient
from fuchsiascale.ingress import GateCollector
from fuchsiascale.platform import (
    HttpInstanceList,
    HttpObjects,
    HttpRunners,
    HttpTables,
    HttpWorkers,
)

__all__ = ["Application", "ApplicationState"]

MAX_CONNECTIONS = 2_048
RUNNER_TIMEOUT_S = 30.0
SKIPPED_HEADERS = ("User-Agent", "Accept", "Accept-Encoding")


class ApplicationState(Enum):
    """States of the daemon between start and exit."""

    STARTING = "starting"
    SERVING = "serving"
    STOPPING = "stopping"


class Application:
    """Holds the daemon's parts, which the life-cycle hooks create.

    Parameters
    ----------
    settings : Settings
        The checked settings of this instance.
    clock : Clock, optional
        Source of time.
    source : random.Random, optional
        Source of randomness.
    """

    def __init__(self, settings, clock=None, source=None):
        self.settings = settings
        self.clock = clock or SystemClock()
        self.random = source or random.Random()
        self.log = logbook.Logger("fuchsiascaled")
        self.state = ApplicationState.STARTING
        self.started_s = self.clock.monotonic()
        self.stop_requested = asyncio.Event()
        self._sessions = []
        self.tables = None
        self.objects = None
        self.instance_list = None
        self.workers = None
        self.runners = None
        self.peers = None
        self.membership = None
        self.membership_driver = None
        self.documents = None
        self.access = None
        self.shards = None
        self.dispatcher = None
        self.request_pipeline = None
        self.forwarded_pipeline = None
        self.claims = None
        self.credits = None
        self.traces = None
        self.registry = make_registry()
        self.failed = False
        self.listeners = []
        self.sockets = []
        self.gates = []
        self.registry.register(GateCollector(self.gates))
        self._background_tasks = []

    def connect(self):
        """Create the clients of the platform, the upstreams and the peers."""
        settings = self.settings
        timeout_s = settings.platform.timeout_ms / 1000
        platform = self._open_session(settings.platform.tls)
        upstreams = self._open_session(settings.upstreams.tls)
        peers = self._open_session(settings.peer.tls)
        self.tables = HttpTables(platform, settings.platform.tables, timeout_s)
        self.objects = HttpObjects(platform, settings.platform.objects, timeout_s)
        self.instance_list = HttpInstanceList(
            platform, settings.platform.instances, timeout_s
        )
        scheme = choose_scheme(settings.upstreams.tls)
        self.workers = LeaveDetectingWorkers(
            HttpWorkers(upstreams, timeout_s, scheme), self.mark_address_leaving
        )
        self.runners = LeaveDetectingRunners(
            HttpRunners(upstreams, RUNNER_TIMEOUT_S, scheme), self.mark_address_leaving
        )
        self.peers = PeerClient(
            peers,
            settings.access.peer_token,
            timeout_s,
            choose_scheme(settings.peer.tls),
        )

    def mark_address_leaving(self, address):
        """Announce that the upstream at an address reported that it is leaving."""
        upstreams = self.membership.view().upstreams
        names = [each.instance_id for each in upstreams if each.address == address]
        self.membership_driver.mark_leaving(names)

    async def disconnect(self):
        """Close the connections of all clients."""
        for session in self._sessions:
            await session.close()
        self._sessions.clear()

    def _open_session(self, tls):
        context = build_client_context(tls)
        connector = aiohttp.TCPConnector(
            limit=MAX_CONNECTIONS,
            limit_per_host=0,
            ssl=True if context is None else context,
        )
        session = aiohttp.ClientSession(
            connector=connector,
            auto_decompress=False,
            skip_auto_headers=SKIPPED_HEADERS,
            cookie_jar=aiohttp.DummyCookieJar(),
        )
        self._sessions.append(session)
        return session

    async def run(self):
        """Start all parts, serve until asked to stop, and stop gracefully."""
        self._watch_signals()
        try:
            await _lifecycle.run_start_hooks(self)
            self._start_periodic_tasks()
            self.state = ApplicationState.SERVING
            self.log.info("serving")
            await self.stop_requested.wait()
        finally:
            self.state = ApplicationState.STOPPING
            self.log.info("stopping")
            await _lifecycle.run_stop_hooks(self)
            self.log.info("stopped")

    @property
    def stopping(self):
        """Whether a graceful stop has begun."""
        return self.stop_requested.is_set()

    def is_ready(self):
        """Return whether the load balancer should send requests here."""
        serving = self.state is ApplicationState.SERVING
        return serving and not self.stopping and self.documents.ready()

    def report_refusal(self, listener):
        """Log a call that was refused because it carried no valid token."""
        self.log.warning("refused a call without a valid token at {}", listener)

    def request_stop(self):
        """Request a graceful stop; further calls have no effect."""
        self.stop_requested.set()

    async def cancel_background_tasks(self):
        """Cancel all background tasks and wait until they have ended."""
        for task in self._background_tasks:
            task.cancel()
        await asyncio.gather(*self._background_tasks, return_exceptions=True)
        self._background_tasks.clear()

    def run_in_background(self, coroutine):
        """Run a coroutine in the background until the daemon stops."""
        task = asyncio.create_task(coroutine)
        task.add_done_callback(self._handle_task_end)
        self._background_tasks.append(task)

    def _handle_task_end(self, task):
        """Stop the daemon when a background task fails, as it can't work without it."""
        if task.cancelled() or task.exception() is None:
            return
        error = task.exception()
        self.log.critical("background task failed: {!r}", error, exc_info=error)
        self.failed = True
        self.request_stop()

    def _watch_signals(self):
        loop = asyncio.get_running_loop()
        for number in (signal.SIGTERM, signal.SIGINT):
            with contextlib.suppress(NotImplementedError):
                loop.add_signal_handler(number, self.request_stop)

    def _start_periodic_tasks(self):
        for entry in _lifecycle.PERIODIC_TASKS:
            self.run_in_background(_lifecycle.run_periodic_task(self, entry))
