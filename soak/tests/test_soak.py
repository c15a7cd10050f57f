"""A short play of real processes under faults, and the seeds that failed before."""

import tempfile
from pathlib import Path

from fuchsiascale.testing import collect_functions
from soak import PATTERNS, play
from soak._play import FIRST_SEEDS, LOADS, select_pattern
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
    later = {select_pattern(seed) for seed in range(900, 900 + len(PATTERNS))}
    assert later == set(PATTERNS)


def test_settings_of_patterns_name_patterns():
    """Guards against a pattern that is played with the usual load after a rename."""
    assert LOADS.keys() | FIRST_SEEDS.keys() <= PATTERNS.keys()
