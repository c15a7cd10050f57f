"""Command line: plays seeds one after another, and prints the breaks."""

import argparse
import asyncio
import sys
import tempfile
from pathlib import Path

from soak._play import PATTERNS, play

MAX_PRINTED = 8
"""Number of breaks of a seed that are printed; the record holds all."""


def parse_arguments():
    """Return the arguments of the command line."""
    parser = argparse.ArgumentParser(prog="python -m soak", description=__doc__)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--seeds", help="the first and last of several, as in 10-20")
    parser.add_argument("--seconds", type=float, default=45.0)
    parser.add_argument("--pattern", choices=PATTERNS, help="by the seed otherwise")
    parser.add_argument("--keep", help="folder for the records and logs")
    parser.add_argument("--control", action="store_true", help="play without faults")
    return parser.parse_args()


def main():
    """Play the seeds; exit with 1 if a promise was broken."""
    arguments = parse_arguments()
    first, last = arguments.seed, arguments.seed
    if arguments.seeds:
        first, last = map(int, arguments.seeds.split("-"))
    keep = Path(arguments.keep or tempfile.mkdtemp(prefix="soak-"))
    is_broken = False
    for seed in range(first, last + 1):
        folder = keep / f"seed-{seed}"
        folder.mkdir(parents=True, exist_ok=True)
        report = asyncio.run(
            play(seed, arguments.seconds, folder, arguments.pattern, arguments.control)
        )
        is_broken = is_broken or bool(report.breaks)
        print(
            f"seed {seed} ({report.pattern}): owners {report.owners}, jobs"
            f" {report.accepted} of {report.jobs} accepted, {report.unfinished} not at"
            f" an end, runs {report.runs}, breaks {len(report.breaks)}",
            *report.breaks[:MAX_PRINTED],
            sep="\n  ",
            flush=True,
        )
    print(f"kept in {keep}")
    sys.exit(1 if is_broken else 0)


if __name__ == "__main__":
    main()
