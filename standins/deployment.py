"""A deployment on loopback: stand-ins and daemons as processes."""

import contextlib
import itertools
import signal
import subprocess
import sys
import tempfile
import time
from pathlib import Path

import msgspec

from fuchsiascale.ids import WorkerId
from fuchsiascale.platform import ListedInstance, ListedInstances
from fuchsiascale.states import InstanceRole, ListedState
from standins._journal import Event, Journal, read_journal
from standins._plans import (
    ADMIN_TOKEN,
    DEFAULT_FLEET,
    PEER_TOKEN,
    Plan,
    Site,
    format_settings,
    name_rack,
)
from standins._server import Faults
from standins.processes import ManagedProcess, find_free_address, post_control
from standins.relay import LinkSettings

__all__ = ["ADMIN_TOKEN", "DEFAULT_FLEET", "PEER_TOKEN", "Deployment", "Plan", "Site"]

START_TIMEOUT_S = 20.0
STOP_TIMEOUT_S = 20.0
POLL_INTERVAL_S = 0.05
MAX_LOG_TAIL_CHARACTERS = 2_000
RESERVED_MILLICORES = 500
RESERVED_MEMORY_MB = 500


class Deployment(contextlib.AbstractContextManager):
    """Processes of one deployment, which are stopped at the end of the context.

    Attributes
    ----------
    callers, operators, peers : dict of str to str
        Addresses of the daemons' listeners by instance id.
    addresses, controls : dict of str to str
        Service and control addresses of the stand-ins by name.
    processes : dict of str to ManagedProcess
        All processes by name.
    """

    def __init__(self, plan):
        self.plan = plan
        self._folder = tempfile.TemporaryDirectory(prefix="fuchsiascale-")
        self.folder = Path(self._folder.name)
        self.processes = {}
        self.callers, self.operators, self.peers = {}, {}, {}
        self.addresses, self.controls = {}, {}
        self.settings_files = {}
        self.listed = {}
        self.events = Journal(str(self.journal("deployment")), "deployment")
        self._sites = {}
        self._relayed_addresses = {}

    def __enter__(self):
        try:
            self._plan_addresses()
            self._start_platform()
            self._start_links()
            self._start_upstreams()
            self._start_listings()
            self._wait_for_standins()
            for instance in self.callers:
                self._write_settings(instance)
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

    def read_journals(self):
        """Return the entries of all stand-ins, ordered by time."""
        paths = sorted(self.folder.glob("*.journal"))
        entries = itertools.chain.from_iterable(map(read_journal, paths))
        return sorted(entries, key=lambda entry: entry.at_ms)

    def log(self, name):
        """Return the path of a process's output."""
        return self.folder / f"{name}.log"

    def site_of(self, name):
        """Return the planned failure domain of an instance or upstream."""
        return self._sites[name]

    def list_names(self, role, failure_domain=None):
        """Return the ids of the listed instances of a role."""
        return [
            name
            for name, entry in self.listed.items()
            if entry.role is role and failure_domain in (None, entry.failure_domain)
        ]

    def set_faults(self, name, **faults):
        """Replace the faults in force at a stand-in."""
        post_control(self.controls[name], "/control/faults", Faults(**faults))

    def set_link(self, name, **settings):
        """Change the settings of a link.

        Parameters
        ----------
        name : str
            ``link-platform-FD``, ``link-FD-FD`` in sorted order, or
            ``link-peer-INSTANCE``.
        **settings
            Fields of :class:`~standins.relay.LinkSettings`.
        """
        post_control(self.controls[name], "/control/link", LinkSettings(**settings))

    def change_list(self, name, **changes):
        """Change one listed instance, such as its state, in every list."""
        entry = msgspec.structs.replace(self.listed[name], **changes)
        self.listed[name] = entry
        self._publish_lists()

    def remove_from_list(self, name):
        """Remove an instance from every list."""
        del self.listed[name]
        self._publish_lists()

    def start_daemon(self, instance):
        """Start the daemon of an instance, also again after it was stopped."""
        command = [sys.executable, "-m", "fuchsiascale.daemon"]
        command += ["--settings", str(self.settings_files[instance])]
        self._start_process(instance, command)

    def restart_standin(self, name):
        """Restart a stand-in with the same arguments and empty state."""
        self.processes[name].start()
        self._wait_listening([name])

    def send_signal(self, name, number):
        """Send a signal to a process."""
        self.processes[name].send_signal(number)

    def kill(self, name):
        """Kill a process."""
        self.processes[name].kill()
        self.events.record(Event.KILLED, about=name)

    def pause(self, name):
        """Suspend a process until it is resumed."""
        self.processes[name].pause()
        self.events.record(Event.PAUSED, about=name)

    def resume(self, name):
        """Resume a paused process."""
        self.events.record(Event.RESUMED, about=name)
        self.processes[name].resume()

    def ask_to_stop(self, name):
        """Request a graceful stop of a process without waiting for it."""
        self.events.record(Event.STOPPING, about=name)
        self.processes[name].ask_to_stop()

    def wait_for_exit(self, name, timeout_s=STOP_TIMEOUT_S):
        """Wait for a process to exit; return its exit status."""
        return self.processes[name].wait(timeout_s)

    def terminate(self, name, timeout_s=STOP_TIMEOUT_S):
        """Stop a process gracefully; return its exit status."""
        self.ask_to_stop(name)
        return self.wait_for_exit(name, timeout_s)

    def leave(self, name, listed=True, announced=True):
        """Make an upstream leave, in the lists, in its own answers, or in both."""
        self.events.record(Event.LEAVING, about=name)
        if announced:
            self.set_faults(name, leaving=True)
        if listed:
            self.change_list(name, state=ListedState.LEAVING)

    def wait_until(self, condition, what, timeout_s=START_TIMEOUT_S):
        """Poll a condition; raise a TimeoutError that names it if it stays false."""
        deadline_s = time.monotonic() + timeout_s
        while time.monotonic() < deadline_s:
            if condition():
                return
            self._check_processes()
            time.sleep(POLL_INTERVAL_S)
        raise TimeoutError(f"{what}: not within {timeout_s} s")

    def stop(self):
        """Stop the daemons gracefully, then the stand-ins, and remove the files."""
        daemons = [name for name in self.callers if name in self.processes]
        self._terminate(daemons)
        self._terminate([name for name in self.processes if name not in daemons])
        self.events.close()
        self._folder.cleanup()

    def _plan_addresses(self):
        for site in self.plan.sites:
            for number in range(site.instances):
                self._plan_instance(site, f"{site.failure_domain}-e{number}")

    def _plan_instance(self, site, instance):
        self.callers[instance] = find_free_address()
        self.operators[instance] = find_free_address()
        self.peers[instance] = find_free_address()
        advertised = self.peers[instance]
        if self.plan.split:
            advertised = find_free_address()
        self._add_to_list(site, instance, InstanceRole.ENTRY, advertised)

    def _add_to_list(self, site, name, role, address, **fields):
        self._sites[name] = site
        self.listed[name] = ListedInstance(
            instance_id=name,
            role=role,
            address=address,
            failure_domain=site.failure_domain,
            region=site.region,
            **fields,
        )

    def _write_settings(self, instance):
        domain = self._sites[instance].failure_domain
        path = self.folder / f"{instance}.ini"
        path.write_text(
            format_settings(
                self.plan,
                self.listed[instance],
                caller=self.callers[instance],
                peer=self.peers[instance],
                operator=self.operators[instance],
                tables=self._find_address("tables", domain),
                objects=self._find_address("objects", domain),
                instances=self._find_address("listing", domain),
            )
        )
        self.settings_files[instance] = path

    def _find_address(self, name, domain):
        """Return the address at which a failure domain reaches a process."""
        if name == "listing":
            return self.addresses[self._name_listing(domain)]
        direct = self.addresses.get(name) or self.listed[name].address
        return self._relayed_addresses.get((domain, name), direct)

    def _name_listing(self, domain):
        return f"listing-{domain}" if self.plan.links else "listing"

    def _start_platform(self):
        self._start_standin("tables")
        self._start_standin("objects")

    def _start_upstreams(self):
        for site in self.plan.sites:
            for number in range(site.workers):
                self._start_worker(site, number)
                self._start_runner(site, number)

    def _start_worker(self, site, number):
        plan = self.plan
        name = f"{site.failure_domain}-w{number}"
        self._start_standin(
            "worker",
            *("--worker-id", name),
            *("--millicores", str(plan.millicores)),
            *("--memory-mb", str(plan.memory_mb)),
            *("--accelerators", str(plan.accelerators)),
            *("--reserved-millicores", str(RESERVED_MILLICORES)),
            *("--reserved-memory-mb", str(RESERVED_MEMORY_MB)),
            *("--guards", "on" if plan.guards else "off"),
            *("--usage-lag-ms", str(plan.usage_lag_ms)),
            *("--objects", self._find_address("objects", site.failure_domain)),
            name=name,
        )
        self._add_to_list(
            site,
            name,
            InstanceRole.WORKER,
            self.addresses[name],
            rack=name_rack(site, number),
            worker=WorkerId(name),
        )

    def _start_runner(self, site, number):
        plan = self.plan
        name = f"{site.failure_domain}-r{number}"
        self._start_standin(
            "runner",
            *("--runner-id", name),
            *("--service", plan.service),
            *("--slots", str(plan.slots)),
            *("--connections", str(plan.connections)),
            *("--service-ms", str(plan.service_ms)),
            name=name,
        )
        self._add_to_list(
            site,
            name,
            InstanceRole.RUNNER,
            self.addresses[name],
            rack=name_rack(site, number),
            service=plan.service,
            worker=WorkerId(f"{site.failure_domain}-w{number}"),
        )

    def _start_links(self):
        """Start the relays and record the address at which each target is reached."""
        if self.plan.split:
            for name in self.list_names(InstanceRole.ENTRY):
                route = f"{self.listed[name].address}={self.peers[name]}"
                self._start_relay(f"link-peer-{name}", [route])
        if not self.plan.links:
            return
        domains = [site.failure_domain for site in self.plan.sites]
        for domain in domains:
            names = ("tables", "objects")
            routes = [self._add_route(domain, name) for name in names]
            self._start_relay(f"link-platform-{domain}", routes)
        for one, other in itertools.combinations(sorted(domains), 2):
            routes = [
                self._add_route(domain, name)
                for domain, other_domain in ((one, other), (other, one))
                for name in self.list_names(InstanceRole.ENTRY, other_domain)
            ]
            self._start_relay(f"link-{one}-{other}", routes)

    def _add_route(self, domain, name):
        target = self._find_address(name, domain)
        self._relayed_addresses[domain, name] = find_free_address()
        return f"{self._relayed_addresses[domain, name]}={target}"

    def _start_relay(self, name, routes):
        arguments = [part for route in routes for part in ("--route", route)]
        self._start_standin("relay", *arguments, name=name)

    def _start_listings(self):
        for domain in self._list_listing_domains():
            name = self._name_listing(domain)
            path = self.folder / f"{name}.json"
            path.write_bytes(msgspec.json.encode(self._build_list(domain)))
            lag = ("--lag-ms", str(self.plan.list_lag_ms))
            self._start_standin("listing", "--listing", str(path), *lag, name=name)

    def _publish_lists(self):
        for domain in self._list_listing_domains():
            control = self.controls[self._name_listing(domain)]
            post_control(control, "/control/instances", self._build_list(domain))

    def _list_listing_domains(self):
        """Return the failure domains with an instance list of their own."""
        if not self.plan.links:
            return (None,)
        return tuple(site.failure_domain for site in self.plan.sites)

    def _build_list(self, domain):
        """Return the instance list with the addresses that a failure domain uses."""
        return ListedInstances(
            instances=tuple(
                msgspec.structs.replace(
                    entry,
                    address=self._relayed_addresses.get((domain, name), entry.address),
                )
                for name, entry in self.listed.items()
            )
        )

    def _start_standin(self, module, *arguments, name=None):
        name = name or module
        self.addresses.setdefault(name, find_free_address())
        self.controls[name] = find_free_address()
        command = [sys.executable, "-m", f"standins.{module}"]
        command += ["--listen", self.addresses[name]]
        command += ["--control", self.controls[name]]
        command += ["--journal", str(self.journal(name))]
        self._start_process(name, [*command, *arguments])

    def _start_process(self, name, command):
        process = ManagedProcess(name, command, self.log(name))
        process.start()
        self.processes[name] = process

    def _wait_for_standins(self):
        self._wait_listening(tuple(self.controls))

    def _wait_listening(self, names):
        for name in names:
            self.wait_until(
                self.processes[name].is_ready, f"the stand-in {name} listens"
            )

    def _check_processes(self):
        expected = (None, 0, -signal.SIGKILL, -signal.SIGTERM)
        for name, process in self.processes.items():
            if process.poll() not in expected:
                tail = self.log(name).read_text()[-MAX_LOG_TAIL_CHARACTERS:]
                raise RuntimeError(f"{name} exited with {process.poll()}: {tail}")

    def _terminate(self, names):
        for name in names:
            self.processes[name].ask_to_stop()
        for name in names:
            try:
                self.processes[name].wait(STOP_TIMEOUT_S)
            except subprocess.TimeoutExpired:
                self.processes[name].kill()
