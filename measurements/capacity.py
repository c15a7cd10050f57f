"""Computes each role's cost at three deployment sizes from freshly measured slopes.

Usage: ``python -m measurements.capacity`` prints the tables of docs/CAPACITY.md.
"""

import msgspec

from measurements._slopes import HTTP_BYTES
from measurements.slopes import measure_all

__all__ = ["DeploymentSize", "compute_rows", "main"]

EXCHANGE_INTERVAL_S = 5.0
BUSY_EXCHANGE_INTERVAL_S = 1.0
HEARTBEAT_INTERVAL_S = 2.0
LIST_POLL_INTERVAL_S = 2.0
HEAD_POLL_INTERVAL_S = 2.0
SCAN_INTERVAL_S = 10.0
CREDIT_INTERVAL_S = 5.0
LATENCY_REPORT_INTERVAL_S = 5.0
RECORD_INTERVAL_S = 2.0
SLOW_RECORD_INTERVAL_S = 5.0
LIVE_CHUNKS_PER_SHARD = 2.0
USUAL_LOAD_FRACTION = 0.25
TASKS_PER_CHUNK = 256
BACKLOG_DURATION_S = 600.0
LIST_ENTRY_BYTES = 260
STORE_ROWS_PER_S = 300.0
MEGABYTE = 1e6
DAY_S = 86_400.0


class DeploymentSize(msgspec.Struct, frozen=True, kw_only=True):
    """Size of a deployment.

    Parameters
    ----------
    instances : int
        Number of entry instances in all failure domains.
    starts_per_s : float
        Task starts per second at peak load.
    """

    name: str
    domains: int
    instances: int
    workers: int
    racks: int
    runners: int
    batch_tasks: int
    starts_per_s: float
    jobs_per_day: float
    changes_per_day: float
    sections: int

    @property
    def workers_per_instance(self):
        """Workers per owning instance."""
        return self.workers / self.instances

    @property
    def attempts_per_worker(self):
        """Running attempts per worker."""
        return self.batch_tasks / self.workers

    @property
    def shards_per_instance(self):
        """Shards per owning instance."""
        return self.racks / self.instances

    @property
    def list_entries(self):
        """Number of entries in the whole instance list."""
        return self.workers + self.runners + self.instances


SIZES = (
    DeploymentSize(
        name="Consórcio",
        domains=3,
        instances=6,
        workers=33,
        racks=3,
        runners=33,
        batch_tasks=194,
        starts_per_s=12.5,
        jobs_per_day=285,
        changes_per_day=23,
        sections=50,
    ),
    DeploymentSize(
        name="Guild",
        domains=3,
        instances=6,
        workers=24,
        racks=3,
        runners=24,
        batch_tasks=141,
        starts_per_s=9.1,
        jobs_per_day=207,
        changes_per_day=17,
        sections=40,
    ),
    DeploymentSize(
        name="design",
        domains=31,
        instances=248,
        workers=29_000,
        racks=879,
        runners=180_000,
        batch_tasks=170_000,
        starts_per_s=11_000.0,
        jobs_per_day=250_000.0,
        changes_per_day=20_000.0,
        sections=2_000,
    ),
)


