"""Callers that press a whole system, and the check whether others get answers."""

import http.client
import json
import subprocess
import sys
import threading
import time
from pathlib import Path

from review.harness2.processes import HOST_NAME, Record, Stage

__all__ = ["call", "check_answers", "wait_until_ready"]

DEADLINE_S = 3.0
"""Time for which an ordinary caller waits for an answer, as on the sheets."""
HANG_S = 9.0
"""Three times that: a system that answers no ordinary caller for so long hangs."""
WATCH_S = 30.0
PERIOD_S = 0.25
START_S = 20.0
INSTANCES = 3
LASTING_JOB = "00000001000000ff"


def call(address, method, path, body=None):
    """Make one call on a new connection; return its status, or the error's name."""
    connection = http.client.HTTPConnection(*address, timeout=DEADLINE_S)
    headers = {"Host": HOST_NAME, "Content-Type": "application/json"}
    try:
        connection.request(method, path, body, headers)
        response = connection.getresponse()
        response.read()
        return response.status
    except (OSError, http.client.HTTPException) as error:
        return type(error).__name__
    finally:
        connection.close()


class _Watch:
    """Ordinary callers and the platform's checks, at each instance in turn."""

    def __init__(self, stage, record):
        self._stage = stage
        self._record = record
        self._lock = threading.Lock()
        self.calls = []

    def run(self, for_s):
        """Call for a time, and wait for the last answers."""
        threads, number = [], 0
        end_s = time.monotonic() + for_s
        while time.monotonic() < end_s:
            number += 1
            instance = number % INSTANCES
            threads.append(
                threading.Thread(target=self._submit, args=(number, instance))
            )
            threads[-1].start()
            if number % 4 == 0:
                for each in range(INSTANCES):
                    threads.append(threading.Thread(target=self._probe, args=(each,)))
                    threads[-1].start()
            time.sleep(PERIOD_S)
        for thread in threads:
            thread.join()

    def _submit(self, number, instance):
        job = {"spec": "run_ms=50", "steps": [{"count": 1, "cpu": 1000, "mem_mb": 10}]}
        path, body = f"/q/{number:016x}", json.dumps(job)
        self._note("job", instance, lambda at: call(at, "POST", path, body), False)

    def _probe(self, instance):
        path = "/fuchsiascale/ready"
        self._note("ready", instance, lambda at: call(at, "GET", path), True)

    def _note(self, kind, instance, make, is_probe):
        stage = self._stage
        address = stage.ready(instance) if is_probe else stage.front(instance)
        sent_s = self._record.now_s()
        status = make(address)
        answered_s = self._record.now_s()
        with self._lock:
            self.calls.append((sent_s, answered_s, kind, instance, status))

    def find_longest_gap_s(self, kind, until_s):
        """Return the longest time in which no call of a kind was answered anywhere.

        It counts from the sending of a call that got no answer in time to the next
        answer at any instance.
        """
        calls = [each for each in self.calls if each[2] == kind]
        answers = sorted(each[1] for each in calls if isinstance(each[4], int))
        unanswered = [each[0] for each in calls if not isinstance(each[4], int)]
        gaps = [
            min((at for at in answers if at >= sent_s), default=until_s) - sent_s
            for sent_s in unanswered
        ]
        return max(gaps, default=0.0)


def check_answers(case_file, attack_arguments, with_trouble):
    """Run the case in ``case_file``'s folder; return its exit status.

    The attack is ``attack.py`` in that folder, started once for each instance with its
    host and port before the further arguments, if ``with_trouble`` says so.
    """
    folder = Path(case_file).parent
    record = Record(folder / "record.txt")
    try:
        stage_context = Stage(record, instances=INSTANCES)
        with stage_context as stage:
            return _run(stage, record, folder, attack_arguments, with_trouble)
    except (OSError, RuntimeError) as error:
        record.note(f"the case could not run: {error!r}")
        return 2


def _run(stage, record, folder, attack_arguments, with_trouble):
    if not wait_until_ready(stage, INSTANCES):
        record.note("the instances did not become ready")
        return 2
    lasting = {
        "spec": "run_ms=600000",
        "steps": [{"count": 4, "cpu": 1000, "mem_mb": 10, "long_running": True}],
    }
    status = call(stage.front(), "POST", f"/q/{LASTING_JOB}", json.dumps(lasting))
    record.note(f"a job of 4 tasks that last is handed in: {status}")
    if status != 200:
        return 2
    time.sleep(3.0)
    if with_trouble:
        for number in range(INSTANCES):
            host, port = stage.front(number)
            command = [sys.executable, str(folder / "attack.py"), host, str(port)]
            attack = subprocess.Popen([*command, *map(str, attack_arguments)])
            stage.processes.append(attack)
        record.note(
            f"the other callers begin at {INSTANCES} instances: {attack_arguments}"
        )
    watch = _Watch(stage, record)
    watch.run(WATCH_S)
    end_s = record.now_s()
    for sent_s, answered_s, kind, instance, status in sorted(watch.calls):
        took_s = answered_s - sent_s
        record.note(
            f"sent at {sent_s:.3f} s: {kind} at instance {instance}: {status}"
            f" after {took_s:.3f} s"
        )
    for number, node in enumerate(stage.nodes):
        record.note(
            f"instance {number}: {'runs' if node.poll() is None else 'has ended'}"
        )
    for name, task, number, *_ in stage.list_starts(LASTING_JOB):
        record.note(f"the job that lasts: {name} started {task} run {number}")
    gaps_s = {kind: watch.find_longest_gap_s(kind, end_s) for kind in ("job", "ready")}
    for kind, gap_s in gaps_s.items():
        record.note(
            f"longest time without an answer at any instance, {kind}: {gap_s:.1f} s"
        )
    is_broken = gaps_s["job"] >= HANG_S
    record.note(f"{'broken' if is_broken else 'held'}: the bound is {HANG_S} s")
    return int(is_broken)


def wait_until_ready(stage, instances):
    """Return whether all instances serve callers in time."""
    end_s = time.monotonic() + START_S
    for number in range(instances):
        while call(stage.ready(number), "GET", "/fuchsiascale/ready") != 200:
            if time.monotonic() > end_s:
                return False
            time.sleep(0.1)
    while call(stage.front(), "GET", "/q/") != 200:
        if time.monotonic() > end_s:
            return False
        time.sleep(0.1)
    return True
