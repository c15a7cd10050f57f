"""Pipelines of filters: requests and jobs."""

from fuchsiascale.pipelines._calls import *  # noqa: F403
from fuchsiascale.pipelines._filters import *  # noqa: F403
from fuchsiascale.pipelines._jobs import *  # noqa: F403
from fuchsiascale.pipelines._requests import *  # noqa: F403
