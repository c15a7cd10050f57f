"""Jobs as graphs of tasks, from hand-in to the record of their end."""

from fuchsiascale.jobs._configuration import *  # noqa: F403
from fuchsiascale.jobs._configurationfeed import *  # noqa: F403
from fuchsiascale.jobs._configurationwatch import *  # noqa: F403
from fuchsiascale.jobs._entry import *  # noqa: F403
from fuchsiascale.jobs._model import *  # noqa: F403
from fuchsiascale.jobs._offices import *  # noqa: F403
from fuchsiascale.jobs._owner import *  # noqa: F403
from fuchsiascale.jobs._pacing import *  # noqa: F403
from fuchsiascale.jobs._peermessages import *  # noqa: F403
from fuchsiascale.jobs._ports import *  # noqa: F403
from fuchsiascale.jobs._records import *  # noqa: F403
from fuchsiascale.jobs._relay import *  # noqa: F403
from fuchsiascale.jobs._rounds import *  # noqa: F403
from fuchsiascale.jobs._run_state import *  # noqa: F403
from fuchsiascale.jobs._shard import *  # noqa: F403
from fuchsiascale.jobs._watches import *  # noqa: F403
