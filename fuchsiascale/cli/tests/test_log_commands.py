"""Tests of the commands that read logs and settings."""

import json
import tempfile
from pathlib import Path

from cleo.io.inputs.argv_input import ArgvInput
from cleo.io.outputs.buffered_output import BufferedOutput

from fuchsiascale.cli._application import run
from fuchsiascale.cli._exits import Exit
from fuchsiascale.testing import collect_functions

load_tests = collect_functions(__name__)

JOB = "5c0e7a21d94b36f8"
LINES = (
    {"time": "T2", "instance": "b", "message": "tasks started", "job": JOB},
    {"time": "T1", "instance": "a", "message": "accepted", "job": JOB, "how": "stored"},
    {"time": "T3", "instance": "b", "message": "attempt lost", "task": f"{JOB}.0.1.2"},
    {"time": "T0", "instance": "a", "message": "accepted", "job": "0" * 16},
)
SETTINGS = """\
node_name=a
zone=z
region=r
listen.front=10.0.0.1:80
listen.control=10.0.0.1:81
platform.address=10.0.0.9:82
"""


def call(*arguments):
    """Run a command line; return its exit code, output and error output."""
    output, errors = BufferedOutput(), BufferedOutput()
    code = run(ArgvInput(["fuchsiascale", *arguments]), output, errors)
    return code, output.fetch(), errors.fetch()


def write_file(folder, name, text):
    path = Path(folder) / name
    path.write_text(text)
    return str(path)


def test_a_job_is_followed_through_logs_of_several_instances():
    with tempfile.TemporaryDirectory() as folder:
        texts = [f"  1.5 node {json.dumps(line)}\n" for line in LINES]
        first = write_file(folder, "a.log", "not json\n" + texts[1] + texts[3])
        second = write_file(folder, "b.log", texts[0] + texts[2] + "{torn\n")
        code, output, _ = call("log", "explain", JOB, second, first)
        assert code == Exit.OK
        times = [line.split(" ")[0] for line in output.splitlines()]
        assert times == ["T1", "T2", "T3"]
        assert "how=stored" in output
        code, output, _ = call("log", "explain", JOB, first, "--json")
        assert [json.loads(line) for line in output.splitlines()] == [LINES[1]]


def test_the_path_of_a_start_is_followed_from_the_owner_to_the_peer():
    start = {"task": f"{JOB}.0.1.2", "attempt": 2, "worker": "i-1"}
    unanswered = {"relayed_by": "10.0.0.2:81", "start_age_s": 1.2}
    direct = {"relayed_by": None, "start_age_s": None}
    late = {"waited_s": 0.512, "relayed_for": "10.0.0.1", "left_out": 0}
    lines = (
        {"time": "T1", "instance": "a", "message": "start unanswered", **unanswered},
        {"time": "T0", "instance": "b", "message": "command sent late", **late},
        {"time": "T2", "instance": "a", "message": "attempt lost", **direct},
    )
    with tempfile.TemporaryDirectory() as folder:
        text = "".join(json.dumps({**line, **start}) + "\n" for line in lines)
        code, output, _ = call("log", "explain", JOB, write_file(folder, "a", text))
    assert code == Exit.OK
    first, second, third = output.splitlines()
    assert first.startswith("T0 b command sent late waited_s=0.512")
    assert "relayed_by=10.0.0.2:81 start_age_s=1.2" in second
    assert "relayed_by=None start_age_s=None" in third


def test_a_job_missing_from_the_logs_is_not_found():
    with tempfile.TemporaryDirectory() as folder:
        path = write_file(folder, "a.log", json.dumps(LINES[0]) + "\n")
        code, output, errors = call("log", "explain", "1" * 16, path)
        assert (code, output) == (Exit.NOT_FOUND, "")
        assert "no log line names the job" in errors
        code, _, errors = call("log", "explain", JOB, folder + "/absent")
        assert code == Exit.INVALID and "absent" in errors


def test_settings_check_accepts_valid_files_and_reports_each_problem():
    with tempfile.TemporaryDirectory() as folder:
        sound = write_file(folder, "sound", SETTINGS)
        assert call("settings", "check", sound)[0] == Exit.OK
        broken = SETTINGS.replace("zone=z\n", "").replace("10.0.0.1:80", "here")
        code, _, errors = call("settings", "check", write_file(folder, "b", broken))
        assert code == Exit.INVALID
        assert "zone: missing" in errors
        assert "listen.front: 'here' is not HOST:PORT" in errors
