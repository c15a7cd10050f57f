"""Tests of the output of job, shard and explain commands on a scripted client."""

import json
from unittest import mock

from cleo.io.inputs.argv_input import ArgvInput
from cleo.io.outputs.buffered_output import BufferedOutput
from returns.result import Failure, Success

from fuchsiascale.api import (
    ChunkStatus,
    Explanation,
    JobList,
    JobStatus,
    JobSummary,
    ShardsReply,
    ShardStatus,
    TaskExplanation,
    TaskStatus,
)
from fuchsiascale.cli._application import run
from fuchsiascale.cli._client import Unreachable
from fuchsiascale.cli._exits import Exit
from fuchsiascale.coordination import JobRecord, JobSpec
from fuchsiascale.platform import NO_TOKEN, Resources
from fuchsiascale.states import TaskState
from fuchsiascale.testing import collect_functions

load_tests = collect_functions(__name__)

SPEC = JobSpec(job="j/1", team="hub", kind="review", tasks=2)
TASKS = tuple(
    TaskStatus(
        index=index,
        state=state,
        attempt=1,
        checkpoint=None,
        worker="",
        failures=0,
        evictions=0,
        detail="",
    )
    for index, state in enumerate((TaskState.WAITING, TaskState.FINISHED))
)
STATUS = JobStatus(
    spec=SPEC,
    state="running",
    submitted_ms=0,
    cancelled=False,
    chunks=(ChunkStatus(chunk="j/1/0", shard="porto/r1", tasks=TASKS),),
)
SUMMARY = JobSummary(
    job="j/1", team="hub", kind="review", tasks=2, submitted_ms=0, cancelled=False
)
SHARD = ShardStatus(
    shard="porto/r1",
    owner="porto-1",
    token=NO_TOKEN,
    workers=3,
    capacity=Resources(millicores=96000),
    committed=Resources(millicores=1500),
    waiting=4,
    running=5,
    in_doubt=6,
)
REPLIES = {
    ("GET", "/v1/jobs"): JobList(jobs=(SUMMARY,), next_after="j/1"),
    ("GET", "/v1/jobs/j%2F1"): STATUS,
    ("POST", "/v1/jobs"): JobRecord(spec=SPEC, chunks=("j/1/0",), submitted_ms=0),
    ("DELETE", "/v1/jobs/j%2F1"): JobRecord(
        spec=SPEC, chunks=("j/1/0",), submitted_ms=0
    ),
    ("GET", "/operator/v1/shards"): ShardsReply(shards=(SHARD,)),
    ("GET", "/operator/v1/explain/j"): Explanation(
        job="j",
        state="waiting",
        tasks=(TaskExplanation(task="j/0", state="waiting", figures=("a=1", "b=2")),),
    ),
}
COMMANDS = (
    (("job", "list"), ("j/1 hub review 2 False", "more: job list --after j/1")),
    (("job", "status", "j/1"), ("j/1: running", "j/1/0 porto/r1 2 1 1 0 0")),
    (("job", "cancel", "j/1"), ("j/1: cancelled, in 1 chunks",)),
    (
        ("job", "submit", "j/1", "--team", "hub", "--kind", "review"),
        ("j/1: accepted, in 1 chunks",),
    ),
    (("shard", "list"), ("porto/r1 porto-1 3 96.0 1.5 4 5 6",)),
    (("explain", "j"), ("j: waiting", "j/0 waiting a=1, b=2")),
)


class ScriptedClient:
    """Answers each call from `REPLIES`, or fails every call."""

    def __init__(self, reachable=True):
        self._reachable = reachable

    async def call_caller(self, method, path, reply_type, message=None, query=None):
        """Answer a call of the caller interface."""
        if not self._reachable:
            error = Unreachable(details=("no answer",), exit_code=Exit.UNREACHABLE)
            return Failure(error)
        reply = REPLIES[method, path]
        assert isinstance(reply, reply_type)
        return Success(reply)

    call_operator = call_caller


def call(*words, reachable=True):
    """Run one command line; return exit code, output lines and error output."""
    output, errors = BufferedOutput(), BufferedOutput()
    client = ScriptedClient(reachable)
    with mock.patch("fuchsiascale.cli._command.Client", lambda profile: client):
        code = run(ArgvInput(["fuchsiascale", *words]), output, errors)
    lines = [" ".join(line.split()) for line in output.fetch().splitlines()]
    return code, lines, errors.fetch()


def test_each_command_prints_its_tables_and_lines():
    for words, expected in COMMANDS:
        code, lines, _ = call(*words)
        assert code == Exit.OK, words
        assert not set(expected) - set(lines), (words, lines)


def test_json_is_the_whole_reply_and_nothing_else():
    for words, _ in COMMANDS:
        code, lines, _ = call(*words, "--json")
        assert code == Exit.OK, words
        assert len(lines) == 1, (words, lines)
        json.loads(lines[0])


def test_a_failed_call_prints_only_its_reason():
    for words, _ in COMMANDS:
        code, lines, errors = call(*words, reachable=False)
        assert (code, lines) == (Exit.UNREACHABLE, []), words
        assert "no answer" in errors, words
