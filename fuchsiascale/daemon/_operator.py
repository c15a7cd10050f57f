"""Handlers of the operator interface for the document and the instances."""

import http

import msgspec
from returns.result import Failure, Success

from fuchsiascale.api import (
    DocumentReply,
    DrainRequest,
    EditReply,
    EditRequest,
    HistoryReply,
    InstancesReply,
    InstanceStatus,
    StatusReply,
)
from fuchsiascale.coordination import (
    EditConflict,
    EditForbidden,
    EditInvalid,
    EditUnavailable,
    EditUncertain,
    format_sections,
)
from fuchsiascale.daemon._access import OPERATOR_KEY
from fuchsiascale.daemon._http import Refused, encode_reply
from fuchsiascale.daemon._listeners import build_status
from fuchsiascale.daemon._routes import OPERATOR_ROUTES, PEER_ROUTES
from fuchsiascale.ids import Revision
from fuchsiascale.states import InstanceRole, PeerState, Refusal

__all__ = ["BASE"]

BASE = "/operator/v1"
TOKEN_OPTION = "token_sha256"
STOP_PATH = "/peer/v1/stop"
MAX_HISTORY = 500
DEFAULT_HISTORY = 50
EDIT_STATUS = {
    EditInvalid: http.HTTPStatus.UNPROCESSABLE_ENTITY,
    EditForbidden: http.HTTPStatus.FORBIDDEN,
    EditConflict: http.HTTPStatus.CONFLICT,
    EditUnavailable: http.HTTPStatus.SERVICE_UNAVAILABLE,
    EditUncertain: http.HTTPStatus.GATEWAY_TIMEOUT,
}


@OPERATOR_ROUTES.route("GET", f"{BASE}/document")
async def show_document(application, message, request):
    """Return the document in force here."""
    documents = application.documents
    stored = (section for section in documents.sections() if not section.removed)
    sections = _hide_tokens(stored, request[OPERATOR_KEY])
    return DocumentReply(
        revision=documents.revision(),
        sections=sections,
        text=format_sections(sections),
    )


@OPERATOR_ROUTES.route("POST", f"{BASE}/edits", EditRequest)
async def edit_document(application, message, request):
    """Check and write an edit, and announce it to the peers."""
    operator = request[OPERATOR_KEY]
    before = application.documents.revision()
    result = await application.documents.edit(message, operator.team, operator.admin)
    if isinstance(result, Failure):
        error = result.failure()
        status = EDIT_STATUS[type(error)]
        return encode_reply(_build_refusal(error, application), status)
    reply = result.unwrap()
    if reply.revision > before:
        application.membership_driver.announce(everywhere=True)
        application.log.info(
            "revision {} was accepted from team {}", reply.revision, operator.team
        )
    return reply


@OPERATOR_ROUTES.route("GET", f"{BASE}/history")
async def show_history(application, message, request):
    """Return the last accepted edits."""
    limit = _read_number(request, "limit", DEFAULT_HISTORY, MAX_HISTORY)
    result = await application.documents.history(limit)
    if isinstance(result, Success):
        operator = request[OPERATOR_KEY]
        entries = (
            msgspec.structs.replace(
                entry, sections=_hide_tokens(entry.sections, operator)
            )
            for entry in result.unwrap()
        )
        return HistoryReply(entries=tuple(entries))
    detail = result.failure().detail
    raise Refused(
        http.HTTPStatus.SERVICE_UNAVAILABLE, Refusal.STORE_UNAVAILABLE, detail
    )


@OPERATOR_ROUTES.route("GET", f"{BASE}/confirmations")
async def show_confirmations(application, message, request):
    """Return which instances have a revision in force."""
    newest = int(application.documents.revision())
    revision = _read_number(request, "revision", newest, 2**53)
    return await application.membership_driver.confirm(Revision(revision))


@OPERATOR_ROUTES.route("GET", f"{BASE}/instances")
async def list_instances(application, message, request):
    """Return the instances and upstreams known here."""
    view = application.membership.view()
    membership = application.membership
    digests = {digest.instance: digest for digest in membership.digests()}
    digests[view.instance] = membership.digest()
    entries = {entry.instance: entry for entry in membership.entries()}
    entries |= {digest.instance: digest for digest in digests.values()}
    instances = [
        InstanceStatus(
            instance=name,
            role=InstanceRole.ENTRY.value,
            address=entry.address,
            failure_domain=entry.failure_domain,
            region=entry.region,
            state=_describe_state(membership, digests, name, view.instance),
            revision=digests[name].revision if name in digests else Revision(0),
            in_flight=digests[name].in_flight if name in digests else 0,
        )
        for name, entry in sorted(entries.items())
    ]
    instances += [
        InstanceStatus(
            instance=entry.instance_id,
            role=entry.role.value,
            address=entry.address,
            failure_domain=entry.failure_domain,
            region=entry.region,
            state="leaving" if entry.instance_id in view.leaving else entry.state.value,
        )
        for entry in view.upstreams
    ]
    return InstancesReply(instances=tuple(instances))


