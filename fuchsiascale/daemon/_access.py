"""Access control: tokens of peers and operators, and TLS contexts."""

import hashlib
import hmac
import ssl

import msgspec
from aiohttp import web

from fuchsiascale.api import Failure
from fuchsiascale.daemon._http import encode_reply
from fuchsiascale.ids import TeamId
from fuchsiascale.states import Outcome, Refusal

__all__ = [
    "OPERATOR_KEY",
    "Access",
    "Operator",
    "build_client_context",
    "build_server_context",
    "choose_scheme",
    "hash_token",
    "require_operator_token",
    "require_peer_token",
]

BEARER_PREFIX = "Bearer "
UNAUTHORIZED = 401


class Operator(msgspec.Struct, frozen=True):
    """Team whose token a call carried, and whether it may edit every section."""

    team: TeamId
    admin: bool


OPERATOR_KEY = web.RequestKey("operator", Operator)


class Access:
    """Checks the tokens that calls carry.

    Parameters
    ----------
    settings : AccessSettings
        The peer token and the operators' tokens, as hashes.
    fleet : callable
        Returns the fleet document in force, whose teams may have tokens too.
    """

    def __init__(self, settings, fleet):
        self._settings = settings
        self._fleet = fleet

    def is_peer(self, authorization) -> bool:
        """Return whether a header carries the peer token."""
        token = _read_bearer(authorization)
        return hmac.compare_digest(token.encode(), self._settings.peer_token.encode())

    def identify(self, authorization) -> Operator | None:
        """Return the operator whose token a header carries, or None.

        Notes
        -----
        Every known hash is compared in constant time, so that the duration reveals
        nothing about the token.
        """
        digest = hash_token(_read_bearer(authorization))
        found = None
        for team, sha256 in self._list_hashes():
            if hmac.compare_digest(digest, sha256) and found is None:
                found = team
        if found is None:
            return None
        return Operator(found, admin=found == self._settings.admin)

    def can_act_for(self, team, authorization) -> bool:
        """Return whether a header permits acting for a team.

        Notes
        -----
        A team without a token anywhere is open to every caller.
        """
        protected = any(name == team for name, _ in self._list_hashes())
        operator = self.identify(authorization)
        if operator is None:
            return not protected and not authorization
        return operator.admin or operator.team == team

    def _list_hashes(self):
        for token in self._settings.operators:
            yield token.team, token.sha256
        for team in self._fleet().teams.values():
            if team.token_sha256 and team.team != self._settings.admin:
                yield team.team, team.token_sha256


def hash_token(token):
    """Return the SHA-256 of a token, as settings and document hold it.

    Examples
    --------
    >>> hash_token("")[:8]
    'e3b0c442'
    """
    return hashlib.sha256(token.encode()).hexdigest()


def require_peer_token(access, report_refusal):
    """Return a middleware that admits only peers.

    Parameters
    ----------
    access : Access
        The checks.
    report_refusal : callable
        Called with the listener's name for each refused call.

    Returns
    -------
    callable
        Middleware of an aiohttp application.
    """

    def admit(request, authorization):
        return access.is_peer(authorization)

    return _require(admit, "peer", "no peer token", report_refusal)


def require_operator_token(access, report_refusal):
    """Return a middleware that admits only operators, and records which.

    Parameters and result are those of `require_peer_token`. Handlers read the
    operator from the request under ``OPERATOR_KEY``.
    """

    def admit(request, authorization):
        operator = access.identify(authorization)
        if operator is not None:
            request[OPERATOR_KEY] = operator
        return operator is not None

    detail = "no operator token that is known"
    return _require(admit, "operator", detail, report_refusal)


def build_server_context(files) -> ssl.SSLContext | None:
    """Return the TLS context of a listener, or None if it has no certificate.

    Parameters
    ----------
    files : TlsFiles or None
        With an authority, callers must show a certificate that it signed.
    """
    if files is None or not files.certificate:
        return None
    context = ssl.SSLContext(ssl.PROTOCOL_TLS_SERVER)
    context.load_cert_chain(files.certificate, files.key)
    if files.authority:
        context.load_verify_locations(files.authority)
        context.verify_mode = ssl.CERT_REQUIRED
    return context


def build_client_context(files) -> ssl.SSLContext | None:
    """Return the TLS context of a client, or None if no files are given.

    Parameters
    ----------
    files : TlsFiles or None
        Authority that verifies servers, and the client's own certificate.
    """
    if files is None:
        return None
    context = ssl.create_default_context(cafile=files.authority or None)
    if files.certificate:
        context.load_cert_chain(files.certificate, files.key)
    return context


def choose_scheme(files) -> str:
    """Return the URL scheme of calls to servers that have such TLS files.

    Examples
    --------
    >>> choose_scheme(None)
    'http'
    """
    return "http" if files is None else "https"


def _read_bearer(authorization):
    if not authorization.startswith(BEARER_PREFIX):
        return ""
    return authorization.removeprefix(BEARER_PREFIX)


def _require(admit, listener, detail, report_refusal):
    """Return a middleware that refuses and reports the calls not admitted."""

    @web.middleware
    async def check(request, handler):
        if admit(request, request.headers.get("Authorization", "")):
            return await handler(request)
        report_refusal(listener)
        return _refuse(detail)

    return check


def _refuse(detail):
    failure = Failure(
        outcome=Outcome.NOT_RUN, reason=Refusal.UNAUTHORIZED, detail=detail
    )
    return encode_reply(failure, UNAUTHORIZED)
