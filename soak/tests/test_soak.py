"""A short play of real processes under faults, and the seeds that failed before."""

import tempfile
from pathlib import Path

from fuchsiascale.testing import collect_functions
from soak import PATTERNS, play
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
