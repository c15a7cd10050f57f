"""Reads the processor time, memory and socket bytes of running processes."""

import os
import re
import subprocess
from pathlib import Path

import msgspec

__all__ = ["ProcessCost", "read_cpu_s", "read_memory_mb", "read_socket_bytes"]

SS_COMMAND = ("ss", "--tcp", "--info", "--numeric", "--processes", "--no-header")
CLOCK_TICKS = os.sysconf("SC_CLK_TCK")


class ProcessCost(msgspec.Struct, frozen=True):
    """Resources that a process has used so far."""

    cpu_s: float
    memory_mb: float
    sent_bytes: dict[str, int]
    received_bytes: dict[str, int]


def read_cpu_s(pid):
    """Return the processor time of a process so far, in seconds."""
    fields = Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / CLOCK_TICKS


def read_memory_mb(pid):
    """Return the resident memory of a process, in megabytes of 10^6 bytes."""
    status = Path(f"/proc/{pid}/status").read_text()
    return int(re.search(r"VmRSS:\s+(\d+)", status)[1]) * 1024 / 1e6


def read_socket_bytes(pid):
    """Return the bytes that each TCP socket of a process sent and received.

    Parameters
    ----------
    pid : int

    Returns
    -------
    dict of tuple to tuple of int
        Bytes sent and received, by local and remote address.
    """
    output = subprocess.run(SS_COMMAND, capture_output=True, text=True, check=True)
    sockets = {}
    lines = output.stdout.splitlines()
    for head, info in zip(lines[::2], lines[1::2], strict=False):
        if f"pid={pid}," not in head:
            continue
        local, remote = head.split()[3:5]
        sockets[(local, remote)] = (
            _read_counter("bytes_sent", info),
            _read_counter("bytes_received", info),
        )
    return sockets


def _read_counter(name, info):
    found = re.search(rf"\b{name}:(\d+)", info)
    return int(found[1]) if found else 0