def compute_owner_rows(size, slopes):
    """Yield the rows of the shard owner, for one instance."""
    idle_exchanges_per_s = size.workers_per_instance / EXCHANGE_INTERVAL_S
    busy_exchanges_per_s = size.workers_per_instance / BUSY_EXCHANGE_INTERVAL_S
    exchange_bytes = slopes["exchange_bytes"].predict(size.attempts_per_worker)
    call_us = slopes["http_cpu"].base + slopes["exchange_cpu"].predict(
        size.attempts_per_worker
    )
    starts_per_s = size.starts_per_s / size.instances
    state_bytes = slopes["policy_memory"].predict(size.workers_per_instance)
    attempts = size.workers_per_instance * size.attempts_per_worker
    state_bytes += attempts * slopes["attempt_memory"].per_unit
    waiting_tasks = starts_per_s * BACKLOG_DURATION_S
    state_bytes += waiting_tasks * slopes["chunk_memory"].per_unit
    start_us = slopes["round_cpu"].per_unit + slopes["chunk_cpu"].per_unit
    yield "owner: workers, an instance", size.workers_per_instance
    yield "owner: exchanges/s at rest", idle_exchanges_per_s
    yield "owner: bytes/s at rest", idle_exchanges_per_s * exchange_bytes
    yield "owner: core at rest, %", idle_exchanges_per_s * call_us / 1e4
    yield "owner: exchanges/s at the peak", busy_exchanges_per_s
    yield "owner: bytes/s at the peak", busy_exchanges_per_s * exchange_bytes
    yield (
        "owner: core at the peak, starts included, %",
        (busy_exchanges_per_s * call_us + starts_per_s * start_us) / 1e4,
    )
    yield "owner: state, MB, with 10 minutes of waiting tasks", state_bytes / MEGABYTE


def compute_worker_rows(size, slopes):
    """Yield the rows of the exchange on the worker's side, for one worker."""
    exchange_bytes = slopes["exchange_bytes"].predict(size.attempts_per_worker)
    yield "worker side: bytes/s at rest", exchange_bytes / EXCHANGE_INTERVAL_S
    yield "worker side: bytes/s at the peak", exchange_bytes / BUSY_EXCHANGE_INTERVAL_S


def compute_membership_rows(size, slopes):
    """Yield the rows of heartbeats and the instance list, for one instance."""
    heartbeat_bytes = slopes["heartbeat_bytes"].predict(size.shards_per_instance)
    yield "membership: bytes/s of heartbeats", heartbeat_bytes / HEARTBEAT_INTERVAL_S
    heartbeat_us = slopes["heartbeat_cpu"].predict(size.instances - 1)
    heartbeat_us += 2 * slopes["http_cpu"].base
    yield "membership: core, %", heartbeat_us / HEARTBEAT_INTERVAL_S / 1e4
    yield "list, whole: bytes a poll", size.list_entries * LIST_ENTRY_BYTES
    yield (
        "list, whole: core, %",
        size.list_entries * slopes["listing_cpu"].per_unit / LIST_POLL_INTERVAL_S / 1e4,
    )
    list_memory_bytes = size.list_entries * slopes["listing_memory"].per_unit
    yield "list, whole: MB, two copies during a poll", 2 * list_memory_bytes / MEGABYTE
    own_entries = size.list_entries / size.domains
    yield "list, own domain: bytes a poll", own_entries * LIST_ENTRY_BYTES
    yield (
        "list, own domain: MB, two copies",
        2 * own_entries * slopes["listing_memory"].per_unit / MEGABYTE,
    )


def compute_entry_rows(size, slopes):
    """Yield the rows of the entry role and its credits, for one instance."""
    runners = size.runners / size.domains
    shards = size.racks / size.domains
    runners_per_shard = runners / shards
    credit_bytes_per_s = (
        slopes["credit_bytes"].predict(runners_per_shard) * shards / CREDIT_INTERVAL_S
    )
    yield "entry: admission, µs a request", slopes["admission_cpu"].predict(35)
    yield "entry: runners to choose from", runners
    yield "entry: credit bytes/s, all runners in use", credit_bytes_per_s
    credit_us = (
        slopes["credit_cpu"].predict(runners_per_shard) + 2 * slopes["http_cpu"].base
    )
    yield "entry: core for credits, %", credit_us * shards / CREDIT_INTERVAL_S / 1e4


