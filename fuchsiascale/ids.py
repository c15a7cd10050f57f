"""Identifiers, each a distinct type so that they cannot be mixed up."""

from typing import NewType

__all__ = [
    "AttemptNumber",
    "CheckpointKey",
    "ChunkId",
    "FailureDomainId",
    "IdempotencyKey",
    "InstanceId",
    "JobId",
    "JobKindId",
    "RackId",
    "RegionId",
    "RequestId",
    "Revision",
    "RunnerId",
    "ServiceId",
    "ShardId",
    "TaskId",
    "TeamId",
    "WorkerId",
    "WriteId",
]

InstanceId = NewType("InstanceId", str)
WorkerId = NewType("WorkerId", str)
RunnerId = NewType("RunnerId", str)
RackId = NewType("RackId", str)
FailureDomainId = NewType("FailureDomainId", str)
RegionId = NewType("RegionId", str)
ShardId = NewType("ShardId", str)
TeamId = NewType("TeamId", str)
ServiceId = NewType("ServiceId", str)
JobKindId = NewType("JobKindId", str)
JobId = NewType("JobId", str)
ChunkId = NewType("ChunkId", str)
TaskId = NewType("TaskId", str)
RequestId = NewType("RequestId", str)
IdempotencyKey = NewType("IdempotencyKey", str)
WriteId = NewType("WriteId", str)
CheckpointKey = NewType("CheckpointKey", str)
AttemptNumber = NewType("AttemptNumber", int)
Revision = NewType("Revision", int)
