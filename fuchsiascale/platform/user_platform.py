"""Adapters to the users' platform: settings, store, workers, callers, operator."""

from fuchsiascale.platform._caller_api import *  # noqa: F403
from fuchsiascale.platform._local_settings import *  # noqa: F403
from fuchsiascale.platform._operator_rows import *  # noqa: F403
from fuchsiascale.platform._row_store import *  # noqa: F403
from fuchsiascale.platform._task_workers import *  # noqa: F403
