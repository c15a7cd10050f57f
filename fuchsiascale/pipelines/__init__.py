"""Pipelines of filters: requests and jobs."""

from fuchsiascale.pipelines._calls import *  # noqa: F403
from fuchsiascale.pipelines._dispatch import *  # noqa: F403
from fuchsiascale.pipelines._filters import *  # noqa: F403
from fuchsiascale.pipelines._forward import *  # noqa: F403
from fuchsiascale.pipelines._hooks import *  # noqa: F403
from fuchsiascale.pipelines._jobs import *  # noqa: F403
from fuchsiascale.pipelines._requests import *  # noqa: F403
from fuchsiascale.pipelines._sends import *  # noqa: F403
