"""Commands on instances, shards and the whole deployment."""

from cleo.helpers import argument

from fuchsiascale.api import (
    DrainRequest,
    Explanation,
    InstancesReply,
    ShardsReply,
    StatusReply,
)
from fuchsiascale.cli._command import DeploymentCommand, register

__all__ = [
    "ExplainCommand",
    "InstanceDrainCommand",
    "InstanceListCommand",
    "ShardListCommand",
    "StatusCommand",
]

BASE = "/operator/v1"
INSTANCE_COLUMNS = (
    "instance",
    "role",
    "failure domain",
    "state",
    "revision",
    "in flight",
)
SHARD_COLUMNS = (
    "shard",
    "owner",
    "workers",
    "cores",
    "committed",
    "waiting",
    "running",
    "in doubt",
)
TASK_COLUMNS = ("task", "state", "worker", "reason", "figures")
STATUS_COLUMNS = ("field", "value")
MILLICORES_PER_CORE = 1000


@register
class InstanceListCommand(DeploymentCommand):
    """Lists instances and upstreams."""

    name = "instance list"
    description = "List instances and upstreams, with state and revision."

    async def perform(self, client):
        """Print one line per instance."""
        result = await client.call_operator("GET", f"{BASE}/instances", InstancesReply)
        return self.show_reply(result, INSTANCE_COLUMNS, list_instance_rows)


@register
class InstanceDrainCommand(DeploymentCommand):
    """Stops an instance gracefully, or cordons an upstream."""

    name = "instance drain"
    description = "Stop an instance gracefully, or give an upstream no new work."
    arguments = [argument("instance", "Name of the instance or upstream.")]

    async def perform(self, client):
        """Request the drain."""
        instance = self.argument("instance")
        result = await client.call_operator(
            "POST", f"{BASE}/drain", StatusReply, DrainRequest(instance=instance)
        )
        return self.show_done(result, lambda reply: f"{instance} is draining")


@register
class ShardListCommand(DeploymentCommand):
    """Lists shards."""

    name = "shard list"
    description = "List shards, with owner, commitment and tasks."

    async def perform(self, client):
        """Print one line per shard."""
        result = await client.call_operator("GET", f"{BASE}/shards", ShardsReply)
        return self.show_reply(result, SHARD_COLUMNS, list_shard_rows)


@register
class ExplainCommand(DeploymentCommand):
    """Explains where the tasks of a job run, or why they wait."""

    name = "explain"
    description = "Say why tasks wait, or where they were placed and by which figures."
    arguments = [argument("job", "Name of the job.")]

    async def perform(self, client):
        """Print one line per task."""
        path = f"{BASE}/explain/{self.argument('job')}"
        result = await client.call_operator("GET", path, Explanation)
        return self.show_reply(
            result,
            TASK_COLUMNS,
            list_task_rows,
            format_title=lambda reply: f"{reply.job}: {reply.state}",
        )


@register
class StatusCommand(DeploymentCommand):
    """Shows the state of the answering instance."""

    name = "status"
    description = "Show the state of the instance that answers."

    async def perform(self, client):
        """Print one line per field."""
        result = await client.call_operator("GET", f"{BASE}/status", StatusReply)
        return self.show_reply(result, STATUS_COLUMNS, list_field_rows)


def list_instance_rows(reply):
    """Return one row per instance, in the order of ``INSTANCE_COLUMNS``."""
    return [
        (
            entry.instance,
            entry.role,
            entry.failure_domain,
            entry.state,
            entry.revision,
            entry.in_flight,
        )
        for entry in reply.instances
    ]


def list_shard_rows(reply):
    """Return one row per shard, in the order of ``SHARD_COLUMNS``."""
    return [
        (
            entry.shard,
            entry.owner,
            entry.workers,
            entry.capacity.millicores / MILLICORES_PER_CORE,
            entry.committed.millicores / MILLICORES_PER_CORE,
            entry.waiting,
            entry.running,
            entry.in_doubt,
        )
        for entry in reply.shards
    ]


def list_task_rows(reply):
    """Return one row per task, in the order of ``TASK_COLUMNS``."""
    return [
        (task.task, task.state, task.worker, task.reason, ", ".join(task.figures))
        for task in reply.tasks
    ]


def list_field_rows(reply):
    """Return one row per field of a message, in the order of ``STATUS_COLUMNS``."""
    return [
        (name.replace("_", " "), getattr(reply, name))
        for name in reply.__struct_fields__
    ]
