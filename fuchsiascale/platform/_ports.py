"""Ports to the platform and the upstreams, one protocol class per service."""

from typing import Protocol

from returns.result import Result

from fuchsiascale.ids import CheckpointKey
from fuchsiascale.platform._errors import (
    Conflict,
    Fenced,
    RequestNotRun,
    RequestUncertain,
    Unavailable,
    Uncertain,
)
from fuchsiascale.platform._messages import (
    ClaimReply,
    ClaimRequest,
    ExchangeReply,
    ExchangeRequest,
    ListedInstance,
    Row,
    ScanPage,
    StartReply,
    StartRequest,
    Transaction,
    UpstreamAnswer,
    UpstreamRequest,
)

__all__ = ["InstanceList", "Objects", "Runners", "Tables", "Workers"]

TransactError = Conflict | Unavailable | Uncertain
WorkerError = Fenced | Unavailable | Uncertain
RunnerError = RequestNotRun | RequestUncertain


class Tables(Protocol):
    """The platform's transactional table service."""

    async def get(self, table: str, key: str) -> Result[Row | None, Unavailable]:
        """Read one row; None if it is absent."""

    async def scan(
        self, table: str, prefix: str, after: str = "", limit: int = 500
    ) -> Result[ScanPage, Unavailable]:
        """Read rows in key order."""

    async def transact(
        self, transaction: Transaction
    ) -> Result[tuple[Row, ...], TransactError]:
        """Apply conditional writes; a lost reply is resolved by reading rows back."""


class Objects(Protocol):
    """The platform's object store, which holds checkpoints."""

    async def exists(self, key: CheckpointKey) -> Result[bool, Unavailable]:
        """Return whether an object is stored."""


class InstanceList(Protocol):
    """The platform's lagging list of live and leaving instances."""

    async def fetch(self) -> Result[tuple[ListedInstance, ...], Unavailable]:
        """Read the whole list."""


class Workers(Protocol):
    """Commands to workers, each by its address (``host:port``)."""

    async def claim(
        self, address: str, request: ClaimRequest
    ) -> Result[ClaimReply, WorkerError]:
        """Claim a worker; a granted claim returns its inventory."""

    async def start(
        self, address: str, request: StartRequest
    ) -> Result[StartReply, WorkerError]:
        """Start attempts; ``Uncertain`` if the reply was lost."""

    async def exchange(
        self, address: str, request: ExchangeRequest
    ) -> Result[ExchangeReply, WorkerError]:
        """Renew the lease, send commands and read the inventory."""


class Runners(Protocol):
    """Requests to runners, each by its address (``host:port``)."""

    async def send(
        self, address: str, request: UpstreamRequest
    ) -> Result[UpstreamAnswer, RunnerError]:
        """Send a request once and receive the complete response."""
