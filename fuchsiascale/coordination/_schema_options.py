"""Options allowed in each kind of section of the fleet document."""

import msgspec

from fuchsiascale.options import (
    Option,
    choice_option,
    flag_option,
    integer_option,
    name_option,
    number_option,
    parse_sha256,
)
from fuchsiascale.states import Urgency

__all__ = ["MAX_DOCUMENT_BYTES", "OWNER_OPTION", "SECTION_KINDS", "SectionKind"]

MAX_DOCUMENT_BYTES = 16 * 1024 * 1024
MAX_MILLICORES = 10_000_000_000
MAX_MEMORY_MB = 100_000_000_000
MAX_ACCELERATORS = 10_000_000
MAX_MACHINE_MILLICORES = 1_024_000
MAX_MACHINE_MEMORY_MB = 67_108_864
MAX_MACHINE_ACCELERATORS = 64
OWNER_OPTION = "team"


class SectionKind(msgspec.Struct, frozen=True, kw_only=True):
    """Definition of a kind of section.

    Parameters
    ----------
    named : bool
        Whether the kind is followed by the name of an item.
    teams_can_create : bool
        Whether any team may create such sections, rather than only the admin team.
    meaning : str
        What the section describes, for the reference documentation.
    """

    options: tuple[Option, ...]
    named: bool = True
    teams_can_create: bool = False
    meaning: str


def _resources(prefix, of, millicores, memory_mb, accelerators):
    return (
        integer_option(
            f"{prefix}millicores", 0, 0, millicores, "1/1000 core", f"Processors {of}"
        ),
        integer_option(f"{prefix}memory_mb", 0, 0, memory_mb, "MB", f"Memory {of}"),
        integer_option(
            f"{prefix}accelerators", 0, 0, accelerators, "", f"Accelerators {of}"
        ),
    )


_MACHINE_SIZES = (
    MAX_MACHINE_MILLICORES,
    MAX_MACHINE_MEMORY_MB,
    MAX_MACHINE_ACCELERATORS,
)

_SERVICE = SectionKind(
    meaning="A latency-critical service, answered by runners",
    teams_can_create=True,
    options=(
        integer_option(
            "slots", 8, 1, 1_024, "", "Requests that a runner answers at once"
        ),
        integer_option(
            "connections", 64, 1, 65_535, "", "Connections that a runner accepts"
        ),
        choice_option(
            "urgency", Urgency.URGENT, "Urgency class of requests that name none"
        ),
        integer_option(
            "deadline_ms",
            2_000,
            1,
            3_600_000,
            "ms",
            "Deadline where a request has none",
        ),
        integer_option(
            "max_body_bytes", 1_048_576, 0, 67_108_864, "bytes", "Longest request body"
        ),
        *_resources("reserve_", "that a runner takes of its worker", *_MACHINE_SIZES),
    ),
)

_KIND = SectionKind(
    meaning="A kind of batch job",
    teams_can_create=True,
    options=(
        choice_option("urgency", Urgency.BATCH, "Urgency class of its jobs"),
        integer_option(
            "max_failures", 3, 1, 100, "", "Failures after which a task is stopped"
        ),
        flag_option("evictable", True, "Whether its tasks may be evicted"),
        flag_option("checkpointable", True, "Whether its tasks can write a checkpoint"),
    ),
)

_TEAM = SectionKind(
    meaning="A team: its share, its quota and its token",
    options=(
        number_option("weight", 1.0, 0.001, 1_000, "Weight of the team's fair share"),
        *_resources(
            "quota_",
            "that its tasks may hold at once; all three 0 for no quota",
            MAX_MILLICORES,
            MAX_MEMORY_MB,
            MAX_ACCELERATORS,
        ),
        Option(
            name="token_sha256",
            convert=parse_sha256,
            default="",
            accepts="64 hexadecimal digits",
            meaning="SHA-256 of the team's token",
        ),
    ),
)

_DOMAIN = SectionKind(
    meaning="A failure domain",
    options=(
        name_option("region", "Region that it belongs to", required=True),
        integer_option(
            "link_bytes_per_s",
            1_875_000,
            0,
            12_500_000_000,
            "bytes/s",
            "Rate of the link to other regions, each way",
        ),
    ),
)

_INSTANCE = SectionKind(
    meaning="A worker or runner of the platform's list",
    options=(
        flag_option("cordoned", False, "Whether it gets no new work"),
        name_option("failure_domain", "Failure domain that it stands in"),
        name_option("rack", "Rack that it stands in"),
        *_resources("", "that it has", *_MACHINE_SIZES),
    ),
)

_POLICY = SectionKind(
    meaning="Weights of what is measured",
    named=False,
    options=(
        number_option("tail_latency_weight", 1.0, 0, 100, "Weight of tail latency"),
        number_option("throughput_weight", 1.0, 0, 100, "Weight of batch throughput"),
        number_option("eviction_weight", 1.0, 0, 100, "Weight of evictions"),
        number_option("urgent_floor", 0.2, 0, 1, "Share kept for the urgent class"),
        number_option("normal_floor", 0.1, 0, 1, "Share kept for the normal class"),
        number_option("batch_floor", 0.1, 0, 1, "Share kept for the batch class"),
        number_option("retry_budget", 0.1, 0, 1, "Retries per fresh request"),
    ),
)

SECTION_KINDS = {
    "service": _SERVICE,
    "kind": _KIND,
    "team": _TEAM,
    "domain": _DOMAIN,
    "instance": _INSTANCE,
    "policy": _POLICY,
}
