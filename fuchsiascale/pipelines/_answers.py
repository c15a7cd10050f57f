"""The last filter: gives back what a call holds and returns its answer."""

from fuchsiascale.pipelines._filters import register_filter

__all__ = ["answer"]


@register_filter("answer")
async def answer(call, ports):
    """Give back slot and claim, and return the call's answer."""
    if call.slot is not None:
        ports.slots.release(call.slot)
    if call.claim is not None:
        await ports.claims.settle(call.claim, call.answer)
    return call.answer
