"""The last filter: gives back what a call holds and returns its answer."""

from fuchsiascale.pipelines._filters import register_filter
from fuchsiascale.pipelines._keys import settle_key

__all__ = ["answer"]


@register_filter("answer")
async def answer(call, ports):
    """Give back slot and claim, and return the call's answer."""
    if call.slot is not None:
        ports.slots.release(call.slot)
    if call.claim is not None:
        await settle_key(call, ports)
    return call.answer
