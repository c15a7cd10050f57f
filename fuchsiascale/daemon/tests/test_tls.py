"""Tests of two daemon processes whose listeners and peer calls use TLS."""

import contextlib
import subprocess
import sys
import time
from pathlib import Path

import msgspec
from cleo.io.inputs.argv_input import ArgvInput
from cleo.io.outputs.buffered_output import BufferedOutput

from fuchsiascale.api import InstancesReply
from fuchsiascale.cli._application import run
from fuchsiascale.daemon._access import hash_token
from fuchsiascale.daemon.tests import test_access, test_settings  # noqa: F401
from fuchsiascale.testing import collect_functions
from standins.processes import find_free_address

load_tests = collect_functions(__name__)

DEADLINE_S = 20.0
PAUSE_S = 0.1
LISTENERS = ("caller", "peer", "operator")


def format_settings(name, addresses, seed, tls):
    """Return settings with TLS at every listener and an absent platform."""
    lines = ["[instance]", f"id = {name}", "failure_domain = porto", "region = norte"]
    lines += ["[listen]"]
    for listener in LISTENERS:
        lines += [f"{listener} = {addresses[listener]}"]
        lines += [f"{listener}_tls_certificate = {tls.certificate}"]
        lines += [f"{listener}_tls_key = {tls.key}"]
        lines += [f"{listener}_tls_authority = {tls.authority}"]
    lines += ["[platform]"]
    lines += [f"{name} = http://127.0.0.1:1" for name in ("tables", "objects")]
    lines += ["instances = http://127.0.0.1:1", "[peers]", f"seeds = {seed}"]
    lines += ["[access]", "peer_token = between-peers"]
    lines += [f"operator.admin = {hash_token('root-token')}"]
    lines += ["[timers]", "heartbeat_ms = 200", ""]
    return "\n".join(lines)


@contextlib.contextmanager
def running_daemon(path):
    """Run a daemon until the end of the block."""
    command = [sys.executable, "-m", "fuchsiascale.daemon", "--settings", str(path)]
    process = subprocess.Popen(command, stderr=subprocess.DEVNULL)
    try:
        yield process
    finally:
        process.terminate()
        process.wait(DEADLINE_S)


def list_states(address, tls, *extra):
    """Return exit code, states by instance, and error output of the tool."""
    output, errors = BufferedOutput(), BufferedOutput()
    words = ["fuchsiascale", "instance", "list", "--json", "--token", "root-token"]
    words += ["--operator", f"https://{address}", "--authority", tls.authority, *extra]
    code = run(ArgvInput(words), output, errors)
    text = output.fetch()
    reply = msgspec.json.decode(text, type=InstancesReply) if code == 0 else None
    states = {each.instance: each.state for each in reply.instances} if reply else {}
    return code, states, errors.fetch()


def test_daemons_find_each_other_over_tls_and_the_tool_reaches_them(tls, folder):
    names = ("porto-1", "porto-2")
    addresses = {
        name: {listener: find_free_address() for listener in LISTENERS}
        for name in names
    }
    pair = Path(folder) / "pair.pem"
    pair.write_text(Path(tls.certificate).read_text() + Path(tls.key).read_text())
    with contextlib.ExitStack() as stack:
        for name, other in (names, names[::-1]):
            path = Path(folder) / f"{name}.ini"
            seed = addresses[other]["peer"]
            path.write_text(format_settings(name, addresses[name], seed, tls))
            stack.enter_context(running_daemon(path))
        operator = addresses["porto-1"]["operator"]
        end_s = time.monotonic() + DEADLINE_S
        found = None
        while found != dict.fromkeys(names, "alive"):
            assert time.monotonic() < end_s, found
            time.sleep(PAUSE_S)
            _, found, _ = list_states(operator, tls, "--certificate", str(pair))
        code, _, errors = list_states(operator, tls)
        assert code == 3
        assert "can't be reached" in errors
