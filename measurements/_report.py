"""Registers measurements, and formats and writes their reports."""

import json
from pathlib import Path

import msgspec

__all__ = [
    "MEASUREMENTS",
    "Figure",
    "Measurement",
    "Report",
    "format_report",
    "register_measurement",
    "write_report",
    "write_section",
]

RESULTS_FOLDER = Path(__file__).parent / "results"
PAGE_PATH = Path(__file__).parent.parent / "docs" / "MEASUREMENTS.md"

MEASUREMENTS = {}


class Figure(msgspec.Struct, frozen=True, kw_only=True):
    """One measured figure, with that of the baseline in the same run.

    Parameters
    ----------
    target : str
        The bound to meet; empty if the figure has none.
    met : bool or None
        Whether the target was met; None if there is none.
    """

    name: str
    baseline: float | None = None
    measured: float
    ratio: float | None = None
    target: str = ""
    met: bool | None = None


class Report(msgspec.Struct, frozen=True, kw_only=True):
    """All figures of one measurement.

    Parameters
    ----------
    setting : str
        What was run, with its sizes and seeds.
    notes : tuple of str
        What a reader needs to know to interpret the figures.
    """

    baseline: str
    setting: str
    figures: tuple[Figure, ...]
    notes: tuple[str, ...] = ()


class Measurement(msgspec.Struct, frozen=True):
    """A registered measurement."""

    name: str
    title: str
    run: object


def register_measurement(name, title):
    """Register a function without parameters that returns a report.

    Parameters
    ----------
    name : str
        Name of the measurement on the command line.
    title : str
        What is measured.

    Returns
    -------
    callable
        The decorator.
    """

    def register(function):
        MEASUREMENTS[name] = Measurement(name, title, function)
        return function

    return register


def make_ratio_figure(name, baseline, measured, *, at_most=None, at_least=None):
    """Return a figure whose ratio to the baseline is checked against a bound."""
    ratio = measured / baseline if baseline else None
    if at_most is not None:
        target, met = f"ratio <= {at_most}", ratio is not None and ratio <= at_most
    elif at_least is not None:
        target, met = f"ratio >= {at_least}", ratio is not None and ratio >= at_least
    else:
        target, met = "", None
    return Figure(
        name=name,
        baseline=baseline,
        measured=measured,
        ratio=ratio,
        target=target,
        met=met,
    )


def make_figure(name, measured, *, at_most=None, at_least=None, baseline=None):
    """Return a figure whose value is checked against a bound."""
    if at_most is not None:
        target, met = f"<= {at_most:.4g}", measured <= at_most
    elif at_least is not None:
        target, met = f">= {at_least:.4g}", measured >= at_least
    else:
        target, met = "", None
    return Figure(
        name=name, baseline=baseline, measured=measured, target=target, met=met
    )


def format_report(entry, report):
    """Return a report as Markdown."""
    lines = [
        f"### {entry.title}",
        "",
        f"`.venv/bin/python -m measurements {entry.name}`; {report.setting}. "
        f"Baseline: {report.baseline}.",
        "",
        "| figure | baseline | measured | ratio | target | met |",
        "|---|---|---|---|---|---|",
    ]
    lines += [_format_figure(figure) for figure in report.figures]
    for note in report.notes:
        lines += ["", note]
    return "\n".join(lines) + "\n"


def write_report(entry, report):
    """Write a report as JSON under the results folder."""
    RESULTS_FOLDER.mkdir(exist_ok=True)
    content = {"name": entry.name, "title": entry.title}
    content |= msgspec.to_builtins(report)
    path = RESULTS_FOLDER / f"{entry.name}.json"
    path.write_text(json.dumps(content, indent=2) + "\n")


def write_section(entry, text):
    """Insert or replace a report in the docs page of the measurements."""
    page = PAGE_PATH.read_text()
    begin, end = f"<!-- begin {entry.name} -->\n", f"<!-- end {entry.name} -->\n"
    if begin in page:
        head, rest = page.split(begin, 1)
        _, tail = rest.split(end, 1)
    else:
        head, tail = page.rstrip("\n") + "\n\n", ""
    PAGE_PATH.write_text(f"{head}{begin}{text}{end}{tail}")


def _format_figure(figure):
    met = {None: "", True: "yes", False: "**missed**"}[figure.met]
    cells = [
        figure.name,
        _format_number(figure.baseline),
        _format_number(figure.measured),
        _format_number(figure.ratio),
        figure.target.replace("<=", "≤").replace(">=", "≥"),
        met,
    ]
    return "| " + " | ".join(cells) + " |"


def _format_number(value):
    if value is None:
        return ""
    if value == int(value) and abs(value) < 1e9:
        return f"{int(value):,}"
    return f"{value:,.3f}" if abs(value) < 100 else f"{value:,.0f}"
