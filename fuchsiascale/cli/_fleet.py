"""Commands on instances, shards and the whole deployment."""

from cleo.helpers import argument
from returns.result import Failure

from fuchsiascale.api import (
    DrainRequest,
    Explanation,
    InstancesReply,
    ShardsReply,
    StatusReply,
)
from fuchsiascale.cli._command import DeploymentCommand, register
from fuchsiascale.cli._exits import Exit

__all__ = [
    "ExplainCommand",
    "InstanceDrainCommand",
    "InstanceListCommand",
    "ShardListCommand",
    "StatusCommand",
]

BASE = "/operator/v1"


@register
class InstanceListCommand(DeploymentCommand):
    """Lists instances and upstreams."""

    name = "instance list"
    description = "List instances and upstreams, with state and revision."

    async def perform(self, client):
        """Print one line an instance."""
        result = await client.call_operator("GET", f"{BASE}/instances", InstancesReply)
        if isinstance(result, Failure):
            return self.fail_call(result)
        reply = result.unwrap()
        headers = (
            "instance",
            "role",
            "failure domain",
            "state",
            "revision",
            "in flight",
        )
        rows = [
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
        return self.show(reply, headers, rows)


@register
class InstanceDrainCommand(DeploymentCommand):
    """Stops an instance gracefully, or cordons an upstream."""

    name = "instance drain"
    description = "Stop an instance gracefully, or give an upstream no new work."
    arguments = [argument("instance", "Name of the instance or upstream.")]

    async def perform(self, client):
        """Ask for the drain."""
        instance = self.argument("instance")
        result = await client.call_operator(
            "POST", f"{BASE}/drain", StatusReply, DrainRequest(instance=instance)
        )
        if isinstance(result, Failure):
            return self.fail_call(result)
        if self.option("json"):
            self.show_json(result.unwrap())
        else:
            self.say(f"{instance} is draining")
        return Exit.OK


@register
class ShardListCommand(DeploymentCommand):
    """Lists shards."""

    name = "shard list"
    description = "List shards, with owner, commitment and tasks."

    async def perform(self, client):
        """Print one line a shard."""
        result = await client.call_operator("GET", f"{BASE}/shards", ShardsReply)
        if isinstance(result, Failure):
            return self.fail_call(result)
        reply = result.unwrap()
        headers = (
            "shard",
            "owner",
            "workers",
            "cores",
            "committed",
            "waiting",
            "running",
            "in doubt",
        )
        rows = [
            (
                entry.shard,
                entry.owner,
                entry.workers,
                entry.capacity.millicores / 1000,
                entry.committed.millicores / 1000,
                entry.waiting,
                entry.running,
                entry.in_doubt,
            )
            for entry in reply.shards
        ]
        return self.show(reply, headers, rows)


@register
class ExplainCommand(DeploymentCommand):
    """Explains where the tasks of a job are and why."""

    name = "explain"
    description = "Say why tasks wait, or where they were placed and by which figures."
    arguments = [argument("job", "Name of the job.")]

    async def perform(self, client):
        """Print one line a task."""
        path = f"{BASE}/explain/{self.argument('job')}"
        result = await client.call_operator("GET", path, Explanation)
        if isinstance(result, Failure):
            return self.fail_call(result)
        reply = result.unwrap()
        headers = ("task", "state", "worker", "reason", "figures")
        rows = [
            (task.task, task.state, task.worker, task.reason, ", ".join(task.figures))
            for task in reply.tasks
        ]
        if not self.option("json"):
            self.say(f"{reply.job}: {reply.state}")
        return self.show(reply, headers, rows)


@register
class StatusCommand(DeploymentCommand):
    """Shows the state of the answering instance."""

    name = "status"
    description = "Show the state of the instance that answers."

    async def perform(self, client):
        """Print one line a field."""
        result = await client.call_operator("GET", f"{BASE}/status", StatusReply)
        if isinstance(result, Failure):
            return self.fail_call(result)
        reply = result.unwrap()
        rows = [
            (name.replace("_", " "), getattr(reply, name))
            for name in reply.__struct_fields__
        ]
        return self.show(reply, ("field", "value"), rows)
