"""Messages of the caller, peer and operator interfaces."""

from fuchsiascale.api._caller import *  # noqa: F403
from fuchsiascale.api._operator import *  # noqa: F403
from fuchsiascale.api._peer import *  # noqa: F403
