"""Starts a small deployment, sends one request and one job, and stops it all.

Run by ``make run``. Two failure domains with two instances each, on stand-ins.
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
    """Return whether the instance behind a caller address reports readiness."""
    try:
        return requests.get(f"http://{address}/readyz", timeout=1).status_code == 200
    except requests.ConnectionError:
        return False


def apply_fleet(deployment, text):
    """Write a fleet document through the operator interface."""
    operator = next(iter(deployment.operators.values()))
    answer = requests.post(
        f"http://{operator}/operator/v1/edits",
        data=msgspec.json.encode({"text": text, "author": "first run"}),
        headers={"Authorization": f"Bearer {ADMIN_TOKEN}"},
        timeout=CALL_TIMEOUT_S,
    )
    answer.raise_for_status()
    return answer.json()["revision"]


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
    """Submit the example job; raises on a refusal."""
    answer = requests.post(
        f"http://{address}/v1/jobs",
        json=JOB,
        headers=CALLER_HEADERS,
        timeout=CALL_TIMEOUT_S,
    )
    answer.raise_for_status()


def read_job(address):
    """Return the job's status as the instance reads it."""
    answer = requests.get(
        f"http://{address}/v1/jobs/{JOB['job']}",
        headers=CALLER_HEADERS,
        timeout=CALL_TIMEOUT_S,
    )
    answer.raise_for_status()
    return answer.json()


def show(deployment):
    """Run the example on a started deployment and print what happens."""
    callers = list(deployment.callers.values())
    deployment.wait_until(
        lambda: all(is_ready(address) for address in callers), "all instances ready"
    )
    print(f"ready: {', '.join(deployment.callers)}")
    print(f"fleet document accepted, revision {apply_fleet(deployment, PLAN.fleet)}")
    deployment.wait_until(
        lambda: send_request(callers[0]).status_code == 200, "service in the document"
    )
    began = time.monotonic()
    answer = send_request(callers[0])
    took_ms = (time.monotonic() - began) * 1000
    print(
        f"urgent request: {answer.status_code} {answer.headers['X-Outcome']}, "
        f"run by {answer.headers['X-Runner']}, body {answer.content!r}, "
        f"{took_ms:.0f} ms"
    )
    submit_job(callers[0])
    print(f"job {JOB['job']}: accepted by {next(iter(deployment.callers))}")
    deployment.wait_until(
        lambda: read_job(callers[-1])["state"] == "finished", "job end", JOB_TIMEOUT_S
    )
    print(f"job {JOB['job']}: finished, as read from {list(deployment.callers)[-1]}")


def main():
    """Run the example and explain how to go on."""
    print("starting stand-ins and four instances in two failure domains ...")
    with Deployment(PLAN) as deployment:
        show(deployment)
        print("stopping all processes ...")
    print("all stopped. Next: README.md, docs/API.md, docs/CONFIGURATION.md,")
    print("and `.venv/bin/fuchsiascale --help` for the command line.")


if __name__ == "__main__":
    sys.exit(main())
