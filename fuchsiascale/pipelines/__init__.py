"""Pipelines of filters that process requests and jobs."""

from fuchsiascale.pipelines._calls import *  # noqa: F403
from fuchsiascale.pipelines._dispatch import *  # noqa: F403
from fuchsiascale.pipelines._filters import *  # noqa: F403
from fuchsiascale.pipelines._forward import *  # noqa: F403
from fuchsiascale.pipelines._hooks import *  # noqa: F403
from fuchsiascale.pipelines._job_cancel import *  # noqa: F403
from fuchsiascale.pipelines._job_errors import *  # noqa: F403
from fuchsiascale.pipelines._job_reads import *  # noqa: F403
from fuchsiascale.pipelines._job_rows import *  # noqa: F403
from fuchsiascale.pipelines._job_rules import *  # noqa: F403
from fuchsiascale.pipelines._job_spread import *  # noqa: F403
from fuchsiascale.pipelines._jobs import *  # noqa: F403
from fuchsiascale.pipelines._requests import *  # noqa: F403
from fuchsiascale.pipelines._sends import *  # noqa: F403
