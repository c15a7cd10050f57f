"""Claims of idempotency keys through the key's home instance."""

from returns.result import Failure, Success

from fuchsiascale.api import (
    KeyClaimReply,
    KeyClaimRequest,
    KeySettleReply,
    KeySettleRequest,
)
from fuchsiascale.coordination import (
    ClaimExists,
    ClaimGranted,
    ClaimUnavailable,
    find_owner,
    format_claim_key,
)
from fuchsiascale.daemon._peers import PeerUnreachable
from fuchsiascale.daemon._routes import PEER_ROUTES
from fuchsiascale.states import Refusal

__all__ = ["CLAIM_PATH", "SETTLE_PATH", "HomeKeyClaims"]

CLAIM_PATH = "/peer/v1/claim"
SETTLE_PATH = "/peer/v1/settle"
HOME_TIMEOUT_S = 0.5


class HomeKeyClaims:
    """Claims keys through their home instance, or directly if it is unreachable.

    The home only batches the failure domain's writes. The table service decides each
    claim, so any instance may write instead of the home.

    Parameters
    ----------
    claims : KeyClaims
        Claims that this instance writes itself.
    view : callable
        Returns the current view.
    call : callable
        ``async (address, path, message, reply_type, timeout_s) -> Result``.
    """

    def __init__(self, claims, view, call):
        self._claims = claims
        self._view = view
        self._call = call

    async def claim(self, record):
        """Insert the claim row; see `KeyClaims.claim`."""
        address = self._find_home_address(record)
        if address is None:
            return await self._claims.claim(record)
        result = await self._call(
            address,
            CLAIM_PATH,
            KeyClaimRequest(record=record),
            KeyClaimReply,
            HOME_TIMEOUT_S,
        )
        if isinstance(result, Success):
            return self._read_reply(record, result.unwrap())
        may_exist = not isinstance(result.failure(), PeerUnreachable)
        return await self._claims.claim(record, may_exist)

    async def record_outcome(self, granted, record):
        """Record the end of a claimed request; see `KeyClaims.record_outcome`."""
        address = self._find_home_address(record)
        if address is not None:
            message = KeySettleRequest(record=record, version=granted.version)
            result = await self._call(
                address, SETTLE_PATH, message, KeySettleReply, HOME_TIMEOUT_S
            )
            if isinstance(result, Success) and result.unwrap().settled:
                return True
        return await self._claims.record_outcome(granted, record)

    def _read_reply(self, record, reply):
        if reply.granted:
            return Success(ClaimGranted(record=record, version=reply.version))
        if reply.record is not None:
            return Failure(ClaimExists(record=reply.record))
        self._claims.abandon(record)
        detail = "the store did not confirm the claim"
        return Failure(ClaimUnavailable(detail=detail))

    def _find_home_address(self, record):
        """Return the address of the key's home, or None if it is this instance."""
        view = self._view()
        home = find_owner(format_claim_key(record.team, record.key), view.members)
        if home == view.instance:
            return None
        found = [each.address for each in view.members if each.instance == home]
        return found[0] if found else None


@PEER_ROUTES.route("POST", CLAIM_PATH, KeyClaimRequest)
async def answer_claim(application, message, request):
    """Insert a claim row for a peer."""
    result = await application.claims.claim(message.record, remote=True)
    if isinstance(result, Success):
        return KeyClaimReply(granted=True, version=result.unwrap().version)
    error = result.failure()
    if isinstance(error, ClaimExists):
        return KeyClaimReply(granted=False, record=error.record)
    return KeyClaimReply(granted=False, refusal=Refusal.STORE_UNAVAILABLE)


@PEER_ROUTES.route("POST", SETTLE_PATH, KeySettleRequest)
async def answer_settle(application, message, request):
    """Record the end of a peer's claimed request."""
    granted = ClaimGranted(record=message.record, version=message.version)
    return KeySettleReply(
        settled=await application.claims.record_outcome(granted, message.record)
    )
