"""Processes of the system, started with the command of the deploy file."""

import asyncio
import os
import shlex
import signal
import subprocess
import tempfile
import tomllib
from pathlib import Path

import aiohttp

from review.harness._runner import HOLD_MAX_MS
from review.harness._site import find_ports

__all__ = ["Node", "Nodes"]

ROOT = Path(__file__).resolve().parents[2]
READY_TIMEOUT_S = 30.0
PASSED_ON = ("PATH", "HOME", "LANG")
"""Variables that the processes take over, as on the platform."""


def read_command():
    """Return the command that the deploy file gives for its role."""
    deploy = tomllib.loads((ROOT / "deploy" / "system.toml").read_text())
    return shlex.split(deploy["roles"]["entry"]["run"])


class Node:
    """One process of the system, on a loopback address of its own."""

    def __init__(self, number, ports, folder, record):
        self.name = f"front-a-{number + 1}"
        self.host = f"127.0.0.{number + 2}"
        self.front, self.ready, self.control = (f"{self.host}:{p}" for p in ports)
        self.record = record
        self.process = None
        self.settings = Path(folder, f"{self.name}.conf")
        self.log_path = Path(folder, f"{self.name}.log")

    def write_settings(self, store, seeds, internal_ports, hold_max_ms=HOLD_MAX_MS):
        """Write the settings file."""
        lines = {
            "node_name": self.name,
            "role": "entry",
            "machine_class": "front",
            "serves": "front,control",
            "bind_ip": self.host,
            "zone": "a",
            "region": "north",
            "zones.a": "north",
            "listen.front": self.front,
            "listen.ready": self.ready,
            "listen.control": self.control,
            "internal_ports": internal_ports,
            "seeds": seeds,
            "bootstrap": "true",
            "loss_counts": "false",
            "limits.cpu_share": "0.537",
            "limits.cpu_cores": "2",
            "limits.memory_mb": "300",
            "limits.max_fds": "4100",
            "limits.link_mbps": "1000.0",
            "limits.disk_mb": "0",
            "discovery": "platform",
            "entry": "vip",
            "heartbeat_ms": "1500",
            "tolerate.machines": "2",
            "tolerate.zones": "0",
            "tolerate.regions": "0",
            "bounds.contact_ms": "3000",
            "bounds.ack_ms": "4000",
            "bounds.drain_ms": "2500",
            "bounds.grace_s": "6",
            "bounds.config_apply_ms": "2500",
            "bounds.hold_max_ms": str(hold_max_ms),
            "bounds.stop_ms": "900",
            "bounds.cancel_ms": "3000",
            "bounds.visible_ms": "3000",
            "bounds.finish_s": "14",
            "bounds.status_s": "120",
            "orders": "call",
            "platform.address": store,
            "platform.form": "table",
            "platform.writes_per_s": "800",
            "platform.reads_per_s": "2000",
            "platform.row_bytes": "65536",
            "platform.across": "true",
            "platform.history_s": "20",
        }
        text = "".join(f"{key}={value}\n" for key, value in lines.items())
        self.settings.write_text(text)

    def start(self):
        """Start the process."""
        environment = {
            **{name: os.environ[name] for name in PASSED_ON if name in os.environ},
            "PYTHONPATH": str(ROOT / "target" / "deps"),
            "PYTHONDONTWRITEBYTECODE": "1",
            "FUCHSIASCALE_BOOT": str(self.settings),
        }
        with self.log_path.open("ab") as log:
            self.process = subprocess.Popen(
                read_command(), cwd=ROOT, env=environment, stdout=log, stderr=log
            )
        self.record.note(f"{self.name}: started")

    def send_signal(self, number):
        """Send a signal to the process."""
        self.record.note(f"{self.name}: {signal.Signals(number).name}")
        self.process.send_signal(number)

    def kill(self):
        """Kill the process and wait for its end."""
        self.send_signal(signal.SIGKILL)
        self.process.wait()

    def read_log(self):
        """Return the log lines of the process."""
        return self.log_path.read_text(errors="replace").splitlines()


class Nodes:
    """The processes of a small deployment.

    Parameters
    ----------
    count : int
        Number of processes.
    store : str
        Address of the platform's store.
    record : Record
        Where starts and signals are noted.
    """

    def __init__(self, count, store, record):
        self._folder = tempfile.TemporaryDirectory(prefix="review-")
        hosts = [f"127.0.0.{number + 2}" for number in range(count)]
        ports = find_ports(4, hosts)
        self.all = [
            Node(number, ports[:3], self._folder.name, record)
            for number in range(count)
        ]
        seeds = ",".join(node.control for node in self.all[:3])
        for node in self.all:
            node.write_settings(store, seeds, f"{ports[3]},{ports[3] + 15}")

    async def start(self):
        """Start all processes, and wait until all of them are ready."""
        for node in self.all:
            node.start()
        for node in self.all:
            await self.wait_ready(node)

    async def wait_ready(self, node):
        """Wait until a process reports that it is ready."""
        async with aiohttp.ClientSession() as session:
            async with asyncio.timeout(READY_TIMEOUT_S):
                while not await _is_ready(session, node):  # noqa: ASYNC110
                    await asyncio.sleep(0.05)
        node.record.note(f"{node.name}: ready")

    async def find_owner(self, service):
        """Return the process whose log says that it took the service over last."""
        async with asyncio.timeout(READY_TIMEOUT_S):
            while True:
                for node in self.all:
                    lines = [x for x in node.read_log() if "ownership taken" in x]
                    if any(service in line for line in lines):
                        return node
                await asyncio.sleep(0.05)

    def stop(self):
        """Kill the processes that are left, and delete their files."""
        for node in self.all:
            if node.process is not None and node.process.poll() is None:
                node.process.send_signal(signal.SIGCONT)
                node.process.kill()
                node.process.wait()
        self._folder.cleanup()


async def _is_ready(session, node):
    try:
        url = f"http://{node.ready}/fuchsiascale/ready"
        async with session.get(url, timeout=aiohttp.ClientTimeout(1)) as response:
            return response.status == 200
    except (aiohttp.ClientError, TimeoutError, OSError):
        return False
