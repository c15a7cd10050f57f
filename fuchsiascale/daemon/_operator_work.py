"""Handlers of the operator interface for shards and the tasks of a job."""

import asyncio
import http

from returns.result import Failure, Success

from fuchsiascale.api import Explanation, ShardsReply, TaskExplanation
from fuchsiascale.coordination import format_task_id
from fuchsiascale.daemon._http import Refused
from fuchsiascale.daemon._routes import OPERATOR_ROUTES, PEER_ROUTES
from fuchsiascale.daemon._work import (
    find_shard_owner,
    list_owned_shards,
    make_job_ports,
)
from fuchsiascale.ids import ChunkId
from fuchsiascale.pipelines import JobNotFound, read_job
from fuchsiascale.platform import Message
from fuchsiascale.states import Refusal

SHARDS_PATH = "/peer/v1/shards"
EXPLAIN_PATH = "/peer/v1/explain"
MAX_CONCURRENT_CALLS = 16


class ShardsRequest(Message):
    """Requests the shards that an instance owns."""


class ExplainRequest(Message):
    """Requests the tasks of some chunks from a shard's owner."""

    chunks: tuple[ChunkId, ...]


class ExplainReply(Message):
    """Unfinished tasks as the shard's owner knows them."""

    tasks: tuple[TaskExplanation, ...] = ()


@OPERATOR_ROUTES.route("GET", "/operator/v1/shards")
async def list_shards(application, message, request):
    """Return the shards of all instances that answer, as reported by their owners."""
    view = application.membership.view()
    others = [m for m in (*view.members, *view.peers) if m.instance != view.instance]
    shards = {shard.shard: shard for shard in _build_shards_reply(application).shards}
    limit = asyncio.Semaphore(MAX_CONCURRENT_CALLS)

    async def fetch_shards(member):
        async with limit:
            return await application.peers.call(
                member.address, SHARDS_PATH, ShardsRequest(), ShardsReply
            )

    for result in await asyncio.gather(*map(fetch_shards, others)):
        for shard in result.value_or(ShardsReply(shards=())).shards:
            shards[shard.shard] = shard
    return ShardsReply(shards=tuple(shards[name] for name in sorted(shards)))


@PEER_ROUTES.route("POST", SHARDS_PATH, ShardsRequest)
async def list_own_shards(application, message, request):
    """Return the shards that this instance owns."""
    return _build_shards_reply(application)


@OPERATOR_ROUTES.route("GET", "/operator/v1/explain/{job}")
async def explain_job(application, message, request):
    """Explain why each task waits, or where and why it was placed."""
    job = request.match_info["job"]
    result = await read_job(job, make_job_ports(application))
    if isinstance(result, Failure):
        error = result.failure()
        absent = isinstance(error, JobNotFound)
        status = (
            http.HTTPStatus.NOT_FOUND if absent else http.HTTPStatus.SERVICE_UNAVAILABLE
        )
        reason = Refusal.BAD_REQUEST if absent else Refusal.STORE_UNAVAILABLE
        raise Refused(status, reason, error.detail)
    status = result.unwrap()
    by_shard = {}
    for chunk in status.chunks:
        by_shard.setdefault(chunk.shard, []).append(chunk)
    tasks = []
    for shard, chunks in by_shard.items():
        tasks += await _explain_chunks(application, shard, chunks)
    return Explanation(job=job, state=status.state, tasks=tuple(tasks))


@PEER_ROUTES.route("POST", EXPLAIN_PATH, ExplainRequest)
async def explain_own_chunks(application, message, request):
    """Explain the tasks of some chunks as far as this instance knows them."""
    return _explain_here(application, message.chunks)


def _build_shards_reply(application):
    return ShardsReply(shards=list_owned_shards(application))


def _explain_here(application, chunks):
    tasks = (application.shards.explain(chunk) for chunk in chunks)
    return ExplainReply(tasks=tuple(task for found in tasks for task in found))


async def _explain_chunks(application, shard, chunks):
    """Return each task as its owner reports it, or else from its stored row."""
    names = tuple(chunk.chunk for chunk in chunks)
    address = find_shard_owner(application, shard)
    reply, unknown_reason = ExplainReply(), "no owner of the shard is known"
    if address == application.settings.peer_address:
        reply = _explain_here(application, names)
        unknown_reason = "the shard's owner has not read the task yet"
    elif address is not None:
        result = await application.peers.call(
            address, EXPLAIN_PATH, ExplainRequest(chunks=names), ExplainReply
        )
        reply = result.value_or(ExplainReply())
        answered = isinstance(result, Success)
        unknown_reason = (
            "the shard's owner has not read the task yet"
            if answered
            else f"the shard's owner at {address} does not answer"
        )
    reported = {task.task: task for task in reply.tasks}
    return [
        reported.get(format_task_id(chunk.chunk, task.index))
        or _explain_row(chunk, task, unknown_reason)
        for chunk in chunks
        for task in chunk.tasks
    ]


def _explain_row(chunk, task, unknown_reason):
    return TaskExplanation(
        task=format_task_id(chunk.chunk, task.index),
        state=task.state.value,
        worker=task.worker,
        reason=task.detail if task.state.final else unknown_reason,
    )
