"""HTTP client of the operator and caller interfaces."""

import ssl

import aiohttp
import msgspec
from returns.result import Failure, Result, Success

from fuchsiascale.api import EditReply
from fuchsiascale.api import Failure as FailureBody
from fuchsiascale.cli._exits import Exit

__all__ = ["Client", "ClientError", "Rejected", "Unreachable"]

STATUS_EXITS = {
    400: Exit.INVALID,
    404: Exit.NOT_FOUND,
    409: Exit.CONFLICT,
    413: Exit.INVALID,
    422: Exit.INVALID,
    504: Exit.UNCONFIRMED,
}
MAX_DETAIL_CHARACTERS = 500


class ClientError(msgspec.Struct, frozen=True, kw_only=True):
    """Base class of the errors of a call."""

    details: tuple[str, ...]
    exit_code: Exit


class Unreachable(ClientError, frozen=True, kw_only=True):
    """The daemon could not be reached or did not answer within the time limit."""


class Rejected(ClientError, frozen=True, kw_only=True):
    """The daemon answered with an error status."""

    status: int


class Client:
    """Sends the HTTP calls of one command.

    Parameters
    ----------
    profile : Profile
        Addresses, token, TLS files and time limit.
    """

    def __init__(self, profile):
        self._profile = profile

    async def call_operator(self, method, path, reply_type, message=None, query=None):
        """Call the operator interface; see `call`."""
        base = self._profile.operator
        return await self._call_at(
            "operator", base, method, path, reply_type, message, query
        )

    async def call_caller(self, method, path, reply_type, message=None, query=None):
        """Call the caller interface; see `call`."""
        base = self._profile.caller
        return await self._call_at(
            "caller", base, method, path, reply_type, message, query
        )

    async def call_instance(self, address, path, reply_type, message):
        """Post to an instance on the users' platform, which takes no token."""
        url = f"http://{address}{path}"
        return await self._send(url, "POST", reply_type, message, None, {})

    async def _call_at(self, option, base, method, path, reply_type, message, query):
        if not base:
            detail = (
                f"no address is known: give --{option}, FUCHSIASCALE_{option.upper()} "
                "or a profile"
            )
            return Failure(Unreachable(details=(detail,), exit_code=Exit.INVALID))
        return await self.call(f"{base}{path}", method, reply_type, message, query)

    async def call(self, url, method, reply_type, message, query) -> Result:
        """Send a message and decode the reply.

        Returns
        -------
        Result
            The reply, or a `ClientError`.
        """
        headers = {"Authorization": f"Bearer {self._profile.token}"}
        return await self._send(url, method, reply_type, message, query, headers)

    async def _send(self, url, method, reply_type, message, query, headers):
        body = None if message is None else msgspec.json.encode(message)
        if body is not None:
            headers["Content-Type"] = "application/json"
        timeout = aiohttp.ClientTimeout(total=self._profile.timeout_ms / 1000)
        try:
            status, reply_body = await self._exchange(
                method, url, data=body, headers=headers, params=query, timeout=timeout
            )
        except (aiohttp.ClientError, TimeoutError, OSError, ssl.SSLError) as error:
            text = str(error) or "no answer in time"
            detail = f"the daemon at {url.partition('?')[0]} can't be reached: {text}"
            return Failure(Unreachable(details=(detail,), exit_code=Exit.UNREACHABLE))
        return _read_reply(status, reply_body, reply_type, url)

    async def _exchange(self, method, url, **request_options):
        async with (
            aiohttp.ClientSession() as session,
            session.request(
                method, url, ssl=self._build_context(), **request_options
            ) as response,
        ):
            return response.status, await response.read()

    def _build_context(self):
        profile = self._profile
        if not profile.authority and not profile.certificate:
            return True
        context = ssl.create_default_context(cafile=profile.authority or None)
        if profile.certificate:
            context.load_cert_chain(profile.certificate)
        return context


def _read_reply(status, body, reply_type, url):
    if status >= 300:
        code = STATUS_EXITS.get(status, Exit.REFUSED)
        details = _read_details(status, body)
        return Failure(Rejected(details=details, exit_code=code, status=status))
    try:
        return Success(msgspec.json.decode(body, type=reply_type))
    except msgspec.DecodeError as error:
        detail = f"the answer from {url} is not understood: {error}"
        return Failure(
            Rejected(details=(detail,), exit_code=Exit.REFUSED, status=status)
        )


def _read_details(status, body):
    """Return the lines of text that describe an error answer."""
    try:
        reply = msgspec.json.decode(body, type=EditReply)
        lines = (*reply.problems, *reply.conflicts)
        if lines:
            return lines
    except msgspec.DecodeError:
        pass
    try:
        failure = msgspec.json.decode(body, type=FailureBody)
    except msgspec.DecodeError:
        text = body.decode(errors="replace")[:MAX_DETAIL_CHARACTERS]
        return (f"status {status}: {text}",)
    reason = failure.reason.value if failure.reason else failure.outcome.value
    return (f"{reason}: {failure.detail}" if failure.detail else reason,)
