"""Processes of the system and runners whose connections go through the relay."""

import asyncio
import json
import os
import signal
import struct
import subprocess
import sys
from pathlib import Path

from aiohttp import web

from review.harness import Node, Nodes, Runner, find_ports
from review.harness._nodes import PASSED_ON, ROOT, read_command

__all__ = [
    "DOMAINS",
    "EVACUATION_BOUND_S",
    "LINK_MBPS",
    "RUNNER_CPU",
    "Processes",
    "ZonedRunner",
]

DOMAINS = "abc"
"""Names of the failure domains."""
HOLD_MAX_MS = 10_000
"""Longest lease of a worker, as on most deployments; owners grant 6 s.

A worker that has restarted takes its longest lease from a call to the life before,
whose clock was ahead. Its tasks then run for longer than owners grant.
"""
RUNNER_CPU = 8_000
"""Capacity of a worker, in thousandths of a core, unless a pattern has its own."""
LINK_MBPS = 1000.0
"""Link bandwidth of a process, unless a pattern has its own."""
EVACUATION_BOUND_S = 5.0
"""Time after which an evacuated domain must get no new task."""
HOOKS = Path(__file__).resolve().parent / "hooks"
GRACE_S = 6.0
"""Time from SIGTERM to SIGKILL, as on the platform."""
EXIT_POLL_S = 0.05


class RelayedNode(Node):
    """A process whose connections go through the relay."""

    def __init__(self, number, host, ports, folder, relay, record, link_mbps=LINK_MBPS):
        super().__init__(number, ports, folder, record)
        self.host = host
        self.front, self.ready, self.control = (f"{host}:{port}" for port in ports)
        self.domain = DOMAINS[number % len(DOMAINS)]
        self.busy = False
        self._relay = relay
        self._link_mbps = link_mbps
        self._clock = Path(folder, f"{self.name}.clock")
        self.shift_clock(0)
        relay.names[host] = self.name

    def write_settings(self, store, seeds, internal_ports):
        """Write the settings file, with three failure domains."""
        super().write_settings(store, seeds, internal_ports, HOLD_MAX_MS)
        text = self.settings.read_text().replace("zone=a\n", f"zone={self.domain}\n")
        text = text.replace(
            "zones.a=north\n", "zones.a=north\nzones.b=south\nzones.c=north\n"
        )
        text = text.replace("tolerate.zones=0", "tolerate.zones=1")
        text = text.replace(
            f"limits.link_mbps={LINK_MBPS}\n", f"limits.link_mbps={self._link_mbps}\n"
        )
        bound_ms = round(EVACUATION_BOUND_S * 1000)
        self.settings.write_text(f"{text}bounds.evacuate_ms={bound_ms}\n")

    def shift_clock(self, offset_ms):
        """Set how far the time of day of the process is off."""
        self._clock.touch()
        with self._clock.open("r+b") as file:
            file.write(struct.pack("<q", offset_ms))

    def start(self):
        """Start the process."""
        environment = {
            **{name: os.environ[name] for name in PASSED_ON if name in os.environ},
            "PYTHONPATH": f"{HOOKS}:{ROOT}:{ROOT / 'target' / 'deps'}",
            "PYTHONDONTWRITEBYTECODE": "1",
            "FUCHSIASCALE_BOOT": str(self.settings),
            "SOAK_RELAY": self._relay.address,
            "SOAK_NAME": self.name,
            "SOAK_CLOCK": str(self._clock),
        }
        with self.log_path.open("ab") as log:
            self.process = subprocess.Popen(
                # This interpreter has the dependencies where target/deps is missing.
                [sys.executable, *read_command()[1:]],
                cwd=ROOT,
                env=environment,
                stdout=log,
                stderr=log,
            )
        self.record.note(f"{self.name}: started")

    async def end(self, number, grace_s=GRACE_S):
        """Send a signal that ends the process; kill it if that takes too long."""
        self.send_signal(number)
        try:
            async with asyncio.timeout(grace_s):
                while self.process.poll() is None:  # noqa: ASYNC110
                    await asyncio.sleep(EXIT_POLL_S)
        except TimeoutError:
            self.kill()

    def revive(self):
        """Continue a process that is stopped, and start one that has ended."""
        if self.process.poll() is not None:
            self.start()
        else:
            self.process.send_signal(signal.SIGCONT)


class Processes(Nodes):
    """The processes of the system, two in each failure domain.

    Parameters
    ----------
    store : str
        Address of the platform's store.
    network : str
        First three bytes of their loopback addresses.
    folder : Path
        Folder of their settings and logs.
    relay : Relay
        The relay.
    record : Record
        Where starts and signals are noted.
    link_mbps : float
        Link bandwidth of each, from which they compute how many workers an owner calls
        itself.
    """

    def __init__(self, store, network, folder, relay, record, link_mbps=LINK_MBPS):
        count = 2 * len(DOMAINS)
        hosts = [f"{network}.{number + 2}" for number in range(count)]
        ports = find_ports(4, hosts)
        self.all = [
            RelayedNode(
                number, host, ports[:3], folder, relay, record, link_mbps=link_mbps
            )
            for number, host in enumerate(hosts)
        ]
        seeds = ",".join(node.control for node in self.all[:3])
        for node in self.all:
            node.write_settings(store, seeds, f"{ports[3]},{ports[3] + 15}")

    def list_takeovers(self, service="pool"):
        """Return the tokens of a service with their owners, from the logs."""
        found = []
        for node in self.all:
            lines = [x for x in node.read_log() if '"ownership taken"' in x]
            entries = [json.loads(line) for line in lines]
            found += [
                (entry["token"], node)
                for entry in entries
                if entry["service"] == service
            ]
        return sorted(found, key=lambda each: each[0])

    def stop(self):
        """Kill the processes that are left."""
        for node in self.all:
            if node.process is not None and node.process.poll() is None:
                node.process.kill()
                node.process.wait()


class ZonedRunner(Runner):
    """A runner that is listed in a failure domain."""

    def __init__(self, name, service, record, domain, cpu=RUNNER_CPU):
        labels = "a", f"r{name}"
        super().__init__(name, service, record, cpu, labels, HOLD_MAX_MS)
        self.domain = domain
        self.busy = False
        self._kept = set()

    def entry(self):
        """Return the runner's entry in the platform's list."""
        return {**super().entry(), "zone": self.domain}

    def crash(self, keeps_connections=False):
        """Lose power; a proxy may keep the connections open for the next life."""
        if not keeps_connections:
            super().crash()
            return
        self.record.note(f"{self.name}: lost power, connections kept")
        self.life.end()
        self._kept.add(self.life)

    async def _handle(self, request):
        """Answer a request; one to a life that has ended does nothing."""
        await request.read()
        life, answer = self.life, web.Response(status=503)
        if life.up:
            answer = await super()._handle(request)
        if life in self._kept and request.transport is not None:
            request.transport.abort()
        return answer
