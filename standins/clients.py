"""Calls to the operator and job interfaces, for tests and examples."""

import contextlib
import http.client

import msgspec

from fuchsiascale.api import DocumentReply, EditReply, EditRequest, JobStatus
from fuchsiascale.coordination import DocumentSection
from standins._plans import ADMIN_TOKEN
from standins.callers import call_json

__all__ = [
    "apply_fleet",
    "edit_document",
    "is_ready",
    "read_document",
    "read_job",
    "submit_job",
]

CALL_ERRORS = (OSError, http.client.HTTPException)


def is_ready(address):
    """Return whether a daemon reports that it is ready."""
    with contextlib.suppress(*CALL_ERRORS):
        return call_json(address, "GET", "/readyz").status == 200
    return False


def submit_job(address, spec, token=""):
    """Submit a job and return the answer."""
    return call_json(address, "POST", "/v1/jobs", spec, token, spec.team)


def read_job(address, job, team=""):
    """Return the status of a job, or None if it can't be read."""
    with contextlib.suppress(*CALL_ERRORS):
        answer = call_json(address, "GET", f"/v1/jobs/{job}", team=team)
        if answer.status == 200:
            return answer.decode(JobStatus)
    return None


def read_document(address, token=ADMIN_TOKEN):
    """Return the document in force at an instance, or None if it can't be read."""
    with contextlib.suppress(*CALL_ERRORS):
        answer = call_json(address, "GET", "/operator/v1/document", token=token)
        if answer.status == 200:
            return answer.decode(DocumentReply)
    return None


def edit_document(address, text, expected=(), token=ADMIN_TOKEN, author="scenario"):
    """Send one edit and return the reply, or None if there was none."""
    expected = tuple(
        DocumentSection(name=section.name, team=section.team, revision=section.revision)
        for section in expected
    )
    request = EditRequest(text=text, expected=expected, author=author)
    with contextlib.suppress(*CALL_ERRORS):
        answer = call_json(address, "POST", "/operator/v1/edits", request, token)
        return read_edit_reply(answer)
    return None


def read_edit_reply(answer):
    """Return the edit reply of an answer, or None if it has another body."""
    with contextlib.suppress(msgspec.MsgspecError):
        return answer.decode(EditReply)
    return None


def apply_fleet(deployment, instance, text):
    """Write the first document; retry until the instance accepts it.

    Parameters
    ----------
    deployment : Deployment
        A started deployment.
    instance : str
        The instance whose operator interface is called.
    text : str
        The document.

    Raises
    ------
    RuntimeError
        If the document was refused or a process has exited.
    TimeoutError
        If it was not accepted within the time limit.
    """

    def is_accepted():
        reply = edit_document(deployment.operators[instance], text)
        if reply is not None and (reply.problems or reply.conflicts):
            raise RuntimeError(f"the document was refused: {reply}")
        return reply is not None and reply.accepted

    deployment.wait_until(is_accepted, f"{instance} accepts the document")
