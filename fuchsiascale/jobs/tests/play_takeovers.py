"""Plays simulations of instances that own a service in turn, and prints what broke.

Run it with PYTHONHASHSEED=0, so that a seed always gives the same course.
"""

import argparse
import sys
import time
from collections import Counter

import logbook

from fuchsiascale.jobs.tests._simulation import play

SHOWN_BREAKS = 3
"""Breaks of a seed that are printed."""


def play_seeds(seeds, **options):
    """Play seeds, print the breaks of each and a summary; return whether any broke."""
    began_s = time.process_time()
    breaks, broken, runs, relayed = Counter(), [], 0, 0
    for seed in seeds:
        record = play(seed, **options)
        runs += record.count_runs()
        relayed += record.count_relayed_runs()
        breaks.update(each.rule for each in record.breaks)
        if record.breaks:
            broken.append(seed)
            print(f"seed {seed}: {len(record.breaks)} breaks")
            for each in record.breaks[:SHOWN_BREAKS]:
                print(f"  {each.at_s:.3f} {each.rule}: {each.text}", flush=True)
    took_s = time.process_time() - began_s
    counts = f"{len(seeds)} seeds, {runs} runs, {relayed} of them relayed"
    print(f"{counts}, {took_s:.0f} s of processor time")
    print(f"{len(broken)} seeds with breaks: {broken}; breaks: {dict(breaks)}")
    return bool(broken)


def print_trace(seed, **options):
    """Print all that happened with a seed, with the product's log."""
    record = play(seed, logbook.INFO, **options)
    for at_s, text in record.events:
        print(f"{at_s:9.3f} {text}")


def main():
    """Play the seeds of the command line; exit with 1 if a rule was broken."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--first", type=int, default=0)
    parser.add_argument("--count", type=int, default=2_000)
    parser.add_argument("--trace", type=int, help="seed whose course is printed")
    parser.add_argument("--evacuate", action="store_true", help="evacuate domains")
    parser.add_argument("--restart", action="store_true", help="restart workers")
    parser.add_argument("--return", action="store_true", help="return in cut domains")
    parser.add_argument("--relay", action="store_true", help="relay calls to workers")
    parser.add_argument("--leave", action="store_true", help="let callers leave")
    options = parser.parse_args()
    kinds = {
        "evacuates": options.evacuate,
        "restarts": options.restart,
        "returns": getattr(options, "return"),
        "relays": options.relay,
        "leaves": options.leave,
    }
    if options.trace is not None:
        print_trace(options.trace, **kinds)
        return
    seeds = range(options.first, options.first + options.count)
    sys.exit(play_seeds(seeds, **kinds))


if __name__ == "__main__":
    main()
