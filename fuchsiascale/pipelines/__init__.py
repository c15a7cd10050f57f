"""Pipelines of filters: requests and jobs."""

from fuchsiascale.pipelines._calls import *  # noqa: F403
from fuchsiascale.pipelines._dispatch import *  # noqa: F403
from fuchsiascale.pipelines._filters import *  # noqa: F403
from fuchsiascale.pipelines._forward import *  # noqa: F403
from fuchsiascale.pipelines._hooks import *  # noqa: F403
from fuchsiascale.pipelines._jobcancel import *  # noqa: F403
from fuchsiascale.pipelines._joberrors import *  # noqa: F403
from fuchsiascale.pipelines._jobreads import *  # noqa: F403
from fuchsiascale.pipelines._jobrows import *  # noqa: F403
from fuchsiascale.pipelines._jobrules import *  # noqa: F403
from fuchsiascale.pipelines._jobs import *  # noqa: F403
from fuchsiascale.pipelines._jobspread import *  # noqa: F403
from fuchsiascale.pipelines._requests import *  # noqa: F403
from fuchsiascale.pipelines._sends import *  # noqa: F403
