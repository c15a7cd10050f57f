"""Works out each role's cost at three sizes from slopes measured in the same run.

Usage: ``python -m measurements.capacity`` prints the tables of docs/CAPACITY.md.
"""

import msgspec

from measurements._slopes import HTTP_BYTES
from measurements.slopes import measure_all

__all__ = ["Size", "compute_rows", "main"]

EXCHANGE_S = 5.0
BUSY_EXCHANGE_S = 1.0
HEARTBEAT_S = 2.0
LIST_POLL_S = 2.0
HEAD_POLL_S = 2.0
SCAN_S = 10.0
CREDIT_S = 5.0
LATENCY_REPORT_S = 5.0
RECORD_S = 2.0
SLOW_RECORD_S = 5.0
LIVE_CHUNKS_A_SHARD = 2.0
USUAL_FRACTION = 0.25
TASKS_A_CHUNK = 256
BACKLOG_S = 600.0
LIST_ENTRY_BYTES = 260
STORE_ROWS_PER_S = 300.0
MEGABYTE = 1e6
DAY_S = 86_400.0


class Size(msgspec.Struct, frozen=True, kw_only=True):
    """A deployment.

    Parameters
    ----------
    instances : int
        Entry instances in all.
    starts_per_s : float
        Task starts a second at the peak.
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
    def workers_each(self):
        """Workers that an instance owns."""
        return self.workers / self.instances

    @property
    def attempts_each(self):
        """Running attempts at a worker."""
        return self.batch_tasks / self.workers

    @property
    def shards_each(self):
        """Shards that an instance owns."""
        return self.racks / self.instances

    @property
    def entries(self):
        """Entries of the whole instance list."""
        return self.workers + self.runners + self.instances


SIZES = (
    Size(
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
    Size(
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
    Size(
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


def compute_owner(size, slopes):
    """Yield the rows of the shard owner, for one instance."""
    rest = size.workers_each / EXCHANGE_S
    busy = size.workers_each / BUSY_EXCHANGE_S
    exchange_bytes = slopes["exchange_bytes"].at(size.attempts_each)
    call_us = slopes["http_cpu"].base + slopes["exchange_cpu"].at(size.attempts_each)
    starts = size.starts_per_s / size.instances
    state = slopes["policy_memory"].at(size.workers_each)
    attempts = size.workers_each * size.attempts_each
    state += attempts * slopes["attempt_memory"].per_unit
    backlog = starts * BACKLOG_S
    state += backlog * slopes["chunk_memory"].per_unit
    start_us = slopes["round_cpu"].per_unit + slopes["chunk_cpu"].per_unit
    yield "owner: workers, an instance", size.workers_each
    yield "owner: exchanges/s at rest", rest
    yield "owner: bytes/s at rest", rest * exchange_bytes
    yield "owner: core at rest, %", rest * call_us / 1e4
    yield "owner: exchanges/s at the peak", busy
    yield "owner: bytes/s at the peak", busy * exchange_bytes
    yield (
        "owner: core at the peak, starts included, %",
        (busy * call_us + starts * start_us) / 1e4,
    )
    yield "owner: state, MB, with 10 minutes of waiting tasks", state / MEGABYTE


def compute_worker(size, slopes):
    """Yield the rows of the exchange at the worker's side, for one worker."""
    exchange_bytes = slopes["exchange_bytes"].at(size.attempts_each)
    yield "worker side: bytes/s at rest", exchange_bytes / EXCHANGE_S
    yield "worker side: bytes/s at the peak", exchange_bytes / BUSY_EXCHANGE_S


def compute_membership(size, slopes):
    """Yield the rows of heartbeats and the instance list, for one instance."""
    beat_bytes = slopes["heartbeat_bytes"].at(size.shards_each)
    yield "membership: bytes/s of heartbeats", beat_bytes / HEARTBEAT_S
    beat_us = slopes["heartbeat_cpu"].at(size.instances - 1)
    beat_us += 2 * slopes["http_cpu"].base
    yield "membership: core, %", beat_us / HEARTBEAT_S / 1e4
    yield "list, whole: bytes a poll", size.entries * LIST_ENTRY_BYTES
    yield (
        "list, whole: core, %",
        size.entries * slopes["listing_cpu"].per_unit / LIST_POLL_S / 1e4,
    )
    held = size.entries * slopes["listing_memory"].per_unit
    yield "list, whole: MB, two copies during a poll", 2 * held / MEGABYTE
    own = size.entries / size.domains
    yield "list, own domain: bytes a poll", own * LIST_ENTRY_BYTES
    yield (
        "list, own domain: MB, two copies",
        2 * own * slopes["listing_memory"].per_unit / MEGABYTE,
    )


