"""Tests of a daemon that can't start."""

import asyncio
import io
import json
import socket

from fuchsiascale.daemon._logs import JsonLinesHandler
from fuchsiascale.daemon._main import EXIT_FAILED, _serve
from fuchsiascale.daemon._settings import read_settings
from fuchsiascale.daemon.tests.test_settings import VALID
from fuchsiascale.testing import collect_functions, fixture

load_tests = collect_functions(__name__)

LISTENERS = ("caller", "peer", "operator")


@fixture
def ports():
    """Yield a bound socket for each listener, so that its port is in use."""
    sockets = [socket.socket() for _ in LISTENERS]
    try:
        for each in sockets:
            each.bind(("127.0.0.1", 0))
        yield sockets
    finally:
        for each in sockets:
            each.close()


def test_a_taken_address_is_named_and_nothing_is_left_running(ports, folder):
    text = VALID
    for number, each in enumerate(ports):
        text = text.replace(
            f"127.0.0.1:800{number + 1}", f"127.0.0.1:{each.getsockname()[1]}"
        )
    ports[0].listen()
    path = folder / "instance.ini"
    path.write_text(text)
    stream = io.StringIO()
    with JsonLinesHandler(stream).applicationbound():
        code = asyncio.run(_serve(read_settings(path).unwrap()))
    assert code == EXIT_FAILED
    last = json.loads(stream.getvalue().splitlines()[-1])
    assert last["level"] == "critical"
    assert "caller listener" in last["message"]
    assert "Traceback" not in stream.getvalue()
