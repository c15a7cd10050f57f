"""Runs the measurements that are named, or all of them.

Usage: ``python -m measurements [--write] [NAME ...]``
"""

import argparse
import importlib
import pkgutil
import sys
import time

import measurements
from measurements._report import (
    MEASUREMENTS,
    format_report,
    write_report,
    write_section,
)


def load_all():
    """Import every public module of the package, which registers its measurements."""
    for module in pkgutil.iter_modules(measurements.__path__):
        if not module.name.startswith("_") and module.name != "tests":
            importlib.import_module(f"measurements.{module.name}")


def main():
    """Run the named measurements; exit with 1 if a target was missed."""
    load_all()
    parser = argparse.ArgumentParser(prog="python -m measurements")
    parser.add_argument("names", nargs="*", help=", ".join(sorted(MEASUREMENTS)))
    parser.add_argument("--write", action="store_true", help="update the page")
    options = parser.parse_args()
    unknown = set(options.names) - set(MEASUREMENTS)
    if unknown:
        parser.error(f"no such measurement: {', '.join(sorted(unknown))}")
    missed = [
        name
        for name in options.names or sorted(MEASUREMENTS)
        for figure in run(MEASUREMENTS[name], options.write).figures
        if figure.met is False
    ]
    print(f"targets missed: {len(missed)}")
    sys.exit(1 if missed else 0)


def run(entry, write):
    """Run one measurement, print its table and write its result."""
    began = time.monotonic()
    report = entry.run()
    text = format_report(entry, report)
    print(text)
    print(f"(took {time.monotonic() - began:.1f} s)\n", flush=True)
    write_report(entry, report)
    if write:
        write_section(entry, text)
    return report


if __name__ == "__main__":
    main()
