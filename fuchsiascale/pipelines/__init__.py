"""Pipelines of filters that requests and jobs travel through."""

from fuchsiascale.pipelines._calls import *  # noqa: F403
from fuchsiascale.pipelines._requests import *  # noqa: F403

"""Pipelines of filters: requests and jobs."""

from fuchsiascale.pipelines._jobs import *  # noqa: F403
