"""Pipelines of filters that requests and jobs travel through."""

from fuchsiascale.pipelines._calls import *  # noqa: F403
from fuchsiascale.pipelines._dispatch import *  # noqa: F403
from fuchsiascale.pipelines._forward import *  # noqa: F403
from fuchsiascale.pipelines._hooks import *  # noqa: F403
from fuchsiascale.pipelines._requests import *  # noqa: F403
