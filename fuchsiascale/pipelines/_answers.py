"""Last filter, which releases what a call holds and returns its answer."""

from fuchsiascale.pipelines._filters import register_filter
from fuchsiascale.pipelines._keys import record_key_outcome

__all__ = ["answer"]


@register_filter("answer")
async def answer(call, ports):
    """Release slot, admission and claim, and return the call's answer."""
    if call.admission is not None:
        if call.slot is not None and not call.slot.released_by_exchange:
            ports.dispatcher.release_slot(call.admission, call.slot)
        ports.dispatcher.release_admission(call.admission)
    ports.bodies.release(call.held_bytes)
    if call.claim is not None:
        await record_key_outcome(call, ports)
    seconds = ports.clock.monotonic() - call.received_s
    ports.meters.finish_call(call, call.answer, seconds)
    ports.traces.end_request(call.span, call, call.answer)
    return call.answer
