"""Plays real processes under faults injected from outside, and checks their promises.

``python -m soak --seed 3`` plays one seed.
"""

from soak._checks import Evacuation, Job, check_all, check_evacuations
from soak._play import PATTERNS, Report, play

__all__ = [
    "PATTERNS",
    "Evacuation",
    "Job",
    "Report",
    "check_all",
    "check_evacuations",
    "play",
]
