"""Starts the system's processes as the deploy file says, and the platform beside."""

import json
import os
import random
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time
import tomllib
from pathlib import Path

__all__ = ["HOST_NAME", "Record", "Stage", "find_ports"]

ROOT = Path(__file__).resolve().parents[2]
HOST_NAME = "caller.example"
PASSED_ON = ("PATH", "HOME", "LANG")
PORTS_NEEDED = 24


def find_ports(count=PORTS_NEEDED):
    """Return free consecutive ports on all loopback addresses that are used."""
    slots = list(range(21_000, 29_000, count))
    # At random, as another case may have found the same ones and not taken them yet.
    random.shuffle(slots)
    for first in slots:
        try:
            for port in range(first, first + count):
                for host in ("127.0.0.1", "127.0.0.2"):
                    with socket.socket() as each:
                        each.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
                        each.bind((host, port))
        except OSError:
            continue
        return first
    raise RuntimeError("no free ports")


class Record:
    """Lines with the time since the start of the case, written to a file."""

    def __init__(self, path):
        self._path = Path(path)
        self._path.write_text("", encoding="utf-8")
        self._began_s = time.monotonic()

    def now_s(self):
        """Return the time since the start of the case."""
        return time.monotonic() - self._began_s

    def note(self, text):
        """Write a line."""
        with self._path.open("a", encoding="utf-8") as file:
            file.write(f"{self.now_s():8.3f} {text}\n")


class Stage:
    """A store, workers and instances of the system, on loopback addresses.

    Parameters
    ----------
    record : Record
        Where starts and ends are noted.
    instances : int
        Number of instances.
    workers : int
        Number of workers.
    memory_mb, max_fds : int
        Size of a machine, as in its settings.
    """

    def __init__(self, record, instances=1, workers=4, memory_mb=300, max_fds=4100):
        self.record = record
        self.folder = Path(tempfile.mkdtemp(prefix="review-case-"))
        self.first_port = find_ports()
        self.store_port = self.first_port + 4
        self.worker_port = self.first_port + 6
        self.hosts = [f"127.0.0.{number + 1}" for number in range(instances)]
        self.memory_mb, self.max_fds = memory_mb, max_fds
        self.worker_count = workers
        self.processes = []
        self.nodes = []
        self.platform = None

    def __enter__(self):
        try:
            self._start()
        except BaseException:
            self.close()
            raise
        return self

    def __exit__(self, *_):
        self.close()

    def _start(self):
        arguments = [self.store_port, self.worker_port, self.worker_count]
        self.platform = subprocess.Popen(
            [sys.executable, "-m", "review.harness2.platform", *map(str, arguments)],
            cwd=ROOT,
            env=self._make_environment(f"{ROOT}:{ROOT / 'target' / 'deps'}"),
            stdin=subprocess.PIPE,
            stdout=subprocess.PIPE,
            text=True,
        )
        self.processes.append(self.platform)
        if self.platform.stdout.readline().strip() != "ready":
            raise RuntimeError("the platform did not start")
        for number in range(len(self.hosts)):
            self.nodes.append(self._start_node(number))

    def _make_environment(self, path):
        environment = {x: os.environ[x] for x in PASSED_ON if x in os.environ}
        return {**environment, "PYTHONPATH": path, "PYTHONDONTWRITEBYTECODE": "1"}

    def _start_node(self, number):
        deploy = tomllib.loads((ROOT / "deploy" / "system.toml").read_text())
        words = deploy["roles"]["entry"]["run"].split()
        settings = self.folder / f"node-{number}.conf"
        settings.write_text(self._make_settings(number))
        environment = self._make_environment(str(ROOT / "target" / "deps"))
        log = (self.folder / f"node-{number}.log").open("ab")
        node = subprocess.Popen(
            [sys.executable, *words[1:]],
            cwd=ROOT,
            env={**environment, "FUCHSIASCALE_BOOT": str(settings)},
            stdout=log,
            stderr=log,
        )
        self.processes.append(node)
        return node

    def _make_settings(self, number):
        host, port = self.hosts[number], self.first_port
        seeds = ",".join(f"{each}:{port + 2}" for each in self.hosts[:3])
        return "\n".join(
            (
                f"node_name=front-a-{number + 1}",
                "role=entry",
                "zone=a",
                "region=north",
                "zones.a=north",
                f"bind_ip={host}",
                f"listen.front={host}:{port}",
                f"listen.ready={host}:{port + 1}",
                f"listen.control={host}:{port + 2}",
                f"seeds={seeds}",
                "bootstrap=true",
                "limits.cpu_share=0.537",
                "limits.cpu_cores=2",
                f"limits.memory_mb={self.memory_mb}",
                f"limits.max_fds={self.max_fds}",
                "limits.link_mbps=1000.0",
                "heartbeat_ms=1100",
                "bounds.contact_ms=3000",
                "bounds.grace_s=6",
                "bounds.hold_max_ms=6000",
                "bounds.max_stretch_ms=5000",
                "bounds.remote_factor=2",
                f"platform.address=127.0.0.1:{self.store_port}",
                "platform.row_bytes=65536",
                "platform.across=true",
                "",
            )
        )

    def restart_node(self, number):
        """Start an instance again that has ended."""
        self.nodes[number] = self._start_node(number)

    def front(self, number=0):
        """Return host and port at which callers reach an instance."""
        return self.hosts[number], self.first_port

    def ready(self, number=0):
        """Return host and port of an instance's readiness."""
        return self.hosts[number], self.first_port + 1

    def tell_platform(self, operation, **arguments):
        """Send a command to the platform; return its answer (see `platform`)."""
        command = json.dumps({"op": operation, **arguments})
        self.platform.stdin.write(f"{command}\n")
        self.platform.stdin.flush()
        return json.loads(self.platform.stdout.readline())

    def list_starts(self, job):
        """Return the starts of a job's tasks: worker, task, number and token."""
        return [
            [name, *start]
            for name, starts in self.tell_platform("starts").items()
            for start in starts
            if start[0].startswith(f"{job}.")
        ]

    def find_owner(self):
        """Return the number of the instance that took the service over last."""
        taken = []
        for number in range(len(self.hosts)):
            text = (self.folder / f"node-{number}.log").read_text()
            lines = [json.loads(x) for x in text.splitlines() if "ownership taken" in x]
            taken += [(line["time"], number) for line in lines]
        return max(taken)[1]

    def close(self):
        """End all processes that were started, and remove their files."""
        for process in self.processes:
            if process.poll() is None:
                process.send_signal(signal.SIGKILL)
        for process in self.processes:
            process.wait()
        shutil.rmtree(self.folder, ignore_errors=True)
