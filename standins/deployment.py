"""Starts a whole deployment on loopback: stand-ins and daemons, as processes."""

import contextlib
import hashlib
import signal
import socket
import subprocess
import sys
import tempfile
import time
from pathlib import Path

import msgspec

from fuchsiascale.ids import FailureDomainId, RackId, RegionId, ServiceId, WorkerId
from fuchsiascale.platform import ListedInstance, ListedInstances
from fuchsiascale.states import InstanceRole

__all__ = ["Deployment", "Plan", "Site", "pick_port"]

START_TIMEOUT_S = 20.0
STOP_TIMEOUT_S = 20.0
PEER_TOKEN = "peer-token-of-the-stand-ins"
ADMIN_TOKEN = "admin-token-of-the-stand-ins"
LOOPBACK = "127.0.0.1"


class Site(msgspec.Struct, frozen=True, kw_only=True):
    """One failure domain of a planned deployment."""

    failure_domain: FailureDomainId
    region: RegionId
    instances: int = 2
    workers: int = 2
    racks: int = 1


class Plan(msgspec.Struct, frozen=True, kw_only=True):
    """What to start."""

    sites: tuple[Site, ...]
    service: ServiceId = ServiceId("echo")
    service_ms: int = 5
    slots: int = 8
    connections: int = 64
    millicores: int = 4_000
    memory_mb: int = 8_000
    accelerators: int = 0
    fleet: str = ""


DEFAULT_FLEET = """\
[policy]
team = operators

[team operators]
team = operators

[team shop]
team = operators

[service echo]
team = shop
reserve_millicores = 500
reserve_memory_mb = 500

[kind report]
team = shop
"""


def pick_port():
    """Return a loopback TCP port that is free now."""
    with socket.socket() as probe:
        probe.bind((LOOPBACK, 0))
        return probe.getsockname()[1]


def pick_address():
    """Return a free loopback address as ``host:port``."""
    return f"{LOOPBACK}:{pick_port()}"


