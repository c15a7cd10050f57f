"""Log lines: their content, and that writing them never blocks the process."""

import json
import os

import logbook

from fuchsiascale.node._logs import LINES_PER_S, MAX_LINES, JsonLineHandler, LineBuffer
from fuchsiascale.testing import collect_functions, fixture

load_tests = collect_functions(__name__)


@fixture
def pipe():
    reader, writer = os.pipe()
    yield reader, writer
    os.close(reader)
    os.close(writer)


def read_lines(reader):
    return [json.loads(line) for line in os.read(reader, 1 << 20).splitlines()]


def test_a_line_holds_the_message_and_the_extra_fields(pipe):
    reader, writer = pipe
    buffer = LineBuffer(writer)
    with JsonLineHandler(buffer, "entry-1").applicationbound():
        logbook.Logger("entry").info(
            "refused", extra={"job": "j1", "why": "store unreachable"}
        )
    assert buffer.flush()
    (line,) = read_lines(reader)
    assert line["instance"] == "entry-1"
    assert (line["message"], line["job"], line["why"]) == (
        "refused",
        "j1",
        "store unreachable",
    )


def test_lines_are_dropped_while_the_reader_does_not_read(pipe):
    _, writer = pipe
    buffer = LineBuffer(writer)
    for number in range(3 * MAX_LINES):
        buffer.add("x" * 100)
        if number % 100 == 0:
            buffer.flush()
    assert not buffer.flush()
    assert buffer.dropped > 0


def test_a_flood_of_one_message_is_dropped_but_no_warning(pipe):
    _, writer = pipe
    buffer = LineBuffer(writer)
    log = logbook.Logger("shard")
    with JsonLineHandler(buffer, "entry-1").applicationbound():
        for _ in range(5 * LINES_PER_S):
            log.info("tasks started")
            log.warning("store lost")
    lines = [json.loads(line)["message"] for line in buffer._lines]
    assert lines.count("store lost") == 5 * LINES_PER_S
    assert lines.count("tasks started") <= 2 * LINES_PER_S
    assert buffer.dropped >= 3 * LINES_PER_S
