"""Command that explains where a job would start on the users' platform."""

import sys
from pathlib import Path

import msgspec
from cleo.helpers import argument, option
from returns.result import Failure, Result, Success

from fuchsiascale.cli._command import DeploymentCommand, register
from fuchsiascale.cli._exits import Exit
from fuchsiascale.jobs import ExplanationRequest, JobExplanation
from fuchsiascale.json_decoding import decode_json

__all__ = ["ExplainWhereCommand"]

PATH = "/explain/where"
COLUMNS = (
    "step",
    "tasks",
    "start",
    "wait",
    "far",
    "no room",
    "run s",
    "far s",
    "wait s",
    "may wait s",
    "workers ruled out",
)


def read_job(path) -> Result[msgspec.Raw, str]:
    """Read a job as callers hand it in; ``-`` stands for the standard input."""
    try:
        text = sys.stdin.read() if path == "-" else Path(path).read_text()
    except (OSError, UnicodeError) as error:
        return Failure(f"{path}: {error}")
    decoded = decode_json(text.encode(), object)
    if isinstance(decoded, Failure):
        return Failure(f"{path}: {decoded.failure()}")
    return Success(msgspec.Raw(text.encode()))


def format_title(reply):
    """Return the lines about queue, admission and the age of what is known.

    Examples
    --------
    >>> from fuchsiascale.jobs import Admission
    >>> refused = Admission(admitted=False, why="store unreachable", retry_after_s=1.0)
    >>> reply = JobExplanation(
    ...     queue="q", service="pool", host="h", prefix="/q/", admission=refused,
    ...     configuration_version=4, configuration_age_s=0.25, placement=None,
    ... )
    >>> print(format_title(reply))
    queue q of service pool at h/q/; configuration 4, 0.25 s old
    refused for 1.0 s: store unreachable
    """
    age = reply.configuration_age_s
    known = "of unknown age" if age is None else f"{age:.2f} s old"
    lines = [
        f"queue {reply.queue} of service {reply.service} at {reply.host}{reply.prefix}"
        f"; configuration {reply.configuration_version}, {known}"
    ]
    admission = reply.admission
    lines.append(
        "admitted"
        if admission.admitted
        else f"refused for {admission.retry_after_s} s: {admission.why}"
    )
    placement = reply.placement
    if placement is not None:
        lines.append(
            f"owner {placement.token}, confirmed {placement.confirmed_ago_s:.2f} s ago;"
            f" {placement.waiting_jobs} jobs wait; slack {placement.slack_s:.2f} s"
        )
    return "\n".join(lines)


def list_step_rows(reply):
    """Return a table row for each explained step."""
    steps = reply.placement.steps if reply.placement is not None else ()
    return [
        (
            each.step,
            each.tasks,
            each.start,
            each.wait,
            each.start_far,
            each.no_room,
            each.run_s,
            each.far_run_s,
            "" if each.expected_wait_s is None else each.expected_wait_s,
            each.may_wait_s,
            format_obstacles(each),
        )
        for each in steps
    ]


def format_obstacles(step):
    """Return how many workers take no task, by reason, most frequent first."""
    found = sorted(step.ruled_out.items(), key=lambda item: (-item[1], item[0]))
    reasons = [f"{count} {reason}" for reason, count in found]
    if step.limited_by_spread:
        reasons.append(f"{step.limited_by_spread} limited by spread")
    return f"of {step.workers}: " + (", ".join(reasons) or "none")


@register
class ExplainWhereCommand(DeploymentCommand):
    """Explains where a job would start now, without handing it in."""

    name = "explain where"
    description = "Say where a job would start now on the users' platform, and why."
    arguments = [
        argument("queue", "Name of the queue."),
        argument("file", "The job as callers hand it in; - for standard input."),
    ]
    options = [
        option("instance", None, "HOST:PORT of an instance's readiness.", flag=False)
    ]

    async def perform(self, client):
        """Ask an instance and print one line per step."""
        address = self.option("instance")
        if not address:
            return self.fail(("no address is known: give --instance",), Exit.INVALID)
        job = read_job(self.argument("file"))
        if isinstance(job, Failure):
            return self.fail((job.failure(),), Exit.INVALID)
        asked = ExplanationRequest(queue=self.argument("queue"), job=job.unwrap())
        result = await client.call_instance(address, PATH, JobExplanation, asked)
        code = self.show_reply(result, COLUMNS, list_step_rows, format_title)
        if code == Exit.OK and result.unwrap().placement is None:
            return self.fail(("the owner gave no answer",), Exit.UNCONFIRMED)
        return code
