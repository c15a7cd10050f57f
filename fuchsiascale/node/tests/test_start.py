"""Signals that a process receives while it starts."""

import importlib
import signal

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