def compute_document_rows(size, slopes):
    """Yield the rows of the fleet document, for one instance."""
    text_bytes = slopes["document_bytes"].predict(size.sections)
    yield "document: sections", size.sections
    yield "document: bytes of text", text_bytes
    yield "document: MB", slopes["document_memory"].predict(size.sections) / MEGABYTE
    yield (
        "document: whole build, ms",
        slopes["document_cpu"].predict(size.sections) / 1e3,
    )
    yield "document: changes/s", size.changes_per_day / DAY_S


def compute_store_rows(size, slopes):
    """Yield the load on the store, for the whole fleet.

    It covers a usual day, peak load, the loss of a domain and the end of an outage.
    """
    jobs_per_s = size.jobs_per_day / DAY_S
    ends_per_s = size.starts_per_s
    chunks_per_s = ends_per_s / TASKS_PER_CHUNK
    scans_per_s = size.racks / SCAN_INTERVAL_S
    head_polls_per_s = size.instances / HEAD_POLL_INTERVAL_S
    waiting_chunks = size.starts_per_s * BACKLOG_DURATION_S / TASKS_PER_CHUNK
    open_chunks_per_domain = waiting_chunks / size.domains
    yield "store: reads/s, usual day", scans_per_s + head_polls_per_s + jobs_per_s
    yield (
        "store: reads/s, peak",
        scans_per_s + head_polls_per_s + chunks_per_s + jobs_per_s,
    )
    live_chunks = size.racks * LIVE_CHUNKS_PER_SHARD
    usual_rows_per_s = min(
        ends_per_s * USUAL_LOAD_FRACTION, live_chunks / RECORD_INTERVAL_S
    )
    yield "store: rows written/s, usual day", jobs_per_s * 3 + usual_rows_per_s
    yield "store: rows written/s, peak, each end by itself", jobs_per_s * 3 + ends_per_s
    peak_rows_per_s = min(ends_per_s, live_chunks / RECORD_INTERVAL_S)
    yield (
        "store: rows written/s, peak, a chunk each 2 s",
        jobs_per_s * 3 + peak_rows_per_s,
    )
    slow_rows_per_s = min(ends_per_s, live_chunks / SLOW_RECORD_INTERVAL_S)
    yield (
        "store: rows written/s, peak, a chunk each 5 s",
        jobs_per_s * 3 + slow_rows_per_s,
    )
    transactions_per_s = min(peak_rows_per_s, size.instances / RECORD_INTERVAL_S)
    yield (
        "store: transactions/s, peak, one an instance each 2 s",
        jobs_per_s + transactions_per_s,
    )
    yield "store: rows to move, a domain lost", 3 * open_chunks_per_domain
    yield "store: s to move them", 3 * open_chunks_per_domain / STORE_ROWS_PER_S
    yield "store: rows to write after an hour's outage", waiting_chunks
    yield "store: s to catch up", waiting_chunks / STORE_ROWS_PER_S
    yield (
        "store: MB to catch up",
        waiting_chunks * slopes["chunk_bytes"].predict(256) / MEGABYTE,
    )


ROLES = (
    compute_entry_rows,
    compute_owner_rows,
    compute_worker_rows,
    compute_membership_rows,
    compute_document_rows,
    compute_store_rows,
)


def compute_rows(slopes):
    """Return the rows of all roles: the name and the figure at each size."""
    rows = []
    for role in ROLES:
        columns = [list(role(size, slopes)) for size in SIZES]
        for cells in zip(*columns, strict=True):
            rows.append((cells[0][0], [value for _, value in cells]))
    return rows


def _format(value):
    return f"{value:,.0f}" if abs(value) >= 100 else f"{value:.3g}"


def main():
    """Measure the slopes and print the table."""
    names = " | ".join(size.name for size in SIZES)
    print(f"| figure | {names} |\n|---|{'---|' * len(SIZES)}")
    for name, values in compute_rows(measure_all()):
        shown = " | ".join(_format(value) for value in values)
        print(f"| {name} | {shown} |")
    print(f"\nHTTP heads of {HTTP_BYTES} bytes a message are counted in.")


if __name__ == "__main__":
    main()
