"""Plays real processes under faults injected from outside, and checks their promises.

``python -m soak --seed 3`` plays one seed.
"""

from soak._checks import Job, check_all
from soak._play import PATTERNS, Report, play

__all__ = ["PATTERNS", "Job", "Report", "check_all", "play"]
