"""Answers to the messages of peers about ownership and jobs."""

from functools import singledispatch

from fuchsiascale.jobs._peer_messages import (
    Acknowledgement,
    CancelNotice,
    EarlyCancelNotice,
    Handover,
    JobNotice,
    OwnerNotice,
    OwnerQuery,
    OwnerReply,
    Ping,
    PlacementQuery,
    PlacementReply,
    StateQuery,
    StateReply,
    WaitingQuery,
    WaitingReply,
)

__all__ = ["answer_message"]


@singledispatch
async def answer_message(message, ownership):
    """Return the reply to a message.

    Parameters
    ----------
    message : PeerMessage
        The message; one of another kind has no effect.
    ownership : OwnershipManager
        The services that this instance owns, and the owners that it knows.
    """
    return Acknowledgement(False)


@answer_message.register
async def _(message: Ping, ownership):
    return ownership.answer_ping(message)


@answer_message.register
async def _(message: JobNotice, ownership):
    owner = ownership.owners.get(message.service)
    if owner is not None:
        owner.add_job(message.row)
    return Acknowledgement(owner is not None)


@answer_message.register
async def _(message: CancelNotice, ownership):
    owner = ownership.owners.get(message.service)
    if owner is not None:
        owner.cancel_jobs((message.job,))
    return Acknowledgement(owner is not None)


@answer_message.register
async def _(message: EarlyCancelNotice, ownership):
    for owner in ownership.owners.values():
        owner.cancel_jobs(message.jobs)
    return Acknowledgement(bool(ownership.owners))


@answer_message.register
async def _(message: StateQuery, ownership):
    owner = ownership.owners.get(message.service)
    return StateReply(owner.shard.get_state(message.job) if owner else None)


@answer_message.register
async def _(message: WaitingQuery, ownership):
    owner = ownership.owners.get(message.service)
    return WaitingReply(owner.count_waiting() if owner else None)


@answer_message.register
async def _(message: PlacementQuery, ownership):
    owner = ownership.owners.get(message.record.policy.service)
    return PlacementReply(owner.explain_placement(message.record) if owner else None)


@answer_message.register
async def _(message: Handover, ownership):
    return await ownership.accept_handover(message)


@answer_message.register
async def _(message: OwnerNotice, ownership):
    ownership.update_view(message.service, message.row, message.version)
    return Acknowledgement(ownership.knows_version(message.service, message.version))


@answer_message.register
async def _(message: OwnerQuery, ownership):
    return OwnerReply(ownership.get_supported_version(message.service))