class Deployment(contextlib.AbstractContextManager):
    """Processes of one deployment, stopped at the end of the context.

    Attributes
    ----------
    callers, operators, peers : dict of str to str
        Addresses of the daemons' listeners by instance id.
    controls : dict of str to str
        Control addresses of the stand-ins by name.
    """

    def __init__(self, plan):
        self.plan = plan
        self._folder = tempfile.TemporaryDirectory(prefix="fuchsiascale-")
        self.folder = Path(self._folder.name)
        self.processes = {}
        self.callers, self.operators, self.peers = {}, {}, {}
        self.addresses, self.controls = {}, {}
        self.settings_files = {}
        self._listed = []

    def __enter__(self):
        try:
            self._plan_addresses()
            self._start_platform()
            self._start_upstreams()
            for instance in self.callers:
                self.start_daemon(instance)
        except BaseException:
            self.stop()
            raise
        return self

    def __exit__(self, *exception):
        self.stop()

    def journal(self, name):
        """Return the path of a stand-in's journal."""
        return self.folder / f"{name}.journal"

    def log(self, name):
        """Return the path of a process's output."""
        return self.folder / f"{name}.log"

    def _plan_addresses(self):
        for site in self.plan.sites:
            for number in range(site.instances):
                self._plan_instance(site, f"{site.failure_domain}-e{number}")

    def _plan_instance(self, site, instance):
        self.callers[instance] = pick_address()
        self.operators[instance] = pick_address()
        self.peers[instance] = pick_address()
        self._listed.append(
            ListedInstance(
                instance_id=instance,
                role=InstanceRole.ENTRY,
                address=self.peers[instance],
                failure_domain=site.failure_domain,
                region=site.region,
            )
        )
        self.settings_files[instance] = self._write_settings(site, instance)

    def _write_settings(self, site, instance):
        for name in ("tables", "objects", "listing"):
            self.addresses.setdefault(name, pick_address())
        admin = hashlib.sha256(ADMIN_TOKEN.encode()).hexdigest()
        path = self.folder / f"{instance}.ini"
        path.write_text(
            f"""\
[instance]
id = {instance}
failure_domain = {site.failure_domain}
region = {site.region}

[listen]
caller = {self.callers[instance]}
peer = {self.peers[instance]}
operator = {self.operators[instance]}

[platform]
tables = http://{self.addresses["tables"]}
objects = http://{self.addresses["objects"]}
instances = http://{self.addresses["listing"]}

[access]
peer_token = {PEER_TOKEN}
operator.operators = {admin}
admin = operators
"""
        )
        return path

    def _start_platform(self):
        self._start_standin("tables")
        self._start_standin("objects")

    def _start_upstreams(self):
        for site in self.plan.sites:
            for number in range(site.workers):
                self._start_worker_and_runner(site, number)
        listing = self.folder / "listing.json"
        listing.write_bytes(
            msgspec.json.encode(ListedInstances(instances=tuple(self._listed)))
        )
        self._start_standin("listing", "--listing", str(listing))

    def _start_worker_and_runner(self, site, number):
        plan = self.plan
        worker = f"{site.failure_domain}-w{number}"
        runner = f"{site.failure_domain}-r{number}"
        rack = RackId(f"rack{number % site.racks}")
        self._start_standin(
            "worker",
            *("--worker-id", worker),
            *("--millicores", str(plan.millicores)),
            *("--memory-mb", str(plan.memory_mb)),
            *("--accelerators", str(plan.accelerators)),
            *("--reserved-millicores", "500"),
            *("--reserved-memory-mb", "500"),
            *("--objects", self.addresses["objects"]),
            name=worker,
        )
        self._start_standin(
            "runner",
            *("--runner-id", runner),
            *("--service", plan.service),
            *("--slots", str(plan.slots)),
            *("--connections", str(plan.connections)),
            *("--service-ms", str(plan.service_ms)),
            name=runner,
        )
        for name, role in (
            (worker, InstanceRole.WORKER),
            (runner, InstanceRole.RUNNER),
        ):
            self._listed.append(
                ListedInstance(
                    instance_id=name,
                    role=role,
                    address=self.addresses[name],
                    failure_domain=site.failure_domain,
                    region=site.region,
                    rack=rack,
                    service=plan.service if role is InstanceRole.RUNNER else "",
                    worker=WorkerId(worker),
                )
            )

    def _start_standin(self, module, *arguments, name=None):
        name = name or module
        self.addresses.setdefault(name, pick_address())
        self.controls[name] = pick_address()
        command = [sys.executable, "-m", f"standins.{module}"]
        command += ["--listen", self.addresses[name]]
        command += ["--control", self.controls[name]]
        command += ["--journal", str(self.journal(name))]
        self._start_process(name, [*command, *arguments])

    def start_daemon(self, instance):
        """Start the daemon of an instance; also after it was stopped."""
        command = [sys.executable, "-m", "fuchsiascale.daemon"]
        command += ["--settings", str(self.settings_files[instance])]
        self._start_process(instance, command)

    def _start_process(self, name, command):
        with self.log(name).open("ab") as output:
            self.processes[name] = subprocess.Popen(
                command, stdout=output, stderr=subprocess.STDOUT
            )

    def send_signal(self, name, number):
        """Send a signal to a process by its name."""
        self.processes[name].send_signal(number)

    def wait_until(self, condition, what, timeout_s=START_TIMEOUT_S):
        """Poll a condition; raises TimeoutError that names what was awaited."""
        end = time.monotonic() + timeout_s
        while time.monotonic() < end:
            if condition():
                return
            self._check_processes()
            time.sleep(0.05)
        raise TimeoutError(f"{what}: not within {timeout_s} s")

    def _check_processes(self):
        for name, process in self.processes.items():
            if process.poll() not in (None, 0, -signal.SIGKILL, -signal.SIGTERM):
                tail = self.log(name).read_text()[-2_000:]
                raise RuntimeError(f"{name} exited with {process.returncode}: {tail}")

    def stop(self):
        """Stop the daemons gracefully, then the stand-ins; remove the files."""
        daemons = [name for name in self.callers if name in self.processes]
        self._terminate(daemons)
        self._terminate([name for name in self.processes if name not in daemons])
        self._folder.cleanup()

    def _terminate(self, names):
        for name in names:
            self.processes[name].send_signal(signal.SIGCONT)
            self.processes[name].terminate()
        for name in names:
            try:
                self.processes[name].wait(STOP_TIMEOUT_S)
            except subprocess.TimeoutExpired:
                self.processes[name].kill()
                self.processes[name].wait()
