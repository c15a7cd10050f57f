"""Measures the time from the acceptance of an edit until all instances apply it."""

import time
from concurrent.futures import ThreadPoolExecutor
from random import Random

from fuchsiascale.api import StatusReply
from measurements._report import Figure, Report, make_figure, register_measurement
from standins._plans import ADMIN_TOKEN
from standins.callers import call_json
from standins.clients import apply_fleet, edit_document, is_ready, read_document
from standins.deployment import DEFAULT_FLEET, Deployment, Plan, Site

MAX_IN_FORCE_S = 7.0
EDIT_COUNT = 20
OUTAGE_COUNT = 5
STORE_DOWN = {"down": True}
STORE_SILENT = {"slow_ms": 60_000}
POLL_S = 0.02
TIMEOUT_S = 30.0
SETTLE_S = 6.0
SECTION = "kind report"
SEED = 23
PLAN = Plan(
    sites=(
        Site(failure_domain="norte-porto", region="norte", instances=3, workers=1),
        Site(failure_domain="norte-braga", region="norte", instances=3, workers=1),
        Site(failure_domain="sul-faro", region="sul", instances=2, workers=1),
    ),
)


def read_revision(address):
    """Return the revision in force at an instance."""
    answer = call_json(address, "GET", "/operator/v1/status", token=ADMIN_TOKEN)
    return answer.decode(StatusReply).revision


def wait_for_revision(address, revision, began_s):
    """Return the seconds until an instance applies a revision."""
    while read_revision(address) < revision:
        if time.monotonic() - began_s > TIMEOUT_S:
            return TIMEOUT_S
        time.sleep(POLL_S)
    return time.monotonic() - began_s


def measure_edit_s(deployment, pool, name, value, faults):
    """Edit through one instance; return the seconds until all instances apply it.

    The faults are set on the table service right after the edit is accepted.
    """
    address = deployment.operators[name]
    sections = read_document(address).sections
    known = [section for section in sections if section.name == SECTION]
    text = f"[{SECTION}]\nteam = shop\nmax_failures = {value}\n"
    reply = edit_document(address, text, known)
    began_s = time.monotonic()
    if not reply.accepted:
        raise RuntimeError(f"the edit was rejected: {reply}")
    if faults:
        deployment.set_faults("tables", **faults)
    futures = [
        pool.submit(wait_for_revision, other, reply.revision, began_s)
        for other in deployment.operators.values()
    ]
    last_s = max(future.result() for future in futures)
    if faults:
        deployment.set_faults("tables")
        time.sleep(SETTLE_S)
    return last_s


def compute_quantile(values, fraction):
    """Return the quantile of the values at a fraction."""
    ordered = sorted(values)
    return ordered[min(len(ordered) - 1, int(fraction * len(ordered)))]


@register_measurement("configuration", "Time from accept to the last instance")
def run():
    """Start eight daemons and edit through instances chosen at random."""
    random = Random(SEED)
    with Deployment(PLAN) as deployment, ThreadPoolExecutor(8) as pool:
        names = sorted(deployment.operators)
        apply_fleet(deployment, names[0], DEFAULT_FLEET)
        for address in deployment.callers.values():
            deployment.wait_until(lambda a=address: is_ready(a), f"{address} ready")
        time.sleep(SETTLE_S)
        values = iter(range(2, 100))
        usual = [
            measure_edit_s(deployment, pool, random.choice(names), next(values), {})
            for _ in range(EDIT_COUNT)
        ]
        down, silent = (
            [
                measure_edit_s(
                    deployment, pool, random.choice(names), next(values), faults
                )
                for _ in range(OUTAGE_COUNT)
            ]
            for faults in (STORE_DOWN, STORE_SILENT)
        )
    return Report(
        baseline="none",
        setting=(
            f"8 daemons in 3 failure domains, {EDIT_COUNT} edits with the store up and "
            f"{OUTAGE_COUNT} each with the store down, and silent until the timeout of "
            "2 s, right after the accept, through instances "
            f"at random, seed {SEED}; each instance asked every {POLL_S * 1000:.0f} ms"
        ),
        figures=(
            Figure(name="store up: median s", measured=compute_quantile(usual, 0.5)),
            make_figure("store up: longest s", max(usual), at_most=MAX_IN_FORCE_S),
            Figure(
                name="store down after: median s", measured=compute_quantile(down, 0.5)
            ),
            make_figure(
                "store down after: longest s", max(down), at_most=MAX_IN_FORCE_S
            ),
            Figure(
                name="store silent after: median s",
                measured=compute_quantile(silent, 0.5),
            ),
            make_figure(
                "store silent after: longest s", max(silent), at_most=MAX_IN_FORCE_S
            ),
        ),
    )
