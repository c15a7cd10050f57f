"""Tests of the ports that detect leaving upstreams."""

from returns.result import Failure, Success

from fuchsiascale.daemon._leave_detection import (
    LeaveDetectingRunners,
    LeaveDetectingWorkers,
)
from fuchsiascale.platform import (
    NO_TOKEN,
    ClaimReply,
    ExchangeReply,
    Resources,
    Unavailable,
    UpstreamAnswer,
    WorkerInventory,
)
from fuchsiascale.testing import collect_functions

load_tests = collect_functions(__name__)


class Port:
    """A port whose every call has the same result."""

    def __init__(self, result):
        self._result = result

    def __getattr__(self, method):
        async def call(address, request):
            return self._result

        return call


def make_inventory(leaving):
    return WorkerInventory(
        worker="w", token=NO_TOKEN, capacity=Resources(), leaving=leaving
    )


async def test_leaving_upstreams_are_reported_and_results_passed_on():
    answers = [
        UpstreamAnswer(request_id="r", runner="w", status=200, leaving=leaving)
        for leaving in (True, False)
    ]
    replies = [
        kind(**accepted, highest=NO_TOKEN, inventory=make_inventory(leaving))
        for kind, accepted in (
            (ClaimReply, {"granted": True}),
            (ExchangeReply, {"accepted": True}),
        )
        for leaving in (True, False)
    ]
    refused = ExchangeReply(accepted=False, highest=NO_TOKEN)
    failed = Failure(Unavailable(detail="down"))
    table = (
        (LeaveDetectingRunners, "send", Success(answers[0]), True),
        (LeaveDetectingRunners, "send", Success(answers[1]), False),
        (LeaveDetectingRunners, "send", failed, False),
        (LeaveDetectingWorkers, "claim", Success(replies[0]), True),
        (LeaveDetectingWorkers, "claim", Success(replies[1]), False),
        (LeaveDetectingWorkers, "exchange", Success(replies[2]), True),
        (LeaveDetectingWorkers, "exchange", Success(replies[3]), False),
        (LeaveDetectingWorkers, "exchange", Success(refused), False),
        (LeaveDetectingWorkers, "exchange", failed, False),
    )
    for port_type, method, result, leaving in table:
        reported = []
        port = port_type(Port(result), reported.append)
        assert await getattr(port, method)("10.0.0.9:1", None) is result
        assert reported == (["10.0.0.9:1"] if leaving else []), (port_type, method)
