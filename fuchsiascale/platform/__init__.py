"""Ports to the services of the platform, and their HTTP clients."""

from fuchsiascale.platform._errors import *  # noqa: F403
from fuchsiascale.platform._instances import *  # noqa: F403
from fuchsiascale.platform._messages import *  # noqa: F403
from fuchsiascale.platform._objects import *  # noqa: F403
from fuchsiascale.platform._ports import *  # noqa: F403
from fuchsiascale.platform._runners import *  # noqa: F403
from fuchsiascale.platform._services import *  # noqa: F403
from fuchsiascale.platform._tables import *  # noqa: F403
from fuchsiascale.platform._workers import *  # noqa: F403
