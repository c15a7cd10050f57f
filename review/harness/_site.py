"""The platform of a small deployment: the store, its runners and its operator."""

import socket

from aiohttp import web

from standins.rowstore import RowStoreStandin

__all__ = ["Site", "find_ports"]

HOST = "jobs.example"


def find_ports(count, hosts):
    """Return port numbers that are free on all of some loopback addresses."""
    found = []
    while len(found) < count:
        with socket.socket() as probe:
            probe.bind((hosts[0], 0))
            port = probe.getsockname()[1]
        if port in found or not all(_is_free(host, port) for host in hosts):
            continue
        found.append(port)
    return found


def _is_free(host, port):
    with socket.socket() as probe:
        try:
            probe.bind((host, port))
        except OSError:
            return False
    return True


class Site:
    """The platform's store with the rows of its operator and runners.

    Parameters
    ----------
    record : Record
        Where changes of the configuration are noted.
    """

    def __init__(self, record):
        self.record = record
        self.store = RowStoreStandin()
        self.address = ""
        self.runners = []
        self._web = None

    async def start(self):
        """Start the store."""
        self._web = web.AppRunner(
            self.store.make_application(), access_log=None, shutdown_timeout=0.1
        )
        await self._web.setup()
        site = web.TCPSite(self._web, "127.0.0.1", 0)
        await site.start()
        port = site._server.sockets[0].getsockname()[1]
        self.address = f"127.0.0.1:{port}"

    async def stop(self):
        """Stop the store and the runners."""
        for runner in self.runners:
            await runner.stop()
        await self._web.cleanup()

    async def add_runner(self, runner):
        """Start a runner and list it."""
        await runner.start()
        self.runners.append(runner)
        self.list_runner(runner)

    def list_runner(self, runner):
        """Write the entry of a runner, as at each start of it."""
        self.store.put("servers", "", runner.name, runner.entry())

    def configure(self, version, queues, services):
        """Write a configuration; ``queues`` are fields of routes by prefix."""
        routes = [
            {
                "name": fields.get("name", prefix.strip("/")),
                "host": HOST,
                "prefix": prefix,
                "kind": "non_idempotent",
                "timeout_ms": 3000,
                "target_duration_ms": 1000,
                "priority": 0,
                "max_attempts": 3,
                "stretch": 2.0,
                **fields,
            }
            for prefix, fields in queues.items()
        ]
        listed = [
            {
                "name": name,
                "health_path": "/health",
                "max_conns": 64,
                "protocol": "h1",
                "tls_mode": False,
                "rejects_overload": True,
                "spare": False,
            }
            for name in services
        ]
        limits = {
            "max_header_bytes": 16384,
            "max_body_bytes": 262144,
            "header_timeout_ms": 3000,
            "idle_timeout_ms": 15000,
        }
        value = {
            "version": version,
            "routes": routes,
            "services": listed,
            "limits": limits,
        }
        self.store.put("op", "", "config", value)
        shown = {prefix: fields["service"] for prefix, fields in queues.items()}
        self.record.note(f"operator: configuration {version}, queues {shown}")
