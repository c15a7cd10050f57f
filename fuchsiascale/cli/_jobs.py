"""Commands on batch jobs."""

from urllib.parse import quote

import msgspec
from cleo.helpers import argument, option
from returns.result import Failure, Success

from fuchsiascale.api import JobList, JobStatus
from fuchsiascale.cli._command import DeploymentCommand, register
from fuchsiascale.cli._exits import Exit
from fuchsiascale.coordination import JobRecord, JobSpec

__all__ = [
    "JobCancelCommand",
    "JobListCommand",
    "JobStatusCommand",
    "JobSubmitCommand",
]

JOBS = "/v1/jobs"
JOB_COLUMNS = ("job", "team", "kind", "tasks", "cancelled")
COUNTED_STATES = ("waiting", "finished", "failed", "cancelled")
CHUNK_COLUMNS = ("chunk", "shard", "tasks", *COUNTED_STATES)
DEMAND_OPTIONS = ("millicores", "memory_mb", "accelerators")
SPEC_OPTIONS = (
    ("team", "Team that the job counts for."),
    ("kind", "Kind of the job."),
    ("tasks", "Number of equal tasks."),
    ("millicores", "Processors of one task, in thousandths of a core."),
    ("memory-mb", "Memory of one task, in megabytes."),
    ("accelerators", "Accelerators of one task."),
    ("run-ms", "Run time of one task, in milliseconds."),
    ("urgency", "Urgency class: urgent, normal or batch."),
    ("deadline-ms", "Time by which the job should end, in milliseconds."),
    ("failure-domain", "Failure domain that the job must run in."),
    ("payload", "Text that each task gets."),
)


def build_spec(job, given_options):
    """Build a job's specification from command-line options.

    Parameters
    ----------
    job : str
        Name of the job.
    given_options : mapping of str to str
        Values of the options that were given, by option name.

    Returns
    -------
    Result of JobSpec or str
        The specification, validated by the types of its fields, or the problem.

    Examples
    --------
    >>> build_spec("j", {"team": "hub", "kind": "review", "tasks": "2"}).unwrap().tasks
    2
    """
    fields = {name.replace("-", "_"): text for name, text in given_options.items()}
    demand = {name: fields.pop(name) for name in DEMAND_OPTIONS if name in fields}
    try:
        spec = msgspec.convert(
            {"job": job, "demand": demand, **fields}, JobSpec, strict=False
        )
    except msgspec.ValidationError as error:
        return Failure(str(error))
    return Success(spec)


@register
class JobSubmitCommand(DeploymentCommand):
    """Submits a job."""

    name = "job submit"
    description = "Submit a job; it is accepted once it is recorded."
    arguments = [argument("job", "Name of the job; a repeat with it is safe.")]
    options = [option(name, None, text, flag=False) for name, text in SPEC_OPTIONS]

    async def perform(self, client):
        """Send the job and print its state."""
        given_options = {
            name: self.option(name)
            for name, _ in SPEC_OPTIONS
            if self.option(name) is not None
        }
        spec = build_spec(self.argument("job"), given_options)
        if isinstance(spec, Failure):
            return self.fail((f"job: {spec.failure()}",), Exit.INVALID)
        result = await client.call_caller("POST", JOBS, JobRecord, spec.unwrap())
        return self.show_done(result, lambda job: format_job_line(job, "accepted"))


@register
class JobStatusCommand(DeploymentCommand):
    """Shows a job."""

    name = "job status"
    description = "Show the recorded state of a job."
    arguments = [argument("job", "Name of the job.")]

    async def perform(self, client):
        """Print one line per chunk, with a count for each task state."""
        path = format_job_path(self.argument("job"))
        result = await client.call_caller("GET", path, JobStatus)
        return self.show_reply(
            result,
            CHUNK_COLUMNS,
            list_chunk_rows,
            format_title=lambda reply: f"{reply.spec.job}: {reply.state}",
        )


@register
class JobCancelCommand(DeploymentCommand):
    """Cancels a job."""

    name = "job cancel"
    description = "Cancel what has not ended of a job."
    arguments = [argument("job", "Name of the job.")]

    async def perform(self, client):
        """Request the cancellation and print the job's state."""
        path = format_job_path(self.argument("job"))
        result = await client.call_caller("DELETE", path, JobRecord)
        return self.show_done(result, lambda job: format_job_line(job, "cancelled"))


@register
class JobListCommand(DeploymentCommand):
    """Lists jobs."""

    name = "job list"
    description = "List jobs, a page at a time."
    options = [
        option(
            "after", None, "Name of the job that the page starts behind.", flag=False
        )
    ]

    async def perform(self, client):
        """Print one line per job, and how to list the next page."""
        after = self.option("after")
        query = {"after": after} if after else None
        result = await client.call_caller("GET", JOBS, JobList, query=query)
        exit_code = self.show_reply(result, JOB_COLUMNS, list_job_rows)
        next_after = result.map(lambda reply: reply.next_after).value_or("")
        if next_after and not self.option("json"):
            self.print_text(f"more: job list --after {next_after}")
        return exit_code


def format_job_path(job):
    """Return the path of a job on the caller interface.

    Examples
    --------
    >>> format_job_path("reviews/7")
    '/v1/jobs/reviews%2F7'
    """
    return f"{JOBS}/{quote(job, safe='')}"


def format_job_line(record, done):
    """Format the result of a command on a recorded job as one line."""
    return f"{record.spec.job}: {done}, in {len(record.chunks)} chunks"


def list_job_rows(reply):
    """Return one row per job, in the order of ``JOB_COLUMNS``."""
    return [
        (entry.job, entry.team, entry.kind, entry.tasks, entry.cancelled)
        for entry in reply.jobs
    ]


def list_chunk_rows(reply):
    """Return one row per chunk, in the order of ``CHUNK_COLUMNS``."""
    return [_count_states(chunk) for chunk in reply.chunks]


def _count_states(chunk):
    states = [task.state.value for task in chunk.tasks]
    counts = [states.count(state) for state in COUNTED_STATES]
    return (chunk.chunk, chunk.shard, len(states), *counts)
