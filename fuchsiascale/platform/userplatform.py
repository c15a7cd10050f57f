"""The adapter to the users' platform: settings, store, workers, callers, operator."""

from fuchsiascale.platform._callerfront import *  # noqa: F403
from fuchsiascale.platform._localsettings import *  # noqa: F403
from fuchsiascale.platform._operatorrows import *  # noqa: F403
from fuchsiascale.platform._rowstore import *  # noqa: F403
from fuchsiascale.platform._taskworkers import *  # noqa: F403
