"""Plans of test deployments and the settings files of their daemons."""

import hashlib

import msgspec

from fuchsiascale.ids import FailureDomainId, RackId, RegionId, ServiceId

__all__ = [
    "ADMIN_TOKEN",
    "DEFAULT_FLEET",
    "PEER_TOKEN",
    "Plan",
    "Site",
    "format_settings",
    "name_rack",
]

PEER_TOKEN = "peer-token-of-the-stand-ins"
ADMIN_TOKEN = "admin-token-of-the-stand-ins"

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


class Site(msgspec.Struct, frozen=True, kw_only=True):
    """One failure domain of a planned deployment."""

    failure_domain: FailureDomainId
    region: RegionId
    instances: int = 2
    workers: int = 2
    racks: int = 1


class Plan(msgspec.Struct, frozen=True, kw_only=True):
    """Composition and settings of a deployment.

    Parameters
    ----------
    guards : bool
        Whether workers refuse starts that exceed their capacity.
    links : bool
        Whether relays connect each failure domain to the platform and to each other
        failure domain; each failure domain then has an instance list of its own.
    split : bool
        Whether a relay is placed in front of the peer listener of each instance.
    timers : dict of str to int
        Options of the section ``[timers]`` of the daemons, in milliseconds.
    platform_timeout_ms : int
        Time limit of the platform calls of the daemons, in milliseconds.
    settings : str
        Further sections of the settings of the daemons, as INI text.
    """

    sites: tuple[Site, ...]
    service: ServiceId = ServiceId("echo")
    service_ms: int = 5
    slots: int = 8
    connections: int = 64
    millicores: int = 4_000
    memory_mb: int = 8_000
    accelerators: int = 0
    guards: bool = True
    links: bool = False
    split: bool = False
    list_lag_ms: int = 200
    usage_lag_ms: int = 1_000
    timers: dict[str, int] = {}
    platform_timeout_ms: int = 2_000
    fleet: str = ""
    settings: str = ""


def name_rack(site, number):
    """Return the rack of a worker.

    Parameters
    ----------
    site : Site
        The failure domain.
    number : int
        Number of the worker in the failure domain.

    Returns
    -------
    RackId
        The rack; workers are distributed round-robin.
    """
    return RackId(f"rack{number % site.racks}")


def format_settings(plan, listed, caller, peer, operator, tables, objects, instances):
    """Return the text of a daemon's settings file.

    Parameters
    ----------
    plan : Plan
        Plan that holds the timers, the time limit and further sections.
    listed : ListedInstance
        The entry of the instance in the instance list.
    caller, peer, operator : str
        Addresses of the listeners of the instance, as ``host:port``.
    tables, objects, instances : str
        Addresses of the platform as the instance reaches it, as ``host:port``.

    Returns
    -------
    str
        INI text.
    """
    admin = hashlib.sha256(ADMIN_TOKEN.encode()).hexdigest()
    timers = "\n".join(f"{key} = {ms}" for key, ms in plan.timers.items())
    return f"""\
[instance]
id = {listed.instance_id}
failure_domain = {listed.failure_domain}
region = {listed.region}

[listen]
caller = {caller}
peer = {peer}
peer_advertised = {listed.address}
operator = {operator}

[platform]
tables = http://{tables}
objects = http://{objects}
instances = http://{instances}
timeout_ms = {plan.platform_timeout_ms}

[access]
peer_token = {PEER_TOKEN}
operator.operators = {admin}
admin = operators

[timers]
{timers}

{plan.settings}"""
