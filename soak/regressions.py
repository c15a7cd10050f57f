"""Seeds that broke a promise on some code, with the cause."""

__all__ = ["REGRESSIONS"]

REGRESSIONS = (
    (
        3,
        "domain_cuts",
        "TWICE at 3a82921 (mended in 77f2a12): an owner that was cut off from the store"
        " took leases that its successor had extended for expired",
    ),
    (
        300,
        "forgotten_tokens",
        "TWICE at 57c1e1f (mended in 4b0d630 and 0970848): an owner that has been"
        " replaced takes a worker for its own that has restarted, and has forgotten the"
        " later token",
    ),
    (
        701,
        "restarted_workers",
        "TWICE at 94f7046 (mended in 42a6bd7): a successor reckoned with the 6 s that"
        " owners grant, where a worker that had restarted held a lease of 10 s",
    ),
    (
        900,
        "returning_peers",
        "TWICE at 1566c10 (mended in d4d86f0): an owner that was cut off was"
        " supported by a peer that had returned since, and that its successor didn't"
        " know of",
    ),
)
"""Seed, pattern and cause of each."""
