"""Jobs as graphs of tasks, from submission to the stored final state."""

from fuchsiascale.jobs._commands import *  # noqa: F403
from fuchsiascale.jobs._configuration import *  # noqa: F403
from fuchsiascale.jobs._configuration_feed import *  # noqa: F403
from fuchsiascale.jobs._configuration_watch import *  # noqa: F403
from fuchsiascale.jobs._members import *  # noqa: F403
from fuchsiascale.jobs._model import *  # noqa: F403
from fuchsiascale.jobs._owner import *  # noqa: F403
from fuchsiascale.jobs._owner_views import *  # noqa: F403
from fuchsiascale.jobs._ownership import *  # noqa: F403
from fuchsiascale.jobs._pacing import *  # noqa: F403
from fuchsiascale.jobs._peer_messages import *  # noqa: F403
from fuchsiascale.jobs._placement_explanation import *  # noqa: F403
from fuchsiascale.jobs._ports import *  # noqa: F403
from fuchsiascale.jobs._records import *  # noqa: F403
from fuchsiascale.jobs._relayed_workers import *  # noqa: F403
from fuchsiascale.jobs._request_handler import *  # noqa: F403
from fuchsiascale.jobs._rounds import *  # noqa: F403
from fuchsiascale.jobs._run_state import *  # noqa: F403
from fuchsiascale.jobs._shard import *  # noqa: F403
from fuchsiascale.jobs._store_relay import *  # noqa: F403
from fuchsiascale.jobs._table_watch import *  # noqa: F403
from fuchsiascale.jobs._worker_calls import *  # noqa: F403
from fuchsiascale.jobs._worker_relay import *  # noqa: F403
from fuchsiascale.jobs._worker_relay_channel import *  # noqa: F403
from fuchsiascale.jobs._worker_relay_selection import *  # noqa: F403
from fuchsiascale.jobs._worker_state import *  # noqa: F403
