"""Handlers of the caller interface for jobs."""

import http

import logbook
from returns.result import Success

from fuchsiascale.coordination import JobSpec
from fuchsiascale.daemon._http import Refused
from fuchsiascale.daemon._logs import bind_ids
from fuchsiascale.daemon._routes import CALLER_ROUTES
from fuchsiascale.daemon._work import make_job_ports
from fuchsiascale.pipelines import (
    JobConflict,
    JobNotFound,
    JobRejected,
    JobUnavailable,
    JobUncertain,
    cancel_job,
    find_fleet_problem,
    list_jobs,
    read_job,
    submit_job,
)
from fuchsiascale.states import Outcome, Refusal

log = logbook.Logger("jobs")

JOBS_PATH = "/v1/jobs"
JOB_PATH = "/v1/jobs/{job}"
MAX_PAGE_JOBS = 500

JOB_ERROR_STATUS = {
    JobRejected: (http.HTTPStatus.UNPROCESSABLE_ENTITY, Refusal.BAD_REQUEST),
    JobConflict: (http.HTTPStatus.CONFLICT, Refusal.KEY_CONFLICT),
    JobNotFound: (http.HTTPStatus.NOT_FOUND, Refusal.BAD_REQUEST),
    JobUnavailable: (
        http.HTTPStatus.SERVICE_UNAVAILABLE,
        Refusal.STORE_UNAVAILABLE,
    ),
    JobUncertain: (http.HTTPStatus.GATEWAY_TIMEOUT, None),
}


@CALLER_ROUTES.route("POST", JOBS_PATH, JobSpec)
async def post_job(application, message, request):
    """Accept a job."""
    _require_team(application, request, message.team)
    problem = find_fleet_problem(message, application.documents.fleet())
    if problem:
        status = http.HTTPStatus.UNPROCESSABLE_ENTITY
        raise Refused(status, Refusal.BAD_REQUEST, problem)
    with bind_ids(job=message.job):
        record = _unwrap(await submit_job(message, make_job_ports(application)))
        log.info("accepted from team {}, {} tasks", message.team, message.tasks)
        return record


@CALLER_ROUTES.route("GET", JOBS_PATH)
async def get_jobs(application, message, request):
    """List jobs in pages."""
    after = request.query.get("after", "")
    text = request.query.get("limit", "100")
    if not text.isdecimal() or not 1 <= int(text) <= MAX_PAGE_JOBS:
        detail = f"limit is {text!r}; it must be from 1 to {MAX_PAGE_JOBS}"
        raise Refused(http.HTTPStatus.BAD_REQUEST, Refusal.BAD_REQUEST, detail)
    return _unwrap(await list_jobs(make_job_ports(application), after, int(text)))


@CALLER_ROUTES.route("GET", JOB_PATH)
async def get_job(application, message, request):
    """Read the durable state of a job."""
    job = request.match_info["job"]
    return _unwrap(await read_job(job, make_job_ports(application)))


@CALLER_ROUTES.route("DELETE", JOB_PATH)
async def delete_job(application, message, request):
    """Cancel a job."""
    job = request.match_info["job"]
    ports = make_job_ports(application)
    status = _unwrap(await read_job(job, ports))
    _require_team(application, request, status.spec.team)
    with bind_ids(job=job):
        record = _unwrap(await cancel_job(job, ports))
        log.info("cancelled")
        return record


def _require_team(application, request, team):
    """Refuse a call whose token is not the team's, if the team has one."""
    authorization = request.headers.get("Authorization", "")
    if not application.access.can_act_for(team, authorization):
        application.report_refusal("caller")
        detail = f"the token is not that of team {team}"
        raise Refused(http.HTTPStatus.UNAUTHORIZED, Refusal.UNAUTHORIZED, detail)


def _unwrap(result):
    if isinstance(result, Success):
        return result.unwrap()
    error = result.failure()
    status, reason = JOB_ERROR_STATUS[type(error)]
    outcome = Outcome.UNKNOWN if isinstance(error, JobUncertain) else Outcome.NOT_RUN
    raise Refused(status, reason, error.detail, outcome)