@OPERATOR_ROUTES.route("POST", f"{BASE}/drain", DrainRequest)
async def drain_instance(application, message, request):
    """Stop an instance gracefully, or cordon an upstream in the document."""
    operator = request[OPERATOR_KEY]
    if not operator.admin:
        detail = f"team {operator.team} may not drain instances"
        raise Refused(http.HTTPStatus.FORBIDDEN, Refusal.UNAUTHORIZED, detail)
    view = application.membership.view()
    if message.instance == view.instance:
        application.request_stop()
    elif message.instance in {entry.instance_id for entry in view.upstreams}:
        await _cordon(application, message.instance, operator)
    else:
        await _drain_peer(application, message)
    return build_status(application, operator.team)


@OPERATOR_ROUTES.route("GET", f"{BASE}/status")
async def show_status(application, message, request):
    """Return a summary of this instance."""
    return build_status(application, request[OPERATOR_KEY].team)


@PEER_ROUTES.route("POST", STOP_PATH, DrainRequest)
async def stop_instance(application, message, request):
    """Begin a graceful stop that an operator requested through another instance."""
    if message.instance == application.settings.instance:
        application.request_stop()
    return build_status(application)


def _hide_tokens(sections, operator):
    """Return sections without the token digests of other teams.

    An owner sees its own digests, as writing a section back would drop them otherwise.
    """
    own = f"team {operator.team}"
    return tuple(
        section
        if operator.admin or section.team == operator.team or section.name == own
        else msgspec.structs.replace(
            section,
            options=tuple(
                option for option in section.options if option.name != TOKEN_OPTION
            ),
        )
        for section in sections
    )


def _build_refusal(error, application):
    if isinstance(error, EditConflict):
        problems, conflicts = (), error.conflicts
    elif isinstance(error, EditInvalid | EditForbidden):
        problems, conflicts = tuple(map(str, error.problems)), ()
    elif isinstance(error, EditUncertain):
        text = (
            f"the edit may have been accepted as revision {error.revision}; "
            "see the history, or send it again"
        )
        problems, conflicts = (text,), ()
    else:
        problems, conflicts = (error.detail,), ()
    return EditReply(
        accepted=False,
        revision=application.documents.revision(),
        problems=problems,
        conflicts=conflicts,
    )


def _read_number(request, name, default, maximum):
    text = request.query.get(name, str(default))
    if not text.isdecimal() or int(text) > maximum:
        detail = f"{name}: {text!r} is not from 0 to {maximum}"
        raise Refused(http.HTTPStatus.BAD_REQUEST, Refusal.BAD_REQUEST, detail)
    return int(text)


def _describe_state(membership, digests, name, own_name):
    if name == own_name:
        return digests[own_name].state.value
    if name not in digests:
        return PeerState.GONE.value
    return membership.state_of(name).value


async def _cordon(application, upstream, operator):
    """Write ``cordoned = yes`` into the upstream's section."""
    sections = {section.name: section for section in application.documents.sections()}
    name = f"instance {upstream}"
    section = sections.get(name)
    lines = [f"[{name}]", f"team = {section.team if section else operator.team}"]
    for option in section.options if section else ():
        if option.name != "cordoned":
            lines.append(f"{option.name} = {option.value}")
    text = "\n".join([*lines, "cordoned = yes", ""])
    edit = EditRequest(
        text=text, expected=(section,) if section else (), author="drain"
    )
    result = await application.documents.edit(edit, operator.team, operator.admin)
    if isinstance(result, Failure):
        error = result.failure()
        detail = "; ".join((*_build_refusal(error, application).problems, error.detail))
        raise Refused(EDIT_STATUS[type(error)], Refusal.BAD_REQUEST, detail)
    application.membership_driver.announce(everywhere=True)


async def _drain_peer(application, message):
    """Forward the request to the instance that it names."""
    entries = {entry.instance: entry for entry in application.membership.entries()}
    entry = entries.get(message.instance)
    if entry is None:
        detail = f"no instance or upstream {message.instance!r} is known"
        raise Refused(http.HTTPStatus.NOT_FOUND, Refusal.NO_UPSTREAM, detail)
    result = await application.peers.call(
        entry.address, STOP_PATH, message, StatusReply
    )
    if isinstance(result, Failure):
        detail = f"{message.instance} did not answer: {result.failure().detail}"
        raise Refused(http.HTTPStatus.BAD_GATEWAY, Refusal.NO_UPSTREAM, detail)
