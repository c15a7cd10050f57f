"""Starts a small deployment, sends one request and one job, and stops everything.

Run by ``make run``. There are two failure domains with two instances each, and the
stand-ins replace the platform.
"""

import sys
import time

import msgspec
import requests

from fuchsiascale.ids import FailureDomainId, RegionId
from standins.deployment import ADMIN_TOKEN, DEFAULT_FLEET, Deployment, Plan, Site

__all__ = ["main"]

CALL_TIMEOUT_S = 10.0
JOB_TIMEOUT_S = 30.0
PLAN = Plan(
    sites=(
        Site(failure_domain=FailureDomainId("north-a"), region=RegionId("north")),
        Site(failure_domain=FailureDomainId("north-b"), region=RegionId("north")),
    ),
    fleet=DEFAULT_FLEET,
)
CALLER_HEADERS = {"X-Team": "shop"}
JOB = {
    "job": "first-job",
    "team": "shop",
    "kind": "report",
    "tasks": 4,
    "demand": {"millicores": 500, "memory_mb": 256},
    "run_ms": 500,
}


def is_ready(address):
    """Return whether the instance at a caller address is ready."""
    try:
        return requests.get(f"http://{address}/readyz", timeout=1).status_code == 200
    except requests.ConnectionError:
        return False


def apply_fleet(deployment, text):
    """Write a fleet document through the operator API; return its revision."""
    operator = next(iter(deployment.operators.values()))
    response = requests.post(
        f"http://{operator}/operator/v1/edits",
        data=msgspec.json.encode({"text": text, "author": "first run"}),
        headers={"Authorization": f"Bearer {ADMIN_TOKEN}"},
        timeout=CALL_TIMEOUT_S,
    )
    response.raise_for_status()
    return response.json()["revision"]


def send_request(address):
    """Send one urgent request and return the answer."""
    headers = {
        **CALLER_HEADERS,
        "X-Request-Id": "first-request",
        "X-Idempotent": "true",
    }
    return requests.post(
        f"http://{address}/v1/services/echo/greeting",
        data=b"hello",
        headers=headers,
        timeout=CALL_TIMEOUT_S,
    )


def submit_job(address):
    """Submit the example job; raise an exception if it is rejected."""
    response = requests.post(
        f"http://{address}/v1/jobs",
        json=JOB,
        headers=CALLER_HEADERS,
        timeout=CALL_TIMEOUT_S,
    )
    response.raise_for_status()


def read_job(address):
    """Return the job's status that an instance reports."""
    response = requests.get(
        f"http://{address}/v1/jobs/{JOB['job']}",
        headers=CALLER_HEADERS,
        timeout=CALL_TIMEOUT_S,
    )
    response.raise_for_status()
    return response.json()


def run_example(deployment):
    """Run the example on a started deployment and print its progress."""
    callers = list(deployment.callers.values())
    deployment.wait_until(
        lambda: all(is_ready(address) for address in callers), "all instances ready"
    )
    print(f"ready: {', '.join(deployment.callers)}")
    print(f"fleet document accepted, revision {apply_fleet(deployment, PLAN.fleet)}")
    deployment.wait_until(
        lambda: send_request(callers[0]).status_code == 200, "service in the document"
    )
    started = time.monotonic()
    response = send_request(callers[0])
    took_ms = (time.monotonic() - started) * 1000
    print(
        f"urgent request: {response.status_code} {response.headers['X-Outcome']}, "
        f"run by {response.headers['X-Runner']}, body {response.content!r}, "
        f"{took_ms:.0f} ms"
    )
    submit_job(callers[0])
    print(f"job {JOB['job']}: accepted by {next(iter(deployment.callers))}")
    deployment.wait_until(
        lambda: read_job(callers[-1])["state"] == "finished", "job end", JOB_TIMEOUT_S
    )
    print(f"job {JOB['job']}: finished, as read from {list(deployment.callers)[-1]}")


def main():
    """Run the example and print what to read next."""
    print("starting stand-ins and four instances in two failure domains ...")
    with Deployment(PLAN) as deployment:
        run_example(deployment)
        print("stopping all processes ...")
    print("all stopped. Next: README.md, docs/API.md, docs/CONFIGURATION.md,")
    print("and `.venv/bin/fuchsiascale --help` for the command line.")


if __name__ == "__main__":
    sys.exit(main())
