"""Seeds that broke a promise on some code, with the cause."""

__all__ = ["REGRESSIONS"]

REGRESSIONS = (
    (
        3,
        "domain_cuts",
        "TWICE at 3a82921 (mended in 77f2a12): an owner that was cut off from the store"
        " took leases that its successor had extended for expired",
    ),
)
"""Seed, pattern and cause of each."""
