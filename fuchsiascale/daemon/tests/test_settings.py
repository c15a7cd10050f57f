"""Tests of the settings file."""

import tempfile
from pathlib import Path

from fuchsiascale.daemon._settings import read_settings
from fuchsiascale.testing import collect_functions, fixture

load_tests = collect_functions(__name__)

VALID = """
[instance]
id = porto-1
failure_domain = norte-porto
region = norte
[listen]
caller = 127.0.0.1:8001
peer = 127.0.0.1:8002
operator = 127.0.0.1:8003
[platform]
tables = http://127.0.0.1:9001
objects = http://127.0.0.1:9002
instances = http://127.0.0.1:9003
[access]
peer_token = between-peers
operator.admin = {digest}
""".format(digest="0" * 64)

FAULTS = (
    ("id = porto-1", "", "instance", "id"),
    ("id = porto-1", "id = porto 1", "instance", "id"),
    ("caller = 127.0.0.1:8001", "caller = hub:8001", "listen", "caller"),
    ("caller = 127.0.0.1:8001", "caller = 127.0.0.1:0", "listen", "caller"),
    ("caller = 127.0.0.1:8001", "caller = 127.0.0.1:8003", "listen", "operator"),
    ("peer = 127.0.0.1:8002", "peer = 0.0.0.0:8002", "listen", "peer"),
    (
        "peer = 127.0.0.1:8002",
        "peer = 127.0.0.1:8002\npeer_advertised = 0.0.0.0:8002",
        "listen",
        "peer_advertised",
    ),
    ("tables = http://", "tables = ftp://", "platform", "tables"),
    ("[platform]", "[platform]\ntimeout_ms = 1.5", "platform", "timeout_ms"),
    ("[platform]", "[platform]\ntimeout_ms = 9", "platform", "timeout_ms"),
    ("[platform]", "[platform]\ntimeouts = 900", "platform", "timeouts"),
    ("[platform]", "[platform]\ntls_key = /absent", "platform", "tls_key"),
    ("operator.admin = 0", "operator.admin = x", "access", "operator.admin"),
    ("operator.admin", "operator.hub", "access", "admin"),
    ("peer_token = between-peers", "", "access", "peer_token"),
    ("[access]", f"[access]\noperator.hub = {'0' * 64}", "access", "operator.admin"),
    ("peer_token = b", "peer_token_file = absent\n; = b", "access", "peer_token_file"),
    ("[access]", "[timers]\nlease_ms = 900\n[access]", "timers", "lease_ms"),
    ("[access]", "[traces]\nexporter = paper\n[access]", "traces", "exporter"),
    ("[access]", "[logs]\nlevel = loud\n[access]", "logs", "level"),
    ("[access]", "[peers]\nseeds = hub:1\n[access]", "peers", "seeds"),
    ("[access]", "[ingress]\nconnections = -1\n[access]", "ingress", "connections"),
    ("[access]", "[peer]\n[access]", "peer", ""),
)


@fixture
def folder():
    with tempfile.TemporaryDirectory() as path:
        yield Path(path)


def read_text(folder, text):
    path = folder / "instance.ini"
    path.write_text(text)
    return read_settings(path)


def test_valid_settings_are_read_with_defaults(folder):
    settings = read_text(folder, VALID).unwrap()
    assert settings.caller.address == "127.0.0.1:8001"
    assert settings.timers.lease_ms == 15_000
    assert settings.access.operators[0].team == "admin"
    assert "between-peers" not in repr(settings)


def test_each_fault_is_named_with_file_section_and_key(folder):
    for old, new, section, key in FAULTS:
        assert old in VALID, old
        problems = read_text(folder, VALID.replace(old, new, 1)).failure()
        locations = {(problem.section, problem.key) for problem in problems}
        assert (section, key) in locations, (new, problems)
        assert all(problem.file.endswith("instance.ini") for problem in problems)


def test_all_faults_are_reported_at_once(folder):
    text = VALID.replace("id = porto-1", "id = porto 1").replace(
        "peer = 127", "peer = x"
    )
    assert len(read_text(folder, text).failure()) == 2


def test_an_absent_or_malformed_file_is_named(folder):
    assert "absent.ini" in str(read_settings(folder / "absent.ini").failure()[0])
    assert "instance.ini" in str(read_text(folder, "[instance").failure()[0])


def test_peers_get_the_advertised_address(folder):
    valid = read_text(folder, VALID).unwrap()
    assert valid.peer_address == valid.peer.address
    text = VALID.replace("peer = 127.0.0.1:8002", "peer = 0.0.0.0:8002").replace(
        "[platform]", "peer_advertised = 10.0.0.7:9002\n[platform]"
    )
    assert read_text(folder, text).unwrap().peer_address == "10.0.0.7:9002"
