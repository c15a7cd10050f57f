"""Limits of a listener, and their defaults from the size of a machine.

Load: a machine of 200 MB and 4,100 descriptors whose callers use up whatever has no
bound. The defaults leave each well-behaved caller far from its limits.
"""

import msgspec

__all__ = [
    "IngressLimits",
    "IngressSettings",
    "LIMIT_RANGES",
    "derive_limits",
    "find_limit_problems",
]

MB = 1_000_000
RESERVED_FDS = 200
"""Descriptors for files."""
MEMORY_SHARE = 0.2
"""Part of a machine's memory for heads and bodies of all listeners."""
CONNECTIONS_PER_MB = 5
"""A connection takes up to 25 KB in the process and 32 KB in the kernel."""
RESERVED_SHARE = 0.25
"""Part of a listener's budget that only small requests may use."""
SMALL_BYTES = 98_304
"""Cost of a request with a head of 16 KB and a body of 24 KB."""
ADDRESS_SHARE = 0.9
"""Part of the connections that one source address may have. Callers behind a balancer
share its address."""


class IngressSettings(msgspec.Struct, frozen=True, kw_only=True):
    """Settings of the limits of a process; None stands for the derived default.

    Parameters
    ----------
    memory_mb : float, optional
        Budget for the heads and bodies of all listeners.
    connections, connections_per_address : int, optional
        Most connections of the callers' listener.
    max_head_bytes : int
        Longest head, with the empty lines before it.
    head_timeout_ms : int
        Time for a head from its first byte to its end.
    idle_timeout_ms : int
        Time that a connection may be open without a request.
    body_grace_ms : int
        Time before the rate of a body is checked.
    min_body_rate : int
        Least average rate of a body after that, in bytes per second.
    """

    memory_mb: float | None = None
    connections: int | None = None
    connections_per_address: int | None = None
    max_head_bytes: int = 20_480
    head_timeout_ms: int = 6_000
    idle_timeout_ms: int = 30_000
    body_grace_ms: int = 5_000
    min_body_rate: int = 32_768


class IngressLimits(msgspec.Struct, frozen=True, kw_only=True):
    """Limits of one listener; see `IngressSettings`."""

    budget_bytes: int
    reserved_bytes: int
    small_bytes: int
    connections: int
    connections_per_address: int
    max_head_bytes: int
    head_timeout_s: float
    idle_timeout_s: float
    body_grace_s: float
    min_body_rate: int
    receive_buffer_bytes: int
    send_buffer_bytes: int


KERNEL_BUFFERS = {
    "caller": (16_384, 16_384),
    "peer": (32_768, 65_536),
    "operator": (16_384, 65_536),
}
"""Sizes of the kernel's buffers of a connection, to receive and to send. The kernel
doubles them. Without a bound they grow to megabytes, which count as memory of the
process. 16 KB in flight carry 21 Mbit/s at a round trip of 6 ms to callers, 32 KB carry
15 Mbit/s at 17 ms between regions."""
SHARES = {"caller": (0.6, 0.3), "peer": (0.35, 0.2), "operator": (0.05, 0.03)}
"""Part of the memory budget and of the descriptors of each listener. A request of a
caller may need a second descriptor, for its call to the store. A deployment of 97
instances has 96 peers with several connections each. The rest is for calls to workers
and peers."""


def derive_limits(settings, memory_mb, max_fds, listener) -> IngressLimits:
    """Return the limits of a listener.

    Parameters
    ----------
    settings : IngressSettings
        The settings.
    memory_mb : float
        Memory of the machine.
    max_fds : int
        Descriptors of the process.
    listener : str
        ``caller``, ``peer`` or ``operator``.

    Examples
    --------
    >>> limits = derive_limits(IngressSettings(), 200, 4_100, "caller")
    >>> limits.budget_bytes, limits.connections, limits.connections_per_address
    (24000000, 1000, 900)
    """
    memory_share, fd_share = SHARES[listener]
    budget_mb = settings.memory_mb
    if budget_mb is None:
        budget_mb = MEMORY_SHARE * memory_mb
    budget = int(memory_share * budget_mb * MB)
    connections = settings.connections if listener == "caller" else None
    if connections is None:
        free_fds = max(0, max_fds - RESERVED_FDS)
        connections = int(min(fd_share * free_fds, CONNECTIONS_PER_MB * memory_mb))
        connections = max(16, connections)
    per_address = settings.connections_per_address if listener == "caller" else None
    if per_address is None:
        per_address = max(16, int(ADDRESS_SHARE * connections))
    receive_buffer, send_buffer = KERNEL_BUFFERS[listener]
    return IngressLimits(
        receive_buffer_bytes=receive_buffer,
        send_buffer_bytes=send_buffer,
        budget_bytes=budget,
        reserved_bytes=int(RESERVED_SHARE * budget),
        small_bytes=SMALL_BYTES,
        connections=connections,
        connections_per_address=min(per_address, connections),
        max_head_bytes=settings.max_head_bytes,
        head_timeout_s=settings.head_timeout_ms / 1000,
        idle_timeout_s=settings.idle_timeout_ms / 1000,
        body_grace_s=settings.body_grace_ms / 1000,
        min_body_rate=settings.min_body_rate,
    )


LIMIT_RANGES = {
    "memory_mb": (1, 1_000_000),
    "connections": (16, 1_000_000),
    "connections_per_address": (1, 1_000_000),
    "max_head_bytes": (1_024, 1_048_576),
    "head_timeout_ms": (500, 600_000),
    "idle_timeout_ms": (500, 3_600_000),
    "body_grace_ms": (500, 600_000),
    "min_body_rate": (0, 1_000_000_000),
}
"""Least and greatest value of each setting."""


def find_limit_problems(settings) -> list[str]:
    """Return a line for each setting that is out of its range.

    Examples
    --------
    >>> find_limit_problems(IngressSettings(max_head_bytes=1))
    ['max_head_bytes: 1 is not from 1024 to 1048576']
    """
    problems = []
    for name, (low, high) in LIMIT_RANGES.items():
        value = getattr(settings, name)
        if value is not None and not low <= value <= high:
            problems.append(f"{name}: {value:g} is not from {low} to {high}")
    return problems
