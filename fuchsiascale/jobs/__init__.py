"""Jobs as graphs of tasks, from submission to the stored final state."""

from fuchsiascale.jobs._configuration import *  # noqa: F403
from fuchsiascale.jobs._configurationfeed import *  # noqa: F403
from fuchsiascale.jobs._configurationwatch import *  # noqa: F403
from fuchsiascale.jobs._model import *  # noqa: F403
from fuchsiascale.jobs._owner import *  # noqa: F403
from fuchsiascale.jobs._ownership import *  # noqa: F403
from fuchsiascale.jobs._pacing import *  # noqa: F403
from fuchsiascale.jobs._peermessages import *  # noqa: F403
from fuchsiascale.jobs._ports import *  # noqa: F403
from fuchsiascale.jobs._records import *  # noqa: F403
from fuchsiascale.jobs._relay import *  # noqa: F403
from fuchsiascale.jobs._request_handler import *  # noqa: F403
from fuchsiascale.jobs._rounds import *  # noqa: F403
from fuchsiascale.jobs._run_state import *  # noqa: F403
from fuchsiascale.jobs._shard import *  # noqa: F403
from fuchsiascale.jobs._watches import *  # noqa: F403
