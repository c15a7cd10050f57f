"""How a process starts: signals meanwhile, and parts that its settings turn on."""

import importlib
import signal

from fuchsiascale.node._application import NodeApplication
from fuchsiascale.platform import user_platform
from fuchsiascale.testing import collect_functions

load_tests = collect_functions(__name__)


def test_a_reload_signal_during_startup_does_not_end_the_process():
    before = signal.getsignal(signal.SIGHUP)
    try:
        module = importlib.import_module("fuchsiascale.node.__main__")
        signal.signal(signal.SIGHUP, signal.SIG_DFL)
        importlib.reload(module)
        assert signal.getsignal(signal.SIGHUP) is signal.SIG_IGN
    finally:
        signal.signal(signal.SIGHUP, before)


SETTINGS = """\
node_name=front-a-1
zone=a
region=r
listen.front=127.0.0.1:80
listen.control=127.0.0.1:82
platform.address=127.0.0.1:90
"""


async def build(text):
    """Return the components of a process with some settings; it calls nobody."""
    settings = user_platform.parse_settings(text).unwrap()
    application = NodeApplication(settings, None)
    application._build_components()
    await application.relay_connector.close()
    for session in application._sessions:
        await session.close()
    return application


async def test_evacuations_and_cold_workers_are_off_without_their_bound():
    # Deployments without the setting are served as before, with no further calls.
    ownership = (await build(SETTINGS)).ownership
    assert ownership._evacuations is None
    assert ownership.listing.decode is user_platform.decode_warm_worker


async def test_evacuations_and_cold_workers_are_on_with_their_bound():
    ownership = (await build(SETTINGS + "bounds.evacuate_ms=5000\n")).ownership
    assert ownership._evacuations.bound_s == 5.0
    assert ownership.listing.decode is user_platform.decode_worker
