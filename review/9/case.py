"""A caller leaves, cancels its job, is told that there is none, and the job runs.

The store is slow for some seconds. The caller hands a job in, leaves before the answer,
and cancels the job at another instance while the store still has the submission.
"""

import http.client
import json
import os
import sys
import threading
import time
from pathlib import Path

ROOT = Path(__file__).resolve().parents[2]
sys.path[:0] = [str(ROOT), str(ROOT / "target" / "deps")]

from review.harness2.callers import call, wait_until_ready  # noqa: E402
from review.harness2.processes import HOST_NAME, Record, Stage  # noqa: E402

INSTANCES = 3
JOBS = 5
"""Callers that leave; three others stay for each, so that a quarter leaves."""
STAYING = 3
ANSWER_S = 0.24
"""Time of a call to the store while it is slow: 60 times the 4 ms of the sheet."""
SLOW_S = 4.5
LEAVE_S = 0.1
"""Time after which the caller leaves; the pages have up to half an objective, 0.2 s."""
CANCEL_S, STOP_S = 3.0, 0.9
"""``cancel_ms`` and ``stop_ms``: a task of a cancelled job is gone after their sum."""
CALM_S = 4.0
"""Time after the end of the disruption and before the tasks are looked at."""


def main():
    """Run the case; return its exit status."""
    record = Record(Path(__file__).with_name("record.txt"))
    with_trouble = os.environ.get("TROUBLE", "1") != "0"
    try:
        with Stage(record, instances=INSTANCES) as stage:
            return _run(stage, record, with_trouble)
    except (OSError, RuntimeError) as error:
        record.note(f"the case could not run: {error!r}")
        return 2


def _run(stage, record, with_trouble):
    if not wait_until_ready(stage, INSTANCES):
        record.note("the instances did not become ready")
        return 2
    time.sleep(4.0)
    record.note(f"instance {stage.find_owner()} owns the service")
    if with_trouble:
        stage.tell_platform("slow", answer_s=ANSWER_S)
        record.note(f"the store takes {ANSWER_S} s for each call")
    end_s = time.monotonic() + SLOW_S
    cancelled, threads = [], []
    for number in range(JOBS):
        for other in range(STAYING):
            job = number * STAYING + other + 1
            threads.append(threading.Thread(target=_stay, args=(stage, record, job)))
            threads[-1].start()
        cancelled.append(_hand_in_and_cancel(stage, record, number))
    for thread in threads:
        thread.join()
    time.sleep(max(0.0, end_s - time.monotonic()))
    stage.tell_platform("slow", answer_s=0.0)
    record.note("the store is quick again")
    time.sleep(CANCEL_S + STOP_S + CALM_S)
    running = stage.tell_platform("running")
    broken = 0
    for job, status in cancelled:
        runs = [each for each in running if each[1].startswith(f"{job}.")]
        shown = _ask(stage, job)
        record.note(f"job {job}, cancel answered {status}: shown {shown}, runs {runs}")
        broken += status in (200, 410) and bool(runs)
    record.note(f"{'broken' if broken else 'held'}: {broken} cancelled jobs run on")
    return int(broken > 0)


def _stay(stage, record, number):
    """Hand in a short job, and wait for the answer."""
    job = json.dumps({"spec": "run_ms=50", "steps": [{"count": 1, "cpu": 500}]})
    instance = number % INSTANCES
    status = call(stage.front(instance), "POST", f"/q/{number:016x}", job)
    record.note(f"job {number:016x} is handed in at instance {instance}: {status}")


def _hand_in_and_cancel(stage, record, number):
    job = f"5c0e7a21d94b36{number:02x}"
    step = {"count": 2, "cpu": 1000, "mem_mb": 10, "long_running": True}
    body = json.dumps({"spec": "run_ms=600000", "steps": [step]})
    first, second = number % INSTANCES, (number + 1) % INSTANCES
    answer = _hand_in(stage.front(first), f"/q/{job}", body)
    record.note(f"job {job} is handed in at instance {first}: {answer}")
    status = call(stage.front(second), "DELETE", f"/q/{job}")
    record.note(f"job {job} is cancelled at instance {second}: {status}")
    return job, status


def _hand_in(address, path, body):
    """Hand a job in, and leave early; return the answer if it came before."""
    connection = http.client.HTTPConnection(*address, timeout=LEAVE_S)
    headers = {"Host": HOST_NAME, "Content-Type": "application/json"}
    try:
        connection.request("POST", path, body, headers)
        return connection.getresponse().status
    except TimeoutError:
        return "the caller leaves"
    finally:
        connection.close()


def _ask(stage, job):
    connection = http.client.HTTPConnection(*stage.front(), timeout=3.0)
    try:
        connection.request("GET", f"/q/{job}", headers={"Host": HOST_NAME})
        response = connection.getresponse()
        return response.status, response.read().decode()
    finally:
        connection.close()


sys.exit(main())
