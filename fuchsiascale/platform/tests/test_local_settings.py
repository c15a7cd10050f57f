"""Tests of reading the settings file, with a table of its faults."""

from returns.result import Failure, Success

from fuchsiascale.ingress import IngressSettings
from fuchsiascale.platform.user_platform import parse_settings, read_local_settings
from fuchsiascale.testing import collect_functions

load_tests = collect_functions(__name__)

GOOD = """\
node_name=front-a-1
zone=a
region=r
listen.front=10.0.0.1:80
listen.ready=10.0.0.1:81
listen.control=10.0.0.1:82
seeds=10.0.0.1:82,10.0.0.2:82
platform.address=10.9.0.1:90
bounds.hold_max_ms=10000
limits.cpu_share=0.5
limits.cpu_cores=2
something.new=7
"""

# replaced text and replacement, start of the reported problem
FAULTS = (
    (("zone=a\n", ""), "zone: missing"),
    (("platform.address=10.9.0.1:90\n", ""), "platform.address: missing"),
    (("listen.front=10.0.0.1:80", "listen.front=80"), "listen.front: '80' is not"),
    (("listen.ready=10.0.0.1:81", "listen.ready=x:y"), "listen.ready: 'x:y' is not"),
    (("hold_max_ms=10000", "hold_max_ms=long"), "bounds.hold_max_ms: 'long' is not"),
    (("something.new=7", "bounds.evacuate_ms=x"), "bounds.evacuate_ms: 'x' is not"),
    (("region=r", "region"), "line 3: no '='"),
    (("something.new=7", "ingress.max_head_bytes=9"), "ingress.max_head_bytes: 9 is"),
    (("something.new=7", "ingress.connections=many"), "ingress.connections: 'many'"),
    (("something.new=7", "ingress.memory_mb=inf"), "ingress.memory_mb: inf is not"),
)


def test_a_valid_file_is_read_and_unknown_keys_are_ignored():
    settings = parse_settings(GOOD).unwrap()
    assert settings.peer_listen == ("10.0.0.1", 82)
    assert settings.longest_lease_s == 10.0
    assert settings.cores == 1.0
    assert not settings.joins_partitions
    assert parse_settings(GOOD + "platform.across=true\n").unwrap().joins_partitions
    assert settings.store_address == "10.9.0.1:90"


def test_evacuations_are_read_only_where_their_bound_is_set():
    assert parse_settings(GOOD).unwrap().evacuation_bound_s is None
    settings = parse_settings(GOOD + "bounds.evacuate_ms=5000\n").unwrap()
    assert settings.evacuation_bound_s == 5.0


def test_the_remote_factor_is_one_where_no_settings_state_it():
    """A factor below 1 would make tasks prefer workers away from their data."""
    assert parse_settings(GOOD).unwrap().remote_factor == 1.0
    for text, factor in (("1.5", 1.5), ("3", 3.0), ("0.5", 1.0), ("nan", 1.0)):
        settings = parse_settings(GOOD + f"bounds.remote_factor={text}\n").unwrap()
        assert settings.remote_factor == factor


def test_limits_for_callers_have_defaults_and_keys_of_their_own():
    settings = parse_settings(GOOD).unwrap()
    assert settings.ingress == IngressSettings()
    text = "limits.memory_mb=0\nlimits.max_fds=nan\ningress.new=1\n"
    settings = parse_settings(GOOD + text).unwrap()
    assert (settings.memory_mb, settings.max_fds) == (512, 4_096)
    text = "limits.memory_mb=200\ningress.connections=70\ningress.memory_mb=12.5\n"
    settings = parse_settings(GOOD + text).unwrap()
    assert settings.memory_mb == 200
    assert settings.ingress == IngressSettings(connections=70, memory_mb=12.5)


def test_each_fault_is_reported_with_its_key():
    for (old, new), problem in FAULTS:
        found = parse_settings(GOOD.replace(old, new))
        assert isinstance(found, Failure), problem
        assert any(each.startswith(problem) for each in found.failure()), problem


def test_the_readiness_listener_is_optional():
    found = parse_settings(GOOD.replace("listen.ready=10.0.0.1:81\n", ""))
    assert isinstance(found, Success)


def test_a_missing_file_is_reported():
    assert isinstance(read_local_settings("/nowhere/at/all"), Failure)
