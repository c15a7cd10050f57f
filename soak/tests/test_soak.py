"""A short play of real processes under faults, and the seeds that failed before."""

import tempfile
from pathlib import Path

from fuchsiascale.jobs._members import Member
from fuchsiascale.jobs._worker_relay_selection import select_relays
from fuchsiascale.node._application import compute_strength
from fuchsiascale.testing import collect_functions
from soak import PATTERNS, play
from soak._play import DOMAINS, FIRST_SEEDS, LOADS, RELAYED_SITES, select_pattern
from soak.regressions import REGRESSIONS

load_tests = collect_functions(__name__)

SEED = 3
FAULTS_S = 8.0
"""Duration of the faults; the whole play takes about 30 s."""


async def test_a_short_play_breaks_no_promise():
    with tempfile.TemporaryDirectory(prefix="soak-") as folder:
        report = await play(SEED, FAULTS_S, Path(folder), "domain_cuts_and_faults")
    assert report.breaks == (), report.breaks


def test_each_regression_names_a_pattern():
    assert all(pattern in PATTERNS for _, pattern, _ in REGRESSIONS)


def test_earlier_seeds_select_the_pattern_that_they_did():
    """Guards against plays that can't be repeated once a pattern is added."""
    names = (
        "domain_cuts",
        "takeovers",
        "forgotten_tokens",
        "mixed",
        "domain_cuts_and_faults",
        "evacuations",
    )
    assert tuple(select_pattern(seed) for seed in range(6)) == names
    assert select_pattern(699) == "mixed"
    names += ("restarted_workers",)
    assert tuple(select_pattern(seed) for seed in range(700, 707)) == names
    assert select_pattern(899) == "mixed"
    names += ("returning_peers", "relayed_calls")
    assert tuple(select_pattern(seed) for seed in range(900, 909)) == names
    assert select_pattern(1_099) == "takeovers"
    later = {select_pattern(seed) for seed in range(1_100, 1_100 + len(PATTERNS))}
    assert later == set(PATTERNS)


def test_settings_of_patterns_name_patterns():
    """Guards against a pattern that is played with the usual load after a rename."""
    named = LOADS.keys() | RELAYED_SITES.keys() | FIRST_SEEDS.keys()
    assert named <= PATTERNS.keys()


def test_patterns_of_relayed_calls_have_workers_that_are_relayed():
    """Guards against plays in which the owner calls all workers itself."""
    for count, link_mbps in RELAYED_SITES.values():
        workers = {f"{x}{n}": x for x in DOMAINS for n in range(count)}
        strength = compute_strength(2.0, link_mbps)
        members = [Member(f"{x}:1", x, "", strength) for x in DOMAINS]
        assert select_relays(workers, members, strength).keys() == workers.keys()
        listed = dict(list(workers.items())[3:])
        assert select_relays(listed, members, strength).keys() == listed.keys()
