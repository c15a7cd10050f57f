"""Runs the unit tests and the scenarios and prints a summary line.

Failures that KNOWN-RED.txt lists are printed but do not fail the run.
"""

import argparse
import faulthandler
import json
import subprocess
import sys
import tempfile
import unittest
from concurrent.futures import ThreadPoolExecutor
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent
KNOWN_RED = ROOT / "KNOWN-RED.txt"
TEST_TIMEOUT_S = 300
FEATURE_TIMEOUT_S = 900
PARALLEL_FEATURES = 2
TEST_ROOTS = ("fuchsiascale", "standins", "measurements", "soak")


def read_known_red():
    """Return the names of the tests that KNOWN-RED.txt lists.

    Returns
    -------
    frozenset of str
        The text after each ``test:`` prefix.
    """
    if not KNOWN_RED.exists():
        return frozenset()
    lines = KNOWN_RED.read_text().splitlines()
    prefix = "test:"
    return frozenset(
        line.removeprefix(prefix).strip() for line in lines if line.startswith(prefix)
    )


class TimedResult(unittest.TextTestResult):
    """Ends the run with a traceback if a test hangs."""

    def startTest(self, test):  # noqa: N802
        """Start the timeout of a test."""
        faulthandler.dump_traceback_later(TEST_TIMEOUT_S, exit=True)
        super().startTest(test)

    def stopTest(self, test):  # noqa: N802
        """Cancel the timeout."""
        faulthandler.cancel_dump_traceback_later()
        super().stopTest(test)


def find_cases(suite):
    """Yield all test cases of a nested suite."""
    for item in suite:
        if isinstance(item, unittest.TestSuite):
            yield from find_cases(item)
        else:
            yield item


def run_unit_tests(match):
    """Run the unit tests; return the sets of passed and failed names."""
    loader = unittest.TestLoader()
    suite = unittest.TestSuite()
    for root in TEST_ROOTS:
        discovered = loader.discover(root, pattern="test_*.py", top_level_dir=str(ROOT))
        suite.addTests(case for case in find_cases(discovered) if match in case.id())
    names = {case.id() for case in find_cases(suite)}
    result = unittest.TextTestRunner(verbosity=1, resultclass=TimedResult).run(suite)
    failed = {case.id() for case, _ in result.failures + result.errors}
    failed |= {case.id() for case in result.unexpectedSuccesses}
    return names - failed, failed


def print_failed_steps(name, scenario):
    """Print the error of each failed step of a scenario."""
    for step in scenario.get("steps", ()):
        result = step.get("result", {})
        if result.get("status") not in (None, "passed", "skipped"):
            print(f"{name}: {step['name']}")
            print(format_message(result.get("error_message", "no message")))


def format_message(message):
    """Return an error message as text; reports may hold it as a list of lines."""
    return message if isinstance(message, str) else "\n".join(message)


def run_scenarios(match):
    """Run the behave scenarios; return the sets of passed and failed names."""
    passed, failed = set(), set()
    features = sorted(ROOT.glob("scenarios/*.feature"))
    with ThreadPoolExecutor(PARALLEL_FEATURES) as pool:
        for feature_passed, feature_failed in pool.map(
            lambda feature: run_feature(feature, match), features
        ):
            passed |= feature_passed
            failed |= feature_failed
    return passed, failed


def run_feature(feature, match):
    """Run one feature file; return the sets of passed and failed names."""
    with tempfile.TemporaryDirectory() as folder:
        report = Path(folder) / "report.json"
        command = [sys.executable, "-m", "behave", "--no-capture", str(feature)]
        command += ["--format", "json", "--outfile", str(report)]
        command += ["--format", "progress"]
        if match:
            command += ["--name", match]
        try:
            process = subprocess.run(
                command,
                cwd=ROOT,
                check=False,
                stdout=subprocess.PIPE,
                text=True,
                timeout=FEATURE_TIMEOUT_S,
            )
        except subprocess.TimeoutExpired as expired:
            print(expired.stdout, flush=True)
            return set(), {f"scenarios: {feature.name} took too long"}
        text = report.read_text() if report.exists() else "[]"
    print(process.stdout, flush=True)
    passed, failed = read_report(text, match)
    if process.returncode and not failed:
        failed.add(f"scenarios: behave itself failed on {feature.name}")
    return passed, failed


def read_report(text, match):
    """Return the sets of passed and failed scenario names in a report."""
    passed, failed = set(), set()
    for feature in json.loads(text or "[]"):
        for element in feature.get("elements", ()):
            filtered_out = bool(match) and element.get("status") == "skipped"
            if element["type"] != "scenario" or filtered_out:
                continue
            name = f"{feature['name']}: {element['name']}"
            if element.get("status") == "passed":
                passed.add(name)
                continue
            failed.add(name)
            print_failed_steps(name, element)
    return passed, failed


def main():
    """Run the selected tests; exit non-zero on a failure that is not listed."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--only", choices=("unit", "scenarios"))
    parser.add_argument("--match", default="")
    options = parser.parse_args()
    passed, failed = set(), set()
    if options.only != "scenarios":
        passed, failed = run_unit_tests(options.match)
    if options.only != "unit" and any(ROOT.glob("scenarios/*.feature")):
        more_passed, more_failed = run_scenarios(options.match)
        passed, failed = passed | more_passed, failed | more_failed
    known_red = read_known_red()
    for name in sorted(failed & known_red):
        print(f"known red, still failing: {name}")
    for name in sorted(known_red & passed):
        print(f"known red, now passing (strike it from KNOWN-RED.txt): {name}")
    unlisted = failed - known_red
    for name in sorted(unlisted):
        print(f"failed: {name}")
    print(f"{len(passed)} passed, {len(unlisted)} failed")
    sys.exit(1 if unlisted or not passed else 0)


if __name__ == "__main__":
    main()
