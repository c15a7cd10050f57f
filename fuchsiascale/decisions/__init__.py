"""Decision functions and their models, without I/O, clocks or global state."""

from fuchsiascale.decisions._admission import *  # noqa: F403
from fuchsiascale.decisions._capacity import *  # noqa: F403
from fuchsiascale.decisions._free_index import *  # noqa: F403
from fuchsiascale.decisions._interference import *  # noqa: F403
from fuchsiascale.decisions._pair_interference import *  # noqa: F403
from fuchsiascale.decisions._placement import *  # noqa: F403
from fuchsiascale.decisions._preemption import *  # noqa: F403
from fuchsiascale.decisions._quarantine import *  # noqa: F403
from fuchsiascale.decisions._responses import *  # noqa: F403
from fuchsiascale.decisions._retries import *  # noqa: F403
from fuchsiascale.decisions._routing import *  # noqa: F403
from fuchsiascale.decisions._run_times import *  # noqa: F403
