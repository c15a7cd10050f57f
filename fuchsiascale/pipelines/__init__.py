"""Pipelines of filters: requests and jobs."""

from fuchsiascale.pipelines._jobs import *  # noqa: F403