def compute_entry(size, slopes):
    """Yield the rows of the entry role and the credits, for one instance."""
    runners = size.runners / size.domains
    shards = size.racks / size.domains
    in_rack = runners / shards
    ask_bytes = slopes["credit_bytes"].at(in_rack) * shards / CREDIT_S
    yield "entry: admission, µs a request", slopes["admission_cpu"].at(35)
    yield "entry: runners to choose from", runners
    yield "entry: credit bytes/s, all runners in use", ask_bytes
    asked_us = slopes["credit_cpu"].at(in_rack) + 2 * slopes["http_cpu"].base
    yield "entry: core for credits, %", asked_us * shards / CREDIT_S / 1e4


def compute_documents(size, slopes):
    """Yield the rows of the document keeper, for one instance."""
    text = slopes["document_bytes"].at(size.sections)
    yield "document: sections", size.sections
    yield "document: bytes of text", text
    yield "document: MB", slopes["document_memory"].at(size.sections) / MEGABYTE
    yield "document: whole build, ms", slopes["document_cpu"].at(size.sections) / 1e3
    yield "document: changes/s", size.changes_per_day / DAY_S


def compute_store(size, slopes):
    """Yield the store's load in four states, for the whole fleet."""
    jobs = size.jobs_per_day / DAY_S
    ends = size.starts_per_s
    chunk_rows = ends / TASKS_A_CHUNK
    scans = size.racks / SCAN_S
    heads = size.instances / HEAD_POLL_S
    waiting = size.starts_per_s * BACKLOG_S / TASKS_A_CHUNK
    open_chunks = waiting / size.domains
    yield "store: reads/s, usual day", scans + heads + jobs
    yield "store: reads/s, peak", scans + heads + chunk_rows + jobs
    live = size.racks * LIVE_CHUNKS_A_SHARD
    usual = min(ends * USUAL_FRACTION, live / RECORD_S)
    yield "store: rows written/s, usual day", jobs * 3 + usual
    yield "store: rows written/s, peak, each end by itself", jobs * 3 + ends
    peak = min(ends, live / RECORD_S)
    yield "store: rows written/s, peak, a chunk each 2 s", jobs * 3 + peak
    slower = min(ends, live / SLOW_RECORD_S)
    yield "store: rows written/s, peak, a chunk each 5 s", jobs * 3 + slower
    calls = min(peak, size.instances / RECORD_S)
    yield "store: transactions/s, peak, one an instance each 2 s", jobs + calls
    yield "store: rows to move, a domain lost", 3 * open_chunks
    yield "store: s to move them", 3 * open_chunks / STORE_ROWS_PER_S
    yield "store: rows to write after an hour's outage", waiting
    yield "store: s to catch up", waiting / STORE_ROWS_PER_S
    yield "store: MB to catch up", waiting * slopes["chunk_bytes"].at(256) / MEGABYTE


ROLES = (
    compute_entry,
    compute_owner,
    compute_worker,
    compute_membership,
    compute_documents,
    compute_store,
)


def compute_rows(slopes):
    """Return the rows of all roles: name, and the figure at each size."""
    rows = []
    for role in ROLES:
        columns = [list(role(size, slopes)) for size in SIZES]
        for cells in zip(*columns, strict=True):
            rows.append((cells[0][0], [value for _, value in cells]))
    return rows


def _format(value):
    return f"{value:,.0f}" if abs(value) >= 100 else f"{value:.3g}"


def main():
    """Print the table."""
    names = " | ".join(size.name for size in SIZES)
    print(f"| figure | {names} |\n|---|{'---|' * len(SIZES)}")
    for name, values in compute_rows(measure_all()):
        shown = " | ".join(_format(value) for value in values)
        print(f"| {name} | {shown} |")
    print(f"\nHTTP heads of {HTTP_BYTES} bytes a message are counted in.")


if __name__ == "__main__":
    main()
