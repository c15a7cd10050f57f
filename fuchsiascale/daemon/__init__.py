"""Daemon: application object, listeners and the drivers of its parts."""

from fuchsiascale.daemon import (  # noqa: F401
    _cluster_hooks,
    _jobs_api,
    _latencies,
    _listeners,
    _membership,
    _operator,
    _operator_work,
    _request_hooks,
    _work,
)
from fuchsiascale.daemon._main import main

__all__ = ["main"]
