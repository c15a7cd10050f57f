"""Measures the processor time, memory and bytes of a daemon, idle and under load."""

import time

import msgspec

from fuchsiascale.coordination import JobSpec
from fuchsiascale.platform import Resources
from measurements._processes import read_cpu_s, read_memory_mb, read_socket_bytes
from measurements._report import Report, make_figure, register_measurement
from standins._journal import Event
from standins.callers import call_json
from standins.clients import apply_fleet, is_ready, submit_job
from standins.deployment import DEFAULT_FLEET, Deployment, Plan, Site

MAX_CORE = 0.012
MAX_MEMORY_MB = 128
MAX_BYTES_PER_S = 2_000
SETTLE_S = 12.0
WINDOW_S = 20.0
WORKERS = 4
JOB_TASKS = 4_000
PLAN = Plan(
    sites=(
        Site(failure_domain="norte-porto", region="norte", workers=WORKERS, racks=2),
        Site(failure_domain="sul-faro", region="sul", workers=WORKERS, racks=2),
    ),
)


NOTES = (
    "Missed under load, with the cause found: each exchange brings the worker's whole "
    "inventory, each record of ends the chunk's whole row, and both are HTTP calls of "
    "some 0.3 ms at the client. What is sent follows the tasks that end, not the "
    "nodes. Carrying only changes in both would take most of it away; see "
    "[CAPACITY.md](CAPACITY.md).",
)


class Usage(msgspec.Struct, frozen=True):
    """Resource usage of one daemon, averaged over a window."""

    core: float
    memory_mb: float
    sent_per_s: float
    received_per_s: float
    by_component: dict[str, tuple[float, float]]


def map_ports(deployment):
    """Return the component that each port belongs to."""
    ports = {}
    for address in deployment.peers.values():
        ports[address.rpartition(":")[2]] = "peers"
    for name, address in deployment.addresses.items():
        component = "workers" if "-w" in name else name.partition("-")[0]
        ports[address.rpartition(":")[2]] = component
    return ports


def measure_usage(deployment, pid, window_s):
    """Return the usage of one daemon over a window."""
    ports = map_ports(deployment)
    cpu_s, sockets = read_cpu_s(pid), read_socket_bytes(pid)
    began_s = time.monotonic()
    time.sleep(window_s)
    elapsed_s = time.monotonic() - began_s
    core = (read_cpu_s(pid) - cpu_s) / elapsed_s
    sent = received = 0
    by_component = {}
    for key, (sent_bytes, received_bytes) in read_socket_bytes(pid).items():
        before = sockets.get(key, (0, 0))
        sent += sent_bytes - before[0]
        received += received_bytes - before[1]
        local, remote = (address.rpartition(":")[2] for address in key)
        component = ports.get(remote) or ports.get(local) or "other"
        sums = by_component.get(component, (0.0, 0.0))
        by_component[component] = (
            sums[0] + (sent_bytes - before[0]) / elapsed_s,
            sums[1] + (received_bytes - before[1]) / elapsed_s,
        )
    return Usage(
        core=core,
        memory_mb=read_memory_mb(pid),
        sent_per_s=sent / elapsed_s,
        received_per_s=received / elapsed_s,
        by_component=by_component,
    )


def list_figures(state, usage):
    """Return the figures of a usage, checked against the bounds for a daemon."""
    figures = [
        make_figure(f"{state}: part of a core", usage.core, at_most=MAX_CORE),
        make_figure(f"{state}: memory, MB", usage.memory_mb, at_most=MAX_MEMORY_MB),
        make_figure(
            f"{state}: bytes sent a second", usage.sent_per_s, at_most=MAX_BYTES_PER_S
        ),
        make_figure(
            f"{state}: bytes received a second",
            usage.received_per_s,
            at_most=MAX_BYTES_PER_S,
        ),
    ]
    for component, (sent_per_s, received_per_s) in sorted(usage.by_component.items()):
        figures.append(
            make_figure(f"{state}: bytes sent a second, {component}", sent_per_s)
        )
        figures.append(
            make_figure(
                f"{state}: bytes received a second, {component}", received_per_s
            )
        )
    return figures


def count_starts(deployment, since_ms):
    """Return the number of attempts that workers started for the measured daemon."""
    instance = next(iter(deployment.callers))
    return sum(
        entry.event is Event.STARTED
        and entry.at_ms >= since_ms
        and instance in entry.token
        for entry in deployment.read_journals()
    )


def start_load(deployment):
    """Submit a job that keeps all workers busy during the window."""
    spec = JobSpec(
        job="load",
        team="shop",
        kind="report",
        tasks=JOB_TASKS,
        demand=Resources(millicores=500, memory_mb=100),
        run_ms=1_000,
    )
    answer = submit_job(next(iter(deployment.callers.values())), spec)
    if answer.status not in (200, 201, 202):
        raise RuntimeError(f"the job was rejected with status {answer.status}")


@register_measurement("control", "Control of a daemon, at rest and under batch load")
def run():
    """Measure one of four daemons, idle and then under load."""
    with Deployment(PLAN) as deployment:
        for address in deployment.callers.values():
            deployment.wait_until(lambda a=address: _is_live(a), f"{address} live")
        apply_fleet(deployment, next(iter(deployment.operators)), DEFAULT_FLEET)
        for address in deployment.callers.values():
            deployment.wait_until(lambda a=address: is_ready(a), f"{address} ready")
        pid = deployment.processes[next(iter(deployment.callers))].pid
        time.sleep(SETTLE_S)
        idle = measure_usage(deployment, pid, WINDOW_S)
        start_load(deployment)
        time.sleep(SETTLE_S / 4)
        began_ms = time.monotonic() * 1_000
        loaded = measure_usage(deployment, pid, WINDOW_S)
        starts = count_starts(deployment, began_ms) / WINDOW_S
    figures = [*list_figures("at rest", idle), *list_figures("under load", loaded)]
    figures.append(make_figure("under load: starts a second by this daemon", starts))
    start_us = (loaded.core - idle.core) / max(0.01, starts) * 1e6
    figures.append(make_figure("under load: µs of processor time a start", start_us))
    return Report(
        baseline="none",
        setting=f"two failure domains of two instances and {WORKERS} workers in two "
        f"racks each; load is a job of {JOB_TASKS:,} tasks of 1 s; {WINDOW_S:.0f} s "
        "each, one daemon, bytes by the kernel's socket counters",
        figures=tuple(figures),
        notes=NOTES,
    )


def _is_live(address):
    try:
        return call_json(address, "GET", "/healthz").status == 200
    except OSError:
        return False
