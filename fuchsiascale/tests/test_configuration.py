"""Tests of the configuration reference and of the example documents and settings."""

import re
import shutil
import tempfile
from pathlib import Path

from fuchsiascale.cli._exits import Exit
from fuchsiascale.coordination import build_fleet, check_fleet, parse_fleet
from fuchsiascale.daemon._settings import read_settings
from fuchsiascale.reference import list_tables
from fuchsiascale.testing import collect_functions

load_tests = collect_functions(__name__)

ROOT = Path(__file__).resolve().parents[2]
SIZES = (
    ("consorcio", "aula-hub", 33, 11, 32_000, 125_000),
    ("guild", "drawer-ledger", 24, 8, 16_000, 63_000),
)
REGION_LINK_BYTES_PER_S = 15_000_000 // 8


def read_example(name):
    text = (ROOT / "examples" / name / "fleet.ini").read_text(encoding="utf-8")
    return parse_fleet(text).bind(build_fleet).unwrap()


def test_the_page_contains_exactly_the_tables_of_the_schema():
    page = (ROOT / "docs" / "CONFIGURATION.md").read_text(encoding="utf-8")
    for table in list_tables():
        assert table in page, table
    headings = re.findall(r"^### .*$", page, re.MULTILINE)
    assert headings == [table.splitlines()[0] for table in list_tables()]
    for code in Exit:
        assert f"| {int(code)} | " in page


def test_the_example_documents_are_valid_and_of_the_stated_sizes():
    for name, service, count, rack_size, millicores, memory_mb in SIZES:
        fleet = read_example(name)
        assert check_fleet(fleet) == ()
        assert fleet.services[service].slots == 8
        assert fleet.services[service].connections == 64
        workers = list(fleet.instances.values())
        assert len(workers) == count
        racks = [(worker.failure_domain, worker.rack) for worker in workers]
        assert {racks.count(rack) for rack in racks} == {rack_size}
        assert {worker.capacity.millicores for worker in workers} == {millicores}
        assert {worker.capacity.memory_mb for worker in workers} == {memory_mb}
        assert len(fleet.domains) == 3
        for domain in fleet.domains.values():
            assert domain.link_bytes_per_s == REGION_LINK_BYTES_PER_S


def test_the_example_settings_are_valid_and_match_their_documents():
    for name, *_ in SIZES:
        with tempfile.TemporaryDirectory() as folder:
            path = Path(folder) / "instance.ini"
            shutil.copy(ROOT / "examples" / name / "instance.ini", path)
            (Path(folder) / "peer.token").write_text("a token for the test")
            settings = read_settings(path).unwrap()
        fleet = read_example(name)
        assert settings.failure_domain in fleet.domains
        assert fleet.domains[settings.failure_domain].region == settings.region
        teams = {token.team for token in settings.access.operators}
        assert teams <= set(fleet.teams)
        assert settings.access.admin in teams
