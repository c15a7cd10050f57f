"""Limits for untrusted callers: bytes, connections and time of a listener.

The package stands between the sockets of a listener and aiohttp. It frames requests,
admits their bodies against a budget of bytes, and bounds connections and time.
"""

from fuchsiascale.ingress._bodies import *  # noqa: F403
from fuchsiascale.ingress._budget import *  # noqa: F403
from fuchsiascale.ingress._connection_table import *  # noqa: F403
from fuchsiascale.ingress._frames import *  # noqa: F403
from fuchsiascale.ingress._framing import *  # noqa: F403
from fuchsiascale.ingress._gate import *  # noqa: F403
from fuchsiascale.ingress._limits import *  # noqa: F403
from fuchsiascale.ingress._metrics import *  # noqa: F403
