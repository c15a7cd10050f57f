"""Coordination of instances, without HTTP; clock and random source are passed in."""

from fuchsiascale.coordination._attempts import *  # noqa: F403
from fuchsiascale.coordination._claims import *  # noqa: F403
from fuchsiascale.coordination._commits import *  # noqa: F403
from fuchsiascale.coordination._credit_messages import *  # noqa: F403
from fuchsiascale.coordination._credits import *  # noqa: F403
from fuchsiascale.coordination._documents import *  # noqa: F403
from fuchsiascale.coordination._edits import *  # noqa: F403
from fuchsiascale.coordination._leases import *  # noqa: F403
from fuchsiascale.coordination._live_chunks import *  # noqa: F403
from fuchsiascale.coordination._membership import *  # noqa: F403
from fuchsiascale.coordination._messages import *  # noqa: F403
from fuchsiascale.coordination._moves import *  # noqa: F403
from fuchsiascale.coordination._ownership import *  # noqa: F403
from fuchsiascale.coordination._records import *  # noqa: F403
from fuchsiascale.coordination._row_writes import *  # noqa: F403
from fuchsiascale.coordination._schema import *  # noqa: F403
from fuchsiascale.coordination._schema_options import *  # noqa: F403
from fuchsiascale.coordination._shard_commands import *  # noqa: F403
from fuchsiascale.coordination._shard_policy import *  # noqa: F403
from fuchsiascale.coordination._shard_state import *  # noqa: F403
from fuchsiascale.coordination._shards import *  # noqa: F403
from fuchsiascale.coordination._slots import *  # noqa: F403
from fuchsiascale.coordination._view import *  # noqa: F403
from fuchsiascale.coordination._work_meters import *  # noqa: F403
from fuchsiascale.coordination._worker_links import *  # noqa: F403
